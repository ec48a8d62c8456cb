"""The resource vectors that quotas and shares are calculated with."""

from typing import Protocol, Self, TypeVar


class Amounts(Protocol):
    """Amounts of several resources, such as processors and memory."""

    def __add__(self, other: Self) -> Self:
        """Return the sum for each resource."""

    def __sub__(self, other: Self) -> Self:
        """Return the difference for each resource."""

    def fits(self, limit: Self) -> bool:
        """Return whether this is at most ``limit`` in every resource."""

    def dominant_share(self, total: Self) -> float:
        """Return the largest fraction of ``total`` over all resources."""


AmountsT = TypeVar('AmountsT', bound=Amounts)
