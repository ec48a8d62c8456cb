"""Steps for configurations that take long on a host's link."""

import json
import random
import time
from contextlib import AsyncExitStack

import curio
from behave import given, then, when

from dandelionreel.cell.membership import ConfigurationExchange, DocumentServer, PeerLinks
from dandelionreel.cell.model import MEMBER_PREFIX, Member, make_record
from dandelionreel.cell.store import CellState, ConfigurationProjection
from dandelionreel.entry_reads import EntryReads
from dandelionreel.kernel import SystemClock
from dandelionreel.peers import (
    ConfigurationDocumentWanted,
    ConfigurationWanted,
    PeerClocks,
    PeerServer,
    TrafficCounter,
)
from dandelionreel.platform import OPERATOR_TOPIC, Address, JsonRecordCodec
from features.steps.configuration_steps import ignore_unreadable
from features.store_parts import LONG_TIMEOUT, journal, until
from standins import NarrowLink, UsersPlatform

#: Seconds after its acknowledgement within which the operators expect a version to be in force.
CONFIGURATION_DEADLINE = 3.0
#: A version may take this many times as long as on a link that carries nothing else, and this
#: many seconds more, where that is longer than the operators' deadline.
LINK_TIME_FACTOR = 1.5
LINK_TIME_MARGIN = 0.5
BYTES_PER_MEGABIT = 125_000
CONFIGURATION_KEY = JsonRecordCodec().configuration_key
LOAD_INTERVAL_SECONDS = 0.05
FORMER_VERSION = 1
NEW_VERSION = 2


def make_large_document(version, route_count):
    """Return a configuration of about 286 bytes a route, as the operators write it."""
    names = random.Random(route_count)
    routes = [
        {
            'name': f'r-{names.randbytes(4).hex()}',
            'host': f'host{number % 3}.example',
            'path_prefix': f'/{names.randbytes(4).hex()}/',
            'service': 'desk',
            'timeout_ms': 3000,
            'target_latency_ms': 250,
            'priority': names.randrange(3),
            'max_attempts': 2,
            'slack_factor': round(names.uniform(1, 4), 2),
            'advice': {'decision_ms': 130.0, 'period_ms': 1.82, 'valid_ms': 2000},
        }
        for number in range(route_count)
    ]
    return {'version': version, 'routes': routes, 'services': [{'name': 'desk'}], 'limits': {}}


@given('a host with a link of {rate:g} Mbit/s, {load:g} kB/s of other traffic, and {peers:d} peers')
def host_with_narrow_link(context, rate, load, peers):
    context.rate = rate * BYTES_PER_MEGABIT
    context.load = load * 1000
    context.peer_count = peers
    context.platform = UsersPlatform(0)
    context.platform.start()
    context.stack.callback(context.platform.stop)
    context.platform.store.put(
        OPERATOR_TOPIC, CONFIGURATION_KEY, make_large_document(FORMER_VERSION, 3)
    )


@when('a version with {routes:d} routes is written, which the peers have at once')
def write_large_version(context, routes):
    document = make_large_document(NEW_VERSION, routes)
    context.document = json.dumps(document).encode()
    context.seconds = curio.run(measure_seconds_in_force, context, document)


async def measure_seconds_in_force(context, document):
    """Return the seconds from the write of the new version until it is in force."""
    async with AsyncExitStack() as stack:
        link = context.link = NarrowLink(context.rate)
        store_port = context.platform.port_by_name['store']
        reads = EntryReads(
            'me',
            Address('127.0.0.1', await link.open_port(stack, '127.0.0.1', store_port)),
            CONFIGURATION_DEADLINE,
            lambda: False,
            ignore_unreadable,
            SystemClock(),
            journal(),
        )
        await curio.spawn(reads.operator_follower.run, daemon=True)
        peers = [await start_peer(stack, link) for _ in range(context.peer_count)]
        await start_exchange(stack, reads, [member for member, _ in peers])
        await curio.spawn(load_link, link, context.load, daemon=True)
        await until(lambda: reads.configuration.version == FORMER_VERSION)
        for _, projection in peers:
            # As if read from the store, where the new version is the second record.
            projection.adopt_from_peer(context.document, 'store', next_offset=2)
        carried_before = link.carried_bytes
        context.platform.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, document)
        started_at = time.monotonic()
        context.silences = []
        await curio.ignore_after(LONG_TIMEOUT, watch_until_new_version, context, reads)
        seconds = time.monotonic() - started_at
        # What the store has begun to send must not go on afterwards.
        await curio.sleep(len(context.document) / context.rate)
        context.carried_bytes = link.carried_bytes - carried_before
        return seconds


async def watch_until_new_version(context, reads):
    """Wait for the new version; record for how long the store has been silent meanwhile."""

    def is_in_force():
        context.silences.append(SystemClock().monotonic() - reads.received_at)
        return reads.configuration.version == NEW_VERSION

    await until(is_in_force)


async def start_peer(stack, link):
    """Start a peer behind the link; return its member record and its configuration."""
    projection = ConfigurationProjection(JsonRecordCodec(), journal())
    exchange = ConfigurationExchange(
        'peer', CellState(), None, projection, lambda now: now, SystemClock(), journal()
    )
    server = PeerServer('peer/1', SystemClock(), PeerClocks(), journal(), TrafficCounter())
    server.add_handler(ConfigurationWanted, exchange.answer_query)
    server.add_handler(ConfigurationDocumentWanted, DocumentServer(projection).answer_request)
    await server.start(stack, '127.0.0.1', 0)
    port = await link.open_port(stack, '127.0.0.1', server.port)
    return Member('south', '127.0.0.1', port), projection


async def start_exchange(stack, reads, members):
    """Let the host query these peers."""
    cell_state = CellState()
    cell_state.apply(
        [
            make_record(f'{MEMBER_PREFIX}peer-{number}', member)
            for number, member in enumerate(members)
        ]
    )
    links = PeerLinks('me/1', SystemClock())
    stack.push_async_callback(links.close)
    exchange = ConfigurationExchange(
        'me',
        cell_state,
        links,
        reads.configuration,
        reads.configuration_current_at,
        SystemClock(),
        journal(),
        skip_to=reads.operator_follower.skip_to,
    )
    await curio.spawn(exchange.run, daemon=True)
    await curio.spawn(exchange.run_downloads, daemon=True)


async def load_link(link, bytes_per_second):
    """Fill a part of the link, as the calls of clients do."""
    while bytes_per_second:
        await link.carry(int(bytes_per_second * LOAD_INTERVAL_SECONDS))
        await curio.sleep(LOAD_INTERVAL_SECONDS)


@then("it is in force within the operators' deadline, or about the time that the link needs")
def check_seconds_in_force(context):
    link_seconds = len(context.document) / (context.rate - context.load)
    limit = max(CONFIGURATION_DEADLINE, LINK_TIME_FACTOR * link_seconds + LINK_TIME_MARGIN)
    assert context.seconds <= limit, (
        f'{context.seconds:.2f} s, limit {limit:.2f} s, '
        f'{context.carried_bytes} bytes for {len(context.document)}'
    )


@then('the link has carried fewer bytes than the version has')
def check_carried_bytes(context):
    assert context.carried_bytes < len(context.document), context.carried_bytes


@then('the store has not been silent for {seconds:g} s meanwhile')
def check_silences(context, seconds):
    assert max(context.silences) < seconds, max(context.silences)
