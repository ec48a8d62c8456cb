"""A task crashes each runner that starts it, while owners of the cell are lost in turn.

A start may also be lost in a network cut; then the runner survives and stays registered. The
last append of a lost owner may have been stored or not: the owner is lost before or after
each append. Only one start of a task is in progress at a time, as in the implementation.
"""

from spec._model import Spec, Steps

#: Counted crashes after which the owner gives the task up.
GIVE_UP_LIMIT = 3
#: Most runners that one task may crash: GIVE_UP_LIMIT, and two more.
MAX_CRASHES = 5
#: Fewest crashes after which a task may be given up.
MIN_CRASHES = 2
MAX_KILLS = 3
MAX_CUTS = 2

INITIAL = {
    'owner_alive': True,
    'kills_left': MAX_KILLS,
    'cuts_left': MAX_CUTS,
    #: The number of the latest run, and its phase: ``idle``, ``storing``, ``ready``,
    #: ``sent``, ``crashed`` or ``cut``.
    'run': 0,
    'phase': 'idle',
    'crashes': 0,
    #: The last run that crashed its runner, and whether the owner has learned it.
    'crashed_run': 0,
    'crash_learned': True,
    'crashes_counted': 0,
    #: The last run whose crash was counted; several polls may report the same end.
    'last_counted_run': 0,
    'count_incomplete': False,
    'given_up': False,
    #: Stored copies of crash_learned (the last crashed run whose runner the store no longer
    #: names), crashes_counted, last_counted_run and count_incomplete.
    'stored_learned': 0,
    'stored_count': 0,
    'stored_last_run': 0,
    'stored_incomplete': False,
    #: The run whose start is in the store, 0 for none.
    'stored_run': 0,
}


def add_steps(
    steps: Steps,
    *,
    counts_crashes: bool = True,
    stores_counts_with_runners: bool = True,
    stores_starts: bool = True,
    marks_incomplete: bool = True,
    counts_once_per_run: bool = True,
    requires_proof: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    _runner(steps)
    if not state['owner_alive']:
        _take_over(steps, marks_incomplete, counts_once_per_run, requires_proof)
        return
    if state['kills_left']:
        steps.step('the owner is lost', owner_alive=False, kills_left=state['kills_left'] - 1)
    if not state['given_up']:
        _store(steps, stores_counts_with_runners)
        _start(steps, stores_starts)
        _learn(steps, counts_crashes, counts_once_per_run, requires_proof)


def _runner(steps: Steps) -> None:
    state = steps.state
    if state['phase'] == 'sent':
        steps.step(
            'the runner crashes',
            phase='crashed',
            crashes=min(state['crashes'] + 1, MAX_CRASHES + 1),
            crashed_run=state['run'],
            crash_learned=False,
        )
        if state['cuts_left']:
            steps.step('the start is lost in a cut', phase='cut', cuts_left=state['cuts_left'] - 1)


def _store(steps: Steps, stores_counts_with_runners: bool) -> None:
    """A heartbeat stores the runners that the owner polls, and the counts that changed."""
    state = steps.state
    counts = {
        'stored_count': state['crashes_counted'],
        'stored_last_run': state['last_counted_run'],
        'stored_incomplete': state['count_incomplete'],
    }
    learned = {'stored_learned': state['crashed_run']} if state['crash_learned'] else {}
    if stores_counts_with_runners:
        steps.step('a heartbeat is stored', **counts, **learned)
        return
    steps.step('runners are stored', **learned)
    steps.step('counts are stored', **counts)


def _start(steps: Steps, stores_starts: bool) -> None:
    state = steps.state
    run = state['run'] + 1
    if state['phase'] == 'idle':
        if state['crashes_counted'] or state['count_incomplete']:
            steps.step('a start is about to be stored', run=run, phase='storing')
        else:
            steps.step('a first start is ready', run=run, phase='ready')
    if state['phase'] == 'storing':
        steps.step(
            'the count and the start are stored',
            phase='ready',
            stored_count=state['crashes_counted'],
            stored_last_run=state['last_counted_run'],
            stored_incomplete=state['count_incomplete'],
            stored_run=state['run'] if stores_starts else 0,
        )
    if state['phase'] == 'ready':
        steps.step('the start is sent', phase='sent')


def _learn(
    steps: Steps, counts_crashes: bool, counts_once_per_run: bool, requires_proof: bool
) -> None:
    """A new incarnation answers at the address, or the leases on a silent runner expire."""
    state = steps.state
    if state['phase'] == 'crashed':
        counted = _count(state, state['run'], counts_once_per_run) if counts_crashes else {}
        steps.step('a new incarnation answers', phase='idle', crash_learned=True, **counted)
        if not counts_once_per_run:
            steps.step('a new incarnation answers one of several polls', **counted)
    if state['phase'] == 'cut':
        counted = {} if requires_proof else _count(state, state['run'], counts_once_per_run)
        steps.step('the leases expire', phase='idle', **counted)


def _take_over(
    steps: Steps, marks_incomplete: bool, counts_once_per_run: bool, requires_proof: bool
) -> None:
    """The successor restores the state from the store, and polls the runners named there."""
    state = steps.state
    if state['phase'] == 'sent':
        return
    restored = {
        'crashes_counted': state['stored_count'],
        'last_counted_run': state['stored_last_run'],
        'count_incomplete': state['stored_incomplete'],
        'given_up': state['stored_count'] >= GIVE_UP_LIMIT,
        'crash_learned': True,
    }
    lost_run = state['crashed_run'] if state['stored_learned'] < state['crashed_run'] else 0
    if state['phase'] == 'cut' and not requires_proof:
        lost_run = state['run']
    changes: dict = {}
    if lost_run or state['phase'] == 'cut':
        changes['count_incomplete'] = marks_incomplete or state['stored_incomplete']
    if lost_run and state['stored_run'] == lost_run:
        changes |= _count({**state, **restored}, lost_run, counts_once_per_run)
    steps.step('another host takes over', owner_alive=True, phase='idle', **{**restored, **changes})


def _count(state: dict, run: int, counts_once_per_run: bool) -> dict:
    if counts_once_per_run and state['last_counted_run'] == run:
        return {}
    counted = min(state['crashes_counted'] + 1, GIVE_UP_LIMIT)
    return {
        'crashes_counted': counted,
        'last_counted_run': run,
        'given_up': counted >= GIVE_UP_LIMIT,
    }


def limits_crashes(state: dict) -> bool:
    """No task crashes more than MAX_CRASHES runners."""
    return state['crashes'] <= MAX_CRASHES


def gives_up_only_after_crashes(state: dict) -> bool:
    """A task is given up only after at least MIN_CRASHES crashes of runners."""
    return not state['given_up'] or state['crashes'] >= MIN_CRASHES


CRASHES = Spec(
    'crashes',
    INITIAL,
    add_steps,
    {'few starts': limits_crashes, 'given up for cause': gives_up_only_after_crashes},
    {
        'runs lost with their runner are not counted': {'counts_crashes': False},
        'the runners that are gone are stored without the counts': {
            'stores_counts_with_runners': False
        },
        'starts after a crash are not stored': {'stores_starts': False},
        'first starts of a lost owner raise no doubt': {'marks_incomplete': False},
        'one crash counts with each look': {'counts_once_per_run': False},
        'leases that run out count as a crash': {'requires_proof': False},
    },
)
