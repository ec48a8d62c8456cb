"""Owner A of a cell is replaced by B while one task runs on one of two runners.

A may be cut off from the store, from B and from either runner, in any order and for any
time: a lost message is modelled as a step that is not taken. Ages are in ticks.
"""

from spec._model import Spec, Steps

#: For how long A may renew leases after its last acknowledged append, the longest duration of a
#: lease and of the deadline of a start order, and the time after that append at which all leases
#: end, in ticks.
AUTHORITY_TICKS = 3
LEASE_TICKS = 2
LIMIT_TICKS = 3
#: Ticks after its claim at which B assumes that the tasks on a runner it has not polled ended.
WAIT_TICKS = LIMIT_TICKS
RUNNERS = (1, 2)

INITIAL = {
    'a_append_age': 0,
    'a_placed_on': 0,
    'start_sent_to': 0,
    'start_ticks_left': 0,
    'b_claimed': False,
    'b_waited': 0,
    'b_placed_on': 0,
    'b_noted_done': False,
    'started_after_done': False,
    **{f'fence_{runner}': 1 for runner in RUNNERS},
    **{f'run_{runner}': 0 for runner in RUNNERS},
    **{f'lease_{runner}': 0 for runner in RUNNERS},
    **{f'ended_{runner}': False for runner in RUNNERS},
    **{f'stored_{runner}': False for runner in RUNNERS},
    **{f'seen_{runner}': False for runner in RUNNERS},
}


def add_steps(
    steps: Steps,
    *,
    checks_fence: bool = True,
    wait: int = WAIT_TICKS,
    limit: int = LIMIT_TICKS,
    stores_before_start: bool = True,
    starts_expire: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    _tick(steps, starts_expire)
    state = steps.state
    if not state['b_claimed']:
        steps.step("A's append is answered", a_append_age=0)
        steps.step('B claims', b_claimed=True)
    for runner in RUNNERS:
        _former_owner(steps, runner, limit, checks_fence, stores_before_start)
        _runner(steps, runner)
        if state['b_claimed']:
            _successor(steps, runner, wait)


def _tick(steps: Steps, starts_expire: bool) -> None:
    state = steps.state
    changes = {
        'a_append_age': min(state['a_append_age'] + 1, AUTHORITY_TICKS),
        'b_waited': min(state['b_waited'] + 1, WAIT_TICKS) if state['b_claimed'] else 0,
    }
    if state['start_sent_to'] and starts_expire:
        changes['start_ticks_left'] = state['start_ticks_left'] - 1
        changes['start_sent_to'] = state['start_sent_to'] if changes['start_ticks_left'] else 0
    for runner in RUNNERS:
        lease_left = max(0, state[f'lease_{runner}'] - 1)
        changes[f'lease_{runner}'] = lease_left
        changes[f'run_{runner}'] = state[f'run_{runner}'] if lease_left else 0
    steps.step('tick', **changes)


def _former_owner(
    steps: Steps, runner: int, limit: int, checks_fence: bool, stores_before_start: bool
) -> None:
    state = steps.state
    lease = min(LEASE_TICKS, limit - state['a_append_age'])
    obeys_a = state[f'fence_{runner}'] == 1
    if not state['b_claimed'] and not state[f'stored_{runner}']:
        steps.step(f'A stores that the task may run on {runner}', **{f'stored_{runner}': True})
    may_start = state['a_append_age'] < AUTHORITY_TICKS and (
        state[f'stored_{runner}'] or not stores_before_start
    )
    if may_start and not state['a_placed_on'] and not state['start_sent_to']:
        steps.step(
            f'A sends a start to {runner}',
            a_placed_on=runner,
            start_sent_to=runner,
            start_ticks_left=lease,
        )
    if state['start_sent_to'] == runner and (obeys_a or not checks_fence):
        lease_left = state['start_ticks_left']
        _start(steps, f'the start arrives at {runner}', runner, 1, lease_left, start_sent_to=0)
    if state['start_sent_to'] == runner:
        steps.step('the start is lost', start_sent_to=0)
    if obeys_a and state[f'run_{runner}'] and state['a_append_age'] < AUTHORITY_TICKS:
        renewed = max(lease, state[f'lease_{runner}'])
        steps.step(f'A renews the lease on {runner}', **{f'lease_{runner}': renewed})
    is_missing = (
        not state[f'run_{runner}']
        and not state[f'ended_{runner}']
        and state['start_sent_to'] != runner
    )
    if state['a_placed_on'] == runner and obeys_a and is_missing:
        steps.step(f'A finds that {runner} does not have it', a_placed_on=0)


def _runner(steps: Steps, runner: int) -> None:
    state = steps.state
    if state[f'run_{runner}']:
        steps.step(
            f'the task is done on {runner}',
            **{f'run_{runner}': 0, f'lease_{runner}': 0, f'ended_{runner}': True},
        )


def _successor(steps: Steps, runner: int, wait: int) -> None:
    state = steps.state
    running = bool(state[f'run_{runner}'])
    steps.step(
        f'B looks at {runner}',
        b_placed_on=runner if running else state['b_placed_on'],
        b_noted_done=state['b_noted_done'] or state[f'ended_{runner}'],
        **{f'fence_{runner}': 2, f'seen_{runner}': True},
    )
    all_accounted_for = all(
        state[f'seen_{other}'] or not state[f'stored_{other}'] or state['b_waited'] >= wait
        for other in RUNNERS
    )
    if (
        all_accounted_for
        and state[f'seen_{runner}']
        and not state['b_placed_on']
        and not state['b_noted_done']
    ):
        _start(steps, f'B starts it on {runner}', runner, 2, LEASE_TICKS, b_placed_on=runner)
    if state['b_placed_on'] == runner and state[f'seen_{runner}'] and running:
        steps.step(f'B renews the lease on {runner}', **{f'lease_{runner}': LEASE_TICKS})
    if state['b_placed_on'] == runner and not running and not state[f'ended_{runner}']:
        steps.step(f'B finds that {runner} does not have it', b_placed_on=0)


def _start(steps: Steps, label: str, runner: int, epoch: int, lease: int, **changes: int) -> None:
    """A start takes effect; ``started_after_done`` records one after B saw the task done."""
    state = steps.state
    steps.step(
        label,
        started_after_done=state['started_after_done'] or state['b_noted_done'],
        **{f'run_{runner}': epoch, f'lease_{runner}': lease},
        **changes,
    )


def runs_once(state: dict) -> bool:
    """The task never runs in two places."""
    return not (state['run_1'] and state['run_2'])


def not_after_done(state: dict) -> bool:
    """The task does not start after its owner has noted it as done."""
    return not state['started_after_done']


CELL = Spec(
    'cell',
    INITIAL,
    add_steps,
    {'runs once': runs_once, 'not after done': not_after_done},
    {
        'runners take orders of a former owner': {'checks_fence': False},
        'no wait for unseen runners': {'wait': 0},
        'one lease as the wait for an owner that may renew': {'wait': LEASE_TICKS},
        'leases without a limit after the last append': {'limit': AUTHORITY_TICKS + LEASE_TICKS},
        'starts on runners that the store does not name': {'stores_before_start': False},
        'starts without a deadline': {'starts_expire': False},
    },
)
