"""The plan file: what a process of stand-ins runs."""

import msgspec

from dandelionreel.backing import HostEntry


class RelayPlan(msgspec.Struct, frozen=True):
    """A relay in front of one target."""

    target: str
    address: str
    port: int
    to_address: str
    to_port: int


class Plan(msgspec.Struct, frozen=True):
    """Ports, hosts and relays; the process ends by itself after ``seconds``."""

    address: str
    log_port: int
    hosts_port: int
    control_port: int
    hosts: tuple[HostEntry, ...] = ()
    relays: tuple[RelayPlan, ...] = ()
    name_by_address: dict[str, str] = {}
    seconds: float = 3600
