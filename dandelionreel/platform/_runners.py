"""Runners: starts, stops and polls over HTTP.

Each call reaches the incarnation that it is meant for, or has no effect. A call names the
runner by its id, which the next incarnation has too; what tells them apart is only in the
answer to a poll. So each new connection is tried with a poll that renews, acknowledges and
starts nothing: what answers it is the process that all calls on that connection reach.
"""

from typing import Any

import msgspec

from dandelionreel.cell.model import (
    Check,
    Registration,
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerReplaced,
    RunnerView,
    StartAnswer,
    StartOrder,
    StartReply,
    TaskName,
    UnreadableError,
    decode_json,
    runner_id,
)
from dandelionreel.http import (
    Answer,
    Channel,
    Connection,
    ConnectionBrokenError,
    ExchangeError,
    Request,
)
from dandelionreel.kernel import Verdict
from dandelionreel.platform._views import decode_view

#: Seconds for an order. A runner answers within milliseconds; a slow link
#: takes some tens. An order that stays unanswered is simply repeated.
ORDER_TIMEOUT = 0.4
#: Seconds beyond the time that a poll may wait at the runner.
POLL_TIMEOUT = 0.6
#: Connections for orders to one runner: one unanswered order must not hold up
#: the starts behind it.
ORDER_CHANNELS = 3

#: Lists runs and ends; renews leases and acknowledges ends where it is told to.
POLL_PATH = '/v1/hold'
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_REPLACED = 421
UNHEALTHY = frozenset((429, 503))
MILLISECONDS = 1000

_REPLY_BY_REASON = {
    'fence': StartReply.FENCED,
    'old': StartReply.OUTDATED,
    'late': StartReply.TOO_LATE,
    'room': StartReply.NO_ROOM,
    'ticket': StartReply.NO_TICKET,
}


class _Clock(msgspec.Struct):
    clock_ms: float | None = None
    reason: str = ''


_CLOCK = msgspec.json.Decoder(_Clock)


def encode_task(task: TaskName) -> str:
    """Return a task's name as runners know it."""
    return f'{task.job}.{task.occurrence}.{task.step}.{task.index}'


class HttpRunner(Runner):
    """One runner, with a connection for polls and a few for orders."""

    def __init__(self, registration: Registration) -> None:
        """Reach the runner where it registered itself."""
        self._runner = registration.runner
        self._incarnation = registration.incarnation
        self._address = (registration.address, registration.port)
        self._headers = (
            ('content-type', 'application/json'),
            ('x-expected-instance', runner_id(registration.runner)),
        )
        self._polls = self._make_channel()
        self._orders = [self._make_channel() for _ in range(ORDER_CHANNELS)]
        self._next_order = 0
        self._epoch = 0

    async def start(self, order: StartOrder, check: Check) -> StartAnswer:
        """Start a task; ``check`` is asked right before the bytes leave."""
        fields: dict[str, object] = {
            'task': encode_task(order.task),
            'run': order.run,
            'spec': order.payload,
            'deadline_ms': int(order.lease_until * MILLISECONDS),
            'fencing_token': order.epoch,
        }
        if order.checkpoint:
            fields['checkpoint'] = order.checkpoint
        if order.ticket:
            fields['ticket'] = order.ticket
        try:
            answer = await self._order('/v1/run-start', fields, check)
        except RunnerReplaced:
            return StartAnswer(StartReply.REPLACED, None)
        except RunnerFenced:
            return StartAnswer(StartReply.FENCED, None)
        clock, reason = _read_clock(answer)
        if answer.status == HTTP_OK:
            return StartAnswer(StartReply.STARTED, clock)
        if answer.status == HTTP_CONFLICT:
            return StartAnswer(_REPLY_BY_REASON.get(reason, StartReply.INVALID), clock)
        if answer.status == HTTP_REPLACED:
            return StartAnswer(StartReply.REPLACED, None)
        if answer.status in UNHEALTHY:
            return StartAnswer(StartReply.UNHEALTHY, clock)
        if answer.status == HTTP_BAD_REQUEST:
            return StartAnswer(StartReply.INVALID, clock)
        raise RunnerError(f'the runner answered {answer.status}', Verdict.UNKNOWN)

    async def stop(self, task: TaskName, run: int, epoch: int) -> None:
        """Stop a run."""
        fields = {'task': encode_task(task), 'run': run, 'fencing_token': epoch}
        self._check_answer(await self._order('/v1/run-stop', fields))

    async def poll(
        self,
        epoch: int,
        acknowledged: int,
        lease_until: float | None,
        wait: float,
    ) -> RunnerView:
        """Renew all leases and list everything."""
        fields: dict[str, object] = {'fencing_token': epoch, 'acked_through': acknowledged}
        if lease_until is not None:
            fields['deadline_ms'] = int(lease_until * MILLISECONDS)
        if wait:
            fields['wait_ms'] = int(wait * MILLISECONDS)
        answer = await self._call(self._polls, POLL_PATH, fields, POLL_TIMEOUT + wait)
        self._check_answer(answer)
        view = decode_view(answer.body)
        self._check_incarnation(view)
        return view

    async def close(self) -> None:
        """Close all connections."""
        for channel in (self._polls, *self._orders):
            await channel.close()

    def _make_channel(self) -> Channel:
        address, port = self._address
        if self._incarnation is None:
            return Channel(address, port, 'runner')
        return Channel(address, port, 'runner', check_peer=self._check_peer)

    async def _check_peer(self, connection: Connection) -> None:
        """Raise ``RunnerReplaced`` where another incarnation is at the end of a connection."""
        fields = {'fencing_token': self._epoch, 'acked_through': 0}
        answer = await connection.exchange(self._make_request(POLL_PATH, fields), ORDER_TIMEOUT)
        self._check_answer(answer)
        try:
            view = decode_view(answer.body)
        except RunnerError as error:
            raise RunnerError(f'{error}', Verdict.NOT_RUN) from error
        self._check_incarnation(view)

    def _check_incarnation(self, view: RunnerView) -> None:
        if view.incarnation == self._incarnation:
            return
        if view.incarnation is None:
            raise RunnerError('the answer does not tell the incarnation', Verdict.NOT_RUN)
        raise RunnerReplaced(self._runner)

    def _make_request(self, path: str, fields: dict[str, Any]) -> Request:
        return Request('POST', path, self._headers, msgspec.json.encode(fields))

    def _check_answer(self, answer: Answer) -> None:
        if answer.status == HTTP_OK:
            return
        if answer.status == HTTP_REPLACED:
            raise RunnerReplaced(self._runner)
        if answer.status == HTTP_CONFLICT:
            _, reason = _read_clock(answer)
            if reason == 'fence':
                raise RunnerFenced(self._runner)
            return
        raise RunnerError(f'the runner answered {answer.status}', Verdict.NOT_RUN)

    async def _order(self, path: str, fields: dict[str, Any], check: Check | None = None) -> Answer:
        self._next_order = (self._next_order + 1) % ORDER_CHANNELS
        channel = self._orders[self._next_order]
        return await self._call(channel, path, fields, ORDER_TIMEOUT, check)

    async def _call(
        self,
        channel: Channel,
        path: str,
        fields: dict[str, Any],
        timeout: float,
        check: Check | None = None,
    ) -> Answer:
        self._epoch = fields['fencing_token']
        try:
            return await channel.exchange(self._make_request(path, fields), timeout, check)
        except ExchangeError as error:
            verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_RUN
            broken = isinstance(error, ConnectionBrokenError)
            raise RunnerError(f'{error}', verdict, connection_broken=broken) from error


def _read_clock(answer: Answer) -> tuple[float | None, str]:
    try:
        decoded = decode_json(_CLOCK, answer.body)
    except UnreadableError:
        # The status alone says what came of the order.
        return None, ''
    clock = None if decoded.clock_ms is None else decoded.clock_ms / MILLISECONDS
    return clock, decoded.reason
