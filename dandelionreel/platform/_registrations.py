"""What runners write about themselves in the store."""

import msgspec

from dandelionreel.cell import Demand, Registration
from dandelionreel.platform._settings import parse_address

MILLISECONDS = 1000


class _Capacity(msgspec.Struct, frozen=True):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Entry(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str = 'ready'
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: tuple[str, ...] = ()
    remaining_ms: float | None = None


_DECODER = msgspec.json.Decoder(_Entry)


def decode_registration(runner: str, content: bytes) -> Registration:
    """Return the runner's registration; raises ``ValueError``."""
    entry = _DECODER.decode(content)
    address = parse_address(entry.address)
    remaining = entry.remaining_ms
    return Registration(
        runner=runner,
        service=entry.service,
        address=address.host,
        port=address.port,
        zone=entry.zone,
        capacity=Demand(entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu),
        labels=entry.labels,
        draining=entry.state != 'ready',
        remaining=None if remaining is None else remaining / MILLISECONDS,
    )
