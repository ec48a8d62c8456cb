"""A runner restarts under the same id while a task starts and ends on it and its owner is lost.

Processes (incarnations) of the runner are numbered in the order in which they start; each
numbers its ended runs from 1. The first process has already listed and forgotten an end of
another task. A connection reaches one process and closes with it. The registration may come
from an earlier process, as heartbeats may be delayed, or from one that never existed, as
others write there too. B takes over from A once, and knows from the store the incarnation on
which A may have started the task.
"""

from spec._model import Spec, Steps

PROCESSES = 3

INITIAL = {
    #: The current process, and the task there: ``none``, ``runs``, ``listed`` (as ended) or
    #: ``forgotten``.
    'process': 1,
    'task': 'none',
    #: The process that the latest registration names.
    'entry_process': 1,
    #: The owner: the process that it knows, the process that its connection reaches (0 for
    #: none), the number of the last end that it noted, its view of the task (``waiting``,
    #: ``held`` or ``done``), the process on which it holds the task, and who the owner is.
    'known_process': 1,
    'connected_process': 0,
    'last_noted_end': 1,
    'owner_view': 'waiting',
    'held_on': 0,
    'owner': 'A',
    #: The process on which the former owner may have started the task and which the owner has
    #: not polled yet, 0 for none.
    'unseen_process': 0,
    #: Whether the task was started while it ran, or after an end that was listed or forgotten.
    'started_twice': False,
    #: Whether the runner has forgotten an end that no owner has noted.
    'end_lost': False,
}


def add_steps(
    steps: Steps,
    *,
    checks_connection: bool = True,
    counts_by_incarnation: bool = True,
    proves_by_answer: bool = True,
    proves_in_order: bool = True,
    waits_for_unseen: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    _runner(steps)
    _registrations(steps, counts_by_incarnation)
    if state['connected_process']:
        _owner_requests(steps, waits_for_unseen)
    else:
        _connect(steps, checks_connection, proves_in_order)
    if state['owner'] == 'A':
        _take_over(steps)
    if (
        not proves_by_answer
        and state['unseen_process']
        and state['known_process'] > state['unseen_process']
    ):
        steps.step('a later registration is read', unseen_process=0)


def _runner(steps: Steps) -> None:
    state = steps.state
    if state['task'] == 'runs':
        steps.step('the task ends', task='listed')
    if state['process'] < PROCESSES:
        steps.step(
            'the runner restarts', process=state['process'] + 1, task='none', connected_process=0
        )


def _registrations(steps: Steps, counts_by_incarnation: bool) -> None:
    state = steps.state
    for process in range(1, PROCESSES + 1):
        if process != state['entry_process']:
            steps.step(f'a registration of process {process} is stored', entry_process=process)
    if state['entry_process'] == state['known_process']:
        return
    reset = {'last_noted_end': 0} if counts_by_incarnation else {}
    steps.step(
        'the owner reads the registration',
        known_process=state['entry_process'],
        connected_process=0,
        **reset,
    )


def _connect(steps: Steps, checks_connection: bool, proves_in_order: bool) -> None:
    """Open a connection; the process there is identified before anything else is sent."""
    state = steps.state
    reached = state['process']
    if reached == state['known_process'] or not checks_connection:
        changes = {'connected_process': reached}
        if state['unseen_process'] and reached == state['known_process'] > state['unseen_process']:
            changes['unseen_process'] = 0
        steps.step('a connection opens', **changes)
        return
    held_run_is_over = state['held_on'] == state['known_process']
    changes = {'owner_view': 'waiting', 'held_on': 0} if held_run_is_over else {}
    if state['unseen_process'] and (
        state['unseen_process'] == state['known_process'] or not proves_in_order
    ):
        changes['unseen_process'] = 0
    steps.step('another incarnation answers', **changes)


def _owner_requests(steps: Steps, waits_for_unseen: bool) -> None:
    state = steps.state
    may_start = not state['unseen_process'] or not waits_for_unseen
    if state['owner_view'] == 'waiting' and may_start:
        steps.step(
            'the task is started',
            task='runs',
            owner_view='held',
            held_on=state['known_process'],
            started_twice=state['started_twice'] or state['task'] != 'none',
        )
    _poll(steps)


def _poll(steps: Steps) -> None:
    """A poll acknowledges the ends that were noted, and returns the others."""
    state = steps.state
    number = 2 if state['process'] == 1 else 1
    task = state['task']
    end_lost = state['end_lost']
    if task == 'listed' and number <= state['last_noted_end']:
        task = 'forgotten'
        end_lost = end_lost or state['owner_view'] != 'done'
    changes = {'unseen_process': 0} if state['unseen_process'] == state['known_process'] else {}
    if task == 'listed':
        changes.update(last_noted_end=number, owner_view='done', held_on=0)
    elif task == 'runs' and state['owner_view'] == 'waiting' and changes:
        changes.update(owner_view='held', held_on=state['known_process'])
    elif task in {'none', 'forgotten'} and state['held_on'] == state['known_process']:
        changes.update(owner_view='waiting', held_on=0)
    steps.step('the owner polls the runner', task=task, end_lost=end_lost, **changes)


def _take_over(steps: Steps) -> None:
    state = steps.state
    unseen = state['held_on'] if state['owner_view'] == 'held' else 0
    owner_view = 'done' if state['owner_view'] == 'done' else 'waiting'
    steps.step(
        'B takes over',
        owner='B',
        connected_process=0,
        last_noted_end=0,
        known_process=state['entry_process'],
        owner_view=owner_view,
        held_on=0,
        unseen_process=unseen,
    )


def never_twice(state: dict) -> bool:
    """No start while the task runs, nor after an end that its runner lists or has forgotten."""
    return not state['started_twice']


def ends_are_read(state: dict) -> bool:
    """No runner forgets an end that its owner has not noted."""
    return not state['end_lost']


INCARNATIONS = Spec(
    'incarnations',
    INITIAL,
    add_steps,
    {'never twice': never_twice, 'ends are read': ends_are_read},
    {
        'connections are not checked': {'checks_connection': False},
        'counts go on from one incarnation to the next': {'counts_by_incarnation': False},
        'a later entry proves that an incarnation is over': {'proves_by_answer': False},
        'any other answer proves that an unseen one is over': {'proves_in_order': False},
        'nothing waits for unseen incarnations': {'waits_for_unseen': False},
    },
)
