"""Steps of an owner that is paused between its check of a runner and a start."""

import json
import socket
import time
from threading import Event, Thread

import curio
from behave import given, then, when

from dandelionreel.cell.model import (
    Demand,
    Registration,
    RunnerError,
    StartOrder,
    TaskName,
)
from dandelionreel.kernel import Verdict
from dandelionreel.platform import HttpRunner

INCARNATION = 5
ORDER = StartOrder(TaskName('a' * 16, 0, 0, 0), 1, 'work', 1, 9.0, verify_peer=True)
#: Checks that an order makes: when its connection is opened, and right before the start.
CHECKS = 2
READ_SIZE = 65_536


def _serve_until_checked(context, listener):
    client, _ = listener.accept()
    view = {'clock_ms': 1000, 'running': [], 'finished': [], 'born': INCARNATION}
    body = json.dumps(view).encode()
    for _ in range(CHECKS):
        client.recv(READ_SIZE)
        client.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body) + body)
    context.is_checked.set()
    time.sleep(context.seconds)
    client.close()


@given('a runner whose process ends {seconds:g} s after it has answered a check')
def ending_runner(context, seconds):
    context.seconds = seconds
    context.is_checked = Event()
    listener = context.stack.enter_context(socket.create_server(('127.0.0.1', 0)))
    context.port = listener.getsockname()[1]
    Thread(target=_serve_until_checked, args=(context, listener), daemon=True).start()


@when('an owner is paused for {seconds:g} s between the check and the start')
def pause_owner(context, seconds):
    registration = Registration(
        'i-1@5', 's', '127.0.0.1', context.port, 'z', Demand(), (), False, incarnation=INCARNATION
    )

    async def pause():
        while not context.is_checked.is_set():
            await curio.sleep(0.001)
        time.sleep(seconds)

    async def start():
        runner = HttpRunner(registration)
        pausing = await curio.spawn(pause)
        try:
            await runner.start_task(ORDER, lambda: True)
        finally:
            await pausing.join()
            await runner.close()

    try:
        curio.run(start)
    except RunnerError as error:
        context.error = error


@then('the start may have arrived, and nothing is known of the process at that time')
def check_unproven(context):
    assert context.error.verdict is Verdict.UNKNOWN, context.error
    assert context.error.connection_broken and not context.error.was_alive, context.error
