"""Steps on jobs that are refused because they would end too late to be of use."""

import io
import random
from contextlib import asynccontextmanager

import curio
import msgspec
from behave import given, then, when

from dandelionreel.accounts import Caller
from dandelionreel.cell.clients._client_call import CAUSE_HEADER
from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.decisions import Admission, AdmissionVerdict, RefusalReason
from dandelionreel.cell.decisions._admission import (
    ACCEPT_FRACTION,
    CERTAIN_FRACTION,
    RetrySpread,
)
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import (
    DIGEST_VERSION,
    Configuration,
    JobSpec,
    LoadDigest,
    RefusedJob,
    Service,
    Submission,
    WriterFence,
    encode_digest,
)
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    SUBMISSION_PREFIX,
    Member,
    Owner,
    make_record,
)
from dandelionreel.cell.model._services import RecordBatch
from dandelionreel.cell.owner import Refusal
from dandelionreel.cell.store import (
    CellProjection,
    ConfigurationProjection,
    GroupWriter,
    WriteOutcome,
)
from dandelionreel.http import Request, Response
from dandelionreel.kernel import Journal, ManualClock, Verdict
from dandelionreel.peers import Done, Forward, ForwardAnswer, Frame, OwnerAsked, PeerError
from dandelionreel.peers._codec import decode_frame, encode_frame
from features.account_parts import make_account
from features.cell_parts import QUEUES, SmallCell, make_registration, step
from features.client_parts import make_client_api
from features.steps.quota_steps import AccountCell
from features.steps.relay_steps import AgedFollower, StoringWriter
from features.store_parts import LONG_TIMEOUT, Host, journal, make_dispatcher, until
from standins import MemoryTopic

JOB_ID = '0123456789abcdef'
USELESS = AdmissionVerdict(RefusalReason.OVERLOAD, wait=10, path=1, limit=5)
SEED = 7


def make_submission(cell, steps, queue='urgent', account=''):
    return Submission(queue, 'desk', cell.now, JobSpec('', tuple(steps)), '', account)


def judge(context, admission=None, account=''):
    small = context.small
    admission = admission or Admission(small.cell, small.planner.order)
    admission.refresh(small.now, small.now)
    small.now += context.delay
    submission = make_submission(small, [step(16_000, seconds=1)], account=account)
    verdict = admission.judge(JOB_ID, submission, small.now, small.now)
    return verdict.reason.value if verdict.reason else 'accepted'


def spread_ages(first, last):
    """Return the ages of six waiting jobs in seconds."""
    return [first + (last - first) * part for part in (0, 0.02, 0.04, 0.96, 0.98, 1)]


@given('a cell whose runners are full for 10 s, and {queue} jobs {condition}')
def full_cell(context, queue, condition):
    context.small = SmallCell(queues=QUEUES)
    context.delay = 0.0
    context.small.add_job('fill', [step(32_000, 2, 10)], 'batch')
    assert len(context.small.plan().starts) == 2
    ages = spread_ages(0.5, 3.0)
    if 'have waited' in condition:
        _, _, _, _, first, _, last, _ = condition.split()
        ages = spread_ages(float(first), float(last))
    elif 'not polled' in condition:
        context.small.cell.unseen_runners.add('w9')
    else:
        context.small.registration_by_id['w3'] = make_registration('w3')
        context.small.update_runners()
        context.small.poll('w3')
    for age in ages:
        context.small.add_job(f'{queue}{age}', [step(16_000, seconds=1)], queue, age)


@when('an urgent job of 1 s is judged {delay}')
def judge_urgent(context, delay):
    context.delay = 0.0 if delay == 'at once' else float(delay.split()[0])
    context.verdict = judge(context)


@then('the verdict on it is {verdict}')
def check_verdict(context, verdict):
    assert context.verdict == verdict, context.verdict


@given('a cell with free runners, and the account blue whose quota is in use for 10 s')
def account_at_quota(context):
    context.delay = 0.0
    accounts = (make_account('blue', 1000.0, 16), make_account('red', 1000.0))
    context.small = AccountCell(accounts)
    context.small.submit_job('blue', [step(16_000, seconds=10)])
    assert len(context.small.plan().starts) == 1


@given('urgent jobs of blue have waited for {first:g} to {last:g} s')
def blue_waits(context, first, last):
    for age in spread_ages(first, last):
        job = context.small.submit_job('blue', [step(16_000, seconds=1)])
        job.accepted_at -= age


@then('an urgent job of {account} is judged as {verdict}')
def check_account_verdict(context, account, verdict):
    judged = judge(context, account=account)
    assert judged == verdict, judged


@given('{count:d} random cells, each with a long backlog')
def random_cells(context, count):
    context.random = random.Random(SEED)
    context.cells = []
    for _ in range(count):
        small = SmallCell(queues=QUEUES)
        small.add_job('fill', [step(1000 * context.random.randint(20, 32), 2, 20)], 'batch')
        small.plan()
        for number in range(context.random.randint(1, 40)):
            cpu = 1000 * context.random.randint(6, 24)
            gang = context.random.random() < 0.2
            steps = [
                step(cpu, context.random.randint(1, 3), context.random.uniform(0.5, 2), gang=gang)
            ]
            queue = context.random.choice(('urgent', 'batch'))
            small.add_job(f'{number:016x}', steps, queue, context.random.uniform(0, 4))
        small.plan()
        context.cells.append(small)


@when('a random job is judged in each and then planned')
def judge_and_plan(context):
    context.refused_count = 0
    context.wrong_refusals = []
    for small in context.cells:
        admission = Admission(small.cell, small.planner.order)
        admission.refresh(small.now, small.now)
        steps = [step(1000 * context.random.randint(1, 12), seconds=context.random.uniform(1, 2))]
        verdict = admission.judge(JOB_ID, make_submission(small, steps), small.now, small.now)
        small.add_job(JOB_ID, steps)
        starts = small.plan().starts
        context.refused_count += verdict.reason is not None
        if verdict.reason is not None and any(start.task.job == JOB_ID for start in starts):
            context.wrong_refusals.append(verdict)


@then('no job was refused that started at once')
def check_wrong_refusals(context):
    assert not context.wrong_refusals, context.wrong_refusals


@then('at least {count:d} jobs were refused')
def check_refused_count(context, count):
    assert context.refused_count >= count, context.refused_count


@then('with these seconds until runners are free, the verdicts are')
def check_hysteresis(context):
    small = context.small
    admission = Admission(small.cell, small.planner.order)
    for row in context.table:
        for runner in small.cell.runner_by_id.values():
            for allocation in runner.allocation_by_run.values():
                allocation.started_at = small.now
                allocation.expected = float(row['seconds'])
        verdict = judge(context, admission)
        assert verdict == row['verdict'], (row, verdict)
    context.changes = admission.take_changes()


@then('the state of the queue has changed {count:d} times')
def check_changes(context, count):
    assert len(context.changes) == count, context.changes


def make_verdict(wait, capacity_in):
    """Return a verdict whose limit makes capacity available in ``capacity_in`` seconds."""
    limit = (wait - capacity_in) * CERTAIN_FRACTION / ACCEPT_FRACTION
    return AdmissionVerdict(RefusalReason.OVERLOAD, wait, 0.0, limit)


@given(
    '{count:d} clients are refused at the same time with a wait of {wait:g} s '
    'and capacity in {seconds:g} s'
)
def refuse_together(context, count, wait, seconds):
    context.spread = RetrySpread()
    context.verdict = make_verdict(wait, seconds)
    context.retries = [context.spread.next_retry_after(context.verdict, 0.0) for _ in range(count)]


@then('their times to retry never decrease, and spread over {first:d} to {last:d} s')
def check_spread(context, first, last):
    assert context.retries == sorted(context.retries), context.retries
    assert set(context.retries) == set(range(first, last + 1)), context.retries


@then('a client that was refused before is told to retry in {seconds:d} s')
def check_repeated(context, seconds):
    repeated = context.spread.next_retry_after(context.verdict, 0.0, is_repeated=True)
    assert repeated == seconds, repeated


@then('with capacity in {seconds:g} s they are told to retry in {told:d} s')
def check_bounded(context, seconds, told):
    bounded = context.spread.next_retry_after(make_verdict(2 * seconds, seconds), 0.0)
    assert bounded == told, bounded


class RefusingAdmission(Admission):
    """Finds every job useless."""

    def judge(self, job_id, submission, now, unix_time):
        return USELESS


class Cluster:
    """A topic with owners that refuse jobs, and a host that appends by itself."""

    def __init__(self, overload_control=True):
        self.topic = MemoryTopic()
        self.hosts = {name: Host(name, self.topic) for name in ('me', 'you')}
        self.clock = self.hosts['me'].clock
        self.writer = GroupWriter(self.topic, self.clock, journal())
        self.epoch = 0
        self._overload_control = overload_control
        self._tasks = []

    @asynccontextmanager
    async def running(self):
        """Follow the topic with an owner until left."""
        for work in (*(host.follower.run for host in self.hosts.values()), self.writer.run):
            await curio.spawn(work, daemon=True)
        await self.own('me')
        yield

    async def own(self, name):
        """Let a host own the cell; the former owner stops."""
        for task in self._tasks:
            await task.cancel()
        self.epoch += 1
        host, term_id = self.hosts[name], f'{name}/1'
        claim = make_record(OWNER_KEY, Owner(self.epoch, name, term_id))
        await self.topic.append([claim], 1.0, WriterFence(self.epoch, 0))
        await host.follower.wait_until_fresh(self.clock.monotonic(), LONG_TIMEOUT)
        term = Term(self.epoch, term_id, WriterFence(self.epoch, 1), None, False, False)
        self.dispatcher = make_dispatcher(
            host, term, self.topic, self.clock, overload_control=self._overload_control
        )
        self.state = host.projection.state
        if self._overload_control:
            self.dispatcher._refusals._admission = RefusingAdmission(self.dispatcher.cell, None)
        self.dispatcher._load_state()
        self._tasks = [
            await curio.spawn(work, daemon=True)
            for work in (
                self.dispatcher._owner_context.writer.run,
                self.dispatcher._store_heartbeats,
                self.dispatcher._follow_jobs,
            )
        ]

    def make_submission(self, age=0.0):
        """Return a submission of the job as a host accepts it now."""
        accepted_at = self.state.refused_jobs.acceptance_time(JOB_ID, self.clock.unix_time() - age)
        return Submission('urgent', 'desk', accepted_at, JobSpec('', (step(),)))

    async def submit(self, may_refuse=True):
        """Submit the job to the owner."""
        submission = self.make_submission()
        attempted_at = self.clock.unix_time() if may_refuse else 0.0
        return await self.dispatcher.accept_job(JOB_ID, submission, 0.9, attempted_at=attempted_at)

    async def append(self, age=0.0, timeout=1.0):
        """Store the job through a host that appends by itself."""
        record = make_record(SUBMISSION_PREFIX + JOB_ID, self.make_submission(age))
        return await self.writer.write([record], timeout)

    def stored_submission(self):
        """Return the newest stored submission, ``None`` without one."""
        contents = [
            record.content
            for record in self.topic.records
            if record.key == SUBMISSION_PREFIX + JOB_ID
        ]
        if not contents or contents[-1] is None:
            return None
        return msgspec.json.decode(contents[-1], type=Submission)

    async def settle(self):
        """Wait until the owner has read the store and stored two heartbeats."""
        await curio.sleep(0.05)
        beat = self.state.owner.beat
        await until(lambda: self.state.owner.beat >= beat + 2)


async def play_event(cluster, event):
    if event.startswith('the late append is carried out'):
        cluster.topic.apply_late_appends()
        if event.endswith('as a successor takes over'):
            await cluster.own('you')
    elif event == 'a successor takes over':
        await cluster.own('you')
    elif event == 'the owner accepts the job':
        assert await cluster.submit(may_refuse=False) is WriteOutcome.STORED
    else:
        assert event == 'another host accepts the job', event
        assert await cluster.append() is WriteOutcome.STORED
    await cluster.settle()


@given('an owner that refuses a job, of which an earlier append got no answer')
def refusing_owner(context):
    context.cluster = Cluster()


@when('these events follow its refusal: {events}')
def play_events(context, events):
    async def play():
        cluster = context.cluster
        async with cluster.running():
            await cluster.settle()
            cluster.topic.faults.append('late')
            assert await cluster.append(age=1.0, timeout=0.0) is WriteOutcome.UNKNOWN
            refusal = await cluster.submit()
            assert refusal == Refusal(RefusalReason.OVERLOAD, refusal.retry_after), refusal
            assert cluster.stored_submission() is None
            for event in events.split(', then '):
                await play_event(cluster, event)

    curio.run(curio.timeout_after, LONG_TIMEOUT, play)


@then('the job is not started, and deleted')
def check_deleted(context):
    cluster = context.cluster
    assert JOB_ID not in cluster.dispatcher.cell.job_by_id
    assert cluster.state.find_job(JOB_ID) is None
    assert cluster.stored_submission() is None


@then('the job is kept as accepted')
def check_kept(context):
    cluster = context.cluster
    job = cluster.dispatcher.cell.job_by_id[JOB_ID]
    assert job.stored and not job.is_finished
    # The newest stored submission is what a host knows that starts from a snapshot.
    stored = cluster.stored_submission()
    assert stored is not None
    assert not cluster.state.refused_jobs.was_refused_after(JOB_ID, stored.accepted_at)


@given('an owner whose heartbeats the store refuses for a second')
def failing_store(context):
    context.cluster = Cluster()
    context.before = lambda: context.cluster.topic.faults.extend(['refuse'] * 10)


@given('an owner that has not read a submission that another host has stored')
def unread_submission(context):
    context.cluster = Cluster()

    def store():
        cluster = context.cluster
        record = make_record(SUBMISSION_PREFIX + JOB_ID, cluster.make_submission())
        cluster.topic.records.append(record)

    context.before = store


@given('an owner without overload control')
def owner_without_control(context):
    context.cluster = Cluster(overload_control=False)
    context.before = lambda: None


@when('it judges a useless job')
def judge_useless(context):
    async def play():
        async with context.cluster.running():
            await context.cluster.settle()
            context.before()
            context.outcome = await context.cluster.submit()

    curio.run(curio.timeout_after, LONG_TIMEOUT, play)


@then('the job is not answered as refused')
def check_not_refused(context):
    assert not isinstance(context.outcome, Refusal), context.outcome


@then('the job is answered as accepted')
def check_accepted(context):
    assert context.outcome is WriteOutcome.STORED, context.outcome


@then('its heartbeats have no digest')
def check_no_digest(context):
    heartbeats = [one.content for one in context.cluster.topic.records if one.key == OWNER_KEY]
    assert len(heartbeats) > 1
    assert not any(b'load' in content for content in heartbeats), heartbeats


class PreviousOwner(msgspec.Struct, frozen=True):
    """The owner's record as hosts of the previous version read it."""

    epoch: int
    host: str
    term: str
    beat: int = 0
    released: bool = False
    unsettled: float = 0
    read_from: int = 0
    version: int = 0


@given("an owner's record with a digest {kind}")
def record_with_digest(context, kind):
    context.clock = ManualClock(1000)
    at = context.clock.unix_time()
    times = (at + 1e9, -1.0, at - 100) if kind == 'with absurd times' else (at - 1,)
    refused = tuple(RefusedJob(f'{number:016x}', one) for number, one in enumerate(times))
    version = DIGEST_VERSION + (kind == 'of a newer version')
    content = encode_digest(LoadDigest(version, refused=refused))
    if kind == 'that is malformed':
        content = b'{"version":1,"refused":"all"}'
    owner = Owner(1, 'peer', 'peer/1', load=msgspec.Raw(content))
    context.record = make_record(OWNER_KEY, owner)


@when('a host reads it twice')
def read_twice(context):
    context.lines = io.StringIO()
    reader_journal = Journal(context.lines, 'test')
    context.projection = CellProjection(context.clock, reader_journal)
    reader_journal.open()
    for offset in (1, 2):
        context.projection.apply(RecordBatch((context.record,), offset, offset))
    reader_journal.close()


@then('the host knows the owner and {count:d} refused job')
def check_known_owner(context, count):
    state = context.projection.state
    assert state.owner is not None and state.owner.term == 'peer/1'
    assert len(tuple(state.refused_jobs.ids())) == count


@then('an earlier submission of a refused job is {knowledge} to the host')
def check_hidden(context, knowledge):
    state = context.projection.state
    accepted_at = context.clock.unix_time() - 2
    earlier = Submission('urgent', 'desk', accepted_at, JobSpec('', (step(),)))
    job_id = f'{0:016x}'
    state.apply([make_record(SUBMISSION_PREFIX + job_id, earlier)])
    assert (state.find_job(job_id) is None) is (knowledge == 'unknown')
    assert state.is_accepted(job_id) is (knowledge == 'known')


@then('{count:d} log line reports the digest')
def check_digest_lines(context, count):
    lines = [line for line in context.lines.getvalue().splitlines() if 'owner.load' in line]
    assert len(lines) == count, lines


@then('a host of the previous version knows the owner')
def check_previous_version(context):
    decoded = msgspec.json.decode(context.record.content, type=PreviousOwner)
    assert decoded.term == 'peer/1'


class RefusingOwner:
    """Links to an owner that can act and refuses every job for overload."""

    def __init__(self):
        self.forwarded = []

    async def request(self, member, message, timeout):
        if isinstance(message, OwnerAsked):
            return Frame(1, 'peer/1', 0, 0, Done())
        self.forwarded.append(message)
        headers = ((CAUSE_HEADER, 'overload'), ('retry-after', '7'))
        return Frame(1, 'peer/1', 0, 0, ForwardAnswer(Response(503, headers)))


def make_relaying_host(context, links, get_dispatcher=lambda: None):
    clock = ManualClock(1000)
    jobs = CellProjection(clock, journal())
    jobs.state.apply(
        [
            make_record(OWNER_KEY, Owner(1, 'peer', 'peer/1')),
            make_record(f'{MEMBER_PREFIX}peer', Member('north', '127.0.0.1', 1)),
        ]
    )
    jobs.state.has_read_digest = True
    configuration = ConfigurationProjection(None, journal())
    configuration.current = Configuration(1, QUEUES, (Service('desk', False, False),), 9999)
    context.writer = StoringWriter()
    relay = Relay('me', jobs.state, links, clock, journal())
    context.client_api = make_client_api(
        configuration, jobs, AgedFollower(0.0), context.writer, relay, get_dispatcher, clock=clock
    )
    return clock


@given('a host that relays to an owner which refuses jobs for overload')
def relaying_host(context):
    context.links = RefusingOwner()
    make_relaying_host(context, context.links)


@then("the answer has the owner's cause and time to retry")
def check_relayed_refusal(context):
    assert context.answer.header(CAUSE_HEADER) == 'overload', context.answer
    assert context.answer.header('retry-after') == '7', context.answer
    assert [message.attempted_at > 0 for message in context.links.forwarded] == [True]


class LostRefusal:
    """Links to an owner whose answer to a forwarded request is lost."""

    def __init__(self):
        self.refused = []
        self.clock = None

    async def request(self, member, message, timeout):
        if isinstance(message, OwnerAsked):
            return Frame(1, 'peer/1', 0, 0, Done())
        self.refused.append(RefusedJob(JOB_ID, message.attempted_at))
        self.clock.advance(0.9)
        raise PeerError('no answer in time', Verdict.UNKNOWN)


@given('a host that relays to an owner whose refusal is lost')
def relaying_without_answer(context):
    context.links = LostRefusal()
    context.links.clock = make_relaying_host(context, context.links)


@then('the stored submission is later than the refusal')
def check_later(context):
    state = context.client_api._jobs.state
    state.refused_jobs.merge(context.links.refused, context.links.clock.unix_time())
    state.apply(context.writer.written)
    assert len(context.links.refused) == 1
    assert state.is_accepted(JOB_ID)


class RecordingOwner:
    """A dispatcher that records whether it may refuse a job, and refuses it if so."""

    store_is_failing = False

    def __init__(self):
        self.may_refuse = None

    def account_of_job(self, job_id):
        return ''

    async def accept_job(self, job_id, submission, timeout, *, attempted_at):
        self.may_refuse = attempted_at > 0
        return Refusal(RefusalReason.OVERLOAD, 3) if self.may_refuse else WriteOutcome.STORED


class ReadFollower(AgedFollower):
    """A follower that has read the whole topic."""

    has_reached_end = True


@given('an owner that gets a relayed submission of a host of the {version} version')
def relayed_submission(context, version):
    context.owner = RecordingOwner()
    make_relaying_host(context, None, lambda: context.owner)
    context.client_api._follower = ReadFollower(0.0)
    body = msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1, 'cpu': 1000}]})
    request = Request('POST', f'/urgent/{JOB_ID}', (('host', 'h'),), body)
    fields = {'attempted_at': 1000.0} if version == 'present' else {}
    forward = Forward(request, 1.0, 1, Caller(), **fields)
    frame = decode_frame(encode_frame(Frame(1, 'peer/1', 0, 0, forward)))
    context.reply = curio.run(context.client_api.handle_forwarded_request, frame)


@then('the owner {may} refuse it')
def check_may_refuse(context, may):
    expected = may == 'may'
    assert context.owner.may_refuse is expected
    assert context.reply.response.status == (503 if expected else 200), context.reply
    assert not context.reply.no_room
