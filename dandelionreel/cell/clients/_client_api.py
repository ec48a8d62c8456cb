"""The HTTP API for clients: submit a job, get its state, cancel it, count waiting jobs."""

import re
from collections.abc import Callable
from functools import partial
from typing import Any

from dandelionreel.cell.clients._access import AccessControl, DenialReason
from dandelionreel.cell.clients._client_call import (
    CAUSE_HEADER,
    DOUBT_CAUSE,
    STORE_UNAVAILABLE_CAUSE,
    ClientCall,
    not_run_response,
    unavailable_response,
)
from dandelionreel.cell.clients._client_writes import (
    RETRYABLE_STATUSES,
    STALE_READ_SECONDS,
    ClientWrites,
)
from dandelionreel.cell.clients._queue_lookup import MissingQueue, QueueLookup
from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.clients._write_attempts import HTTP_TIMEOUT
from dandelionreel.cell.membership import PartitionDetector
from dandelionreel.cell.model import (
    CANCELLATION_PREFIX,
    FINAL_STATES,
    SUBMISSION_PREFIX,
    Cancellation,
    ClientCodec,
    Configuration,
    JobSpec,
    Queue,
    Submission,
    SubmissionError,
    make_record,
    make_terms,
)
from dandelionreel.cell.owner import Dispatcher
from dandelionreel.cell.store import (
    MAX_CLOCK_SKEW_SECONDS,
    CellProjection,
    ConfigurationProjection,
    Follower,
    StoredJob,
)
from dandelionreel.http import Request, Response
from dandelionreel.kernel import Clock, Journal, Part, seconds_or_none
from dandelionreel.peers import ForwardAnswer, Frame, Message

#: Form of the job ids, which clients choose.
JOB_ID = re.compile('[0-9a-f]{16}')
#: Seconds to wait for a current read of the store when a job is unknown here.
LOOKUP_TIMEOUT_SECONDS = 1.0
#: Highest age in seconds of a reported state, and the seconds to wait for a newer one.
MAX_STATE_AGE_SECONDS = 0.03
REFRESH_TIMEOUT_SECONDS = 0.1
#: Highest age in seconds of a count of waiting jobs; 2 s are promised.
MAX_COUNT_AGE_SECONDS = 1.2
#: Seconds after which a client may resubmit a job that exceeds its account's quota, which an
#: operator has to raise first.
QUOTA_RETRY_AFTER_SECONDS = 60.0

#: Seconds for which a job is in doubt after the outcome of its submission was unknown: longer than
#: the store delays an append.
DOUBT_SECONDS = 10.0
#: Most jobs in doubt that a host remembers, and most cancellations in the store with which one
#: more is stored for an unknown job.
MAX_DOUBTFUL_JOBS = 10_000
MAX_STORED_CANCELLATIONS = 10_000

HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_NOT_ALLOWED = 405
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_TOO_LARGE = 413
HTTP_TOO_MANY = 429
#: Header of the response to a call without a known API key (RFC 6750).
CHALLENGE_HEADER = ('www-authenticate', 'Bearer')


class ClientApi:
    """Answers clients' requests from the records in the store."""

    def __init__(
        self,
        zone: str,
        codec: ClientCodec,
        configuration: ConfigurationProjection,
        queue_lookup: QueueLookup,
        access: AccessControl,
        jobs: CellProjection,
        follower: Follower,
        writes: ClientWrites,
        relay: Relay,
        get_dispatcher: Callable[[], Dispatcher | None],
        partition_detector: PartitionDetector,
        clock: Clock,
        journal: Journal,
        record_response: Callable[[str, int, float], None],
        count_refusal: Callable[[str], None],
    ) -> None:
        """Answer clients of ``zone``.

        ``record_response`` gets the method, status and seconds of each response, and
        ``count_refusal`` the account of each refused call.
        """
        self._zone = zone
        self._codec = codec
        self._configuration = configuration
        self._queue_lookup = queue_lookup
        self._access = access
        self._jobs = jobs
        self._follower = follower
        self._writes = writes
        self._relay = relay
        self._get_dispatcher = get_dispatcher
        self._partition_detector = partition_detector
        self._clock = clock
        self._journal = journal
        self._record_response = record_response
        self._count_refusal = count_refusal
        #: Until when the outcome of a submission is in doubt, in monotonic seconds.
        self._doubtful_until_by_id: dict[str, float] = {}

    async def handle(self, request: Request) -> Response:
        """Answer one request of a client."""
        received_at = self._clock.monotonic()
        response = await self._answer_request(request, received_at, self._zone)
        self._record_response(
            request.method, response.status, self._clock.monotonic() - received_at
        )
        return response

    async def handle_forwarded_request(self, frame: Frame) -> Message:
        """Answer a request that a peer has forwarded."""
        forward: Any = frame.message
        member = self._jobs.state.member_by_host.get(frame.sender.partition('/')[0])
        response = await self._answer_request(
            forward.request,
            self._clock.monotonic(),
            member.zone if member else '',
            forward,
        )
        # ``no_room`` makes the peer try another host, as this one cannot use the store either.
        return ForwardAnswer(
            response, no_room=response.header(CAUSE_HEADER) == STORE_UNAVAILABLE_CAUSE
        )

    async def _answer_request(
        self,
        request: Request,
        received_at: float,
        zone: str,
        forward: Any = None,
    ) -> Response:
        known = self._configuration.current
        if known is None:
            return unavailable_response('no-configuration', 'no configuration is known yet')
        path = request.path
        host = request.header('host').partition(':')[0]
        queue = await self._queue_lookup.find_queue(host, path)
        if isinstance(queue, MissingQueue):
            return self._answer_missing_queue(request, path, queue)
        forwarded = None if forward is None else forward.caller
        caller = await self._access.identify_caller(request, queue, forwarded)
        if isinstance(caller, DenialReason):
            return self._answer_denied(request, path, caller)
        attempted_at = self._clock.unix_time() if forward is None else forward.attempted_at
        call = ClientCall(request, caller, zone, received_at, forward is not None, attempted_at)
        # The lookup may have brought a newer configuration.
        configuration = self._configuration.current or known
        response = await self._answer_call(
            call, configuration, queue, path[len(queue.path_prefix) :]
        )
        if response.status in RETRYABLE_STATUSES:
            self._count_refusal(caller.account)
        return response

    async def _answer_call(
        self,
        call: ClientCall,
        configuration: Configuration,
        queue: Queue,
        job_id: str,
    ) -> Response:
        request = call.request
        if not job_id and request.method == 'GET':
            return await self._answer_waiting_count(queue, call.received_at)
        if not JOB_ID.fullmatch(job_id):
            return not_run_response(
                HTTP_BAD_REQUEST, 'bad-id', 'a job id has 16 hexadecimal digits'
            )
        if request.method == 'POST':
            return await self._submit_job(call, configuration, queue, job_id)
        if request.method == 'GET':
            return await self._answer_job_state(call, job_id)
        if request.method == 'DELETE':
            return await self._cancel_job(call, job_id)
        return not_run_response(HTTP_NOT_ALLOWED, 'bad-method', 'use POST, GET or DELETE')

    def _answer_missing_queue(self, request: Request, path: str, missing: MissingQueue) -> Response:
        self._log_request_outcome(request, path, missing.value, **self._make_configuration_fields())
        if missing is MissingQueue.UNDECIDED:
            return unavailable_response(
                'queue-unchecked', 'whether the queue exists cannot be told just now'
            )
        return not_run_response(HTTP_NOT_FOUND, 'unknown-queue', f'no queue at {path}')

    def _answer_denied(self, request: Request, path: str, denied: DenialReason) -> Response:
        """Refuse a call.

        The response to an unknown key does not say what is wrong with the key. A key that cannot be
        checked now gets a response that asks the client to retry.
        """
        self._log_request_outcome(request, path, denied.value, **self._make_configuration_fields())
        if denied is DenialReason.UNDECIDED:
            return unavailable_response(
                'key-unchecked', 'whether the key is known cannot be told just now'
            )
        response = not_run_response(HTTP_UNAUTHORIZED, 'unknown-key', 'a known API key is needed')
        return Response(response.status, (*response.headers, CHALLENGE_HEADER), response.body)

    async def _submit_job(
        self,
        call: ClientCall,
        configuration: Configuration,
        queue: Queue,
        job_id: str,
    ) -> Response:
        request = call.request
        if self._get_dispatcher() is not None and not self._follower.has_reached_end:
            # The end of a finished job may not have been read yet; the job would run again.
            now = self._clock.monotonic()
            if not await self._follower.wait_until_fresh(now, LOOKUP_TIMEOUT_SECONDS):
                return unavailable_response(
                    STORE_UNAVAILABLE_CAUSE, 'the store cannot be read just now'
                )
        if not self._may_see_job(call, job_id):
            self._log_request_outcome(request, job_id, 'its id is taken by another account')
            return not_run_response(HTTP_CONFLICT, 'id-taken', 'choose another job id')
        stored_job = self._jobs.state.find_job(job_id)
        if stored_job is not None and not stored_job.may_be_resubmitted:
            self._log_request_outcome(request, job_id, 'accepted before')
            return self._codec.answer_accepted()
        if len(request.body) > configuration.body_bytes:
            return not_run_response(HTTP_TOO_LARGE, 'body-too-large', 'the job is too large')
        try:
            spec = self._codec.decode_submission(request.body)
        except SubmissionError as error:
            self._log_request_outcome(request, job_id, f'not a job: {error}')
            return not_run_response(HTTP_BAD_REQUEST, 'bad-job', f'{error}')
        if not self._jobs.state.may_add_steps(len(spec.steps)):
            self._log_request_outcome(request, job_id, 'too many steps of unfinished jobs')
            return unavailable_response(
                'too-many-steps', 'the unfinished jobs have too many steps; it was not accepted'
            )
        if not self._steps_fit_quota(call, configuration, spec):
            return self._answer_over_quota(call, job_id)
        arrived_at = self._clock.unix_time()

        def make_submission() -> Submission:
            accepted_at = self._acceptance_time(call, job_id, arrived_at)
            return Submission(
                queue.name,
                queue.service,
                accepted_at,
                spec,
                call.zone,
                call.caller.account,
                make_terms(queue),
            )

        response = await self._writes.store_record(
            call,
            lambda: make_record(SUBMISSION_PREFIX + job_id, make_submission()),
            lambda owner, timeout: owner.accept_job(
                job_id, make_submission(), timeout, attempted_at=call.attempted_at
            ),
            partial(self._log_request_outcome, request, job_id),
            queue=queue.name,
            account=call.caller.account,
        )
        self._record_doubt(job_id, is_doubtful=response.status == HTTP_TIMEOUT)
        return response

    def _record_doubt(self, job_id: str, *, is_doubtful: bool) -> None:
        """Remember that a submission may still be stored, or forget it."""
        self._doubtful_until_by_id.pop(job_id, None)
        if not is_doubtful:
            return
        if len(self._doubtful_until_by_id) >= MAX_DOUBTFUL_JOBS:
            self._doubtful_until_by_id.pop(next(iter(self._doubtful_until_by_id)))
        self._doubtful_until_by_id[job_id] = self._clock.monotonic() + DOUBT_SECONDS

    def _is_doubtful(self, job_id: str) -> bool:
        """Return whether an append with the submission of an unknown job may be under way."""
        dispatcher = self._get_dispatcher()
        if dispatcher is not None and dispatcher.is_storing_job(job_id):
            return True
        return self._clock.monotonic() < self._doubtful_until_by_id.get(job_id, 0.0)

    def _acceptance_time(self, call: ClientCall, job_id: str, arrived_at: float) -> float:
        """Return the time to store with a submission that is accepted now.

        Where jobs may be refused, it is that of the present attempt, and not before that of the
        host that forwarded the call, even if that host's clock is ahead: the owner may have refused
        an earlier attempt of the same call.
        """
        state = self._jobs.state
        if not state.has_read_digest:
            return arrived_at
        unix_time = self._clock.unix_time()
        if call.attempted_at < unix_time + MAX_CLOCK_SKEW_SECONDS:
            unix_time = max(unix_time, call.attempted_at)
        return state.refused_jobs.acceptance_time(job_id, unix_time)

    def _steps_fit_quota(
        self, call: ClientCall, configuration: Configuration, spec: JobSpec
    ) -> bool:
        """Return whether each step by itself fits into the quota of the caller's account."""
        account = configuration.find_account(call.caller.account)
        if account is None or account.quota is None:
            return True
        return all(step.smallest_start.fits(account.quota) for step in spec.steps)

    def _answer_over_quota(self, call: ClientCall, job_id: str) -> Response:
        self._log_request_outcome(
            call.request,
            job_id,
            "never fits its account's quota",
            account=call.caller.account,
        )
        detail = 'a step needs more at once than the account may have running'
        return not_run_response(
            HTTP_TOO_MANY, 'over-account-quota', detail, QUOTA_RETRY_AFTER_SECONDS
        )

    async def _answer_job_state(self, call: ClientCall, job_id: str) -> Response:
        if not self._may_see_job(call, job_id):
            return self._answer_unknown_job(call, job_id)
        stored_job = self._jobs.state.find_job(job_id)
        if stored_job is not None and stored_job.state in FINAL_STATES:
            return self._codec.answer_state(stored_job.state)
        # The job may have ended meanwhile, and clients measure their wait until they see that; an
        # unknown job may have been stored meanwhile.
        dispatcher = self._get_dispatcher()
        state = dispatcher.state_of_job(job_id) if dispatcher else None
        if state is not None:
            return self._codec.answer_state(state)
        timeout = LOOKUP_TIMEOUT_SECONDS if stored_job is None else REFRESH_TIMEOUT_SECONDS
        if self._partition_detector.is_cut_off:
            # Neither the store nor a peer that reads it can be reached.
            timeout = 0.0
        elif dispatcher is None and not call.relayed:
            response = await self._get_state_from_peers(call, timeout)
            if response is not None:
                return response
        # A job that is not known here may have been accepted just before the call.
        max_age = 0.0 if stored_job is None else MAX_STATE_AGE_SECONDS
        await self._follower.wait_until_fresh(call.received_at - max_age, timeout)
        stored_job = self._find_visible_job(call, job_id)
        if stored_job is not None:
            return self._codec.answer_state(stored_job.state)
        is_cancelled = self._jobs.state.is_cancelled(job_id, call.caller.account)
        if self._is_doubtful(job_id) and not is_cancelled and self._may_see_job(call, job_id):
            return unavailable_response(DOUBT_CAUSE, 'whether the job is stored is not known yet')
        return self._answer_unknown_job(call, job_id)

    async def _get_state_from_peers(self, call: ClientCall, timeout: float) -> Response | None:
        """Return the owner's response, or that of any peer if this host cannot read the store."""
        forwarded = await self._relay.forward_to_owner(call, timeout)
        if forwarded.response is None and self._follower.age(call.received_at) > STALE_READ_SECONDS:
            forwarded = await self._relay.forward_to_any_peer(call, timeout)
        return forwarded.response

    async def _cancel_job(self, call: ClientCall, job_id: str) -> Response:
        stored_job = self._find_visible_job(call, job_id)
        if stored_job is None:
            await self._follower.wait_until_fresh(call.received_at, LOOKUP_TIMEOUT_SECONDS)
            stored_job = self._find_visible_job(call, job_id)
        if stored_job is None:
            return await self._cancel_unknown_job(call, job_id)
        if stored_job.cancelled or stored_job.state in FINAL_STATES:
            return self._codec.answer_accepted()
        return await self._store_cancellation(call, job_id, None)

    async def _cancel_unknown_job(self, call: ClientCall, job_id: str) -> Response:
        """Store the cancellation of a job whose submission may still be stored.

        An append of any host may be executed after its client was told that its outcome is unknown.
        """
        account = call.caller.account
        answer = self._answer_unknown_job(call, job_id)
        state = self._jobs.state
        if answer.status != HTTP_GONE or not self._may_see_job(call, job_id):
            return answer
        if state.is_cancelled(job_id, account):
            return answer
        if len(state.cancellation_by_id) >= MAX_STORED_CANCELLATIONS:
            return unavailable_response(
                'too-many-cancellations', 'too many cancelled jobs are not stored yet'
            )
        stored = await self._store_cancellation(call, job_id, account)
        return answer if stored.status < HTTP_BAD_REQUEST else stored

    async def _store_cancellation(
        self, call: ClientCall, job_id: str, account: str | None
    ) -> Response:
        cancellation = Cancellation(self._clock.unix_time(), account)
        record = make_record(CANCELLATION_PREFIX + job_id, cancellation)
        return await self._writes.store_record(
            call,
            lambda: record,
            lambda owner, timeout: owner.cancel_job(job_id, timeout, account),
            partial(self._log_request_outcome, call.request, job_id),
        )

    def _find_visible_job(self, call: ClientCall, job_id: str) -> StoredJob | None:
        """Return a stored job if the caller may see it."""
        return self._jobs.state.find_job(job_id) if self._may_see_job(call, job_id) else None

    def _may_see_job(self, call: ClientCall, job_id: str) -> bool:
        """Return whether a job does not belong to another account, as far as this host knows.

        A job that was stored without an account is visible to every caller.
        """
        stored_job = self._jobs.state.find_job(job_id)
        dispatcher = self._get_dispatcher()
        account = '' if stored_job is None else stored_job.account
        if stored_job is None and dispatcher is not None:
            account = dispatcher.account_of_job(job_id)
        return account in {'', call.caller.account}

    def _answer_unknown_job(self, call: ClientCall, job_id: str) -> Response:
        """Answer that a job does not exist, but only after a current read of the store.

        The job of another account does not exist for a caller.
        """
        if self._follower.fresh_at < call.received_at and self._may_see_job(call, job_id):
            return unavailable_response(
                STORE_UNAVAILABLE_CAUSE, 'the store cannot be read just now'
            )
        self._journal.log_sampled(
            Part.JOBS,
            f'a client asked for unknown job {job_id}.',
            job=job_id,
            account=call.caller.account,
            **self._make_log_fields(),
        )
        return self._codec.answer_unknown_job()

    async def _answer_waiting_count(self, queue: Queue, received_at: float) -> Response:
        """Answer with the number of waiting jobs, unless the latest read is too old."""
        if not await self._follower.wait_until_fresh(
            received_at - MAX_COUNT_AGE_SECONDS, LOOKUP_TIMEOUT_SECONDS
        ):
            return unavailable_response(
                STORE_UNAVAILABLE_CAUSE, 'the store cannot be read just now'
            )
        return self._codec.answer_pending(self._jobs.state.count_waiting_jobs(queue.name))

    def _log_request_outcome(
        self, request: Request, job_id: str, outcome: str, **fields: object
    ) -> None:
        self._journal.log_sampled(
            Part.JOBS,
            f'{request.method} {job_id}: {outcome}.',
            job=job_id,
            **self._make_log_fields(),
            **fields,
        )

    def _make_configuration_fields(self) -> dict[str, Any]:
        """Return the version in force, and how many seconds ago a newer one was last looked for."""
        return {
            'version': self._configuration.version,
            'read_age': seconds_or_none(self._configuration.read_age),
        }

    def _make_log_fields(self) -> dict[str, Any]:
        """Return the age of the latest read in seconds, and the owner as this host knows it."""
        owner = self._jobs.state.owner
        return {
            'book_age': seconds_or_none(self._follower.age(self._clock.monotonic())),
            'owner': owner.host if owner else '',
            'epoch': owner.epoch if owner else 0,
        }
