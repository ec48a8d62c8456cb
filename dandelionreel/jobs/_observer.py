"""What the owners of workers report, compared with what the dispatcher expects."""

from dandelionreel.contracts import ContractBook
from dandelionreel.jobs._book import Job, JobBook, JobState, Outcome
from dandelionreel.jobs._desk import Desk
from dandelionreel.jobs._feeder import QueueFeeder
from dandelionreel.jobs._orders import Orders
from dandelionreel.jobs._records import AttemptIntent
from dandelionreel.jobs._tracks import AttemptTrack, TaskTrack, reported_outcome
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.peers import TaskReport, WorkerReport
from dandelionreel.placement import RunningTask

#: Slack when ages on two hosts' wall clocks are compared.
WALL_MARGIN = 1.0
#: Slack for the time that a report took to be made.
OWN_MARGIN = 0.2


class ReportReader:
    """Ends tasks, adopts running ones and stops strangers, by the reports."""

    def __init__(
        self,
        me: str,
        desk: Desk,
        clock: Clock,
        jobs: JobBook,
        contracts: ContractBook,
        feeder: QueueFeeder,
        orders: Orders,
        journal: Journal,
    ) -> None:
        """Read for the dispatcher ``me``."""
        self._me = me
        self._desk = desk
        self._clock = clock
        self._jobs = jobs
        self._contracts = contracts
        self._feeder = feeder
        self._orders = orders
        self._journal = journal

    async def take(self, report: WorkerReport) -> None:
        """Learn from the owner of a worker what runs there."""
        # An owner that has not read of our taking over may still obey our
        # predecessor: what it does not list may yet be started.
        if report.dispatch_epoch != self._desk.epoch:
            return
        if report.epoch < self._desk.reported.get(report.worker, 0):
            return
        worker = self._desk.worker(report.worker)
        if worker is None:
            return
        if report.reachable:
            self._desk.reported[report.worker] = report.epoch
            self._desk.planner.cell.set_usable_capacity(worker, report.room)
            self._compare(report)
        elif report.silent > self._desk.lapse_seconds:
            self._lapse_all(report.worker)
        await self._desk.wake.notify()

    def _compare(self, report: WorkerReport) -> None:
        report_by_task = {task.id: task for task in report.tasks}
        for track, task in self._desk.tracks.on_worker(report.worker):
            told = report_by_task.get(task.task_id)
            if told is not None and told.running:
                task.is_running = True
            elif told is not None:
                self._end_task(track, task, reported_outcome(told))
            elif report.as_of >= task.absent_after:
                self._end_task(track, task, self._absent_outcome(track, task, report))
        self._count_reported(report, report_by_task)

    def _absent_outcome(
        self,
        track: AttemptTrack,
        task: TaskTrack,
        report: WorkerReport,
    ) -> Outcome:
        """Judge a task that its worker does not list at all."""
        age = self._age(track)
        if not task.is_running and age < report.remembers:
            # The worker remembers everything since then: it never started.
            return Outcome.NOT_STARTED
        if track.idempotent:
            return Outcome.LAPSED
        return Outcome.LOST

    def _age(self, track: AttemptTrack) -> float:
        """Return how long ago the attempt's intent was written, at the most.

        One clock for an attempt of our own; two hosts' clocks for another's.
        """
        if track.adopted:
            return self._clock.wall() - track.intent_wall + WALL_MARGIN
        return self._clock.monotonic() - track.tracked_at + OWN_MARGIN

    def _count_reported(
        self,
        report: WorkerReport,
        report_by_task: dict[str, TaskReport],
    ) -> None:
        """Count in the cell what the worker runs, and nothing else."""
        worker = self._desk.worker(report.worker)
        if worker is None:
            return
        for task_id in tuple(worker.running_by_task):
            told = report_by_task.get(task_id)
            tracked = self._is_tracked(task_id)
            if not tracked and (told is None or not told.running):
                self._desk.planner.cell.remove_task(worker, task_id)
        for told in report.tasks:
            if told.running and told.id not in worker.running_by_task:
                self._desk.planner.cell.add_task(worker, self._running(told))
            if told.running and not self._desk.tracks.knows(told):
                self._judge_stranger(report.worker, told)

    def _is_tracked(self, task_id: str) -> bool:
        job, _, _ = task_id.rsplit('.', 2)
        track = self._desk.tracks.attempt_by_job.get(job)
        task = track.task_by_id.get(task_id) if track else None
        return task is not None and task.outcome is None

    def _running(self, told: TaskReport) -> RunningTask:
        job = self._jobs.get(told.job)
        customer = job.spec.customer if job else told.customer
        contract = self._contracts.effective(customer)
        task_class = job.spec.task_class if job else told.task_class
        terms = contract.terms(task_class) if contract else None
        now = self._clock.wall()
        may_stop = bool(job and job.spec.idempotent and job.spec.tasks == 1)
        declared = job.spec.run_seconds if job else 0
        kind = job.spec.kind if job else ''
        return RunningTask(
            told.id,
            told.job,
            customer,
            task_class,
            told.demand,
            now,
            now + self._desk.planner.estimate(customer, kind, declared),
            terms.priority if terms else 0,
            bool(terms and terms.preemptible and may_stop),
        )

    def _judge_stranger(self, worker: str, told: TaskReport) -> None:
        """Deal with a running task that no tracked attempt accounts for."""
        job = self._jobs.get(told.job)
        if job is not None and job.state is JobState.RUNNING and job.last is not None:
            if job.last.number == told.attempt:
                self._feeder.follow(job)
                return
        if job is not None and job.state is JobState.WAITING:
            if told.attempt == job.next_attempt and job.spec.tasks == 1:
                self._adopt_unrecorded(job, worker, told)
                return
        self._orders.stop_later(self._desk.epoch, worker, told.id)

    def _adopt_unrecorded(self, job: Job, worker: str, told: TaskReport) -> None:
        """Take over a task that was started during a log outage without a record."""
        if job.id in self._desk.tracks.attempt_by_job:
            return
        self._desk.planner.queue.remove(job.id)
        self._desk.shelved.discard(job.id)
        track = AttemptTrack(
            job.id,
            told.attempt,
            job.spec.customer,
            job.spec.idempotent,
            self._clock.wall(),
            adopted=True,
        )
        task = TaskTrack(told.id, worker, self._clock.monotonic(), is_running=True)
        self._desk.tracks.add(track, [task])
        intent = AttemptIntent(job.id, told.attempt, self._desk.epoch, self._me, (worker,))
        self._orders.write_later(intent)

    def _lapse_all(self, worker: str) -> None:
        for track, task in self._desk.tracks.on_worker(worker):
            outcome = Outcome.LAPSED if track.idempotent else Outcome.LOST
            self._end_task(track, task, outcome)

    def _end_task(self, track: AttemptTrack, task: TaskTrack, outcome: Outcome) -> None:
        task.outcome = outcome
        self._desk.release(task)
        self._learn(track, task, outcome)

    def _learn(self, track: AttemptTrack, task: TaskTrack, outcome: Outcome) -> None:
        worker = self._desk.worker(task.worker)
        job = self._jobs.get(track.job)
        if worker is None or job is None:
            return
        if outcome is Outcome.SUCCEEDED:
            self._desk.planner.cell.note_success(worker)
            ran = self._clock.wall() - track.intent_wall
            self._desk.times.note(track.customer, job.spec.kind, ran)
        elif outcome is Outcome.FAILED:
            now = self._clock.wall()
            if self._desk.planner.cell.note_failure(worker, track.job, now):
                self._journal.tell(
                    Part.PLACEMENT,
                    f'sends nothing to {worker.name} for a while; '
                    'several different jobs failed there.',
                    worker=worker.name,
                )
