"""Steps of short soaks of entry hosts."""

from behave import then, when

from bench.platform_soak import PlatformSoak


@when('faults of seed {seed:d} strike the entry hosts for {seconds:g} seconds')
def soak(context, seed, seconds):
    context.tally = PlatformSoak(seed, seconds).run()


@then('every promise was kept')
def kept(context):
    assert any(asked.accepted for asked in context.tally.asked)
    assert not context.tally.wrong, context.tally.wrong
