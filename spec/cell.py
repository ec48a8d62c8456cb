"""A cell's owner A is followed by B while one task runs on one of two runners.

A may be cut off from the store, from B and from either runner, in any order and for
any time: a message that is lost is a step that is not taken. Ages are in ticks.
"""

from spec._model import Spec, Steps

#: Ticks for which A renews leases after its last answered append, and for which a
#: lease, and the deadline of a start under way, last.
AUTHORITY = 2
LEASE = 2
#: B takes an unseen runner's tasks for gone that long after its claim.
WAIT = AUTHORITY + LEASE
RUNNERS = (1, 2)

INITIAL = {
    'age': 0,
    'placed': 0,
    'flight': 0,
    'flight_left': 0,
    'claimed': False,
    'waited': 0,
    'followed': 0,
    'done': False,
    'again': False,
    **{f'fence_{runner}': 1 for runner in RUNNERS},
    **{f'run_{runner}': 0 for runner in RUNNERS},
    **{f'lease_{runner}': 0 for runner in RUNNERS},
    **{f'ended_{runner}': False for runner in RUNNERS},
    **{f'stored_{runner}': False for runner in RUNNERS},
    **{f'seen_{runner}': False for runner in RUNNERS},
}


def moves(
    steps: Steps,
    *,
    fences: bool = True,
    wait: int = WAIT,
    stores_first: bool = True,
    starts_expire: bool = True,
) -> None:
    """Add all steps from one state; each argument weakens one guard."""
    _tick(steps, starts_expire)
    now = steps.now
    if not now['claimed']:
        steps.step("A's append is answered", age=0)
        if now['age']:
            steps.step('B claims', claimed=True)
    for runner in RUNNERS:
        _former_owner(steps, runner, fences, stores_first)
        _runner(steps, runner)
        if now['claimed']:
            _successor(steps, runner, wait)


def _tick(steps: Steps, starts_expire: bool) -> None:
    now = steps.now
    changes = {
        'age': min(now['age'] + 1, AUTHORITY),
        'waited': min(now['waited'] + 1, WAIT) if now['claimed'] else 0,
    }
    if now['flight'] and starts_expire:
        changes['flight_left'] = now['flight_left'] - 1
        changes['flight'] = now['flight'] if changes['flight_left'] else 0
    for runner in RUNNERS:
        left = max(0, now[f'lease_{runner}'] - 1)
        changes[f'lease_{runner}'] = left
        changes[f'run_{runner}'] = now[f'run_{runner}'] if left else 0
    steps.step('tick', **changes)


def _former_owner(steps: Steps, runner: int, fences: bool, stores_first: bool) -> None:
    now = steps.now
    mine = now[f'fence_{runner}'] == 1
    if not now['claimed'] and not now[f'stored_{runner}']:
        steps.step(f'A stores that the task may run on {runner}', **{f'stored_{runner}': True})
    may_start = now['age'] < AUTHORITY and (now[f'stored_{runner}'] or not stores_first)
    if may_start and not now['placed'] and not now['flight']:
        steps.step(f'A sends a start to {runner}', placed=runner, flight=runner, flight_left=LEASE)
    if now['flight'] == runner and (mine or not fences):
        _start(steps, f'the start arrives at {runner}', runner, 1, flight=0)
    if now['flight'] == runner:
        steps.step('the start is lost', flight=0)
    if mine and now[f'run_{runner}'] and now['age'] < AUTHORITY:
        steps.step(f'A renews the lease on {runner}', **{f'lease_{runner}': LEASE})
    gone = not now[f'run_{runner}'] and not now[f'ended_{runner}'] and now['flight'] != runner
    if now['placed'] == runner and mine and gone:
        steps.step(f'A finds that {runner} does not have it', placed=0)


def _runner(steps: Steps, runner: int) -> None:
    now = steps.now
    if now[f'run_{runner}']:
        steps.step(
            f'the task is done on {runner}',
            **{f'run_{runner}': 0, f'lease_{runner}': 0, f'ended_{runner}': True},
        )


def _successor(steps: Steps, runner: int, wait: int) -> None:
    now = steps.now
    running = bool(now[f'run_{runner}'])
    steps.step(
        f'B looks at {runner}',
        followed=runner if running else now['followed'],
        done=now['done'] or now[f'ended_{runner}'],
        **{f'fence_{runner}': 2, f'seen_{runner}': True},
    )
    known = all(
        now[f'seen_{other}'] or not now[f'stored_{other}'] or now['waited'] >= wait
        for other in RUNNERS
    )
    if known and now[f'seen_{runner}'] and not now['followed'] and not now['done']:
        _start(steps, f'B starts it on {runner}', runner, 2, followed=runner)
    if now['followed'] == runner and now[f'seen_{runner}'] and running:
        steps.step(f'B renews the lease on {runner}', **{f'lease_{runner}': LEASE})
    if now['followed'] == runner and not running and not now[f'ended_{runner}']:
        steps.step(f'B finds that {runner} does not have it', followed=0)


def _start(steps: Steps, label: str, runner: int, epoch: int, **changes: int) -> None:
    """A start takes effect; ``again`` notes one after B has seen the task done."""
    now = steps.now
    steps.step(
        label,
        again=now['again'] or now['done'],
        **{f'run_{runner}': epoch, f'lease_{runner}': LEASE},
        **changes,
    )


def runs_once(state: dict) -> bool:
    """The task never runs in two places."""
    return not (state['run_1'] and state['run_2'])


def not_after_done(state: dict) -> bool:
    """The task does not start after its owner has noted it as done."""
    return not state['again']


CELL = Spec(
    'cell',
    INITIAL,
    moves,
    {'runs once': runs_once, 'not after done': not_after_done},
    {
        'runners take orders of a former owner': {'fences': False},
        'no wait for unseen runners': {'wait': 0},
        'one lease as the wait for an owner that may renew': {'wait': LEASE},
        'starts on runners that the store does not name': {'stores_first': False},
        'starts without a deadline': {'starts_expire': False},
    },
)
