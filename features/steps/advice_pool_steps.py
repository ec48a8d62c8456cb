"""Steps on the pool of requests to the policy service, in virtual time."""

import random

import curio
from behave import given, then, when

from dandelionreel.cell.decisions import AdviceRequest
from dandelionreel.cell.membership import AdvicePool
from dandelionreel.cell.model import AdvicePolicy, StepName
from features.advice_hosts import BROKEN, CUT, LOST, OWN_HOST, REFUSED, AdviceHosts
from features.steps.report_steps import RecordingJournal
from features.virtual_time import run_in_virtual_time

VALID_SECONDS = 2.0
#: Seconds before a failed request is submitted again, as the owner does.
RETRY_SECONDS = 0.1
#: More faults than any scenario has calls.
ALWAYS = 1000
#: Gangs of the seeded simulation, and the requests of each.
RANDOM_GANGS = 60
PARTS = 3
GANGS_PER_SECOND = 2.0
SLOW_FACTOR = 3
SETTLE_SECONDS = 20


class PoolRun:
    """A pool whose requests are repeated until they are answered."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.journal = RecordingJournal()
        self.submitted_at_by_job = {}
        self.answered_at_by_job = {}
        #: Callbacks without a request that was submitted and has not ended.
        self.unexpected = []
        self.open_by_job = {}
        self.failures = 0
        self.raise_in_callback = False
        self.pool = None

    def open_pool(self, clock):
        self.clock = self.hosts.clock = clock
        self.pool = AdvicePool(
            OWN_HOST,
            lambda: self.hosts.members,
            self.hosts,
            self.hosts,
            clock,
            self.journal,
            self.record_answer,
            self.record_failure,
        )

    async def submit(self, job, priority=1, runners=1):
        names = tuple(f'r{number}' for number in range(runners))
        policy = AdvicePolicy(self.hosts.seconds, 0.0, VALID_SECONDS)
        request = AdviceRequest(StepName(job, 0, 0), names, priority, policy)
        self.submitted_at_by_job.setdefault(job, self.clock.monotonic())
        self.open_by_job[job] = self.open_by_job.get(job, 0) + 1
        await self.pool.submit_request(request)

    async def record_answer(self, request, *ignored):
        self.end(request)
        self.answered_at_by_job[request.step.job] = self.clock.monotonic()
        if self.raise_in_callback:
            self.raise_in_callback = False
            raise RuntimeError('a fault of the program')

    async def record_failure(self, request, *ignored):
        self.end(request)
        self.failures += 1
        await curio.spawn(self.submit_again, request, daemon=True)

    async def submit_again(self, request):
        await curio.sleep(RETRY_SECONDS)
        await self.submit(request.step.job, request.priority)

    def end(self, request):
        job = request.step.job
        self.open_by_job[job] = self.open_by_job.get(job, 0) - 1
        if self.open_by_job[job] < 0:
            self.unexpected.append(job)

    def seconds_of(self, job):
        return self.answered_at_by_job.get(job, float('inf')) - self.submitted_at_by_job[job]


@given('{count:d} hosts whose calls take {seconds:g} s')
def given_hosts(context, count, seconds):
    context.hosts = AdviceHosts(count, seconds)
    context.pool_run = PoolRun(context.hosts)


async def submit_one(run):
    await run.submit('j0')
    await curio.sleep(15)


async def lose_first_call(run):
    run.hosts.faults_by_host[OWN_HOST] = [LOST]
    await submit_one(run)


async def answer_late(run):
    run.hosts.factor_by_host[OWN_HOST] = 4
    await submit_one(run)


async def lose_call_then_answer_slowly(run):
    run.hosts.faults_by_host[OWN_HOST] = [LOST]
    run.hosts.factor_by_host['h1'] = 1.3
    await submit_one(run)


async def lose_three_calls(run):
    for host in (OWN_HOST, 'h1', 'h2'):
        run.hosts.faults_by_host[host] = [LOST]
    await submit_one(run)


async def break_first_call(run):
    run.hosts.faults_by_host[OWN_HOST] = [BROKEN]
    await submit_one(run)


async def refuse_first_calls(run):
    for host in run.hosts.members:
        run.hosts.faults_by_host[host] = [REFUSED]
    await submit_one(run)


async def refuse_all_calls(run):
    for host in run.hosts.members:
        run.hosts.faults_by_host[host] = [REFUSED] * ALWAYS
    await run.submit('j0')
    await curio.sleep(2)


async def slow_down_all_hosts(run):
    run.hosts.factor_by_host = dict.fromkeys(run.hosts.members, 2)
    for number in range(20):
        await run.submit(f'j{number}', priority=0)
    await curio.sleep(15)


async def cut_first_call(run):
    run.hosts.faults_by_host[OWN_HOST] = [CUT]
    await submit_one(run)


async def never_answer_own_host(run):
    run.hosts.faults_by_host[OWN_HOST] = [LOST] * ALWAYS
    for number in range(10):
        await run.submit(f'j{number}')
        await curio.sleep(1.9)
    await curio.sleep(15)


async def refuse_own_host(run):
    run.hosts.faults_by_host[OWN_HOST] = [REFUSED] * ALWAYS
    for number in range(10):
        await run.submit(f'j{number}')
        await curio.sleep(0.3)
    await curio.sleep(15)


async def fail_callback(run):
    run.raise_in_callback = True
    for host in tuple(run.hosts.members)[1:]:
        run.hosts.members.pop(host)
    await run.submit('j0')
    await run.submit('j1')
    await curio.sleep(15)


async def remove_host_with_call(run):
    run.hosts.faults_by_host['h1'] = [LOST] * ALWAYS
    await run.submit('j0')
    await run.submit('j1')
    await curio.sleep(0.1)
    run.hosts.members.pop('h1')
    await curio.sleep(15)


async def lose_part(run):
    run.hosts.faults_by_host['h2'] = [LOST]
    for number in range(4):
        await run.submit(f'j{number}')
    await curio.sleep(15)


async def remove_hosts_with_queue(run):
    for number in range(6):
        await run.submit(f'j{number}', priority=0)
    await curio.sleep(0.1)
    for host in tuple(run.hosts.members)[1:]:
        run.hosts.members.pop(host)
    await curio.sleep(15)


async def tie_priorities(run):
    for number in range(6):
        await run.submit(f'j{number}', priority=number % 2)
    await curio.sleep(15)


SITUATION_BY_NAME = {
    'the first call is lost': lose_first_call,
    'the first call is late': answer_late,
    'the first call is lost and the second one takes 0.95 s': lose_call_then_answer_slowly,
    'the first three calls are lost': lose_three_calls,
    'the first call raises an error of the program': break_first_call,
    'the first call is refused by each host': refuse_first_calls,
    'all calls are refused for 2 s': refuse_all_calls,
    'all calls of 20 urgent requests take twice as long': slow_down_all_hosts,
    'the connection to the first host is cut': cut_first_call,
    "the own host's calls are all lost": never_answer_own_host,
    "the own host's calls are all refused": refuse_own_host,
    'the handler of an answer fails': fail_callback,
    'a host leaves with its call': remove_host_with_call,
    'one part of a gang is lost': lose_part,
    'all other hosts leave while requests wait': remove_hosts_with_queue,
    'requests of equal priorities wait': tie_priorities,
}


@when('{situation} in the pool')
def play_situation(context, situation):
    run = context.pool_run

    async def play(clock):
        run.open_pool(clock)
        await SITUATION_BY_NAME[situation](run)

    run_in_virtual_time(play)


@then('each request ends once and is answered within {seconds:g} s')
def check_answers(context, seconds):
    run = context.pool_run
    late = {
        job: round(run.seconds_of(job), 2)
        for job in run.submitted_at_by_job
        if run.seconds_of(job) > seconds
    }
    assert not late, late
    check_ends(context)


@then('each request ends once')
def check_ends(context):
    run = context.pool_run
    assert not run.unexpected, run.unexpected
    unended = {job: count for job, count in run.open_by_job.items() if count}
    assert not unended, f'without an end: {unended}'


@then('the log tells that {host} gave no advice, and how long the call took')
def check_failure_line(context, host):
    lines = [
        fields
        for text, fields in context.pool_run.journal.entries
        if f'no advice by {host}' in text
    ]
    assert len(lines) == 1, context.pool_run.journal.entries
    (fields,) = lines
    assert fields['by'] == host and fields['host_failures'] == 1, fields
    assert fields['took'] > fields['expected'] == 0.73 and fields['queued'] == 0, fields


@then('the metrics have {failed:d} call that failed and {answered:d} that was answered')
def check_call_counts(context, failed, answered):
    counts_by_outcome = context.pool_run.pool.figures.calls_by_outcome
    counts = {outcome.value: count for outcome, count in counts_by_outcome.items()}
    assert (counts['failed'], counts['answered']) == (failed, answered), counts


class RandomGangs:
    """Gangs whose parts are requested at random times, through hosts that fail at random."""

    def __init__(self, run, seed):
        self.run = run
        self.random = random.Random(seed)

    def harm_hosts(self, failing, slow, lost):
        hosts = list(self.run.hosts.members)
        chosen = self.random.sample(hosts, failing + slow)
        for host in hosts:
            self.run.hosts.faults_by_host[host] = [
                LOST if self.random.random() < lost else '' for _ in range(ALWAYS)
            ]
        for host in chosen[:failing]:
            fault = self.random.choice((LOST, CUT, REFUSED))
            self.run.hosts.faults_by_host[host] = [fault] * ALWAYS
        for host in chosen[failing:]:
            self.run.hosts.factor_by_host[host] = SLOW_FACTOR

    async def submit_all(self):
        for number in range(RANDOM_GANGS):
            for part in range(PARTS):
                await self.run.submit(f'gang{number:02}-{part}', runners=45)
            await curio.sleep(self.random.expovariate(GANGS_PER_SECOND))
        await curio.sleep(SETTLE_SECONDS)


@when(
    'gangs request advice at random with seed {seed:d}, {failing:d} hosts that fail, {slow:d} slow '
    'ones and {lost:d} % of calls lost'
)
def submit_random_gangs(context, seed, failing, slow, lost):
    run = context.pool_run
    gangs = RandomGangs(run, seed)
    gangs.harm_hosts(failing, slow, lost / 100)

    async def play(clock):
        run.open_pool(clock)
        await gangs.submit_all()

    run_in_virtual_time(play)


@then('there is one call for each request')
def check_call_count(context):
    run = context.pool_run
    assert len(run.hosts.calls) == len(run.submitted_at_by_job), len(run.hosts.calls)


@then('there are {count:d} calls')
def check_calls(context, count):
    assert len(context.hosts.calls) == count, context.hosts.calls


@then('there are at most {count:d} calls in all')
def check_most_calls_in_all(context, count):
    assert len(context.hosts.calls) <= count, len(context.hosts.calls)


@then('there are at most {factor:g} calls for each request')
def check_most_calls(context, factor):
    run = context.pool_run
    assert len(run.hosts.calls) <= factor * len(run.submitted_at_by_job), len(run.hosts.calls)


@then('no call waits in the service behind another one of its host')
def check_service_queue(context):
    assert max(context.hosts.queued_seconds) < 0.001, max(context.hosts.queued_seconds)
