"""The daemon's settings, read from one JSON file and validated."""

import ipaddress
from typing import Annotated, Literal

from msgspec import Meta, Struct

from dandelionreel.kernel._json import JsonError, decode_json

Port = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, Meta(ge=1024, le=268_435_456)]

MEGABYTE = 1_048_576


class Endpoint(Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a port."""

    address: str
    port: Port


class StaticCapacity(Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity of a worker of the static host list: cores, megabytes, devices."""

    processors: float = 0
    memory_mb: float = 0
    accelerators: float = 0


class StaticHost(Struct, frozen=True, forbid_unknown_fields=True):
    """A host of the static host list, which replaces the platform's host list."""

    name: Name
    kind: Literal['entry', 'worker', 'endpoint']
    availability_zone: Name
    address: str
    port: Port
    rack: str = ''
    capacity: StaticCapacity = StaticCapacity()
    service: str = ''
    slots: int = 0
    connections: int = 0


class Platform(Struct, frozen=True, forbid_unknown_fields=True):
    """The plug-ins that access the platform, and the platform's addresses."""

    log_plugin: str = 'http'
    hosts_plugin: str = 'http'
    workers_plugin: str = 'http'
    log: Endpoint | None = None
    hosts: Endpoint | None = None
    static_hosts: tuple[StaticHost, ...] = ()


class Timings(Struct, frozen=True, forbid_unknown_fields=True):
    """Durations in seconds; docs/DESIGN.md explains how they depend on each other."""

    authority: Seconds = 3
    heartbeat: Seconds = 1
    far_heartbeat: Seconds = 8
    silent_after: Seconds = 2.5
    start_deadline: Seconds = 1
    socket_timeout: Seconds = 1
    clock_drift: Share = 0.01
    log_wait: Seconds = 1
    log_timeout: Seconds = 3
    hosts_poll: Seconds = 2
    lease: Seconds = 30
    contract_deadline: Seconds = 12
    publish_patience: Seconds = 30
    longest_run: Seconds = 20
    drain_balancer_lag: Seconds = 2
    drain_limit: Seconds = 30
    retention: Annotated[float, Meta(ge=6, le=31_536_000)] = 86_400


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on sizes, counts and rates of one daemon; ``memory_mb`` is what it may use."""

    body_bytes: Bytes = MEGABYTE
    answer_bytes: Bytes = 8 * MEGABYTE
    header_bytes: Bytes = 16_384
    header_seconds: Seconds = 5
    connections: Count = 512
    memory_mb: Annotated[int, Meta(ge=64, le=1_048_576)] = 256
    queue_length: Count = 2000
    known_jobs: Count = 5000
    known_keys: Count = 100_000
    moves_per_second: Count = 4
    group_records: Count = 256
    stops_per_second: Count = 200
    urgent_headroom: Share = 0.25


class Logs(Struct, frozen=True, forbid_unknown_fields=True):
    """Sampling and filtering of the log."""

    sample_every: Count = 1
    quiet_parts: tuple[str, ...] = ()


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a daemon.

    ``availability_zones`` lists the zones of the whole cell and must be the same
    for every daemon, since a job's idempotency key selects one of them. Peers
    connect to ``peers_advertised`` if it is set, else to ``peers``. Outgoing
    connections are bound to ``source_address``.
    """

    host: Name
    availability_zone: Name
    callers: Endpoint
    admin: Endpoint
    peers: Endpoint
    platform: Platform
    availability_zones: tuple[Name, ...] = ()
    region: Name = 'home'
    routing_plugin: str = 'two_choices'
    peers_advertised: Endpoint | None = None
    source_address: str = ''
    timings: Timings = Timings()
    limits: Limits = Limits()
    logs: Logs = Logs()


def zones_of(settings: Settings) -> tuple[str, ...]:
    """Return the sorted zones of the cell."""
    return tuple(sorted(settings.availability_zones or (settings.availability_zone,)))


class SettingsError(ValueError):
    """Invalid settings; the message gives the field, its value and what is allowed."""


def load_settings(text: bytes) -> Settings:
    """Decode and validate settings; raises ``SettingsError``."""
    try:
        settings = decode_json(text, Settings)
    except JsonError as error:
        raise SettingsError(str(error)) from error
    _check_addresses(settings)
    _check_timings(settings.timings)
    _check_platform(settings.platform)
    _check_zones(settings)
    return settings


def _check_addresses(settings: Settings) -> None:
    named_endpoints = (
        ('callers', settings.callers),
        ('admin', settings.admin),
        ('peers', settings.peers),
        ('peers_advertised', settings.peers_advertised),
        ('platform.log', settings.platform.log),
        ('platform.hosts', settings.platform.hosts),
    )
    for field, endpoint in named_endpoints:
        if endpoint is None:
            continue
        try:
            ipaddress.ip_address(endpoint.address)
        except ValueError as error:
            raise SettingsError(
                f'{field}.address: {endpoint.address!r} is not an IP address',
            ) from error


def _check_timings(timings: Timings) -> None:
    # A start must have succeeded or failed before a new owner may use the same worker.
    if timings.socket_timeout > timings.start_deadline:
        raise SettingsError(
            f'timings.socket_timeout: {timings.socket_timeout} is above '
            f'start_deadline ({timings.start_deadline}); it must be at most that',
        )
    # Authority must span two heartbeats, so that one lost message does not end it.
    if timings.heartbeat * 2 > timings.authority:
        raise SettingsError(
            f'timings.heartbeat: {timings.heartbeat} is above half of '
            f'authority ({timings.authority}); it must be at most half',
        )
    if timings.log_wait * 2 > timings.authority:
        raise SettingsError(
            f'timings.log_wait: {timings.log_wait} is above half of '
            f'authority ({timings.authority}); it must be at most half',
        )


def _check_zones(settings: Settings) -> None:
    zones = settings.availability_zones
    if zones and settings.availability_zone not in zones:
        raise SettingsError(
            f"availability_zones: {list(zones)} does not contain this daemon's "
            f'own zone {settings.availability_zone!r}',
        )


def _check_platform(platform: Platform) -> None:
    for kind, endpoint in (('log', platform.log), ('hosts', platform.hosts)):
        plugin = getattr(platform, f'{kind}_plugin')
        if plugin == 'http' and endpoint is None:
            raise SettingsError(
                f'platform.{kind}: missing; the http plug-in needs an address and a port',
            )
