"""Requests to the policy service, spread over the hosts of the cell.

The service handles the calls of one host one after the other, and a busy cell has more requests
than one host can send. So each host sends one request at a time, and the most urgent waiting
request goes to the next free host. A request whose call fails or is overdue goes to another host,
and the first answer counts.
"""

import bisect
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import eliot

from dandelionreel.cell.decisions import AdviceRequest
from dandelionreel.cell.membership._advice_calls import (
    TIMEOUT_MARGIN_SECONDS,
    Call,
    OpenRequest,
)
from dandelionreel.cell.membership._advice_figures import (
    AdviceFigures,
    AdviceTrace,
    CallOutcome,
)
from dandelionreel.cell.membership._advice_hosts import AdviceHosts
from dandelionreel.cell.model import AdviceError, AdviceService, Member, Permit, StepName
from dandelionreel.kernel import Clock, Journal, Part, Verdict
from dandelionreel.peers import (
    AdviceGiven,
    AdviceWanted,
    Frame,
    Message,
    PeerClocks,
    PeerError,
    PeerLink,
    TrafficCounter,
    request_transfer,
)

#: Limits the calls for one request: with two lost calls, the third is answered within four times
#: the announced duration.
MAX_CALLS_PER_REQUEST = 3
#: Share of hosts that may send second calls for overdue requests at the same time. A service that
#: is slow for all hosts would otherwise get twice the calls.
OVERDUE_SHARE = 0.25
#: Cycles of the event loop in which an answer that has arrived is still read after a call is
#: overdue. A host that is short of processor time notices the delay before it reads the answer.
GRACE_CYCLES = 3

OnAnswered = Callable[[AdviceRequest, tuple[Permit, ...], float, AdviceTrace], Awaitable[None]]
OnFailed = Callable[[AdviceRequest, AdviceTrace], Awaitable[None]]


class PeerLinks:
    """The connections of this host to the other members, one for each address."""

    def __init__(self, own_host: str, clock: Clock) -> None:
        """Send messages as the host ``own_host``."""
        self._own_host = own_host
        self._clock = clock
        self._peer_clocks = PeerClocks()
        self.traffic = TrafficCounter()
        self._link_by_address: dict[tuple[str, int], PeerLink] = {}

    async def request(self, member: Member, message: Message, timeout: float) -> Frame:
        """Send a message to a member and return its reply; raises ``PeerError``."""
        address = (member.address, member.port)
        link = self._link_by_address.get(address)
        if link is None:
            link = PeerLink(*address, self._own_host, self._clock, self._peer_clocks, self.traffic)
            self._link_by_address[address] = link
        return await link.request(message, timeout)

    async def request_transfer(
        self, member: Member, message: Message, stall_timeout: float
    ) -> Frame:
        """Return a member's large answer, on a connection of its own; raises ``PeerError``."""
        return await request_transfer(
            member.address,
            member.port,
            message,
            self._own_host,
            self._clock,
            self.traffic,
            stall_timeout,
        )

    async def close(self) -> None:
        """Close all connections."""
        for link in tuple(self._link_by_address.values()):
            await link.close()


class LocalAdvisor:
    """Sends the advice requests of this host and of its peers to the policy service."""

    def __init__(self, service: AdviceService | None) -> None:
        """Send requests to ``service``; if it is ``None``, every request fails."""
        self._advice_service = service

    async def answer_advice_request(self, frame: Frame) -> Message:
        """Handle an advice request of a peer."""
        message: Any = frame.message
        step = StepName(message.job, message.occurrence, message.step)
        try:
            permits = await self.request(step, message.runners, message.timeout)
        except AdviceError:
            return AdviceGiven(answered=False)
        return AdviceGiven(True, tuple((permit.runner, permit.ticket) for permit in permits))

    async def request(
        self,
        step: StepName,
        runners: tuple[str, ...],
        timeout: float,
    ) -> tuple[Permit, ...]:
        """Return the permits for a step on some of ``runners``; raises ``AdviceError``."""
        if self._advice_service is None:
            raise AdviceError('no policy service is configured')
        return await self._advice_service.request_permits(step, runners, timeout)


class AdvicePool:
    """Queues advice requests by priority and sends each one through the next free host.

    Each submitted request ends with one call of ``answered`` or ``failed``.
    """

    def __init__(
        self,
        own_host: str,
        members: Callable[[], dict[str, Member]],
        links: PeerLinks,
        local: LocalAdvisor,
        clock: Clock,
        journal: Journal,
        answered: OnAnswered,
        failed: OnFailed,
    ) -> None:
        """Call ``answered`` with each answer and ``failed`` with each request that failed."""
        self._own_host = own_host
        self._get_members = members
        self._links = links
        self._local_advisor = local
        self._clock = clock
        self._journal = journal
        self._on_answered = answered
        self._on_failed = failed
        self._waiting_requests: list[OpenRequest] = []
        self._sequence = itertools.count()
        self._hosts = AdviceHosts(own_host, members, clock)
        #: Number of calls in progress beside an earlier call for the same request.
        self._additional_calls = 0
        self._closed = False
        self._figures = AdviceFigures()

    @property
    def figures(self) -> AdviceFigures:
        """Return the counts of this term, for the metrics."""
        self._figures.waiting = self.waiting_count
        return self._figures

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for a free host."""
        return len(self._waiting_requests)

    @property
    def free_non_urgent_requests(self) -> int:
        """Return how many more non-urgent requests could be sent now."""
        waiting = sum(not request.urgent for request in self._waiting_requests)
        return self._hosts.free_non_urgent_hosts - waiting

    async def submit_request(self, request: AdviceRequest) -> None:
        """Queue a request; it is sent as soon as a host is free."""
        now = self._clock.monotonic()
        open_request = OpenRequest(request, next(self._sequence), now, now)
        self._queue_request(open_request)
        await self._send_waiting_requests()

    async def close(self) -> None:
        """Fail the requests that wait; calls in progress end by themselves."""
        self._closed = True
        await self._send_waiting_requests()

    def _queue_request(self, open_request: OpenRequest) -> None:
        if open_request not in self._waiting_requests:
            bisect.insort(self._waiting_requests, open_request, key=_get_position)

    async def _send_waiting_requests(self) -> None:
        await self._end_unsendable_requests()
        call = self._take_sendable_call()
        while call is not None:
            await curio.spawn(self._make_call, call, daemon=True)
            call = self._take_sendable_call()

    async def _end_unsendable_requests(self) -> None:
        """Take the requests from the queue that no host should be asked for any more."""
        for open_request in tuple(self._waiting_requests):
            if not self._closed and self._may_be_sent(open_request):
                continue
            if open_request in self._waiting_requests:
                self._waiting_requests.remove(open_request)
            if not open_request.calls_in_progress and not open_request.ended:
                await self._fail_request(open_request)

    def _may_be_sent(self, open_request: OpenRequest) -> bool:
        """Return whether a host should be asked: any for the first call, else a reliable one."""
        tried = open_request.tried_hosts
        return not tried or self._hosts.has_reliable_host(tried)

    def _take_sendable_call(self) -> Call | None:
        """Take the first waiting request that can be sent from the queue; its host is now busy."""
        free_hosts = self._hosts.list_free_hosts()
        if not free_hosts:
            return None
        for open_request in self._waiting_requests:
            host = self._choose_host(open_request, free_hosts)
            if host is not None:
                self._waiting_requests.remove(open_request)
                return self._begin_call(open_request, host)
        return None

    def _begin_call(self, open_request: OpenRequest, host: str) -> Call:
        now = self._clock.monotonic()
        if not open_request.tried_hosts:
            open_request.sent_at = now
        call = Call(open_request, host, now, additional=bool(open_request.calls_in_progress))
        open_request.tried_hosts.add(host)
        open_request.calls_in_progress.append(call)
        self._additional_calls += call.additional
        self._hosts.mark_busy(host, urgent=open_request.urgent)
        return call

    def _end_call(self, call: Call) -> None:
        call.in_progress = False
        call.open_request.calls_in_progress.remove(call)
        self._additional_calls -= call.additional

    def _choose_host(self, open_request: OpenRequest, free_hosts: list[str]) -> str | None:
        if not open_request.urgent and self._hosts.free_non_urgent_hosts <= 0:
            return None
        if not open_request.tried_hosts:
            return free_hosts[0]
        limit = max(1, int(OVERDUE_SHARE * len(self._get_members())))
        if open_request.calls_in_progress and self._additional_calls >= limit:
            return None
        for host in free_hosts:
            if host not in open_request.tried_hosts:
                return None if self._hosts.is_in_backoff(host) else host
        return None

    async def _make_call(self, call: Call) -> None:
        await curio.spawn(self._watch_call, call, daemon=True)
        try:
            permits = await self._request_permits(call)
        except (Exception, curio.TaskTimeout) as error:
            self._end_call(call)
            await self._handle_failure(call, error)
            await self._wait_until_service_is_free(call, error)
        else:
            self._end_call(call)
            await self._handle_answer(call, permits)
        finally:
            self._hosts.release(call.host)
        await self._send_waiting_requests()

    async def _watch_call(self, call: Call) -> None:
        """Ask another host if a call is overdue; end the request if that was its last call."""
        open_request = call.open_request
        await curio.sleep(open_request.overdue_seconds)
        for _ in range(GRACE_CYCLES):
            await curio.sleep(0)
        if not call.in_progress:
            return
        call.overdue = True
        self._hosts.record_failure(call.host)
        if open_request.ended or open_request.awaits_timely_call:
            return
        self._figures.overdue_calls += 1
        self._journal.log_sampled(
            Part.PLACEMENT,
            f'advice by {call.host} is overdue.',
            job=open_request.request.step.job,
            step=open_request.request.step.step,
            expected=round(open_request.expected_seconds, 3),
            host_failures=self._hosts.count_failures(call.host),
            **call.make_trace(self._clock.monotonic()).log_fields(),
        )
        if len(open_request.tried_hosts) < MAX_CALLS_PER_REQUEST:
            self._queue_request(open_request)
            await self._send_waiting_requests()
        else:
            open_request.trace = call.make_trace(self._clock.monotonic())
            await self._fail_request(open_request)

    async def _wait_until_service_is_free(self, call: Call, error: BaseException) -> None:
        """Wait while the service may still handle a failed call and delay the host's next one."""
        if isinstance(error, PeerError) and error.verdict is Verdict.NOT_RUN:
            return
        left = call.started_at + call.open_request.expected_seconds - self._clock.monotonic()
        if left > 0:
            await self._send_waiting_requests()
            await curio.sleep(left)

    async def _handle_answer(self, call: Call, permits: tuple[Permit, ...]) -> None:
        now = self._clock.monotonic()
        open_request = call.open_request
        trace = call.make_trace(now)
        if not call.overdue:
            self._hosts.record_answer(call.host)
        outcome = CallOutcome.UNUSED if open_request.ended else CallOutcome.ANSWERED
        self._figures.count_call(outcome, trace)
        if open_request.ended:
            return
        self._end_request(open_request)
        until = now + open_request.request.advice.valid_seconds
        try:
            await self._on_answered(open_request.request, permits, until, trace)
        except Exception:
            eliot.write_traceback()

    async def _handle_failure(self, call: Call, error: BaseException) -> None:
        open_request = call.open_request
        if call.overdue:
            self._hosts.extend_backoff(call.host)
        else:
            self._hosts.record_failure(call.host)
        open_request.trace = call.make_trace(self._clock.monotonic())
        self._figures.count_call(CallOutcome.FAILED, open_request.trace)
        self._log_failure(call, error)
        if open_request.ended or open_request.awaits_timely_call:
            # If that call is overdue as well, the request goes to a further host then.
            return
        if len(open_request.tried_hosts) < MAX_CALLS_PER_REQUEST:
            self._queue_request(open_request)
        elif not open_request.calls_in_progress:
            await self._fail_request(open_request)

    def _log_failure(self, call: Call, error: BaseException) -> None:
        request = call.open_request.request
        self._journal.log_sampled(
            Part.PLACEMENT,
            f'no advice by {call.host}: {error}.',
            job=request.step.job,
            step=request.step.step,
            priority=request.priority,
            runners=len(request.runners),
            expected=round(call.open_request.expected_seconds, 3),
            host_failures=self._hosts.count_failures(call.host),
            **call.open_request.trace.log_fields(),
        )
        if not isinstance(error, (AdviceError, PeerError)):
            eliot.write_traceback()

    async def _fail_request(self, open_request: OpenRequest) -> None:
        self._end_request(open_request)
        try:
            await self._on_failed(open_request.request, open_request.trace)
        except Exception:
            eliot.write_traceback()

    def _end_request(self, open_request: OpenRequest) -> None:
        open_request.ended = True
        if open_request in self._waiting_requests:
            self._waiting_requests.remove(open_request)

    async def _request_permits(self, call: Call) -> tuple[Permit, ...]:
        host, request = call.host, call.open_request.request
        step, timeout = request.step, call.open_request.timeout
        if host == self._own_host:
            return await self._local_advisor.request(step, request.runners, timeout)
        query = AdviceWanted(step.job, step.occurrence, step.step, request.runners, timeout)
        member = self._get_members().get(host)
        if member is None:
            raise AdviceError('the host is no longer a member')
        frame = await self._links.request(member, query, timeout + TIMEOUT_MARGIN_SECONDS)
        reply = frame.message
        if not isinstance(reply, AdviceGiven) or not reply.answered:
            raise AdviceError('the peer got no advice')
        return tuple(Permit(runner, ticket) for runner, ticket in reply.permits)


def _get_position(open_request: OpenRequest) -> tuple[int, int]:
    return open_request.position
