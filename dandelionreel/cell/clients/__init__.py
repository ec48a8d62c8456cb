"""Clients' calls: access, writes, states, and answers inside a partition."""

from dandelionreel.cell.clients._access import AccessControl
from dandelionreel.cell.clients._client_writes import ClientWrites
from dandelionreel.cell.clients._front import ClientFront
from dandelionreel.cell.clients._partition_reads import PartitionReads
from dandelionreel.cell.clients._readiness import Condition, Rotation, find_hindrance
from dandelionreel.cell.clients._relay import Relay

__all__ = (
    'AccessControl',
    'ClientFront',
    'ClientWrites',
    'Condition',
    'PartitionReads',
    'Relay',
    'Rotation',
    'find_hindrance',
)
