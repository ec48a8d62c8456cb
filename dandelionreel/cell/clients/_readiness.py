"""Whether a host is ready for clients, and if not, why. No I/O."""

from dataclasses import dataclass

#: Age in seconds of the latest read of the store above which a host is not ready.
MAX_STORE_AGE_SECONDS = 1.5
#: Consecutive "not ready" answers after which the load balancer removes a host, the usual seconds
#: between two of its checks, and the longest interval that counts as one.
FAILED_CHECKS_BEFORE_REMOVAL = 2
DEFAULT_PERIOD_SECONDS = 1.0
MAX_PERIOD_SECONDS = 5.0


@dataclass(frozen=True)
class ReadinessInputs:
    """The state of a host that decides its readiness.

    ``store_age`` is the age in seconds of its latest read of the store.
    """

    stopping: bool
    configured: bool
    cut_off: bool
    store_is_failing: bool
    store_age: float


def find_unready_reason(inputs: ReadinessInputs) -> str:
    """Return why the host is not ready for clients; empty if it is ready."""
    if inputs.stopping:
        return 'it is stopping'
    if not inputs.configured:
        return 'it has read no configuration yet'
    if inputs.cut_off:
        return 'it is cut off from the store and all other zones'
    if inputs.store_is_failing:
        return 'its appends to the store fail'
    if inputs.store_age >= MAX_STORE_AGE_SECONDS:
        return 'it has not read the store for too long'
    return ''


class LoadBalancerRotation:
    """Estimates when the load balancer stops sending new connections to this host. No I/O.

    The load balancer checks about once a second, and removes a host after two answers that it is
    not ready.
    """

    def __init__(self) -> None:
        """Start in rotation, without a check so far."""
        self._checked_at = float('-inf')
        self._check_interval = DEFAULT_PERIOD_SECONDS
        self._failed_checks = 0

    def record_readiness_check(self, now: float, *, ready: bool) -> None:
        """Record a readiness check of the load balancer and its answer."""
        elapsed = now - self._checked_at
        if elapsed < MAX_PERIOD_SECONDS:
            self._check_interval = elapsed
        self._checked_at = now
        self._failed_checks = 0 if ready else self._failed_checks + 1

    def seconds_until_removal(self, now: float) -> float:
        """Return for how long clients are still sent here if the host is not ready from now on."""
        if self._failed_checks >= FAILED_CHECKS_BEFORE_REMOVAL:
            return 0.0
        removed_at = (
            self._checked_at
            + (FAILED_CHECKS_BEFORE_REMOVAL - self._failed_checks) * self._check_interval
        )
        return max(0.0, removed_at - now)
