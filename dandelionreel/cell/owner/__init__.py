"""What the owner of a cell does during one term: plans, starts, stops, polls and handover."""

from dandelionreel.cell.owner._dispatcher import Dispatcher
from dandelionreel.cell.owner._parts import DispatcherParts

__all__ = (
    'Dispatcher',
    'DispatcherParts',
)
