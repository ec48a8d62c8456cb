"""The client API: access control, writes and job states."""

from dandelionreel.cell.clients._access import AccessControl
from dandelionreel.cell.clients._client_api import ClientApi
from dandelionreel.cell.clients._client_writes import ClientWrites
from dandelionreel.cell.clients._queue_lookup import QueueLookup
from dandelionreel.cell.clients._readiness import (
    LoadBalancerRotation,
    ReadinessInputs,
    find_unready_reason,
)
from dandelionreel.cell.clients._relay import Relay

__all__ = (
    'AccessControl',
    'ClientApi',
    'ClientWrites',
    'ReadinessInputs',
    'QueueLookup',
    'Relay',
    'LoadBalancerRotation',
    'find_unready_reason',
)
