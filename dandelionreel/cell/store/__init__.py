"""What stands in the store: read by every host, written in groups."""

from dandelionreel.cell.store._cell_state import CellState, StoredJob
from dandelionreel.cell.store._follower import Follower, Projection
from dandelionreel.cell.store._projections import CellProjection, ConfigurationProjection
from dandelionreel.cell.store._runner_projection import RunnerProjection
from dandelionreel.cell.store._writer import GroupWriter, WriteOutcome

__all__ = (
    'BookedJob',
    'ConfigurationFolder',
    'Folder',
    'Follower',
    'GroupWriter',
    'JobBook',
    'JobFolder',
    'RunnersFolder',
    'Written',
)
