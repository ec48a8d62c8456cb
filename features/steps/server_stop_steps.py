"""Steps on a server that stops while clients still use it."""

import io
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import AsyncExitStack, suppress
from http.client import HTTPResponse
from threading import Event, Thread
from unittest.mock import patch

import curio
from behave import given, then, when

from dandelionreel import entry_stop
from dandelionreel.entry_stop import HostStop
from dandelionreel.http import Request, Response, Server, ServerLimits, problem_response
from dandelionreel.kernel import Journal, Problem, SystemClock, Verdict
from dandelionreel.peers import (
    Forward,
    ForwardAnswer,
    PeerClocks,
    PeerLink,
    PeerServer,
    TrafficCounter,
)
from features.store_parts import journal

TIMEOUT = 5
BODY = 'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {0}\r\n\r\n'


class StoppingServer:
    """A server with the stop of an entry host, in a thread of its own."""

    def __init__(self, grace=2.5, limits=None):
        self.grace = grace
        #: Seconds for which the process does nothing at the start of its stop.
        self.late_seconds = 0
        self.work_seconds = 0
        self.response = Response(200)
        self.deletion_seconds = 0
        self.stop_seconds = None
        self.log = io.StringIO()
        self.peer_port = 0
        self.is_stopping = False
        self._limits = limits
        self._ready = Event()
        self._stop = Event()
        self.deleting = Event()
        self._thread = Thread(target=curio.run, args=(self._serve,), daemon=True)

    def start(self):
        self._thread.start()
        assert self._ready.wait(TIMEOUT)

    def stop(self):
        self._stop.set()

    def close(self):
        self._stop.set()
        self._thread.join(2 * TIMEOUT)
        assert not self._thread.is_alive()

    def connect(self):
        return socket.create_connection(('127.0.0.1', self.port), TIMEOUT)

    async def _serve(self):
        async with AsyncExitStack() as stack:
            server = Server(self._answer, self._limits, lambda: self.is_stopping)
            await server.start(stack, '127.0.0.1', 0)
            peers = PeerServer('h/1', SystemClock(), PeerClocks(), journal(), TrafficCounter())
            peers.add_handler(Forward, self._answer_forward)
            await peers.start(stack, '127.0.0.1', 0)
            self.port, self.peer_port = server.port, peers.port
            self._ready.set()
            while not self._stop.is_set():
                await curio.sleep(0.005)
            self.is_stopping = True
            began = time.monotonic()
            log = Journal(self.log, 'test')
            log.open()
            stack.callback(log.close)
            stop = HostStop(server, peers, self.grace, SystemClock(), log)
            await stop.run(self._be_late, self._delete_member_record)
            self.stop_seconds = time.monotonic() - began

    async def _answer(self, request):
        await curio.sleep(self.work_seconds)
        if self.response is None:
            raise curio.TaskTimeout(self.work_seconds)
        return self.response

    async def _answer_forward(self, frame):
        await curio.sleep(self.work_seconds)
        return ForwardAnswer(Response(200), no_room=False)

    async def _be_late(self):
        time.sleep(self.late_seconds)

    async def _delete_member_record(self):
        self.deleting.set()
        await curio.sleep(self.deletion_seconds)


def _read_answer(sock, method='GET'):
    """Return status and verdict; the status is 0 without a complete answer."""
    try:
        answer = HTTPResponse(sock, method=method)
        answer.begin()
        answer.read()
    except OSError:
        return 0, 'none'
    return answer.status, answer.getheader('dandelionreel-verdict') or 'none'


def _begin(context, **settings):
    for name, setting in settings.items():
        setattr(context.server, name, setting)
    context.server.start()


def _send_unaccepted(context):
    _begin(context, late_seconds=0.8)
    context.server.stop()
    time.sleep(0.4)
    sock = context.server.connect()
    sock.sendall(BODY.format(0).encode())
    return sock


def _send_unread(context):
    _begin(context, late_seconds=0.8)
    sock = context.server.connect()
    time.sleep(0.1)
    context.server.stop()
    time.sleep(0.4)
    sock.sendall(BODY.format(0).encode())
    return sock


def _send_in_halves(context, first, second):
    _begin(context)
    sock = context.server.connect()
    context.server.stop()
    time.sleep(0.2)
    sock.sendall(first)
    time.sleep(0.5)
    sock.sendall(second)
    return sock


def _send_head_in_halves(context):
    head = BODY.format(0).encode()
    return _send_in_halves(context, head[:20], head[20:])


def _send_body_in_halves(context):
    return _send_in_halves(context, BODY.format(4).encode() + b'ab', b'cd')


def _send_during_deletion(context):
    # The request is not in progress yet when the deletion begins.
    _begin(context, deletion_seconds=0.3, work_seconds=0.4)
    head = BODY.format(0).encode()
    sock = context.server.connect()
    context.server.stop()
    sock.sendall(head[:20])
    assert context.server.deleting.wait(TIMEOUT)
    time.sleep(0.1)
    sock.sendall(head[20:])
    return sock


def _send_long_call(context, method='POST'):
    _begin(context, work_seconds=30)
    sock = context.server.connect()
    sock.sendall(BODY.replace('POST', method).format(0).encode())
    context.server.stop()
    return sock


def _send_beyond_grace(context):
    context.server.late_seconds = 1.6
    return _send_long_call(context)


def _send_long_read(context):
    return _send_long_call(context, 'GET')


def _send_late_call(context):
    _begin(context, deletion_seconds=30)
    sock = context.server.connect()
    context.server.stop()
    sock.sendall(BODY.format(4).encode() + b'ab')
    time.sleep(1.3)
    sock.sendall(b'cd')
    return sock


def _send_half_a_body(context):
    _begin(context)
    sock = context.server.connect()
    sock.sendall(BODY.format(4).encode() + b'ab')
    context.server.stop()
    return sock


def _send_held_up(context):
    # The request crosses the close, as one of which a segment was lost.
    _begin(context)
    sock = context.server.connect()
    context.server.stop()
    time.sleep(0.7)
    sock.sendall(BODY.format(0).encode())
    return sock


SENDERS = {
    'a new connection that the late process has not yet accepted': _send_unaccepted,
    'bytes that the late process has not yet read': _send_unread,
    'a POST that is at work while the process is late beyond its grace': _send_beyond_grace,
    'a head whose end arrives after the notice': _send_head_in_halves,
    'a body whose end arrives after the notice': _send_body_in_halves,
    'a call while the member record is being deleted': _send_during_deletion,
    'a POST that is at work until the end of the grace': _send_long_call,
    'a GET that is at work until the end of the grace': _send_long_read,
    'a POST whose end comes when the grace has nearly ended': _send_late_call,
    'a body whose end never arrives': _send_half_a_body,
    'bytes that are held up until their idle connection has been closed': _send_held_up,
}


@given(
    'a server that stops within {grace:g} seconds, {notice:g} of them until the balancer has noticed'
)
def use_stopping_server(context, grace, notice):
    context.stack.enter_context(patch.object(entry_stop, 'BALANCER_NOTICE_SECONDS', notice))
    context.server = StoppingServer(grace)
    context.stack.callback(context.server.close)


@given('a server that reads bodies of up to {size:d} bytes')
def use_server_of_small_bodies(context, size):
    context.server = StoppingServer(limits=ServerLimits(body_bytes=size))
    context.stack.callback(context.server.close)
    context.server.start()


@given('a server with a limit of {count:d} connections')
def use_server_of_few_connections(context, count):
    context.server = StoppingServer(limits=ServerLimits(connections=count))
    context.stack.callback(context.server.close)
    context.server.start()


@given('a server that closes connections after {seconds:g} idle seconds')
def use_server_of_short_idle_time(context, seconds):
    context.server = StoppingServer(limits=ServerLimits(idle_seconds=seconds))
    context.stack.callback(context.server.close)
    context.server.start()


@when('a client sends a request {seconds:g} seconds after it has connected')
def send_after_idle_time(context, seconds):
    sock = context.stack.enter_context(context.server.connect())
    time.sleep(seconds)
    sock.sendall(BODY.format(0).encode())
    context.answer = _read_answer(sock)


@when('a client sends a request as {way}')
def send_request(context, way):
    sock = context.stack.enter_context(SENDERS[way](context))
    context.answer = _read_answer(sock)


@when(
    '{count:d} clients are idle for {seconds:g} seconds, a third one connects '
    'and the first one sends a request'
)
def send_on_connection_that_gives_way(context, count, seconds):
    socks = [context.stack.enter_context(context.server.connect()) for _ in range(count)]
    time.sleep(seconds)
    context.stack.enter_context(context.server.connect())
    time.sleep(0.2)
    with suppress(OSError):
        socks[0].sendall(BODY.format(0).encode())
        time.sleep(0.2)
    context.answer = _read_answer(socks[0])


@when('a client sends a body of {size:d} bytes')
def send_large_body(context, size):
    sock = context.stack.enter_context(context.server.connect())
    with ThreadPoolExecutor(1) as pool:
        sent = pool.submit(sock.sendall, BODY.format(size).encode() + b'a' * size)
        context.answer = _read_answer(sock)
        sock.close()
        sent.exception(TIMEOUT)


@when('{count:d} clients keep connections open and a third one sends a request')
def send_beyond_limit(context, count):
    for _ in range(count):
        context.stack.enter_context(context.server.connect())
    time.sleep(0.1)
    sock = context.stack.enter_context(context.server.connect())
    sock.sendall(BODY.format(0).encode())
    context.answer = _read_answer(sock)


@when(
    '{served:d} clients are served, {refused:d} more are refused, the first {left:d} leave and '
    'another one sends a request'
)
def connect_after_others_left(context, served, refused, left):
    def send_request():
        sock = context.stack.enter_context(context.server.connect())
        sock.sendall(BODY.format(0).encode())
        return sock, _read_answer(sock)

    first = [send_request() for _ in range(served)]
    assert all(answer == (200, 'none') for _, answer in first), first
    others = [send_request() for _ in range(refused)]
    assert all(answer == (503, 'not_run') for _, answer in others), others
    for sock, _ in first[:left]:
        sock.close()
    time.sleep(0.1)
    context.answer = send_request()[1]


@when('a client sends a request whose handler lets a timeout escape')
def send_with_escaping_timeout(context):
    context.server.response = None
    sock = context.stack.enter_context(context.server.connect())
    sock.sendall(BODY.format(0).encode())
    context.answer = _read_answer(sock)


@when('a client sends a HEAD request, and the answer of the server has a body')
def send_head(context):
    problem = Problem(Verdict.NOT_RUN, 405, 'bad-method', 'use another method')
    context.server.response = problem_response(problem)
    sock = context.stack.enter_context(context.server.connect())
    sock.sendall(b'HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n')
    context.answer = _read_answer(sock, 'HEAD')


@when('a client keeps a connection open, sends nothing and {end}')
def keep_idle(context, end):
    context.server.start()
    sock = context.stack.enter_context(context.server.connect())
    time.sleep(0.1)
    context.server.stop()
    context.answer = _read_answer(sock)
    context.rest = sock.recv(1)
    if end == 'closes it after the answer':
        sock.close()


@when('the store never answers the deletion of its member record')
def delete_in_vain(context):
    _begin(context, deletion_seconds=30)
    context.server.stop()


@when('a request is at work and a client connects after the notice')
def connect_late(context):
    sock = context.stack.enter_context(_send_long_call(context))
    time.sleep(0.8)
    try:
        context.stack.enter_context(context.server.connect())
    except ConnectionRefusedError as error:
        context.refusal = error
    _read_answer(sock)


@when('a peer forwards a request that is at work for {seconds:g} seconds')
def forward_request(context, seconds):
    _begin(context, work_seconds=seconds)

    async def forward():
        link = PeerLink(
            '127.0.0.1',
            context.server.peer_port,
            'me/1',
            SystemClock(),
            PeerClocks(),
            TrafficCounter(),
        )
        async with AsyncExitStack() as stack:
            stack.push_async_callback(link.close)
            context.server.stop()
            frame = await link.request(Forward(Request('POST', '/a'), TIMEOUT, 1), TIMEOUT)
            return frame.message.response.status

    context.forwarded_status = curio.run(forward)


@then('the forwarded request gets the status {status:d}')
def check_forwarded(context, status):
    assert context.forwarded_status == status


@then('the connection of the client is refused')
def check_refused(context):
    assert context.refusal


@then('its connection has been closed by the server')
def check_closed(context):
    assert context.rest == b''


@then('the caller gets the status {status:d} and the verdict {verdict}')
def check_answer(context, status, verdict):
    assert context.answer == (status, verdict), context.answer


@then('the log names the request {request} that has crossed the close of its connection')
def check_log(context, request):
    context.server.close()
    assert f'refuses {request}, sent as its connection' in context.server.log.getvalue()
    assert '"crossed":1' in context.server.log.getvalue(), context.server.log.getvalue()


@then('the stop has taken between {least:g} and {most:g} seconds')
def check_stop_time(context, least, most):
    context.server.close()
    assert least <= context.server.stop_seconds <= most, context.server.stop_seconds
