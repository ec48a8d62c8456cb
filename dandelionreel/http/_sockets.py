"""TCP sockets with the options that bound how long bytes may stay in flight."""

import socket as std_socket
from contextlib import suppress
from typing import Any

from curio import socket

MILLISECONDS = 1000


class _OutgoingAddress:
    """The local address of this process's outgoing connections."""

    address = ''


def set_source_address(address: str) -> None:
    """Let all outgoing connections of this process leave from ``address``."""
    _OutgoingAddress.address = address


async def connect(address: str, port: int, user_timeout: float) -> Any:
    """Open a connection whose unacknowledged bytes are given up after ``user_timeout`` seconds.

    The kernel would resend them for minutes, and a start that was written before a partition would
    arrive after it, when another owner may have filled the worker.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_options(sock, user_timeout)
        if _OutgoingAddress.address:
            sock.bind((_OutgoingAddress.address, 0))
        await sock.connect((address, port))
    except BaseException:
        await sock.close()
        raise
    return sock


async def shut_down(sock: Any) -> None:
    """End a connection on which another task may wait; that task closes it.

    Closed under its feet, the descriptor stays in curio's selector. Once another
    connection has the same number, the next time-out of the waiting task fails in
    the selector and ends the whole process. After a shutdown the task wakes up.
    """
    with suppress(OSError):
        await sock.shutdown(std_socket.SHUT_RDWR)


def _set_options(sock: Any, user_timeout: float) -> None:
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(
        std_socket.IPPROTO_TCP,
        std_socket.TCP_USER_TIMEOUT,
        int(user_timeout * MILLISECONDS),
    )


def listen(address: str, port: int) -> Any:
    """Bind and listen; raises ``OSError`` when the address is taken."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
    try:
        sock.bind((address, port))
    except OSError:
        sock._socket.close()
        raise
    sock.listen(std_socket.SOMAXCONN)
    return sock
