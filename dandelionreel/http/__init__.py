"""HTTP client and server on h11 and curio sockets."""

from dandelionreel.http._client import (
    Channel,
    Connection,
    ConnectionBrokenError,
    ExchangeError,
    RefusedError,
    SendForbiddenError,
    abandoned_bytes_by_kind,
    control_bytes_by_kind,
    fetch_response,
)
from dandelionreel.http._drain import DrainResult, drain_server
from dandelionreel.http._messages import (
    JSON_TYPE,
    PROBLEM_TYPE,
    PROBLEM_URN,
    VERDICT_HEADER,
    Headers,
    ProblemDocument,
    Request,
    Response,
    json_response,
    problem_response,
)
from dandelionreel.http._request_budget import RequestBudget
from dandelionreel.http._server import (
    BadMessage,
    CloseConnection,
    Handler,
    Server,
)
from dandelionreel.http._server_limits import CONTROL_LIMITS, ServerLimits
from dandelionreel.http._sockets import connect, listen, set_source_address, shut_down

__all__ = (
    'CONTROL_LIMITS',
    'JSON_TYPE',
    'PROBLEM_TYPE',
    'PROBLEM_URN',
    'VERDICT_HEADER',
    'BadMessage',
    'Channel',
    'CloseConnection',
    'Connection',
    'ConnectionBrokenError',
    'DrainResult',
    'ExchangeError',
    'Handler',
    'Headers',
    'ProblemDocument',
    'RefusedError',
    'Request',
    'RequestBudget',
    'Response',
    'SendForbiddenError',
    'Server',
    'ServerLimits',
    'connect',
    'abandoned_bytes_by_kind',
    'control_bytes_by_kind',
    'drain_server',
    'fetch_response',
    'json_response',
    'listen',
    'problem_response',
    'set_source_address',
    'shut_down',
)
