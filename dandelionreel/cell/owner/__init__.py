"""What the owner of a cell does during one term: plans, starts, stops, polls and handover."""

from dandelionreel.cell.owner._dependencies import DispatcherDependencies
from dandelionreel.cell.owner._dispatcher import Dispatcher
from dandelionreel.cell.owner._pacing import PacingFigures
from dandelionreel.cell.owner._refusals import Refusal

__all__ = (
    'Dispatcher',
    'DispatcherDependencies',
    'PacingFigures',
    'Refusal',
)
