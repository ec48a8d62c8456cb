"""From a decision to running tasks: intent, orders, preemption."""

import curio

from dandelionreel.backing import LogError, StreamReader, StreamWriter
from dandelionreel.contracts import ContractBook
from dandelionreel.jobs._book import Job, JobBook, Outcome
from dandelionreel.jobs._desk import Desk
from dandelionreel.jobs._metrics import JobMetrics
from dandelionreel.jobs._orders import Orders
from dandelionreel.jobs._records import AttemptIntent
from dandelionreel.jobs._settler import RetryBudgets
from dandelionreel.jobs._tracks import AttemptTrack, TaskTrack
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.peers import PlaceOrder
from dandelionreel.placement import Placement, RunningTask, Work, task_ids
from dandelionreel.workers import REFUSED, STARTED

WRITE_PATIENCE = 10.0
#: In a log outage the record of a start waits this long for the log to return.
OUTAGE_PATIENCE = 86_400.0
AVOID_SECONDS = 5.0
VICTIM_SECONDS = 3.0
VICTIM_ROUND_SECONDS = 0.25


class AttemptStarter:
    """Carries placements out; each in a task of its own."""

    def __init__(
        self,
        me: str,
        desk: Desk,
        clock: Clock,
        jobs: JobBook,
        contracts: ContractBook,
        reader: StreamReader,
        writer: StreamWriter,
        orders: Orders,
        budgets: RetryBudgets,
        metrics: JobMetrics,
        journal: Journal,
    ) -> None:
        """Start for the dispatcher ``me``."""
        self._me = me
        self._desk = desk
        self._clock = clock
        self._jobs = jobs
        self._contracts = contracts
        self._reader = reader
        self._writer = writer
        self._orders = orders
        self._budgets = budgets
        self._metrics = metrics
        self._journal = journal

    async def begin(self, placement: Placement) -> None:
        """Track the attempt that a placement stands for, and carry it out."""
        work = placement.work
        job = self._jobs.get(work.id)
        if job is None:
            self._undo(placement)
            return
        self._tell_placement(placement)
        self._note_waiting(job)
        track = AttemptTrack(
            work.id,
            work.attempt,
            work.customer,
            work.idempotent,
            self._clock.wall(),
            self._clock.monotonic(),
        )
        ids = task_ids(work.id, work.attempt, work.tasks)
        never = float('inf')
        tasks = [
            TaskTrack(task_id, worker, never)
            for task_id, worker in zip(ids, placement.workers, strict=True)
        ]
        self._desk.tracks.add(track, tasks)
        await curio.spawn(self._carry_out, placement, track, self._desk.epoch, daemon=True)

    async def _carry_out(self, placement: Placement, track: AttemptTrack, epoch: int) -> None:
        for victim in placement.victims:
            await curio.spawn(self._preempt, victim, epoch, daemon=True)
        if not await self._write_intent(placement, epoch):
            self._desk.tracks.drop(placement.work.id)
            self._undo(placement)
            job = self._jobs.get(placement.work.id)
            if job is not None:
                self._desk.changes.job_ids[job.id] = None
            await self._desk.wake.notify()
            return
        if placement.victims:
            await self._await_victims(placement)
        group = [
            await curio.spawn(self._start_task, placement.work, task, epoch, daemon=True)
            for task in track.task_by_id.values()
        ]
        for started in group:
            await started.join()
        await self._desk.wake.notify()

    async def _write_intent(self, placement: Placement, epoch: int) -> bool:
        """Return whether the attempt is this dispatcher's to start."""
        work = placement.work
        intent = AttemptIntent(work.id, work.attempt, epoch, self._me, placement.workers)
        if self._reader.outage_since is not None:
            if not work.idempotent:
                return False
            # The log is out: an idempotent job goes on under ownership alone.
            await curio.spawn(self._write_later, intent, daemon=True)
            return self._desk.may_act(epoch)
        try:
            await self._writer.write(intent, WRITE_PATIENCE)
        except LogError:
            return False
        job = self._jobs.get(work.id)
        return job is not None and job.runs(intent) and self._desk.may_act(epoch)

    async def _write_later(self, record: AttemptIntent) -> None:
        try:
            await self._writer.write(record, OUTAGE_PATIENCE)
        except LogError as error:
            self._journal.tell(Part.JOBS, f'a record was not written; {error}.')

    async def _start_task(self, work: Work, task: TaskTrack, epoch: int) -> None:
        order = PlaceOrder(
            epoch,
            task.worker,
            task.task_id,
            work.demand,
            self._command(work.id),
            work.customer,
            work.id,
            work.attempt,
            work.task_class,
        )
        answer = None
        if self._desk.may_act(epoch):
            answer = await self._orders.place(order)
        if answer is None or answer.outcome == REFUSED:
            self._note_refused(work, task, answer.cause if answer else 'no authority')
            return
        now = self._clock.monotonic()
        if answer.outcome == STARTED:
            task.is_running = True
            task.absent_after = now
            self._metrics.started(work.customer, work.task_class)
            return
        # It may be on its way still; a report counts once it cannot be.
        task.absent_after = now + self._desk.order_seconds

    def _note_refused(self, work: Work, task: TaskTrack, cause: str) -> None:
        task.outcome = Outcome.NOT_STARTED
        self._desk.release(task)
        _, former = self._desk.avoid.get(work.id, (0.0, frozenset()))
        self._desk.avoid[work.id] = (
            self._clock.monotonic() + AVOID_SECONDS,
            former | {task.worker},
        )
        self._journal.tell_frequent(
            Part.PLACEMENT,
            f'{task.worker} did not take {task.task_id}; {cause}.',
            task=task.task_id,
            worker=task.worker,
        )

    async def _preempt(self, victim: RunningTask, epoch: int) -> None:
        worker = self._worker_of(victim)
        self._journal.tell(
            Part.PLACEMENT,
            f'stops {victim.task_id} on {worker}; urgent work needs the room.',
            task=victim.task_id,
        )
        await self._orders.act(epoch, worker, victim.task_id, 'checkpoint')
        await self._orders.act(epoch, worker, victim.task_id, 'stop')

    async def _await_victims(self, placement: Placement) -> None:
        """Wait until the preempted tasks are reported ended, but not for long."""
        until = self._clock.monotonic() + VICTIM_SECONDS
        names = set(placement.workers)
        while self._clock.monotonic() < until:
            seen = self._desk.wake.count
            left = [
                victim
                for victim in placement.victims
                if any(victim.task_id in self._running_on(name) for name in names)
            ]
            if not left:
                return
            await self._desk.wake.wait(seen, VICTIM_ROUND_SECONDS)

    def _running_on(self, name: str) -> dict[str, RunningTask]:
        worker = self._desk.worker(name)
        return worker.running_by_task if worker else {}

    def _worker_of(self, victim: RunningTask) -> str:
        track = self._desk.tracks.attempt_by_job.get(victim.job)
        task = track.task_by_id.get(victim.task_id) if track else None
        return task.worker if task else ''

    def _undo(self, placement: Placement) -> None:
        work = placement.work
        ids = task_ids(work.id, work.attempt, work.tasks)
        for task_id, name in zip(ids, placement.workers, strict=True):
            worker = self._desk.worker(name)
            if worker is not None:
                self._desk.planner.cell.remove_task(worker, task_id)

    def _note_waiting(self, job: Job) -> None:
        if job.attempts:
            return
        customer = job.spec.customer
        waited = max(0.0, self._clock.wall() - job.accepted_at)
        self._metrics.waited(customer, job.spec.task_class, waited)
        contract = self._contracts.effective(customer)
        if contract is not None:
            self._budgets.of(customer).add_attempt(contract.requests.retry_budget)

    def _command(self, job_id: str) -> str:
        job = self._jobs.get(job_id)
        return job.spec.command if job else ''

    def _tell_placement(self, placement: Placement) -> None:
        work = placement.work
        self._journal.tell_frequent(
            Part.PLACEMENT,
            f'puts {work.id} on {", ".join(sorted(set(placement.workers)))}; {placement.reason}.',
            job=work.id,
            customer=work.customer,
            workers=list(placement.workers),
            considered=self._desk.planner.considered_count,
        )
