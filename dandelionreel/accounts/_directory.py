"""All client accounts of one version of the configuration, by name and by key."""

from collections.abc import Iterable
from typing import Generic

from dandelionreel.accounts._account import Account
from dandelionreel.accounts._amounts import AmountsT


class AccountDirectory(Generic[AmountsT]):
    """Finds accounts; never changed once it is made.

    Of accounts with the same name, and of those with the same key, the first one counts:
    every host reads the same order, so all of them decide alike.
    """

    def __init__(
        self,
        accounts: Iterable[Account[AmountsT]],
        previous: 'AccountDirectory[AmountsT] | None' = None,
    ) -> None:
        """Index accounts; those that are the same objects as in ``former`` cost nothing."""
        self.account_by_name: dict[str, Account[AmountsT]] = {}
        #: What is wrong with the accounts as they were given, in words.
        self.problems: list[str] = []
        for account in accounts:
            if account.name in self.account_by_name:
                self.problems.append(f'account {account.name!r} is given twice, the first counts')
                continue
            self.account_by_name[account.name] = account
        #: Whether some key is that of two accounts, which needs all of them in order.
        self._has_shared_keys = False
        self._account_by_digest: dict[bytes, Account[AmountsT]] = {}
        if previous is None or previous._has_shared_keys or not self._update_index(previous):
            self._build_index()

    def find(self, key_digest: bytes) -> Account[AmountsT] | None:
        """Return the account with that key."""
        return self._account_by_digest.get(key_digest)

    def _build_index(self) -> None:
        index: dict[bytes, Account[AmountsT]] = {}
        for account in self.account_by_name.values():
            for digest in account.key_digests:
                first = index.setdefault(digest, account)
                if first is not account:
                    self._has_shared_keys = True
                    self.problems.append(
                        f'a key of account {account.name!r} is one of {first.name!r}, who keeps it'
                    )
        self._account_by_digest = index

    def _update_index(self, previous: 'AccountDirectory[AmountsT]') -> bool:
        """Take over the former index with what has changed; return whether no key is shared."""
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
