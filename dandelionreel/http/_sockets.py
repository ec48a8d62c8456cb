"""TCP sockets with options that limit how long sent data may remain undelivered."""

import socket as std_socket
from contextlib import suppress
from typing import Any

from curio import socket

MILLISECONDS_PER_SECOND = 1000


class _OutgoingAddress:
    """The local address to which outgoing connections of this process are bound."""

    address = ''


def set_source_address(address: str) -> None:
    """Bind all outgoing connections of this process to ``address``."""
    _OutgoingAddress.address = address


async def connect(address: str, port: int, user_timeout: float) -> Any:
    """Open a connection that fails if sent data is unacknowledged for ``user_timeout`` seconds.

    Otherwise the kernel would retransmit for minutes, and an order to start a task that was sent
    before a network partition could arrive after the partition, when another owner may have
    filled the worker.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_socket_options(sock, user_timeout)
        if _OutgoingAddress.address:
            sock.bind((_OutgoingAddress.address, 0))
        await sock.connect((address, port))
    except BaseException:
        await sock.close()
        raise
    return sock


async def shut_down(sock: Any) -> None:
    """Shut down a connection on which another task may wait; that task closes it.

    If the socket were closed while another task waits on it, its descriptor would stay in
    curio's selector. Once another connection reuses the descriptor's number, the next timeout
    of the waiting task would fail in the selector and end the whole process. A shutdown
    wakes the waiting task instead.
    """
    with suppress(OSError):
        await sock.shutdown(std_socket.SHUT_RDWR)


def _set_socket_options(sock: Any, user_timeout: float) -> None:
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(
        std_socket.IPPROTO_TCP,
        std_socket.TCP_USER_TIMEOUT,
        int(user_timeout * MILLISECONDS_PER_SECOND),
    )


def listen(address: str, port: int, receive_buffer: int = 0) -> Any:
    """Bind and listen; raises ``OSError`` if the address is in use.

    ``receive_buffer`` bounds the bytes that each accepted connection holds unread, 0 leaves the
    bound to the system.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
    if receive_buffer:
        # Accepted connections inherit it; the window is offered before a connection is accepted.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    try:
        sock.bind((address, port))
    except OSError:
        sock._socket.close()
        raise
    sock.listen(std_socket.SOMAXCONN)
    return sock
