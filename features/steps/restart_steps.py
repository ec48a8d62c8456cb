"""Steps on runners that restart under the id that they had."""

import time
from collections import Counter

from behave import given, then, when

from features.steps.platform_steps import all_completed, hand_in, start_hosts, task
from standins import wait_for

#: Addresses that no other feature uses.
BLOCK = 248
FULL_CPU = 8000
GANG = 99


@given('{count:d} entry hosts on a platform whose runners restart under their ids')
def start_restarting(context, count):
    start_hosts(context, count, BLOCK, reports_incarnation=True)


def restart(context, runner, dark=0.05):
    """Let a runner crash and start again; its entry tells a while later."""
    runner.crash()
    time.sleep(dark)
    runner.restart()
    context.platform.register(runner)


def restart_all(context):
    for runner in context.platform.runners:
        restart(context, runner)


def hand_in_jobs(context, numbers, **fields):
    for job in numbers:
        hand_in(context, job, task(**fields), 'advised' if job % 2 else 'plain')


@when('{count:d} jobs are completed, all runners restart, and {more:d} more are handed in')
def restart_between(context, count, more):
    hand_in_jobs(context, range(1, count + 1), cpu=500, seconds=0.1, count=4)
    all_completed(context)
    restart_all(context)
    hand_in_jobs(context, range(count + 1, count + more + 1), cpu=500, seconds=0.3, count=2)


@when('{count:d} jobs are handed in while runners restart every {gap:g} seconds')
def restart_meanwhile(context, count, gap):
    runners = context.platform.runners
    restarted_at = time.monotonic()
    restarts = 0
    for job in range(1, count + 1):
        hand_in_jobs(context, (job,), cpu=500, seconds=0.2, count=3)
        time.sleep(0.15)
        if time.monotonic() >= restarted_at + gap:
            restarted_at = time.monotonic()
            restart(context, runners[restarts % len(runners)])
            restarts += 1
    assert restarts >= 3, restarts


@when('all runners restart, and one is lost for good under tasks that were started there since')
def restart_and_lose(context):
    platform = context.platform
    hand_in_jobs(context, range(1, 5), cpu=500, seconds=0.1, count=4)
    all_completed(context)
    restart_all(context)
    before = len(platform.runs)
    hand_in(context, 9, task(cpu=FULL_CPU, seconds=3, count=len(platform.runners)))
    wait_for(lambda: len(platform.runs) - before >= len(platform.runners))
    # Looks must have been answered by the new incarnations.
    time.sleep(1)
    lost = platform.runners[0]
    lost.crash()
    platform.store.put('keyed.servers', lost.name, None)


@when('long jobs run, the owner is killed, and all runners restart before another owns the cell')
def restart_at_take_over(context):
    hand_in_jobs(context, range(1, 5), cpu=500, seconds=0.1, count=4)
    all_completed(context)
    before = len(context.platform.runs)
    hand_in_jobs(context, range(5, 9), cpu=1000, seconds=2, count=3)
    wait_for(lambda: len(context.platform.runs) - before >= 12)
    context.hosts.kill(context.hosts.owner())
    restart_all(context)


@when(
    'each runner has listed {ends:d} ends, all restart, and a gang of {members:d} tasks is handed in'
)
def restart_before_gang(context, ends, members):
    platform = context.platform
    hand_in_jobs(context, range(1, 11), cpu=500, seconds=0.1, count=12)
    all_completed(context)
    ended = Counter(run.runner for run in platform.collect_runs())
    assert min(ended.values()) >= ends, ended
    restart_all(context)
    hand_in(context, GANG, task(cpu=2000, seconds=0.6, count=members, gang=True), 'advised')


@then('the gang has run once')
def gang_once(context):
    runs = context.platform.collect_runs()
    numbers = {run.number for run in runs if run.task.startswith(f'{GANG:016x}')}
    assert len(numbers) == 1, numbers
