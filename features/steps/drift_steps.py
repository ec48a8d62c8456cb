"""Steps on leases on slow clocks."""

from behave import given, then, when

from dandelionreel.cell.decisions._cell import MAX_CLOCK_DRIFT
from dandelionreel.cell.decisions._ledger import RunnerState
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._predecessors import Predecessors
from features.cell_parts import make_registration

TOLD_AT = 1000.0


@given('a runner whose clock is 2% slow, and told {seconds:g} s ago')
def slow_clock(context, seconds):
    context.now = TOLD_AT + seconds
    context.state = RunnerState(make_registration('w1'))
    context.state.note_clock(0.0, TOLD_AT)


@when('a lease is granted there and the owner releases the cell right then')
def granted(context):
    lease_until = context.state.extend_lease(context.now, LEASE_SECONDS)
    context.runs_out = TOLD_AT + lease_until / (1 - MAX_CLOCK_DRIFT)
    term = Term(2, 'me/1', WriterFence(2, 1), context.now, True, False)
    context.given_up = Predecessors(term, LEASE_SECONDS, context.now).until


@then('its successor does not give it up before it has run out')
def not_before(context):
    early = context.runs_out - context.given_up
    assert early <= 0, f'given up {early:.3f} s too early'
