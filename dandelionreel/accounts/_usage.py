"""Resource usage of client accounts, and the rules for quota and fair share."""

from typing import Generic

from dandelionreel.accounts._amounts import AmountsT


class AccountUsage(Generic[AmountsT]):
    """Resource amounts that each account uses; quotas and fair shares are checked against them."""

    def __init__(self, zero: AmountsT) -> None:
        """Start with nothing in use; ``zero`` is the zero value of the amounts."""
        self._zero = zero
        self._used_by_account: dict[str, AmountsT] = {}

    def add(self, account: str, amounts: AmountsT) -> None:
        """Add amounts to an account's usage."""
        self._used_by_account[account] = self.amounts_of(account) + amounts

    def remove(self, account: str, amounts: AmountsT) -> None:
        """Subtract amounts from an account's usage."""
        self._used_by_account[account] = self.amounts_of(account) - amounts

    def amounts_of(self, account: str) -> AmountsT:
        """Return the amounts that an account uses."""
        return self._used_by_account.get(account, self._zero)

    def total(self) -> AmountsT:
        """Return the usage of all accounts together."""
        total = self._zero
        for used in self._used_by_account.values():
            total += used
        return total


def within_quota(used: AmountsT, additional: AmountsT, quota: AmountsT | None) -> bool:
    """Return whether ``used + additional`` is within the quota; ``None`` is no quota."""
    return quota is None or (used + additional).fits(quota)


def weighted_share(used: AmountsT, capacity: AmountsT, weight: float) -> float:
    """Return the weighted dominant share; the account with the lowest one is served first.

    After Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
    """
    return used.dominant_share(capacity) / weight
