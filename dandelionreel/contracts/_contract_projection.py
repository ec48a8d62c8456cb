"""Contracts in force and pending proposals, built from the cell's log stream.

There is no commit record. A proposal takes effect at the record by which the
last of the members that were live when it was proposed has staged it, left or
ended. Every reader finds the same record.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
import xxhash

from dandelionreel.backing import Position
from dandelionreel.contracts._document import Contract, intersect_contracts
from dandelionreel.contracts._records import (
    Aborted,
    Proposed,
    Restated,
    ShareMoved,
    ShareWanted,
    Staged,
    ZoneShare,
)
from dandelionreel.kernel import Clock
from dandelionreel.ownership import Ended, Joined, Left, Membership

HISTORY_PER_CUSTOMER = 50


@dataclass(frozen=True)
class PendingProposal:
    """A proposal without an outcome, and the members that have yet to stage it."""

    contract: Contract
    nonce: str
    author: str
    zones: tuple[str, ...]
    missing: frozenset[str]
    staged: frozenset[str]
    learned_at: float


@dataclass(frozen=True)
class ProposalOutcome:
    """How a proposal ended: committed, aborted, or lost to another version."""

    customer: str
    version: int
    nonce: str
    author: str
    state: str
    detail: str
    written_at: float


@dataclass(frozen=True)
class ContractInForce:
    """A contract in force and when its record was written (Unix time)."""

    contract: Contract
    written_at: float


OutcomeWatcher = Callable[[ProposalOutcome], None]


class ContractProjection:
    """The contracts of all customers, as far as this daemon has read the log."""

    def __init__(self, membership: Membership, clock: Clock) -> None:
        """Follow ``membership``, which must apply each log record before this projection."""
        self._membership = membership
        self._clock = clock
        self._in_force_by_customer: dict[str, ContractInForce] = {}
        # Contracts received from peers are kept apart from those in the log:
        # every reader must derive the same outcomes from the log.
        self._adopted_by_customer: dict[str, ContractInForce] = {}
        self._pending_by_customer: dict[str, PendingProposal] = {}
        self._share_by_zone: dict[tuple[str, str], float] = {}
        self._history: list[ProposalOutcome] = []
        self._watchers: list[OutcomeWatcher] = []
        self.wanted_shares: dict[tuple[str, str], float] = {}

    def watch(self, watcher: OutcomeWatcher) -> None:
        """Call ``watcher`` with every outcome."""
        self._watchers.append(watcher)

    def reset(self) -> None:
        """Drop proposals and shares before the log is read again from its start.

        Contracts in force are kept, because versions never go back.
        """
        for customer, contract_in_force in self._in_force_by_customer.items():
            self._keep_adopted(customer, contract_in_force)
        self._in_force_by_customer.clear()
        self._pending_by_customer.clear()
        self._share_by_zone.clear()

    def in_force(self, customer: str) -> Contract | None:
        """Return the contract in force."""
        newest = self._find_newest(customer)
        return newest.contract if newest else None

    def written_at(self, customer: str) -> float:
        """Return when the record that holds the contract was written (Unix time)."""
        newest = self._find_newest(customer)
        return newest.written_at if newest else 0

    def pending(self, customer: str) -> PendingProposal | None:
        """Return the pending proposal, if any."""
        return self._pending_by_customer.get(customer)

    def all_pending(self) -> tuple[PendingProposal, ...]:
        """Return all pending proposals."""
        return tuple(self._pending_by_customer.values())

    def effective(self, customer: str) -> Contract | None:
        """Return the contract to enforce.

        While a newer version is pending, this is the intersection of both.
        """
        current = self.in_force(customer)
        pending = self._pending_by_customer.get(customer)
        if current is None or pending is None:
            return current
        if pending.contract.version <= current.version:
            return current
        return intersect_contracts(current, pending.contract)

    def customers(self) -> tuple[str, ...]:
        """Return the customers with a contract in force."""
        return tuple(sorted({*self._in_force_by_customer, *self._adopted_by_customer}))

    def history(self, customer: str) -> tuple[ProposalOutcome, ...]:
        """Return the latest outcomes, oldest first."""
        return tuple(outcome for outcome in self._history if outcome.customer == customer)

    def outcome(self, nonce: str) -> ProposalOutcome | None:
        """Return the outcome of a proposal, ``None`` while it is pending."""
        for outcome in reversed(self._history):
            if outcome.nonce == nonce:
                return outcome
        return None

    def share(self, customer: str, zone: str) -> float:
        """Return the fraction of the quota that a zone holds, 0 to 1."""
        return self._share_by_zone.get((customer, zone), 0)

    def shares(self, customer: str) -> tuple[ZoneShare, ...]:
        """Return the shares of all zones."""
        return tuple(
            ZoneShare(zone, share)
            for (share_customer, zone), share in sorted(self._share_by_zone.items())
            if share_customer == customer
        )

    def digest(self) -> int:
        """Return a hash of the versions in force, to compare with that of a peer."""
        text = ','.join(
            f'{contract.customer}:{contract.version}'
            for contract in map(self.in_force, self.customers())
            if contract is not None
        )
        return xxhash.xxh64_intdigest(text.encode())

    def adopt(self, contract: Contract) -> bool:
        """Accept a contract in force from a peer; return False if it isn't newer."""
        current = self.in_force(contract.customer)
        if current is not None and current.version >= contract.version:
            return False
        candidate = ContractInForce(contract, self._clock.unix_time())
        return self._keep_adopted(contract.customer, candidate)

    def apply(self, record: msgspec.Struct, position: Position) -> None:
        """Apply one record."""
        if isinstance(record, Proposed):
            self._apply_proposed(record, position)
        elif isinstance(record, Staged):
            self._apply_staged(record, position)
        elif isinstance(record, Aborted):
            self._apply_aborted(record, position)
        elif isinstance(record, Restated):
            self._apply_restated(record, position)
        elif isinstance(record, (Joined, Left, Ended)):
            self._commit_fully_staged(position)
        elif isinstance(record, ShareWanted):
            self.wanted_shares[record.customer, record.zone] = record.share
        elif isinstance(record, ShareMoved):
            self._apply_share_moved(record)

    def _apply_proposed(self, record: Proposed, position: Position) -> None:
        customer = record.contract.customer
        logged = self._in_force_by_customer.get(customer)
        pending = self._pending_by_customer.get(customer)
        version = logged.contract.version if logged else 0
        if pending is not None:
            self._reject(record, 'lost', f'{pending.author} is publishing', position)
            return
        if record.replaces != version or record.contract.version <= version:
            self._reject(record, 'lost', f'version {version} is in force', position)
            return
        members = frozenset(member.key for member in self._membership.live())
        self._pending_by_customer[customer] = PendingProposal(
            record.contract,
            record.nonce,
            record.author,
            record.zones,
            missing=members,
            staged=frozenset(),
            learned_at=self._clock.monotonic(),
        )
        self._commit_fully_staged(position)

    def _apply_staged(self, record: Staged, position: Position) -> None:
        pending = self._pending_by_customer.get(record.customer)
        if pending is None or pending.nonce != record.nonce:
            return
        self._pending_by_customer[record.customer] = replace(
            pending,
            missing=pending.missing - {record.member},
            staged=pending.staged | {record.member},
        )
        self._commit_fully_staged(position)

    def _apply_aborted(self, record: Aborted, position: Position) -> None:
        pending = self._pending_by_customer.get(record.customer)
        if pending is None or pending.nonce != record.nonce:
            return
        self._pending_by_customer.pop(record.customer)
        self._finish_proposal(pending, 'aborted', record.reason, position)

    def _commit_fully_staged(self, position: Position) -> None:
        """Commit the proposals that no live member has yet to stage."""
        for customer, pending in tuple(self._pending_by_customer.items()):
            missing = frozenset(
                key for key in pending.missing if not self._membership.has_ended(key)
            )
            if missing:
                continue
            self._pending_by_customer.pop(customer)
            self._put_in_force(pending.contract, position.written_at)
            self._divide_quota(customer, pending.zones)
            self._finish_proposal(pending, 'committed', 'in force', position)

    def _apply_restated(self, record: Restated, position: Position) -> None:
        customer = record.contract.customer
        logged = self._in_force_by_customer.get(customer)
        if logged is not None and logged.contract.version > record.contract.version:
            return
        self._put_in_force(record.contract, position.written_at)
        if not self.shares(customer):
            for zone_share in record.shares:
                self._share_by_zone[customer, zone_share.zone] = zone_share.share

    def _find_newest(self, customer: str) -> ContractInForce | None:
        logged = self._in_force_by_customer.get(customer)
        adopted = self._adopted_by_customer.get(customer)
        if logged is None or adopted is None:
            return logged or adopted
        if adopted.contract.version > logged.contract.version:
            return adopted
        return logged

    def _keep_adopted(self, customer: str, candidate: ContractInForce) -> bool:
        adopted = self._adopted_by_customer.get(customer)
        if adopted is not None and adopted.contract.version >= candidate.contract.version:
            return False
        self._adopted_by_customer[customer] = candidate
        return True

    def _put_in_force(self, contract: Contract, written_at: float) -> None:
        self._in_force_by_customer[contract.customer] = ContractInForce(contract, written_at)

    def _divide_quota(self, customer: str, zones: tuple[str, ...]) -> None:
        if self.shares(customer):
            return
        for zone in zones:
            self._share_by_zone[customer, zone] = 1 / len(zones)

    def _apply_share_moved(self, record: ShareMoved) -> None:
        giver_share = self.share(record.customer, record.giver)
        moved = min(giver_share, record.share)
        self._share_by_zone[record.customer, record.giver] = giver_share - moved
        taker = (record.customer, record.taker)
        self._share_by_zone[taker] = self._share_by_zone.get(taker, 0) + moved
        self.wanted_shares.pop(taker, None)

    def _reject(self, record: Proposed, state: str, detail: str, position: Position) -> None:
        outcome = ProposalOutcome(
            record.contract.customer,
            record.contract.version,
            record.nonce,
            record.author,
            state,
            detail,
            position.written_at,
        )
        self._record_outcome(outcome)

    def _finish_proposal(
        self, pending: PendingProposal, state: str, detail: str, position: Position
    ) -> None:
        outcome = ProposalOutcome(
            pending.contract.customer,
            pending.contract.version,
            pending.nonce,
            pending.author,
            state,
            detail,
            position.written_at,
        )
        self._record_outcome(outcome)

    def _record_outcome(self, outcome: ProposalOutcome) -> None:
        self._history.append(outcome)
        del self._history[: -HISTORY_PER_CUSTOMER * max(1, len(self._in_force_by_customer))]
        for watcher in self._watchers:
            watcher(outcome)
