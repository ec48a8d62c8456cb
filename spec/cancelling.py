"""A job is cancelled while its one task starts, runs or is found on one runner.

The first owner may be killed and followed twice, the runner cut off and its entry lost,
a start carried out late, and one stop answered without effect. A tick is about a second,
two looks: it passes only once whoever owns the cell has looked at a runner in reach and
has sent the stop that is due. ``overrun`` counts the ticks that the task of the cancelled
job has run with nothing disturbed.
"""

from spec._model import Spec, Steps

#: Ticks that a lease, and the deadline of a start under way, last; more than LIMIT, or
#: leases alone would end each task in time.
LEASE = 5
#: Ticks within which the task must have ended.
LIMIT = 2
OWNERS = 3

INITIAL = {
    'cancelled': False,
    #: What the store keeps of the job no longer says that it has such a task.
    'dropped': False,
    'owner': 1,
    'alive': True,
    'held': 'nothing',
    'attends': True,
    'named': True,
    'listed': True,
    'reached': True,
    'looked': False,
    'sent': False,
    'flight': 0,
    'run': False,
    'lease': 0,
    'fence': 1,
    'forbidden': False,
    'faulty': True,
    'overrun': 0,
}


def moves(
    steps: Steps,
    *,
    stops_unknown: bool = True,
    repeats_stops: bool = True,
    attends_unlisted: bool = True,
    keeps_names: bool = True,
) -> None:
    """Add all steps from one state; each argument weakens one guard."""
    _surroundings(steps)
    _runner(steps)
    _tick(steps)
    _take_over(steps, attends_unlisted, keeps_names)
    if steps.now['alive']:
        _start(steps)
        _stop(steps)
        if steps.now['attends'] and steps.now['reached']:
            _look(steps, stops_unknown, repeats_stops)


def _surroundings(steps: Steps) -> None:
    now = steps.now
    if not now['cancelled']:
        steps.step('a client cancels the job', cancelled=True)
    if now['cancelled'] and not now['dropped']:
        steps.step('the store drops the job', dropped=True)
    if now['listed']:
        steps.step("the runner's entry expires", listed=False, overrun=0)
    steps.step('the way to the runner changes', reached=not now['reached'], overrun=0)


def _runner(steps: Steps) -> None:
    now = steps.now
    if now['flight'] and not now['run']:
        taken = now['fence'] == 1 and not now['forbidden']
        changes = {'run': True, 'lease': now['flight'], 'overrun': 0} if taken else {}
        steps.step('the start arrives', flight=0, **changes)
    if now['run'] and not now['cancelled']:
        steps.step('the task ends', run=False, lease=0, forbidden=True)


def _tick(steps: Steps) -> None:
    now = steps.now
    in_touch = now['alive'] and now['reached']
    due = not now['looked'] or now['held'] == 'stopping'
    if in_touch and now['attends'] and due:
        return
    left = max(0, now['lease'] - 1)
    run = now['run'] and left > 0
    counts = run and now['cancelled'] and in_touch
    steps.step(
        'tick',
        lease=left,
        run=run,
        flight=max(0, now['flight'] - 1),
        looked=False,
        overrun=min(now['overrun'] + 1, LIMIT + 1) if counts else 0,
    )


def _take_over(steps: Steps, attends_unlisted: bool, keeps_names: bool) -> None:
    now = steps.now
    if now['alive'] and now['owner'] < OWNERS:
        steps.step('the owner is killed', alive=False, held='nothing', overrun=0)
    if not now['alive']:
        attends = now['listed'] or (now['named'] and attends_unlisted)
        steps.step(
            'another host takes over',
            owner=now['owner'] + 1,
            alive=True,
            attends=attends,
            # It names the runner as soon as it attends to it, not once it has seen it.
            named=attends if keeps_names else now['listed'],
            looked=False,
            sent=False,
        )


def _start(steps: Steps) -> None:
    now = steps.now
    if now['owner'] == 1 and not now['sent'] and not now['cancelled']:
        steps.step('a start is sent', sent=True, flight=LEASE, held='starting')
    if now['held'] == 'starting':
        steps.step('the start is taken for refused', held='nothing')
        steps.step('the start is not answered', held='stopping')
    if now['cancelled'] and now['held'] in {'starting', 'running'}:
        steps.step('the owner hears of the cancellation', held='stopping')


def _stop(steps: Steps) -> None:
    now = steps.now
    if now['held'] != 'stopping' or not now['reached']:
        return
    steps.step(
        'the stop is answered',
        held='stopped',
        run=False,
        lease=0,
        forbidden=True,
        fence=now['owner'],
    )
    if now['faulty']:
        steps.step('the stop is answered without effect', held='stopped', faulty=False)


def _look(steps: Steps, stops_unknown: bool, repeats_stops: bool) -> None:
    """The owner takes what the runner lists, and renews its lease."""
    now = steps.now
    held = now['held']
    if not now['run']:
        held = held if held in {'starting', 'stopping'} else 'nothing'
    elif held == 'stopped':
        held = 'stopping' if repeats_stops else 'stopped'
    elif held != 'stopping':
        unwanted = now['cancelled'] and (stops_unknown or not now['dropped'])
        held = 'stopping' if unwanted else 'running'
    lease = LEASE if now['run'] else 0
    steps.step('a look', looked=True, held=held, lease=lease, fence=now['owner'])


def ends_in_time(state: dict) -> bool:
    """The task of a cancelled job is gone in time."""
    return state['overrun'] <= LIMIT


CANCELLING = Spec(
    'cancelling',
    INITIAL,
    moves,
    {'ends in time': ends_in_time},
    {
        'runs of jobs that nobody knows are left alone': {'stops_unknown': False},
        'a stop that was answered is never repeated': {'repeats_stops': False},
        'a successor looks only at runners that are listed': {'attends_unlisted': False},
        'a successor names only runners that are listed': {'keeps_names': False},
    },
)
