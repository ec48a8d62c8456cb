"""Steps for tasks that crash their runners."""

import random
import time

from behave import given, then, when

from features.crash_simulation import CrashSimulation
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
#: Seconds between crashes by chance, and how many there are.
CHANCE_SECONDS = 2.0
CHANCE_CRASHES = 8
RESTART_SECONDS = 1.0


@given('{count:d} entry hosts on a platform whose runners may crash')
def start_crashing(context, count):
    start_hosts(context, count, ADDRESS_BLOCK)


@given('{count:d} entry hosts and {runners:d} runners that may crash')
def start_crashing_runners(context, count, runners):
    start_hosts(context, count, ADDRESS_BLOCK, runners=runners, reports_incarnation=True)


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


@when(
    '{jobs:d} jobs whose tasks crash their runners {seconds:g} s after the answer are submitted, {beside}'
)
def submit_late_crashing_jobs(context, jobs, seconds, beside):
    context.late_jobs = range(1, 1 + jobs)
    context.other_jobs = range(1 + jobs, 7 + jobs)
    for job in context.late_jobs:
        body = make_job(seconds=seconds + 1)
        body['spec'] = f'{body["spec"]} crash-after={seconds}'
        submit_job(context, job, body)
    for job in context.other_jobs:
        submit_job(context, job, make_job(seconds=0.4, count=2))
    if 'each 2 s' in beside:
        crash_runners_by_chance(context)


def crash_runners_by_chance(context):
    """Crash a runner each 2 s, and restart it 1 s later."""
    rng = random.Random(7)
    for _ in range(CHANCE_CRASHES):
        time.sleep(CHANCE_SECONDS - RESTART_SECONDS)
        runner = rng.choice([one for one in context.platform.runners if not one.is_down])
        runner.crash()
        time.sleep(RESTART_SECONDS)
        runner.restart()
        context.platform.register(runner)


@then('every host reports that they are failed')
def check_late_jobs_failed(context):
    for job in context.late_jobs:
        wait_for_state(context, job, 'failed', context.hosts.names)


@then('each of their tasks has crashed {minimum:d} to {maximum:d} runners')
def check_late_crashes(context, minimum, maximum):
    runs = context.platform.collect_runs()
    for job in context.late_jobs:
        crashed = [
            run for run in runs if run.task.startswith(f'{job:016x}') and run.outcome == 'crashed'
        ]
        assert minimum <= len(crashed) <= maximum, crashed


@then('no other job is reported as failed')
def check_others_not_failed(context):
    for job in context.other_jobs:
        wait_for_state(context, job, COMPLETED, context.hosts.names[:1])


#: Seconds at which waves of losses come, three in each of three series.
SERIES = (5.0, 7.5, 10.0, 16.0, 18.5, 21.0, 27.0, 29.5, 32.0)
LOSSES = {
    'all of them in three series of three waves': {'waves': SERIES},
    'half of them in three series of three waves': {'waves': SERIES, 'share': 0.5},
    'a quarter of them in 20 waves': {
        'waves': [5 + 1.2 * number for number in range(20)],
        'share': 0.25,
    },
    'one each 2 s': {'rate': 0.5},
    'no others': {},
}


@given('a simulated cell of {runners:d} runners that loses {lost}')
def simulated_losses(context, runners, lost):
    context.simulated = {'runners': runners, **LOSSES[lost]}


@given(
    'a simulated cell of {runners:d} runners, and {count:d} tasks that crash theirs after {seconds:g} s'
)
def simulated_crashes(context, runners, count, seconds):
    context.simulated = {'runners': runners, 'harmful': count, 'delay': seconds}


@given(
    'a simulated cell of {runners:d} runners with {count:d} tasks that crash theirs after {seconds:g} s, which loses {lost}'
)
def simulated_crashes_and_losses(context, runners, count, seconds, lost):
    simulated_crashes(context, runners, count, seconds)
    context.simulated.update(LOSSES[lost])


@when('it is played for {seconds:d} s with {seeds:d} seeds')
def play_seeds(context, seconds, seeds):
    play_simulations(context, seconds, range(seeds))


@when('it is played for {seconds:d} s with seed {seed:d}')
def play_seed(context, seconds, seed):
    play_simulations(context, seconds, [seed])


def play_simulations(context, seconds, seeds):
    context.simulations = []
    for seed in seeds:
        simulation = CrashSimulation(seed=seed, **context.simulated)
        simulation.advance(seconds)
        context.simulations.append(simulation)


@then('no job is shown as failed')
def no_job_failed(context):
    for simulation in context.simulations:
        assert not simulation.failed_jobs(), simulation.failed_jobs()


@then(
    'each of these tasks has crashed {minimum:d} to {maximum:d} runners, and no other job is shown as failed'
)
def bounded_crashes(context, minimum, maximum):
    for simulation in context.simulations:
        assert simulation.failed_jobs() == simulation.harmful, simulation.failed_jobs()
        counts = [simulation.crashes[job] for job in simulation.harmful]
        assert minimum <= min(counts) <= max(counts) <= maximum, counts
