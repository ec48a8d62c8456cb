"""Stand-ins (test doubles) for the platform, its workers and its endpoints."""

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
    group_requests_by_mark,
)
from standins._memory_topic import MemoryTopic
from standins._narrow_link import NarrowLink
from standins._persistent_clients import (
    ClientExchange,
    ClientPace,
    PersistentClients,
    encode_request,
)
from standins._relay import ANY_NAME, Cut, Cuts
from standins._state_watch import StateWatch
from standins._users_platform import AccountRow, PlatformRunner, Run, UsersPlatform

__all__ = (
    'ANY_NAME',
    'FAST_TIMINGS',
    'AccountRow',
    'ClientExchange',
    'ClientPace',
    'Cluster',
    'Cut',
    'Cuts',
    'DaemonProcess',
    'EntryHosts',
    'Layout',
    'MemoryTopic',
    'NarrowLink',
    'PersistentClients',
    'PlatformRunner',
    'Reply',
    'Run',
    'StateWatch',
    'UsersPlatform',
    'count_crashes_by_task',
    'encode_request',
    'exchange',
    'find_duplicate_runs',
    'find_overallocated_runners',
    'find_overallocated_workers',
    'find_overlapping_runs',
    'find_overloaded_runners',
    'find_repeated_starts',
    'find_starts_over_capacity',
    'find_starts_over_quota',
    'group_requests_by_mark',
    'wait_for',
    'wait_until',
)
