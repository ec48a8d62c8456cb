"""A zone's part of each quota, as escrow: the giver gives before the taker has.

Whoever is cut off from whom, the parts in use never add up to more than the
contract.
"""

from dandelionreel.backing import LogError, StreamWriter
from dandelionreel.contracts import ContractBook, ShareMoved, ShareWanted
from dandelionreel.kernel import Clock, Journal, Part, Settings, Signal
from dandelionreel.placement import Planner

#: A zone asks again for the same customer after this long.
REQUEST_INTERVAL_SECONDS = 5.0
ROUND_SECONDS = 0.5
WRITE_TIMEOUT_SECONDS = 10.0
#: Smaller parts are not worth a record.
MIN_SHARE = 0.01


class QuotaShareBalancer:
    """Asks for more of a quota when this zone runs out, and gives what it can spare."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        contracts: ContractBook,
        writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Keep the parts of the settings' zone; write to the cell's stream."""
        self._zone = settings.availability_zone
        self._clock = clock
        self._contracts = contracts
        self._writer = writer
        self._journal = journal
        self._reserved: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}
        self._pending_requests: dict[str, float] = {}
        self._pending_transfers: dict[str, tuple[str, float]] = {}
        self._changed = Signal()

    def usable_share(self, customer: str) -> float:
        """Return the part of the quota that may be used here now."""
        held = self._contracts.share(customer, self._zone)
        return max(0.0, held - self._reserved.get(customer, 0))

    def plan_transfers(self, planner: Planner) -> None:
        """Note what this zone lacks and what it can spare."""
        for customer in self._contracts.customers():
            self._plan_request(customer, planner)
            self._plan_transfer(customer, planner)

    async def run(self) -> None:
        """Write requests and gifts, for ever."""
        while True:
            await self._changed.wait(self._changed.count, ROUND_SECONDS)
            try:
                await self._write_requests()
                await self._write_transfers()
            except LogError as error:
                self._journal.tell(Part.CONTRACTS, f'could not move a share: {error}.')

    def _plan_request(self, customer: str, planner: Planner) -> None:
        now = self._clock.monotonic()
        contract = self._contracts.effective(customer)
        if contract is None or not planner.queue.waiting(customer):
            return
        if now - self._requested_at.get(customer, float('-inf')) < REQUEST_INTERVAL_SECONDS:
            return
        used = planner.cell.usage.of(customer)
        for work in planner.queue.by_customer(customer):
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
        for (requester, zone), shortfall in self._contracts.wanted_shares.items():
            if requester != customer or zone == self._zone:
                continue
            spare = self._find_spare(customer, planner, zone)
            amount = min(spare, max(shortfall, MIN_SHARE))
            if amount >= MIN_SHARE and self._has_largest_share(customer, zone):
                # From here on this zone does without it, whatever becomes of
                # the record: its answer may be lost after it took effect.
                self._reserved[customer] = self._reserved.get(customer, 0) + amount
                self._pending_transfers[customer] = (zone, amount)
                return

    def _find_spare(self, customer: str, planner: Planner, recipient: str) -> float:
        """Return what this zone does without, for ``taker``.

        Two zones that each wait for a job larger than their parts would wait
        for ever: the one whose name comes first keeps and gets, and gives
        back once its job has ended.
        """
        contract = self._contracts.effective(customer)
        if contract is None:
            return 0
        quota = contract.quota.resources()
        used = planner.cell.usage.of(customer)
        usable = quota.times(self.usable_share(customer))
        candidates = planner.queue.by_customer(customer) if planner.queue.waiting(customer) else []
        for work in candidates:
            if (used + work.total).fits(usable):
                used += work.total
            elif self._zone < recipient:
                return 0
        return max(0.0, self.usable_share(customer) - used.dominant_share(quota))

    def _has_largest_share(self, customer: str, recipient: str) -> bool:
        shares = [
            (part.share, part.zone)
            for part in self._contracts.shares(customer)
            if part.zone != recipient
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
            # The record has been read back: the fold now holds the smaller part.
            self._pending_transfers.pop(customer)
            self._reserved[customer] = max(0.0, self._reserved.get(customer, 0) - amount)
            self._journal.tell(
                Part.CONTRACTS,
                f'gave {amount:.3f} of the quota of {customer} to {zone}; it had work waiting.',
                customer=customer,
            )
