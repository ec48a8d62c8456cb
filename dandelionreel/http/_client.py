"""HTTP client: one connection carries one request at a time."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11

from dandelionreel.http._messages import Answer, Headers, Request
from dandelionreel.http._sockets import connect, shut_down

READ_SIZE = 65_536
#: Asked right before bytes leave: may they?
Check = Callable[[], bool]
HOP_BY_HOP_HEADERS = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'content-length', 'te')
)


class ExchangeError(OSError):
    """An exchange failed; ``sent`` tells whether a byte may have left."""

    def __init__(self, message: str, *, sent: bool) -> None:
        """Keep the message and whether anything was written."""
        super().__init__(message)
        self.sent = sent


#: Bytes to and from servers by the kind that their channels name.
control_bytes_by_kind: dict[str, int] = {}


class Connection:
    """One connection to a server. After any failure it must be closed."""

    def __init__(self, address: str, port: int, answer_bytes: int, kind: str = '') -> None:
        """Remember the address; ``answer_bytes`` bounds an answer's body.

        Traffic of a named ``kind`` is counted as control cost.
        """
        self._kind = kind
        self._address = address
        self._port = port
        self._answer_bytes = answer_bytes
        self._sock: Any = None
        self._http: Any = None

    @property
    def is_open(self) -> bool:
        """Return whether another request may be sent on this connection."""
        return self._http is not None and self._http.our_state is h11.IDLE

    async def open(self, timeout: float, user_timeout: float) -> None:
        """Connect within ``timeout`` seconds; raises ``ExchangeError``."""
        try:
            async with curio.timeout_after(timeout):
                self._sock = await connect(self._address, self._port, user_timeout)
        except curio.TaskTimeout as error:
            raise ExchangeError('no connection in time', sent=False) from error
        except ConnectionRefusedError as error:
            raise RefusedError('connection refused', sent=False) from error
        except (OSError, ValueError, OverflowError) as error:
            # A name or a port that cannot be: a peer's record or a runner's entry may
            # hold one, and whoever calls there must not fail for it.
            raise ExchangeError(f'no connection: {error}', sent=False) from error
        self._http = h11.Connection(h11.CLIENT)

    async def exchange(
        self,
        request: Request,
        timeout: float,
        check: Check | None = None,
    ) -> Answer:
        """Send the request and return the whole answer.

        ``check`` is asked right before the first byte leaves; when it says no,
        nothing is sent. Raises ``ExchangeError``. The connection is closed on every failure,
        cancellation included: a late answer can then meet no other request.
        """
        progress = _Progress()
        try:
            async with curio.timeout_after(timeout):
                answer = await self._exchange(request, progress, check)
        except curio.TaskTimeout as error:
            await self.close()
            raise ExchangeError('no answer in time', sent=progress.sent) from error
        except ExchangeError:
            await self.close()
            raise
        except (OSError, h11.ProtocolError) as error:
            await self.close()
            raise ConnectionBrokenError(f'broken answer: {error}', sent=progress.sent) from error
        except BaseException:
            await self.close()
            raise
        if self._http.our_state is h11.MUST_CLOSE or self._http.their_state is h11.MUST_CLOSE:
            await self.close()
        else:
            self._http.start_next_cycle()
        return answer

    async def close(self) -> None:
        """Close the socket; more than once does no harm."""
        sock = self._sock
        self._sock = None
        self._http = None
        if sock is not None:
            await sock.close()

    async def shut_down(self) -> None:
        """Let an exchange of another task fail at once, which then closes the socket."""
        if self._sock is not None:
            await shut_down(self._sock)

    async def _exchange(
        self,
        request: Request,
        progress: '_Progress',
        check: Check | None,
    ) -> Answer:
        headers = [('host', f'{self._address}:{self._port}')]
        headers.extend(_end_to_end_headers(request.headers))
        headers.append(('content-length', str(len(request.body))))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        payload = self._http.send(head)
        if request.body:
            payload += self._http.send(h11.Data(data=request.body))
        payload += self._http.send(h11.EndOfMessage())
        if check is not None and not check():
            raise SendForbiddenError('no authority any more', sent=False)
        progress.sent = True
        self._count(len(payload))
        await self._sock.sendall(payload)
        return await self._read_answer()

    def _count(self, size: int) -> None:
        if self._kind:
            former_total = control_bytes_by_kind.get(self._kind, 0)
            control_bytes_by_kind[self._kind] = former_total + size

    async def _read_answer(self) -> Answer:
        status = 0
        headers: Headers = ()
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                received = await self._sock.recv(READ_SIZE)
                self._count(len(received))
                self._http.receive_data(received)
                continue
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = _decode_headers(event.headers)
                continue
            if isinstance(event, h11.Data):
                body.extend(event.data)
                if len(body) > self._answer_bytes:
                    raise OSError(f'answer longer than {self._answer_bytes} bytes')
                continue
            if isinstance(event, h11.EndOfMessage):
                return Answer(status, headers, bytes(body))
            raise OSError('connection closed before the whole answer')


class RefusedError(ExchangeError):
    """Nothing listens there: the process that did has ended."""


class ConnectionBrokenError(ExchangeError):
    """The connection ended before the whole answer came; a silent one times out instead."""


class SendForbiddenError(ExchangeError):
    """The right to send had ended by the time that the bytes could leave."""


class _Progress:
    """Whether a byte of the current exchange may have left."""

    def __init__(self) -> None:
        self.sent = False


def _end_to_end_headers(headers: Headers) -> list[tuple[str, str]]:
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS | {'host'}]


def _decode_headers(raw: Any) -> Headers:
    return tuple((name.decode('latin-1'), value.decode('latin-1')) for name, value in raw)


async def fetch(
    address: str,
    port: int,
    request: Request,
    timeout: float,
    answer_bytes: int = 16_777_216,
) -> Answer:
    """Make one request on a connection of its own; raises ``ExchangeError``."""
    connection = Connection(address, port, answer_bytes)
    try:
        await connection.open(timeout, timeout)
        return await connection.exchange(request, timeout)
    finally:
        await connection.close()


#: Given a new connection before its first request; raises to refuse it.
CheckPeer = Callable[[Connection], Awaitable[None]]


async def _accept_any_peer(connection: Connection) -> None:
    """Use a new connection as it is."""


class Channel:
    """A connection to one server that is opened again after a failure.

    It carries one request at a time; a lock keeps others waiting.
    """

    def __init__(
        self,
        address: str,
        port: int,
        kind: str = '',
        answer_bytes: int = 16_777_216,
        check_peer: CheckPeer = _accept_any_peer,
    ) -> None:
        """Remember the server; count traffic under ``kind``.

        ``check_peer`` is given each new connection before its first request; what it raises
        is raised to that request's sender, and the connection is closed.
        """
        self._check_peer = check_peer
        self._connection = Connection(address, port, answer_bytes, kind)
        self._lock = curio.Lock()
        self._closed = False

    async def exchange(
        self,
        request: Request,
        timeout: float,
        check: Check | None = None,
    ) -> Answer:
        """Send the request, opening the connection first where needed.

        ``timeout`` covers each try; waiting behind other requests counts too.

        A connection that idled may have been closed by the server; then the
        request is tried once more, if not a byte of an answer came back and
        the method is a repeatable one.
        """
        try:
            async with curio.timeout_after(timeout):
                await self._lock.acquire()
        except curio.TaskTimeout as error:
            raise ExchangeError('the connection stayed busy', sent=False) from error
        try:
            return await self._exchange(request, timeout, check)
        finally:
            if self._closed:
                await self._connection.close()
            await self._lock.release()

    async def close(self) -> None:
        """Close the connection, or have the exchange under way fail and do so."""
        self._closed = True
        if self._lock.locked():
            await self._connection.shut_down()
        else:
            await self._connection.close()

    async def _exchange(self, request: Request, timeout: float, check: Check | None) -> Answer:
        reused = self._connection.is_open
        if not reused:
            await self._open(timeout)
        try:
            return await self._connection.exchange(request, timeout, check)
        except ExchangeError:
            if not reused or request.method != 'GET':
                raise
        await self._open(timeout)
        return await self._connection.exchange(request, timeout, check)

    async def _open(self, timeout: float) -> None:
        await self._connection.open(timeout, timeout)
        try:
            await self._check_peer(self._connection)
        except ExchangeError as error:
            # What was sent was not the request.
            error.sent = False
            raise
        except BaseException:
            await self._connection.close()
            raise
        if not self._connection.is_open:
            raise ExchangeError('the server closed the connection', sent=False)
