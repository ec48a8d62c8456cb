"""Forwards job requests to a daemon of the zone that stores the job."""

import msgspec

from dandelionreel.http import Request, Response
from dandelionreel.jobs import CancelBody, CancelResult
from dandelionreel.kernel import Clock, Verdict, clip_text, not_run_error, outcome_unknown_error
from dandelionreel.peers import Forward, ForwardAnswer, PeerDirectory, PeerError, PeerState

RELAY_TIMEOUT_SECONDS = 8.0
RETRY_AFTER_SECONDS = 5.0
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


class Relay:
    """Tries the daemons of a zone, the most recently heard ones first."""

    def __init__(self, zones: tuple[str, ...], directory: PeerDirectory, clock: Clock) -> None:
        """Look up the daemons of each zone in ``directory``."""
        self._zones = zones
        self._directory = directory
        self._clock = clock

    async def send(self, zone: str, request: Request) -> Response:
        """Return the first response from the zone; raises ``RequestError``."""
        self.check_zone(zone)
        for state in sorted(self._directory.states(zone), key=_by_last_heard):
            try:
                frame = await state.link.request(
                    Forward(request, RELAY_TIMEOUT_SECONDS, 1), RELAY_TIMEOUT_SECONDS
                )
            except PeerError as error:
                if error.verdict is Verdict.NOT_RUN or request.method == 'GET':
                    continue
                raise outcome_unknown_error(
                    HTTP_TIMEOUT,
                    'peer-silent',
                    f'{state.address.host} received the request and did not answer; '
                    'retry with the same idempotency key',
                ) from error
            if isinstance(frame.message, ForwardAnswer):
                return frame.message.response
        raise not_run_error(
            HTTP_UNAVAILABLE,
            'zone-unreachable',
            f'zone {zone}, which stores this job, is unreachable',
            RETRY_AFTER_SECONDS,
        )

    def check_zone(self, zone: str) -> None:
        """Raise ``RequestError`` for a zone that is not in the settings."""
        if zone not in self._zones:
            raise not_run_error(
                HTTP_NOT_FOUND, 'unknown-zone', f'zone {clip_text(zone)!r} is not in the settings'
            )

    async def cancel(self, zone: str, jobs: tuple[str, ...]) -> CancelResult:
        """Cancel jobs of another zone; raises ``RequestError``."""
        if zone not in self._zones:
            return CancelResult(0, jobs)
        body = msgspec.json.encode(CancelBody(jobs))
        response = await self.send(zone, Request('POST', '/v1/jobs/cancel', body=body))
        try:
            return msgspec.json.decode(response.body, type=CancelResult)
        except msgspec.MsgspecError as error:
            raise outcome_unknown_error(
                response.status,
                'zone-refused',
                f'zone {zone} answered {response.status}',
            ) from error


def _by_last_heard(state: PeerState) -> float:
    return -state.heard_at
