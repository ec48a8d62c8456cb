"""Exchanges heartbeats with every other daemon: promises, gossip, proofs of end."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import curio

from dandelionreel.backing import HostWatch, LogError, StreamWriter
from dandelionreel.kernel import Clock, Journal, Part, Settings, start_task
from dandelionreel.ownership._claimer import PeerStatus
from dandelionreel.ownership._membership import Member, Membership
from dandelionreel.ownership._promises import PromiseTracker
from dandelionreel.ownership._records import Ended
from dandelionreel.peers import (
    Frame,
    Gossip,
    Heartbeat,
    HeartbeatAnswer,
    Message,
    PeerAddress,
    PeerDirectory,
    PeerError,
    PeerState,
    Refused,
    hash_member,
)

#: Consecutive refused connections that prove that a daemon has ended.
REFUSALS_FOR_PROOF = 2
#: A daemon has ended if for this many silence periods (``silent_after``) its host was missing
#: from the host list and the daemon was not heard.
GONE_SILENT_PERIODS = 4
#: Daemons of other zones wait this long for the ended daemon's own zone to write the proof.
OTHER_ZONE_PROOF_DELAY_SECONDS = 4.0
WRITE_TIMEOUT_SECONDS = 5.0
CHECK_INTERVAL_SECONDS = 0.5
#: If this many check intervals pass between two checks, this daemon was paused.
PAUSE_INTERVALS = 2
#: An ``Alive`` record proves that its daemon is live for this many silence periods.
ALIVE_PERIODS = 2

#: Called with whether the peer is in this daemon's own zone.
GossipSource = Callable[[bool], Gossip]
GossipHandler = Callable[[PeerState], Awaitable[None]]


class PeerMonitor(PeerStatus):
    """Tracks which daemons are live, and passes gossip to and from them."""

    def __init__(
        self,
        own_member: str,
        settings: Settings,
        clock: Clock,
        directory: PeerDirectory,
        zone_members: Membership,
        cell_members: Membership,
        promises: PromiseTracker,
        hosts: HostWatch,
        journal: Journal,
    ) -> None:
        """Exchange heartbeats as the member ``own_member``."""
        self._own_member = own_member
        self._settings = settings
        self._zone = settings.availability_zone
        self._clock = clock
        self._directory = directory
        self._zone_members = zone_members
        self._cell_members = cell_members
        self._promises = promises
        self._hosts = hosts
        self._journal = journal
        self._gossip_source: GossipSource = _make_empty_gossip
        self._gossip_handlers: list[GossipHandler] = []
        self._acknowledged_by: set[str] = set()
        self._heartbeat_task_by_host: dict[str, Any] = {}
        self._refused_at_by_member: dict[str, float] = {}
        self._last_check_at = clock.monotonic()
        self._resumed_at = clock.monotonic()

    def connect_gossip(self, source: GossipSource, *handlers: GossipHandler) -> None:
        """Send peers what ``source`` returns; pass their gossip to ``handlers``."""
        self._gossip_source = source
        self._gossip_handlers.extend(handlers)

    def is_silent(self, member: str) -> bool:
        """Return whether there is no recent sign of life of the member."""
        self._detect_own_pause()
        now = self._clock.monotonic()
        period = self._settings.timings.silent_after
        state = self._directory.get_by_member(member)
        if state is None:
            return True
        # While this daemon was paused it missed the messages of all others. After
        # it resumes, it must listen for a whole silence period before it considers
        # a member silent.
        listened_from = max(state.heard_at, self._resumed_at)
        if now - listened_from < period:
            return False
        if self._is_member_heard_by_others(member):
            return False
        alive_at = self._zone_members.alive_at_by_key.get(member, float('-inf'))
        return now - alive_at >= ALIVE_PERIODS * period

    def is_draining(self, member: str) -> bool:
        """Return whether the member has announced that it is about to leave."""
        state = self._directory.get_by_member(member)
        return state is not None and state.gossip.draining

    def has_acknowledged_own_member(self, member: str) -> bool:
        """Return whether the member has listed this daemon among the members it knows."""
        return member in self._acknowledged_by

    def all_members_heard_since(self) -> float:
        """Return since when, on the monotonic clock, no live member of the zone was silent.

        Returns the present time if a member is silent now.
        """
        now = self._clock.monotonic()
        latest = float('-inf')
        for member in self._zone_members.live_members(self._zone):
            if member.key == self._own_member:
                continue
            state = self._directory.get_by_member(member.key)
            if state is None or now - state.heard_at > self._settings.timings.silent_after:
                return now
            latest = max(latest, state.heard_since)
        return latest

    def has_silent_member(self) -> bool:
        """Return whether a live member of the zone was silent for half a silence period.

        That member may not hear this daemon either. It must then read in the log
        that this daemon is alive, before a whole silence period is over.
        """
        heard = self._directory.heard_within(self._settings.timings.silent_after / 2)
        return any(
            member.key not in heard and member.key != self._own_member
            for member in self._zone_members.live_members(self._zone)
        )

    async def answer_heartbeat(self, frame: Frame) -> Message:
        """Answer a heartbeat, with a promise unless this daemon claims a shard of the sender."""
        message = frame.message
        if not isinstance(message, Heartbeat):
            return Refused('not a heartbeat')
        same_zone = message.availability_zone == self._zone
        if same_zone:
            self._promises.require_promise(frame.sender)
        await self._handle_gossip(frame.sender, message.gossip, same_zone=same_zone)
        promise = same_zone and self._promises.give_promise(frame.sender)
        return HeartbeatAnswer(promise, self._gossip_source(same_zone))

    async def run(self, stack: AsyncExitStack) -> None:
        """Keep one heartbeat task running for each known daemon."""
        while True:
            self._detect_own_pause()
            self._add_known_peers()
            for state in self._directory.states():
                host = state.address.host
                if host not in self._heartbeat_task_by_host:
                    self._heartbeat_task_by_host[host] = await start_task(
                        stack, self._send_heartbeats, host
                    )
            await curio.sleep(CHECK_INTERVAL_SECONDS)

    async def detect_ended_members(
        self,
        zone_writer: StreamWriter,
        cell_writer: StreamWriter,
    ) -> None:
        """Write a record to the log for each other daemon that is proven to have ended."""
        while True:
            await curio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                await self._write_proofs_of_end(zone_writer, cell_writer)
            except LogError as error:
                self._journal.log(Part.OWNERSHIP, f'could not write a proof of end: {error}.')

    def _detect_own_pause(self) -> None:
        now = self._clock.monotonic()
        if now - self._last_check_at > CHECK_INTERVAL_SECONDS * PAUSE_INTERVALS:
            self._resumed_at = now
        self._last_check_at = now

    def _add_known_peers(self) -> None:
        for member in self._cell_members.live_members() + self._zone_members.live_members():
            self._add_peer(member.host, member.availability_zone, member.address, member.peers_port)
        # Without the log, a new daemon finds its peers only by the host list.
        for entry in self._hosts.all_hosts_of_kind('entry'):
            self._add_peer(entry.name, entry.availability_zone, entry.address, entry.port)

    def _add_peer(self, host: str, zone: str, address: str, port: int) -> None:
        if host == self._settings.host or not address:
            return
        self._directory.set_address(PeerAddress(host, zone, address, port))

    async def _send_heartbeats(self, host: str) -> None:
        timings = self._settings.timings
        while True:
            state = self._directory.get(host)
            if state is None:
                return
            same_zone = state.address.availability_zone == self._zone
            await self._send_heartbeat(state, same_zone=same_zone)
            pause = timings.heartbeat if same_zone else timings.far_heartbeat
            if state.refusals and state.refusals < REFUSALS_FOR_PROOF:
                # One more refused connection proves that the daemon has ended; retry
                # soon, so that its shards get a new owner.
                pause = timings.heartbeat / 4
            await curio.sleep(pause)

    async def _send_heartbeat(self, state: PeerState, *, same_zone: bool) -> None:
        live_before = self._live_members_on(state.address.host)
        requested_at = self._clock.monotonic()
        request = Heartbeat(self._zone, self._gossip_source(same_zone))
        try:
            frame = await state.link.request(request, self._settings.timings.authority / 2)
        except PeerError as error:
            if error.refused:
                self._handle_connection_refused(state, live_before)
            else:
                state.refusals = 0
            return
        if not isinstance(frame.message, HeartbeatAnswer):
            return
        answer = frame.message
        await self._handle_gossip(frame.sender, answer.gossip, same_zone=same_zone)
        if same_zone:
            self._promises.record_promise_answer(
                frame.sender,
                requested_at,
                answer.promise,
                answer.gossip.view,
            )

    async def _handle_gossip(self, member: str, gossip: Gossip, *, same_zone: bool) -> None:
        state = self._directory.record_gossip(member, gossip)
        if same_zone and hash_member(self._own_member) in gossip.view:
            self._acknowledged_by.add(member)
        if state is None:
            return
        for handler in self._gossip_handlers:
            await handler(state)

    def _live_members_on(self, host: str) -> tuple[Member, ...]:
        """Return the members on a host; a connection refused from now on proves their end."""
        found = {
            member.key: member
            for member in self._zone_members.live_members() + self._cell_members.live_members()
            if member.host == host
        }
        return tuple(found.values())

    def _handle_connection_refused(self, state: PeerState, members: tuple[Member, ...]) -> None:
        # A refused connection means that no process listens: the members on the host
        # that were known before the request have ended. A timeout proves nothing,
        # because the daemon may be paused.
        state.refusals += 1
        if state.refusals < REFUSALS_FOR_PROOF:
            return
        for member in members:
            self._promises.record_connection_refused(member.key)
            self._refused_at_by_member.setdefault(member.key, self._clock.monotonic())
        if state.member:
            self._promises.record_connection_refused(state.member)

    async def _write_proofs_of_end(
        self, zone_writer: StreamWriter, cell_writer: StreamWriter
    ) -> None:
        for member in self._cell_members.live_members():
            proof = self._find_proof_of_end(member)
            if not proof:
                continue
            await cell_writer.write(Ended(member.key, proof), WRITE_TIMEOUT_SECONDS)
            self._journal.log(Part.OWNERSHIP, f'{member.key} has ended; {proof}.')
        for member in self._zone_members.live_members():
            proof = self._find_proof_of_end(member) or self._find_proof_in_cell_stream(member)
            if proof:
                await zone_writer.write(Ended(member.key, proof), WRITE_TIMEOUT_SECONDS)

    def _find_proof_in_cell_stream(self, member: Member) -> str:
        if self._cell_members.has_ended(member.key):
            return 'ended in the cell stream'
        return ''

    def _find_proof_of_end(self, member: Member) -> str:
        if member.key == self._own_member:
            return ''
        now = self._clock.monotonic()
        refused_at = self._refused_at_by_member.get(member.key)
        if refused_at is not None:
            same_zone = member.availability_zone == self._zone
            if same_zone or now - refused_at > OTHER_ZONE_PROOF_DELAY_SECONDS:
                return 'connection refused'
        return self._find_proof_in_host_list(member)

    def _find_proof_in_host_list(self, member: Member) -> str:
        period = self._settings.timings.silent_after * GONE_SILENT_PERIODS
        if self._hosts.missing_seconds(member.host) < period:
            return ''
        state = self._directory.get_by_member(member.key)
        if state is not None and self._clock.monotonic() - state.heard_at < period:
            return ''
        if not self.is_silent(member.key):
            return ''
        return 'gone from the host list'

    def _is_member_heard_by_others(self, member: str) -> bool:
        recent = self._clock.monotonic() - self._settings.timings.silent_after
        for state in self._directory.states(self._zone):
            if state.member == member or state.heard_at < recent:
                continue
            if hash_member(member) in state.gossip.heard:
                return True
        return False


def _make_empty_gossip(same_zone: bool) -> Gossip:
    return Gossip()
