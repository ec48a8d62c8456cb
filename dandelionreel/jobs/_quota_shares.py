"""Balances the shares of quotas between zones, like an escrow.

A zone gives a share up before the recipient may use it, so the shares in use
never exceed the contract, whatever network partitions occur.
"""

from dandelionreel.backing import LogError, StreamWriter
from dandelionreel.contracts import ContractProjection, ShareMoved, ShareWanted
from dandelionreel.kernel import ChangeNotifier, Clock, Journal, Part, Settings
from dandelionreel.placement import Planner

#: Minimum interval between requests for the same customer.
REQUEST_INTERVAL_SECONDS = 5.0
ROUND_SECONDS = 0.5
WRITE_TIMEOUT_SECONDS = 10.0
#: Smaller shares are not worth a log record.
MIN_SHARE = 0.01


class QuotaShareBalancer:
    """Requests quota shares that this zone lacks, and transfers ones that it can spare."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        contracts: ContractProjection,
        writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Balance the shares of this zone; ``writer`` writes to the cell's log stream."""
        self._zone = settings.availability_zone
        self._clock = clock
        self._contracts = contracts
        self._writer = writer
        self._journal = journal
        #: Shares that this zone no longer uses, because a transfer of them is being written.
        self._reserved: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}
        self._pending_requests: dict[str, float] = {}
        self._pending_transfers: dict[str, tuple[str, float]] = {}
        self._changed = ChangeNotifier()

    def usable_share(self, customer: str) -> float:
        """Return the share of the quota that this zone may currently use."""
        zone_share = self._contracts.share(customer, self._zone)
        return max(0.0, zone_share - self._reserved.get(customer, 0))

    def plan_transfers(self, planner: Planner) -> None:
        """Plan requests for missing shares and transfers of spare shares."""
        for customer in self._contracts.customers():
            self._plan_request(customer, planner)
            self._plan_transfer(customer, planner)

    async def run(self) -> None:
        """Write planned requests and transfers to the log, forever."""
        while True:
            await self._changed.wait(self._changed.count, ROUND_SECONDS)
            try:
                await self._write_requests()
                await self._write_transfers()
            except LogError as error:
                self._journal.log(Part.CONTRACTS, f'could not write a quota share record: {error}.')

    def _plan_request(self, customer: str, planner: Planner) -> None:
        now = self._clock.monotonic()
        contract = self._contracts.effective(customer)
        if contract is None or not planner.queue.count_waiting(customer):
            return
        if now - self._requested_at.get(customer, float('-inf')) < REQUEST_INTERVAL_SECONDS:
            return
        used = planner.cell.usage.amounts_of(customer)
        for work in planner.queue.heads_of_customer(customer):
            quota = contract.quota.resources()
            needed = (used + work.total).dominant_share(quota)
            shortfall = needed - self.usable_share(customer)
            if shortfall > 0 and needed <= 1:
                self._pending_requests[customer] = shortfall
                self._requested_at[customer] = now
                return

    def _plan_transfer(self, customer: str, planner: Planner) -> None:
        if customer in self._pending_transfers:
            return
        for (wanted_customer, zone), shortfall in self._contracts.wanted_shares.items():
            if wanted_customer != customer or zone == self._zone:
                continue
            spare = self._find_spare(customer, planner, zone)
            amount = min(spare, max(shortfall, MIN_SHARE))
            if amount >= MIN_SHARE and self._has_largest_share(customer, zone):
                # This zone stops using the share now, even if the write seems to
                # fail: the record may be stored although its answer is lost.
                self._reserved[customer] = self._reserved.get(customer, 0) + amount
                self._pending_transfers[customer] = (zone, amount)
                return

    def _find_spare(self, customer: str, planner: Planner, recipient: str) -> float:
        """Return the share that this zone can spare for the zone ``recipient``.

        Two zones that each have a waiting job larger than their share would
        deadlock. To prevent that, the zone whose name sorts first keeps its
        share and gets the other's; it gives back after its job has ended.
        """
        contract = self._contracts.effective(customer)
        if contract is None:
            return 0
        quota = contract.quota.resources()
        used = planner.cell.usage.amounts_of(customer)
        usable = quota.times(self.usable_share(customer))
        candidates = (
            planner.queue.heads_of_customer(customer)
            if planner.queue.count_waiting(customer)
            else []
        )
        for work in candidates:
            if (used + work.total).fits(usable):
                used += work.total
            elif self._zone < recipient:
                return 0
        return max(0.0, self.usable_share(customer) - used.dominant_share(quota))

    def _has_largest_share(self, customer: str, recipient: str) -> bool:
        shares = [
            (entry.share, entry.zone)
            for entry in self._contracts.shares(customer)
            if entry.zone != recipient
        ]
        return bool(shares) and max(shares)[1] == self._zone

    async def _write_requests(self) -> None:
        for customer, shortfall in tuple(self._pending_requests.items()):
            self._pending_requests.pop(customer)
            await self._writer.write(
                ShareWanted(customer, self._zone, shortfall), WRITE_TIMEOUT_SECONDS
            )

    async def _write_transfers(self) -> None:
        for customer, (zone, amount) in tuple(self._pending_transfers.items()):
            moved = ShareMoved(customer, self._zone, zone, amount)
            await self._writer.write(moved, WRITE_TIMEOUT_SECONDS)
            # The record was read back, so ``_contracts`` already has the reduced share.
            self._pending_transfers.pop(customer)
            self._reserved[customer] = max(0.0, self._reserved.get(customer, 0) - amount)
            self._journal.log(
                Part.CONTRACTS,
                f'gave {amount:.3f} of the quota of {customer} to {zone}, which has jobs waiting.',
                customer=customer,
            )
