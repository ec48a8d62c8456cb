"""What each client account uses, and the two rules that hold it to its terms."""

from typing import Generic

from dandelionreel.accounts._amounts import AmountsT


class Usage(Generic[AmountsT]):
    """Amounts in use by account: the one count that quotas and shares are checked against."""

    def __init__(self, zero: AmountsT) -> None:
        """Start with nothing in use; ``nothing`` is the zero of the amounts."""
        self._zero = zero
        self._used_by_account: dict[str, AmountsT] = {}

    def add(self, account: str, amounts: AmountsT) -> None:
        """Count more."""
        self._used_by_account[account] = self.of(account) + amounts

    def remove(self, account: str, amounts: AmountsT) -> None:
        """Count less."""
        self._used_by_account[account] = self.of(account) - amounts

    def of(self, account: str) -> AmountsT:
        """Return what an account uses."""
        return self._used_by_account.get(account, self._zero)

    def total(self) -> AmountsT:
        """Return what all accounts use together."""
        total = self._zero
        for used in self._used_by_account.values():
            total += used
        return total


def within_quota(used: AmountsT, additional: AmountsT, quota: AmountsT | None) -> bool:
    """Return whether ``more`` may be started beside what is used; ``None`` is no quota."""
    return quota is None or (used + additional).fits(quota)


def weighted_share(used: AmountsT, capacity: AmountsT, weight: float) -> float:
    """Return the key of weighted dominant resource fairness; the lowest goes first.

    After Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
    """
    return used.dominant_share(capacity) / weight
