"""Options that several commands share, and their defaults."""

import os

ADMIN_VARIABLE = 'DANDELIONREEL_ADMIN'
CALLERS_VARIABLE = 'DANDELIONREEL_CALLERS'
DEFAULT_ADMIN = os.environ.get(ADMIN_VARIABLE, '127.0.0.1:7002')
DEFAULT_CALLERS = os.environ.get(CALLERS_VARIABLE, '127.0.0.1:7001')

MEMBER_COLUMNS = ('member', 'availability_zone', 'heard_ago', 'draining')
SHARD_COLUMNS = ('shard', 'owner', 'epoch', 'level', 'former', 'released')
WORKER_COLUMNS = (
    'worker',
    'rack',
    'state',
    'tasks',
    'used_processors',
    'processors',
    'used_memory_mb',
    'memory_mb',
    'used_accelerators',
    'accelerators',
    'level',
)
ENDPOINT_COLUMNS = (
    'runner',
    'service',
    'state',
    'in_use',
    'slots',
    'limit',
    'foreign',
    'connections',
    'level',
)
JOB_COLUMNS = ('id', 'customer', 'task_class', 'state', 'tasks', 'attempts')
HISTORY_COLUMNS = ('version', 'state', 'author', 'detail')
ACCOUNT_COLUMNS = ('account', 'weight', 'used', 'quota', 'share', 'jobs', 'held', 'refused')
#: Where entry hosts show their metrics and client accounts.
METRICS_PORT = 9464
