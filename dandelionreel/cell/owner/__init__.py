"""The owner's work for one term: orders, polls, take-overs."""

from dandelionreel.cell.owner._dispatcher import Dispatcher
from dandelionreel.cell.owner._parts import DispatcherParts

__all__ = (
    'Dispatcher',
    'DispatcherParts',
)
