"""The known peers, with a link to each and what each last reported."""

from dataclasses import dataclass, field

from dandelionreel.kernel import Clock, Verdict
from dandelionreel.peers._framing import TrafficCounter
from dandelionreel.peers._link import PeerClocks, PeerError, PeerLink
from dandelionreel.peers._messages import Frame, Gossip, Message

NEVER_HEARD = float('-inf')
#: A pause between two messages of a peer counts as silence if it is longer than this.
MAX_GAP_SECONDS = 2.5


@dataclass(frozen=True)
class PeerAddress:
    """The address at which the daemon of a host accepts connections of peers."""

    host: str
    availability_zone: str
    address: str
    port: int


@dataclass
class PeerState:
    """What is known of the daemon on one host; times are monotonic."""

    address: PeerAddress
    link: PeerLink
    member: str = ''
    heard_at: float = NEVER_HEARD
    #: When the first message after the last gap of more than ``MAX_GAP_SECONDS`` arrived.
    heard_since: float = NEVER_HEARD
    #: Consecutive refused connections.
    refusals: int = 0
    gossip: Gossip = field(default_factory=Gossip)
    #: Requests forwarded to the peer since its last gossip; each takes one of the free
    #: slots in that gossip.
    forwards_since_gossip: int = 0
    contracts_queried_at: float = NEVER_HEARD


class PeerDirectory:
    """The states of all known peers, by host."""

    def __init__(
        self,
        sender_name: str,
        clock: Clock,
        peer_clocks: PeerClocks,
        traffic: TrafficCounter,
    ) -> None:
        """Use ``sender_name`` as the sender of all messages."""
        self._sender_name = sender_name
        self._clock = clock
        self._peer_clocks = peer_clocks
        self._traffic = traffic
        self._state_by_host: dict[str, PeerState] = {}

    def set_address(self, address: PeerAddress) -> PeerState:
        """Store a daemon's address; a changed address gets a new state and link."""
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
        """Remove a host; return its state, so that the caller can close the link."""
        return self._state_by_host.pop(host, None)

    def states(self, availability_zone: str = '') -> tuple[PeerState, ...]:
        """Return the states of the peers of one zone, or of all."""
        return tuple(
            state
            for state in self._state_by_host.values()
            if availability_zone in {'', state.address.availability_zone}
        )

    def get(self, host: str) -> PeerState | None:
        """Return the state of the daemon on a host."""
        return self._state_by_host.get(host)

    def get_by_member(self, member: str) -> PeerState | None:
        """Return the state of the host that a member runs on."""
        host, _, _ = member.partition('/')
        return self._state_by_host.get(host)

    def record_gossip(self, member: str, gossip: Gossip) -> PeerState | None:
        """Store the gossip of a member; return its state, ``None`` if its host is unknown."""
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
        """Return the members of one zone, or of all, that sent gossip in the last ``seconds``."""
        since = self._clock.monotonic() - seconds
        return tuple(
            state.member
            for state in self.states(availability_zone)
            if state.member and state.heard_at >= since
        )

    async def request(self, member: str, message: Message, timeout: float) -> Frame:
        """Send a message to the host of ``member``; return its answer or raise ``PeerError``."""
        state = self.get_by_member(member)
        if state is None:
            raise PeerError('unknown peer', Verdict.NOT_RUN)
        return await state.link.request(message, timeout)
