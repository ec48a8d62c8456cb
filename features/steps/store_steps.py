"""Steps on the store, with a topic in memory that is told to fail."""

import io
from contextlib import suppress

import curio
from behave import given, then, when

from dandelionreel.cell import (
    Cell,
    JobSpec,
    JobState,
    KeyedRecord,
    Runner,
    RunnerError,
    RunnerState,
    Submission,
    WriterFence,
)
from dandelionreel.cell._desk import Desk
from dandelionreel.cell._directory import ConfigurationFolder, JobFolder, RunnersFolder
from dandelionreel.cell._dispatcher import Dispatcher, DispatcherParts
from dandelionreel.cell._election import Election, Term
from dandelionreel.cell._follower import Follower
from dandelionreel.cell._orders import Orders
from dandelionreel.cell._records import (
    CANCELLATION,
    MEMBER,
    OWNER_KEY,
    SUBMISSION,
    Cancellation,
    JobBook,
    Member,
    Owner,
    Progress,
    make_progress_records,
    make_record,
)
from dandelionreel.cell._relay import Relay
from dandelionreel.cell._standing import claim_delay, find_deputy
from dandelionreel.cell._succession import Succession
from dandelionreel.cell._writer import AnswerTimes, GroupWriter
from dandelionreel.http import Answer, Request
from dandelionreel.kernel import Journal, ManualClock, SystemClock, Verdict
from dandelionreel.peers import Done, ForwardAnswer, Frame, PeerError, Refused
from features.cell_parts import SmallCell, make_registration, step
from standins import MemoryTopic

PATIENCE = 0.35
#: Seconds that nothing here takes on any machine.
LONG = 30
FAULTS = {
    'succeed': [],
    'refuse once': ['refuse'],
    'refuse always': ['refuse'] * 50,
    'lose once': ['lose'],
    'lose, then refuse': ['lose', *['refuse'] * 50],
    'stay silent always': ['silence'] * 50,
}


async def until(done):
    """Wait until ``done()`` is true."""
    while not done():
        await curio.sleep(0.01)


def journal():
    return Journal(io.StringIO(), 'test')


class Host:
    """A host that follows a topic and may claim the cell."""

    def __init__(self, name, topic, clock=None):
        self.clock = clock or SystemClock()
        self.folder = JobFolder(self.clock, journal())
        self.follower = Follower(
            'cell', topic, self.folder, self.clock, journal(), 0.02, lambda: 0.0
        )
        #: What the owner answers when it is asked whether it lives; ``None`` for nothing.
        self.word = None
        self.election = Election(
            topic, self.follower, self.folder, f'{name}/1', self.ask, self.clock, journal()
        )

    async def ask(self, member, message, timeout):
        """Answer for a peer."""
        if self.word is None:
            raise PeerError('no answer', Verdict.UNKNOWN)
        return Frame(1, 'peer', 0.0, 0.0, self.word)

    async def claim(self, seconds):
        """Return the term, ``None`` where none was won in time."""
        return await curio.ignore_after(seconds, self.election.wait_for_term, lambda: True)


@given('a store whose appends {faults}')
def store_with_faults(context, faults):
    context.topic = MemoryTopic()
    context.topic.faults.extend(FAULTS[faults])


@when('a submission is written')
def write_submission(context):
    async def write():
        writer = GroupWriter(context.topic, SystemClock(), journal())
        await curio.spawn(writer.run, daemon=True)
        return await writer.write([KeyedRecord(f'{SUBMISSION}x', b'{}')], PATIENCE)

    context.outcome = curio.run(write)


@then('it is {outcome}')
def outcome_is(context, outcome):
    assert context.outcome.value == outcome, context.outcome


@given('an owner whose last append is late')
def late_owner(context):
    context.topic = MemoryTopic()
    context.topic.faults.append('late')

    async def write():
        with suppress(Exception):
            await context.topic.append([KeyedRecord('e/x', b'old')], 0.1, WriterFence(1, 5))

    curio.run(write)


@when('a successor has written and the late append lands')
def successor_writes(context):
    curio.run(context.topic.append, [KeyedRecord('e/x', b'new')], 0.1, WriterFence(2, 9))
    context.topic.land()


@then('the store holds what the successor wrote')
def holds_new(context):
    snapshot = curio.run(context.topic.snapshot)
    assert [record.content for record in snapshot.records] == [b'new']


@given('an owner whose append lost its answer')
def lost_answer(context):
    context.topic = MemoryTopic()
    context.topic.faults.append('lose')


@when('it writes again')
def writes_again(context):
    async def write():
        writer = GroupWriter(context.topic, SystemClock(), journal(), WriterFence(1, 77))
        await curio.spawn(writer.run, daemon=True)
        for key in ('e/1', 'e/2'):
            await writer.write([KeyedRecord(key, b'x')], 2.0)

    curio.run(write)


@then('every record stands in the store once')
def once(context):
    assert [record.key for record in context.topic.records] == ['e/1', 'e/2']
    assert context.topic.appends == 3


@given('two hosts that have read a store without an owner')
def two_hosts(context):
    context.topic = MemoryTopic()


@when('both claim')
def both_claim(context):
    async def claim():
        hosts = [Host(name, context.topic) for name in ('a', 'b')]
        for host in hosts:
            await curio.spawn(host.follower.run, daemon=True)
        tasks = [await curio.spawn(host.claim, LONG, daemon=True) for host in hosts]
        while not any(task.terminated for task in tasks):
            await curio.sleep(0.01)
        await curio.sleep(0.3)
        context.terms = [task.result if task.terminated else None for task in tasks]
        context.books = [host.folder.book for host in hosts]

    curio.run(claim)


@then('one of them owns the cell')
def one_owner(context):
    won = [term for term in context.terms if term is not None]
    assert len(won) == 1, context.terms
    assert {book.owner.term for book in context.books} == {won[0].term}


def _topic_with_owner():
    topic = MemoryTopic()
    claim = make_record(OWNER_KEY, Owner(1, 'other', 'other/1'))
    curio.run(topic.append, [claim], 0.1, WriterFence(1, 3))
    return topic


@given('a host that follows an owner while the store is down for 5 s')
def following_still_host(context):
    context.topic = _topic_with_owner()
    context.clock = ManualClock()
    context.host = Host('a', context.topic, context.clock)


@given('a host that follows an owner')
def following_host(context):
    context.topic = _topic_with_owner()
    context.host = Host('a', context.topic)


@when('the store is back')
def store_back(context):
    async def follow():
        await curio.spawn(context.host.follower.run, daemon=True)
        await until(lambda: context.host.follower.started)
        context.topic.down = True
        await until(lambda: context.host.follower.lost_at > 0)
        context.clock.advance(5)
        context.topic.down = False
        context.term = await context.host.claim(0.5)

    curio.run(follow)


@then('the host does not claim at once')
def no_claim(context):
    assert context.term is None


@when('the owner asks for a successor')
def owner_asks(context):
    async def claim():
        await curio.spawn(context.host.follower.run, daemon=True)
        await until(lambda: context.host.follower.started)
        context.host.election.suspect('other/1')
        context.term = await context.host.claim(LONG)

    curio.run(claim)


@then('the host owns the cell with the next epoch')
def next_epoch(context):
    assert context.term is not None
    assert context.term.epoch == 2


@given('a host that follows an owner whose heartbeats are missed')
def following_silent(context):
    context.topic = _topic_with_owner()
    member = make_record(f'{MEMBER}other', Member('north', '10.0.0.9', 7))
    curio.run(context.topic.append, [member], 0.1)
    context.host = Host('a', context.topic)


@when('the owner answers that it {word}')
def owner_answers(context, word):
    context.host.word = Done() if word == 'acts' else Refused('does not own the cell')

    async def claim():
        await curio.spawn(context.host.follower.run, daemon=True)
        await until(lambda: context.host.follower.started)
        return await context.host.claim(2.5)

    context.term = curio.run(claim)


@then('the host {claims} the cell')
def claims_or_not(context, claims):
    assert (context.term is not None) == (claims == 'claims'), context.term


@given('a host that reads a record of another version')
def other_version(context):
    context.topic = MemoryTopic()
    curio.run(context.topic.append, [KeyedRecord(f'{SUBMISSION}j1', b'{"shape": 9}')], 0.1)
    context.host = Host('a', context.topic)


@when('a job is stored behind it')
def another_job(context):
    submission = Submission('urgent', 'desk', 5.0, JobSpec('payload', ()))
    curio.run(context.topic.append, [make_record(f'{SUBMISSION}j2', submission)], 0.1)

    async def follow():
        await curio.spawn(context.host.follower.run, daemon=True)
        await context.host.follower.wait_fresh(context.host.clock.monotonic(), LONG)

    curio.run(follow)


@then('the host knows the job')
def knows_job(context):
    assert context.host.folder.book.find('j2')


@given('a job is stored right before each of the next {count:d} appends')
def growing(context, count):
    context.topic.faults.extend(['grow'] * count)
    context.appends = context.topic.appends


@then('{count:d} appends were made')
def appends_made(context, count):
    assert context.topic.appends - context.appends == count, context.topic.appends


@given('a host of {cores:g} cores that owns the cell')
def small_owner(context, cores):
    context.clock = ManualClock(1000)
    context.host = Host('a', MemoryTopic(), context.clock)
    context.member_by_host = context.host.folder.book.member_by_host
    context.member_by_host['a'] = Member('north', '10.0.0.1', 7, cores=cores)
    term = Term(1, 'a/1', WriterFence(1, 1), None, False, False)
    context.desk = Desk(
        term, Cell(1, 3.0), MemoryTopic(), make_registration, 10.0, context.clock, journal()
    )
    context.succession = Succession(
        context.desk, context.host.folder.book, context.host, context.host.election, 'a'
    )


@given('a host of {cores:g} cores that {answers}')
def other_host(context, cores, answers):
    context.member_by_host['b'] = Member('north', '10.0.0.2', 7, cores=cores)
    if answers == 'answers':
        context.host.word = Refused('does not own the cell')


@when('{seconds:d} s have passed since its claim')
def passed_since_claim(context, seconds):
    context.clock.advance(seconds)
    curio.run(context.succession.look, context.clock.monotonic())


@then('it {acts} the cell')
def leaves_or_keeps(context, acts):
    assert context.desk.ended.is_set() == (acts == 'leaves')


@given('the hosts {names}')
def hosts_of_zones(context, names):
    context.member_by_host = {}
    for name in names.split(', '):
        zone, cores = name.split('-')[0], 2.0 if 'large' in name else 0.5
        context.member_by_host[name] = Member(zone, '10.0.0.1', 7, cores=cores)


@then('after the owner {former} they claim in the order {order}')
def order_of_claims(context, former, order):
    hosts = [host for host in context.member_by_host if host != former]
    hosts.sort(key=lambda host: claim_delay(context.member_by_host, host, former))
    assert hosts == order.split(', '), hosts


@then("{me} has its clients' jobs written by {deputy}, with {avoided} out of reach")
def written_by(context, me, deputy, avoided):
    found = find_deputy(context.member_by_host, me, {avoided})
    assert (found or 'itself') == deputy, found


@given('a job of which the store has {records}')
def stored_job(context, records):
    submission = Submission('urgent', 'desk', 5.0, JobSpec('payload', ()))
    record_by_name = {
        'the submission': make_record(f'{SUBMISSION}j1', submission),
        'its cancellation': make_record(f'{CANCELLATION}j1', Cancellation(6.0)),
    }
    context.topic = MemoryTopic()
    for name in records.split(' and '):
        curio.run(context.topic.append, [record_by_name[name]], 0.1)


@when('its owner notes that it is {state}')
def owner_notes(context, state):
    progress = Progress(1, JobState(state), ended_at=7.0)
    curio.run(context.topic.append, make_progress_records('j1', progress), 0.1)


@when('a late repetition of the submission lands')
def late_submission(context):
    submission = Submission('urgent', 'desk', 8.0, JobSpec('payload', ()))
    curio.run(context.topic.append, [make_record(f'{SUBMISSION}j1', submission)], 0.1)


@then('a host that starts now reads {count:d} record and shows it as {state}')
def reads_and_shows(context, count, state):
    snapshot = curio.run(context.topic.snapshot)
    kept = [record for record in snapshot.records if record.content]
    book = JobBook()
    book.fold(snapshot.records)
    assert len(kept) == count, kept
    assert book.find('j1').state is JobState(state)


@then('the host owns the cell with epoch {epoch:d}')
def owns_with_epoch(context, epoch):
    assert context.term is not None
    assert context.term.epoch == epoch, context.term


@given('a follower that is behind')
def behind(context):
    context.topic = MemoryTopic()
    context.host = Host('a', context.topic)
    for epoch in (1, 2, 3):
        claim = make_record(OWNER_KEY, Owner(epoch, 'other', f'other/{epoch}'))
        curio.run(context.topic.append, [claim], 0.1)


@when('the records that it has not read are gone')
def expired(context):
    context.topic.first = 2

    async def follow():
        context.host.follower._offset = 1
        await curio.spawn(context.host.follower.run, daemon=True)
        await context.host.follower.wait_fresh(context.host.clock.monotonic(), LONG)

    curio.run(follow)


@then('it knows what the newest records say')
def knows_newest(context):
    assert context.host.folder.book.owner.epoch == 3


@given('the claims of the epochs 1 and 2, and a late heartbeat of epoch 1')
def claims(context):
    context.book = JobBook()
    for epoch, beat in ((1, 0), (2, 0), (1, 5)):
        context.book.fold([make_record(OWNER_KEY, Owner(epoch, 'h', f'h/{epoch}', beat))])


@then('the owner is that of epoch 2')
def owner_of_epoch(context):
    assert context.book.owner.epoch == 2


class OnePeer:
    """Links to a peer that gives one answer."""

    def __init__(self, status):
        self._status = status

    async def ask(self, member, message, timeout):
        answer = ForwardAnswer(Answer(self._status))
        return Frame(1, 'peer/1', 0, 0, answer)


@given('a peer that answers {status:d}')
def answering_peer(context, status):
    book = JobBook()
    book.fold(
        [
            make_record(OWNER_KEY, Owner(1, 'peer', 'peer/1')),
            make_record(f'{MEMBER}peer', Member('north', '127.0.0.1', 1)),
        ]
    )
    context.relay = Relay('me', book, OnePeer(status), SystemClock(), journal())


class DeafPeer:
    """Stands for the links: nobody answers; ``asked`` counts the tries."""

    def __init__(self):
        self.asked = 0

    async def ask(self, member, message, timeout):
        self.asked += 1
        raise PeerError('no answer in time', Verdict.NOT_RUN)


@given('a peer that has not answered {misses:d} requests in a row')
def deaf_peer(context, misses):
    answering_peer(context, 200)
    context.clock = ManualClock(1000)
    context.links = DeafPeer()
    context.relay = Relay('me', context.relay._book, context.links, context.clock, journal())
    for _ in range(misses):
        context.clock.advance(100)
        pass_on(context)
    assert context.links.asked == misses


@when('{seconds:g} s later a request comes')
def request_comes(context, seconds):
    asked = context.links.asked
    context.clock.advance(seconds)
    pass_on(context)
    context.asked_again = context.links.asked > asked


@then('the peer {fate}')
def peer_fate(context, fate):
    assert context.asked_again is (fate == 'is asked')


@when('a request is passed on to it')
def pass_on(context):
    request = Request('POST', '/new/0123456789abcdef')
    context.relayed = curio.run(context.relay.forward_to_owner, request, 1.0)


@then('the client {outcome}')
def client_outcome(context, outcome):
    relayed = context.relayed
    assert (relayed.answer is not None) is (outcome == 'is told so')
    assert relayed.maybe is (outcome == 'is left in doubt')


@given('a runner whose leases ran out 5 s after its last answer')
def silent_runner(context):
    context.clock = ManualClock(1000)
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.desk = Desk(
        term, Cell(1, 3.0), MemoryTopic(), make_registration, 10.0, context.clock, journal()
    )
    context.state = RunnerState(make_registration('w1'))
    context.state.note_clock(500, 1000)
    context.state.extend_lease(1000, 5)


class SilentRunner(Runner):
    """A runner whose link was cut after the bytes had left."""

    async def start(self, order, check):
        raise RunnerError('no answer in time', Verdict.UNKNOWN)

    async def stop(self, task, run, epoch):
        raise RunnerError('no answer in time', Verdict.UNKNOWN)

    async def look(self, epoch, acknowledged, lease_until, wait):
        raise RunnerError('no answer in time', Verdict.UNKNOWN)

    async def close(self):
        """Nothing is open."""


@given('an owner with a runner that does not answer')
def owner_of_silent(context):
    context.small = SmallCell(('w1',))
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.desk = Desk(
        term,
        context.small.cell,
        MemoryTopic(),
        lambda registration: SilentRunner(),
        10.0,
        ManualClock(context.small.now),
        journal(),
    )
    context.desk.add_runner(context.small.cell.runner_by_id['w1'])


@when('it sends one start there')
def send_one_start(context):
    job = context.small.add_job('j1', [step()])
    job.stored_runners.add('w1')
    made = context.small.plan(start=False)

    async def send():
        await Orders(context.desk).send_starts(made.starts)
        await until(lambda: context.small.cell.runner_by_id['w1'].suspect)

    curio.run(send)


@then('the runner gets nothing more until it has answered a look')
def nothing_until_look(context):
    small = context.small
    small.add_job('j2', [step()])
    assert not small.plan().starts
    small.look('w1')
    assert [start.task.job for start in small.plan().starts] == ['j2']


@when("the owner's last append was answered {seconds:d} s after that answer")
def last_append(context, seconds):
    context.desk.writer.stored_at = 1000 + seconds


@then('7 s after it the tasks there count as {fate}, and new starts are {starts}')
def judged_tasks(context, fate, starts):
    context.clock.now = 1007.0
    assert context.desk.leases_ran_out(context.state) is (fate == 'gone')
    assert context.desk.may_start() is (starts == 'allowed')


@given('a former owner that was killed when earlier owners might act for {unsettled:g} s')
def killed_owner(context, unsettled):
    context.term = Term(3, 'me/1', WriterFence(3, 1), 999.0, False, True, unsettled)


@when('a host takes over')
def takes_over(context):
    clock = ManualClock(1000)
    host = Host('me', MemoryTopic(), clock)
    parts = DispatcherParts(
        topic=MemoryTopic(),
        follower=host.follower,
        jobs=host.folder,
        runners=RunnersFolder(None, clock, journal()),
        configuration=ConfigurationFolder(None, journal()),
        election=host.election,
        links=None,
        advisor=None,
        make_runner=make_registration,
        clock=clock,
        journal=journal(),
        host='me',
        gang_timeout=3.0,
        longest_lease=10.0,
        status_kept=120,
    )
    context.dispatcher = Dispatcher(parts, context.term)
    context.dispatcher._begin()


@then('it leaves jobs on unseen runners alone for {wait:g} s')
def leaves_alone(context, wait):
    assert abs(context.dispatcher._unseen_until - 1000 - wait) < 0.01


@given('a writer whose appends were refused for a while')
def refused_writer(context):
    context.topic = MemoryTopic()
    context.topic.down = True
    context.clock = SystemClock()

    async def write():
        context.writer = GroupWriter(context.topic, context.clock, journal())
        await curio.spawn(context.writer.run, daemon=True)
        await context.writer.write([KeyedRecord('j/x', b'x')], PATIENCE)

    curio.run(write)


@then('the store counts as out of reach')
def out_of_reach(context):
    assert context.writer.in_trouble(context.writer.failed_at)


@then('2 s later it does not')
def not_any_more(context):
    assert not context.writer.in_trouble(context.writer.failed_at + 2)


@given('answers of {seconds:f} s and then {misses:d} misses')
def answers(context, seconds, misses):
    context.times = AnswerTimes()
    for _ in range(40):
        context.times.note_answer(seconds)
    for _ in range(misses):
        context.times.note_miss()


@then('the next one is waited for about {patience:f} s')
def waited_for(context, patience):
    assert abs(context.times.timeout - patience) < 0.05, context.times.timeout
