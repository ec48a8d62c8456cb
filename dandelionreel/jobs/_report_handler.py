"""Compares the reports of worker owners with the attempts that the dispatcher tracks."""

from dandelionreel.contracts import ContractProjection
from dandelionreel.jobs._dispatcher_state import DispatcherState
from dandelionreel.jobs._job_projection import Job, JobProjection, JobState, Outcome
from dandelionreel.jobs._order_sender import OrderSender
from dandelionreel.jobs._queue_updater import QueueUpdater
from dandelionreel.jobs._records import AttemptIntent
from dandelionreel.jobs._tracked_attempts import TrackedAttempt, TrackedTask, parse_outcome
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.peers import TaskReport, WorkerReport
from dandelionreel.placement import RunningTask

#: Margin for the offset between two hosts' wall clocks.
WALL_CLOCK_MARGIN_SECONDS = 1.0
#: Margin for the time that it takes to make a report.
REPORT_MARGIN_SECONDS = 0.2


class ReportHandler:
    """Applies reports: ends tracked tasks, adopts running ones and stops unknown ones."""

    def __init__(
        self,
        own_member: str,
        state: DispatcherState,
        clock: Clock,
        jobs: JobProjection,
        contracts: ContractProjection,
        queue_updater: QueueUpdater,
        orders: OrderSender,
        journal: Journal,
    ) -> None:
        """Handle reports for the dispatcher ``own_member``."""
        self._own_member = own_member
        self._state = state
        self._clock = clock
        self._jobs = jobs
        self._contracts = contracts
        self._queue_updater = queue_updater
        self._orders = orders
        self._journal = journal

    async def handle(self, report: WorkerReport) -> None:
        """Apply a report of a worker's owner on the tasks there."""
        # An owner that has not read of this dispatch epoch may still obey the
        # previous dispatcher, and start a task that its report lacks.
        if report.dispatch_epoch != self._state.epoch:
            return
        if report.epoch < self._state.reported_epochs.get(report.worker, 0):
            return
        worker = self._state.find_worker(report.worker)
        if worker is None:
            return
        if report.reachable:
            self._state.reported_epochs[report.worker] = report.epoch
            self._state.planner.cell.set_usable_capacity(worker, report.usable_capacity)
            self._apply_report(report)
        elif report.unrenewed_seconds > self._state.lapse_seconds:
            self._end_all_tasks(report.worker)
        await self._state.wake.notify()

    def _apply_report(self, report: WorkerReport) -> None:
        report_by_task = {task.id: task for task in report.tasks}
        for tracked, task in self._state.tracker.tasks_on_worker(report.worker):
            reported = report_by_task.get(task.task_id)
            if reported is not None and reported.running:
                task.is_running = True
            elif reported is not None:
                self._end_task(tracked, task, parse_outcome(reported))
            elif report.as_of >= task.absent_after:
                self._end_task(tracked, task, self._classify_absent_task(tracked, task, report))
        self._update_running(report, report_by_task)

    def _classify_absent_task(
        self,
        tracked: TrackedAttempt,
        task: TrackedTask,
        report: WorkerReport,
    ) -> Outcome:
        """Return the outcome of a task that its worker's report lacks."""
        age = self._max_age(tracked)
        if not task.is_running and age < report.history_seconds:
            # The worker would remember the task if it had started since then.
            return Outcome.NOT_STARTED
        if tracked.idempotent:
            return Outcome.LAPSED
        return Outcome.LOST

    def _max_age(self, tracked: TrackedAttempt) -> float:
        """Return an upper bound of the age of the attempt's intent, in seconds.

        The age of an adopted attempt is the difference of two hosts' wall clocks;
        that of an own attempt is measured on the monotonic clock.
        """
        if tracked.adopted:
            return self._clock.unix_time() - tracked.intent_written_at + WALL_CLOCK_MARGIN_SECONDS
        return self._clock.monotonic() - tracked.tracked_at + REPORT_MARGIN_SECONDS

    def _update_running(
        self,
        report: WorkerReport,
        report_by_task: dict[str, TaskReport],
    ) -> None:
        """Make the cell's running tasks of a worker match its report."""
        worker = self._state.find_worker(report.worker)
        if worker is None:
            return
        for task_id in tuple(worker.running_by_task):
            reported = report_by_task.get(task_id)
            tracked = self._is_tracked(task_id)
            if not tracked and (reported is None or not reported.running):
                self._state.planner.cell.remove_task(worker, task_id)
        for reported in report.tasks:
            if reported.running and reported.id not in worker.running_by_task:
                self._state.planner.cell.add_task(worker, self._make_running(reported))
            if reported.running and not self._state.tracker.has_task(reported):
                self._handle_untracked_task(report.worker, reported)

    def _is_tracked(self, task_id: str) -> bool:
        job, _, _ = task_id.rsplit('.', 2)
        tracked = self._state.tracker.attempt_by_job.get(job)
        task = tracked.task_by_id.get(task_id) if tracked else None
        return task is not None and task.outcome is None

    def _make_running(self, reported: TaskReport) -> RunningTask:
        job = self._jobs.get(reported.job)
        customer = job.spec.customer if job else reported.customer
        contract = self._contracts.effective(customer)
        task_class = job.spec.task_class if job else reported.task_class
        terms = contract.terms(task_class) if contract else None
        now = self._clock.unix_time()
        may_stop = bool(job and job.spec.idempotent and job.spec.tasks == 1)
        declared = job.spec.run_seconds if job else 0
        kind = job.spec.kind if job else ''
        return RunningTask(
            reported.id,
            reported.job,
            customer,
            task_class,
            reported.demand,
            now,
            now + self._state.planner.estimate(customer, kind, declared),
            terms.priority if terms else 0,
            bool(terms and terms.preemptible and may_stop),
        )

    def _handle_untracked_task(self, worker: str, reported: TaskReport) -> None:
        """Adopt or stop a running task that belongs to no tracked attempt."""
        job = self._jobs.get(reported.job)
        if job is not None and job.state is JobState.RUNNING and job.last_attempt is not None:
            if job.last_attempt.number == reported.attempt:
                self._queue_updater.track_attempt(job)
                return
        if job is not None and job.state is JobState.WAITING:
            if reported.attempt == job.next_attempt and job.spec.tasks == 1:
                self._adopt_unrecorded_task(job, worker, reported)
                return
        self._orders.queue_stop(self._state.epoch, worker, reported.id)

    def _adopt_unrecorded_task(self, job: Job, worker: str, reported: TaskReport) -> None:
        """Adopt a task whose intent was not written because the log was unavailable."""
        if job.id in self._state.tracker.attempt_by_job:
            return
        self._state.planner.queue.remove(job.id)
        self._state.deferred.discard(job.id)
        tracked = TrackedAttempt(
            job.id,
            reported.attempt,
            job.spec.customer,
            job.spec.idempotent,
            self._clock.unix_time(),
            adopted=True,
        )
        task = TrackedTask(reported.id, worker, self._clock.monotonic(), is_running=True)
        self._state.tracker.add(tracked, [task])
        intent = AttemptIntent(
            job.id, reported.attempt, self._state.epoch, self._own_member, (worker,)
        )
        self._orders.queue_record(intent)

    def _end_all_tasks(self, worker: str) -> None:
        for tracked, task in self._state.tracker.tasks_on_worker(worker):
            outcome = Outcome.LAPSED if tracked.idempotent else Outcome.LOST
            self._end_task(tracked, task, outcome)

    def _end_task(self, tracked: TrackedAttempt, task: TrackedTask, outcome: Outcome) -> None:
        task.outcome = outcome
        self._state.release(task)
        self._record_result(tracked, task, outcome)

    def _record_result(self, tracked: TrackedAttempt, task: TrackedTask, outcome: Outcome) -> None:
        worker = self._state.find_worker(task.worker)
        job = self._jobs.get(tracked.job)
        if worker is None or job is None:
            return
        if outcome is Outcome.SUCCEEDED:
            self._state.planner.cell.note_success(worker)
            duration = self._clock.unix_time() - tracked.intent_written_at
            self._state.run_times.add_run(tracked.customer, job.spec.kind, duration)
        elif outcome is Outcome.FAILED:
            now = self._clock.unix_time()
            if self._state.planner.cell.note_failure(worker, tracked.job, now):
                self._journal.log(
                    Part.PLACEMENT,
                    f'quarantines {worker.name}; several different jobs failed there.',
                    worker=worker.name,
                )
