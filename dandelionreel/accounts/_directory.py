"""Lookup of the client accounts of one configuration version by name and by key."""

from collections.abc import Iterable
from typing import Generic

from dandelionreel.accounts._account import Account
from dandelionreel.accounts._amounts import AmountsT


class AccountDirectory(Generic[AmountsT]):
    """Immutable index of accounts by name and by key.

    Of accounts with the same name or the same key, the first one is used: every host reads
    them in the same order, so all hosts decide alike.
    """

    def __init__(
        self,
        accounts: Iterable[Account[AmountsT]],
        previous: 'AccountDirectory[AmountsT] | None' = None,
    ) -> None:
        """Index accounts; objects shared with ``previous`` are not indexed again."""
        self.account_by_name: dict[str, Account[AmountsT]] = {}
        #: Descriptions of the errors in the given accounts.
        self.problems: list[str] = []
        for account in accounts:
            if account.name in self.account_by_name:
                self.problems.append(
                    f'account {account.name!r} is defined more than once; the first one is used'
                )
                continue
            self.account_by_name[account.name] = account
        #: Whether two accounts share a key: the index is then built from all accounts in order.
        self._has_shared_keys = False
        self._account_by_digest: dict[bytes, Account[AmountsT]] = {}
        if previous is None or previous._has_shared_keys or not self._update_index(previous):
            self._build_index()

    def find_by_key(self, key_digest: bytes) -> Account[AmountsT] | None:
        """Return the account with this key, if any."""
        return self._account_by_digest.get(key_digest)

    def _build_index(self) -> None:
        index: dict[bytes, Account[AmountsT]] = {}
        for account in self.account_by_name.values():
            for digest in account.key_digests:
                first = index.setdefault(digest, account)
                if first is not account:
                    self._has_shared_keys = True
                    self.problems.append(
                        f'account {account.name!r} has a key of {first.name!r}, which keeps it'
                    )
        self._account_by_digest = index

    def _update_index(self, previous: 'AccountDirectory[AmountsT]') -> bool:
        """Update a copy of the previous index; return ``False`` if two accounts share a key."""
        index = previous._account_by_digest.copy()
        for name, account in previous.account_by_name.items():
            if self.account_by_name.get(name) is not account:
                for digest in account.key_digests:
                    index.pop(digest)
        for name, account in self.account_by_name.items():
            if previous.account_by_name.get(name) is account:
                continue
            for digest in account.key_digests:
                if index.setdefault(digest, account) is not account:
                    return False
        self._account_by_digest = index
        return True
