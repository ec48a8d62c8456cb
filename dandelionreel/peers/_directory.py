"""All known daemons, with a link to each and what each last told."""

from dataclasses import dataclass, field

from dandelionreel.kernel import Clock, Verdict
from dandelionreel.peers._framing import TrafficCounter
from dandelionreel.peers._link import PeerClocks, PeerError, PeerLink
from dandelionreel.peers._messages import Frame, Gossip, Message

NEVER_HEARD = float('-inf')
#: A longer pause between messages counts as silence.
MAX_GAP_SECONDS = 2.5


@dataclass(frozen=True)
class PeerAddress:
    """Where a host's daemon listens for peers."""

    host: str
    availability_zone: str
    address: str
    port: int


@dataclass
class PeerState:
    """What is known of the daemon on one host."""

    address: PeerAddress
    link: PeerLink
    member: str = ''
    heard_at: float = NEVER_HEARD
    #: Since when no gap between two messages was longer than ``GAP_SECONDS``.
    heard_since: float = NEVER_HEARD
    refusals: int = 0
    gossip: Gossip = field(default_factory=Gossip)
    #: Free slots already used up by forwards since the last gossip.
    forwards_since_gossip: int = 0
    contracts_queried_at: float = NEVER_HEARD


class PeerDirectory:
    """Peers by host; one link to each."""

    def __init__(
        self,
        sender_name: str,
        clock: Clock,
        peer_clocks: PeerClocks,
        traffic: TrafficCounter,
    ) -> None:
        """Ask peers as ``me``."""
        self._sender_name = sender_name
        self._clock = clock
        self._peer_clocks = peer_clocks
        self._traffic = traffic
        self._state_by_host: dict[str, PeerState] = {}

    def set_address(self, address: PeerAddress) -> PeerState:
        """Keep a daemon's address; a changed one gets a new link."""
        known = self._state_by_host.get(address.host)
        if known is not None and known.address == address:
            return known
        link = PeerLink(
            address.address,
            address.port,
            self._sender_name,
            self._clock,
            self._peer_clocks,
            self._traffic,
        )
        state = PeerState(address, link)
        self._state_by_host[address.host] = state
        return state

    def forget(self, host: str) -> PeerState | None:
        """Drop a host; return its state so that the link can be closed."""
        return self._state_by_host.pop(host, None)

    def states(self, availability_zone: str = '') -> tuple[PeerState, ...]:
        """Return the peers of one zone, or all."""
        return tuple(
            state
            for state in self._state_by_host.values()
            if availability_zone in {'', state.address.availability_zone}
        )

    def get(self, host: str) -> PeerState | None:
        """Return the state of a host's daemon."""
        return self._state_by_host.get(host)

    def get_by_member(self, member: str) -> PeerState | None:
        """Return the state of the host that a member runs on."""
        host, _, _ = member.partition('/')
        return self._state_by_host.get(host)

    def record_gossip(self, member: str, gossip: Gossip) -> PeerState | None:
        """Keep what a member told."""
        state = self.get_by_member(member)
        if state is None:
            return None
        now = self._clock.monotonic()
        if now - state.heard_at > MAX_GAP_SECONDS or state.member != member:
            state.heard_since = now
        state.member = member
        state.heard_at = now
        state.refusals = 0
        state.gossip = gossip
        state.forwards_since_gossip = 0
        return state

    def heard_within(self, seconds: float, availability_zone: str = '') -> tuple[str, ...]:
        """Return members of a zone, or of all, heard from in the last ``seconds``."""
        since = self._clock.monotonic() - seconds
        return tuple(
            state.member
            for state in self.states(availability_zone)
            if state.member and state.heard_at >= since
        )

    async def ask(self, member: str, message: Message, timeout: float) -> Frame:
        """Ask that incarnation of a daemon; raises ``PeerError``."""
        state = self.get_by_member(member)
        if state is None:
            raise PeerError('no such peer', Verdict.NOT_RUN)
        return await state.link.ask(message, timeout)
