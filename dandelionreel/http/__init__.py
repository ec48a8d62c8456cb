"""HTTP by h11 on both sides, over curio's sockets."""

from dandelionreel.http._client import (
    BrokenError,
    Channel,
    Connection,
    ExchangeError,
    ForbiddenError,
    RefusedError,
    control_bytes_by_kind,
    fetch,
)
from dandelionreel.http._messages import (
    JSON_TYPE,
    PROBLEM_TYPE,
    PROBLEM_URN,
    VERDICT_HEADER,
    Answer,
    Headers,
    ProblemDocument,
    Request,
    answer_json,
    answer_problem,
)
from dandelionreel.http._server import (
    BadMessage,
    CloseConnection,
    Handler,
    Server,
    ServerLimits,
)
from dandelionreel.http._sockets import connect, interrupt, listen, use_source

__all__ = (
    'JSON_TYPE',
    'PROBLEM_TYPE',
    'PROBLEM_URN',
    'VERDICT_HEADER',
    'Answer',
    'BadMessage',
    'BrokenError',
    'Channel',
    'CloseConnection',
    'Connection',
    'ExchangeError',
    'ForbiddenError',
    'Handler',
    'Headers',
    'ProblemDocument',
    'RefusedError',
    'Request',
    'Server',
    'ServerLimits',
    'answer_json',
    'answer_problem',
    'connect',
    'control_bytes_by_kind',
    'fetch',
    'interrupt',
    'listen',
    'use_source',
)
