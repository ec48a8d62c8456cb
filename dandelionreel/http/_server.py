"""HTTP server with one task per connection."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

import curio
import eliot
import h11

from dandelionreel.http._client import READ_SIZE, _decode_headers
from dandelionreel.http._connections import Phase, ServerConnection, ServerLoad, measure_load
from dandelionreel.http._messages import Headers, Request, Response, problem_response
from dandelionreel.http._sockets import listen
from dandelionreel.kernel import Problem, RequestError, Verdict, start_task

Handler = Callable[[Request], Awaitable[Response]]

HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413
HTTP_INTERNAL_ERROR = 500


@dataclass(frozen=True)
class ServerLimits:
    """Limits of a server: sizes in bytes, timeouts in seconds, open connections."""

    body_bytes: int = 1_048_576
    header_bytes: int = 16_384
    read_seconds: float = 5
    idle_seconds: float = 60
    connections: int = 512


class BadMessage(Exception):
    """The client sent an invalid request or one that exceeds a limit."""

    def __init__(self, status: int, cause: str, detail: str) -> None:
        """Set the HTTP status, the cause code and the error text."""
        super().__init__(detail)
        self.problem = Problem(Verdict.NOT_RUN, status, cause, detail)


class CloseConnection(Exception):
    """Raised by a handler to close the connection without a response."""


def _never_draining() -> bool:
    return False


class Server:
    """Reads complete requests and passes each to a handler that returns the response."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        is_draining: Callable[[], bool] = _never_draining,
    ) -> None:
        """Call ``handler`` for every request.

        While ``is_draining()`` is true, each connection is closed after its current response.
        """
        self._handler = handler
        self._is_draining = is_draining
        self._limits = limits or ServerLimits()
        self._keep_alive_disabled = False
        self._listener: Any = None
        self._connection_by_task: dict[Any, ServerConnection] = {}
        self.port = 0

    @property
    def requests_in_progress(self) -> int:
        """Return the number of whole requests that are not answered yet."""
        phases = [connection.phase for connection in self._connection_by_task.values()]
        return phases.count(Phase.ANSWERING)

    def measure_load(self) -> ServerLoad:
        """Return what the open connections are doing."""
        return measure_load(self._connection_by_task.values(), self._listener)

    def list_open_requests(self) -> list[str]:
        """Return method and target of each request that is in progress, or begun, or unread."""
        described = (
            connection.describe_request() for connection in self._connection_by_task.values()
        )
        return [text for text in described if text]

    async def start(self, stack: AsyncExitStack, address: str, port: int) -> None:
        """Bind at once and accept connections in the background until ``stack`` closes."""
        sock = listen(address, port)
        self._listener = sock
        stack.push_async_callback(sock.close)
        self.port = sock.getsockname()[1]
        stack.push_async_callback(self._cancel_tasks)
        await start_task(stack, self._accept_connections, sock)

    def disable_keep_alive(self) -> None:
        """Close each connection after its current response from now on."""
        self._keep_alive_disabled = True

    async def _accept_connections(self, sock: Any) -> None:
        while True:
            client, _ = await sock.accept()
            if len(self._connection_by_task) >= self._limits.connections:
                await client.close()
                continue
            connection = ServerConnection(client, self._limits.header_bytes)
            task = await curio.spawn(self._serve_connection, connection, daemon=True)
            self._connection_by_task[task] = connection

    async def _cancel_tasks(self) -> None:
        for task in tuple(self._connection_by_task):
            await task.cancel()

    async def _serve_connection(self, connection: ServerConnection) -> None:
        try:
            await self._serve_requests(connection)
        except (OSError, curio.TaskTimeout, CloseConnection):
            return
        finally:
            self._connection_by_task.pop(await curio.current_task(), None)
            await connection.client.close()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        client, http = connection.client, connection.http
        while http.our_state is h11.IDLE:
            connection.enter(Phase.IDLE)
            try:
                request = await self._read_request(connection)
            except BadMessage as error:
                await self._send_problem(client, http, error.problem)
                return
            except h11.RemoteProtocolError as error:
                problem = Problem(
                    Verdict.NOT_RUN,
                    error.error_status_hint,
                    'bad-http',
                    f'{error}',
                )
                await self._send_problem(client, http, problem)
                return
            if request is None:
                return
            connection.enter(Phase.ANSWERING, request)
            response = await self._handle_request(request)
            await self._send_response(client, http, response)
            if http.our_state is h11.MUST_CLOSE:
                return
            http.start_next_cycle()

    async def _handle_request(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except RequestError as error:
            return problem_response(error.problem)
        except BadMessage as error:
            return problem_response(error.problem)
        except CloseConnection:
            raise
        except Exception as error:
            eliot.write_traceback()
            problem = Problem(
                Verdict.UNKNOWN,
                HTTP_INTERNAL_ERROR,
                'internal-error',
                f'{type(error).__name__}: {error}',
            )
            return problem_response(problem)

    async def _read_request(self, connection: ServerConnection) -> Request | None:
        """Return the next complete request, ``None`` if the client closed the connection."""
        client, http = connection.client, connection.http
        first = await self._read_request_head(connection)
        if not isinstance(first, h11.Request):
            return None
        headers = _decode_headers(first.headers)
        self._check_request_headers(headers)
        body = bytearray()
        try:
            async with curio.timeout_after(self._limits.read_seconds):
                await self._read_request_body(client, http, body)
        except curio.TaskTimeout as error:
            raise BadMessage(HTTP_TIMEOUT, 'slow-sender', 'the body took too long') from error
        return Request(
            first.method.decode('ascii'),
            first.target.decode('latin-1'),
            headers,
            bytes(body),
        )

    async def _read_request_head(self, connection: ServerConnection) -> Any:
        # An idle connection may wait for its next request for ``idle_seconds``. Once a
        # request has begun, each read has ``read_seconds``, so that a client that stops
        # in the middle of its headers cannot keep the connection forever.
        client, http = connection.client, connection.http
        started = False
        while True:
            event = http.next_event()
            if event is not h11.NEED_DATA:
                return event
            read_timeout = self._limits.read_seconds if started else self._limits.idle_seconds
            received = await curio.ignore_after(read_timeout, client.recv, READ_SIZE)
            if not received:
                if started and received is None:
                    raise BadMessage(HTTP_TIMEOUT, 'slow-sender', 'the head took too long')
                return None
            if not started:
                started = True
                connection.enter(Phase.READING)
            http.receive_data(received)

    async def _read_request_body(self, client: Any, http: Any, body: bytearray) -> None:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(status_code=100, headers=[])
                    await client.sendall(http.send(continue_response))
                http.receive_data(await client.recv(READ_SIZE))
                continue
            if isinstance(event, h11.Data):
                body.extend(event.data)
                if len(body) > self._limits.body_bytes:
                    raise BadMessage(
                        HTTP_TOO_LARGE,
                        'body-too-large',
                        f'the body is over {self._limits.body_bytes} bytes',
                    )
                continue
            return

    def _check_request_headers(self, headers: Headers) -> None:
        lengths = [content for name, content in headers if name == 'content-length']
        if lengths and int(lengths[0]) > self._limits.body_bytes:
            raise BadMessage(
                HTTP_TOO_LARGE,
                'body-too-large',
                f'the body is over {self._limits.body_bytes} bytes',
            )

    async def _send_problem(self, client: Any, http: Any, problem: Problem) -> None:
        if http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = problem_response(problem)
        await self._send_response(client, http, response, last=True)

    async def _send_response(
        self,
        client: Any,
        http: Any,
        response: Response,
        *,
        last: bool = False,
    ) -> None:
        headers = [
            (name, content)
            for name, content in response.headers
            if name not in {'connection', 'transfer-encoding', 'content-length'}
        ]
        headers.append(('content-length', str(len(response.body))))
        if last or self._keep_alive_disabled or self._is_draining():
            headers.append(('connection', 'close'))
        payload = http.send(h11.Response(status_code=response.status, headers=headers))
        if response.body:
            payload += http.send(h11.Data(data=response.body))
        payload += http.send(h11.EndOfMessage())
        async with curio.timeout_after(self._limits.idle_seconds):
            await client.sendall(payload)
