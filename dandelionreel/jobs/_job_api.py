"""The job API of a zone: submit, show, list, cancel and resolve jobs."""

import os

import msgspec
import xxhash

from dandelionreel.backing import HostEntry, HostWatch, LogError, StreamReader, StreamWriter
from dandelionreel.contracts import ContractProjection, require_contract
from dandelionreel.http import Request, Response, json_response
from dandelionreel.jobs._job_projection import RESOLVABLE_STATES, Job, JobProjection
from dandelionreel.jobs._records import JobAccepted, JobResolved, JobsCancelled
from dandelionreel.jobs._spec import JobSpec, JobSpecError, load_job_spec
from dandelionreel.jobs._views import (
    CancelBody,
    CancelResult,
    JobPage,
    ResolveBody,
    view_job,
)
from dandelionreel.kernel import (
    Clock,
    Journal,
    JsonError,
    Part,
    Problem,
    RequestError,
    Settings,
    Verdict,
    clip_text,
    decode_json,
    not_run_error,
    outcome_unknown_error,
    zones_of,
)
from dandelionreel.ownership import choose_owner
from dandelionreel.placement import count_fitting_tasks

IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
RANDOM_ID_BYTES = 8
WRITE_TIMEOUT_SECONDS = 5.0
RETRY_AFTER_SECONDS = 5.0
MAX_PAGE_SIZE = 1000
DEFAULT_PAGE_SIZE = 100
MAX_CANCELLED_JOBS = 10_000
HTTP_ACCEPTED = 202
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_INVALID = 422
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


def zone_of_job(job: str) -> str:
    """Return the zone part of a job's id, which has the form ``zone.random``."""
    zone, _, _ = job.rpartition('.')
    return zone


class JobApi:
    """Serves the jobs of this zone; they are stored only in the zone's log stream."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        jobs: JobProjection,
        contracts: ContractProjection,
        hosts: HostWatch,
        reader: StreamReader,
        writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Serve the zone of ``settings``."""
        self._settings = settings
        self._zone = settings.availability_zone
        self._clock = clock
        self._jobs = jobs
        self._contracts = contracts
        self._hosts = hosts
        self._reader = reader
        self._writer = writer
        self._journal = journal

    def find_home_zone(self, request: Request) -> str:
        """Return the zone that accepts and stores a submitted job.

        The zone is derived from the customer and the idempotency key: all daemons
        must choose the same zone, or a repeated submission would be accepted
        twice. Without a key it is the zone of this daemon.
        """
        key = request.header(IDEMPOTENCY_KEY_HEADER)
        if not key:
            return self._zone
        customer = self._read_spec(request).customer
        return choose_owner(f'job|{customer}|{key}', zones_of(self._settings))

    async def submit(self, request: Request) -> Response:
        """Accept a job into this zone; raises ``RequestError``."""
        spec = self._read_spec(request)
        key = request.header(IDEMPOTENCY_KEY_HEADER) or os.urandom(RANDOM_ID_BYTES).hex()
        digest = xxhash.xxh64_hexdigest(msgspec.json.encode(spec))
        known = self._jobs.find_by_key(spec.customer, key)
        if known is None:
            self._check_key_not_of_ended_job(spec.customer, key)
            self._check_job_admission(spec)
            known = await self._accept_job(spec, key, digest)
        if known.digest != digest:
            raise not_run_error(
                HTTP_INVALID,
                'key-reused',
                f'this idempotency key belongs to job {known.id}, which is another job',
            )
        return json_response(view_job(known), HTTP_ACCEPTED)

    def show(self, job_id: str) -> Response:
        """Return a job; raises ``RequestError``."""
        return json_response(view_job(self._find_job(job_id)))

    def zone_moved_to(self, job_id: str) -> str:
        """Return the zone that a job was moved to, or an empty string."""
        job = self._jobs.get(job_id)
        return job.moved_to if job else ''

    def list_jobs_page(self, request: Request) -> Response:
        """Return a page of jobs, filtered by customer and state."""
        query = request.query_by_name
        text = query.get('limit', str(DEFAULT_PAGE_SIZE))
        if not text.isdecimal() or not 1 <= int(clip_text(text)) <= MAX_PAGE_SIZE:
            raise not_run_error(
                HTTP_BAD_REQUEST,
                'bad-query',
                f'limit: {clip_text(text)!r} is not allowed; give 1 to {MAX_PAGE_SIZE}',
            )
        limit = int(text)
        jobs = self._jobs.list_jobs_page(
            query.get('after', ''),
            limit,
            query.get('customer', ''),
            query.get('state', ''),
        )
        next_after = jobs[-1].id if len(jobs) == limit else ''
        return json_response(JobPage(tuple(view_job(job) for job in jobs), next_after))

    def decode_cancel_body(self, request: Request) -> CancelBody:
        """Decode a request to cancel jobs; raises ``RequestError``."""
        try:
            body = decode_json(request.body, CancelBody)
        except JsonError as error:
            raise not_run_error(HTTP_BAD_REQUEST, 'bad-body', f'{error}') from error
        if not 1 <= len(body.jobs) <= MAX_CANCELLED_JOBS:
            raise not_run_error(
                HTTP_BAD_REQUEST,
                'bad-body',
                f'jobs: names {len(body.jobs)}; give 1 to {MAX_CANCELLED_JOBS}',
            )
        return body

    async def cancel(self, jobs: tuple[str, ...]) -> CancelResult:
        """Cancel jobs of this zone by a single log record; raises ``RequestError``."""
        known = tuple(job for job in jobs if self._jobs.get(job) is not None)
        missing = tuple(job for job in jobs if self._jobs.get(job) is None)
        if known:
            await self._write_record(JobsCancelled(known))
            self._journal.log(Part.JOBS, f'cancelled {len(known)} jobs.')
        return CancelResult(len(known), missing)

    async def resolve(self, job_id: str, request: Request) -> Response:
        """Apply an operator's resolution to a job.

        Only a job that may have run (``uncertain``) or has failed too often
        (``parked``) can be resolved.
        """
        job = self._find_job(job_id)
        try:
            body = decode_json(request.body, ResolveBody)
        except JsonError as error:
            raise not_run_error(HTTP_BAD_REQUEST, 'bad-body', f'{error}') from error
        if body.outcome not in {'ran', 'not_run'}:
            raise not_run_error(
                HTTP_BAD_REQUEST,
                'bad-body',
                f'outcome: {clip_text(body.outcome)!r} is not allowed; give ran or not_run',
            )
        if job.state not in RESOLVABLE_STATES:
            raise not_run_error(
                HTTP_CONFLICT,
                'job-not-open',
                f'job {job_id} is {job.state.value}; only uncertain or parked ones are resolved',
            )
        await self._write_record(JobResolved(job_id, body.outcome))
        return self.show(job_id)

    async def _accept_job(self, spec: JobSpec, key: str, digest: str) -> Job:
        job_id = f'{self._zone}.{os.urandom(RANDOM_ID_BYTES).hex()}'
        await self._write_record(JobAccepted(job_id, key, digest, spec))
        # Another daemon may have accepted a job with the same key first.
        job = self._jobs.find_by_key(spec.customer, key)
        if job is None:
            raise outcome_unknown_error(
                HTTP_TIMEOUT,
                'job-not-read-back',
                'ask again with the same key',
            )
        self._journal.log_sampled(
            Part.JOBS,
            f'accepted {job.id}; its record was read back from the log.',
            job=job.id,
            customer=spec.customer,
        )
        return job

    async def _write_record(self, record: msgspec.Struct) -> None:
        if self._reader.outage_since is not None:
            raise not_run_error(
                HTTP_UNAVAILABLE,
                'log-unavailable',
                'the log is out of reach; nothing was taken',
                RETRY_AFTER_SECONDS,
            )
        try:
            await self._writer.write(record, WRITE_TIMEOUT_SECONDS)
        except LogError as error:
            raise _translate_log_error(error) from error

    def _read_spec(self, request: Request) -> JobSpec:
        try:
            return load_job_spec(request.body)
        except JobSpecError as error:
            raise not_run_error(HTTP_BAD_REQUEST, 'bad-job', f'{error}') from error

    def _find_job(self, job_id: str) -> Job:
        job = self._jobs.get(job_id)
        if job is None:
            raise not_run_error(
                HTTP_NOT_FOUND, 'unknown-job', f'no job {clip_text(job_id)!r} is known'
            )
        return job

    def _check_key_not_of_ended_job(self, customer: str, key: str) -> None:
        ended_id = self._jobs.find_ended_job_id(customer, key)
        if not ended_id:
            return
        raise RequestError(
            Problem(
                Verdict.RAN,
                HTTP_CONFLICT,
                'already-ran',
                f'this idempotency key belongs to job {ended_id}, which ended earlier',
            ),
        )

    def _check_job_admission(self, spec: JobSpec) -> None:
        contract = require_contract(self._contracts, spec.customer, spec.task_class)
        total = spec.resources.times(spec.tasks)
        if not total.fits(contract.quota.resources()):
            raise not_run_error(
                HTTP_INVALID,
                'above-quota',
                f'demand: {total} is above the quota of {spec.customer}, '
                f'{contract.quota.resources()}; it could never run',
            )
        if self._jobs.count_live_jobs(spec.customer) >= contract.jobs_waiting:
            raise not_run_error(
                HTTP_TOO_MANY,
                'too-many-jobs',
                f'{spec.customer} has {contract.jobs_waiting} jobs here already',
                RETRY_AFTER_SECONDS,
            )
        self._check_fits_workers(spec)

    def _check_fits_workers(self, spec: JobSpec) -> None:
        """Reject a job that does not fit on the zone's workers even if they are empty."""
        workers = self._hosts.zone_hosts_of_kind('worker', self._zone)
        if not workers:
            return
        capacity_in_tasks = sum(
            min(spec.tasks, count_fitting_tasks(spec.resources, worker.capacity))
            for worker in workers
        )
        if capacity_in_tasks >= spec.tasks:
            return
        largest = max(workers, key=_processor_capacity).capacity
        raise not_run_error(
            HTTP_INVALID,
            'never-fits',
            f'demand: {spec.tasks} times {spec.resources} fits no set of workers here, '
            f'the largest has {largest}; it could never run',
        )


def _processor_capacity(entry: HostEntry) -> float:
    return entry.capacity.processors


def _translate_log_error(error: LogError) -> RequestError:
    if error.verdict is Verdict.NOT_RUN:
        return not_run_error(
            HTTP_UNAVAILABLE,
            'log-unavailable',
            'the log is out of reach; nothing was taken',
            RETRY_AFTER_SECONDS,
        )
    return outcome_unknown_error(
        HTTP_TIMEOUT,
        'log-outcome-unknown',
        'the log did not confirm in time; ask again with the same idempotency key',
    )
