"""What an entry host shows of client accounts: use, quota, share, what waits, refusals."""

from collections import Counter
from typing import Any

from dandelionreel.accounts import Account, weighted_share
from dandelionreel.cell.decisions import Cell
from dandelionreel.cell.model import Configuration, Demand
from dandelionreel.cell.store import JobBook

#: Accounts that are shown by name, those with the largest weight first.
MOST_ACCOUNTS = 100
#: Stands for all other accounts.
OTHERS = 'others'


class RefusalCounts:
    """How many calls of each account this host has refused; bounded in its names."""

    def __init__(self) -> None:
        """Start with none."""
        self.count_by_account: Counter[str] = Counter()

    def note(self, account: str) -> None:
        """Count a call that was refused."""
        known = account in self.count_by_account or len(self.count_by_account) < MOST_ACCOUNTS
        self.count_by_account[account if known else OTHERS] += 1


def view_accounts(
    cell: Cell | None,
    configuration: Configuration | None,
    book: JobBook,
    refusals: RefusalCounts,
) -> dict[str, Any]:
    """Return what is shown; only the owner, with its ``cell``, knows use and what waits."""
    owner = book.owner
    member = None if owner is None else book.member_by_host.get(owner.host)
    return {
        'owns': cell is not None,
        'owner': '' if owner is None else owner.host,
        'owner_address': '' if member is None else member.address,
        'version': 0 if configuration is None else configuration.version,
        'accounts': [
            _view_account(account, cell, refusals) for account in list_accounts(configuration)
        ],
    }


def list_accounts(configuration: Configuration | None) -> list[Account[Demand]]:
    """Return the accounts that are shown, those with the largest weight first."""
    if configuration is None or configuration.accounts is None:
        return []
    known = configuration.accounts.account_by_name.values()
    return sorted(known, key=_by_weight)[:MOST_ACCOUNTS]


def _view_account(
    account: Account[Demand],
    cell: Cell | None,
    refusals: RefusalCounts,
) -> dict[str, Any]:
    row: dict[str, Any] = {
        'account': account.name,
        'weight': account.weight,
        'quota': 'none' if account.quota is None else _view_amounts(account.quota),
        'refused': refusals.count_by_account[account.name],
    }
    if cell is None:
        return row
    used = cell.quotas.used(account.name)
    jobs = [job for job in cell.unfinished_job_by_id.values() if job.account == account.name]
    row['used'] = _view_amounts(used)
    row['share'] = round(weighted_share(used, cell.capacity(), account.weight), 6)
    row['jobs'] = len(jobs)
    row['held'] = sum(bool(job.hold_reason) for job in jobs)
    return row


def _view_amounts(amounts: Demand) -> dict[str, float]:
    return {'cores': amounts.cpu / 1000, 'memory_mb': amounts.memory_mb, 'gpu': amounts.gpu}


def _by_weight(account: Account[Demand]) -> tuple[float, str]:
    return -account.weight, account.name
