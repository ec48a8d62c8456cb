"""Authenticates client calls by API key before any other work is done for them.

Load pattern: any number of calls with unknown keys. Each costs a digest and a lookup; together they
cause only one round of queries to peers at a time.
"""

import enum

from dandelionreel.accounts import Caller, read_key_digest
from dandelionreel.cell.membership import ConfigurationExchange
from dandelionreel.cell.model import Queue
from dandelionreel.cell.store import ConfigurationProjection
from dandelionreel.http import Request


class DenialReason(enum.Enum):
    """Why a call is not authenticated."""

    UNKNOWN_KEY = 'unknown key'
    #: This host's configuration may be outdated, and a newer one may decide otherwise.
    UNDECIDED = 'the key cannot be checked now'


class AccessControl:
    """Finds the client account of a call by the configuration in force."""

    def __init__(
        self,
        configuration: ConfigurationProjection,
        exchange: ConfigurationExchange,
        max_age: float | None,
    ) -> None:
        """Accept keys by a configuration that is at most ``max_age`` seconds old.

        With ``None`` any age is accepted, so that a zone that is cut off keeps serving.
        """
        self._configuration = configuration
        self._exchange = exchange
        self._max_age = max_age

    async def identify_caller(
        self,
        request: Request,
        queue: Queue,
        forwarded: Caller | None = None,
    ) -> Caller | DenialReason:
        """Return the caller of a request; ``forwarded`` is the caller that a forwarding peer found.

        The peer and this host may have different configurations; the newer one decides.
        """
        current = self._configuration.current
        version = self._configuration.version
        if forwarded is not None and forwarded.version >= version:
            self._exchange.record_peer_version(forwarded.version)
            return forwarded
        if current is None or current.accounts is None or queue.public:
            return Caller(version=version)
        digest = read_key_digest(request.headers) if forwarded is None else forwarded.key_digest
        if not digest:
            return DenialReason.UNKNOWN_KEY
        if self._max_age is not None and self._exchange.configuration_age() > self._max_age:
            return DenialReason.UNDECIDED
        known_caller = self._find_caller(digest)
        if known_caller is not None:
            return known_caller
        if not await self._exchange.confirm_newest():
            return self._find_caller(digest) or DenialReason.UNDECIDED
        return self._find_caller(digest) or DenialReason.UNKNOWN_KEY

    def _find_caller(self, digest: bytes) -> Caller | None:
        current = self._configuration.current
        if current is None or current.accounts is None:
            return None
        account = current.accounts.find_by_key(digest)
        return None if account is None else Caller(account.name, digest, current.version)
