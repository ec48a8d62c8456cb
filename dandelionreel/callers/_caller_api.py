"""HTTP API for callers: requests to services, and jobs."""

from dandelionreel.callers._relay import ZoneRelay
from dandelionreel.http import Request, Response, json_response, problem_response
from dandelionreel.jobs import CancelResult, JobApi, JobMover, MoveBody, zone_of_job
from dandelionreel.kernel import (
    JsonError,
    RequestError,
    clip_text,
    decode_json,
    not_run_error,
    outcome_unknown_error,
)
from dandelionreel.life import Lifecycle
from dandelionreel.peers import Forward, ForwardAnswer, Frame, Message, Refused
from dandelionreel.routing import Router

SERVICES_PREFIX = '/v1/services/'
JOBS_PATH = '/v1/jobs'
CANCEL_PATH = '/v1/jobs/cancel'
MOVE_PATH = '/v1/jobs/move'
RESOLVE_SUFFIX = '/resolve'
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_METHOD_NOT_ALLOWED = 405
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504
NOT_READY_RETRY_SECONDS = 1.0


class CallerApi:
    """Handles each request in the availability zone that is responsible for it.

    That is this daemon's zone, or another one to which the request is forwarded.
    """

    def __init__(
        self,
        zone: str,
        router: Router,
        job_api: JobApi,
        mover: JobMover,
        relay: ZoneRelay,
        life: Lifecycle,
    ) -> None:
        """Serve callers of the availability zone ``zone``."""
        self._mover = mover
        self._lifecycle = life
        self._zone = zone
        self._router = router
        self._job_api = job_api
        self._relay = relay

    async def handle(self, request: Request) -> Response:
        """Answer a caller; raises ``RequestError``.

        Until this daemon knows the contracts in force, the load balancer sends
        it no requests; any that arrive are refused with a retry delay.
        """
        if not self._lifecycle.knows_contracts():
            raise not_run_error(
                HTTP_UNAVAILABLE,
                'not-ready',
                'this daemon does not know the contracts in force yet',
                NOT_READY_RETRY_SECONDS,
            )
        if request.path.startswith(SERVICES_PREFIX):
            return await self._router.serve_request(request)
        return await self._handle_job_request(request, hops=0)

    async def answer_forward(self, frame: Frame) -> Message:
        """Answer a request that a peer forwarded."""
        message = frame.message
        if not isinstance(message, Forward):
            return Refused('not a forward')
        if message.request.path.startswith(SERVICES_PREFIX):
            return await self._router.answer_forward(frame)
        try:
            return ForwardAnswer(await self._handle_job_request(message.request, message.hops))
        except RequestError as error:
            return ForwardAnswer(problem_response(error.problem))

    async def _handle_job_request(self, request: Request, hops: int) -> Response:
        path = request.path
        if path == JOBS_PATH and request.method == 'POST':
            return await self._submit_job(request, hops)
        if path == JOBS_PATH and request.method == 'GET':
            return await self._list_jobs(request, hops)
        if path == CANCEL_PATH and request.method == 'POST':
            return await self._cancel_jobs(request, hops)
        if path == MOVE_PATH and request.method == 'POST':
            return await self._move_jobs(request)
        if path.startswith(f'{JOBS_PATH}/'):
            return await self._handle_job_by_id(request, hops)
        raise not_run_error(HTTP_NOT_FOUND, 'no-such-path', f'{clip_text(path)} is not served here')

    async def _submit_job(self, request: Request, hops: int) -> Response:
        zone = self._job_api.find_home_zone(request)
        if zone != self._zone and not hops:
            return await self._relay.send_to_zone(zone, request)
        return await self._job_api.submit(request)

    async def _list_jobs(self, request: Request, hops: int) -> Response:
        zone = request.query_by_name.get('zone', self._zone)
        if zone != self._zone and not hops:
            return await self._relay.send_to_zone(zone, request)
        return self._job_api.list_jobs_page(request)

    async def _cancel_jobs(self, request: Request, hops: int) -> Response:
        body = self._job_api.decode_cancel_body(request)
        if hops:
            return json_response(await self._job_api.cancel(body.jobs))
        jobs_by_zone: dict[str, list[str]] = {}
        for job in body.jobs:
            jobs_by_zone.setdefault(zone_of_job(job), []).append(job)
        cancelled = 0
        missing: list[str] = []
        for zone, jobs in sorted(jobs_by_zone.items()):
            try:
                cancel_result = await self._cancel_jobs_in_zone(zone, tuple(jobs))
            except RequestError as error:
                if not cancelled:
                    raise
                raise outcome_unknown_error(
                    HTTP_TIMEOUT,
                    'partly-cancelled',
                    f'{cancelled} jobs are cancelled; zone {zone}: {error}; cancel again',
                ) from error
            cancelled += cancel_result.cancelled
            missing.extend(cancel_result.unknown)
        return json_response(CancelResult(cancelled, tuple(missing)))

    async def _move_jobs(self, request: Request) -> Response:
        try:
            body = decode_json(request.body, MoveBody)
        except JsonError as error:
            raise not_run_error(HTTP_BAD_REQUEST, 'bad-body', f'{error}') from error
        if body.from_zone == body.to_zone:
            raise not_run_error(HTTP_BAD_REQUEST, 'bad-body', 'to_zone: is from_zone; name another')
        self._relay.check_zone_is_known(body.from_zone)
        if body.to_zone != self._zone:
            return await self._relay.send_to_zone(body.to_zone, request)
        return json_response(await self._mover.move_jobs_from(body.from_zone))

    async def _cancel_jobs_in_zone(self, zone: str, jobs: tuple[str, ...]) -> CancelResult:
        if zone == self._zone:
            return await self._job_api.cancel(jobs)
        return await self._relay.cancel_jobs(zone, jobs)

    async def _handle_job_by_id(self, request: Request, hops: int) -> Response:
        job_path = request.path.removeprefix(f'{JOBS_PATH}/')
        job_id = job_path.removesuffix(RESOLVE_SUFFIX)
        zone = zone_of_job(job_id)
        if zone != self._zone and not hops:
            return await self._relay.send_to_zone(zone, request)
        if job_path.endswith(RESOLVE_SUFFIX) and request.method == 'POST':
            return await self._job_api.resolve(job_id, request)
        if request.method == 'GET':
            moved_to = self._job_api.zone_moved_to(job_id)
            if moved_to:
                return await self._relay.send_to_zone(moved_to, request)
            return self._job_api.show(job_id)
        raise not_run_error(
            HTTP_METHOD_NOT_ALLOWED, 'method', f'{request.method} is not served on {JOBS_PATH}/ID'
        )
