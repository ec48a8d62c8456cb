"""Steps on processes whose clients do not stay within the limits."""

import json
import select
from itertools import repeat

from behave import given, then, when

from dandelionreel.http import ServerLimits
from features.cells import contract, job
from features.client_crowd import (
    FINISHING_SHARE,
    MISSING_BYTES,
    Crowd,
    ProcessUsage,
    make_chunks,
    split,
)
from features.steps.platform_steps import make_job
from features.steps.server_stop_steps import StoppingServer
from standins import Cluster, EntryHosts, Layout, UsersPlatform, wait_for
from standins._entry_hosts import PEERS_PORT, READINESS_PORT

ADDRESS_BLOCK = 236
HOST = 'entry-1'
#: The largest body within the limits of the platform's pages, and of a daemon.
HOST_BODY_BYTES = 262_144
DAEMON_BODY_BYTES = 1_048_576
#: Far over the limit of any body.
OVERSIZE_BYTES = 8_000_000
HEAD_BYTES = 16_000
#: Descriptors of a daemon: its connections, those that it refuses, and its own.
DAEMON_DESCRIPTORS = 800
MEGABYTE = 1_048_576
FRAME_BYTES = 8_388_608
#: Bytes of chunks that are very small, and of their content in one body.
TINY_CHUNK_BYTES = 1
TINY_BODY_BYTES = 200_000
#: Seconds for which a job is repeated until it is accepted; clients come back sooner.
RETRY_SECONDS = 30


class HostTarget:
    """An entry host, its platform, and the requests that it takes."""

    body_bytes = HOST_BODY_BYTES
    document = make_job()

    def __init__(self, stack, megabytes, descriptors):
        platform = UsersPlatform(runners=1)
        platform.start()
        stack.callback(platform.stop)
        platform.configure()
        self._hosts = EntryHosts(platform, 1, ADDRESS_BLOCK)
        self._hosts.memory_mb = megabytes
        self._hosts.max_fds = descriptors
        stack.callback(self._hosts.close)
        self._hosts.start(HOST)
        self._hosts.wait_ready()
        self.descriptors = descriptors
        self.address = self._hosts.client_address_of(HOST)
        self.process = self._hosts.process_by_name[HOST]

    def head(self, number, *lines):
        path = f'POST /plain/{number:016x} HTTP/1.1'
        return '\r\n'.join((path, 'Host: desk.example', *lines)).encode()

    def submit(self, body):
        return self._hosts.request(HOST, 'POST', f'/plain/{0:016x}', body).status


class DaemonTarget:
    """A daemon of the product's own interface, and the requests that it takes."""

    body_bytes = DAEMON_BODY_BYTES
    document = job()
    descriptors = DAEMON_DESCRIPTORS

    def __init__(self, stack):
        layout = Layout(zones=('here',), workers=1, endpoints=0)
        self._cell = stack.enter_context(Cluster(layout))
        assert self._cell.publish(contract()).status == 200
        (daemon,) = self._cell.daemons.values()
        self._name = daemon.name
        self.address = daemon.address, daemon.caller_port
        self.process = daemon.process

    def head(self, number, *lines):
        path = 'POST /v1/jobs HTTP/1.1'
        return '\r\n'.join((path, 'Host: cell', f'X-Number: {number}', *lines)).encode()

    def submit(self, body):
        headers = {'idempotency-key': 'first'}
        try:
            reply = self._cell.request_as_caller(self._name, 'POST', '/v1/jobs', body, headers)
        except OSError:
            return 0
        return 200 if reply.status == 202 else reply.status


def _announced(target, number, body, size=None):
    return target.head(number, f'Content-Length: {size or len(body)}', '', '') + body


def _chunked(target, number, body, chunk_bytes):
    head = target.head(number, 'Transfer-Encoding: chunked', '', '')
    return head + make_chunks(body, chunk_bytes)


def _legal_body(target, size=None):
    body = json.dumps(target.document).encode()
    return body.ljust(size or target.body_bytes)


def _stop_short(payloads):
    """Leave the last bytes of most payloads out."""
    return [
        split(payload if number % FINISHING_SHARE == 0 else payload[:-MISSING_BYTES])
        for number, payload in enumerate(payloads)
    ]


def _numbers(count):
    return range(1, count + 1)


def announce_oversize(target, count):
    body = bytes(OVERSIZE_BYTES)
    return [split(_announced(target, number, body)) for number in _numbers(count)]


def send_oversize_chunked(target, count):
    body = bytes(OVERSIZE_BYTES)
    return [split(_chunked(target, number, body, 65_536)) for number in _numbers(count)]


def send_more_than_announced(target, count):
    body = bytes(OVERSIZE_BYTES)
    return [
        split(_announced(target, number, body, target.body_bytes)) for number in _numbers(count)
    ]


def send_whole(target, count):
    body = _legal_body(target)
    return [[_announced(target, number, body)] for number in _numbers(count)]


def send_pieces(target, count):
    body = _legal_body(target)
    return _stop_short(_announced(target, number, body) for number in _numbers(count))


def send_large_chunks(target, count):
    body = _legal_body(target)
    return _stop_short(_chunked(target, number, body, 65_536) for number in _numbers(count))


def send_tiny_chunks(target, count):
    body = _legal_body(target, TINY_BODY_BYTES)
    return _stop_short(
        _chunked(target, number, body, TINY_CHUNK_BYTES) for number in _numbers(count)
    )


def send_endless_heads(target, count):
    line = f'X-Long: {"x" * HEAD_BYTES}'
    return [split(target.head(number, line)) for number in _numbers(count)]


def send_many_fields(target, count):
    lines = ('Content-Length: 20', *('a:' for _ in range(HEAD_BYTES // 4 - 40)), '', '')
    return [split(target.head(number, *lines)) for number in _numbers(count)]


def send_nothing(target, count):
    return list(repeat((), count))


def send_pipelined(target, count):
    request = target.head(1, 'Content-Length: 0', '', '').replace(b'POST', b'GET')
    requests = request * (OVERSIZE_BYTES // 4 // len(request))
    return [split(requests) for _ in range(count)]


def send_many_steps(target, count):
    steps = b','.join(repeat(b'{}', target.body_bytes // 3 - 20))
    body = b'{"spec":"","steps":[%b]}' % steps
    return [[_announced(target, number, body)] for number in _numbers(count)]


CROWDS = {
    'announce bodies far over the limit': announce_oversize,
    'send bodies far over the limit in chunks': send_oversize_chunked,
    'send far more than they announce': send_more_than_announced,
    'send large bodies whole': send_whole,
    'send large bodies piece by piece and stop short': send_pieces,
    'send large bodies in large chunks and stop short': send_large_chunks,
    'send bodies in very small chunks and stop short': send_tiny_chunks,
    'send large heads without an end': send_endless_heads,
    'send heads of many fields and no body': send_many_fields,
    'send no request': send_nothing,
    'send requests and read no answers': send_pipelined,
    'send large bodies of tiny steps': send_many_steps,
}


@given('an entry host with {megabytes:d} MB of memory and {descriptors:d} descriptors')
def start_entry_host(context, megabytes, descriptors):
    context.megabytes = megabytes
    context.target = HostTarget(context.stack, megabytes, descriptors)


@given('a daemon with {megabytes:d} MB of memory')
def start_daemon(context, megabytes):
    context.megabytes = megabytes
    context.target = DaemonTarget(context.stack)


@when('{count:d} clients {behave} and stay connected')
def gather_crowd(context, count, behave):
    crowd = Crowd(context.target.address)
    context.stack.callback(crowd.close)
    crowd.send(CROWDS[behave](context.target, count))


@when('{count:d} clients of the readiness check send large bodies and stop short')
def gather_readiness_crowd(context, count):
    crowd = Crowd((context.target.address[0], READINESS_PORT))
    context.stack.callback(crowd.close)
    body = bytes(DAEMON_BODY_BYTES)
    crowd.send(_stop_short(_announced(context.target, number, body) for number in _numbers(count)))


@when('{count:d} clients of the peers send large frames and stop short')
def gather_peer_crowd(context, count):
    crowd = Crowd((context.target.address[0], PEERS_PORT))
    context.stack.callback(crowd.close)
    frame = FRAME_BYTES.to_bytes(4, 'big') + bytes(FRAME_BYTES - MISSING_BYTES)
    crowd.send([split(frame) for _ in range(count)])


@then('the process lives within its memory and descriptors')
def check_usage(context):
    usage = ProcessUsage(context.target.process, context.target.address)
    usage.wait_until_settled()
    assert usage.is_alive
    figures = {
        'peak MB': usage.peak_bytes / MEGABYTE,
        'held MB': usage.held_bytes / MEGABYTE,
        'descriptors': usage.descriptors,
    }
    print(figures)
    assert max(figures['peak MB'], figures['held MB']) <= context.megabytes, figures
    assert figures['descriptors'] <= context.target.descriptors, figures


@then('an ordinary job is accepted')
def check_ordinary_job(context):
    body = json.dumps(context.target.document).encode()
    statuses = []

    def is_accepted():
        statuses.append(context.target.submit(body))
        return statuses[-1] == 200

    try:
        wait_for(is_accepted, RETRY_SECONDS)
    except TimeoutError:
        raise AssertionError(f'answered {statuses}') from None


@then('a job of the largest size is accepted')
def check_largest_job(context):
    assert context.target.submit(_legal_body(context.target)) == 200


@given('a server that waits {seconds:g} seconds for a request')
def start_impatient_server(context, seconds):
    context.server = StoppingServer(limits=ServerLimits(read_seconds=seconds))
    context.stack.callback(context.server.close)
    context.server.start()


@when('a client sends {count:d} bytes of a head, one every {pause:g} seconds')
def trickle_head(context, count, pause):
    context.sock = context.stack.enter_context(context.server.connect())
    context.unsent = count
    while context.unsent and not select.select([context.sock], [], [], pause)[0]:
        context.sock.sendall(b'G')
        context.unsent -= 1


@then('it gets the status {status:d} before it has sent them all')
def check_trickle_refused(context, status):
    assert context.unsent
    assert context.sock.recv(64).startswith(f'HTTP/1.1 {status} '.encode())
