"""Steps on refusals of the product's own interface after attempts that may have run."""

from types import SimpleNamespace

import curio
import msgspec
from behave import given, then, when

from dandelionreel.callers._caller_api import CallerApi
from dandelionreel.callers._relay import ZoneRelay
from dandelionreel.http import ExchangeError, Request
from dandelionreel.jobs import CancelBody, CancelResult
from dandelionreel.kernel import ManualClock, RequestError, Verdict
from dandelionreel.peers import Forward, Frame, PeerError
from dandelionreel.routing._router import Router
from features.store_parts import journal


class BreakingRunner:
    """A runner that breaks off each request after it was sent."""

    entry = SimpleNamespace(name='r1', slots=1)
    in_use = 1

    async def send_request(self, request, timeout, notify, *, new_connection, may_send):
        """Break off the request."""
        raise ExchangeError('the connection was broken', sent=True)


class OneSlotPool:
    """A pool whose only slot is free once."""

    def __init__(self):
        self.changed = SimpleNamespace(notify=None)
        self._runners = [BreakingRunner()]

    def acquire_slot(self, service, headroom):
        """Return the runner of the only slot, then none."""
        return self._runners.pop() if self._runners else None

    def may_send_to(self, runner):
        """Allow every request."""
        return True


class CountNothing:
    """Metrics that count nothing."""

    def __getattr__(self, name):
        return lambda *values: None


@given('a daemon that was forwarded an idempotent request')
def forwarded_daemon(context):
    settings = SimpleNamespace(
        availability_zone='here', timings=SimpleNamespace(longest_run=60.0), limits=None
    )
    context.router = Router(
        settings,
        ManualClock(1000),
        'me/1',
        None,
        None,
        OneSlotPool(),
        None,
        None,
        CountNothing(),
        journal(),
    )


@when('its runner breaks off the request, and no slot is free any more')
def break_off(context):
    headers = (('dandelionreel-customer', 'blue'), ('dandelionreel-idempotent', 'true'))
    request = Request('POST', '/v1/services/desk/check', headers)
    frame = Frame(1, 'other/1', 0, 0, Forward(request, 5.0, 1))
    context.reply = curio.run(context.router.answer_forward, frame)


@then('the forwarding daemon is told that the request may have run')
def check_may_have_run(context):
    assert not context.reply.no_room, context.reply
    document = msgspec.json.decode(context.reply.response.body)
    assert document['verdict'] == 'unknown', document


class OtherZone:
    """A directory with one daemon of the zone there, which handles requests as it is told."""

    def __init__(self, behaviour):
        self._behaviour = behaviour
        self.address = SimpleNamespace(host='there-1')
        self.heard_at = 0.0
        self.link = self

    def states(self, zone):
        """Return the state of the daemon."""
        return (self,)

    async def request(self, message, timeout):
        """Fail as the scenario says."""
        verdict = Verdict.NOT_RUN if self._behaviour == 'is out of reach' else Verdict.UNKNOWN
        raise PeerError('no answer', verdict)


class CancellingJobApi:
    """Cancels all jobs of its zone."""

    def decode_cancel_body(self, request):
        """Return the jobs that the request names."""
        return msgspec.json.decode(request.body, type=CancelBody)

    async def cancel(self, jobs):
        """Cancel the jobs."""
        return CancelResult(len(jobs), ())


@given('a daemon whose other zone {other} when it is asked to cancel')
def daemon_of_two_zones(context, other):
    relay = ZoneRelay(('here', 'there'), OtherZone(other), ManualClock(1000))
    life = SimpleNamespace(knows_contracts=lambda: True)
    context.caller_api = CallerApi('here', None, CancellingJobApi(), None, relay, life)


@when('a caller cancels jobs of {zones}')
def cancel_jobs(context, zones):
    jobs = ('there.1',) if zones == 'that zone' else ('here.1', 'there.1')
    request = Request('POST', '/v1/jobs/cancel', body=msgspec.json.encode(CancelBody(jobs)))
    try:
        curio.run(context.caller_api.handle, request)
    except RequestError as error:
        context.problem = error.problem


@then('the error has the verdict {verdict}')
def check_verdict(context, verdict):
    assert context.problem.verdict.value == verdict, context.problem
