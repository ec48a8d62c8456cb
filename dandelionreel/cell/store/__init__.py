"""State read from the store's topics, and the writer that appends to them in groups."""

from dandelionreel.cell.store._cell_state import CellState, StoredJob
from dandelionreel.cell.store._follower import Follower, Projection
from dandelionreel.cell.store._interruptible_topic import InterruptibleTopic
from dandelionreel.cell.store._projections import CellProjection, ConfigurationProjection
from dandelionreel.cell.store._refused_jobs import MAX_CLOCK_SKEW_SECONDS, RefusedJobs
from dandelionreel.cell.store._runner_projection import RunnerProjection
from dandelionreel.cell.store._writer import GroupWriter, WriteOutcome

__all__ = (
    'CellProjection',
    'CellState',
    'ConfigurationProjection',
    'Follower',
    'GroupWriter',
    'InterruptibleTopic',
    'MAX_CLOCK_SKEW_SECONDS',
    'Projection',
    'RefusedJobs',
    'RunnerProjection',
    'StoredJob',
    'WriteOutcome',
)
