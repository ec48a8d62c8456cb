"""HTTP client and server on h11 and curio sockets."""

from dandelionreel.http._client import (
    Channel,
    Connection,
    ConnectionBrokenError,
    ExchangeError,
    RefusedError,
    SendForbiddenError,
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
from dandelionreel.http._sockets import connect, listen, set_source_address, shut_down

__all__ = (
    'JSON_TYPE',
    'PROBLEM_TYPE',
    'PROBLEM_URN',
    'VERDICT_HEADER',
    'Answer',
    'BadMessage',
    'Channel',
    'CloseConnection',
    'Connection',
    'ConnectionBrokenError',
    'ExchangeError',
    'Handler',
    'Headers',
    'ProblemDocument',
    'RefusedError',
    'Request',
    'SendForbiddenError',
    'Server',
    'ServerLimits',
    'answer_json',
    'answer_problem',
    'connect',
    'control_bytes_by_kind',
    'fetch',
    'listen',
    'set_source_address',
    'shut_down',
)
