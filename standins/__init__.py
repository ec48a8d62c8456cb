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
from standins._entry_hosts import (
    EntryHosts,
    count_crashes_by_task,
    find_duplicate_runs,
    find_overallocated_runners,
    find_starts_over_capacity,
    find_starts_over_quota,
    wait_for,
)
from standins._evidence import (
    find_overallocated_workers,
    find_overlapping_runs,
    find_overloaded_runners,
    find_repeated_starts,
    requests_by_mark,
)
from standins._memory_topic import MemoryTopic
from standins._relay import ANY_NAME, Cut, Cuts
from standins._users_platform import AccountRow, PlatformRunner, Run, UsersPlatform

__all__ = (
    'ANYONE',
    'AccountRow',
    'MemoryTopic',
    'FAST_TIMINGS',
    'Cluster',
    'Cut',
    'Cuts',
    'DaemonProcess',
    'EntryHosts',
    'Layout',
    'PlatformRunner',
    'Reply',
    'Run',
    'UsersPlatform',
    'crashes_by_task',
    'doubled_runs',
    'exchange',
    'over_filled',
    'overfull',
    'over_slots',
    'overlapping',
    'repeated',
    'requests_by_mark',
    'started_over',
    'started_over_quota',
    'wait_for',
    'wait_until',
)
