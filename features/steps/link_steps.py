"""Steps on connections, over loopback sockets."""

import io
import socket as std_socket
from contextlib import AsyncExitStack

import curio
from behave import given, then, when
from curio import socket

from dandelionreel.http import Answer, Channel, ExchangeError, Request
from dandelionreel.kernel import Journal, SystemClock, Verdict
from dandelionreel.peers import (
    Forward,
    ForwardAnswer,
    PeerClocks,
    PeerError,
    PeerLink,
    PeerServer,
    TrafficCounter,
)

LARGE_BODY_BYTES = 30_000_000
LARGE_ANSWER_BYTES = 8_000_000
#: Seconds within which something gives up, and that nothing takes on any machine.
SHORT_TIMEOUT = 0.1
LONG_TIMEOUT = 30


def make_link(port):
    return PeerLink('127.0.0.1', port, 'me/1', SystemClock(), PeerClocks(), TrafficCounter())


def make_server():
    return PeerServer(
        'peer/1', SystemClock(), PeerClocks(), Journal(io.StringIO(), 'test'), TrafficCounter()
    )


async def send(link, size, timeout):
    """Return why a request failed, empty where it was answered."""
    try:
        await link.ask(Forward(Request('POST', '/x', body=b'x' * size), timeout, 1), timeout)
    except PeerError as error:
        return f'{error}'
    return ''


@given('a peer that takes connections and never reads')
@given('a server that takes connections and never answers')
def silent_listener(context):
    context.listener = std_socket.create_server(('127.0.0.1', 0), backlog=50)
    context.port = context.listener.getsockname()[1]


@when('a large request is sent to it, and a small one gives up meanwhile')
def one_gives_up(context):
    async def ask():
        link = make_link(context.port)
        large = await curio.spawn(send, link, LARGE_BODY_BYTES, 5 * SHORT_TIMEOUT)
        await curio.sleep(SHORT_TIMEOUT)
        small = await send(link, 1, SHORT_TIMEOUT)
        # Its descriptor gets the number of the one that was just given up.
        other = await send(make_link(context.port), 1, SHORT_TIMEOUT)
        await large.join()
        await link.close()
        return large.result, small, other, await query_working_peer()

    context.results = curio.run(ask)


async def query_working_peer():
    """Return why a peer that works did not answer."""
    async with AsyncExitStack() as stack:
        server = make_server()

        async def answer(frame):
            return ForwardAnswer(Answer(200))

        server.add_handler(Forward, answer)
        await server.start(stack, '127.0.0.1', 0)
        link = make_link(server.port)
        stack.push_async_callback(link.close)
        return await send(link, 1, LONG_TIMEOUT)


@then('both fail, and the process can ask another peer')
def both_fail(context):
    large, small, other, working_peer_failure = context.results
    assert large, context.results
    assert small, context.results
    assert other, context.results
    assert not working_peer_failure, working_peer_failure
    context.listener.close()


@given('a peer whose queue of connections is full')
def full_queue(context):
    context.listener = std_socket.create_server(('127.0.0.1', 0), backlog=0)
    context.port = context.listener.getsockname()[1]
    context.filling = []
    for _ in range(3):
        filling = std_socket.socket()
        filling.setblocking(False)
        filling.connect_ex(('127.0.0.1', context.port))
        context.filling.append(filling)


@when('a request is sent to it with all the time there is')
def unreachable(context):
    async def ask():
        link = make_link(context.port)
        try:
            await link.ask(Forward(Request('POST', '/x'), LONG_TIMEOUT, 1), LONG_TIMEOUT)
        except PeerError as error:
            return error
        finally:
            await link.close()
        return None

    async def ask_in_time():
        # Without a limit of its own a connection would take LONG seconds.
        return await curio.ignore_after(LONG_TIMEOUT / 3, ask)

    context.error = curio.run(ask_in_time)


@then('it is known not to have run long before that time is over')
def known_not_run(context):
    assert context.error is not None
    assert context.error.verdict is Verdict.NOT_RUN, context.error
    for sock in (*context.filling, context.listener):
        sock.close()


@when('a channel to it is closed while a request waits')
def channel_closed(context):
    async def ask():
        channel = Channel('127.0.0.1', context.port)
        waiting = await curio.spawn(exchange, channel)
        await curio.sleep(SHORT_TIMEOUT)
        await channel.close()
        failure = await waiting.join()
        other = Channel('127.0.0.1', context.port)
        again = await curio.ignore_after(SHORT_TIMEOUT, exchange, other)
        await other.close()
        return failure, again, await query_working_peer()

    context.results = curio.run(ask)


async def exchange(channel):
    """Return why a request failed."""
    try:
        await channel.exchange(Request('POST', '/x'), LONG_TIMEOUT)
    except ExchangeError as error:
        return f'{error}'
    return ''


@then('the request fails at once, and the process can ask another server')
def request_fails(context):
    failure, again, working_peer_failure = context.results
    assert failure, context.results
    assert again is None, context.results
    assert not working_peer_failure, working_peer_failure
    context.listener.close()


@given('a daemon that answers every question with 8 MB')
def large_answers(context):
    context.server = make_server()

    async def answer(frame):
        return ForwardAnswer(Answer(200, (), b'x' * LARGE_ANSWER_BYTES))

    context.server.add_handler(Forward, answer)


@when('a peer asks, reads nothing and hangs up')
def asks_and_hangs_up(context):
    async def run_peers():
        async with AsyncExitStack() as stack:
            await context.server.start(stack, '127.0.0.1', 0)
            for _ in range(3):
                await hang_up(context.server.port)
            link = make_link(context.server.port)
            stack.push_async_callback(link.close)
            return await send(link, 1, LONG_TIMEOUT)

    context.failure = curio.run(run_peers)


async def hang_up(port):
    """Ask, leave the answer unread and end the connection."""
    link = make_link(port)
    asking = await curio.spawn(send, link, 1, SHORT_TIMEOUT)
    # Nothing is read: the reader of the link is ended before the answer comes.
    while link._reader is None:
        await curio.sleep(0)
    await link._reader.cancel(blocking=False)
    await asking.join()
    await link._sock.shutdown(socket.SHUT_RDWR)
    await link.close()
    await curio.sleep(SHORT_TIMEOUT)


@then('the daemon answers the next peer')
def answers_next(context):
    assert not context.failure, context.failure
