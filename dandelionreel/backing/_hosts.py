"""The platform's host list.

The list lags behind reality: a listed host is not proven to be alive.
"""

import abc
from collections.abc import Sequence
from ipaddress import IPv4Address
from typing import Annotated

import msgspec

from dandelionreel.backing._resources import NO_RESOURCES, Resources
from dandelionreel.backing._rows import find_member, split_parts
from dandelionreel.http import Channel, ExchangeError, Request
from dandelionreel.kernel import Endpoint, PluginKind, StaticHost, plugins

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
MAX_PORT = 65_535
#: More slots or connections than any host has, and more of any resource.
MAX_COUNT = 1_000_000
MAX_AMOUNT = 1e9

Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class HostEntry(msgspec.Struct, frozen=True):
    """One host; ``kind`` is entry, worker or endpoint, ``state`` is live or leaving."""

    name: str
    kind: str
    availability_zone: str
    address: str
    port: Port
    state: str = 'live'
    rack: str = ''
    capacity: Resources = NO_RESOURCES
    service: str = ''
    slots: Count = 0
    connections: Count = 0

    @property
    def is_live(self) -> bool:
        """Return whether the platform has not announced the removal of this host."""
        return self.state == 'live'


class HostsResult(msgspec.Struct, frozen=True):
    """Response body of the host list."""

    hosts: tuple[HostEntry, ...]


class _HostRows(msgspec.Struct):
    hosts: tuple[msgspec.Raw, ...]


_HOST_DECODER = msgspec.json.Decoder(HostEntry)
_ROWS_DECODER = msgspec.json.Decoder(_HostRows)


class HostListError(Exception):
    """The host list could not be read."""


class HostList(abc.ABC):
    """Interface to the list of live and leaving hosts."""

    #: Why entries of the last list cannot be used, by the host's name or the entry's position.
    problem_by_entry: dict[str, str] = {}

    @abc.abstractmethod
    async def fetch_hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts; raises ``HostListError``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@plugins.register(PluginKind.HOSTS, 'http')
class HttpHostList(HostList):
    """The host list over HTTP.

    Requests the entry hosts of all zones and the other hosts of one zone only, and
    receives the list only if it has changed (``If-None-Match``). With 1,300 workers, the
    whole list every two seconds would be most of a daemon's control traffic.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        timeout: float,
        hosts: tuple[StaticHost, ...] = (),
        availability_zone: str = '',
    ) -> None:
        """Read the list at ``endpoint`` for a daemon in ``availability_zone``."""
        self._channel = Channel(endpoint.address, endpoint.port, 'hosts')
        self._timeout = timeout
        self._target = f'/v1/hosts?availability_zone={availability_zone}'
        self._etag = ''
        self._last_hosts: tuple[HostEntry, ...] = ()

    async def fetch_hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts; raises ``HostListError``."""
        headers = (('if-none-match', self._etag),) if self._etag else ()
        request = Request('GET', self._target, headers)
        try:
            response = await self._channel.exchange(request, self._timeout)
        except ExchangeError as error:
            raise HostListError(f'{error}') from error
        if response.status == HTTP_NOT_MODIFIED:
            return self._last_hosts
        if response.status != HTTP_OK:
            raise HostListError(f'the host list service returned status {response.status}')
        self._decode_hosts(response.body)
        self._etag = response.header('etag')
        return self._last_hosts

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()

    def _decode_hosts(self, body: bytes) -> None:
        """Decode the list; a host whose entry cannot be used keeps its last known one.

        A host that is missing from the list counts as removed, and its tasks start elsewhere.
        """
        known_by_name = {entry.name: entry for entry in self._last_hosts}
        hosts = []
        problem_by_entry = {}
        for position, row in enumerate(_split_hosts(body)):
            try:
                hosts.append(decode_host(row))
            except (ValueError, RecursionError) as error:
                name = _find_name(row)
                problem_by_entry[name or f'#{position}'] = f'{error}'
                known = known_by_name.get(name)
                if known is not None:
                    hosts.append(known)
        self._last_hosts = tuple(hosts)
        self.problem_by_entry = problem_by_entry


def decode_host(row: bytes) -> HostEntry:
    """Decode one entry; raises ``ValueError`` or ``RecursionError``."""
    entry = _HOST_DECODER.decode(row)
    # A name would be looked up, which blocks the process.
    IPv4Address(entry.address)
    if not entry.name:
        raise ValueError('the name is empty')
    amounts = (entry.capacity.processors, entry.capacity.memory_mb, entry.capacity.accelerators)
    if not all(0 <= amount <= MAX_AMOUNT for amount in amounts):
        raise ValueError('the capacity is out of range')
    return entry


def _split_hosts(body: bytes) -> Sequence[bytes]:
    try:
        return [bytes(row) for row in _ROWS_DECODER.decode(body).hosts]
    except (ValueError, RecursionError):
        pass
    try:
        return split_parts(find_member(body, 'hosts'))
    except ValueError as error:
        raise HostListError(f'the host list cannot be read: {error}') from error


def _find_name(row: bytes) -> str:
    """Return the name in an entry that cannot be used, empty without one."""
    try:
        return msgspec.json.decode(find_member(row, 'name'), type=str)
    except ValueError:
        return ''


@plugins.register(PluginKind.HOSTS, 'static')
class StaticHostList(HostList):
    """The fixed host list of the settings, for a single daemon."""

    def __init__(
        self,
        endpoint: Endpoint | None,
        timeout: float,
        hosts: tuple[StaticHost, ...] = (),
        availability_zone: str = '',
    ) -> None:
        """Use ``hosts``; the other parameters are unused."""
        encoded = msgspec.to_builtins(hosts)
        self._hosts = msgspec.convert(encoded, tuple[HostEntry, ...])

    async def fetch_hosts(self) -> tuple[HostEntry, ...]:
        """Return the fixed list."""
        return self._hosts

    async def close(self) -> None:
        """Do nothing, as there is no connection."""
