"""Steps on learned speeds of runners and durations of runs."""

import random
import time

from behave import given, then, when

from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.model import StepName
from features.cell_parts import make_registration

STEP_ERROR = 0.7
TASK_ERROR = 0.2
STEP_WIDTH = 5
COSTED_STEPS = 40


def make_runner(number, zone):
    return RunnerState(make_registration(f'w{number}', port=number, zone=zone))


@given(
    '{count:d} runners of which {slow:d} run at 0.55 and the others at {speed:g} of the usual speed'
)
def uneven_runners(context, count, slow, speed):
    context.run_times = RunTimes()
    context.rng = random.Random(1)
    context.runners = [
        make_runner(number, 'south' if number < slow else 'north') for number in range(count)
    ]
    context.speeds = [0.55 if number < slow else speed for number in range(count)]
    context.steps = 0
    context.seconds_by_step = []


def end_step(context, numbers, factor_by_number=None):
    """End one task of a new step on each of these runners, the shortest first."""
    context.steps += 1
    error = context.rng.lognormvariate(0, STEP_ERROR)
    ends = []
    for number in numbers:
        seconds = error * context.rng.lognormvariate(0, TASK_ERROR) / context.speeds[number]
        ends.append((seconds * (factor_by_number or {}).get(number, 1.0), number))
    name = StepName(f'{context.steps}', 0, 0)
    started_at = time.process_time()
    for seconds, number in sorted(ends):
        context.run_times.record_completed_run(
            'batch', name, context.runners[number], 1.0, seconds, context.steps / 50
        )
    context.seconds_by_step.append(time.process_time() - started_at)


@when('each has ended {count:d} runs on average')
def end_runs(context, count):
    context.was_uneven = False
    for _ in range(count * len(context.runners) // STEP_WIDTH):
        end_step(context, context.rng.sample(range(len(context.runners)), STEP_WIDTH))
        context.was_uneven = context.was_uneven or context.run_times.is_uneven


@when('{count:d} runs of a fast runner take {factor:g} times as long')
def slow_runs(context, count, factor):
    last = len(context.runners) - 1
    for _ in range(count):
        others = context.rng.sample(range(last), STEP_WIDTH - 1)
        end_step(context, (last, *others), {last: factor})


@then('speeds are uneven, and {count:d} runners or more have a speed within 25% of their own')
def check_speeds(context, count):
    assert context.run_times.is_uneven
    ratios = [
        context.run_times.speed_of(runner) / speed
        for runner, speed in zip(context.runners, context.speeds, strict=True)
    ]
    assert sum(0.8 < ratio < 1.25 for ratio in ratios) >= count, ratios


@then('speeds were even all the time, and every duration is the declared one')
def check_even(context):
    assert not context.was_uneven
    runner = context.runners[0]
    assert context.run_times.speed_of(runner) == 1.0
    assert context.run_times.expected_seconds('batch', 2.0, runner) == 2.0


@then('it counts as a {speed_class} runner')
def check_class(context, speed_class):
    assert context.run_times.is_fast(context.runners[-1]) is (speed_class == 'fast')


@then('an unknown runner in the zone of the slow ones counts as slow')
def check_unknown(context):
    assert not context.run_times.is_fast(make_runner(99, 'south'))
    assert context.run_times.is_fast(make_runner(99, 'north'))


@then('a run has cost less than {limit:d} microseconds of processor time')
def check_cost(context, limit):
    # The least of several parts: on a busy machine others take longer. Each is long enough for the
    # figures to be recomputed in it.
    seconds, steps = context.seconds_by_step, COSTED_STEPS
    parts = [seconds[begin : begin + steps] for begin in range(0, len(seconds) - steps, steps)]
    least = min(sum(part) for part in parts) / steps / STEP_WIDTH
    assert 1e6 * least < limit, least
