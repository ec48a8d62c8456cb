"""Steps on jobs whose end may not be stored yet."""

import curio
from behave import given, then, when

from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import JobSpec, Submission, WriterFence
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    Member,
    Owner,
    Progress,
    RunnersInUse,
    make_record,
)
from dandelionreel.cell.store._projections import CellProjection, ConfigurationProjection
from dandelionreel.http import Request
from dandelionreel.kernel import ManualClock, SystemClock
from dandelionreel.peers import Frame
from features.cell_parts import SmallCell, make_registration, make_view, step, task
from features.client_parts import ConnectedDetector, make_client_api
from features.store_parts import (
    LONG_TIMEOUT,
    Host,
    SilentPeerLinks,
    journal,
    make_dispatcher,
    until,
)
from standins import MemoryTopic

JOB = '0123456789abcdef'
TASK = task(JOB)
RUN = 1001
SUBMISSION = make_record(
    SUBMISSION_PREFIX + JOB, Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
)
RUNNING = make_record(PROGRESS_PREFIX + JOB, Progress(1, JobState.RUNNING, runners=('w1',)))
COMPLETED = make_record(PROGRESS_PREFIX + JOB, Progress(1, JobState.COMPLETED, runners=('w1',)))
LISTED = ((1, TASK, RUN, 'done'),)


def list_runs(cell, runner, now, running=(), ended=()):
    """Apply the answer of a runner that lists these runs and ends."""
    cell.handle_view(cell.runner_by_id[runner], make_view(now, running, ended), now, now)


class OwnerLinks:
    """Links to the owner, which answers forwarded requests by its client API."""

    def __init__(self, client_api):
        self._client_api = client_api

    async def request(self, member, message, timeout):
        """Forward the message to the owner."""
        forwarded = Frame(1, 'other/1', 0, 0, message)
        answer = await self._client_api.handle_forwarded_request(forwarded)
        return Frame(1, 'owner/1', 0, 0, answer)


class CutOffDetector(ConnectedDetector):
    """The partition detector of a host that is cut off."""

    is_cut_off = True


class OwnedCell:
    """An owner with a job that runs on w1, and another host, both with a client API."""

    def __init__(self):
        self.clock = SystemClock()
        self.topic = MemoryTopic()
        curio.run(self.topic.append, [SUBMISSION, RUNNING], LONG_TIMEOUT)
        owner = make_record(OWNER_KEY, Owner(1, 'owner', 'owner/1'))
        member = make_record(f'{MEMBER_PREFIX}owner', Member('north', '127.0.0.1', 1))
        curio.run(self.topic.append, [owner, member], LONG_TIMEOUT)
        self.host_by_name = {name: Host(name, self.topic) for name in ('owner', 'other')}
        small = SmallCell()
        self.configuration = ConfigurationProjection(None, journal())
        self.configuration.current = small.cell.configuration

    async def start(self):
        """Read the topic at both hosts, and load the owner's term."""
        for host in self.host_by_name.values():
            await curio.spawn(host.follower.run, daemon=True)
            await until(lambda host=host: host.follower.has_reached_end)
        host = self.host_by_name['owner']
        term = Term(1, 'owner/1', WriterFence(1, 1), None, False, False)
        self.dispatcher = make_dispatcher(host, term, self.topic, self.clock)
        self.dispatcher._load_state()
        await curio.spawn(self.dispatcher._owner_context.writer.run, daemon=True)
        await curio.spawn(self.dispatcher._follow_jobs, daemon=True)

    async def list_end(self):
        """Apply a view of w1 that lists the end, and begin to store it."""
        cell = self.dispatcher.cell
        now = self.clock.monotonic()
        cell.update_runners({'w1': make_registration('w1')}, now)
        list_runs(cell, 'w1', now, ended=LISTED)
        await curio.spawn(self.dispatcher._owner_context.flush_progress, daemon=True)
        await curio.sleep(0.1)

    def client_api(self, host_name):
        """Return the client API of the owner, of another host or of one that is cut off."""
        owner_api = self._make_api('owner', None, lambda: self.dispatcher)
        if host_name == 'the owner':
            return owner_api
        detector = CutOffDetector() if 'cut off' in host_name else ConnectedDetector()
        return self._make_api('other', OwnerLinks(owner_api), lambda: None, detector)

    def _make_api(self, name, links, get_dispatcher, detector=None):
        host = self.host_by_name[name]
        state = host.projection.state
        return make_client_api(
            self.configuration,
            host.projection,
            host.follower,
            None,
            Relay(name, state, links, self.clock, journal()),
            get_dispatcher,
            partition_detector=detector,
        )

    async def ask(self, host_name):
        """Return what a client is answered that asks for the state of the job."""
        request = Request('GET', f'/urgent/{JOB}', (('host', 'h'),))
        return await self.client_api(host_name).handle(request)


@given('an owner whose store is {store}')
def owner_with_store(context, store):
    context.owned = OwnedCell()
    context.store = store


@when('a runner lists the end of its job')
def list_end(context):
    context.restores_store = False


@when('its store is available again')
def restore_store(context):
    context.restores_store = True


async def bring_about_end(context):
    """Let the runner list the end while the store is as the scenario says."""
    owned = context.owned
    await owned.start()
    owned.topic.down = context.store == 'unavailable'
    if context.store == 'losing answers of appends':
        owned.topic.faults.extend(['silence'] * 100)
    await owned.list_end()
    if context.restores_store:
        owned.topic.down = False


@then('a client that asks {host} is told that the job is {state}')
def check_told_state(context, host, state):
    async def ask():
        await bring_about_end(context)
        return await context.owned.ask(host)

    answer = curio.run(ask)
    assert answer.status == 200 and state in answer.body.decode(), answer


@then('a client that asks {host} is told within {seconds:g} s that the job is completed')
def check_told_in_time(context, host, seconds):
    async def ask():
        await bring_about_end(context)
        async with curio.timeout_after(seconds):
            while 'completed' not in (await context.owned.ask(host)).body.decode():
                await curio.sleep(0.01)

    curio.run(ask)


@given('a store in which a job runs on w1, and its end is {stored}')
def stored_job(context, stored):
    context.topic = MemoryTopic()
    in_use = make_record(RUNNERS_IN_USE_KEY, RunnersInUse(1, ('w1',)))
    records = [SUBMISSION, RUNNING, in_use, make_record(OWNER_KEY, Owner(1, 'old', 'old/1'))]
    if stored == 'stored':
        records.append(COMPLETED)
    curio.run(context.topic.append, records, LONG_TIMEOUT)


@when('a host owns the cell and w1 {answers}')
def take_over(context, answers):
    host = Host('me', context.topic)
    now = host.clock.monotonic()
    former = Owner(1, 'old', 'old/1')
    term = Term(2, 'me/1', WriterFence(2, 1), now, False, True, former=former)

    async def load():
        await curio.spawn(host.follower.run, daemon=True)
        await until(lambda: host.follower.has_reached_end)
        dispatcher = make_dispatcher(host, term, context.topic, host.clock)
        dispatcher._load_state()
        return dispatcher.cell

    cell = context.cell = curio.run(load)
    cell.update_runners({name: make_registration(name) for name in ('w1', 'w2')}, now)
    list_runs(cell, 'w2', now)
    if answers == 'has restarted':
        cell.handle_ended_runner('w1', proven=True)
    elif answers == 'lists it as done':
        list_runs(cell, 'w1', now, ended=LISTED)
    elif answers == 'still runs the task':
        list_runs(cell, 'w1', now, running=((TASK, RUN),))


@then("the job's task is {outcome}")
def check_started_again(context, outcome):
    job = context.cell.job_by_id.get(JOB)
    is_over = job is None or job.state is JobState.COMPLETED
    assert is_over is outcome.endswith('the job complete'), job
    waits = not is_over and not context.cell.is_blocked(job) and bool(job.ready_steps(0))
    assert waits is (outcome == 'started again'), outcome


class NextRead:
    """A follower whose next read, once it is waited for, ends as the scenario says."""

    has_reached_end = True

    def __init__(self, fresh_at, read, projection):
        self.fresh_at = fresh_at
        self._read = read
        self._projection = projection

    def age(self, now):
        """Return the age of the latest complete read."""
        return now - self.fresh_at

    async def wait_until_fresh(self, since, timeout):
        """Apply the next read if an earlier one is too old."""
        if self.fresh_at >= since:
            return True
        if self._read == 'does not come in time':
            return False
        if self._read == 'has the job':
            self._projection.state.apply([SUBMISSION])
        self.fresh_at = since
        return True


@given('a host whose latest complete read of the store was sent {age:g} s before the request')
def host_with_read(context, age):
    context.read_age = age


@given('the next read {read}')
def next_read(context, read):
    clock = ManualClock(1000)
    projection = CellProjection(clock, journal())
    follower = NextRead(1000 - context.read_age, read, projection)
    configuration = ConfigurationProjection(None, journal())
    configuration.current = SmallCell().cell.configuration
    relay = Relay('other', projection.state, SilentPeerLinks(), clock, journal())
    context.client_api = make_client_api(
        configuration, projection, follower, None, relay, clock=clock
    )


@when('a client asks it for a job that it does not know')
def ask_for_unknown_job(context):
    request = Request('GET', f'/urgent/{JOB}', (('host', 'h'),))
    context.answer = curio.run(context.client_api.handle, request)


@then('its status request gets {status:d}')
def check_status(context, status):
    assert context.answer.status == status, context.answer
