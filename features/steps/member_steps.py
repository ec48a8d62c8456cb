"""Steps on member records."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._member_record import MemberRecord
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._records import MEMBER_PREFIX, OWNER_KEY, Member, Owner, make_record
from dandelionreel.cell.owner._member_cleanup import QUERY_SECONDS, MemberCleanup
from dandelionreel.cell.store import GroupWriter
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.kernel import ManualClock, SystemClock, Verdict
from dandelionreel.peers import Done, Frame, PeerError, Refused
from features.cell_parts import SmallCell
from features.store_parts import journal, make_owner_context, until
from standins import MemoryTopic

OWN = Member('north', '127.0.0.1', 1, 'me/2')
EARLIER = Member('north', '127.0.0.1', 1, 'me/1')
KEY = f'{MEMBER_PREFIX}me'


@given('a host whose newest member record is {record}')
def host_with_record(context, record):
    context.topic = MemoryTopic()
    cell_state = CellState()
    if not record.startswith('missing'):
        known = OWN if record == 'its own' else EARLIER
        cell_state.apply([make_record(KEY, known)])
    context.writer = GroupWriter(context.topic, ManualClock(1000), journal())
    context.record = MemberRecord('me', OWN, cell_state, context.writer, journal())
    if record.endswith('stopping'):
        run_with_writer(context, context.record.delete)
        context.topic.records.clear()


def run_with_writer(context, action):
    async def run():
        writing = await curio.spawn(context.writer.run, daemon=True)
        await action()
        await writing.cancel()

    curio.run(run)


@when('it checks its record')
def check_record(context):
    run_with_writer(context, context.record.write_if_missing)


@given('a store that takes no append for {seconds:g} s')
def outage(context, seconds):
    context.outage_seconds = seconds


@when('it keeps its record')
def keep_record(context):
    clock = SystemClock()
    # The write is given up during the outage, and has to be repeated.
    context.writer = GroupWriter(context.topic, clock, journal())
    context.record = MemberRecord('me', OWN, CellState(), context.writer, journal())

    async def keep():
        context.topic.down = True
        await curio.spawn(context.record.run, daemon=True)
        await curio.sleep(context.outage_seconds)
        context.topic.down = False
        context.restored_at = clock.monotonic()
        await curio.timeout_after(30, until, lambda: context.topic.records)
        context.stored_at = clock.monotonic()

    run_with_writer(context, keep)


@then('its record is stored within {seconds:g} s after the outage')
def check_stored_in_time(context, seconds):
    assert context.stored_at - context.restored_at <= seconds


@when('it leaves')
def leave(context):
    run_with_writer(context, context.record.delete)


@then('it writes its record')
def check_written(context):
    (record,) = context.topic.records
    assert record.key == KEY and b'me/2' in record.content, record


@then('it writes nothing')
def check_nothing_written(context):
    assert not context.topic.records, context.topic.records


@then('its record is deleted')
def check_deleted(context):
    (record,) = context.topic.records
    assert record.key == KEY and not record.content, record


class MemberLinks:
    """Links to members, which answer as ``behaviour`` says at the time of ``clock``."""

    def __init__(self, clock, cell_state, behaviour):
        self._clock = clock
        self._cell_state = cell_state
        self._behaviour = behaviour
        self.count_by_port = {}

    async def request(self, member, message, timeout):
        """Answer, or not."""
        self.count_by_port[member.port] = self.count_by_port.get(member.port, 0) + 1
        elapsed = self._clock.monotonic() - 1000
        if member.port >= 100:
            return Frame(1, 'peer/1', 0, 0, Done())
        if self._behaviour.startswith('answers that'):
            return Frame(1, 'peer/1', 0, 0, Refused('cannot own the cell now'))
        if self._behaviour.startswith('answers once') and 20 <= elapsed < 21.5:
            return Frame(1, 'peer/1', 0, 0, Done())
        if self._behaviour.startswith('restarts') and elapsed >= 20:
            restarted = Member('south', '127.0.0.1', 7, 'member/2')
            self._cell_state.member_by_host['member'] = restarted
        verdict = Verdict.NOT_RUN if 'refuses' in self._behaviour else Verdict.UNKNOWN
        raise PeerError('no answer', verdict)


def make_cleanup(context, behaviour, ports):
    clock = context.clock = ManualClock(1000)
    context.topic = MemoryTopic()
    cell_state = CellState()
    for host, port in ports.items():
        cell_state.apply(
            [make_record(MEMBER_PREFIX + host, Member('south', '10.0.0.9', port, f'{host}/1'))]
        )
    context.links = MemberLinks(clock, cell_state, behaviour)
    context.owner = make_owner_context(SmallCell(runners=()).cell, clock, context.topic)
    context.cleanup = MemberCleanup(context.owner, cell_state, context.links, 'me')


def query(context, count, stored=True):
    async def run():
        await curio.spawn(context.owner.writer.run, daemon=True)
        for _ in range(count):
            context.clock.advance(QUERY_SECONDS)
            if stored:
                context.owner.writer.stored_at = context.clock.monotonic()
            await context.cleanup.query_next_member()

    curio.run(run)


@given('an owner {owner}, and a member that {answers}')
def owner_and_member(context, owner, answers):
    make_cleanup(context, answers, {'member': 7, 'other': 100})
    context.stored = owner != 'whose store does not answer'
    if owner.startswith('that another'):
        successor = make_record(OWNER_KEY, Owner(2, 'other', 'other/1'))
        curio.run(context.topic.append, [successor], 1, WriterFence(2, 1))


@when('the owner queries the members for {seconds:d} s')
def query_members(context, seconds):
    query(context, int(seconds / QUERY_SECONDS), context.stored)


@then('the member is {fate}')
def check_fate(context, fate):
    tombstones = [record.key for record in context.topic.records if not record.content]
    assert tombstones == ([f'{MEMBER_PREFIX}member'] if fate == 'removed' else []), tombstones


@given('an owner of {count:d} members, of which {silent:d} do not answer')
def owner_of_many(context, count, silent):
    numbers = range(1, count + 1)
    ports = {f'h-{number:02}': number if number <= silent else 100 + number for number in numbers}
    make_cleanup(context, 'does not answer', ports)
    context.ports = ports.values()
    context.silent = silent


@when('the owner has sent {count:d} queries')
def send_queries(context, count):
    query(context, count, stored=False)


@then('each member was queried at least once, and each silent one at least {count:d} times')
def check_queries(context, count):
    counts = context.links.count_by_port
    assert counts.keys() == set(context.ports), counts
    assert all(counts[port] >= count for port in range(1, context.silent + 1)), counts
