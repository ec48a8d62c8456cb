"""Forwards requests about jobs to a daemon of the zone that stores the job."""

import msgspec

from dandelionreel.http import Request, Response
from dandelionreel.jobs import CancelBody, CancelResult
from dandelionreel.kernel import (
    Clock,
    JsonError,
    Verdict,
    clip_text,
    decode_json,
    not_run_error,
    outcome_unknown_error,
)
from dandelionreel.peers import Forward, ForwardAnswer, PeerDirectory, PeerError, PeerState

RELAY_TIMEOUT_SECONDS = 8.0
RETRY_AFTER_SECONDS = 5.0
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


class ZoneRelay:
    """Forwards a request to a daemon of a zone, trying the most recently heard ones first."""

    def __init__(self, zones: tuple[str, ...], directory: PeerDirectory, clock: Clock) -> None:
        """Look up the daemons of each zone in ``directory``."""
        self._zones = zones
        self._directory = directory
        self._clock = clock

    async def send_to_zone(self, zone: str, request: Request) -> Response:
        """Return the response of the first daemon of the zone that answers.

        Raises ``RequestError`` if none does.
        """
        self.check_zone_is_known(zone)
        for state in sorted(self._directory.states(zone), key=_last_heard_first):
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
                    f'{state.address.host} had the request and did not answer; '
                    'ask again with the same idempotency key',
                ) from error
            if isinstance(frame.message, ForwardAnswer):
                return frame.message.response
        raise not_run_error(
            HTTP_UNAVAILABLE,
            'zone-unreachable',
            f'zone {zone}, which keeps this job, is out of reach',
            RETRY_AFTER_SECONDS,
        )

    def check_zone_is_known(self, zone: str) -> None:
        """Raise ``RequestError`` for a zone that is not in the settings."""
        if zone not in self._zones:
            raise not_run_error(
                HTTP_NOT_FOUND, 'unknown-zone', f'no zone {clip_text(zone)!r} is known'
            )

    async def cancel_jobs(self, zone: str, jobs: tuple[str, ...]) -> CancelResult:
        """Cancel jobs of another zone; raises ``RequestError``."""
        if zone not in self._zones:
            return CancelResult(0, jobs)
        body = msgspec.json.encode(CancelBody(jobs))
        response = await self.send_to_zone(zone, Request('POST', '/v1/jobs/cancel', body=body))
        try:
            return decode_json(response.body, CancelResult)
        except JsonError as error:
            raise outcome_unknown_error(
                response.status,
                'zone-refused',
                f'zone {zone} answered {response.status}',
            ) from error


def _last_heard_first(state: PeerState) -> float:
    return -state.heard_at
