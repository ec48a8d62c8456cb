"""Steps on failing connections, over loopback sockets."""

import io
import socket as std_socket
from contextlib import AsyncExitStack

import curio
from behave import given, then, when
from curio import socket

from dandelionreel.http import Channel, ExchangeError, Request, Response
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
#: Seconds after which a request times out in these scenarios.
SHORT_TIMEOUT = 0.1
#: Seconds; longer than any operation here takes on any machine.
LONG_TIMEOUT = 30


def make_link(port):
    return PeerLink('127.0.0.1', port, 'me/1', SystemClock(), PeerClocks(), TrafficCounter())


def make_server():
    return PeerServer(
        'peer/1', SystemClock(), PeerClocks(), Journal(io.StringIO(), 'test'), TrafficCounter()
    )


async def send(link, size, timeout):
    """Send a request of ``size`` bytes; return its error, empty if it was answered."""
    try:
        await link.request(Forward(Request('POST', '/x', body=b'x' * size), timeout, 1), timeout)
    except PeerError as error:
        return f'{error}'
    return ''


@given('a peer that accepts connections and never reads')
@given('a server that accepts connections and never responds')
def silent_listener(context):
    context.listener = std_socket.create_server(('127.0.0.1', 0), backlog=50)
    context.port = context.listener.getsockname()[1]


@when('a large request is sent to it and a small one times out meanwhile')
def small_request_times_out(context):
    async def run_requests():
        link = make_link(context.port)
        large_request = await curio.spawn(send, link, LARGE_BODY_BYTES, 5 * SHORT_TIMEOUT)
        await curio.sleep(SHORT_TIMEOUT)
        small_error = await send(link, 1, SHORT_TIMEOUT)
        # Its socket reuses the number of the descriptor that was just closed.
        other_error = await send(make_link(context.port), 1, SHORT_TIMEOUT)
        await large_request.join()
        await link.close()
        return large_request.result, small_error, other_error, await query_working_peer()

    context.results = curio.run(run_requests)


async def query_working_peer():
    """Send a request to a working peer; return its error, empty if it was answered."""
    async with AsyncExitStack() as stack:
        server = make_server()

        async def answer(frame):
            return ForwardAnswer(Response(200))

        server.add_handler(Forward, answer)
        await server.start(stack, '127.0.0.1', 0)
        link = make_link(server.port)
        stack.push_async_callback(link.close)
        return await send(link, 1, LONG_TIMEOUT)


@then('both fail and the process can send requests to another peer')
def both_fail(context):
    large_error, small_error, other_error, working_peer_error = context.results
    assert large_error, context.results
    assert small_error, context.results
    assert other_error, context.results
    assert not working_peer_error, working_peer_error
    context.listener.close()


@given('a peer whose accept queue is full')
def full_queue(context):
    context.listener = std_socket.create_server(('127.0.0.1', 0), backlog=0)
    context.port = context.listener.getsockname()[1]
    context.filling = []
    for _ in range(3):
        filling = std_socket.socket()
        filling.setblocking(False)
        filling.connect_ex(('127.0.0.1', context.port))
        context.filling.append(filling)


@when('a request with a long timeout is sent to it')
def unreachable(context):
    async def run_requests():
        link = make_link(context.port)
        try:
            await link.request(Forward(Request('POST', '/x'), LONG_TIMEOUT, 1), LONG_TIMEOUT)
        except PeerError as error:
            return error
        finally:
            await link.close()
        return None

    async def run_with_limit():
        # Without a limit on connecting, the request would take LONG_TIMEOUT seconds.
        return await curio.ignore_after(LONG_TIMEOUT / 3, run_requests)

    context.error = curio.run(run_with_limit)


@then('it fails as not run long before its timeout')
def known_not_run(context):
    assert context.error is not None
    assert context.error.verdict is Verdict.NOT_RUN, context.error
    for sock in (*context.filling, context.listener):
        sock.close()


@when('a channel to it is closed while a request waits')
def channel_closed(context):
    async def run_requests():
        channel = Channel('127.0.0.1', context.port)
        request_task = await curio.spawn(exchange, channel)
        await curio.sleep(SHORT_TIMEOUT)
        await channel.close()
        request_error = await request_task.join()
        other_channel = Channel('127.0.0.1', context.port)
        second_result = await curio.ignore_after(SHORT_TIMEOUT, exchange, other_channel)
        await other_channel.close()
        return request_error, second_result, await query_working_peer()

    context.results = curio.run(run_requests)


async def exchange(channel):
    """Send a request on the channel; return its error, empty if it was answered."""
    try:
        await channel.exchange(Request('POST', '/x'), LONG_TIMEOUT)
    except ExchangeError as error:
        return f'{error}'
    return ''


@then('the request fails at once and the process can send requests to another server')
def request_fails(context):
    request_error, second_result, working_peer_error = context.results
    assert request_error, context.results
    assert second_result is None, context.results
    assert not working_peer_error, working_peer_error
    context.listener.close()


@given('a server that accepts connections and closes them')
def closing_listener(context):
    silent_listener(context)


@when('a request is sent to it on a channel')
def request_of_closing_server(context):
    async def accept_and_close():
        client, _ = await curio.run_in_thread(context.listener.accept)
        await curio.run_in_thread(client.recv, 1000)
        client.close()

    async def run_request():
        server = await curio.spawn(accept_and_close)
        channel = Channel('127.0.0.1', context.port)
        error = await exchange(channel)
        await server.join()
        await channel.close()
        return error, channel.received_at

    context.error, context.received_at = curio.run(run_request)


@then('the request fails, and nothing counts as received')
def check_nothing_received(context):
    assert context.error, context.error
    assert context.received_at == float('-inf'), context.received_at
    context.listener.close()


@given('a daemon that answers every request with 8 MB')
def large_answers(context):
    context.server = make_server()

    async def answer(frame):
        return ForwardAnswer(Response(200, (), b'x' * LARGE_ANSWER_BYTES))

    context.server.add_handler(Forward, answer)


@when('a peer sends a request, reads nothing and disconnects')
def requests_and_disconnects(context):
    async def run_peers():
        async with AsyncExitStack() as stack:
            await context.server.start(stack, '127.0.0.1', 0)
            for _ in range(3):
                await disconnect_unread(context.server.port)
            link = make_link(context.server.port)
            stack.push_async_callback(link.close)
            return await send(link, 1, LONG_TIMEOUT)

    context.request_error = curio.run(run_peers)


async def disconnect_unread(port):
    """Send a request, leave the answer unread and end the connection."""
    link = make_link(port)
    request_task = await curio.spawn(send, link, 1, SHORT_TIMEOUT)
    # The reading task of the link is cancelled before the answer arrives.
    while link._reader is None:
        await curio.sleep(0)
    await link._reader.cancel(blocking=False)
    await request_task.join()
    await link._sock.shutdown(socket.SHUT_RDWR)
    await link.close()
    await curio.sleep(SHORT_TIMEOUT)


@then('the daemon answers the next peer')
def answers_next(context):
    assert not context.request_error, context.request_error
