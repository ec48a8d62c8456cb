"""Clients that use open connections to a host until its process is gone."""

import json
import random
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http.client import HTTPException, HTTPResponse
from threading import Thread

#: Seconds that a client waits for an answer.
ANSWER_TIMEOUT = 10.0
#: Seconds after the last byte of a request within which its connection may still be closed: a host
#: may close an idle connection while a request is on its way.
CLOSE_SLACK_SECONDS = 0.2
RECONNECT_SECONDS = 0.02
REQUEST = (
    '{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 3000\r\n'
    'Content-Length: {length}\r\n\r\n'
)


@dataclass(frozen=True)
class ClientExchange:
    """A request that was sent whole; times are monotonic seconds.

    Without a complete answer, ``status`` is 0.
    """

    path: str
    sent_at: float
    ended_at: float
    status: int

    @property
    def is_cut(self) -> bool:
        """Return whether the host took the request and neither answered nor refused it."""
        seconds = self.ended_at - self.sent_at
        return self.status == 0 and seconds > CLOSE_SLACK_SECONDS


@dataclass(frozen=True)
class ClientPace:
    """Seconds before the first request and, at most, between two requests."""

    first: float = 0.0
    pause: float = 0.05


def make_platform_request(rng: random.Random) -> tuple[str, bytes]:
    """Return path and content of a request on a job of the queue ``plain``."""
    path = f'/plain/{rng.getrandbits(64):016x}'
    if rng.randrange(10) < 3:
        return path, encode_request('GET', path)
    steps = [{'count': 1, 'cpu': 100, 'mem_mb': 1, 'estimate_ms': 20}]
    return path, encode_request('POST', path, {'spec': '100 0.02', 'steps': steps})


def encode_request(method: str, path: str, body: object = None) -> bytes:
    """Return a request whose client waits for three seconds."""
    content = b'' if body is None else json.dumps(body).encode()
    head = REQUEST.format(method=method, path=path, length=len(content))
    return head.encode() + content


class PersistentClients:
    """Sends requests to one host on kept connections, each client on one of its own."""

    def __init__(
        self,
        address: tuple[str, int],
        is_gone: Callable[[], bool],
        seed: str,
        make_request: Callable[[random.Random], tuple[str, bytes]] = make_platform_request,
    ) -> None:
        """Send to ``address`` until ``is_gone()``; ``make_request`` returns path and content."""
        self._address = address
        self._is_gone = is_gone
        self._seed = seed
        self._make_request = make_request
        self._threads: list[Thread] = []
        self.exchanges: list[ClientExchange] = []

    def start(self, paces: Iterable[ClientPace]) -> None:
        """Connect one client for each pace."""
        for pace in paces:
            number = len(self._threads)
            sock = self._connect()
            rng = random.Random(f'{self._seed}/{number}')
            thread = Thread(target=self._run, args=(sock, pace, rng), daemon=True)
            self._threads.append(thread)
            thread.start()

    def join(self) -> list[ClientExchange]:
        """Wait until the process is gone and all clients have ended; return the exchanges."""
        for thread in self._threads:
            thread.join()
        return self.exchanges

    def _connect(self) -> socket.socket | None:
        try:
            return socket.create_connection(self._address, ANSWER_TIMEOUT)
        except OSError:
            return None

    def _run(self, sock: socket.socket | None, pace: ClientPace, rng: random.Random) -> None:
        time.sleep(pace.first)
        while True:
            if sock is not None and not self._exchange(sock, rng):
                sock.close()
                sock = None
            if self._is_gone():
                return
            if sock is None:
                time.sleep(RECONNECT_SECONDS)
                sock = self._connect()
                continue
            time.sleep(rng.uniform(0, pace.pause))

    def _exchange(self, sock: socket.socket, rng: random.Random) -> bool:
        """Send one request and read the answer; return whether the connection stays open."""
        path, content = self._make_request(rng)
        try:
            sock.sendall(content)
        except OSError:
            return False
        sent_at = time.monotonic()
        answer = HTTPResponse(sock)
        try:
            answer.begin()
            answer.read()
        except (OSError, HTTPException):
            self.exchanges.append(ClientExchange(path, sent_at, time.monotonic(), 0))
            return False
        self.exchanges.append(ClientExchange(path, sent_at, time.monotonic(), answer.status))
        return not answer.will_close
