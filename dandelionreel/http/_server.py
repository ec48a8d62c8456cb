"""HTTP server with one task per connection."""

import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import curio
import eliot
import h11
from curio.io import Socket

from dandelionreel.http._client import _decode_headers
from dandelionreel.http._connections import (
    IdleCloses,
    Phase,
    ServerConnection,
    ServerLoad,
    measure_load,
)
from dandelionreel.http._idle_connections import find_longest_idle
from dandelionreel.http._messages import Request, Response, problem_response
from dandelionreel.http._request_body import READ_SIZE, BodyReader
from dandelionreel.http._request_budget import RequestBudget
from dandelionreel.http._response_encoding import encode_response
from dandelionreel.http._server_limits import RECEIVE_BUFFER_BYTES, ServerLimits
from dandelionreel.http._sockets import listen
from dandelionreel.kernel import Problem, RequestError, Verdict, start_task

Handler = Callable[[Request], Awaitable[Response]]

HTTP_TIMEOUT = 408
HTTP_HEAD_TOO_LARGE = 431
HTTP_INTERNAL_ERROR = 500
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
#: Methods of requests that change nothing.
SAFE_METHODS = frozenset(('GET', 'HEAD'))
#: Seconds after which the client of a refused request may try another host.
RETRY_AFTER_SECONDS = 1.0
REFUSAL = Problem(
    Verdict.NOT_RUN,
    HTTP_UNAVAILABLE,
    'stopping',
    'the host is stopping; send the request to another one',
    RETRY_AFTER_SECONDS,
)
#: Stands for the response of an idle connection, which keeps no earlier one.
NO_RESPONSE = Response(0)
#: Requests that crossed the close of their connection and are named in the log.
NAMED_REQUESTS = 20
#: Connections beyond the limit on which one request is read and refused.
REFUSED_CONNECTIONS = 64
TOO_MANY = Problem(
    Verdict.NOT_RUN,
    HTTP_UNAVAILABLE,
    'too-many-connections',
    'the host has as many connections as it may have; send the request to another one',
    RETRY_AFTER_SECONDS,
)
IDLE_TIMEOUT = Problem(
    Verdict.NOT_RUN,
    HTTP_UNAVAILABLE,
    'idle',
    'the connection was idle for too long; send the request on another one',
    RETRY_AFTER_SECONDS,
)
UNKNOWN_END = Problem(
    Verdict.UNKNOWN,
    HTTP_GATEWAY_TIMEOUT,
    'stopped',
    'the host has stopped; what was asked for may have been done',
)


class BadMessage(RequestError):
    """The client sent an invalid request or one that exceeds a limit."""

    def __init__(self, status: int, cause: str, detail: str) -> None:
        """Set the HTTP status, the cause code and the error text."""
        super().__init__(Problem(Verdict.NOT_RUN, status, cause, detail))


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
        budget: RequestBudget | None = None,
    ) -> None:
        """Call ``handler`` for every request; ``budget`` has the memory of all of them.

        While ``is_draining()`` is true, each connection is closed after its current response.
        """
        self._handler = handler
        self._is_draining = is_draining
        self._limits = limits or ServerLimits()
        self._budget = budget or RequestBudget(largest_body=self._limits.body_bytes)
        self._keep_alive_disabled = False
        self._listener: Any = None
        self._accept_task: Any = None
        self._connection_by_task: dict[Any, ServerConnection] = {}
        self._is_refusing = False
        #: Open connections that are refused, or give way to others.
        self._refused_connections = 0
        #: Seconds for which each connection that was closed as idle had been idle.
        self._closed_idle_seconds: list[float] = []
        self._crossed_requests: list[str] = []
        #: Requests that were refused because the server is stopping.
        self.refused_requests = 0
        self.port = 0

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open."""
        return len(self._connection_by_task)

    @property
    def requests_in_progress(self) -> int:
        """Return the number of whole requests that are not answered yet."""
        phases = [connection.phase for connection in self._connection_by_task.values()]
        return phases.count(Phase.ANSWERING)

    def measure_load(self) -> ServerLoad:
        """Return what the open connections are doing."""
        return measure_load(self._connection_by_task.values(), self._listener)

    def list_open_requests(self) -> list[str]:
        """Return method and target of each request that is in progress, or begun, or unread.

        Connections that have had their last answer are left out.
        """
        described = (
            connection.describe_request()
            for connection in self._connection_by_task.values()
            if connection.phase is not Phase.CLOSING
        )
        return [text for text in described if text]

    async def start(self, stack: AsyncExitStack, address: str, port: int) -> None:
        """Bind at once and accept connections in the background until ``stack`` closes."""
        sock = listen(address, port, RECEIVE_BUFFER_BYTES)
        self._listener = sock
        stack.push_async_callback(sock.close)
        self.port = sock.getsockname()[1]
        stack.push_async_callback(self._cancel_tasks)
        self._accept_task = await start_task(stack, self._accept_connections, sock)

    async def stop_accepting(self) -> None:
        """Take the connections that wait in the listener's queue, then close the listener.

        From now on each connection is closed after its current response.
        """
        self._keep_alive_disabled = True
        if self._listener is None:
            return
        await self._accept_task.cancel()
        await self._accept_queued_connections()
        listener = self._listener
        self._listener = None
        await listener.close()

    def close_idle_connections(self, seconds: float) -> None:
        """Close the connections on which no request has begun for ``seconds``.

        A request may be on its way on a connection that looks idle. So each gets a refusal as its
        last answer, and is read until its client closes it or ``LINGER_SECONDS`` have passed.
        """
        for connection in self._connection_by_task.values():
            connection.end_linger()
            idle_seconds = connection.idle_seconds
            if idle_seconds >= seconds:
                self._closed_idle_seconds.append(idle_seconds)
                connection.is_closed_as_idle = True
                self._send_last_answer(connection, connection.refusal or REFUSAL)

    def measure_idle_closes(self) -> IdleCloses:
        """Return what is known of the connections that were closed as idle."""
        closed = self._closed_idle_seconds
        return IdleCloses(
            len(closed),
            round(min(closed, default=0.0), 3),
            round(max(closed, default=0.0), 3),
            len(self._crossed_requests),
            tuple(self._crossed_requests[:NAMED_REQUESTS]),
        )

    def refuse_requests(self) -> None:
        """Refuse each request that is read from now on."""
        self._is_refusing = True

    async def end_requests(self) -> list[str]:
        """Answer the requests that are open; return method and target of each.

        One that has not been read whole has not been run. The work on the others ends, and what it
        has done is unknown unless the request changes nothing. Connections without a request get
        an answer too, as one may be on its way.
        """
        self._is_refusing = True
        ended = []
        for task, connection in tuple(self._connection_by_task.items()):
            if not connection.is_unanswered:
                continue
            described = connection.describe_request()
            if described:
                ended.append(described)
            request = connection.request
            is_run = request is not None and request.method not in SAFE_METHODS
            self._send_last_answer(connection, UNKNOWN_END if is_run else REFUSAL)
            if request is not None:
                await task.cancel(blocking=False)
        return ended

    def _send_last_answer(self, connection: ServerConnection, problem: Problem) -> None:
        # The connection's task reads what arrives from now on, and handles none of it.
        payload = self._encode_response(connection, problem_response(problem), last=True)
        connection.send_now(payload)
        connection.shut_down_sending()

    async def _accept_connections(self, sock: Any) -> None:
        while True:
            client, _ = await sock.accept()
            await self._open_connection(client)
            # Accepting does not wait while connections are queued.
            await curio.sleep(0)

    async def _accept_queued_connections(self) -> None:
        while True:
            try:
                accepted = self._listener._socket.accept()
            except OSError:
                return
            await self._open_connection(Socket(accepted[0]))

    async def _open_connection(self, client: Any) -> None:
        if self._served_connections >= self._limits.connections:
            self._end_idle_connections()
        is_refused = self._served_connections >= self._limits.connections
        if is_refused and self._refused_connections >= REFUSED_CONNECTIONS:
            await client.close()
            return
        self._refused_connections += is_refused
        refusal = TOO_MANY if is_refused else None
        connection = ServerConnection(client, self._limits.header_bytes, self._budget, refusal)
        task = await curio.spawn(self._serve_connection, connection, daemon=True)
        self._connection_by_task[task] = connection

    @property
    def _served_connections(self) -> int:
        return len(self._connection_by_task) - self._refused_connections

    def _end_idle_connections(self) -> None:
        connections = self._connection_by_task.values()
        for connection in find_longest_idle(connections, time.monotonic()):
            connection.refusal = TOO_MANY
            self._budget.refused_by_cause[TOO_MANY.cause] += 1
            self._refused_connections += 1
            self._send_last_answer(connection, TOO_MANY)
            if self._refused_connections > REFUSED_CONNECTIONS:
                # Too many to read each until its client closes it.
                connection.stop_receiving()

    async def _cancel_tasks(self) -> None:
        for task in tuple(self._connection_by_task):
            await task.cancel()

    async def _serve_connection(self, connection: ServerConnection) -> None:
        try:
            await self._serve_requests(connection)
        except (OSError, curio.TaskTimeout, CloseConnection):
            return
        finally:
            if connection.is_closed_as_idle and connection.peek():
                connection.note_arrival(connection.peek())
            if connection.crossed_line:
                self._crossed_requests.append(connection.crossed_line)
            self._connection_by_task.pop(await curio.current_task(), None)
            connection.charge.release()
            self._refused_connections -= connection.refusal is not None
            await connection.client.close()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        http = connection.http
        while http.our_state is h11.IDLE:
            connection.enter(Phase.IDLE)
            try:
                request = await self._read_request(connection)
            except RequestError as error:
                await self._send_last_problem(connection, error.problem)
                return
            except h11.RemoteProtocolError as error:
                problem = Problem(
                    Verdict.NOT_RUN,
                    error.error_status_hint,
                    'bad-http',
                    f'{error}',
                )
                await self._send_last_problem(connection, problem)
                return
            if connection.phase is Phase.CLOSING:
                # The last answer was sent before the request was read whole.
                await connection.discard_unread()
                return
            if request is None:
                return
            connection.enter(Phase.ANSWERING, request)
            if connection.refusal is not None:
                await self._send_last_problem(connection, connection.refusal)
                return
            response = await self._handle_request(request)
            if connection.phase is Phase.CLOSING:
                # The answer of ``end_requests`` has been sent in the meantime.
                return
            await self._send_response(connection, response)
            if http.our_state is h11.MUST_CLOSE:
                if connection.peek():
                    await connection.discard_unread()
                return
            http.start_next_cycle()
            # An idle connection keeps neither its last request nor the response.
            request, response = None, NO_RESPONSE

    async def _handle_request(self, request: Request) -> Response:
        if self._is_refusing:
            self.refused_requests += 1
            return problem_response(REFUSAL)
        try:
            return await self._handler(request)
        except RequestError as error:
            return problem_response(error.problem)
        except CloseConnection:
            raise
        except (Exception, curio.TaskTimeout) as error:
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
        try:
            return await self._read_whole_request(connection)
        except RequestError as error:
            problem = error.problem
        # Raised here without the traceback, which keeps what was read of the request.
        raise RequestError(problem)

    async def _read_whole_request(self, connection: ServerConnection) -> Request | None:
        connection.charge.begin()
        # Requests that have arrived together are read without waiting.
        await curio.sleep(0)
        first = await self._read_request_head(connection)
        if not isinstance(first, h11.Request):
            return None
        if len(first.headers) > self._limits.header_fields:
            raise BadMessage(
                HTTP_HEAD_TOO_LARGE,
                'too-many-fields',
                f'the head has over {self._limits.header_fields} fields',
            )
        headers = _decode_headers(first.headers)
        reader = BodyReader(
            connection.client, connection.http, connection.charge, self._limits.body_bytes
        )
        try:
            async with curio.timeout_after(self._limits.read_seconds):
                body = await reader.read(headers)
        except curio.TaskTimeout as error:
            raise BadMessage(HTTP_TIMEOUT, 'slow-sender', 'the body took too long') from error
        return Request(
            first.method.decode('ascii'),
            first.target.decode('latin-1'),
            headers,
            body,
        )

    async def _read_request_head(self, connection: ServerConnection) -> Any:
        # A request may begin within ``idle_seconds``; its head must end within ``read_seconds``.
        while True:
            event = connection.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            received = await self._receive_head(connection)
            if connection.phase is Phase.CLOSING:
                # h11 raises errors of its own on a request that comes after the last answer.
                return None
            if received is None and connection.phase is Phase.READING:
                raise BadMessage(HTTP_TIMEOUT, 'slow-sender', 'the head took too long')
            if received is None:
                # A request may be on its way to the connection that is closed.
                self._send_last_answer(connection, connection.refusal or IDLE_TIMEOUT)
            if not received:
                return None
            if connection.phase is Phase.IDLE:
                connection.enter(Phase.READING)
            connection.http.receive_data(received)

    async def _receive_head(self, connection: ServerConnection) -> bytes | None:
        """Return the next bytes, ``b''`` at the end and ``None`` after a timeout."""
        is_idle = connection.phase is Phase.IDLE and connection.refusal is None
        timeout = self._limits.idle_seconds
        if not is_idle:
            read_until = connection.phase_since + self._limits.read_seconds
            timeout = max(0.0, read_until - time.monotonic())
        received: bytes | None = await curio.ignore_after(
            timeout, connection.client.recv, READ_SIZE
        )
        if received is None and connection.peek():
            # A late process finds the timeout expired although bytes have arrived in time.
            received = await connection.client.recv(READ_SIZE)
        if received:
            connection.note_arrival(received)
        return received

    async def _send_last_problem(self, connection: ServerConnection, problem: Problem) -> None:
        """Answer a request that is not read to its end, and close the connection."""
        self._budget.refused_by_cause[problem.cause] += 1
        if connection.http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_response(connection, problem_response(problem), last=True)
        await connection.discard_unread()

    async def _send_response(
        self,
        connection: ServerConnection,
        response: Response,
        *,
        last: bool = False,
    ) -> None:
        payload = self._encode_response(connection, response, last=last)
        async with curio.timeout_after(self._limits.idle_seconds):
            await connection.client.sendall(payload)

    def _encode_response(
        self, connection: ServerConnection, response: Response, *, last: bool
    ) -> bytes:
        is_last = last or self._keep_alive_disabled or self._is_draining()
        return encode_response(connection.http, connection.request, response, is_last=is_last)
