"""From the log to the queue: which jobs wait, and which attempts to follow."""

from dandelionreel.backing import HostWatch
from dandelionreel.contracts import ContractBook
from dandelionreel.jobs._book import Job, JobBook, JobState, Outcome
from dandelionreel.jobs._desk import Desk
from dandelionreel.jobs._shares import ShareKeeper
from dandelionreel.jobs._tracks import AttemptTrack, TaskTrack
from dandelionreel.kernel import Clock, Settings
from dandelionreel.placement import CustomerTerms, Work, task_ids

UNSHELVE_SECONDS = 0.25


class QueueFeeder:
    """Brings the desk's queue and cell in step with log, contracts and host list."""

    def __init__(
        self,
        desk: Desk,
        settings: Settings,
        clock: Clock,
        jobs: JobBook,
        contracts: ContractBook,
        shares: ShareKeeper,
        hosts: HostWatch,
    ) -> None:
        """Feed ``desk``."""
        self._desk = desk
        self._settings = settings
        self._clock = clock
        self._jobs = jobs
        self._contracts = contracts
        self._shares = shares
        self._hosts = hosts
        self._shelf_checked_at = 0.0

    def feed(self) -> None:
        """Take in all that has changed since the last round."""
        self._refresh_terms()
        self._follow_hosts()
        self._absorb_changes()
        self._unshelve()

    def follow(self, job: Job) -> None:
        """Track an attempt that another dispatcher started."""
        attempt = job.last
        self._desk.planner.queue.remove(job.id)
        if attempt is None or job.id in self._desk.tracks.attempt_by_job:
            return
        track = AttemptTrack(
            job.id,
            attempt.number,
            job.spec.customer,
            job.spec.idempotent,
            attempt.wall,
            adopted=True,
        )
        # Reports count at once: their makers know our epoch and refuse what
        # the former dispatcher may still order (spec/attempts.py).
        counts_from = self._clock.monotonic()
        ids = task_ids(job.id, attempt.number, len(attempt.workers))
        tasks = [
            TaskTrack(task_id, worker, counts_from)
            for task_id, worker in zip(ids, attempt.workers, strict=True)
        ]
        self._desk.tracks.add(track, tasks)

    def _refresh_terms(self) -> None:
        terms_by_customer = {}
        for customer in self._contracts.customers():
            contract = self._contracts.effective(customer)
            if contract is None:
                continue
            share = self._shares.usable(customer)
            terms_by_customer[customer] = CustomerTerms(
                contract.weight,
                contract.quota.resources().times(share),
                contract.guaranteed.resources().times(share),
            )
        self._desk.replace_terms(terms_by_customer)

    def _follow_hosts(self) -> None:
        zone = self._settings.availability_zone
        listed = set()
        for entry in self._hosts.of_kind('worker', zone):
            listed.add(entry.name)
            if not entry.is_live:
                self._close_to_new(entry.name)
                continue
            if entry.name not in self._desk.planner.cell.worker_by_name:
                worker = self._desk.planner.cell.add(entry.name, entry.rack, entry.capacity)
                # Nothing is placed there before its owner has reported it.
                self._desk.planner.cell.set_usable_capacity(worker, worker.used)
        cell = self._desk.planner.cell
        for name in tuple(cell.worker_by_name):
            if name not in listed and not self._desk.tracks.on_worker(name):
                cell.remove(name)

    def _close_to_new(self, name: str) -> None:
        worker = self._desk.planner.cell.worker_by_name.get(name)
        if worker is not None:
            self._desk.planner.cell.set_usable_capacity(worker, worker.used)

    def _absorb_changes(self) -> None:
        for job_id in self._desk.changes.take():
            job = self._jobs.get(job_id)
            if job is None or job.state not in {JobState.WAITING, JobState.RUNNING}:
                self._desk.planner.queue.remove(job_id)
                self._desk.shelved.discard(job_id)
                continue
            if job.state is JobState.WAITING:
                self._enqueue(job)
            else:
                self.follow(job)

    def _enqueue(self, job: Job) -> None:
        if job.id in self._desk.planner.queue or job.id in self._desk.tracks.attempt_by_job:
            return
        now = self._clock.wall()
        if self._desk.not_before.get(job.id, 0) > now:
            self._desk.shelved.add(job.id)
            return
        self._desk.not_before.pop(job.id, None)
        if not self._may_start_again(job):
            self._desk.shelved.add(job.id)
            return
        work = self._work(job)
        if work is None:
            self._desk.shelved.add(job.id)
            return
        self._desk.shelved.discard(job.id)
        self._desk.planner.queue.add(work)

    def _may_start_again(self, job: Job) -> bool:
        """Return whether no unrecorded attempt of the job can be running.

        While the log was out, a former dispatcher may have started idempotent
        jobs whose intents never reached it. Its tasks show in the reports of
        the workers' owners, or their leases lapse.
        """
        if not job.spec.idempotent:
            return True
        names = {
            entry.name for entry in self._hosts.of_kind('worker', self._settings.availability_zone)
        }
        if names <= set(self._desk.reported):
            return True
        return self._clock.monotonic() - self._desk.took_over_at > self._desk.lapse_seconds

    def _work(self, job: Job) -> Work | None:
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
            run_seconds=self._desk.planner.estimate(spec.customer, spec.kind, spec.run_seconds),
            kind=spec.kind,
            avoid=self._avoided(job),
            attempt=job.next_attempt,
        )

    def _avoided(self, job: Job) -> frozenset[str]:
        failed = {
            worker
            for attempt in job.attempts
            if attempt.outcome is Outcome.FAILED
            for worker in attempt.workers
        }
        until, refused = self._desk.avoid.get(job.id, (0.0, frozenset()))
        if until > self._clock.monotonic():
            failed |= refused
        if len(failed) >= len(self._desk.planner.cell.worker_by_name):
            return frozenset()
        return frozenset(failed)

    def _unshelve(self) -> None:
        now = self._clock.monotonic()
        if now - self._shelf_checked_at < UNSHELVE_SECONDS:
            return
        self._shelf_checked_at = now
        for job_id in tuple(self._desk.shelved):
            job = self._jobs.get(job_id)
            if job is not None and job.state is JobState.WAITING:
                self._enqueue(job)
            else:
                self._desk.shelved.discard(job_id)
