"""Publishes contract versions, and stages those that other members publish.

A member that has staged a proposed version enforces the stricter limits of the version
in force and the proposed one. A contract in force is restated, that is written again,
before the log drops its old records.
"""

import os

import curio
import msgspec

from dandelionreel.backing import LogError, StreamReader, StreamWriter
from dandelionreel.contracts._contract_projection import (
    ContractProjection,
    PendingProposal,
    ProposalOutcome,
)
from dandelionreel.contracts._document import Contract, ContractError, load_contract
from dandelionreel.contracts._records import Aborted, Proposed, Restated, Staged
from dandelionreel.kernel import (
    Clock,
    Journal,
    Part,
    RequestError,
    Settings,
    Verdict,
    not_run_error,
    outcome_unknown_error,
    zones_of,
)
from dandelionreel.ownership import Membership, member_keys
from dandelionreel.peers import (
    ContractState,
    ContractsWanted,
    Frame,
    Message,
    PeerError,
    PeerState,
)

CHECK_INTERVAL_SECONDS = 0.5
WRITE_TIMEOUT_SECONDS = 5.0
#: Delay before a member aborts a proposal or restates a contract, times its position in
#: the sorted list of members, so that usually only one member does it.
RANK_DELAY_SECONDS = 1.0
NONCE_BYTES = 8
QUERY_TIMEOUT_SECONDS = 2.0
#: Minimum interval between two queries to the same peer.
QUERY_INTERVAL_SECONDS = 1.0
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


class ContractPublisher:
    """Publishes, stages, aborts and restates contract versions for one member."""

    def __init__(
        self,
        own_member: str,
        settings: Settings,
        clock: Clock,
        contracts: ContractProjection,
        membership: Membership,
        reader: StreamReader,
        writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Act for the member ``own_member``."""
        self._own_member = own_member
        self._settings = settings
        self._clock = clock
        self._contracts = contracts
        self._membership = membership
        self._reader = reader
        self._writer = writer
        self._journal = journal
        contracts.watch_outcomes(self._log_proposal_outcome)

    async def publish_contract(
        self, contract: Contract, replaces: int, author: str
    ) -> ProposalOutcome:
        """Propose a version and wait for its outcome; raises ``RequestError``."""
        nonce = os.urandom(NONCE_BYTES).hex()
        proposal = Proposed(contract, replaces, nonce, author, zones_of(self._settings))
        try:
            await self._writer.write(proposal, self._settings.timings.publish_patience)
        except LogError as error:
            raise _translate_log_error(error) from error
        outcome = await self._await_proposal_outcome(nonce)
        if outcome is None:
            raise outcome_unknown_error(
                HTTP_TIMEOUT,
                'contract-outcome-unknown',
                'the proposal is in the log but its outcome was not read in time; '
                'ask for the history',
            )
        if outcome.state != 'committed':
            raise not_run_error(
                HTTP_CONFLICT,
                f'contract-{outcome.state}',
                f'version {contract.version} was not put in force: {outcome.detail}',
            )
        return outcome

    async def run(self) -> None:
        """Stage, abort and restate contracts when the log changes, or after the check interval."""
        while True:
            change_count = self._reader.changed.count
            try:
                await self._write_due_records()
            except LogError as error:
                self._journal.log(Part.CONTRACTS, f'could not write to the log: {error}.')
            await self._reader.changed.wait(change_count, CHECK_INTERVAL_SECONDS)

    async def handle_gossip(self, state: PeerState) -> None:
        """Query a peer for its contracts if its versions differ from this daemon's.

        In this way a daemon that can't reach the log but can reach peers gets
        new versions.
        """
        if state.gossip.contracts == self._contracts.versions_digest():
            return
        now = self._clock.monotonic()
        if now - state.contracts_queried_at < QUERY_INTERVAL_SECONDS:
            return
        state.contracts_queried_at = now
        await curio.spawn(self._query_contracts, state, daemon=True)

    async def answer_contracts_query(self, frame: Frame) -> Message:
        """Answer a peer's query with the contracts that are in force here."""
        documents = [
            self._encode_contract_in_force(customer) for customer in self._contracts.customers()
        ]
        return ContractState(self._reader.offset, tuple(documents))

    async def _query_contracts(self, state: PeerState) -> None:
        try:
            frame = await state.link.request(ContractsWanted(), QUERY_TIMEOUT_SECONDS)
        except PeerError:
            return
        if not isinstance(frame.message, ContractState):
            return
        for document in frame.message.documents:
            self._adopt_contract(document, frame.sender)

    def _adopt_contract(self, document: bytes, peer: str) -> None:
        try:
            contract = load_contract(document)
        except ContractError as error:
            self._journal.log(Part.CONTRACTS, f'rejected a contract from {peer}: {error}.')
            return
        if self._contracts.adopt_contract(contract):
            self._journal.log(
                Part.CONTRACTS,
                f'version {contract.version} of {contract.customer} is in force; '
                f'received from {peer}.',
                customer=contract.customer,
                version=contract.version,
            )

    async def _await_proposal_outcome(self, nonce: str) -> ProposalOutcome | None:
        deadline = self._clock.monotonic() + self._settings.timings.publish_patience
        while self._clock.monotonic() < deadline:
            change_count = self._reader.changed.count
            outcome = self._contracts.proposal_outcome(nonce)
            if outcome is not None:
                return outcome
            await self._reader.changed.wait(change_count, CHECK_INTERVAL_SECONDS)
        return self._contracts.proposal_outcome(nonce)

    async def _write_due_records(self) -> None:
        for pending in self._contracts.pending_proposals():
            if self._own_member in pending.missing:
                await self._stage_proposal(pending)
            elif self._is_proposal_overdue(pending):
                await self._abort_proposal(pending)
        await self._restate_expiring_contracts()

    async def _stage_proposal(self, pending: PendingProposal) -> None:
        # Since it read the proposal, this member has enforced the stricter limits of the
        # version in force and the proposed one (``ContractProjection.effective_contract``).
        # The record tells the other members.
        customer = pending.contract.customer
        await self._writer.write(
            Staged(customer, pending.nonce, self._own_member), WRITE_TIMEOUT_SECONDS
        )
        self._journal.log(
            Part.CONTRACTS,
            f'staged version {pending.contract.version} of {customer}.',
            customer=customer,
            version=pending.contract.version,
        )

    def _is_proposal_overdue(self, pending: PendingProposal) -> bool:
        age = self._clock.monotonic() - pending.learned_at
        return (
            age > self._settings.timings.contract_deadline + self._own_rank() * RANK_DELAY_SECONDS
        )

    async def _abort_proposal(self, pending: PendingProposal) -> None:
        missing = [key for key in sorted(pending.missing) if not self._membership.has_ended(key)]
        reason = f'not staged in time by {", ".join(missing)}'
        customer = pending.contract.customer
        await self._writer.write(Aborted(customer, pending.nonce, reason), WRITE_TIMEOUT_SECONDS)

    async def _restate_expiring_contracts(self) -> None:
        now = self._clock.unix_time()
        due_after = self._settings.timings.retention / 3 + self._own_rank() * RANK_DELAY_SECONDS
        for customer in self._contracts.customers():
            if now - self._contracts.contract_written_at(customer) < due_after:
                continue
            contract = self._contracts.contract_in_force(customer)
            if contract is None or not self._reader.caught_up:
                continue
            restated = Restated(contract, self._contracts.zone_shares(customer))
            await self._writer.write(restated, WRITE_TIMEOUT_SECONDS)

    def _own_rank(self) -> int:
        keys = member_keys(self._membership.live_members())
        return keys.index(self._own_member) if self._own_member in keys else len(keys)

    def _encode_contract_in_force(self, customer: str) -> bytes:
        # Not cached: encoding is cheap, and queries are rare.
        return encode_contract(self._contracts.contract_in_force(customer))

    def _log_proposal_outcome(self, outcome: ProposalOutcome) -> None:
        self._journal.log(
            Part.CONTRACTS,
            f'version {outcome.version} of {outcome.customer} is {outcome.state}; '
            f'{outcome.detail}.',
            customer=outcome.customer,
            version=outcome.version,
        )


def encode_contract(contract: Contract | None) -> bytes:
    """Return the JSON document of a contract."""
    return msgspec.json.encode(contract)


def _translate_log_error(error: LogError) -> RequestError:
    if error.verdict is Verdict.NOT_RUN:
        return not_run_error(
            HTTP_UNAVAILABLE,
            'log-unavailable',
            'the log is out of reach; nothing was published',
            retry_after=10,
        )
    return outcome_unknown_error(
        HTTP_TIMEOUT,
        'log-outcome-unknown',
        'the log did not confirm; ask for the history before publishing again',
    )
