"""Steps for an owner that is short of processor time."""

import re
import socket
import threading
import time
from types import SimpleNamespace

import curio
from behave import given, then, when

from dandelionreel.cell.decisions import MAX_CLOCK_DRIFT
from dandelionreel.cell.membership import AdviceTrace
from dandelionreel.cell.model import (
    OWNER_KEY,
    KeyedRecord,
    Permit,
    StartAnswer,
    StartReply,
    StepName,
)
from dandelionreel.cell.model._records import Member
from dandelionreel.cell.owner._dispatcher import MIN_PLAN_PAUSE_SECONDS
from dandelionreel.cell.owner._load_report import LoadReport
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.cell.owner._pacing import Pacing
from dandelionreel.cell.owner._periodic_checks import CHECK_SECONDS, PeriodicChecks
from dandelionreel.cell.owner._predecessor_leases import lease_upper_bound
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.cell.owner._succession import Succession
from dandelionreel.entry_metrics import EntryMetrics
from dandelionreel.kernel import ManualClock, SystemClock
from dandelionreel.peers import Done, Frame, OwnerAsked
from dandelionreel.peers._link import PeerLink
from features.cell_parts import SmallCell, step
from features.steps.claim_steps import send_heartbeats
from features.steps.report_steps import RecordingJournal
from features.store_parts import Host, make_dispatcher, make_owner_context
from standins import MemoryTopic

SAMPLE_SECONDS = 0.1
PERIOD = re.compile(r'([\d.]+) s late for ([\d.]+) s')


def record_delays(pacing, delay, seconds, now):
    """Record the delay of each wake-up of the loop for some seconds; return the time after."""
    until_at = now + seconds
    while now + SAMPLE_SECONDS + delay <= until_at + 0.001:
        now += SAMPLE_SECONDS + delay
        pacing.record_delay(delay, now)
    return now


def make_pacing(state, now=1000.0):
    pacing = Pacing()
    if state == 'late':
        now = record_delays(pacing, 0.3, 2.0, now)
    assert pacing.is_late is (state == 'late')
    return pacing, now


@given('an owner whose loop wakes up {history}')
def loop_history(context, history):
    context.pacing = Pacing()
    now = 1000.0
    for delay, seconds in PERIOD.findall(history):
        now = record_delays(context.pacing, float(delay), float(seconds), now)


@then('it counts as {state}')
def check_lateness(context, state):
    assert context.pacing.is_late is (state == 'late'), context.pacing.delay


@given('an owner that is {state}')
def paced_owner(context, state):
    context.small = SmallCell(runners=('w1',))
    context.clock = ManualClock(context.small.now)
    context.owner = make_owner_context(context.small.cell, context.clock)
    context.owner.pacing, now = make_pacing(state, context.small.now)
    context.clock.advance(now - context.clock.monotonic())
    context.small.now = now
    context.small.poll('w1')
    context.pacing = context.owner.pacing
    context.orders = OrderSender(context.owner)


@then(
    'it plans every {pause:g} s, sends {starts:d} starts at once and polls idle runners for {poll:g} s'
)
def check_limits(context, pause, starts, poll):
    state = context.small.cell.runner_by_id['w1']
    assert context.pacing.plan_pause(MIN_PLAN_PAUSE_SECONDS) == pause
    assert context.orders.free_start_slots == starts
    assert abs(RunnerPoller(context.owner)._long_poll_seconds(state) - poll) < 1e-9


@then('it does optional work {times:d} times in 9 s')
def check_optional_work(context, times):
    now = context.clock.monotonic()
    moments = [now + number * SAMPLE_SECONDS for number in range(90)]
    assert sum(context.pacing.may_do_optional_work(at) for at in moments) == times


class AcceptingRunner:
    """Accepts every start and counts them."""

    starts = 0

    async def start_task(self, order, check):
        self.starts += 1
        return StartAnswer(StartReply.STARTED, 0.0)


@when('a runner answered a poll {poll:g} s ago and an order {order:g} s ago')
def answered_ago(context, poll, order):
    small = context.small
    for number in range(2):
        small.add_job(f'j{number}', [step()]).stored_runners.add('w1')
    state = small.cell.runner_by_id['w1']
    (context.planned,) = small.plan(start=False).starts[:1]
    state.answered_at = small.now - poll
    state.order_answered_at = small.now - order
    small.add_job('j2', [step()]).stored_runners.add('w1')
    small.cell.max_knowledge_age = context.pacing.max_knowledge_age - context.pacing.answer_delay


@then('the owner {places} a task there')
def check_placement(context, places):
    assert bool(context.small.plan(start=False).starts) is (places == 'places')


@then('a start that was planned there before is {fate}')
def check_start(context, fate):
    runner = AcceptingRunner()
    context.owner.runner_by_id['w1'] = runner
    context.owner.writer.stored_at = context.clock.monotonic()

    async def send():
        await context.orders.send_starts([context.planned])
        await curio.sleep(0.02)

    curio.run(send)
    assert runner.starts == (fate == 'sent')
    assert context.pacing.held_back_starts == (fate == 'withheld')
    runs = context.small.runs_on('w1')
    assert ((context.planned.task, context.planned.run) in runs) is (fate == 'sent')


@given('an owner whose periodic checks are delayed and then in time')
def delayed_checks(context):
    context.small = SmallCell(runners=('w1',))
    context.clock = ManualClock(context.small.now)
    owner = make_owner_context(context.small.cell, context.clock)
    owner.journal = context.lines = RecordingJournal()
    context.owner = owner
    dependencies = SimpleNamespace(
        clock=context.clock,
        journal=context.lines,
        jobs=SimpleNamespace(state=None),
        links=None,
        election=None,
        host='me',
    )
    load_report = LoadReport(context.small.cell, SimpleNamespace(waiting_count=0), context.lines)
    checks = PeriodicChecks(dependencies, owner, load_report)

    async def run_late(delay, times):
        for _ in range(times):
            pause = await curio.spawn(checks._sleep_and_record_delay)
            await curio.sleep(0)
            context.clock.advance(owner.pacing.check_seconds(CHECK_SECONDS) + delay)
            await pause.join()

    async def run_checks():
        owner.pacing.held_back_starts = 3
        owner.pacing.may_start(context.clock.monotonic() - 1.5, context.clock.monotonic())
        await run_late(0.4, 4)
        await run_late(0.0, 8)

    curio.run(run_checks)


@then('it logs that it is late and that it is in time again, with the inputs')
def check_lines(context):
    (late, late_fields), (in_time, in_time_fields) = context.lines.entries
    assert late.startswith('is late') and in_time.startswith('is in time again'), (late, in_time)
    assert late_fields['delay'] == 0.4 and late_fields['seconds'] is None, late_fields
    assert in_time_fields['longest_delay'] == 0.4 and in_time_fields['seconds'] > 2
    for fields in (late_fields, in_time_fields):
        assert {'epoch', 'oldest_answer', 'store_age', 'runners', 'held_back'} <= fields.keys()


@then('the metrics have the delay, the age of the oldest answer used and the starts held back')
def check_metrics(context):
    metrics = EntryMetrics()
    metrics.update_pacing(context.owner.pacing.figures(context.small.now + 1))
    page = curio.run(metrics.handle, SimpleNamespace(path='/metrics')).body.decode()
    assert 'dandelionreel_owner_late 0.0' in page, page
    assert 'dandelionreel_owner_delay_seconds' in page
    assert 'dandelionreel_owner_oldest_answer_seconds 1.5' in page
    assert 'dandelionreel_owner_held_back_starts 3.0' in page


@given('an owner whose last heartbeat was {seconds:g} s ago, and that {acts}')
def heartbeat_ago(context, seconds, acts):
    clock = ManualClock()
    context.topic = MemoryTopic()
    host = Host('me', context.topic, clock)
    term = make_owner_context(SmallCell().cell, clock).term
    context.dispatcher = make_dispatcher(host, term, context.topic, clock)
    context.owner = context.dispatcher._owner_context
    if acts.startswith('releases'):
        context.owner.end_reason = 'released'
    clock.advance(seconds)


@when('it stores the progress of jobs')
def stores_progress(context):
    async def store():
        await curio.spawn(context.owner.writer.run, daemon=True)
        await context.owner.writer.write([KeyedRecord('j/1', b'{}')], 1.0)

    curio.run(curio.timeout_after, 5, store)


@then('the append contains {heartbeats:d} heartbeats')
def check_append(context, heartbeats):
    keys = [record.key for record in context.topic.records]
    assert context.topic.appends == 1 and 'j/1' in keys
    assert keys.count(OWNER_KEY) == heartbeats, keys


@given(
    'a host that is {delay:g} s late and heard from an owner of {cores:g} cores {seconds:g} s ago'
)
def late_host(context, delay, cores, seconds):
    send_heartbeats(context, [0.3], seconds)
    state = context.host.projection.state
    state.member_by_host['other'] = Member('north', '127.0.0.1', 1, cores=cores)
    context.host.election.record_own_delay(delay, context.host.clock.monotonic())


@given('a peer that answers after {seconds:g} s')
def answering_peer(context, seconds):
    context.answer_after = seconds


class SocketLink(PeerLink):
    """A link whose peer answers on a socket from another thread."""

    def __init__(self, answer_after):
        super().__init__('peer', 1, 'me', SystemClock(), SimpleNamespace(), None)
        self._answer_after = answer_after

    def _make_frame(self, exchange, message):
        return exchange

    async def _open_connection(self, timeout):
        return self

    async def send(self, exchange):
        """Send nothing; the answer arrives later."""
        self._near, self._far = socket.socketpair()
        threading.Timer(self._answer_after, self._far.send, (b'x',)).start()
        await curio.spawn(self._read, exchange, daemon=True)

    async def _read(self, exchange):
        await curio.io.Socket(self._near).recv(1)
        pending = self._pending_by_exchange[exchange]
        pending.answer = Frame(exchange, 'peer/1', 0, 0, Done())
        await pending.event.set()


@when('the loop is blocked for {blocked:g} s during a request with a timeout of {timeout:g} s')
def blocked_loop(context, blocked, timeout):
    async def request():
        link = SocketLink(context.answer_after)
        pending = await curio.spawn(link.request, OwnerAsked(''), timeout)
        await curio.sleep(0)
        await curio.sleep(0.005)
        time.sleep(blocked)
        return await pending.join()

    context.frame = curio.run(request)


@then('the request returns the answer')
def check_answer(context):
    assert isinstance(context.frame.message, Done), context.frame


class ReadyLinks:
    """Links to a peer that is ready to own the cell."""

    async def request(self, member, message, timeout):
        """Say that the peer is ready."""
        return Frame(1, 'peer/1', 0, 0, Done())


@given('an owner of 1 core that has been late for {seconds:g} s, and a peer of {cores:g} cores')
def late_owner_and_peer(context, seconds, cores):
    clock = ManualClock()
    host = Host('me', MemoryTopic(), clock)
    host.projection.state.member_by_host.update(
        me=Member('north', '127.0.0.1', 1, cores=1.0),
        peer=Member('north', '127.0.0.1', 2, cores=cores),
    )
    context.owner = make_owner_context(SmallCell().cell, clock)
    context.succession = Succession(
        context.owner, host.projection.state, ReadyLinks(), host.election, 'me'
    )
    now = record_delays(context.owner.pacing, 0.3, 1.5, clock.monotonic())
    context.now = now + seconds


@then('it {hands} the cell over to the peer')
def check_hand_over(context, hands):
    curio.run(context.succession.request_or_hand_over_if_due, context.now)
    assert context.owner.ended.is_set() is (hands == 'hands')


@given('an owner that read the clock of a runner {age:g} s ago, which runs 2% slow')
def old_reading(context, age):
    context.small = SmallCell(runners=('w1',))
    context.clock = ManualClock(context.small.now)
    context.owner = make_owner_context(context.small.cell, context.clock)
    context.small.poll('w1')
    context.clock.advance(age)
    context.runner_clock = context.small.now + age * (1 - MAX_CLOCK_DRIFT)


@when('it grants a lease there')
def grants_lease(context):
    now = context.clock.monotonic()
    state = context.small.cell.runner_by_id['w1']
    context.lease_seconds = context.owner.lease_for(state, now)
    lease_until = state.extend_lease(now, context.lease_seconds)
    context.real_seconds = (lease_until - context.runner_clock) / (1 - MAX_CLOCK_DRIFT)


@then('the lease ends no later than a successor expects, and is {lease}')
def check_lease(context, lease):
    assert context.real_seconds <= lease_upper_bound(context.owner.lease) + 1e-9
    assert (context.lease_seconds == context.owner.lease) is (lease == 'full')


@when('tickets that are valid for {seconds:g} s are read')
def read_tickets(context, seconds):
    topic = MemoryTopic()
    host = Host('me', topic, context.clock)
    dispatcher = make_dispatcher(host, context.owner.term, topic, context.clock)
    dispatcher._owner_context.pacing = context.pacing
    request = SimpleNamespace(step=StepName('j1', 0, 0), runners=('w1',))
    until_at = context.clock.monotonic() + seconds
    permits = (Permit('w1', 'ticket'),)
    curio.run(dispatcher._record_permits, request, permits, until_at, AdviceTrace('me', 0, 1))
    context.tickets = dispatcher.cell.tickets


@then('they can be used for {seconds:g} s')
def check_tickets(context, seconds):
    now = context.clock.monotonic()
    assert context.tickets.is_valid(StepName('j1', 0, 0), 'w1', now + seconds - 0.01)
    assert not context.tickets.is_valid(StepName('j1', 0, 0), 'w1', now + seconds + 0.01)
