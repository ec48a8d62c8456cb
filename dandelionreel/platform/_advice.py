"""Client of the policy service, which decides which runners may run a step."""

from collections.abc import Sequence

import curio
import msgspec

from dandelionreel.cell.model import (
    AdviceError,
    AdviceService,
    Permit,
    StepName,
    UnreadableError,
    decode_json,
    runner_id,
)
from dandelionreel.http import Channel, ExchangeError, Request
from dandelionreel.platform._settings import Address

#: The service accepts at most this many runners in one call.
MAX_RUNNERS_PER_CALL = 100
HTTP_OK = 200


class _AdviceReply(msgspec.Struct):
    allowed: list[tuple[str, str]] = []


_ALLOWED_DECODER = msgspec.json.Decoder(_AdviceReply)


class HttpAdvice(AdviceService):
    """Uses one connection: the service accepts one call at a time from each host."""

    def __init__(self, service: Address) -> None:
        """Create a client of the service at this address."""
        self._channel = Channel(service.host, service.port, 'advice')

    async def request_permits(
        self,
        step: StepName,
        runners: Sequence[str],
        timeout: float,
    ) -> tuple[Permit, ...]:
        """Return permits for those of ``runners`` that may run the step.

        ``timeout`` includes the wait for an earlier call on the connection.
        ``runners`` are ids of incarnations; the service knows only the ids of runners.
        """
        incarnation_by_id = {
            runner_id(incarnation): incarnation for incarnation in runners[:MAX_RUNNERS_PER_CALL]
        }
        fields = {
            'step': f'{step.job}.{step.occurrence}.{step.step}',
            'workers': list(incarnation_by_id),
        }
        headers = (('content-type', 'application/json'),)
        request = Request('POST', '/v1/advise', headers, msgspec.json.encode(fields))
        try:
            response = await curio.timeout_after(timeout, self._channel.exchange, request, timeout)
        except curio.TaskTimeout as error:
            raise AdviceError('the policy service did not answer in time') from error
        except ExchangeError as error:
            raise AdviceError(f'the policy service is unreachable: {error}') from error
        if response.status != HTTP_OK:
            raise AdviceError(f'the policy service answered {response.status}')
        try:
            decoded = decode_json(_ALLOWED_DECODER, response.body)
        except UnreadableError as error:
            raise AdviceError(f'the policy service sent an unreadable answer: {error}') from error
        return tuple(
            Permit(incarnation_by_id[runner], ticket)
            for runner, ticket in decoded.allowed
            if runner in incarnation_by_id
        )

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()
