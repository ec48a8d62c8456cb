"""Steps for owners that follow one another while a runner does not answer."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._election import HEARTBEAT_SECONDS, Term
from dandelionreel.cell.model import RunnerError, WriterFence
from dandelionreel.cell.model._model import JobSpec, JobState
from dandelionreel.cell.model._records import (
    LEASES_END_SECONDS,
    OWNER_KEY,
    PROGRESS_PREFIX,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    Owner,
    Progress,
    RunnersInUse,
    Submission,
    make_record,
)
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.kernel import ManualClock, Verdict
from features.cell_parts import make_registration, make_view, step, task
from features.store_parts import Host, make_dispatcher, until
from standins import MemoryTopic

#: Seconds between the last answered append of an owner that is lost and the claim of the next one.
CLAIM_SECONDS = 1.0


class AnsweringRunner:
    """A runner that answers polls and records the leases that they grant."""

    def __init__(self, clock):
        self._clock = clock
        self.leases = []

    async def poll(self, epoch, acknowledged, lease_until, wait):
        self.leases.append(lease_until)
        return make_view(self._clock.monotonic())


class OnceAnsweringRunner(AnsweringRunner):
    """A runner that lists a run in its first answer, and gives no other answer."""

    async def poll(self, epoch, acknowledged, lease_until, wait):
        self.leases.append(lease_until)
        if len(self.leases) > 1:
            raise RunnerError('reset', Verdict.UNKNOWN, connection_broken=True)
        return make_view(self._clock.monotonic(), running=((task('j1'), 1),))


class Owners:
    """Owners of one cell, one after the other, on a simulated clock."""

    def __init__(self):
        self.clock = ManualClock(1000)
        self.lost_at = self.clock.monotonic()
        self.topic = MemoryTopic()
        self.dispatcher = None
        submission = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
        records = [
            make_record(OWNER_KEY, Owner(1, 'h1', 'h1/1', leases_end=LEASES_END_SECONDS)),
            make_record(f'{SUBMISSION_PREFIX}j1', submission),
            make_record(f'{PROGRESS_PREFIX}j1', Progress(1, JobState.RUNNING, runners=('w9',))),
            make_record(RUNNERS_IN_USE_KEY, RunnersInUse(1, ('w1', 'w9'))),
        ]
        curio.run(self.topic.append, records, 0.1, WriterFence(1, 1))

    @property
    def now(self):
        return self.clock.monotonic()

    @property
    def is_blocked(self):
        cell = self.dispatcher.cell
        self.dispatcher._periodic_checks._drop_unseen_runners(self.now)
        return cell.is_blocked(cell.job_by_id['j1'])

    @property
    def stored_runners(self):
        return self._read_store().projection.state.runners_in_use

    def claim(self, *, has_rival=False):
        """Let the next owner claim the cell, and poll w1 but not w9.

        Its first claim is refused, as the topic has grown, or because a rival has claimed meanwhile.
        """
        self.clock.advance(CLAIM_SECONDS)
        former = self._read_store().projection.state.owner
        if has_rival:
            self._append_claim(former, former.epoch + 1)
        epoch = former.epoch + 2
        claim = self._append_claim(former, epoch)
        term = Term(
            epoch,
            claim.term,
            WriterFence(epoch, 2),
            self.now - CLAIM_SECONDS,
            False,
            False,
            former.unsettled,
            former,
        )
        self.dispatcher = make_dispatcher(self._read_store(), term, self.topic, self.clock)
        self.dispatcher._load_state()
        registrations = {runner: make_registration(runner) for runner in ('w1', 'w9')}
        cell = self.dispatcher.cell
        cell.update_runners(registrations, self.now)
        cell.runner_by_id['w9'].suspect = True
        cell.handle_view(cell.runner_by_id['w1'], make_view(self.now), self.now, self.now)

    def act(self, seconds):
        """Let the owner store heartbeats for some time."""
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(min(HEARTBEAT_SECONDS, end - self.now))
            assert self.is_blocked in {True, False}
            curio.run(self._store_heartbeat)

    def poll(self, runner):
        """Let the owner poll w9, which answers."""
        owner = self.dispatcher._owner_context
        state = owner.cell.runner_by_id['w9']
        curio.run(RunnerPoller(owner)._poll_runner_once, state, runner)

    def _read_store(self):
        host = Host('me', self.topic, self.clock)
        host.projection.apply(curio.run(self.topic.read, 0, 0, 0))
        return host

    def _append_claim(self, former, epoch):
        claim = Owner(
            epoch,
            f'h{epoch}',
            f'h{epoch}/1',
            unsettled=max(former.leases_end, former.unsettled),
            leases_end=LEASES_END_SECONDS,
        )
        curio.run(self.topic.append, [make_record(OWNER_KEY, claim)], 0.1, WriterFence(epoch, 1))
        return claim

    async def _store_heartbeat(self):
        appends = self.topic.appends
        await curio.spawn(self.dispatcher._owner_context.writer.run, daemon=True)
        await curio.spawn(self.dispatcher._store_heartbeats, daemon=True)
        await until(lambda: self.topic.appends > appends)
        await curio.sleep(0.01)


@given('an owner that was lost, with a job on w9, which does not answer')
def lost_owner(context):
    context.owners = Owners()


@when('{count:d} owners follow it, each of which is lost after {seconds:g} s')
def owners_follow(context, count, seconds):
    for _ in range(count):
        context.owners.claim()
        context.owners.act(seconds)


@then('the job on w9 waits until the leases of the lost owner have expired')
def blocked_until_expired(context):
    owners = context.owners
    owners.claim()
    while owners.now < owners.lost_at + LEASES_END_SECONDS:
        assert owners.is_blocked, owners.now - owners.lost_at
        owners.clock.advance(0.1)


@then('it can start within {seconds:g} s after the loss')
def starts_within(context, seconds):
    owners = context.owners
    while owners.is_blocked:
        owners.clock.advance(0.1)
    assert owners.now - owners.lost_at <= seconds, owners.now - owners.lost_at


@then('that job can start, also once another owner has claimed the cell')
def not_blocked_again(context):
    assert not context.owners.is_blocked
    context.owners.claim()
    assert not context.owners.is_blocked


@when('an owner follows it for {seconds:g} s')
def owner_follows(context, seconds):
    owners_follow(context, 1, seconds)


@when('an owner follows it for {seconds:g} s, and w9 then answers')
def runner_answers(context, seconds):
    owners = context.owners
    owner_follows(context, seconds)
    context.runner = AnsweringRunner(owners.clock)
    for _ in range(3):
        owners.poll(context.runner)


@then('it grants no lease on w9 before the store names w9 no longer')
def no_lease(context):
    owners = context.owners
    assert owners.stored_runners.unreached == ('w9',), owners.stored_runners
    assert context.runner.leases == [None, None, None], context.runner.leases
    context.was_usable = owners.dispatcher.cell.runner_by_id['w9'].is_usable(owners.now)
    owners.act(HEARTBEAT_SECONDS)
    assert owners.stored_runners.unreached == (), owners.stored_runners
    owners.poll(context.runner)
    assert context.runner.leases[-1] is not None


@then('a task is started there only from then on')
def startable(context):
    assert not context.was_usable
    owners = context.owners
    assert owners.dispatcher.cell.runner_by_id['w9'].is_usable(owners.now)


@when('an owner follows it for {seconds:g} s, and two claims follow each other at once')
def rival_claims(context, seconds):
    owner_follows(context, seconds)
    context.owners.claim(has_rival=True)


@then('the owner after it waits for all leases of it')
def waits_for_its_leases(context):
    context.owners.claim()
    waits_for_leases(context)


@then('it waits for all leases that an owner between them may have granted')
def waits_for_leases(context):
    owners = context.owners
    claimed_at = owners.now
    while owners.is_blocked:
        owners.clock.advance(0.1)
    assert owners.now - claimed_at >= LEASES_END_SECONDS - CLAIM_SECONDS


@when('an owner follows it for {seconds:g} s, and w9 answers one poll, with the run of the job')
def runner_answers_once(context, seconds):
    owners = context.owners
    owner_follows(context, seconds)
    runner = OnceAnsweringRunner(owners.clock)
    for _ in range(2):
        owners.poll(runner)


@then('that run counts as running while w9 answers no more')
def run_is_kept(context):
    owners = context.owners
    state = owners.dispatcher.cell.runner_by_id['w9']
    assert owners.now - owners.lost_at < LEASE_SECONDS
    assert (task('j1'), 1) in state.allocation_by_run, state.allocation_by_run
