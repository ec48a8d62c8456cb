"""Steps for short soak tests of entry hosts."""

from behave import then, when

from bench.platform_soak import PlatformSoak


@when('random faults with seed {seed:d} are injected into the entry hosts for {seconds:g} seconds')
def run_soak(context, seed, seconds):
    context.result = PlatformSoak(seed, seconds).run()


@when('planned stops with seed {seed:d} are made in series for {seconds:g} seconds')
def run_planned_soak(context, seed, seconds):
    context.result = PlatformSoak(seed, seconds, planned=True).run()


@then('requests were answered at hosts that were told to stop')
def check_stops(context):
    assert context.result.answered_during_stops


@then('no guarantee was violated')
def check_guarantees(context):
    assert any(job.accepted for job in context.result.jobs)
    assert not context.result.violations, context.result.violations
