"""Steps of short soak runs."""

from behave import then, when

from bench.soak import Soak


@when('random faults with seed {seed:d} are injected for {seconds:g} seconds')
def run_soak(context, seed, seconds):
    context.tally = Soak(seed, seconds, 2).run()


@then('no guarantee was violated in the run')
def check_no_violations(context):
    assert context.tally.requests and context.tally.accepted
    assert not context.tally.violations, context.tally.violations
