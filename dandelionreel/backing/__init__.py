"""Access to the platform: its append-only log, host list and workers."""

from dandelionreel.backing._host_watch import HostWatch
from dandelionreel.backing._hosts import (
    HostEntry,
    HostList,
    HostListError,
    HostsResult,
    HttpHostList,
    StaticHostList,
)
from dandelionreel.backing._http_log import AppendBody, AppendResult, HttpLog, ReadResult
from dandelionreel.backing._log import (
    LogBatch,
    LogError,
    LogService,
    LogTruncatedError,
)
from dandelionreel.backing._memory_log import MemoryLog, MemoryStream
from dandelionreel.backing._memory_worker import MemoryTask, MemoryWorker
from dandelionreel.backing._resources import EPSILON, NO_RESOURCES, Resources
from dandelionreel.backing._stream import (
    Envelope,
    Position,
    RecordHandler,
    StreamReader,
    StreamWriter,
)
from dandelionreel.backing._workers import (
    ENDED,
    HttpWorker,
    LeaseRenewal,
    TaskList,
    TaskOrder,
    TaskStatus,
    WorkerError,
    WorkerService,
)

__all__ = (
    'ENDED',
    'EPSILON',
    'NO_RESOURCES',
    'AppendBody',
    'AppendResult',
    'Envelope',
    'HostEntry',
    'HostList',
    'HostListError',
    'HostWatch',
    'HostsResult',
    'HttpHostList',
    'HttpLog',
    'HttpWorker',
    'LeaseRenewal',
    'LogBatch',
    'LogError',
    'LogService',
    'LogTruncatedError',
    'MemoryLog',
    'MemoryStream',
    'MemoryTask',
    'MemoryWorker',
    'Position',
    'ReadResult',
    'RecordHandler',
    'Resources',
    'StaticHostList',
    'StreamReader',
    'StreamWriter',
    'TaskList',
    'TaskOrder',
    'TaskStatus',
    'WorkerError',
    'WorkerService',
)
