"""Client accounts: who may send work, how much of it may run, and how it is shared out."""

from dataclasses import dataclass, field
from typing import Generic

from dandelionreel.accounts._amounts import AmountsT


@dataclass(frozen=True)
class Account(Generic[AmountsT]):
    """One client account of a configuration.

    ``weight`` is its share when all is full, and how many jobs a second it may expect
    to be served. ``quota`` is what it may have running, ``None`` for no limit.
    """

    name: str
    weight: float = 1.0
    quota: AmountsT | None = None
    #: Digests of its API keys; the keys themselves are not kept.
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)


@dataclass(frozen=True)
class Caller:
    """Whose call a request is, as the host that took it has found.

    ``version`` is that of the configuration by which ``key_digest`` was looked up. A call
    without an account (a public queue, or no accounts configured) has an empty name.
    """

    account: str = ''
    key_digest: bytes = field(default=b'', repr=False)
    version: int = 0
