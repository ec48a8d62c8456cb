"""Steps on a daemon that stops while a client still sends a request."""

import socket
import time
from concurrent.futures import Future
from contextlib import AsyncExitStack, suppress
from http.client import HTTPException, HTTPResponse
from threading import Thread
from types import SimpleNamespace

import curio
from behave import given, when

from dandelionreel.http import Response, Server
from dandelionreel.kernel import SystemClock
from dandelionreel.life import InFlightCounter, Lifecycle
from features.store_parts import journal

TIMEOUT = 5
REQUEST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n'


def _read_answer(sock):
    """Return status and verdict; the status is 0 without a complete answer."""
    try:
        answer = HTTPResponse(sock)
        answer.begin()
        answer.read()
    except (OSError, HTTPException):
        return 0, 'none'
    return answer.status, answer.getheader('dandelionreel-verdict') or 'none'


async def _answer_daemon_request(request):
    return Response(200)


async def _write_nothing(*_):
    """Take a record in place of a stream."""


def _make_lifecycle(seconds):
    timings = SimpleNamespace(drain_balancer_lag=0.3, drain_limit=seconds)
    settings = SimpleNamespace(timings=timings)
    return Lifecycle(settings, SystemClock(), None, None, None, journal())


@given('a server of a daemon that drains for up to {seconds:g} s')
def use_daemon_server(context, seconds):
    context.drain_seconds = seconds


@when('a client sends a body whose end arrives after the balancer has noticed')
def send_to_daemon(context):
    async def stop():
        async with AsyncExitStack() as stack:
            server = Server(_answer_daemon_request)
            await server.start(stack, '127.0.0.1', 0)
            connected.set_result(server.port)
            await curio.sleep(0.2)
            in_flight = InFlightCounter()
            in_flight.add(lambda: server.requests_in_progress)
            claimer = SimpleNamespace(draining=False, owned_claims=tuple)
            writer = SimpleNamespace(write=_write_nothing)
            await _make_lifecycle(context.drain_seconds).drain(
                claimer, in_flight, writer, writer, 'm', server
            )

    connected = Future()
    thread = Thread(target=curio.run, args=(stop,), daemon=True)
    thread.start()
    with socket.create_connection(('127.0.0.1', connected.result(TIMEOUT)), TIMEOUT) as sock:
        sock.sendall(REQUEST + b'a')
        time.sleep(1.0)
        with suppress(OSError):
            sock.sendall(b'a')
        context.answer = _read_answer(sock)
    thread.join(TIMEOUT)
