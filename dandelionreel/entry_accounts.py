"""The status of client accounts that an entry host shows: usage, quota, share, jobs, refusals."""

from collections import Counter
from typing import Any

from dandelionreel.accounts import Account, weighted_share
from dandelionreel.cell.decisions import Cell
from dandelionreel.cell.model import Configuration, Demand
from dandelionreel.cell.store import CellState

#: Accounts that are shown by name, those with the largest weight first.
MAX_LISTED_ACCOUNTS = 100
#: Name under which the refusals of all other accounts are counted.
OTHER_ACCOUNTS = 'others'


class RefusalCounts:
    """Counts the refused requests of each account, for a bounded number of names."""

    def __init__(self) -> None:
        """Start without refusals."""
        self.count_by_account: Counter[str] = Counter()

    def add(self, account: str) -> None:
        """Count a refused request."""
        has_own_count = (
            account in self.count_by_account or len(self.count_by_account) < MAX_LISTED_ACCOUNTS
        )
        self.count_by_account[account if has_own_count else OTHER_ACCOUNTS] += 1


def make_accounts_view(
    cell: Cell | None,
    configuration: Configuration | None,
    cell_state: CellState,
    refusals: RefusalCounts,
) -> dict[str, Any]:
    """Return the status of accounts; only the owner has a ``cell`` and shows usage and jobs."""
    owner = cell_state.owner
    member = None if owner is None else cell_state.member_by_host.get(owner.host)
    return {
        'owns': cell is not None,
        'owner': '' if owner is None else owner.host,
        'owner_address': '' if member is None else member.address,
        'version': 0 if configuration is None else configuration.version,
        'accounts': [
            _make_account_view(account, cell, refusals) for account in list_accounts(configuration)
        ],
    }


def list_accounts(configuration: Configuration | None) -> list[Account[Demand]]:
    """Return the accounts that are shown, those with the largest weight first."""
    if configuration is None or configuration.accounts is None:
        return []
    accounts = configuration.accounts.account_by_name.values()
    return sorted(accounts, key=_weight_sort_key)[:MAX_LISTED_ACCOUNTS]


def _make_account_view(
    account: Account[Demand],
    cell: Cell | None,
    refusals: RefusalCounts,
) -> dict[str, Any]:
    row: dict[str, Any] = {
        'account': account.name,
        'weight': account.weight,
        'quota': 'none' if account.quota is None else _view_resource_amounts(account.quota),
        'refused': refusals.count_by_account[account.name],
    }
    if cell is None:
        return row
    used = cell.quotas.used(account.name)
    jobs = [job for job in cell.unfinished_job_by_id.values() if job.account == account.name]
    row['used'] = _view_resource_amounts(used)
    row['share'] = round(weighted_share(used, cell.capacity(), account.weight), 6)
    row['jobs'] = len(jobs)
    row['held'] = sum(bool(job.hold_reason) for job in jobs)
    return row


def _view_resource_amounts(amounts: Demand) -> dict[str, float]:
    return {'cores': amounts.cpu / 1000, 'memory_mb': amounts.memory_mb, 'gpu': amounts.gpu}


def _weight_sort_key(account: Account[Demand]) -> tuple[float, str]:
    return -account.weight, account.name
