"""Steps for leases on runners with slow clocks."""

from behave import given, then, when

from dandelionreel.cell.decisions._cell import MAX_CLOCK_DRIFT
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._predecessor_leases import PredecessorLeases
from features.cell_parts import make_registration

CLOCK_READ_AT = 1000.0


@given('a runner whose clock is 2% slow and was last read {seconds:g} s ago')
def slow_clock(context, seconds):
    context.now = CLOCK_READ_AT + seconds
    context.state = RunnerState(make_registration('w1'))
    context.state.record_clock(0.0, CLOCK_READ_AT)


@when('a lease is granted there and the owner releases the cell at once')
def grant_lease_and_release(context):
    lease_until = context.state.extend_lease(context.now, LEASE_SECONDS)
    context.expires_at = CLOCK_READ_AT + lease_until / (1 - MAX_CLOCK_DRIFT)
    term = Term(2, 'me/1', WriterFence(2, 1), context.now, True, False)
    context.wait_end = PredecessorLeases(term, LEASE_SECONDS, context.now).expire_at


@then('its successor waits until the lease has expired')
def not_before(context):
    early = context.expires_at - context.wait_end
    assert early <= 0, f'the wait ends {early:.3f} s too early'
