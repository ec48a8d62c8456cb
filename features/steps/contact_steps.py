"""Steps on hosts that are cut off."""

from contextlib import AsyncExitStack

import curio
import msgspec
from behave import given, then, when

from dandelionreel.cell.clients._readiness import LoadBalancerRotation
from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.membership._partition_detector import PartitionDetector
from dandelionreel.cell.membership._zone_contact import MISS_VALID_SECONDS, ZoneContact
from dandelionreel.cell.model import Configuration, Service
from dandelionreel.cell.model._records import MEMBER_PREFIX, Member, make_record
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.cell.store._projections import CellProjection, ConfigurationProjection
from dandelionreel.http import Channel, Request, Response, Server
from dandelionreel.kernel import ManualClock, SystemClock, Verdict
from dandelionreel.peers import PeerError
from features.cell_parts import QUEUES
from features.client_parts import make_client_api
from features.store_parts import journal

ZONES = ('south', 'west')
NOW = 1000.0


@given('a host in north that got replies of {others} 0.1 s ago and of the store {age:g} s ago')
def host_with_replies(context, others, age):
    context.zone_contact = ZoneContact()
    context.zones = ZONES
    context.store_answered_at = NOW - age
    for zone in ZONES if others == 'both zones' else ():
        context.zone_contact.record_reply(zone, NOW - 0.1)


@when('it queries hosts of south and west, of which {answer}')
def query_both(context, answer):
    answering = {'none replies': (), 'both reply': ZONES, 'only west replies': ('west',)}[answer]
    for zone in ZONES:
        if zone in answering:
            context.zone_contact.record_reply(zone, NOW + 0.01)
        else:
            context.zone_contact.record_miss(zone, NOW)
    context.now = NOW + 0.2


@given('a host in north of a cell {cell}')
def lone_host(context, cell):
    context.zone_contact = ZoneContact()
    context.zones = ()
    context.store_answered_at = NOW - 9


@when('the store has been silent for 9 s and no host replies')
def store_and_hosts_silent(context):
    for zone in ('north', ''):
        context.zone_contact.record_miss(zone, NOW)
    context.now = NOW + 0.2


@then('the host counts as {verdict}')
def check_verdict(context, verdict):
    found = context.zone_contact.is_host_cut_off(
        context.zones, context.store_answered_at, context.now
    )
    assert found is (verdict == 'cut off'), found


@given('a host in north that is cut off')
def cut_off_host(context):
    host_with_replies(context, 'nobody', 9.0)
    query_both(context, 'none replies')
    check_verdict(context, 'cut off')


@when('a host of west replies')
def west_answers(context):
    context.zone_contact.record_reply('west', context.now + 1)
    context.now += 1


@when('{seconds:g} s have passed without a query')
def no_query(context, seconds):
    assert seconds > MISS_VALID_SECONDS
    context.now += seconds


class SilentLinks:
    """Links to peers that do not reply; ``request_count`` counts the queries."""

    def __init__(self):
        self.request_count = 0

    async def request(self, member, message, timeout):
        """Time out."""
        self.request_count += 1
        await curio.sleep(timeout)
        raise PeerError('no answer in time', Verdict.UNKNOWN)


def make_detector(clock, links, store_answered_at, store_received_at=float('-inf')):
    cell_state = CellState()
    for host, zone in (('me', 'north'), ('s-1', 'south'), ('s-2', 'south'), ('w-1', 'west')):
        cell_state.apply([make_record(f'{MEMBER_PREFIX}{host}', Member(zone, '127.0.0.1', 1))])
    return PartitionDetector(
        'me',
        'north',
        cell_state,
        links,
        lambda: store_answered_at,
        lambda: store_received_at,
        clock,
        journal(),
    )


@given('a host in north whose store and peers do not reply')
def silent_all_round(context):
    context.links = SilentLinks()
    clock = SystemClock()
    context.detector = make_detector(clock, context.links, clock.monotonic() - 9)


@given('a host in north that is receiving an answer of the store, and whose peers do not reply')
def receiving_host(context):
    context.links = SilentLinks()
    clock = SystemClock()
    context.detector = make_detector(clock, context.links, clock.monotonic() - 9, clock.monotonic())


@when('it queries other zones')
def query_other_zones(context):
    curio.run(context.detector.check_other_zones)


@then('the host is not cut off')
def check_not_cut_off(context):
    assert not context.detector.is_cut_off


@when('{count:d} requests check whether it is cut off')
def check_concurrently(context, count):
    async def check_many():
        tasks = [await curio.spawn(context.detector.check_other_zones) for _ in range(count)]
        return [await task.join() for task in tasks]

    async def check_in_time():
        return await curio.ignore_after(1, check_many)

    context.verdicts = curio.run(check_in_time)


@then('each of them finds it cut off within 1 s')
def all_checked(context):
    assert context.verdicts == [True] * 20, context.verdicts


@then('{count:d} queries were sent')
def queries_sent(context, count):
    assert context.links.request_count == count, context.links.request_count


class UnusedWriter:
    """A writer that must not be used."""

    failing_since = float('inf')


@given('a host that is cut off, which the load balancer checked 0.3 s ago')
def cut_off_client_host(context):
    clock = ManualClock(NOW)
    links = context.links = SilentLinks()
    detector = make_detector(clock, links, NOW - 9)
    for zone in ZONES:
        detector._zone_contact.record_miss(zone, NOW)
    rotation = LoadBalancerRotation()
    for ago in (2.3, 1.3, 0.3):
        rotation.record_readiness_check(NOW - ago, ready=True)
    configuration = ConfigurationProjection(None, journal())
    configuration.current = Configuration(1, QUEUES, (Service('desk', False, False),), 9999)
    jobs = CellProjection(clock, journal())
    context.client_api = make_client_api(
        configuration,
        jobs,
        StaleFollower(),
        UnusedWriter(),
        Relay('me', jobs.state, links, clock, journal()),
        partition_detector=detector,
        rotation=rotation,
        clock=clock,
    )


class StaleFollower:
    """A follower that has read everything stored before the partition."""

    complete = True

    def age(self, now):
        """Return the age of its latest read."""
        return 9.0


@when('a client submits a job there')
def client_submits(context):
    body = msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1, 'cpu': 1000}]})
    request = Request('POST', '/urgent/0123456789abcdef', (('host', 'h'),), body)
    context.answer = curio.run(context.client_api.handle, request)


@then('the job is refused at once, to be retried in {seconds:d} s')
def refused_at_once(context, seconds):
    assert context.answer.status == 503, context.answer
    assert context.answer.header('retry-after') == f'{seconds}', context.answer


@then('the answer says that the job was not run, and no peer was queried')
def check_not_run_without_query(context):
    assert context.links.request_count == 0, 'a peer was queried'
    assert msgspec.json.decode(context.answer.body)['verdict'] == 'not_run', context.answer


@given('a load balancer that checks a host every second, the last time 0.3 s ago')
def checking_balancer(context):
    context.rotation = LoadBalancerRotation()


@when('it has been told {failed:d} times that the host is not ready')
def failed_checks(context, failed):
    times = [NOW - 0.3 - number for number in range(8)]
    for number, at in enumerate(reversed(times)):
        context.rotation.record_readiness_check(at, ready=number < len(times) - failed)


@then('clients are sent there for {seconds:g} s more')
def remaining_seconds(context, seconds):
    assert abs(context.rotation.seconds_until_removal(NOW) - seconds) < 0.001


@given('a server that is {ready}')
def some_server(context, ready):
    context.is_draining = ready == 'not ready'


@when('a client sends it a request')
def send_one(context):
    async def answer(request):
        return Response(200)

    async def send():
        async with AsyncExitStack() as stack:
            server = Server(answer, is_draining=lambda: context.is_draining)
            await server.start(stack, '127.0.0.1', 0)
            channel = Channel('127.0.0.1', server.port)
            stack.push_async_callback(channel.close)
            answered = await channel.exchange(Request('GET', '/'), 5)
            return answered, channel._connection.is_open

    context.answered, context.is_open = curio.run(send)


@then('its connection is {fate}')
def connection_fate(context, fate):
    assert context.answered.status == 200
    assert context.is_open is (fate == 'kept open')
