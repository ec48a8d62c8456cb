"""At-most-once start of a non-idempotent job, across a change of dispatcher and a move.

Dispatcher A is replaced by B, and the job may be moved to another zone Z. Appends to the log
may be delayed or their replies lost. The model has no clock, as A may be paused at any point
and for any time. An intent is valid only if its epoch is the one in force at its position in
the log.
"""

from spec._model import Spec, Steps

NONE = 0
A_INTENT = 1
B_INTENT = 2
MOVED = 3

INITIAL = {
    'epoch': 1,  # dispatch epoch according to the log
    'worker_epoch': 1,  # dispatch epoch that the worker's owner has read
    'a_append_pending': False,  # A's intent is on its way to the log
    'a_confirmed': False,  # A has read its intent back as valid
    'a_order_sent': False,
    'a_appends_left': 1,
    'winner': NONE,  # first valid record for attempt 1: an intent or the move
    'order_pending': False,  # A's start order is on its way to the worker's owner
    'b_verdict': '',  # what B concluded about A's attempt: 'own', 'running' or 'again'
    'starts': 0,
    'moves_left': 1,
}


def add_steps(
    steps: Steps,
    *,
    read_back: bool = True,
    owner_checks_epoch: bool = True,
    report_has_new_epoch: bool = True,
    never_restarts: bool = True,
    one_winner: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    _former_dispatcher(steps, read_back)
    _log(steps, one_winner)
    _worker_owner(steps, owner_checks_epoch)
    _successor_dispatcher(steps, report_has_new_epoch, never_restarts)


def _former_dispatcher(steps: Steps, read_back: bool) -> None:
    """Steps of A; no step depends on time, as A may be paused at any point."""
    state = steps.state
    if state['a_appends_left']:
        unconfirmed_order = {} if read_back else {'order_pending': True}
        steps.step(
            'A appends its intent', a_append_pending=True, a_appends_left=0, **unconfirmed_order
        )
    if state['winner'] == A_INTENT and not state['a_confirmed']:
        steps.step('A reads its intent back', a_confirmed=True)
    if (
        read_back
        and state['a_confirmed']
        and not state['order_pending']
        and not state['a_order_sent']
    ):
        steps.step('A sends the order', order_pending=True, a_order_sent=True)


def _log(steps: Steps, one_winner: bool) -> None:
    state = steps.state
    if state['a_append_pending']:
        valid = state['winner'] == NONE and state['epoch'] == 1
        steps.step(
            "A's intent is appended",
            a_append_pending=False,
            winner=A_INTENT if valid else state['winner'],
        )
        steps.step("A's intent is lost", a_append_pending=False)
    if state['epoch'] == 1:
        steps.step('B takes over as dispatcher', epoch=2)
    if state['moves_left']:
        can_win = state['winner'] == NONE or not one_winner
        winner = MOVED if state['winner'] == NONE else state['winner']
        steps.step('the move is appended too late', moves_left=0)
        if can_win:
            steps.step(
                'the job is moved, Z starts it',
                moves_left=0,
                winner=winner,
                starts=min(state['starts'] + 1, 2),
            )


def _worker_owner(steps: Steps, owner_checks_epoch: bool) -> None:
    state = steps.state
    if state['worker_epoch'] < state['epoch']:
        steps.step("the worker's owner reads the log", worker_epoch=state['epoch'])
    if not state['order_pending']:
        return
    steps.step('the order is lost', order_pending=False)
    if state['worker_epoch'] == 1 or not owner_checks_epoch:
        steps.step(
            "the worker's owner starts it",
            order_pending=False,
            starts=min(state['starts'] + 1, 2),
        )
    else:
        steps.step("the worker's owner refuses it", order_pending=False)


def _successor_dispatcher(steps: Steps, report_has_new_epoch: bool, never_restarts: bool) -> None:
    state = steps.state
    if state['epoch'] != 2:
        return
    if state['winner'] == NONE:
        steps.step('B appends an intent for attempt 1', winner=B_INTENT)
    if state['winner'] == B_INTENT and state['b_verdict'] == '':
        steps.step('B starts it', b_verdict='own', starts=min(state['starts'] + 1, 2))
    if state['winner'] != A_INTENT or state['b_verdict']:
        return
    if state['starts']:
        steps.step('the report shows it', b_verdict='running')
    elif state['worker_epoch'] == 2 or not report_has_new_epoch:
        steps.step('the report lacks it, B starts attempt 2', b_verdict='again', starts=1)
    if not never_restarts:
        steps.step('B starts it although it may have run', b_verdict='again', starts=2)


def at_most_once(state: dict) -> bool:
    """The job is started at most once."""
    return state['starts'] <= 1


ATTEMPTS = Spec(
    'attempts',
    INITIAL,
    add_steps,
    {'at most once': at_most_once},
    {
        'started before the intent is read back': {'read_back': False},
        'owners obey former dispatchers': {'owner_checks_epoch': False},
        'reports of owners that do not know the successor': {'report_has_new_epoch': False},
        'an unknown attempt is started again': {'never_restarts': False},
        'intent and move both win': {'one_winner': False},
    },
)
