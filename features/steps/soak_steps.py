"""Steps of short soak runs."""

from behave import then, when

from bench.soak import Soak


@when('random faults with seed {seed:d} are injected for {seconds:g} seconds')
def run_soak(context, seed, seconds):
    context.result = Soak(seed, seconds, 2).run()


@then('no guarantee was violated in the run')
def check_no_violations(context):
    assert context.result.requests and context.result.accepted
    assert not context.result.violations, context.result.violations
