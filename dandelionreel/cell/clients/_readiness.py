"""Whether clients should be sent to a host, and why not. No I/O."""

from dataclasses import dataclass

#: Seconds without the store after which a host asks for no new connections.
MAX_STORE_AGE_SECONDS = 1.5
#: Answers that a host is not ready after which the balancer leaves it out, the usual
#: seconds between two of its questions, and the most that count as such.
FAILED_CHECKS_BEFORE_REMOVAL = 2
DEFAULT_PERIOD_SECONDS = 1.0
MAX_PERIOD_SECONDS = 5.0


@dataclass(frozen=True)
class ReadinessInputs:
    """What a host knows of itself; ``store_age`` is that of its newest read, in seconds."""

    stopping: bool
    configured: bool
    cut_off: bool
    store_takes_nothing: bool
    store_age: float


def find_unready_reason(inputs: ReadinessInputs) -> str:
    """Return why clients should go elsewhere, empty where they should not."""
    if inputs.stopping:
        return 'it is stopping'
    if not inputs.configured:
        return 'it knows no configuration'
    if inputs.cut_off:
        return 'it is cut off from the store and all other zones'
    if inputs.store_takes_nothing:
        return 'the store takes nothing from it'
    if inputs.store_age >= MAX_STORE_AGE_SECONDS:
        return 'it has not read the store for too long'
    return ''


class Rotation:
    """When the balancer sends no new connections to this host any more. No I/O.

    It asks about once a second, and leaves a host out after two answers that it is not
    ready.
    """

    def __init__(self) -> None:
        """Start in rotation, not yet asked."""
        self._checked_at = float('-inf')
        self._period = DEFAULT_PERIOD_SECONDS
        self._failed_checks = 0

    def note_readiness_check(self, now: float, *, ready: bool) -> None:
        """Note that the balancer has asked, and what it was told."""
        elapsed = now - self._checked_at
        if elapsed < MAX_PERIOD_SECONDS:
            self._period = elapsed
        self._checked_at = now
        self._failed_checks = 0 if ready else self._failed_checks + 1

    def seconds_left(self, now: float) -> float:
        """Return how long clients will still be sent here if it is not ready from now on."""
        if self._failed_checks >= FAILED_CHECKS_BEFORE_REMOVAL:
            return 0.0
        removed_at = (
            self._checked_at + (FAILED_CHECKS_BEFORE_REMOVAL - self._failed_checks) * self._period
        )
        return max(0.0, removed_at - now)
