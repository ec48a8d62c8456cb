"""Decides which worker runs which job: cell, queue, policies and planner."""

from dandelionreel.placement._cell import Cell, WorkerView
from dandelionreel.placement._estimate import RunTimeEstimator
from dandelionreel.placement._planner import Planner, make_task_ids
from dandelionreel.placement._policy import (
    GangPolicy,
    GangReservation,
    PackedPolicy,
    PlacementPolicy,
    SpreadPolicy,
    UrgentPolicy,
    count_fitting_tasks,
)
from dandelionreel.placement._queue import CustomerTerms, FairQueue
from dandelionreel.placement._work import BATCH, SERVICE, URGENT, Placement, RunningTask, Work

__all__ = (
    'BATCH',
    'SERVICE',
    'URGENT',
    'Cell',
    'CustomerTerms',
    'FairQueue',
    'GangPolicy',
    'GangReservation',
    'PackedPolicy',
    'Placement',
    'PlacementPolicy',
    'Planner',
    'RunTimeEstimator',
    'RunningTask',
    'SpreadPolicy',
    'UrgentPolicy',
    'Work',
    'WorkerView',
    'count_fitting_tasks',
    'make_task_ids',
)
