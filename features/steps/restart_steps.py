"""Steps for runners that restart under the same id."""

import time
from collections import Counter

from behave import given, then, when

from features.steps.platform_steps import (
    get_job_state,
    make_job,
    start_hosts,
    submit_job,
    wait_for_all_completed,
)
from standins import wait_for

#: Block of addresses that no other feature uses.
ADDRESS_BLOCK = 248
FULL_CPU = 8000
GANG_JOB = 99
DARK_SECONDS = 0.3


@given('{count:d} entry hosts on a platform whose runners restart under their ids')
def start_restarting(context, count):
    start_hosts(context, count, ADDRESS_BLOCK, reports_incarnation=True)


def restart(context, runner, pause=0.05):
    """Crash a runner, start it again and update its entry afterwards."""
    runner.crash()
    time.sleep(pause)
    runner.restart()
    context.platform.register(runner)


def restart_all(context):
    for runner in context.platform.runners:
        restart(context, runner)


def submit_jobs(context, numbers, **fields):
    for job in numbers:
        submit_job(context, job, make_job(**fields), 'advised' if job % 2 else 'plain')


@when('{count:d} jobs are completed, all runners restart, and {more:d} more are submitted')
def restart_between(context, count, more):
    submit_jobs(context, range(1, count + 1), cpu=500, seconds=0.1, count=4)
    wait_for_all_completed(context)
    restart_all(context)
    submit_jobs(context, range(count + 1, count + more + 1), cpu=500, seconds=0.3, count=2)


@when('{count:d} jobs are submitted while runners restart every {interval:g} seconds')
def restart_while_submitting(context, count, interval):
    runners = context.platform.runners
    restarted_at = time.monotonic()
    restarts = 0
    for job in range(1, count + 1):
        submit_jobs(context, (job,), cpu=500, seconds=0.2, count=3)
        time.sleep(0.15)
        if time.monotonic() >= restarted_at + interval:
            restarted_at = time.monotonic()
            restart(context, runners[restarts % len(runners)])
            restarts += 1
    assert restarts >= 3, restarts


@when('all runners restart, and one is lost permanently while it runs tasks started since then')
def restart_and_lose(context):
    platform = context.platform
    submit_jobs(context, range(1, 5), cpu=500, seconds=0.1, count=4)
    wait_for_all_completed(context)
    restart_all(context)
    before = len(platform.runs)
    submit_job(context, 9, make_job(cpu=FULL_CPU, seconds=3, count=len(platform.runners)))
    wait_for(lambda: len(platform.runs) - before >= len(platform.runners))
    # The new incarnations must have answered polls.
    time.sleep(1)
    lost = platform.runners[0]
    lost.crash()
    platform.store.put('keyed.servers', lost.name, None)


@when('long jobs run, the owner is killed, and all runners restart before another owns the cell')
def restart_before_takeover(context):
    submit_jobs(context, range(1, 5), cpu=500, seconds=0.1, count=4)
    wait_for_all_completed(context)
    before = len(context.platform.runs)
    submit_jobs(context, range(5, 9), cpu=1000, seconds=2, count=3)
    wait_for(lambda: len(context.platform.runs) - before >= 12)
    context.hosts.kill(context.hosts.owner())
    restart_all(context)


@when(
    'each runner has listed {ends:d} ends, all restart, and a gang of {members:d} tasks is submitted'
)
def restart_before_gang(context, ends, members):
    platform = context.platform
    submit_jobs(context, range(1, 11), cpu=500, seconds=0.1, count=12)
    wait_for_all_completed(context)
    ended = Counter(run.runner for run in platform.collect_runs())
    assert min(ended.values()) >= ends, ended
    restart_all(context)
    submit_job(
        context, GANG_JOB, make_job(cpu=2000, seconds=0.6, count=members, gang=True), 'advised'
    )


@when('{times:d} times all runners go dark, are back, and {count:d} jobs are submitted at once')
def restart_in_the_dark(context, times, count):
    runners = context.platform.runners
    for number in range(times):
        # Opens the connections for orders to each runner.
        first = 100 * number + 100
        submit_jobs(context, [first], cpu=500, seconds=0.1, count=48)
        wait_for_all_ended(context)
        for runner in runners:
            runner.crash(is_dark=True)
        time.sleep(DARK_SECONDS)
        for runner in runners:
            runner.restart()
        submit_jobs(context, range(first + 1, first + 1 + count), cpu=2000, seconds=0.1, count=2)
        time.sleep(DARK_SECONDS)
        for runner in runners:
            context.platform.register(runner)
        wait_for_all_ended(context)


def wait_for_all_ended(context):
    host = context.hosts.names[0]
    for job in context.path_by_id:
        wait_for(lambda job=job: get_job_state(context, job, host) in {'completed', 'failed'})


@then('none of them is shown as failed')
def check_none_failed(context):
    host = context.hosts.names[0]
    failed = [job for job in context.path_by_id if get_job_state(context, job, host) == 'failed']
    assert not failed, failed


@then('the gang has run once')
def check_gang_ran_once(context):
    runs = context.platform.collect_runs()
    numbers = {run.number for run in runs if run.task.startswith(f'{GANG_JOB:016x}')}
    assert len(numbers) == 1, numbers
