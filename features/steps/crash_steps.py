"""Steps on tasks that crash the runners they are started on."""

from behave import given, then, when

from features.steps.platform_steps import DONE, hand_in, start_hosts, task, wait_state
from standins import wait_for

CULPRIT = 1
#: Addresses that no other feature uses.
BLOCK = 251


@given('{count:d} entry hosts on a platform whose runners may crash')
def start_crashing(context, count):
    start_hosts(context, count, BLOCK)


def crashed_runs(context):
    """Return the runs of the job that a runner has crashed under."""
    runs = context.platform.collect_runs()
    return [
        run for run in runs if run.task.startswith(f'{CULPRIT:016x}') and run.outcome == 'crashed'
    ]


@when('a job whose task crashes its runner is handed in, and {count:d} others')
def hand_in_culprit(context, count):
    body = task()
    body['spec'] = f'{body["spec"]} crash'
    hand_in(context, CULPRIT, body)
    for job in range(2, 2 + count):
        hand_in(context, job, task(seconds=0.4, count=2))


@when('the owner is killed {count:d} times, each time once another runner has crashed')
def kill_owners(context, count):
    for number in range(1, count + 1):
        wait_for(lambda number=number: len(crashed_runs(context)) >= number)
        owner = context.hosts.owner()
        context.hosts.kill(owner)
        context.hosts.start(owner)
        context.hosts.wait_ready()


@then('{fewest:d} or {most:d} runners have crashed under its task')
def crashed_between(context, fewest, most):
    assert fewest <= len(crashed_runs(context)) <= most, crashed_runs(context)


@then('no more than {most:d} runners have crashed under its task')
def crashed_at_most(context, most):
    assert len(crashed_runs(context)) <= most, crashed_runs(context)


@then('the {count:d} other jobs are completed')
def others_completed(context, count):
    for job in range(2, 2 + count):
        wait_state(context, job, DONE, context.hosts.names[:1])
