"""Quota of one client account, with two tasks, two runners, an owner and its successor.

Owners are killed while start orders are on their way, which are carried out late or lost;
replies are lost; runner 2 becomes unreachable; tasks are cancelled; the quota is lowered from
two tasks to one. A start violates the quota if with it more tasks may be running than the
quota in force allows.
"""

from spec._model import Spec, Steps

TASKS = (1, 2)
RUNNERS = (1, 2)
MAX_OWNERS = 2
QUOTA = 2

#: Of each task: its phase and runner (``at``: ``idle``, ``sent N``, ``runs N``, ``ended N`` or
#: ``done``); the owner that sent it there; how the current owner counts it (``no``, ``start``
#: or ``stop``); the runner on which it may be according to the store; and the runner on which
#: the store says that a run was left over when the task was cancelled.
#: Of each runner: whether the current owner has polled it, and the owner's epoch that it obeys.
INITIAL = {
    'owner': 1,
    'owner_alive': True,
    'quota': QUOTA,  # the quota in force
    'quota_exceeded': False,
    'runner_2_reachable': True,
    **{f'seen_{runner}': True for runner in RUNNERS},
    **{f'fence_{runner}': 1 for runner in RUNNERS},
    **{f'at_{task}': 'idle' for task in TASKS},
    **{f'sent_by_{task}': 0 for task in TASKS},
    **{f'owner_view_{task}': 'no' for task in TASKS},
    **{f'stored_{task}': 0 for task in TASKS},
    **{f'leftover_{task}': 0 for task in TASKS},
    **{f'cancelled_{task}': False for task in TASKS},
}


def add_steps(
    steps: Steps,
    *,
    counts_unanswered: bool = True,
    counts_stopping: bool = True,
    counts_unseen: bool = True,
    counts_leftovers: bool = True,
    stores_leftovers: bool = True,
    leaves_unseen: bool = True,
    uses_quota_in_force: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    if state['quota'] == QUOTA:
        steps.step('the quota is lowered', quota=1)
    steps.step(
        'runner 2 becomes reachable or unreachable',
        runner_2_reachable=not state['runner_2_reachable'],
    )
    if state['owner_alive'] and state['owner'] < MAX_OWNERS:
        steps.step('the owner is killed', owner_alive=False)
    if not state['owner_alive']:
        _take_over(steps)
    for task in TASKS:
        _runner(steps, task)
    if not state['owner_alive']:
        return
    counted = _count(state, counts_unseen, counts_leftovers)
    quota = state['quota'] if uses_quota_in_force else QUOTA
    for task in TASKS:
        if counted < quota:
            _start(steps, task)
        _lose_answer(steps, task, counts_unanswered)
        _stop(steps, task)
        _cancel(steps, task, counts_stopping, stores_leftovers, leaves_unseen)
    for runner in RUNNERS:
        if runner == 1 or state['runner_2_reachable']:
            _poll(steps, runner)


def _count(state: dict, counts_unseen: bool, counts_leftovers: bool) -> int:
    """Return how many tasks are running, or may be, in the view of the owner."""
    count = 0
    for task in TASKS:
        stored, leftover = state[f'stored_{task}'], state[f'leftover_{task}']
        waiting = state[f'at_{task}'] != 'done' and not state[f'cancelled_{task}']
        unseen = waiting and stored and not state[f'seen_{stored}']
        unseen_leftover = leftover and not state[f'seen_{leftover}']
        count += (
            state[f'owner_view_{task}'] != 'no'
            or bool(unseen and counts_unseen)
            or bool(unseen_leftover and counts_leftovers)
        )
    return count


def _take_over(steps: Steps) -> None:
    state = steps.state
    steps.step(
        'another host takes over',
        owner_alive=True,
        owner=state['owner'] + 1,
        **{f'seen_{runner}': False for runner in RUNNERS},
        **{f'owner_view_{task}': 'no' for task in TASKS},
    )


def _runner(steps: Steps, task: int) -> None:
    """A start is carried out or lost, or a run ends."""
    state = steps.state
    phase, _, location = state[f'at_{task}'].partition(' ')
    if phase == 'sent':
        accepted = state[f'sent_by_{task}'] >= state[f'fence_{location}']
        steps.step(
            f'start {task} arrives', **{f'at_{task}': f'runs {location}' if accepted else 'idle'}
        )
        steps.step(f'start {task} is lost', **{f'at_{task}': 'idle'})
    if phase == 'runs':
        steps.step(f'run {task} ends', **{f'at_{task}': f'ended {location}'})


def _start(steps: Steps, task: int) -> None:
    """The owner starts a waiting task on a runner that it has polled."""
    state = steps.state
    stored = state[f'stored_{task}']
    blocked = stored and not state[f'seen_{stored}']
    waits = state[f'at_{task}'] == 'idle' and state[f'owner_view_{task}'] == 'no'
    if not waits or blocked or state[f'cancelled_{task}']:
        return
    busy = sum(state[f'at_{other}'].split()[0] in {'sent', 'runs'} for other in TASKS)
    for runner in RUNNERS:
        if not state[f'seen_{runner}']:
            continue
        steps.step(
            f'task {task} is started on {runner}',
            quota_exceeded=state['quota_exceeded'] or busy + 1 > state['quota'],
            **{
                f'at_{task}': f'sent {runner}',
                f'sent_by_{task}': state['owner'],
                f'owner_view_{task}': 'start',
                f'stored_{task}': runner,
            },
        )


def _lose_answer(steps: Steps, task: int, counts_unanswered: bool) -> None:
    if steps.state[f'owner_view_{task}'] == 'start':
        owner_view = 'stop' if counts_unanswered else 'no'
        steps.step(f'the answer to start {task} is lost', **{f'owner_view_{task}': owner_view})


def _stop(steps: Steps, task: int) -> None:
    """A runner carries out a stop: the run ends, and a start that arrives later is refused."""
    state = steps.state
    phase, _, location = state[f'at_{task}'].partition(' ')
    if state[f'owner_view_{task}'] != 'stop' or phase not in {'sent', 'runs'}:
        return
    if location == '1' or state['runner_2_reachable']:
        after = 'idle' if phase == 'sent' else f'ended {location}'
        steps.step(f'stop {task} is carried out', **{f'at_{task}': after})


def _cancel(
    steps: Steps,
    task: int,
    counts_stopping: bool,
    stores_leftovers: bool,
    leaves_unseen: bool,
) -> None:
    state = steps.state
    if state[f'cancelled_{task}'] or state[f'at_{task}'] == 'done':
        return
    owner_view, stored = state[f'owner_view_{task}'], state[f'stored_{task}']
    unseen = stored and not state[f'seen_{stored}'] and leaves_unseen
    leftover = stored if owner_view != 'no' or unseen else 0
    stopping = 'stop' if counts_stopping else 'no'
    steps.step(
        f'task {task} is cancelled',
        **{
            f'cancelled_{task}': True,
            f'leftover_{task}': leftover if stores_leftovers else 0,
            f'owner_view_{task}': 'no' if owner_view == 'no' else stopping,
        },
    )


def _poll(steps: Steps, runner: int) -> None:
    """The owner polls a runner; a run that the runner does not list is not there."""
    state = steps.state
    changes: dict = {f'seen_{runner}': True, f'fence_{runner}': state['owner']}
    for task in TASKS:
        phase, _, location = state[f'at_{task}'].partition(' ')
        on_runner = location == f'{runner}'
        if on_runner and phase == 'runs':
            seen_as = 'stop' if state[f'cancelled_{task}'] else 'start'
            changes[f'owner_view_{task}'] = (
                'stop' if state[f'owner_view_{task}'] == 'stop' else seen_as
            )
        elif on_runner and phase == 'ended':
            changes[f'owner_view_{task}'] = 'no'
            changes[f'at_{task}'] = 'idle' if state[f'cancelled_{task}'] else 'done'
        elif on_runner and state[f'sent_by_{task}'] < state['owner']:
            changes[f'at_{task}'] = 'idle'
            changes[f'owner_view_{task}'] = 'no'
        elif phase in {'idle', 'done'} and state[f'stored_{task}'] == runner:
            changes[f'owner_view_{task}'] = 'no'
    steps.step(f'the owner polls runner {runner}', **changes)


def within_quota(state: dict) -> bool:
    """No start takes the account over the quota in force."""
    return not state['quota_exceeded']


QUOTAS = Spec(
    'quotas',
    INITIAL,
    add_steps,
    {'within quota': within_quota},
    {
        'a start without an answer is not counted': {'counts_unanswered': False},
        'what is being stopped is not counted': {'counts_stopping': False},
        'what may run on unseen runners is not counted': {'counts_unseen': False},
        'what is left of a cancelled task is not counted': {'counts_leftovers': False},
        'what is left of a cancelled task is not stored': {'stores_leftovers': False},
        'a task that is cancelled unseen leaves nothing': {'leaves_unseen': False},
        'the quota that a job came with counts': {'uses_quota_in_force': False},
    },
)
