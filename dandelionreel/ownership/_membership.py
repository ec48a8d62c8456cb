"""The members of a cell or zone, built from a stream in log order."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import msgspec

from dandelionreel.backing import Position
from dandelionreel.kernel import Clock
from dandelionreel.ownership._records import Alive, Ended, Joined, Left

#: Ended members are kept so that a late record can't make them live again.
MAX_ENDED_KEPT = 5000


@dataclass(frozen=True)
class Member:
    """One incarnation of a daemon; ``ended_by`` is empty while it may be live."""

    key: str
    host: str
    availability_zone: str
    address: str
    peers_port: int
    joined_offset: int
    ended_by: str = ''

    @property
    def has_ended(self) -> bool:
        """Return whether the member is proven to have ended or has left."""
        return bool(self.ended_by)

    @property
    def left_cleanly(self) -> bool:
        """Return whether the member left in order, with nothing of it in flight."""
        return self.ended_by == LEFT


LEFT = 'left'
RESTARTED = 'restarted'


class Membership:
    """The members that one stream names, by key (``host/incarnation``)."""

    def __init__(self, clock: Clock) -> None:
        """Start without members."""
        self._clock = clock
        self._member_by_key: dict[str, Member] = {}
        #: When this daemon read that the member had ended (monotonic).
        self.ended_at_by_key: dict[str, float] = {}
        #: When a member last wrote that it is alive (monotonic, of this daemon).
        self.alive_at_by_key: dict[str, float] = {}

    def reset(self) -> None:
        """Drop the live members before the log is read again; keep the ended ones."""
        ended = {key: member for key, member in self._member_by_key.items() if member.has_ended}
        self._member_by_key = ended

    def apply(self, record: msgspec.Struct, position: Position) -> None:
        """Apply one record."""
        if isinstance(record, Joined):
            self._apply_joined(record, position)
        elif isinstance(record, Left):
            self._mark_ended(record.member, LEFT)
        elif isinstance(record, Ended):
            self._mark_ended(record.member, record.proof)
        elif isinstance(record, Alive):
            age = max(0.0, self._clock.unix_time() - position.written_at)
            self.alive_at_by_key[record.member] = self._clock.monotonic() - age

    def get(self, key: str) -> Member | None:
        """Return the member, live or ended."""
        return self._member_by_key.get(key)

    def keys(self) -> tuple[str, ...]:
        """Return the keys of all known members, including ended ones."""
        return tuple(self._member_by_key)

    def has_ended(self, key: str) -> bool:
        """Return whether that member is proven to have ended."""
        member = self._member_by_key.get(key)
        return member is not None and member.has_ended

    def is_live(self, key: str) -> bool:
        """Return whether that member has joined and is not known to have ended."""
        member = self._member_by_key.get(key)
        return member is not None and not member.has_ended

    def live(self, availability_zone: str = '') -> tuple[Member, ...]:
        """Return members not known to have ended, of one zone or all, sorted by key."""
        found = [
            member
            for member in self._member_by_key.values()
            if not member.has_ended and availability_zone in {'', member.availability_zone}
        ]
        return tuple(sorted(found, key=_by_key))

    def _apply_joined(self, record: Joined, position: Position) -> None:
        if record.member in self._member_by_key:
            return
        # Only one process can be bound to a host's address, so a new
        # incarnation proves that the earlier ones have ended.
        for key, member in tuple(self._member_by_key.items()):
            if member.host == record.host and not member.has_ended:
                self._mark_ended(key, RESTARTED)
        self._member_by_key[record.member] = Member(
            record.member,
            record.host,
            record.availability_zone,
            record.address,
            record.peers_port,
            position.offset,
        )

    def _mark_ended(self, key: str, proof: str) -> None:
        member = self._member_by_key.get(key)
        if member is not None and member.has_ended:
            return
        if member is None:
            host, _, _ = key.partition('/')
            member = Member(key, host, '', '', 0, -1)
        self._member_by_key[key] = replace(member, ended_by=proof)
        self.ended_at_by_key[key] = self._clock.monotonic()
        self._drop_oldest_ended()

    def _drop_oldest_ended(self) -> None:
        while len(self.ended_at_by_key) > MAX_ENDED_KEPT:
            oldest = next(iter(self.ended_at_by_key))
            self.ended_at_by_key.pop(oldest)
            self._member_by_key.pop(oldest, None)


def _by_key(member: Member) -> str:
    return member.key


def member_keys(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the keys of members."""
    return tuple(member.key for member in members)
