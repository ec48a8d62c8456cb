"""A task crashes each runner that starts it, while its owners are lost one after the other.

A start may also be lost in a cut, where the runner lives and its entry stays. Appends of an
owner that is lost may have landed or not: it is lost before or after each of them. Only one
start is under way at a time, as everywhere.
"""

from spec._model import Spec, Steps

#: Crashes that the owner counts before it gives the task up.
LIMIT = 3
#: Starts that may crash a runner at the most: three, and two more.
MOST = 5
#: Crashes without which no task may be given up.
FEWEST = 2
KILLS = 3
CUTS = 2

INITIAL = {
    'alive': True,
    'kills': KILLS,
    'cuts': CUTS,
    #: The number of the latest start, and where it stands: ``idle``, ``storing``,
    #: ``ready``, ``sent``, ``crashed`` or ``cut``.
    'run': 0,
    'phase': 'idle',
    'crashes': 0,
    #: The last run that crashed its runner, and whether the owner has learned it.
    'crashed_run': 0,
    'learned': True,
    'counted': 0,
    #: The last run that was counted: an end is learned by several looks.
    'last': 0,
    'doubtful': False,
    'given_up': False,
    #: What the store has of the four: of the first one, by the runners that it names.
    'kept_learned': 0,
    'kept': 0,
    'kept_last': 0,
    'kept_doubtful': False,
    #: The start that stands in the store.
    'kept_run': 0,
}


def moves(
    steps: Steps,
    *,
    counts: bool = True,
    stores_together: bool = True,
    stores_starts: bool = True,
    doubts: bool = True,
    counts_by_run: bool = True,
    proves: bool = True,
) -> None:
    """Add all steps from one state; each argument weakens one guard."""
    now = steps.now
    _runner(steps)
    if not now['alive']:
        _take_over(steps, doubts, counts_by_run, proves)
        return
    if now['kills']:
        steps.step('the owner is lost', alive=False, kills=now['kills'] - 1)
    if not now['given_up']:
        _store(steps, stores_together)
        _start(steps, stores_starts)
        _learn(steps, counts, counts_by_run, proves)


def _runner(steps: Steps) -> None:
    now = steps.now
    if now['phase'] == 'sent':
        steps.step(
            'the runner crashes',
            phase='crashed',
            crashes=min(now['crashes'] + 1, MOST + 1),
            crashed_run=now['run'],
            learned=False,
        )
        if now['cuts']:
            steps.step('the start is lost in a cut', phase='cut', cuts=now['cuts'] - 1)


def _store(steps: Steps, stores_together: bool) -> None:
    """A heartbeat names the runners that are attended to, and has what else is news."""
    now = steps.now
    news = {'kept': now['counted'], 'kept_last': now['last'], 'kept_doubtful': now['doubtful']}
    named = {'kept_learned': now['crashed_run']} if now['learned'] else {}
    if stores_together:
        steps.step('a heartbeat is stored', **news, **named)
        return
    steps.step('runners are stored', **named)
    steps.step('counts are stored', **news)


def _start(steps: Steps, stores_starts: bool) -> None:
    now = steps.now
    run = now['run'] + 1
    if now['phase'] == 'idle':
        if now['counted'] or now['doubtful']:
            steps.step('a start is about to be stored', run=run, phase='storing')
        else:
            steps.step('a first start is ready', run=run, phase='ready')
    if now['phase'] == 'storing':
        steps.step(
            'the count and the start are stored',
            phase='ready',
            kept=now['counted'],
            kept_last=now['last'],
            kept_doubtful=now['doubtful'],
            kept_run=now['run'] if stores_starts else 0,
        )
    if now['phase'] == 'ready':
        steps.step('the start is sent', phase='sent')


def _learn(steps: Steps, counts: bool, counts_by_run: bool, proves: bool) -> None:
    """Another life answers at the address, or the leases on a silent runner run out."""
    now = steps.now
    if now['phase'] == 'crashed':
        counted = _count(now, now['run'], counts_by_run) if counts else {}
        steps.step('another life answers', phase='idle', learned=True, **counted)
        if not counts_by_run:
            steps.step('another life answers, to one look of several', **counted)
    if now['phase'] == 'cut':
        counted = {} if proves else _count(now, now['run'], counts_by_run)
        steps.step('the leases run out', phase='idle', **counted)


def _take_over(steps: Steps, doubts: bool, counts_by_run: bool, proves: bool) -> None:
    """The successor knows what the store tells, and looks at the runners that it names."""
    now = steps.now
    if now['phase'] == 'sent':
        return
    known = {
        'counted': now['kept'],
        'last': now['kept_last'],
        'doubtful': now['kept_doubtful'],
        'given_up': now['kept'] >= LIMIT,
        'learned': True,
    }
    gone = now['crashed_run'] if now['kept_learned'] < now['crashed_run'] else 0
    if now['phase'] == 'cut' and not proves:
        gone = now['run']
    found: dict = {}
    if gone or now['phase'] == 'cut':
        found['doubtful'] = doubts or now['kept_doubtful']
    if gone and now['kept_run'] == gone:
        found |= _count({**now, **known}, gone, counts_by_run)
    steps.step('another host takes over', alive=True, phase='idle', **{**known, **found})


def _count(now: dict, run: int, counts_by_run: bool) -> dict:
    if counts_by_run and now['last'] == run:
        return {}
    counted = min(now['counted'] + 1, LIMIT)
    return {'counted': counted, 'last': run, 'given_up': counted >= LIMIT}


def few_starts(state: dict) -> bool:
    """No task crashes more runners than may be."""
    return state['crashes'] <= MOST


def given_up_for_cause(state: dict) -> bool:
    """Only a task under which two runners have crashed is given up."""
    return not state['given_up'] or state['crashes'] >= FEWEST


CRASHES = Spec(
    'crashes',
    INITIAL,
    moves,
    {'few starts': few_starts, 'given up for cause': given_up_for_cause},
    {
        'runs lost with their runner are not counted': {'counts': False},
        'the runners that are gone are stored without the counts': {'stores_together': False},
        'starts after a crash are not stored': {'stores_starts': False},
        'first starts of a lost owner raise no doubt': {'doubts': False},
        'one crash counts with each look': {'counts_by_run': False},
        'leases that run out count as a crash': {'proves': False},
    },
)
