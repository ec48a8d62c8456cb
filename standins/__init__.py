"""Small stand-ins for the platform, its workers and its endpoints."""

from standins._cluster import (
    FAST_TIMINGS,
    Cluster,
    DaemonProcess,
    Layout,
    Reply,
    exchange,
    wait_until,
)
from standins._evidence import (
    over_filled,
    over_slots,
    overlapping,
    repeated,
    requests_by_mark,
)
from standins._memory_topic import MemoryTopic

__all__ = (
    'MemoryTopic',
    'FAST_TIMINGS',
    'Cluster',
    'DaemonProcess',
    'Layout',
    'Reply',
    'exchange',
    'over_filled',
    'over_slots',
    'overlapping',
    'repeated',
    'requests_by_mark',
    'wait_until',
)
