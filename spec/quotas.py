"""A quota of two tasks, then one, for one account: two runners, an owner and its successor.

Owners are killed with starts on their way, which are carried out late or lost; answers are
lost; a runner is out of reach; tasks are cancelled; the quota is lowered to one task. A start
breaks the quota if more may be at work with it than the quota that is in force allows.
"""

from spec._model import Spec, Steps

TASKS = (1, 2)
RUNNERS = (1, 2)
OWNERS = 2
QUOTA = 2

#: Of each task: where it is (``at``), which owner sent it there, how the owner at work counts
#: it, on which runner the store says that it may be, and where the store says that runs of it
#: were left when it was cancelled.
INITIAL = {
    'owner': 1,
    'alive': True,
    'quota': QUOTA,
    'over': False,
    'reached': True,
    **{f'seen_{runner}': True for runner in RUNNERS},
    **{f'fence_{runner}': 1 for runner in RUNNERS},
    **{f'at_{task}': 'idle' for task in TASKS},
    **{f'by_{task}': 0 for task in TASKS},
    **{f'held_{task}': 'no' for task in TASKS},
    **{f'stored_{task}': 0 for task in TASKS},
    **{f'left_{task}': 0 for task in TASKS},
    **{f'cancelled_{task}': False for task in TASKS},
}


def moves(
    steps: Steps,
    *,
    counts_unanswered: bool = True,
    counts_stopping: bool = True,
    counts_unseen: bool = True,
    counts_leftovers: bool = True,
    stores_leftovers: bool = True,
    leaves_unseen: bool = True,
    asks_quota_in_force: bool = True,
) -> None:
    """Add all steps from one state; each argument weakens one guard."""
    now = steps.now
    if now['quota'] == QUOTA:
        steps.step('the quota is lowered', quota=1)
    steps.step('the way to runner 2 changes', reached=not now['reached'])
    if now['alive'] and now['owner'] < OWNERS:
        steps.step('the owner is killed', alive=False)
    if not now['alive']:
        _take_over(steps)
    for task in TASKS:
        _runner(steps, task)
    if not now['alive']:
        return
    counted = _count(now, counts_unseen, counts_leftovers)
    quota = now['quota'] if asks_quota_in_force else QUOTA
    for task in TASKS:
        if counted < quota:
            _start(steps, task)
        _lose_answer(steps, task, counts_unanswered)
        _stop(steps, task)
        _cancel(steps, task, counts_stopping, stores_leftovers, leaves_unseen)
    for runner in RUNNERS:
        if runner == 1 or now['reached']:
            _look(steps, runner)


def _count(now: dict, counts_unseen: bool, counts_leftovers: bool) -> int:
    """Return how many tasks the owner takes to be at work, or to be so perhaps."""
    count = 0
    for task in TASKS:
        stored, left = now[f'stored_{task}'], now[f'left_{task}']
        waiting = now[f'at_{task}'] != 'done' and not now[f'cancelled_{task}']
        unseen = waiting and stored and not now[f'seen_{stored}']
        remains = left and not now[f'seen_{left}']
        count += (
            now[f'held_{task}'] != 'no'
            or bool(unseen and counts_unseen)
            or bool(remains and counts_leftovers)
        )
    return count


def _take_over(steps: Steps) -> None:
    now = steps.now
    steps.step(
        'another host takes over',
        alive=True,
        owner=now['owner'] + 1,
        **{f'seen_{runner}': False for runner in RUNNERS},
        **{f'held_{task}': 'no' for task in TASKS},
    )


def _runner(steps: Steps, task: int) -> None:
    """A start is carried out or lost, a run ends."""
    now = steps.now
    state, _, place = now[f'at_{task}'].partition(' ')
    if state == 'sent':
        taken = now[f'by_{task}'] >= now[f'fence_{place}']
        steps.step(f'start {task} arrives', **{f'at_{task}': f'runs {place}' if taken else 'idle'})
        steps.step(f'start {task} is lost', **{f'at_{task}': 'idle'})
    if state == 'runs':
        steps.step(f'run {task} ends', **{f'at_{task}': f'ended {place}'})


def _start(steps: Steps, task: int) -> None:
    """The owner starts a task that waits, on a runner that it has seen."""
    now = steps.now
    stored = now[f'stored_{task}']
    blocked = stored and not now[f'seen_{stored}']
    waits = now[f'at_{task}'] == 'idle' and now[f'held_{task}'] == 'no'
    if not waits or blocked or now[f'cancelled_{task}']:
        return
    busy = sum(now[f'at_{one}'].split()[0] in {'sent', 'runs'} for one in TASKS)
    for runner in RUNNERS:
        if not now[f'seen_{runner}']:
            continue
        steps.step(
            f'task {task} is started on {runner}',
            over=now['over'] or busy + 1 > now['quota'],
            **{
                f'at_{task}': f'sent {runner}',
                f'by_{task}': now['owner'],
                f'held_{task}': 'start',
                f'stored_{task}': runner,
            },
        )


def _lose_answer(steps: Steps, task: int, counts_unanswered: bool) -> None:
    if steps.now[f'held_{task}'] == 'start':
        held = 'stop' if counts_unanswered else 'no'
        steps.step(f'the answer to start {task} is lost', **{f'held_{task}': held})


def _stop(steps: Steps, task: int) -> None:
    """A runner takes a stop: the run ends, and a start that comes later is refused."""
    now = steps.now
    state, _, place = now[f'at_{task}'].partition(' ')
    if now[f'held_{task}'] != 'stop' or state not in {'sent', 'runs'}:
        return
    if place == '1' or now['reached']:
        after = 'idle' if state == 'sent' else f'ended {place}'
        steps.step(f'stop {task} is taken', **{f'at_{task}': after})


def _cancel(
    steps: Steps,
    task: int,
    counts_stopping: bool,
    stores_leftovers: bool,
    leaves_unseen: bool,
) -> None:
    now = steps.now
    if now[f'cancelled_{task}'] or now[f'at_{task}'] == 'done':
        return
    held, stored = now[f'held_{task}'], now[f'stored_{task}']
    unseen = stored and not now[f'seen_{stored}'] and leaves_unseen
    left = stored if held != 'no' or unseen else 0
    stopping = 'stop' if counts_stopping else 'no'
    steps.step(
        f'task {task} is cancelled',
        **{
            f'cancelled_{task}': True,
            f'left_{task}': left if stores_leftovers else 0,
            f'held_{task}': 'no' if held == 'no' else stopping,
        },
    )


def _look(steps: Steps, runner: int) -> None:
    """The owner learns what a runner has; what it does not have is not there any more."""
    now = steps.now
    changes: dict = {f'seen_{runner}': True, f'fence_{runner}': now['owner']}
    for task in TASKS:
        state, _, place = now[f'at_{task}'].partition(' ')
        here = place == f'{runner}'
        if here and state == 'runs':
            kept = 'stop' if now[f'cancelled_{task}'] else 'start'
            changes[f'held_{task}'] = 'stop' if now[f'held_{task}'] == 'stop' else kept
        elif here and state == 'ended':
            changes[f'held_{task}'] = 'no'
            changes[f'at_{task}'] = 'idle' if now[f'cancelled_{task}'] else 'done'
        elif here and now[f'by_{task}'] < now['owner']:
            changes[f'at_{task}'] = 'idle'
            changes[f'held_{task}'] = 'no'
        elif state in {'idle', 'done'} and now[f'stored_{task}'] == runner:
            changes[f'held_{task}'] = 'no'
    steps.step(f'a look at {runner}', **changes)


def within_quota(state: dict) -> bool:
    """No start brings the account over the quota in force."""
    return not state['over']


QUOTAS = Spec(
    'quotas',
    INITIAL,
    moves,
    {'within quota': within_quota},
    {
        'a start without an answer is not counted': {'counts_unanswered': False},
        'what is being stopped is not counted': {'counts_stopping': False},
        'what may run on unseen runners is not counted': {'counts_unseen': False},
        'what is left of a cancelled task is not counted': {'counts_leftovers': False},
        'what is left of a cancelled task is not stored': {'stores_leftovers': False},
        'a task that is cancelled unseen leaves nothing': {'leaves_unseen': False},
        'the quota that a job came with counts': {'asks_quota_in_force': False},
    },
)
