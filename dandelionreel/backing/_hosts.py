"""The platform's list of hosts. It lags; it is a hint, never a proof of life."""

import abc

import msgspec

from dandelionreel.backing._resources import NOTHING, Resources
from dandelionreel.http import Channel, ExchangeError, Request
from dandelionreel.kernel import Endpoint, PluginKind, StaticHost, plugins

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class HostEntry(msgspec.Struct, frozen=True):
    """One host. ``kind`` is entry, worker or endpoint; ``state`` live or leaving."""

    name: str
    kind: str
    availability_zone: str
    address: str
    port: int
    state: str = 'live'
    rack: str = ''
    capacity: Resources = NOTHING
    service: str = ''
    slots: int = 0
    connections: int = 0

    @property
    def is_live(self) -> bool:
        """Return whether the platform has not announced that it leaves."""
        return self.state == 'live'


class HostsResult(msgspec.Struct, frozen=True):
    """Answer of the host list."""

    hosts: tuple[HostEntry, ...]


class HostListError(Exception):
    """The list could not be read."""


class HostList(abc.ABC):
    """Reads the list of live and leaving hosts."""

    @abc.abstractmethod
    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return all hosts; raises ``HostListError``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Give up connections."""


@plugins.register(PluginKind.HOSTS, 'http')
class HttpHostList(HostList):
    """The host list over HTTP.

    Asks for the zone's own hosts and all entry hosts, and by ``If-None-Match``
    only for news: at 1,300 workers the whole list, every two seconds, would be
    most of a daemon's control cost.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        timeout: float,
        hosts: tuple[StaticHost, ...] = (),
        availability_zone: str = '',
    ) -> None:
        """Reach the list at ``endpoint``, as a daemon of ``availability_zone``."""
        self._channel = Channel(endpoint.address, endpoint.port, 'hosts')
        self._timeout = timeout
        self._target = f'/v1/hosts?availability_zone={availability_zone}'
        self._etag = ''
        self._last_hosts: tuple[HostEntry, ...] = ()

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return all hosts; raises ``HostListError``."""
        headers = (('if-none-match', self._etag),) if self._etag else ()
        request = Request('GET', self._target, headers)
        try:
            answer = await self._channel.exchange(request, self._timeout)
        except ExchangeError as error:
            raise HostListError(f'{error}') from error
        if answer.status == HTTP_NOT_MODIFIED:
            return self._last_hosts
        if answer.status != HTTP_OK:
            raise HostListError(f'the host list answered {answer.status}')
        self._last_hosts = msgspec.json.decode(answer.body, type=HostsResult).hosts
        self._etag = answer.header('etag')
        return self._last_hosts

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()


@plugins.register(PluginKind.HOSTS, 'static')
class StaticHostList(HostList):
    """The hosts that the settings name, for one daemon alone."""

    def __init__(
        self,
        endpoint: Endpoint | None,
        timeout: float,
        hosts: tuple[StaticHost, ...] = (),
        availability_zone: str = '',
    ) -> None:
        """Take the entries as the settings hold them."""
        encoded = msgspec.to_builtins(hosts)
        self._hosts = msgspec.convert(encoded, tuple[HostEntry, ...])

    async def fetch(self) -> tuple[HostEntry, ...]:
        """Return the fixed list."""
        return self._hosts

    async def close(self) -> None:
        """Do nothing: there is no connection."""
