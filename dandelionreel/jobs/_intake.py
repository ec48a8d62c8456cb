"""Accepting, showing, listing, cancelling and settling jobs, for this zone or another."""

import os

import msgspec
import xxhash

from dandelionreel.backing import HostEntry, HostWatch, LogError, StreamReader, StreamWriter
from dandelionreel.contracts import ContractBook, require_contract
from dandelionreel.http import Answer, Request, answer_json
from dandelionreel.jobs._book import OPEN_QUESTIONS, Job, JobBook
from dandelionreel.jobs._records import JobAccepted, JobResolved, JobsCancelled
from dandelionreel.jobs._spec import JobSpec, JobSpecError, load_spec
from dandelionreel.jobs._views import (
    CancelBody,
    CancelDone,
    JobPage,
    ResolveBody,
    view_job,
)
from dandelionreel.kernel import (
    Clock,
    Journal,
    Part,
    Problem,
    RequestError,
    Settings,
    Verdict,
    clip,
    not_run,
    unknown,
    zones_of,
)
from dandelionreel.ownership import choose_owner
from dandelionreel.placement import count_fitting

KEY_HEADER = 'idempotency-key'
ID_BYTES = 8
WRITE_PATIENCE = 5.0
RETRY_AFTER = 5.0
PAGE_LIMIT = 1000
DEFAULT_PAGE = 100
CANCEL_LIMIT = 10_000
HTTP_ACCEPTED = 202
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_INVALID = 422
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


def zone_of_job(job: str) -> str:
    """Return the zone that a job's id names."""
    zone, _, _ = job.rpartition('.')
    return zone


class Intake:
    """This zone's jobs towards callers; the zone's stream is the only store."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        jobs: JobBook,
        contracts: ContractBook,
        hosts: HostWatch,
        reader: StreamReader,
        writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Accept for the zone of ``settings``."""
        self._settings = settings
        self._zone = settings.availability_zone
        self._clock = clock
        self._jobs = jobs
        self._contracts = contracts
        self._hosts = hosts
        self._reader = reader
        self._writer = writer
        self._journal = journal

    def home_zone(self, request: Request) -> str:
        """Return the zone that keeps the job's idempotency key.

        It must be the same whichever daemon is asked, or a repeated submission
        would be accepted twice. Without a key any zone will do.
        """
        key = request.header(KEY_HEADER)
        if not key:
            return self._zone
        customer = self._read_spec(request).customer
        return choose_owner(f'job|{customer}|{key}', zones_of(self._settings))

    async def submit(self, request: Request) -> Answer:
        """Accept a job of this zone; raises ``RequestError``."""
        spec = self._read_spec(request)
        key = request.header(KEY_HEADER) or os.urandom(ID_BYTES).hex()
        digest = xxhash.xxh64_hexdigest(msgspec.json.encode(spec))
        known = self._jobs.by_key(spec.customer, key)
        if known is None:
            self._check_old(spec.customer, key)
            self._check_allowed(spec)
            known = await self._accept(spec, key, digest)
        if known.digest != digest:
            raise not_run(
                HTTP_INVALID,
                'key-reused',
                f'this idempotency key belongs to job {known.id}, which is another job',
            )
        return answer_json(view_job(known), HTTP_ACCEPTED)

    def show(self, job_id: str) -> Answer:
        """Return one job; raises ``RequestError``."""
        return answer_json(view_job(self._find(job_id)))

    def moved_to(self, job_id: str) -> str:
        """Return the zone that a job of this zone has gone to, or an empty text."""
        job = self._jobs.get(job_id)
        return job.moved_to if job else ''

    def list_page(self, request: Request) -> Answer:
        """Return a page of jobs, filtered by customer and state."""
        query = request.query_by_name
        text = query.get('limit', str(DEFAULT_PAGE))
        if not text.isdecimal() or not 1 <= int(clip(text)) <= PAGE_LIMIT:
            raise not_run(
                HTTP_BAD_REQUEST,
                'bad-query',
                f'limit: {clip(text)!r} is not allowed; give 1 to {PAGE_LIMIT}',
            )
        limit = int(text)
        jobs = self._jobs.page(
            query.get('after', ''),
            limit,
            query.get('customer', ''),
            query.get('state', ''),
        )
        next_after = jobs[-1].id if len(jobs) == limit else ''
        return answer_json(JobPage(tuple(view_job(job) for job in jobs), next_after))

    def read_cancel(self, request: Request) -> CancelBody:
        """Return which jobs to cancel; raises ``RequestError``."""
        try:
            body = msgspec.json.decode(request.body, type=CancelBody)
        except msgspec.MsgspecError as error:
            raise not_run(HTTP_BAD_REQUEST, 'bad-body', f'{error}') from error
        if not 1 <= len(body.jobs) <= CANCEL_LIMIT:
            raise not_run(
                HTTP_BAD_REQUEST,
                'bad-body',
                f'jobs: names {len(body.jobs)}; give 1 to {CANCEL_LIMIT}',
            )
        return body

    async def cancel(self, jobs: tuple[str, ...]) -> CancelDone:
        """Cancel jobs of this zone with one record; raises ``RequestError``."""
        known = tuple(job for job in jobs if self._jobs.get(job) is not None)
        missing = tuple(job for job in jobs if self._jobs.get(job) is None)
        if known:
            await self._write(JobsCancelled(known))
            self._journal.tell(Part.JOBS, f'cancelled {len(known)} jobs.')
        return CancelDone(len(known), missing)

    async def resolve(self, job_id: str, request: Request) -> Answer:
        """Settle an uncertain or parked job by an operator's word."""
        job = self._find(job_id)
        try:
            body = msgspec.json.decode(request.body, type=ResolveBody)
        except msgspec.MsgspecError as error:
            raise not_run(HTTP_BAD_REQUEST, 'bad-body', f'{error}') from error
        if body.outcome not in {'ran', 'not_run'}:
            raise not_run(
                HTTP_BAD_REQUEST,
                'bad-body',
                f'outcome: {clip(body.outcome)!r} is not allowed; give ran or not_run',
            )
        if job.state not in OPEN_QUESTIONS:
            raise not_run(
                HTTP_CONFLICT,
                'job-not-open',
                f'job {job_id} is {job.state.value}; only uncertain or parked ones are resolved',
            )
        await self._write(JobResolved(job_id, body.outcome))
        return self.show(job_id)

    async def _accept(self, spec: JobSpec, key: str, digest: str) -> Job:
        job_id = f'{self._zone}.{os.urandom(ID_BYTES).hex()}'
        await self._write(JobAccepted(job_id, key, digest, spec))
        # Another daemon may have written the same key first.
        job = self._jobs.by_key(spec.customer, key)
        if job is None:
            raise unknown(HTTP_TIMEOUT, 'job-not-read-back', 'ask again with the same key')
        self._journal.tell_frequent(
            Part.JOBS,
            f'accepted {job.id}; its record was read back.',
            job=job.id,
            customer=spec.customer,
        )
        return job

    async def _write(self, record: msgspec.Struct) -> None:
        if self._reader.outage_since is not None:
            raise not_run(
                HTTP_UNAVAILABLE,
                'log-unavailable',
                'the log is out of reach; nothing was taken',
                RETRY_AFTER,
            )
        try:
            await self._writer.write(record, WRITE_PATIENCE)
        except LogError as error:
            raise _log_trouble(error) from error

    def _read_spec(self, request: Request) -> JobSpec:
        try:
            return load_spec(request.body)
        except JobSpecError as error:
            raise not_run(HTTP_BAD_REQUEST, 'bad-job', f'{error}') from error

    def _find(self, job_id: str) -> Job:
        job = self._jobs.get(job_id)
        if job is None:
            raise not_run(HTTP_NOT_FOUND, 'unknown-job', f'no job {clip(job_id)!r} is known')
        return job

    def _check_old(self, customer: str, key: str) -> None:
        old = self._jobs.old_id(customer, key)
        if not old:
            return
        raise RequestError(
            Problem(
                Verdict.RAN,
                HTTP_CONFLICT,
                'already-ran',
                f'this idempotency key belongs to job {old}, which ended earlier',
            ),
        )

    def _check_allowed(self, spec: JobSpec) -> None:
        contract = require_contract(self._contracts, spec.customer, spec.task_class)
        total = spec.resources.times(spec.tasks)
        if not total.fits(contract.quota.resources()):
            raise not_run(
                HTTP_INVALID,
                'above-quota',
                f'demand: {total} is above the quota of {spec.customer}, '
                f'{contract.quota.resources()}; it could never run',
            )
        if self._jobs.live(spec.customer) >= contract.jobs_waiting:
            raise not_run(
                HTTP_TOO_MANY,
                'too-many-jobs',
                f'{spec.customer} has {contract.jobs_waiting} jobs here already',
                RETRY_AFTER,
            )
        self._check_fits_ever(spec)

    def _check_fits_ever(self, spec: JobSpec) -> None:
        """Refuse at once what no worker can ever hold."""
        workers = self._hosts.of_kind('worker', self._zone)
        if not workers:
            return
        places = sum(
            min(spec.tasks, count_fitting(spec.resources, one.capacity)) for one in workers
        )
        if places >= spec.tasks:
            return
        largest = max(workers, key=_processors).capacity
        raise not_run(
            HTTP_INVALID,
            'never-fits',
            f'demand: {spec.tasks} times {spec.resources} fits no set of workers here, '
            f'the largest has {largest}; it could never run',
        )


def _processors(entry: HostEntry) -> float:
    return entry.capacity.processors


def _log_trouble(error: LogError) -> RequestError:
    if error.verdict is Verdict.NOT_RUN:
        return not_run(
            HTTP_UNAVAILABLE,
            'log-unavailable',
            'the log is out of reach; nothing was taken',
            RETRY_AFTER,
        )
    return unknown(
        HTTP_TIMEOUT,
        'log-outcome-unknown',
        'the log did not confirm in time; ask again with the same idempotency key',
    )
