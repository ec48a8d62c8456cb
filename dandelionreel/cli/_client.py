"""HTTP requests to a daemon, with failures as values."""

import enum
from dataclasses import dataclass
from typing import Any

import curio
import msgspec
from returns.result import Failure, Result, Success

from dandelionreel.http import ExchangeError, ProblemDocument, Request, Response, fetch_response
from dandelionreel.kernel import ExitStatus, Verdict

TIMEOUT_SECONDS = 45.0
HTTP_ERROR = 400


class DaemonPort(enum.Enum):
    """The port of a daemon that takes a request."""

    ADMIN = 'admin'
    CALLERS = 'callers'


@dataclass(frozen=True)
class ToolError:
    """Why a command failed: one line, and an exit status."""

    message: str
    status: ExitStatus


STATUS_BY_VERDICT = {
    Verdict.NOT_RUN.value: ExitStatus.REFUSED,
    Verdict.UNKNOWN.value: ExitStatus.UNKNOWN,
    Verdict.RAN.value: ExitStatus.ERROR,
}


def split_address(text: str) -> Result[tuple[str, int], ToolError]:
    """Return host and port of ``IP:PORT``."""
    address, _, port = text.rpartition(':')
    if not address or not port.isdecimal():
        message = f'{text!r} is not an address; give IP:PORT, as in 127.0.0.1:7002'
        return Failure(ToolError(message, ExitStatus.USAGE))
    return Success((address, int(port)))


def send_request(address: str, request: Request) -> Result[Response, ToolError]:
    """Return the response of the daemon at ``IP:PORT``."""
    return split_address(address).bind(
        lambda host_and_port: _send_to_address(host_and_port, request)
    )


def _send_to_address(
    host_and_port: tuple[str, int], request: Request
) -> Result[Response, ToolError]:
    host, port = host_and_port
    try:
        response = curio.run(fetch_response, host, port, request, TIMEOUT_SECONDS)
    except ExchangeError as error:
        status = ExitStatus.UNKNOWN if error.sent else ExitStatus.UNREACHABLE
        hint = (
            'the request may have taken effect; check before you repeat it'
            if error.sent
            else 'is it running?'
        )
        return Failure(ToolError(f'{host}:{port}: {error}; {hint}', status))
    if response.status >= HTTP_ERROR:
        return Failure(_read_problem(response))
    return Success(response)


def _read_problem(response: Response) -> ToolError:
    try:
        document = msgspec.json.decode(response.body, type=ProblemDocument)
    except msgspec.MsgspecError:
        return ToolError(f'the daemon answered {response.status}', ExitStatus.ERROR)
    status = STATUS_BY_VERDICT.get(document.verdict, ExitStatus.ERROR)
    hint = ''
    if document.retry_after is not None:
        hint = f'; ask again in {max(1, round(document.retry_after))} s'
    return ToolError(f'{document.detail} ({document.verdict}){hint}', status)


def decode_json(response: Response) -> Any:
    """Return the plain values of a JSON response."""
    return msgspec.json.decode(response.body)
