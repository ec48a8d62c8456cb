"""What quotas are counted in: any type of amounts that adds up by resource."""

from typing import Protocol, Self, TypeVar


class Amounts(Protocol):
    """Amounts of several resources, such as processors and memory."""

    def __add__(self, other: Self) -> Self:
        """Return the sum by resource."""

    def __sub__(self, other: Self) -> Self:
        """Return the difference by resource."""

    def fits(self, limit: Self) -> bool:
        """Return whether this is within ``room`` in every resource."""

    def dominant_share(self, total: Self) -> float:
        """Return the largest fraction of ``whole`` over the resources."""


AmountsT = TypeVar('AmountsT', bound=Amounts)
