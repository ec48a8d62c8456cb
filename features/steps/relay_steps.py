"""Steps on requests that are forwarded to a peer."""

import curio
import msgspec
from behave import given, then, when

from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.model import Configuration, Service
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    Member,
    Owner,
    make_record,
)
from dandelionreel.cell.store import CellProjection, ConfigurationProjection, WriteOutcome
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.http import Request, Response
from dandelionreel.kernel import ManualClock, SystemClock, Verdict
from dandelionreel.peers import Done, Forward, ForwardAnswer, Frame, OwnerAsked, PeerError, Refused
from features.cell_parts import QUEUES
from features.client_parts import make_call, make_client_api
from features.store_parts import SilentPeerLinks, journal


class OnePeer:
    """Links to a peer that can act and answers each request with one status."""

    def __init__(self, status):
        self._status = status
        #: Whether the next message gets no reply.
        self.ignores_next = False

    async def request(self, member, message, timeout):
        if self.ignores_next:
            self.ignores_next = False
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        if isinstance(message, OwnerAsked):
            return Frame(1, 'peer/1', 0, 0, Done())
        answer = ForwardAnswer(Response(self._status))
        return Frame(1, 'peer/1', 0, 0, answer)


@given('a peer that answers {status:d}')
def answering_peer(context, status):
    cell_state = CellState()
    cell_state.apply(
        [
            make_record(OWNER_KEY, Owner(1, 'peer', 'peer/1')),
            make_record(f'{MEMBER_PREFIX}peer', Member('north', '127.0.0.1', 1)),
        ]
    )
    context.relay = Relay('me', cell_state, OnePeer(status), SystemClock(), journal())


class UnreliablePeer:
    """Links to a peer that gives one reply to a query, or none, and none to forwarded requests."""

    def __init__(self, reply):
        self._reply = reply
        self.forwards = 0

    async def request(self, member, message, timeout):
        self.forwards += isinstance(message, Forward)
        if self._reply is None or self.forwards:
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        return Frame(1, 'peer/1', 0, 0, self._reply)


@given('an owner that {answers} when it is asked whether it acts')
def unreliable_owner(context, answers):
    answering_peer(context, 200)
    reply_by_name = {'does not answer': None, 'denies it': Refused('no')}
    context.links = UnreliablePeer(reply_by_name[answers])
    clock = ManualClock(1000)
    context.relay = Relay('me', context.relay._cell_state, context.links, clock, journal())


@when('a host asks it for a state and gets no answer in {seconds:g} s')
def unanswered_read(context, seconds):
    call = make_call('GET', '/new/0123456789abcdef')
    curio.run(context.relay.forward_to_owner, call, seconds)


@given('it does not answer the next request')
def ignoring_once(context):
    context.relay._links.ignores_next = True


@then('no job was forwarded to it')
def nothing_forwarded(context):
    assert context.links.forwards == 0


@given('a peer that has not answered {misses:d} requests in a row')
def unresponsive_peer(context, misses):
    answering_peer(context, 200)
    context.clock = ManualClock(1000)
    context.links = SilentPeerLinks()
    context.relay = Relay('me', context.relay._cell_state, context.links, context.clock, journal())
    for _ in range(misses):
        context.clock.advance(100)
        forward_request(context)
    assert context.links.request_count == misses


@when('{seconds:g} s later a request arrives')
def request_arrives(context, seconds):
    earlier_count = context.links.request_count
    context.clock.advance(seconds)
    forward_request(context)
    context.was_asked_again = context.links.request_count > earlier_count


@then('the peer {fate}')
def peer_fate(context, fate):
    assert context.was_asked_again is (fate == 'is queried')


@when('a request is forwarded to it')
def forward_request(context):
    call = make_call('POST', '/new/0123456789abcdef')
    context.relayed = curio.run(context.relay.forward_to_owner, call, 1.0)


@then('the client {outcome}')
def client_outcome(context, outcome):
    relayed = context.relayed
    assert (relayed.response is not None) is (outcome == 'gets that answer')
    assert relayed.in_doubt is (outcome == 'is told that the outcome is unknown')


class RefusingPeers:
    """Links to peers that can act for nobody."""

    async def request(self, member, message, timeout):
        return Frame(1, 'peer/1', 0, 0, Refused('cannot own the cell now'))


class AgedFollower:
    """A follower whose latest read was sent some time ago."""

    def __init__(self, age):
        self._age = age

    def age(self, now):
        return self._age


class StoringWriter:
    """A writer whose appends are all stored."""

    failing_since = float('inf')

    def __init__(self):
        self.written = []

    def store_is_failing(self, now):
        return False

    async def write(self, records, timeout):
        self.written.extend(records)
        return WriteOutcome.STORED


@given('a host that read the store {age:g} s ago, {owner}, and whose peers cannot act')
def host_with_refusing_peers(context, age, owner):
    clock = ManualClock(1000)
    jobs = CellProjection(clock, journal())
    hosts = ('a-peer', 'b-peer', 'me')
    jobs.state.apply(
        [make_record(MEMBER_PREFIX + host, Member('north', '127.0.0.1', 1)) for host in hosts]
    )
    if owner == 'knows an owner':
        jobs.state.apply([make_record(OWNER_KEY, Owner(1, 'a-peer', 'a-peer/1'))])
    configuration = ConfigurationProjection(None, journal())
    configuration.current = Configuration(1, QUEUES, (Service('desk', False, False),), 9999)
    context.writer = StoringWriter()
    relay = Relay('me', jobs.state, RefusingPeers(), clock, journal())
    context.client_api = make_client_api(
        configuration, jobs, AgedFollower(age), context.writer, relay, clock=clock
    )


@when('a client submits a job to it')
def submit_to_host(context):
    body = msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1, 'cpu': 1000}]})
    request = Request('POST', '/urgent/0123456789abcdef', (('host', 'h'),), body)
    context.answer = curio.run(context.client_api.handle, request)


@then('its own writer appended {count:d} records')
def check_appended(context, count):
    assert len(context.writer.written) == count, context.writer.written


@then('the submission is answered {status:d}')
def check_submission_status(context, status):
    assert context.answer.status == status, context.answer
