"""A client is told that a task is done before the store has it, and hosts and a runner are lost.

One task has been started on one runner, and the store says so. Owner A sees its end in the
runner's list, tells two peers, and shows it once one has taken the word. All hosts may be
killed at any moment and come back knowing nothing; the runner may crash once, and a look at
it shows that; any message is lost by a step that is not taken. B claims next and asks the
peers what they were told; one that has answered takes no word of a former owner any more.
"""

from spec._model import Spec, Steps

PEERS = (1, 2)

INITIAL = {
    #: The task: ``runs``, ``done`` (and listed until that is acknowledged), ``forgotten``.
    'task': 'runs',
    'crashed': False,
    #: Whether A acts, and has seen the end.
    'acts': True,
    'saw': False,
    'stored': False,
    'shown': False,
    #: Whether any peer was ever told.
    'word': False,
    #: Whether a peer has been told, and how B's question to it stands: ``unasked``,
    #: ``asked``, or ``missed``.
    **{f'told_{peer}': False for peer in PEERS},
    **{f'asked_{peer}': 'unasked' for peer in PEERS},
    'claimed': False,
    #: Whether B has looked at the runner, and knows the task to be done.
    'looked': False,
    'knows': False,
    'again': False,
}


def moves(
    steps: Steps,
    *,
    tells_first: bool = True,
    asks: bool = True,
    fences: bool = True,
    stores_first: bool = True,
    looks_first: bool = True,
    own_view: bool = True,
) -> None:
    """Add all steps from one state; each argument weakens one guard."""
    now = steps.now
    _runner(steps)
    if now['acts']:
        _see(steps, own_view)
        if now['saw']:
            _show(steps, tells_first, fences, stores_first)
    for peer in PEERS:
        if now[f'told_{peer}']:
            steps.step(f'peer {peer} shows that it is done', shown=True)
            steps.step(f'peer {peer} is killed', **{f'told_{peer}': False})
    if now['claimed']:
        _succeed(steps, asks, looks_first)
    else:
        # All that stands in the store has been read then.
        steps.step('B claims', claimed=True, knows=now['stored'])


def _runner(steps: Steps) -> None:
    now = steps.now
    if now['crashed']:
        return
    if now['task'] == 'runs':
        steps.step('the task is done', task='done')
    steps.step('the runner crashes', crashed=True)


def _see(steps: Steps, own_view: bool) -> None:
    now = steps.now
    steps.step('A is killed', acts=False, saw=False)
    # Once B has looked, the runner does nothing for A any more.
    if now['crashed'] or now['looked']:
        return
    if now['task'] == 'done':
        steps.step('A sees the end', saw=True)
    elif not own_view:
        steps.step('A takes a task that must soon be done for done', saw=True)


def _show(steps: Steps, tells_first: bool, fences: bool, stores_first: bool) -> None:
    now = steps.now
    if not now['claimed']:
        steps.step('the store takes the end', stored=True)
    for peer in PEERS:
        if now[f'asked_{peer}'] != 'asked' or not fences:
            steps.step(f'A tells peer {peer}', **{f'told_{peer}': True}, word=True, shown=True)
    if now['stored'] or not tells_first:
        steps.step('A shows that it is done', shown=True)
    if (now['stored'] or not stores_first) and not now['crashed'] and not now['looked']:
        steps.step('A acknowledges the end', task='forgotten')


def _succeed(steps: Steps, asks: bool, looks_first: bool) -> None:
    now = steps.now
    for peer in PEERS:
        if now[f'asked_{peer}'] == 'unasked':
            word = now['knows'] or (asks and now[f'told_{peer}'])
            steps.step(f'B asks peer {peer}', knows=word, **{f'asked_{peer}': 'asked'})
            steps.step(f'B does not reach peer {peer}', **{f'asked_{peer}': 'missed'})
    if not now['looked']:
        listed = now['task'] == 'done' and not now['crashed']
        steps.step('B looks at the runner', looked=True, knows=now['knows'] or listed)
    running = now['task'] == 'runs' and not now['crashed']
    asked = all(now[f'asked_{peer}'] != 'unasked' for peer in PEERS)
    may_start = asked and (now['looked'] or not looks_first)
    if may_start and not now['knows'] and not running:
        steps.step('B starts the task again', again=True)


def not_taken_back(state: dict) -> bool:
    """What was shown does not start again, whichever hosts are killed.

    The word is lost only with the runner that listed the end, and with all hosts that had
    been told of it and were in reach of the new owner.
    """
    if not (state['shown'] and state['again']):
        return True
    kept = any(state[f'told_{peer}'] and state[f'asked_{peer}'] == 'asked' for peer in PEERS)
    return state['crashed'] and state['word'] and not kept


def is_true(state: dict) -> bool:
    """What is shown has happened."""
    return not state['shown'] or state['task'] != 'runs'


COMPLETIONS = Spec(
    'completions',
    INITIAL,
    moves,
    {'not taken back': not_taken_back, 'is true': is_true},
    {
        'shown by its owner alone': {'tells_first': False},
        'a new owner asks nobody': {'asks': False},
        'peers take the word of a former owner': {'fences': False},
        'an end is acknowledged before it is stored': {'stores_first': False},
        'a new owner starts before it has looked': {'looks_first': False},
        'an end that nobody listed': {'own_view': False},
    },
)
