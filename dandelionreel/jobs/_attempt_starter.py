"""Carries out placements: writes intents, preempts and starts tasks."""

import curio

from dandelionreel.backing import LogError, StreamReader, StreamWriter
from dandelionreel.contracts import ContractProjection
from dandelionreel.jobs._attempt_finalizer import RetryBudgets
from dandelionreel.jobs._dispatcher_state import DispatcherState
from dandelionreel.jobs._job_projection import Job, JobProjection, Outcome
from dandelionreel.jobs._metrics import JobMetrics
from dandelionreel.jobs._order_sender import OrderSender
from dandelionreel.jobs._records import AttemptIntent
from dandelionreel.jobs._tracked_attempts import TrackedAttempt, TrackedTask
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.peers import PlaceOrder
from dandelionreel.placement import Placement, RunningTask, Work, task_ids
from dandelionreel.workers import REFUSED, STARTED

WRITE_TIMEOUT_SECONDS = 10.0
#: How long the intent of a started attempt waits for the log during an outage.
OUTAGE_WRITE_TIMEOUT_SECONDS = 86_400.0
#: How long a job is not placed on a worker that has refused one of its tasks.
AVOID_WORKER_SECONDS = 5.0
PREEMPTION_TIMEOUT_SECONDS = 3.0
PREEMPTION_POLL_SECONDS = 0.25


class AttemptStarter:
    """Starts the attempts of placements, each in a background task."""

    def __init__(
        self,
        own_member: str,
        state: DispatcherState,
        clock: Clock,
        jobs: JobProjection,
        contracts: ContractProjection,
        reader: StreamReader,
        writer: StreamWriter,
        orders: OrderSender,
        budgets: RetryBudgets,
        metrics: JobMetrics,
        journal: Journal,
    ) -> None:
        """Start attempts for the dispatcher ``own_member``."""
        self._own_member = own_member
        self._state = state
        self._clock = clock
        self._jobs = jobs
        self._contracts = contracts
        self._reader = reader
        self._writer = writer
        self._orders = orders
        self._budgets = budgets
        self._metrics = metrics
        self._journal = journal

    async def start(self, placement: Placement) -> None:
        """Track the attempt of a placement, and start it in the background."""
        work = placement.work
        job = self._jobs.get(work.id)
        if job is None:
            self._release_capacity(placement)
            return
        self._log_placement(placement)
        self._record_wait(job)
        tracked = TrackedAttempt(
            work.id,
            work.attempt,
            work.customer,
            work.idempotent,
            self._clock.unix_time(),
            self._clock.monotonic(),
        )
        ids = task_ids(work.id, work.attempt, work.tasks)
        not_yet = float('inf')
        tasks = [
            TrackedTask(task_id, worker, not_yet)
            for task_id, worker in zip(ids, placement.workers, strict=True)
        ]
        self._state.tracker.add(tracked, tasks)
        await curio.spawn(
            self._execute_placement, placement, tracked, self._state.epoch, daemon=True
        )

    async def _execute_placement(
        self, placement: Placement, tracked: TrackedAttempt, epoch: int
    ) -> None:
        for victim in placement.victims:
            await curio.spawn(self._preempt, victim, epoch, daemon=True)
        if not await self._write_intent(placement, epoch):
            self._state.tracker.drop(placement.work.id)
            self._release_capacity(placement)
            job = self._jobs.get(placement.work.id)
            if job is not None:
                self._state.changes.job_ids[job.id] = None
            await self._state.wake.notify()
            return
        if placement.victims:
            await self._wait_for_victims(placement)
        starts = [
            await curio.spawn(self._start_task, placement.work, task, epoch, daemon=True)
            for task in tracked.task_by_id.values()
        ]
        for started in starts:
            await started.join()
        await self._state.wake.notify()

    async def _write_intent(self, placement: Placement, epoch: int) -> bool:
        """Write the intent; return whether this dispatcher may start the attempt."""
        work = placement.work
        intent = AttemptIntent(work.id, work.attempt, epoch, self._own_member, placement.workers)
        if self._reader.outage_since is not None:
            if not work.idempotent:
                return False
            # Without the log, ownership alone permits the start of an idempotent job.
            await curio.spawn(self._write_after_outage, intent, daemon=True)
            return self._state.may_act(epoch)
        try:
            await self._writer.write(intent, WRITE_TIMEOUT_SECONDS)
        except LogError:
            return False
        job = self._jobs.get(work.id)
        return job is not None and job.matches_intent(intent) and self._state.may_act(epoch)

    async def _write_after_outage(self, record: AttemptIntent) -> None:
        try:
            await self._writer.write(record, OUTAGE_WRITE_TIMEOUT_SECONDS)
        except LogError as error:
            self._journal.log(Part.JOBS, f'a record could not be written; {error}.')

    async def _start_task(self, work: Work, task: TrackedTask, epoch: int) -> None:
        order = PlaceOrder(
            epoch,
            task.worker,
            task.task_id,
            work.demand,
            self._get_command(work.id),
            work.customer,
            work.id,
            work.attempt,
            work.task_class,
        )
        answer = None
        if self._state.may_act(epoch):
            answer = await self._orders.place(order)
        if answer is None or answer.outcome == REFUSED:
            self._handle_refusal(
                work, task, answer.cause if answer else 'this daemon may no longer dispatch'
            )
            return
        now = self._clock.monotonic()
        if answer.outcome == STARTED:
            task.is_running = True
            task.absent_after = now
            self._metrics.count_start(work.customer, work.task_class)
            return
        # The order may still be in transit. Only reports after that time prove that
        # the task did not start.
        task.absent_after = now + self._state.max_order_seconds

    def _handle_refusal(self, work: Work, task: TrackedTask, cause: str) -> None:
        task.outcome = Outcome.NOT_STARTED
        self._state.release(task)
        _, avoided = self._state.avoided_workers.get(work.id, (0.0, frozenset()))
        self._state.avoided_workers[work.id] = (
            self._clock.monotonic() + AVOID_WORKER_SECONDS,
            avoided | {task.worker},
        )
        self._journal.log_sampled(
            Part.PLACEMENT,
            f'{task.worker} did not start {task.task_id}; {cause}.',
            task=task.task_id,
            worker=task.worker,
        )

    async def _preempt(self, victim: RunningTask, epoch: int) -> None:
        worker = self._worker_of(victim)
        self._journal.log(
            Part.PLACEMENT,
            f'stops {victim.task_id} on {worker}; an urgent job needs its resources.',
            task=victim.task_id,
        )
        await self._orders.send_action(epoch, worker, victim.task_id, 'checkpoint')
        await self._orders.send_action(epoch, worker, victim.task_id, 'stop')

    async def _wait_for_victims(self, placement: Placement) -> None:
        """Wait until reports show that the preempted tasks have ended, or until the timeout."""
        deadline = self._clock.monotonic() + PREEMPTION_TIMEOUT_SECONDS
        names = set(placement.workers)
        while self._clock.monotonic() < deadline:
            change_count = self._state.wake.count
            remaining = [
                victim
                for victim in placement.victims
                if any(victim.task_id in self._running_tasks_on(name) for name in names)
            ]
            if not remaining:
                return
            await self._state.wake.wait(change_count, PREEMPTION_POLL_SECONDS)

    def _running_tasks_on(self, name: str) -> dict[str, RunningTask]:
        worker = self._state.find_worker(name)
        return worker.running_by_task if worker else {}

    def _worker_of(self, victim: RunningTask) -> str:
        tracked = self._state.tracker.attempt_by_job.get(victim.job)
        task = tracked.task_by_id.get(victim.task_id) if tracked else None
        return task.worker if task else ''

    def _release_capacity(self, placement: Placement) -> None:
        work = placement.work
        ids = task_ids(work.id, work.attempt, work.tasks)
        for task_id, name in zip(ids, placement.workers, strict=True):
            worker = self._state.find_worker(name)
            if worker is not None:
                self._state.planner.cell.remove_task(worker, task_id)

    def _record_wait(self, job: Job) -> None:
        if job.attempts:
            return
        customer = job.spec.customer
        waited = max(0.0, self._clock.unix_time() - job.accepted_at)
        self._metrics.observe_wait(customer, job.spec.task_class, waited)
        contract = self._contracts.effective(customer)
        if contract is not None:
            self._budgets.for_customer(customer).add_attempt(contract.requests.retry_budget)

    def _get_command(self, job_id: str) -> str:
        job = self._jobs.get(job_id)
        return job.spec.command if job else ''

    def _log_placement(self, placement: Placement) -> None:
        work = placement.work
        self._journal.log_sampled(
            Part.PLACEMENT,
            f'places {work.id} on {", ".join(sorted(set(placement.workers)))}; {placement.reason}.',
            job=work.id,
            customer=work.customer,
            workers=list(placement.workers),
            considered=self._state.planner.considered_count,
        )
