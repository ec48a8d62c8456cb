"""Steps for tasks that crash their runners."""

from behave import given, then, when

from features.steps.platform_steps import (
    COMPLETED,
    make_job,
    start_hosts,
    submit_job,
    wait_for_state,
)
from standins import wait_for

CRASHING_JOB = 1
#: Block of addresses that no other feature uses.
ADDRESS_BLOCK = 251


@given('{count:d} entry hosts on a platform whose runners may crash')
def start_crashing(context, count):
    start_hosts(context, count, ADDRESS_BLOCK)


def find_crashed_runs(context):
    """Return the runs of the crashing job that have crashed their runners."""
    runs = context.platform.collect_runs()
    return [
        run
        for run in runs
        if run.task.startswith(f'{CRASHING_JOB:016x}') and run.outcome == 'crashed'
    ]


@when('a job whose task crashes its runner is submitted, and {count:d} others')
def submit_crashing_job(context, count):
    body = make_job()
    body['spec'] = f'{body["spec"]} crash'
    submit_job(context, CRASHING_JOB, body)
    for job in range(2, 2 + count):
        submit_job(context, job, make_job(seconds=0.4, count=2))


@when('the owner is killed {count:d} times, each time after another runner has crashed')
def kill_owners(context, count):
    for number in range(1, count + 1):
        wait_for(lambda number=number: len(find_crashed_runs(context)) >= number)
        owner = context.hosts.owner()
        context.hosts.kill(owner)
        context.hosts.start(owner)
        context.hosts.wait_ready()


@then('its task has crashed {minimum:d} or {maximum:d} runners')
def check_crash_count_between(context, minimum, maximum):
    assert minimum <= len(find_crashed_runs(context)) <= maximum, find_crashed_runs(context)


@then('its task has crashed at most {maximum:d} runners')
def check_crash_count(context, maximum):
    assert len(find_crashed_runs(context)) <= maximum, find_crashed_runs(context)


@then('the {count:d} other jobs are completed')
def check_others_completed(context, count):
    for job in range(2, 2 + count):
        wait_for_state(context, job, COMPLETED, context.hosts.names[:1])
