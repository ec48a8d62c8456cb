"""The callers' interface: requests to services, and jobs."""

import msgspec

from dandelionreel.callers._relay import Relay
from dandelionreel.http import Answer, Request, answer_json, answer_problem
from dandelionreel.jobs import CancelResult, JobApi, JobMover, MoveBody, zone_of_job
from dandelionreel.kernel import RequestError, clip, not_run
from dandelionreel.life import Lifecycle
from dandelionreel.peers import Forward, ForwardAnswer, Frame, Message, Refused
from dandelionreel.routing import Router

SERVICES = '/v1/services/'
JOBS = '/v1/jobs'
CANCEL = '/v1/jobs/cancel'
MOVE = '/v1/jobs/move'
RESOLVE = '/resolve'
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_METHOD = 405
HTTP_UNAVAILABLE = 503
NOT_READY_RETRY = 1.0


class CallersFront:
    """Sends each path to the part that serves it, in the zone that must."""

    def __init__(
        self,
        zone: str,
        router: Router,
        intake: JobApi,
        mover: JobMover,
        relay: Relay,
        life: Lifecycle,
    ) -> None:
        """Serve callers in ``zone``."""
        self._mover = mover
        self._life = life
        self._zone = zone
        self._router = router
        self._intake = intake
        self._relay = relay

    async def handle(self, request: Request) -> Answer:
        """Answer a caller; raises ``RequestError``.

        Until the contracts in force are known, the balancer sends nothing
        here; who comes all the same is told to come back.
        """
        if not self._life.knows_contracts():
            raise not_run(
                HTTP_UNAVAILABLE,
                'not-ready',
                'this daemon does not know the contracts in force yet',
                NOT_READY_RETRY,
            )
        if request.path.startswith(SERVICES):
            return await self._router.serve(request)
        return await self._handle_job(request, hops=0)

    async def answer_forward(self, frame: Frame) -> Message:
        """Answer a request that a peer handed on."""
        message = frame.message
        if not isinstance(message, Forward):
            return Refused('not a forward')
        if message.request.path.startswith(SERVICES):
            return await self._router.answer_forward(frame)
        try:
            return ForwardAnswer(await self._handle_job(message.request, message.hops))
        except RequestError as error:
            return ForwardAnswer(answer_problem(error.problem))

    async def _handle_job(self, request: Request, hops: int) -> Answer:
        path = request.path
        if path == JOBS and request.method == 'POST':
            return await self._submit(request, hops)
        if path == JOBS and request.method == 'GET':
            return await self._list(request, hops)
        if path == CANCEL and request.method == 'POST':
            return await self._cancel(request, hops)
        if path == MOVE and request.method == 'POST':
            return await self._move(request)
        if path.startswith(f'{JOBS}/'):
            return await self._handle_one(request, hops)
        raise not_run(HTTP_NOT_FOUND, 'no-such-path', f'{clip(path)} is not served here')

    async def _submit(self, request: Request, hops: int) -> Answer:
        zone = self._intake.home_zone(request)
        if zone != self._zone and not hops:
            return await self._relay.send(zone, request)
        return await self._intake.submit(request)

    async def _list(self, request: Request, hops: int) -> Answer:
        zone = request.query_by_name.get('zone', self._zone)
        if zone != self._zone and not hops:
            return await self._relay.send(zone, request)
        return self._intake.list_page(request)

    async def _cancel(self, request: Request, hops: int) -> Answer:
        body = self._intake.decode_cancel(request)
        if hops:
            return answer_json(await self._intake.cancel(body.jobs))
        jobs_by_zone: dict[str, list[str]] = {}
        for job in body.jobs:
            jobs_by_zone.setdefault(zone_of_job(job), []).append(job)
        cancelled = 0
        missing: list[str] = []
        for zone, jobs in sorted(jobs_by_zone.items()):
            done = await self._cancel_in(zone, tuple(jobs))
            cancelled += done.cancelled
            missing.extend(done.unknown)
        return answer_json(CancelResult(cancelled, tuple(missing)))

    async def _move(self, request: Request) -> Answer:
        try:
            body = msgspec.json.decode(request.body, type=MoveBody)
        except msgspec.MsgspecError as error:
            raise not_run(HTTP_BAD_REQUEST, 'bad-body', f'{error}') from error
        if body.from_zone == body.to_zone:
            raise not_run(HTTP_BAD_REQUEST, 'bad-body', 'to_zone: is from_zone; name another')
        self._relay.check_zone(body.from_zone)
        if body.to_zone != self._zone:
            return await self._relay.send(body.to_zone, request)
        return answer_json(await self._mover.move_from(body.from_zone))

    async def _cancel_in(self, zone: str, jobs: tuple[str, ...]) -> CancelResult:
        if zone == self._zone:
            return await self._intake.cancel(jobs)
        return await self._relay.cancel(zone, jobs)

    async def _handle_one(self, request: Request, hops: int) -> Answer:
        rest = request.path.removeprefix(f'{JOBS}/')
        job_id = rest.removesuffix(RESOLVE)
        zone = zone_of_job(job_id)
        if zone != self._zone and not hops:
            return await self._relay.send(zone, request)
        if rest.endswith(RESOLVE) and request.method == 'POST':
            return await self._intake.resolve(job_id, request)
        if request.method == 'GET':
            moved_to = self._intake.moved_to(job_id)
            if moved_to:
                return await self._relay.send(moved_to, request)
            return self._intake.show(job_id)
        raise not_run(HTTP_METHOD, 'method', f'{request.method} is not served on {JOBS}/ID')
