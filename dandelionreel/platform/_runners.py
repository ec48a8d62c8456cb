"""HTTP client of a runner: starts, stops and polls.

Each call either reaches the intended incarnation of the runner or has no effect. A request
contains only the runner's id, which later incarnations share; only the response to a poll contains
the incarnation. Each new connection is therefore checked with a poll that renews no leases,
acknowledges nothing and starts nothing: all later calls on the connection reach the process
that answered it.
"""

from typing import Any

import msgspec

from dandelionreel.cell.model import (
    Registration,
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerReplaced,
    RunnerView,
    SendPrecondition,
    StartAnswer,
    StartOrder,
    StartReply,
    TaskName,
    UnreadableError,
    decode_json,
    runner_id,
)
from dandelionreel.http import (
    Channel,
    Connection,
    ConnectionBrokenError,
    ExchangeError,
    Request,
    Response,
)
from dandelionreel.kernel import SystemClock, Verdict
from dandelionreel.platform._views import decode_view

#: Timeout in seconds for a start or a stop. A runner answers within milliseconds, over a slow
#: link within some tens of milliseconds. An unanswered order is repeated.
ORDER_TIMEOUT = 0.4
#: Seconds added to the time that a poll may wait at the runner.
POLL_TIMEOUT_MARGIN = 0.6
#: Connections for starts and stops per runner: an unanswered order must not block the starts
#: after it.
ORDER_CONNECTIONS = 3

#: Seconds from the check of a connection within which its end shows that a start ended it. A
#: runner answers within milliseconds.
PROOF_SECONDS = 0.1
_CLOCK = SystemClock()

#: Path of a poll: lists runs and ends; also renews leases and acknowledges ends if the request
#: says so.
POLL_PATH = '/v1/hold'
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421
UNHEALTHY_STATUSES = frozenset((429, 503))
MILLISECONDS_PER_SECOND = 1000

_REPLY_BY_REASON = {
    'fence': StartReply.FENCED,
    'old': StartReply.OUTDATED,
    'late': StartReply.TOO_LATE,
    'room': StartReply.NO_ROOM,
    'ticket': StartReply.NO_TICKET,
}


class _OrderReply(msgspec.Struct):
    clock_ms: float | None = None
    reason: str = ''


_ORDER_REPLY_DECODER = msgspec.json.Decoder(_OrderReply)


def encode_task(task: TaskName) -> str:
    """Return the name of a task on the wire."""
    return f'{task.job}.{task.occurrence}.{task.step}.{task.index}'


class HttpRunner(Runner):
    """Client of one runner, with a connection for polls and several for orders."""

    def __init__(self, registration: Registration) -> None:
        """Create a client for the address and the incarnation of a registration."""
        self._runner = registration.runner
        self._incarnation = registration.incarnation
        self._address = (registration.address, registration.port)
        self._headers = (
            ('content-type', 'application/json'),
            ('x-expected-instance', runner_id(registration.runner)),
        )
        self._poll_channel = self._make_channel()
        self._order_channels = [self._make_channel() for _ in range(ORDER_CONNECTIONS)]
        self._next_channel = 0
        self._epoch = 0

    async def start_task(self, order: StartOrder, check: SendPrecondition) -> StartAnswer:
        """Start a task; ``check`` is called right before the request is sent.

        If ``check`` returns false, nothing is sent. With ``verify_peer`` of the order, the runner
        is polled on the same connection first: a start on a connection whose process has ended
        would break it like a start that crashes the runner.
        """
        fields: dict[str, object] = {
            'task': encode_task(order.task),
            'run': order.run,
            'spec': order.payload,
            'deadline_ms': int(order.lease_until * MILLISECONDS_PER_SECOND),
            'fencing_token': order.epoch,
        }
        if order.checkpoint:
            fields['checkpoint'] = order.checkpoint
        if order.ticket:
            fields['ticket'] = order.ticket
        try:
            response = await self._send_order(
                '/v1/run-start', fields, check, verify_peer=order.verify_peer
            )
        except RunnerReplaced:
            return StartAnswer(StartReply.REPLACED, None)
        except RunnerFenced:
            return StartAnswer(StartReply.FENCED, None)
        clock, reason = _decode_order_reply(response)
        if response.status == HTTP_OK:
            return StartAnswer(StartReply.STARTED, clock)
        if response.status == HTTP_CONFLICT:
            return StartAnswer(_REPLY_BY_REASON.get(reason, StartReply.INVALID), clock)
        if response.status == HTTP_MISDIRECTED:
            return StartAnswer(StartReply.REPLACED, None)
        if response.status in UNHEALTHY_STATUSES:
            return StartAnswer(StartReply.UNHEALTHY, clock)
        if response.status == HTTP_BAD_REQUEST:
            return StartAnswer(StartReply.INVALID, clock)
        raise RunnerError(f'the runner answered {response.status}', Verdict.UNKNOWN)

    async def stop_run(self, task: TaskName, run: int, epoch: int) -> None:
        """Stop a run."""
        fields = {'task': encode_task(task), 'run': run, 'fencing_token': epoch}
        self._check_response(await self._send_order('/v1/run-stop', fields))

    async def poll(
        self,
        epoch: int,
        acknowledged: int,
        lease_until: float | None,
        wait: float,
    ) -> RunnerView:
        """Return the runs and ends on the runner.

        Renews all leases to ``lease_until`` unless it is ``None``, and acknowledges the ends up
        to the number ``acknowledged``.
        """
        fields: dict[str, object] = {'fencing_token': epoch, 'acked_through': acknowledged}
        if lease_until is not None:
            fields['deadline_ms'] = int(lease_until * MILLISECONDS_PER_SECOND)
        if wait:
            fields['wait_ms'] = int(wait * MILLISECONDS_PER_SECOND)
        response = await self._send_request(
            self._poll_channel, POLL_PATH, fields, POLL_TIMEOUT_MARGIN + wait
        )
        self._check_response(response)
        view = decode_view(response.body)
        self._check_incarnation(view)
        return view

    async def close(self) -> None:
        """Close all connections."""
        for channel in (self._poll_channel, *self._order_channels):
            await channel.close()

    def _make_channel(self) -> Channel:
        address, port = self._address
        if self._incarnation is None:
            return Channel(address, port, 'runner')
        return Channel(address, port, 'runner', check_peer=self._check_peer)

    async def _check_peer(self, connection: Connection) -> None:
        """Raise ``RunnerReplaced`` if a connection leads to another incarnation."""
        fields = {'fencing_token': self._epoch, 'acked_through': 0}
        response = await connection.exchange(self._make_request(POLL_PATH, fields), ORDER_TIMEOUT)
        self._check_response(response)
        try:
            view = decode_view(response.body)
        except RunnerError as error:
            raise RunnerError(f'{error}', Verdict.NOT_RUN) from error
        self._check_incarnation(view)

    def _check_incarnation(self, view: RunnerView) -> None:
        if view.incarnation == self._incarnation:
            return
        if view.incarnation is None:
            raise RunnerError('the answer does not contain the incarnation', Verdict.NOT_RUN)
        raise RunnerReplaced(self._runner)

    def _make_request(self, path: str, fields: dict[str, Any]) -> Request:
        return Request('POST', path, self._headers, msgspec.json.encode(fields))

    def _check_response(self, response: Response) -> None:
        if response.status == HTTP_OK:
            return
        if response.status == HTTP_MISDIRECTED:
            raise RunnerReplaced(self._runner)
        if response.status == HTTP_CONFLICT:
            _, reason = _decode_order_reply(response)
            if reason == 'fence':
                raise RunnerFenced(self._runner)
            return
        raise RunnerError(f'the runner answered {response.status}', Verdict.NOT_RUN)

    async def _send_order(
        self,
        path: str,
        fields: dict[str, Any],
        check: SendPrecondition | None = None,
        *,
        verify_peer: bool = False,
    ) -> Response:
        self._next_channel = (self._next_channel + 1) % ORDER_CONNECTIONS
        channel = self._order_channels[self._next_channel]
        return await self._send_request(
            channel, path, fields, ORDER_TIMEOUT, check, verify_peer=verify_peer
        )

    async def _send_request(
        self,
        channel: Channel,
        path: str,
        fields: dict[str, Any],
        timeout: float,
        check: SendPrecondition | None = None,
        *,
        verify_peer: bool = False,
    ) -> Response:
        self._epoch = fields['fencing_token']
        verified_at = float('-inf')

        async def check_now(connection: Connection) -> None:
            nonlocal verified_at
            verified_at = _CLOCK.monotonic()
            await self._check_peer(connection)

        try:
            return await channel.exchange(
                self._make_request(path, fields),
                timeout,
                check,
                verify_peer=check_now if verify_peer else None,
            )
        except ExchangeError as error:
            verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_RUN
            broken = isinstance(error, ConnectionBrokenError)
            # A process that was paused after the check finds an old answer and a dead connection.
            is_recent = _CLOCK.monotonic() - verified_at < PROOF_SECONDS
            raise RunnerError(
                f'{error}',
                verdict,
                connection_broken=broken,
                was_alive=is_recent and broken and error.sent and not error.received,
            ) from error


def _decode_order_reply(response: Response) -> tuple[float | None, str]:
    try:
        decoded = decode_json(_ORDER_REPLY_DECODER, response.body)
    except UnreadableError:
        # The result of the order is known from the HTTP status, without the body.
        return None, ''
    clock = None if decoded.clock_ms is None else decoded.clock_ms / MILLISECONDS_PER_SECOND
    return clock, decoded.reason
