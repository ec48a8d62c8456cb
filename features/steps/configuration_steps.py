"""Steps for the configuration that an entry host has in force."""

import time

import curio
from behave import given, then, when

from dandelionreel.entry_reads import OPERATOR_PAUSE_SECONDS, EntryReads
from dandelionreel.kernel import SystemClock
from dandelionreel.platform import Address
from features.store_parts import LONG_TIMEOUT, journal, until
from standins import UsersPlatform

#: Seconds after its acknowledgement within which the operators expect a version to be in force.
CONFIGURATION_DEADLINE = 2.0


def ignore_unreadable(topic, reason):
    """Do not count unreadable records."""


def make_reads(platform):
    store = Address('127.0.0.1', platform.port_by_name['store'])
    return EntryReads(
        'me',
        store,
        CONFIGURATION_DEADLINE,
        lambda: False,
        ignore_unreadable,
        SystemClock(),
        journal(),
    )


@given('a host that has version 1 of the configuration in force')
def host_with_configuration(context):
    context.platform = UsersPlatform(0)
    context.platform.start()
    context.stack.callback(context.platform.stop)
    context.platform.configure(1)


@when('all reads in progress at the store lose their answers, and version 2 is written')
def write_during_lost_reads(context):
    context.seconds = curio.run(measure_seconds_to_version_2, context.platform)


async def measure_seconds_to_version_2(platform):
    """Return the seconds from the write of version 2 until it is in force."""
    reads = make_reads(platform)
    await curio.spawn(reads.operator_follower.run, daemon=True)
    await until(lambda: reads.configuration.version == 1)
    # The next read begins after a pause and waits at the store.
    await curio.sleep(2 * OPERATOR_PAUSE_SECONDS)
    platform.store.silence_reads()
    platform.configure(2)
    written_at = time.monotonic()
    async with curio.timeout_after(LONG_TIMEOUT):
        await until(lambda: reads.configuration.version == 2)
    return time.monotonic() - written_at


@then('version 2 is in force within {seconds:g} s')
def check_seconds_to_version_2(context, seconds):
    assert context.seconds <= seconds, f'{context.seconds:.2f} s'
