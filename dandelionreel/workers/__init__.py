"""Watches and commands the workers of a zone, and counts their allocations."""

from dandelionreel.workers._agent import REFUSED, STARTED, UNKNOWN, WorkerAgent
from dandelionreel.workers._fleet import WorkerFleet
from dandelionreel.workers._ledger import Allocation, AllocationState, Ledger

__all__ = (
    'REFUSED',
    'STARTED',
    'UNKNOWN',
    'Allocation',
    'AllocationState',
    'Ledger',
    'WorkerAgent',
    'WorkerFleet',
)
