"""Whether clients should be sent to a host, and why not. No I/O."""

from dataclasses import dataclass

#: Seconds without the store after which a host asks for no new connections.
UNREADY_SECONDS = 1.5
#: Answers that a host is not ready after which the balancer leaves it out, the usual
#: seconds between two of its questions, and the most that count as such.
MISSES = 2
USUAL_PERIOD = 1.0
LONGEST_PERIOD = 5.0


@dataclass(frozen=True)
class ReadinessInputs:
    """What a host knows of itself; ``store_age`` is that of its newest read, in seconds."""

    stopping: bool
    configured: bool
    cut_off: bool
    store_takes_nothing: bool
    store_age: float


def find_unready_reason(condition: ReadinessInputs) -> str:
    """Return why clients should go elsewhere, empty where they should not."""
    if condition.stopping:
        return 'it is stopping'
    if not condition.configured:
        return 'it knows no configuration'
    if condition.cut_off:
        return 'it is cut off from the store and all other zones'
    if condition.store_takes_nothing:
        return 'the store takes nothing from it'
    if condition.store_age >= UNREADY_SECONDS:
        return 'it has not read the store for too long'
    return ''


class Rotation:
    """When the balancer sends no new connections to this host any more. No I/O.

    It asks about once a second, and leaves a host out after two answers that it is not
    ready.
    """

    def __init__(self) -> None:
        """Start in rotation, not yet asked."""
        self._asked_at = float('-inf')
        self._period = USUAL_PERIOD
        self._misses = 0

    def note_readiness_check(self, now: float, *, ready: bool) -> None:
        """Note that the balancer has asked, and what it was told."""
        since = now - self._asked_at
        if since < LONGEST_PERIOD:
            self._period = since
        self._asked_at = now
        self._misses = 0 if ready else self._misses + 1

    def seconds_left(self, now: float) -> float:
        """Return how long clients will still be sent here if it is not ready from now on."""
        if self._misses >= MISSES:
            return 0.0
        last = self._asked_at + (MISSES - self._misses) * self._period
        return max(0.0, last - now)
