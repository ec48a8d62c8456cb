"""Three owners of a cell, one after the other, while the task of the first runs on a runner.

The second owner may name the runner as unreached in the store; the third then waits for the
leases of the first only. A and B may be cut off at any time: a lost message is modelled as a step
that is not taken. Ages are in ticks.
"""

from spec._model import Spec, Steps

#: The longest duration of a lease, and the time after an owner's last answered append at which all
#: leases that it has granted end.
LEASE_TICKS = 2
LIMIT_TICKS = 3
#: What ``b_names`` says: whether B has decided to name the runner, and whether that is stored.
NOT_NAMED, DECIDED, STORED = range(3)

INITIAL = {
    'owner': 'A',
    'fence': 'A',
    'lease': 1,
    'a_age': 0,
    'b_age': 0,
    'b_seen': False,
    'b_names': NOT_NAMED,
    'b_left': 0,
    'stored_left': 0,
    'c_left': 0,
    'runs_twice': False,
}


def add_steps(
    steps: Steps,
    *,
    withholds_leases: bool = True,
    withholds_from_decision: bool = True,
    counts_named: bool = True,
    names_unseen_only: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    steps.step(
        'tick',
        lease=max(0, state['lease'] - 1),
        a_age=min(state['a_age'] + 1, LIMIT_TICKS),
        b_age=min(state['b_age'] + 1, LIMIT_TICKS),
        b_left=max(0, state['b_left'] - 1),
        c_left=max(0, state['c_left'] - 1),
    )
    if state['owner'] == 'A':
        steps.step("A's append is answered", a_age=0)
        steps.step('B claims', owner='B', b_age=0, b_left=LIMIT_TICKS, stored_left=LIMIT_TICKS)
    if state['lease'] and state['fence'] == 'A':
        lease = max(state['lease'], min(LEASE_TICKS, LIMIT_TICKS - state['a_age']))
        steps.step('A renews', lease=lease)
    if state['owner'] != 'A':
        _second_owner(steps, withholds_leases, withholds_from_decision)
    if state['owner'] == 'B':
        _second_owner_stores(steps, counts_named, names_unseen_only)
        is_named = state['b_names'] == STORED
        steps.step('C claims', owner='C', c_left=state['stored_left'] if is_named else LIMIT_TICKS)
    if state['owner'] == 'C' and not state['c_left']:
        steps.step('C starts it elsewhere', runs_twice=state['runs_twice'] or state['lease'] > 0)


def _second_owner(steps: Steps, withholds_leases: bool, withholds_from_decision: bool) -> None:
    state = steps.state
    if state['fence'] == 'A':
        steps.step('B reaches the runner', fence='B', b_seen=True)
    withheld = (
        state['b_names'] != NOT_NAMED if withholds_from_decision else (state['b_names'] == STORED)
    )
    if state['b_seen'] and state['lease'] and not (withheld and withholds_leases):
        lease = max(state['lease'], min(LEASE_TICKS, LIMIT_TICKS - state['b_age']))
        steps.step('B renews', lease=lease)


def _second_owner_stores(steps: Steps, counts_named: bool, names_unseen_only: bool) -> None:
    """Add the appends of B; a record and the time left are stored together."""
    state = steps.state
    is_named = state['b_names'] != NOT_NAMED
    is_unsettled = not state['b_seen'] or (is_named and counts_named)
    left = state['b_left'] if is_unsettled else 0
    if not is_named and not (state['b_seen'] and names_unseen_only):
        steps.step('B decides to name the runner', b_names=DECIDED)
    if state['b_names'] == DECIDED:
        steps.step('B stores the name', b_names=STORED, b_age=0, stored_left=state['b_left'])
    if is_named and state['b_seen']:
        steps.step('B stores that it has reached the runner', b_names=NOT_NAMED, b_age=0)
    steps.step("B's heartbeat is stored", b_age=0, stored_left=left)


def runs_once(state: dict) -> bool:
    """The task never runs in two places."""
    return not state['runs_twice']


UNREACHED = Spec(
    'unreached',
    INITIAL,
    add_steps,
    {'runs once': runs_once},
    {
        'leases on a runner that the store names': {'withholds_leases': False},
        'leases until the name is stored': {'withholds_from_decision': False},
        'a named runner that has answered counts as settled': {'counts_named': False},
        'names of runners that have answered': {'names_unseen_only': False},
    },
)
