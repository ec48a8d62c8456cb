"""Updates the dispatcher's queue and workers from the log, the contracts and the host list."""

from dandelionreel.backing import HostWatch
from dandelionreel.contracts import ContractProjection
from dandelionreel.jobs._dispatcher_state import DispatcherState
from dandelionreel.jobs._job_projection import Job, JobProjection, JobState, Outcome
from dandelionreel.jobs._quota_shares import QuotaShareBalancer
from dandelionreel.jobs._tracked_attempts import TrackedAttempt, TrackedTask
from dandelionreel.kernel import Clock, Settings
from dandelionreel.placement import CustomerTerms, Work, task_ids

DEFERRED_RETRY_SECONDS = 0.25


class QueueUpdater:
    """Keeps the queue and the cell of a ``DispatcherState`` up to date."""

    def __init__(
        self,
        state: DispatcherState,
        settings: Settings,
        clock: Clock,
        jobs: JobProjection,
        contracts: ContractProjection,
        shares: QuotaShareBalancer,
        hosts: HostWatch,
    ) -> None:
        """Update ``state``."""
        self._state = state
        self._settings = settings
        self._clock = clock
        self._jobs = jobs
        self._contracts = contracts
        self._shares = shares
        self._hosts = hosts
        self._deferred_checked_at = 0.0

    def update(self) -> None:
        """Apply all changes since the last round."""
        self._update_terms()
        self._update_workers()
        self._apply_changes()
        self._requeue_deferred()

    def track_attempt(self, job: Job) -> None:
        """Track the last attempt of a job, which another dispatcher started."""
        attempt = job.last_attempt
        self._state.planner.queue.remove(job.id)
        if attempt is None or job.id in self._state.tracker.attempt_by_job:
            return
        tracked = TrackedAttempt(
            job.id,
            attempt.number,
            job.spec.customer,
            job.spec.idempotent,
            attempt.intent_written_at,
            adopted=True,
        )
        # Reports count at once: their senders know this epoch and refuse any
        # late orders of the former dispatcher (spec/attempts.py).
        absent_after = self._clock.monotonic()
        ids = task_ids(job.id, attempt.number, len(attempt.workers))
        tasks = [
            TrackedTask(task_id, worker, absent_after)
            for task_id, worker in zip(ids, attempt.workers, strict=True)
        ]
        self._state.tracker.add(tracked, tasks)

    def _update_terms(self) -> None:
        terms_by_customer = {}
        for customer in self._contracts.customers():
            contract = self._contracts.effective(customer)
            if contract is None:
                continue
            share = self._shares.usable_share(customer)
            terms_by_customer[customer] = CustomerTerms(
                contract.weight,
                contract.quota.resources().times(share),
                contract.guaranteed.resources().times(share),
            )
        self._state.replace_terms(terms_by_customer)

    def _update_workers(self) -> None:
        zone = self._settings.availability_zone
        listed = set()
        for entry in self._hosts.zone_hosts_of_kind('worker', zone):
            listed.add(entry.name)
            if not entry.is_live:
                self._block_new_tasks(entry.name)
                continue
            if entry.name not in self._state.planner.cell.worker_by_name:
                worker = self._state.planner.cell.add(entry.name, entry.rack, entry.capacity)
                # No task is placed there until its owner has sent a report.
                self._state.planner.cell.set_usable_capacity(worker, worker.used)
        cell = self._state.planner.cell
        for name in tuple(cell.worker_by_name):
            if name not in listed and not self._state.tracker.tasks_on_worker(name):
                cell.remove(name)

    def _block_new_tasks(self, name: str) -> None:
        worker = self._state.planner.cell.worker_by_name.get(name)
        if worker is not None:
            self._state.planner.cell.set_usable_capacity(worker, worker.used)

    def _apply_changes(self) -> None:
        for job_id in self._state.changes.pop_all():
            job = self._jobs.get(job_id)
            if job is None or job.state not in {JobState.WAITING, JobState.RUNNING}:
                self._state.planner.queue.remove(job_id)
                self._state.deferred.discard(job_id)
                continue
            if job.state is JobState.WAITING:
                self._enqueue(job)
            else:
                self.track_attempt(job)

    def _enqueue(self, job: Job) -> None:
        if job.id in self._state.planner.queue or job.id in self._state.tracker.attempt_by_job:
            return
        now = self._clock.unix_time()
        if self._state.not_before.get(job.id, 0) > now:
            self._state.deferred.add(job.id)
            return
        self._state.not_before.pop(job.id, None)
        if not self._may_start_again(job):
            self._state.deferred.add(job.id)
            return
        work = self._make_work(job)
        if work is None:
            self._state.deferred.add(job.id)
            return
        self._state.deferred.discard(job.id)
        self._state.planner.queue.add(work)

    def _may_start_again(self, job: Job) -> bool:
        """Return whether no unrecorded attempt of the job can be running.

        During a log outage, a former dispatcher may have started idempotent
        jobs whose intents were never written. Such tasks appear in the
        workers' reports, or their leases expire.
        """
        if not job.spec.idempotent:
            return True
        names = {
            entry.name
            for entry in self._hosts.zone_hosts_of_kind('worker', self._settings.availability_zone)
        }
        if names <= set(self._state.reported_epochs):
            return True
        return self._clock.monotonic() - self._state.took_over_at > self._state.lapse_seconds

    def _make_work(self, job: Job) -> Work | None:
        contract = self._contracts.effective(job.spec.customer)
        terms = contract.terms(job.spec.task_class) if contract else None
        if terms is None:
            return None
        spec = job.spec
        longest_wait = terms.longest_wait
        if spec.longest_wait is not None:
            longest_wait = min(longest_wait, spec.longest_wait)
        return Work(
            id=job.id,
            customer=spec.customer,
            task_class=spec.task_class,
            demand=spec.resources,
            accepted_at=job.accepted_at,
            longest_wait=longest_wait,
            priority=terms.priority,
            tasks=spec.tasks,
            preemptible=terms.preemptible and spec.idempotent and spec.tasks == 1,
            idempotent=spec.idempotent,
            run_seconds=self._state.planner.estimate(spec.customer, spec.kind, spec.run_seconds),
            kind=spec.kind,
            avoid=self._find_workers_to_avoid(job),
            attempt=job.next_attempt,
        )

    def _find_workers_to_avoid(self, job: Job) -> frozenset[str]:
        failed = {
            worker
            for attempt in job.attempts
            if attempt.outcome is Outcome.FAILED
            for worker in attempt.workers
        }
        avoid_until, refused = self._state.avoided_workers.get(job.id, (0.0, frozenset()))
        if avoid_until > self._clock.monotonic():
            failed |= refused
        if len(failed) >= len(self._state.planner.cell.worker_by_name):
            return frozenset()
        return frozenset(failed)

    def _requeue_deferred(self) -> None:
        now = self._clock.monotonic()
        if now - self._deferred_checked_at < DEFERRED_RETRY_SECONDS:
            return
        self._deferred_checked_at = now
        for job_id in tuple(self._state.deferred):
            job = self._jobs.get(job_id)
            if job is not None and job.state is JobState.WAITING:
                self._enqueue(job)
            else:
                self._state.deferred.discard(job_id)
