"""A zone's part of each quota, as escrow: the giver gives before the taker has.

Whoever is cut off from whom, the parts in use never add up to more than the
contract.
"""

from dandelionreel.backing import LogError, StreamWriter
from dandelionreel.contracts import ContractBook, ShareMoved, ShareWanted
from dandelionreel.kernel import Clock, Journal, Part, Settings, Signal
from dandelionreel.placement import Planner

#: A zone asks again for the same customer after this long.
ASK_SECONDS = 5.0
ROUND_SECONDS = 0.5
WRITE_PATIENCE = 10.0
#: Smaller parts are not worth a record.
LEAST_SHARE = 0.01


class ShareKeeper:
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
        self._given: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        self._wanted: dict[str, float] = {}
        self._gifts: dict[str, tuple[str, float]] = {}
        self._changed = Signal()

    def usable(self, customer: str) -> float:
        """Return the part of the quota that may be used here now."""
        held = self._contracts.share(customer, self._zone)
        return max(0.0, held - self._given.get(customer, 0))

    def consider(self, planner: Planner) -> None:
        """Note what this zone lacks and what it can spare."""
        for customer in self._contracts.customers():
            self._consider_lack(customer, planner)
            self._consider_gift(customer, planner)

    async def run(self) -> None:
        """Write requests and gifts, for ever."""
        while True:
            await self._changed.wait(self._changed.count, ROUND_SECONDS)
            try:
                await self._write_wanted()
                await self._write_gifts()
            except LogError as error:
                self._journal.tell(Part.CONTRACTS, f'could not move a share: {error}.')

    def _consider_lack(self, customer: str, planner: Planner) -> None:
        now = self._clock.monotonic()
        contract = self._contracts.effective(customer)
        if contract is None or not planner.queue.waiting(customer):
            return
        if now - self._asked_at.get(customer, float('-inf')) < ASK_SECONDS:
            return
        used = planner.cell.usage.of(customer)
        for work in planner.queue.heads_of_customer(customer):
            quota = contract.quota.resources()
            needed = (used + work.total).dominant_share(quota)
            lack = needed - self.usable(customer)
            if lack > 0 and needed <= 1:
                self._wanted[customer] = lack
                self._asked_at[customer] = now
                return

    def _consider_gift(self, customer: str, planner: Planner) -> None:
        if customer in self._gifts:
            return
        for (wanted, zone), lack in self._contracts.wanted_shares.items():
            if wanted != customer or zone == self._zone:
                continue
            spare = self._spare(customer, planner, zone)
            gift = min(spare, max(lack, LEAST_SHARE))
            if gift >= LEAST_SHARE and self._is_richest(customer, zone):
                # From here on this zone does without it, whatever becomes of
                # the record: its answer may be lost after it took effect.
                self._given[customer] = self._given.get(customer, 0) + gift
                self._gifts[customer] = (zone, gift)
                return

    def _spare(self, customer: str, planner: Planner, taker: str) -> float:
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
        usable = quota.times(self.usable(customer))
        heads = planner.queue.heads_of_customer(customer) if planner.queue.waiting(customer) else []
        for work in heads:
            if (used + work.total).fits(usable):
                used += work.total
            elif self._zone < taker:
                return 0
        return max(0.0, self.usable(customer) - used.dominant_share(quota))

    def _is_richest(self, customer: str, taker: str) -> bool:
        shares = [
            (part.share, part.zone)
            for part in self._contracts.shares(customer)
            if part.zone != taker
        ]
        return bool(shares) and max(shares)[1] == self._zone

    async def _write_wanted(self) -> None:
        for customer, lack in tuple(self._wanted.items()):
            self._wanted.pop(customer)
            await self._writer.write(ShareWanted(customer, self._zone, lack), WRITE_PATIENCE)

    async def _write_gifts(self) -> None:
        for customer, (zone, gift) in tuple(self._gifts.items()):
            moved = ShareMoved(customer, self._zone, zone, gift)
            await self._writer.write(moved, WRITE_PATIENCE)
            # The record has been read back: the fold now holds the smaller part.
            self._gifts.pop(customer)
            self._given[customer] = max(0.0, self._given.get(customer, 0) - gift)
            self._journal.tell(
                Part.CONTRACTS,
                f'gave {gift:.3f} of the quota of {customer} to {zone}; it had work waiting.',
                customer=customer,
            )
