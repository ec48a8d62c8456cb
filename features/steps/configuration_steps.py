"""Steps for the configuration that an entry host has in force."""

import time

import curio
from behave import given, then, when

from dandelionreel.cell.membership import ConfigurationExchange
from dandelionreel.cell.model import (
    MEMBER_PREFIX,
    KeyedRecord,
    Member,
    RecordBatch,
    make_record,
)
from dandelionreel.cell.store import CellState
from dandelionreel.entry_reads import OPERATOR_PAUSE_SECONDS, EntryReads
from dandelionreel.kernel import SystemClock
from dandelionreel.peers import ConfigurationGiven
from dandelionreel.platform import OPERATOR_TOPIC, Address
from features.client_parts import ConnectedDetector
from features.steps.account_steps import (
    StubPeers,
    build_api,
    make_document,
    make_exchange,
    rebuild_api,
    send_request,
)
from features.store_parts import LONG_TIMEOUT, journal, until
from standins import MemoryTopic, UsersPlatform

#: Seconds after its acknowledgement within which the operators expect a version to be in force.
CONFIGURATION_DEADLINE = 2.0


def ignore_unreadable(topic, reason):
    """Do not count unreadable records."""


def make_reads(store_port):
    return EntryReads(
        'me',
        Address('127.0.0.1', store_port),
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
    reads = await read_version_1(platform)
    for topic in reads.topics:
        platform.store.silence_reads(topic)
    platform.configure(2)
    return await measure_until_version_2(reads)


async def read_version_1(platform):
    """Return the reads of a host of which the next ones wait at the store."""
    reads = make_reads(platform.port_by_name['store'])
    for follower in reads.followers:
        await curio.spawn(follower.run, daemon=True)
    await until(lambda: reads.configuration.version == 1)
    await curio.sleep(2 * OPERATOR_PAUSE_SECONDS)
    return reads


async def measure_until_version_2(reads):
    started_at = time.monotonic()
    await curio.ignore_after(LONG_TIMEOUT, until, lambda: reads.configuration.version == 2)
    return time.monotonic() - started_at


@when("only reads of the operator's topic are never answered, and a peer has version 2")
def lose_reads_of_operator(context):
    context.seconds = curio.run(measure_seconds_to_peer_version, context.platform)


async def measure_seconds_to_peer_version(platform):
    """Return the seconds until the version of a peer is in force."""
    reads = await read_version_1(platform)
    platform.store.faults.silent_topics.add(OPERATOR_TOPIC)
    platform.store.silence_reads(OPERATOR_TOPIC)
    cell_state = CellState()
    cell_state.apply([make_record(f'{MEMBER_PREFIX}peer', Member('south', '127.0.0.1', 1))])
    exchange = ConfigurationExchange(
        'me',
        cell_state,
        StubPeers(ConfigurationGiven(2, make_document(2, []), True)),
        reads.configuration,
        reads.configuration_current_at,
        SystemClock(),
        journal(),
    )
    await curio.spawn(exchange.run, daemon=True)
    return await measure_until_version_2(reads)


@then('version 2 is in force within {seconds:g} s')
def check_seconds_to_version_2(context, seconds):
    assert context.seconds <= seconds, f'{context.seconds:.2f} s'


#: Replies of a peer to a host with version 5, which has the queues ``plain`` and ``open``.
REPLY_BY_WORDS = {
    'have a version with that queue': ConfigurationGiven(
        6, make_document(6, None, '/added/'), current=True
    ),
    'have the same version': ConfigurationGiven(5, b'', current=True),
    'cannot read the store either': ConfigurationGiven(5, b'', current=False),
    'do not answer': None,
}


@given('a host whose configuration may be outdated by {age:g} s, and peers that {peers}')
def host_with_age(context, age, peers):
    build_api(context, None)
    context.exchange = make_exchange(context, context.projection, REPLY_BY_WORDS[peers], age)
    rebuild_api(context)


class CutOffDetector(ConnectedDetector):
    """A partition detector of a host that is cut off."""

    is_cut_off = True


@given('a host that is {contact}, and has known of a newer version for {age:g} s')
def host_behind(context, contact, age):
    build_api(context, None)
    detector = CutOffDetector() if contact == 'cut off' else ConnectedDetector()
    rebuild_api(context, partition_detector=detector)
    context.exchange.record_peer_version(6)
    context.exchange_clock.now += age


@when('a client calls a queue of the version in force')
def call_known_queue(context):
    send_request(context, 'GET', '/plain/', ())


@when('a client calls a queue that is missing in its version')
def call_missing_queue(context):
    send_request(context, 'GET', '/added/', ())


@then('its call is answered with {status:d}')
def check_status(context, status):
    assert context.answer.status == status, context.answer
    assert bool(context.answer.header('retry-after')) is (status == 503), context.answer


class CountingTopic(MemoryTopic):
    """A topic that limits the bytes of a read, and counts the records that it has sent."""

    sent = 0

    async def read(self, offset, wait, max_bytes):
        batch = await super().read(offset, wait, max_bytes)
        size = 0
        kept = []
        for record in batch.records:
            size += len(record.content)
            if size > max_bytes:
                break
            kept.append(record)
        self.sent += len(kept)
        return RecordBatch(tuple(kept), offset + len(kept), batch.end)

    async def snapshot(self):
        snapshot = await super().snapshot()
        self.sent += len(snapshot.records)
        return snapshot


@given('a host that has missed {count:d} versions of 50 kB')
def missed_versions(context, count):
    context.topic = CountingTopic()
    context.newest_version = count
    for version in range(1, count + 1):
        document = make_document(version, [])
        context.topic.records.append(
            KeyedRecord('config', document + b' ' * (50_000 - len(document)), version - 1)
        )


@when("it reads the operator's topic again")
def read_missed_versions(context):
    async def follow():
        # Nothing connects to the store: the topic is replaced.
        reads = make_reads(store_port=1)
        reads.operator_follower._topic = context.topic
        reads.operator_follower._offset = 0
        await curio.spawn(reads.operator_follower.run, daemon=True)
        await curio.ignore_after(
            LONG_TIMEOUT, until, lambda: reads.configuration.version == context.newest_version
        )
        context.version = reads.configuration.version

    curio.run(follow)


@then('the newest version is in force, and {count:d} versions at most were sent to the host')
def check_sent_versions(context, count):
    assert context.version == context.newest_version, context.version
    assert context.topic.sent <= count, context.topic.sent
