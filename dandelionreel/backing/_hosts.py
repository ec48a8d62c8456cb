"""The platform's host list.

The list lags behind reality: a listed host is not proven to be alive.
"""

import abc

import msgspec

from dandelionreel.backing._resources import NO_RESOURCES, Resources
from dandelionreel.http import Channel, ExchangeError, Request
from dandelionreel.kernel import Endpoint, PluginKind, StaticHost, plugins

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class HostEntry(msgspec.Struct, frozen=True):
    """One host; ``kind`` is entry, worker or endpoint, ``state`` is live or leaving."""

    name: str
    kind: str
    availability_zone: str
    address: str
    port: int
    state: str = 'live'
    rack: str = ''
    capacity: Resources = NO_RESOURCES
    service: str = ''
    slots: int = 0
    connections: int = 0

    @property
    def is_live(self) -> bool:
        """Return whether the platform has not announced the removal of this host."""
        return self.state == 'live'


class HostsResult(msgspec.Struct, frozen=True):
    """Response body of the host list."""

    hosts: tuple[HostEntry, ...]


class HostListError(Exception):
    """The host list could not be read."""


class HostList(abc.ABC):
    """Interface to the list of live and leaving hosts."""

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
        self._last_hosts = msgspec.json.decode(response.body, type=HostsResult).hosts
        self._etag = response.header('etag')
        return self._last_hosts

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()


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
