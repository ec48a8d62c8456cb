"""Promises between the members of a zone: given, withheld and received.

A member promises an owner that it has no claim on the owner's shards. If it
claims one later, it waits until the authority from its promise has expired. An
owner with recent promises of all other members may act without the log.
"""

from dataclasses import dataclass

from dandelionreel.kernel import Clock
from dandelionreel.ownership._membership import Membership, member_keys
from dandelionreel.peers import hash_member

NO_EVIDENCE = float('-inf')


@dataclass(frozen=True)
class _ReceivedPromise:
    requested_at: float
    view: tuple[int, ...]


class PromiseTracker:
    """Tracks the promises that this daemon has given and received.

    Evidence requires the promise of *every* other member, because a member
    unknown to the owner might claim. Each promise therefore carries a view, the
    members that its sender knows; they must promise too.
    """

    def __init__(self, own_member: str, zone: str, clock: Clock, membership: Membership) -> None:
        """Track promises of the member ``own_member`` of ``zone``."""
        self._own_member = own_member
        self._zone = zone
        self._clock = clock
        self._membership = membership
        self._received_by_member: dict[str, _ReceivedPromise] = {}
        #: Members proven to have ended by a refused connection.
        self._refused_members: set[str] = set()
        self._key_by_hash: dict[int, str] = {}
        #: Members known by their own heartbeats.
        self._heard_members: set[str] = set()
        self._withheld_count_by_member: dict[str, int] = {}
        #: When this daemon last gave each member its promise.
        self.promised_at_by_member: dict[str, float] = {}

    def give_promise(self, member: str) -> bool:
        """Promise ``member`` not to act on its shards; return False during a claim on them."""
        if member in self._withheld_count_by_member or self._membership.has_ended(member):
            return False
        self.promised_at_by_member[member] = self._clock.monotonic()
        return True

    def require_promise(self, member: str) -> None:
        """Require that member's promise from now on.

        Called before this daemon's view contains the member. Once the views of
        all members contain a new member it may claim, so nobody may act
        without its promise.
        """
        if member != self._own_member:
            self._heard_members.add(member)

    def view(self) -> tuple[int, ...]:
        """Return the hashes of the members known at first hand, including this one.

        Members known only by others' views are left out: a stale entry would
        circulate forever, and one that nobody can resolve would block all
        evidence.
        """
        return tuple(
            sorted(map(hash_member, {*self._members_known_first_hand(), self._own_member}))
        )

    def withhold_promise(self, member: str) -> None:
        """Stop promising to a member before a claim on its shards is written."""
        self._withheld_count_by_member[member] = self._withheld_count_by_member.get(member, 0) + 1

    def resume_promise(self, member: str) -> None:
        """Undo one ``withhold_promise``, once the claim is lost or settled."""
        remaining = self._withheld_count_by_member.get(member, 0) - 1
        if remaining > 0:
            self._withheld_count_by_member[member] = remaining
            return
        self._withheld_count_by_member.pop(member, None)

    def record_answer(
        self, member: str, requested_at: float, promise: bool, view: tuple[int, ...]
    ) -> None:
        """Store a member's answer; a withheld promise cancels the earlier one."""
        if not promise:
            self._received_by_member.pop(member, None)
            return
        self._received_by_member[member] = _ReceivedPromise(requested_at, view)

    def record_connection_refused(self, member: str) -> None:
        """Record a refused connection, which proves that this incarnation has ended."""
        self._refused_members.add(member)

    def required_members(self) -> frozenset[str]:
        """Return the members whose promise is required for evidence."""
        named = set(self._members_known_first_hand())
        for received in self._received_by_member.values():
            named.update(map(self._resolve_hash, received.view))
        return frozenset(key for key in named if self._may_be_live(key))

    def evidence_at(self) -> float:
        """Return when the oldest required promise was requested."""
        now = self._clock.monotonic()
        oldest = now
        for key in self.required_members():
            received = self._received_by_member.get(key)
            if received is None:
                return NO_EVIDENCE
            oldest = min(oldest, received.requested_at)
        return oldest

    def _members_known_first_hand(self) -> tuple[str, ...]:
        """Return the members known from the log or by their own heartbeats."""
        named = {*member_keys(self._membership.live(self._zone)), *self._heard_members}
        return tuple(key for key in named if self._may_be_live(key))

    def _may_be_live(self, key: str) -> bool:
        if key == self._own_member or key in self._refused_members:
            return False
        return not (self._membership.has_ended(key) or self._is_older_incarnation(key))

    def _resolve_hash(self, member_hash: int) -> str:
        """Return the key of the member with that hash, or a placeholder key.

        A placeholder has no promise, so there is no evidence until the member
        becomes known: an owner would rather use half of a shard than too much.
        """
        known = self._key_by_hash.get(member_hash)
        if known is not None:
            return known
        for key in (self._own_member, *self._heard_members, *self._membership.keys()):
            self._key_by_hash[hash_member(key)] = key
        return self._key_by_hash.get(member_hash, f'#{member_hash}')

    def _is_older_incarnation(self, key: str) -> bool:
        host, _, incarnation = key.partition('/')
        for other in (*self._received_by_member, *self._heard_members):
            other_host, _, other_incarnation = other.partition('/')
            if other_host == host and other_incarnation > incarnation:
                return True
        return False
