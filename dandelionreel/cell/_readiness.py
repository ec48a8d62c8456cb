"""Whether clients should be sent to a host, and why not. No I/O."""

from dataclasses import dataclass

#: Seconds without the store after which a host asks for no new connections.
UNREADY_SECONDS = 1.5


@dataclass(frozen=True)
class Condition:
    """What a host knows of itself; ``store_age`` is that of its newest read, in seconds."""

    stopping: bool
    configured: bool
    store_takes_nothing: bool
    store_age: float


def find_hindrance(condition: Condition) -> str:
    """Return why clients should go elsewhere, empty where they should not."""
    if condition.stopping:
        return 'it is stopping'
    if not condition.configured:
        return 'it knows no configuration'
    if condition.store_takes_nothing:
        return 'the store takes nothing from it'
    if condition.store_age >= UNREADY_SECONDS:
        return 'it has not read the store for too long'
    return ''
