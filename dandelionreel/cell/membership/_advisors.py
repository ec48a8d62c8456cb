"""Requests to the policy service, spread over the hosts of the cell.

The service handles the calls of one host one after the other, and a busy cell has more requests
than one host can send. So each host sends one request at a time, and the most urgent waiting
request goes to the next free host.
"""

import heapq
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from dandelionreel.cell.decisions import AdviceRequest
from dandelionreel.cell.membership._advice_figures import AdviceFigures, AdviceTrace
from dandelionreel.cell.model import AdviceError, AdviceService, Member, Permit, StepName
from dandelionreel.kernel import Clock, Journal, Part
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

#: A request times out after ``TIMEOUT_FACTOR`` times the duration that the policy service has
#: announced for it, plus ``TIMEOUT_MARGIN_SECONDS``.
TIMEOUT_FACTOR = 2.0
TIMEOUT_MARGIN_SECONDS = 0.4
#: Seconds for which a host that did not answer gets no further requests.
PEER_BACKOFF_SECONDS = 2.0
#: Share of hosts that may be busy with non-urgent requests: those take a second each, and urgent
#: requests would wait for them.
NON_URGENT_SHARE = 0.75

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
    """Queues advice requests by priority and sends each one through the next free host."""

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
        self._waiting_requests: list[tuple[int, int, float, AdviceRequest]] = []
        self._sequence = itertools.count()
        self._busy_hosts: set[str] = set()
        #: Hosts that are busy with a non-urgent request.
        self._non_urgent_hosts: set[str] = set()
        self._backoff_until_by_host: dict[str, float] = {}
        self._failures_by_host: dict[str, int] = {}
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
        waiting = sum(entry[0] > 0 for entry in self._waiting_requests)
        return self._max_non_urgent_requests() - len(self._non_urgent_hosts) - waiting

    async def submit_request(self, request: AdviceRequest) -> None:
        """Queue a request; it is sent as soon as a host is free."""
        entry = (request.priority, next(self._sequence), self._clock.monotonic(), request)
        heapq.heappush(self._waiting_requests, entry)
        await self._send_waiting_requests()

    async def _send_waiting_requests(self) -> None:
        while self._waiting_requests:
            urgent = self._waiting_requests[0][0] == 0
            allowed = urgent or len(self._non_urgent_hosts) < self._max_non_urgent_requests()
            host = self._find_free_host() if allowed else None
            if host is None:
                return
            _, _, submitted_at, request = heapq.heappop(self._waiting_requests)
            self._busy_hosts.add(host)
            if not urgent:
                self._non_urgent_hosts.add(host)
            await curio.spawn(self._request_advice_from, host, request, submitted_at, daemon=True)

    def _max_non_urgent_requests(self) -> int:
        return max(1, int(NON_URGENT_SHARE * len(self._get_members())))

    def _find_free_host(self) -> str | None:
        if self._own_host not in self._busy_hosts:
            return self._own_host
        now = self._clock.monotonic()
        for host in self._get_members():
            if host in self._busy_hosts or self._backoff_until_by_host.get(host, 0) > now:
                continue
            return host
        return None

    async def _request_advice_from(
        self, host: str, request: AdviceRequest, submitted_at: float
    ) -> None:
        started_at = self._clock.monotonic()
        advice = request.advice
        expected_seconds = advice.decision_seconds + advice.seconds_per_runner * len(
            request.runners
        )
        timeout = expected_seconds * TIMEOUT_FACTOR + TIMEOUT_MARGIN_SECONDS
        try:
            permits = await self._request_permits(host, request, timeout)
        except (AdviceError, PeerError) as error:
            trace = self._end_call(host, submitted_at, started_at, 'failed')
            self._journal.log_sampled(
                Part.PLACEMENT,
                f'no advice by {host}: {error}.',
                job=request.step.job,
                step=request.step.step,
                priority=request.priority,
                runners=len(request.runners),
                expected=round(expected_seconds, 3),
                host_failures=self._failures_by_host[host],
                **trace.log_fields(),
            )
            self._backoff_until_by_host[host] = self._clock.monotonic() + PEER_BACKOFF_SECONDS
            await self._on_failed(request, trace)
        else:
            trace = self._end_call(host, submitted_at, started_at, 'answered')
            until = self._clock.monotonic() + request.advice.valid_seconds
            await self._on_answered(request, permits, until, trace)
        finally:
            self._busy_hosts.discard(host)
            self._non_urgent_hosts.discard(host)
        await self._send_waiting_requests()

    def _end_call(
        self, host: str, submitted_at: float, started_at: float, outcome: str
    ) -> AdviceTrace:
        failures = 0 if outcome == 'answered' else self._failures_by_host.get(host, 0) + 1
        self._failures_by_host[host] = failures
        call_seconds = self._clock.monotonic() - started_at
        trace = AdviceTrace(host, started_at - submitted_at, call_seconds)
        self._figures.count_call(outcome, trace.queued_seconds, call_seconds)
        return trace

    async def _request_permits(
        self,
        host: str,
        request: AdviceRequest,
        timeout: float,
    ) -> tuple[Permit, ...]:
        step = request.step
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
