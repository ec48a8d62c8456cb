"""Steps of short soaks of entry hosts."""

from behave import then, when

from bench.platform_soak import PlatformSoak


@when('faults of seed {seed:d} strike the entry hosts for {seconds:g} seconds')
def soak(context, seed, seconds):
    context.tally = PlatformSoak(seed, seconds).run()


@then('every promise was kept')
def kept(context):
    assert any(job.accepted for job in context.tally.jobs)
    assert not context.tally.violations, context.tally.violations
