"""Forwards clients' requests to peers.

The owner can start a job that it stores itself without reading it back first. When the store
refuses single hosts, peers whose appends it accepts append for them.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from dandelionreel.accounts import AUTHORIZATION
from dandelionreel.cell.clients._client_call import (
    CAUSE_HEADER,
    DOUBT_CAUSE,
    OVERLOAD_CAUSE,
    ClientCall,
)
from dandelionreel.cell.membership import OWNER_QUERY_TIMEOUT, PeerLinks, find_zone_writer
from dandelionreel.cell.model import Member
from dandelionreel.cell.store import CellState
from dandelionreel.http import Request, Response
from dandelionreel.kernel import Clock, Journal, Part, Verdict
from dandelionreel.peers import Done, Forward, ForwardAnswer, OwnerAsked, PeerError

#: Seconds for one peer's reply: its append takes some milliseconds, and while the store is slow as
#: long as two appends, one in progress and its own.
PEER_TIMEOUT = 1.0
#: Peers that are tried for one request.
MAX_PEERS_TRIED = 3
#: Methods of requests that may be sent to any number of peers.
IDEMPOTENT_METHODS = frozenset(('GET',))
#: Statuses that are valid from any host: done, bad input, an unknown key, no such job.
FINAL_STATUSES = frozenset((200, 400, 401, 409, 410, 413))
#: Causes of refusals that hold for all hosts.
DECIDED_CAUSES = frozenset((OVERLOAD_CAUSE, DOUBT_CAUSE))
#: Other statuses by which a peer says that it has done nothing.
NOT_RUN_STATUSES = frozenset((403, 404, 405, 429, 503))
#: Seconds for which a peer is skipped that did not reply or cannot use the store either. The time
#: doubles with each further missing reply, up to the maximum.
PEER_BACKOFF_SECONDS = 1.5
MAX_PEER_BACKOFF_SECONDS = 4.0


@dataclass(frozen=True)
class RelayResult:
    """The response of a peer, if any, and whether a peer that gave none may have acted."""

    response: Response | None
    in_doubt: bool = False


def _ignore_unanswered_query(term: str) -> None:
    """Ignore that the owner of a term did not answer."""


class Relay:
    """Forwards requests to the owner, the zone's writer or any peer that can use the store."""

    def __init__(
        self,
        own_host: str,
        cell_state: CellState,
        links: PeerLinks,
        clock: Clock,
        journal: Journal,
        record_query_unanswered: Callable[[str], None] = _ignore_unanswered_query,
    ) -> None:
        """Forward requests as the host ``own_host``; report owners that do not answer, by term."""
        self._own_host = own_host
        self._cell_state = cell_state
        self._links = links
        self._clock = clock
        self._journal = journal
        self._record_query_unanswered = record_query_unanswered
        self._backoff_until_by_host: dict[str, float] = {}
        self._backoff_seconds_by_host: dict[str, float] = {}

    @property
    def knows_owner(self) -> bool:
        """Return whether any host has owned the cell, as far as this host has read."""
        return self._cell_state.owner is not None

    async def forward_to_owner(self, call: ClientCall, timeout: float) -> RelayResult:
        """Return the response of the cell's owner."""
        owner = self._cell_state.owner
        if owner is None or owner.host == self._own_host or owner.released:
            return RelayResult(None)
        return await self._forward_to_first([owner.host], call, timeout)

    async def forward_to_zone_writer(self, call: ClientCall, timeout: float) -> RelayResult:
        """Return the response of the host that writes for this one, if another host does."""
        zone_writer = self.find_zone_writer()
        return (
            RelayResult(None)
            if zone_writer is None
            else await self._forward_to_first([zone_writer], call, timeout)
        )

    def find_zone_writer(self) -> str | None:
        """Return the host that writes for this one, or ``None`` if it writes itself."""
        now = self._clock.monotonic()
        excluded = {host for host, until in self._backoff_until_by_host.items() if until > now}
        return find_zone_writer(self._cell_state.member_by_host, self._own_host, excluded)

    async def forward_to_any_peer(self, call: ClientCall, timeout: float) -> RelayResult:
        """Return the first final response of any peer, tried in random order."""
        hosts = [host for host in self._cell_state.member_by_host if host != self._own_host]
        random.shuffle(hosts)
        return await self._forward_to_first(hosts, call, timeout)

    async def _forward_to_first(
        self, hosts: list[str], call: ClientCall, timeout: float
    ) -> RelayResult:
        deadline = self._clock.monotonic() + timeout
        in_doubt = False
        for host, member in self._eligible_peers(hosts):
            if call.request.method not in IDEMPOTENT_METHODS and not await self._can_peer_act(
                host, member
            ):
                continue
            remaining = min(PEER_TIMEOUT, deadline - self._clock.monotonic())
            if remaining <= 0:
                break
            relayed = await self._forward_to_peer(host, member, call, remaining)
            in_doubt = in_doubt or relayed.in_doubt
            if relayed.response is not None:
                return RelayResult(relayed.response, in_doubt)
        return RelayResult(None, in_doubt)

    async def _forward_to_peer(
        self,
        host: str,
        member: Member,
        call: ClientCall,
        timeout: float,
    ) -> RelayResult:
        forward = Forward(
            _strip_key(call.request), timeout, 1, call.caller, self._clock.unix_time()
        )
        try:
            frame = await self._links.request(member, forward, timeout)
        except PeerError as error:
            # A read of a job's state has so short a timeout that a busy owner misses it now and
            # then, which is no reason to send submissions elsewhere.
            if timeout > OWNER_QUERY_TIMEOUT:
                self._skip_peer_for(host, f'{error}', self._increase_backoff(host))
            return RelayResult(None, error.verdict is not Verdict.NOT_RUN)
        self._backoff_seconds_by_host.pop(host, None)
        reply = frame.message
        if not isinstance(reply, ForwardAnswer) or reply.no_room:
            self._skip_peer_for(host, 'it cannot use the store either', PEER_BACKOFF_SECONDS)
            return RelayResult(None)
        if reply.response.status in FINAL_STATUSES or is_decided_refusal(reply.response):
            return RelayResult(reply.response)
        # The peer's configuration may be older, or the outcome of its append may be unknown:
        # neither is a response for the client.
        return RelayResult(None, reply.response.status not in NOT_RUN_STATUSES)

    async def _can_peer_act(self, host: str, member: Member) -> bool:
        """Query whether a peer can act before sending it a request that is not idempotent.

        A job that is sent to an unresponsive peer is in doubt, and its client cannot submit it
        elsewhere.
        """
        owner = self._cell_state.owner
        term = owner.term if owner is not None and owner.host == host else ''
        try:
            frame = await self._links.request(member, OwnerAsked(term), OWNER_QUERY_TIMEOUT)
        except PeerError as error:
            self._skip_peer_for(host, f'{error}', self._increase_backoff(host))
            if term:
                self._record_query_unanswered(term)
            return False
        if isinstance(frame.message, Done):
            return True
        self._skip_peer_for(host, 'it cannot act', PEER_BACKOFF_SECONDS)
        return False

    def _eligible_peers(self, hosts: list[str]) -> Iterator[tuple[str, Member]]:
        now = self._clock.monotonic()
        eligible = [
            host
            for host in hosts
            if self._backoff_until_by_host.get(host, 0) <= now
            and host in self._cell_state.member_by_host
        ]
        for host in eligible[:MAX_PEERS_TRIED]:
            yield host, self._cell_state.member_by_host[host]

    def _increase_backoff(self, host: str) -> float:
        """Return for how many seconds a host is skipped after one more missing reply."""
        previous = self._backoff_seconds_by_host.get(host, PEER_BACKOFF_SECONDS / 2)
        self._backoff_seconds_by_host[host] = min(MAX_PEER_BACKOFF_SECONDS, 2 * previous)
        return self._backoff_seconds_by_host[host]

    def _skip_peer_for(self, host: str, cause: str, seconds: float) -> None:
        self._backoff_until_by_host[host] = self._clock.monotonic() + seconds
        self._journal.log_sampled(
            Part.PEERS, f'no requests are forwarded to {host} for now: {cause}.', peer=host
        )


def is_decided_refusal(response: Response) -> bool:
    """Return whether a refusal holds for all hosts.

    That of a job for overload does: no host may store it. So does the answer that a submission is
    in doubt: a host that knows of no append cannot tell that there is none.
    """
    return response.header(CAUSE_HEADER) in DECIDED_CAUSES


def _strip_key(request: Request) -> Request:
    """Return a request without its API key; the peer gets the caller instead."""
    kept = tuple(header for header in request.headers if header[0] != AUTHORIZATION)
    return replace(request, headers=kept)
