"""What a task asks of a worker, and what a worker has."""

from msgspec import Struct

#: Room for rounding when fractions of processors are summed.
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

    def fits(self, room: 'Resources') -> bool:
        """Return whether this is within ``room`` in every dimension."""
        return (
            self.processors <= room.processors + EPSILON
            and self.memory_mb <= room.memory_mb + EPSILON
            and self.accelerators <= room.accelerators + EPSILON
        )

    def at_most(self, other: 'Resources') -> 'Resources':
        """Return the smaller of both in each dimension."""
        return Resources(
            min(self.processors, other.processors),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def at_least(self, other: 'Resources') -> 'Resources':
        """Return the larger of both in each dimension."""
        return Resources(
            max(self.processors, other.processors),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def dominant_share(self, whole: 'Resources') -> float:
        """Return the largest fraction of ``whole`` over the dimensions."""
        return max(
            _fraction(self.processors, whole.processors),
            _fraction(self.memory_mb, whole.memory_mb),
            _fraction(self.accelerators, whole.accelerators),
        )


def _fraction(part: float, whole: float) -> float:
    if whole > 0:
        return part / whole
    return 0


NOTHING = Resources()
