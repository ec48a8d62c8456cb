"""Decodes the platform's settings file into the settings of a host."""

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'DANDELIONREEL_NODE_FILE'
DEFAULT_PATH = '/etc/dandelionreel/node.toml'


class SettingsError(ValueError):
    """The settings file is invalid; the message names the field."""


@dataclass(frozen=True)
class Address:
    """A host name or IPv4 address, and a port."""

    host: str
    port: int


class _ListenSection(msgspec.Struct, frozen=True):
    frontend: str
    readiness: str


class _PlatformSection(msgspec.Struct, frozen=True):
    address: str


class _BoundsSection(msgspec.Struct, frozen=True):
    grace_s: float = 6
    max_hold_ms: float = 10_000
    gang_timeout_ms: float = 3000
    status_s: float = 120
    revoke_strict: bool = False
    revoke_ms: float = 5000
    config_apply_ms: float = 2000


class _LimitsSection(msgspec.Struct, frozen=True):
    cpu_share: float = 1
    cores: float = 1
    max_fds: int = 4096
    memory_mb: int = 256


#: The rules in force where demand may exceed the capacity of the cell for seconds.
OVERLOAD_RULES = 'pressure'


class _SettingsFile(msgspec.Struct, frozen=True):
    node: str
    ip: str
    zone: str
    listen: _ListenSection
    platform: _PlatformSection
    port_range: tuple[int, int]
    advice: str = ''
    seeds: tuple[str, ...] = ()
    bounds: _BoundsSection = msgspec.field(default_factory=_BoundsSection)
    limits: _LimitsSection = msgspec.field(default_factory=_LimitsSection)
    contracts: tuple[str, ...] = ()


@dataclass(frozen=True)
class HostSettings:
    """Settings of one host; durations are in seconds.

    ``peers`` is the address on which the host listens for its peers, on the first port of the
    range. ``stop_grace`` is how long a planned stop may take. Runners shorten leases to
    ``max_lease``. ``max_key_age`` is the maximum age of the configuration against which API keys
    are checked, ``None`` for any age. ``configuration_deadline`` is the maximum time from the
    acknowledgement of a configuration until it is in force. ``seeds`` are possibly outdated
    addresses of peers, used by a host that has not yet read about any peer. ``status_retention`` is
    how long the state of a finished job must be kept. ``cores`` is the processor time of the host,
    in cores of standard speed. ``memory_bytes`` is what the process may use. ``overload_control``
    says whether demand may exceed the capacity of the cell for seconds, so that work is shared out
    and refused by decisions of their own.
    """

    host: str
    zone: str
    clients: Address
    readiness: Address
    peers: Address
    seeds: tuple[Address, ...]
    metrics: Address
    store: Address
    advice: Address | None
    stop_grace: float
    max_lease: float
    gang_timeout: float
    status_retention: float
    max_key_age: float | None
    configuration_deadline: float
    max_connections: int
    memory_bytes: int
    cores: float
    overload_control: bool = False


#: File descriptors reserved for files, the store, runners and peers.
RESERVED_DESCRIPTORS = 1200
MIN_CONNECTIONS = 256
#: Fraction of the memory that connections may take, and what one takes at most beside its body:
#: its task, a head, what was read beyond the request and what waits unread.
CONNECTIONS_FRACTION = 0.4
CONNECTION_BYTES = 65_536
MILLISECONDS_PER_SECOND = 1000
MEGABYTE = 1_048_576
#: A name or an IPv4 address.
HOST_PATTERN = re.compile('[0-9A-Za-z._-]{1,253}')
PORT_PATTERN = re.compile('[0-9]{1,5}')
MAX_PORT = 65_535


def parse_address(text: str) -> Address:
    """Return ``host:port`` as an address; raises ``SettingsError``.

    The patterns are strict because ``str.isdigit`` accepts non-ASCII digits, and because
    connecting to an overlong name or an invalid port raises something other than ``OSError``.
    """
    host, _, port = text.rpartition(':')
    if not HOST_PATTERN.fullmatch(host) or not PORT_PATTERN.fullmatch(port):
        raise SettingsError(f'{text!r} is not an address; write it as host:port')
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise SettingsError(f'{text!r} has no port from 1 to {MAX_PORT}')
    return Address(host, number)


def load_host_settings(path: Path) -> HostSettings:
    """Read and check the file; raises ``SettingsError`` or ``OSError``."""
    try:
        raw = tomllib.loads(path.read_text(encoding='utf-8'))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f'not a TOML file: {error}') from error
    return decode_host_settings(raw)


def decode_host_settings(raw: dict[str, Any]) -> HostSettings:
    """Validate the decoded TOML; unknown fields are ignored. Raises ``SettingsError``."""
    try:
        decoded = msgspec.convert(raw, _SettingsFile, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{error}') from error
    bounds = decoded.bounds
    first_port, last_port = decoded.port_range
    if last_port <= first_port:
        raise SettingsError('port_range must have at least two ports')
    return HostSettings(
        host=decoded.node,
        zone=decoded.zone,
        clients=parse_address(decoded.listen.frontend),
        readiness=parse_address(decoded.listen.readiness),
        peers=Address(decoded.ip, first_port),
        # A seed is given with a port that is not for peers; the port for peers is the same
        # on all hosts.
        seeds=tuple(Address(parse_address(seed).host, first_port) for seed in decoded.seeds),
        metrics=Address(decoded.ip, first_port + 1),
        store=parse_address(decoded.platform.address),
        advice=parse_address(decoded.advice) if decoded.advice else None,
        stop_grace=bounds.grace_s,
        max_lease=bounds.max_hold_ms / MILLISECONDS_PER_SECOND,
        gang_timeout=bounds.gang_timeout_ms / MILLISECONDS_PER_SECOND,
        status_retention=bounds.status_s,
        max_key_age=bounds.revoke_ms / MILLISECONDS_PER_SECOND if bounds.revoke_strict else None,
        configuration_deadline=bounds.config_apply_ms / MILLISECONDS_PER_SECOND,
        # The share of one core, times the speed of that core relative to a standard one.
        cores=decoded.limits.cpu_share * decoded.limits.cores,
        max_connections=_limit_connections(decoded.limits),
        memory_bytes=decoded.limits.memory_mb * MEGABYTE,
        overload_control=OVERLOAD_RULES in decoded.contracts,
    )


def _limit_connections(limits: _LimitsSection) -> int:
    by_memory = int(limits.memory_mb * MEGABYTE * CONNECTIONS_FRACTION / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, min(limits.max_fds - RESERVED_DESCRIPTORS, by_memory))
