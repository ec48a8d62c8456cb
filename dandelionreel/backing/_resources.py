"""Resource amounts: demands of tasks and capacities of workers."""

from msgspec import Struct

#: Tolerance for rounding errors when fractions of processors are summed.
EPSILON = 1e-6


class Resources(Struct, frozen=True, forbid_unknown_fields=True):
    """Processors (cores), memory (megabytes) and accelerators (devices)."""

    processors: float = 0
    memory_mb: float = 0
    accelerators: float = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Return the sum, dimension by dimension."""
        return Resources(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Return the difference, dimension by dimension."""
        return Resources(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, factor: float) -> 'Resources':
        """Return each dimension times ``factor``."""
        return Resources(
            self.processors * factor,
            self.memory_mb * factor,
            self.accelerators * factor,
        )

    def fits(self, capacity: 'Resources') -> bool:
        """Return whether no dimension exceeds ``capacity``."""
        return (
            self.processors <= capacity.processors + EPSILON
            and self.memory_mb <= capacity.memory_mb + EPSILON
            and self.accelerators <= capacity.accelerators + EPSILON
        )

    def at_most(self, other: 'Resources') -> 'Resources':
        """Return the minimum of both in each dimension."""
        return Resources(
            min(self.processors, other.processors),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def at_least(self, other: 'Resources') -> 'Resources':
        """Return the maximum of both in each dimension."""
        return Resources(
            max(self.processors, other.processors),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def dominant_share(self, total: 'Resources') -> float:
        """Return the largest fraction of ``total`` that any dimension takes up."""
        return max(
            _fraction_of(self.processors, total.processors),
            _fraction_of(self.memory_mb, total.memory_mb),
            _fraction_of(self.accelerators, total.accelerators),
        )


def _fraction_of(amount: float, total: float) -> float:
    if total > 0:
        return amount / total
    return 0


NO_RESOURCES = Resources()
