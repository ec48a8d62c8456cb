"""A zone is cut off; its hosts tell its clients what its runners have done, and O owns the cell.

One task has been started on a runner of the zone. Behind the cut host W sees its end there,
tells host V of the same zone, and shows it. O is outside: it hears nothing, its lease on the
runner runs out, and it would start the task elsewhere. The cut may begin and heal twice; W
and V may be killed and come back knowing nothing, the runner may crash once, and any message
is lost by a step that is not taken. A host believes that it is cut off until O asks it; one
that does not takes no word of what others have seen behind a cut.
"""

from spec._model import Spec, Steps

CUTS = 2
HOSTS = ('w', 'v')

INITIAL = {
    'cut': False,
    'cuts': CUTS,
    #: The task at the runner: ``runs``, ``done`` or ``lapsed``.
    'task': 'runs',
    'crashed': False,
    #: Whether O has been without the runner for so long that its lease has run out.
    'lapsed': False,
    #: What each host of the zone knows, whether it believes to be cut off, and how O's
    #: question to it stands: ``unasked``, ``asked`` or ``missed``.
    **{f'{host}_knows': False for host in HOSTS},
    **{f'{host}_cut': False for host in HOSTS},
    **{f'{host}_asked': 'unasked' for host in HOSTS},
    #: Whether W has seen the end, and whether V was ever told.
    'saw': False,
    'word': False,
    'shown': False,
    'knows': False,
    'again': False,
    #: Whether the word was lost when the task was started again.
    'lost': False,
}


def moves(
    steps: Steps,
    *,
    waits: bool = True,
    asks: bool = True,
    tells_first: bool = True,
    takes_if_cut: bool = True,
    stops_when_asked: bool = True,
    looks_first: bool = True,
) -> None:
    """Add all steps from one state; each argument weakens one guard."""
    now = steps.now
    _cut(steps)
    _runner(steps)
    for host in HOSTS:
        if now[f'{host}_knows'] or now[f'{host}_cut']:
            gone = {f'{host}_knows': False, f'{host}_cut': False}
            steps.step(f'{host} is killed', **gone, **({'saw': False} if host == 'w' else {}))
    _behind(steps, tells_first, takes_if_cut)
    _outside(steps, waits, asks, stops_when_asked, looks_first)


def _cut(steps: Steps) -> None:
    now = steps.now
    if now['cut']:
        steps.step('the cut heals', cut=False)
        for host in HOSTS:
            steps.step(f'{host} finds that it is cut off', **{f'{host}_cut': True})
        steps.step('the lease runs out for O', lapsed=True)
    elif now['cuts']:
        unasked = {f'{host}_asked': 'unasked' for host in HOSTS}
        # What W has seen it tells at once or looks again: no cut heals and comes back meanwhile.
        steps.step('the zone is cut off', cut=True, cuts=now['cuts'] - 1, saw=False, **unasked)


def _runner(steps: Steps) -> None:
    now = steps.now
    if now['crashed']:
        return
    if now['task'] == 'runs':
        steps.step('the task is done', task='done')
        if now['lapsed']:
            steps.step('the runner kills it, as its lease is over', task='lapsed')
    steps.step('the runner crashes', crashed=True)


def _behind(steps: Steps, tells_first: bool, takes_if_cut: bool) -> None:
    now = steps.now
    if now['w_cut'] and now['task'] == 'done' and not now['crashed']:
        steps.step('w sees the end', saw=True)
    if not now['saw'] or not now['w_cut']:
        return
    if tells_first and (now['v_cut'] or not takes_if_cut):
        steps.step(
            'w tells v, and shows that it is done',
            w_knows=True,
            v_knows=True,
            word=True,
            shown=True,
        )
        steps.step('w tells v, whose answer is lost', v_knows=True, word=True)
    if not tells_first:
        steps.step('w shows that it is done', w_knows=True, shown=True)


def _outside(
    steps: Steps,
    waits: bool,
    asks: bool,
    stops_when_asked: bool,
    looks_first: bool,
) -> None:
    now = steps.now
    if not now['cut']:
        for host in HOSTS:
            if now[f'{host}_asked'] == 'unasked':
                _ask(steps, host, asks, stops_when_asked)
            if now[f'{host}_knows']:
                steps.step(f'{host} reports to O', knows=True)
        if now['task'] == 'done' and not now['crashed']:
            steps.step('O looks at the runner', knows=True)
    if now['knows']:
        return
    # Some host of the zone has answered, so the zone is not cut off any more, and all that
    # did not answer by then were waited for.
    settled = all(now[f'{host}_asked'] != 'unasked' for host in HOSTS)
    answered = settled and any(now[f'{host}_asked'] == 'asked' for host in HOSTS)
    lost = now['crashed'] and not now['cut']
    if (answered or not waits) and (lost or (now['lapsed'] and now['cut'])):
        steps.step('O starts the task elsewhere', again=True, lost=_is_lost(now))
    over = now['task'] == 'lapsed' or now['crashed'] or not looks_first
    if answered and now['lapsed'] and not now['cut'] and over:
        steps.step('O starts the task elsewhere after the cut', again=True, lost=_is_lost(now))


def _ask(steps: Steps, host: str, asks: bool, stops_when_asked: bool) -> None:
    now = steps.now
    cut = now[f'{host}_cut'] and not stops_when_asked
    word = now['knows'] or (asks and now[f'{host}_knows'])
    steps.step(f'O asks {host}', knows=word, **{f'{host}_asked': 'asked', f'{host}_cut': cut})
    steps.step(f'O does not reach {host}', **{f'{host}_asked': 'missed'})


def _is_lost(state: dict) -> bool:
    """Return whether the runner and all hosts that knew the end, and were reached, are lost."""
    kept = any(state[f'{host}_knows'] and state[f'{host}_asked'] == 'asked' for host in HOSTS)
    return state['crashed'] and state['word'] and not kept


def not_taken_back(state: dict) -> bool:
    """What was shown behind the cut does not start again, whichever hosts are killed.

    Only with the runner that listed the end and all hosts that knew it, of those that O
    reached, the word is lost.
    """
    return not (state['shown'] and state['again']) or state['lost']


def is_true(state: dict) -> bool:
    """What is shown has happened."""
    return not state['shown'] or state['task'] == 'done'


BEHIND_A_CUT = Spec(
    'behind a cut',
    INITIAL,
    moves,
    {'not taken back': not_taken_back, 'is true': is_true},
    {
        'leases that run out behind a cut count at once': {'waits': False},
        'hosts of the zone are not asked': {'asks': False},
        'shown by one host alone': {'tells_first': False},
        'a host that is not cut off takes such a word': {'takes_if_cut': False},
        'a host that was asked goes on showing': {'stops_when_asked': False},
        'the runner is not looked at after the cut': {'looks_first': False},
    },
)
