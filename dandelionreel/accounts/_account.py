"""A client account of the configuration, and the account that a request was authenticated for."""

from dataclasses import dataclass, field
from typing import Generic

from dandelionreel.accounts._amounts import AmountsT


@dataclass(frozen=True)
class Account(Generic[AmountsT]):
    """One client account of a configuration.

    ``weight`` is its share of a full cell, and the number of jobs per second that it may
    expect to be served. ``quota`` limits what it may have running, ``None`` for no limit.
    """

    name: str
    weight: float = 1.0
    quota: AmountsT | None = None
    #: Digests of its API keys; the keys themselves are not stored.
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)


@dataclass(frozen=True)
class Caller:
    """The account of a request, as determined by the host that received it.

    ``version`` is the version of the configuration in which ``key_digest`` was looked up. A
    request without an account (a public queue, or no accounts configured) has an empty name.
    """

    account: str = ''
    key_digest: bytes = field(default=b'', repr=False)
    version: int = 0
