"""A runner restarts under its id while a task is started on it, ends, and its owner is lost.

Processes are numbered in the order in which they start; each numbers its ends from 1. The first
one has listed and forgotten an end of another task before. A connection reaches one process and
ends with it. The entry may be of an earlier process, as heartbeats land late, or of one that
never was, as others write there too. B takes over from A once, and knows what the store tells:
the incarnation on which A may have started the task.
"""

from spec._model import Spec, Steps

PROCESSES = 3

INITIAL = {
    #: The process that runs now, and what it has of the task: ``none``, ``runs``, ``listed``
    #: or ``forgotten``.
    'process': 1,
    'task': 'none',
    #: What the newest entry tells.
    'entry': 1,
    #: The owner: the incarnation that it knows, the process that its connection reaches (0
    #: for none), the last end that it noted, and what it believes of the task.
    'known': 1,
    'reached': 0,
    'noted': 1,
    'believes': 'waiting',
    'held_on': 0,
    'owner': 'A',
    #: The incarnation that has not been seen yet, 0 for none.
    'unseen': 0,
    #: Whether a start broke a rule: beside a run, or behind an end that was forgotten.
    'twice': False,
    #: Whether an end was forgotten that nobody has noted.
    'unread': False,
}


def moves(
    steps: Steps,
    *,
    checks_connection: bool = True,
    counts_by_incarnation: bool = True,
    proves_by_answer: bool = True,
    proves_in_order: bool = True,
    waits_for_unseen: bool = True,
) -> None:
    """Add all steps from one state; each argument weakens one guard."""
    now = steps.now
    _runner(steps)
    _entries(steps, counts_by_incarnation)
    if now['reached']:
        _call(steps, waits_for_unseen)
    else:
        _connect(steps, checks_connection, proves_in_order)
    if now['owner'] == 'A':
        _take_over(steps)
    if not proves_by_answer and now['unseen'] and now['known'] > now['unseen']:
        steps.step('a later entry is read', unseen=0)


def _runner(steps: Steps) -> None:
    now = steps.now
    if now['task'] == 'runs':
        steps.step('the task ends', task='listed')
    if now['process'] < PROCESSES:
        steps.step('the runner restarts', process=now['process'] + 1, task='none', reached=0)


def _entries(steps: Steps, counts_by_incarnation: bool) -> None:
    now = steps.now
    for told in range(1, PROCESSES + 1):
        if told != now['entry']:
            steps.step(f'an entry of process {told} lands', entry=told)
    if now['entry'] == now['known']:
        return
    fresh = {'noted': 0} if counts_by_incarnation else {}
    steps.step('the owner reads the entry', known=now['entry'], reached=0, **fresh)


def _connect(steps: Steps, checks_connection: bool, proves_in_order: bool) -> None:
    """Open a connection; what is at its end is asked before anything else is sent."""
    now = steps.now
    reached = now['process']
    if reached == now['known'] or not checks_connection:
        found = {'reached': reached}
        if now['unseen'] and reached == now['known'] > now['unseen']:
            found['unseen'] = 0
        steps.step('a connection opens', **found)
        return
    over = now['held_on'] == now['known']
    found = {'believes': 'waiting', 'held_on': 0} if over else {}
    if now['unseen'] and (now['unseen'] == now['known'] or not proves_in_order):
        found['unseen'] = 0
    steps.step('another incarnation answers', **found)


def _call(steps: Steps, waits_for_unseen: bool) -> None:
    now = steps.now
    free = not now['unseen'] or not waits_for_unseen
    if now['believes'] == 'waiting' and free:
        steps.step(
            'the task is started',
            task='runs',
            believes='held',
            held_on=now['known'],
            twice=now['twice'] or now['task'] != 'none',
        )
    _look(steps)


def _look(steps: Steps) -> None:
    """A look acknowledges what was noted, and lists the rest."""
    now = steps.now
    number = 2 if now['process'] == 1 else 1
    task = now['task']
    unread = now['unread']
    if task == 'listed' and number <= now['noted']:
        task = 'forgotten'
        unread = unread or now['believes'] != 'done'
    seen = {'unseen': 0} if now['unseen'] == now['known'] else {}
    if task == 'listed':
        seen.update(noted=number, believes='done', held_on=0)
    elif task == 'runs' and now['believes'] == 'waiting' and seen:
        seen.update(believes='held', held_on=now['known'])
    elif task in {'none', 'forgotten'} and now['held_on'] == now['known']:
        seen.update(believes='waiting', held_on=0)
    steps.step('the owner looks', task=task, unread=unread, **seen)


def _take_over(steps: Steps) -> None:
    now = steps.now
    unseen = now['held_on'] if now['believes'] == 'held' else 0
    believes = 'done' if now['believes'] == 'done' else 'waiting'
    steps.step(
        'B takes over',
        owner='B',
        reached=0,
        noted=0,
        known=now['entry'],
        believes=believes,
        held_on=0,
        unseen=unseen,
    )


def never_twice(state: dict) -> bool:
    """No start beside a run, and none behind an end that its runner lists or has forgotten."""
    return not state['twice']


def ends_are_read(state: dict) -> bool:
    """No runner forgets an end that its owner has not noted."""
    return not state['unread']


INCARNATIONS = Spec(
    'incarnations',
    INITIAL,
    moves,
    {'never twice': never_twice, 'ends are read': ends_are_read},
    {
        'connections are not checked': {'checks_connection': False},
        'counts go on from one incarnation to the next': {'counts_by_incarnation': False},
        'a later entry proves that an incarnation is over': {'proves_by_answer': False},
        'any other answer proves that an unseen one is over': {'proves_in_order': False},
        'nothing waits for unseen incarnations': {'waits_for_unseen': False},
    },
)
