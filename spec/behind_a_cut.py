"""Hosts of a partitioned zone report ended tasks to clients, while owner O is outside the zone.

One task has been started on a runner of the zone. During the partition host W sees the task
end, tells host V of the same zone, and reports the end to a client. O does not learn of it:
its lease on the runner expires, and it may start the task elsewhere. The partition may begin
and heal twice; W and V may be killed and restart without memory; the runner may crash once;
a lost message is modelled as a step that is not taken. A host assumes that it is cut off
until O queries it; a host that does not assume so rejects reports of what others have seen
during a partition.
"""

from spec._model import Spec, Steps

MAX_CUTS = 2
HOSTS = ('w', 'v')

INITIAL = {
    'cut': False,
    'cuts_left': MAX_CUTS,
    #: The task on the runner: ``runs``, ``done`` or ``lease_expired`` (stopped by the runner).
    'task': 'runs',
    'crashed': False,
    #: Whether O has not reached the runner for longer than its lease lasts.
    'lease_expired': False,
    #: Per host of the zone: whether it knows that the task has ended, whether it assumes that
    #: it is cut off, and the state of O's query: ``unasked``, ``asked`` or ``missed``.
    **{f'{host}_knows_end': False for host in HOSTS},
    **{f'{host}_believes_cut': False for host in HOSTS},
    **{f'{host}_queried': 'unasked' for host in HOSTS},
    #: Whether W has seen the task end, whether V was ever told, whether a client was told,
    #: whether O knows, and whether O has started the task again.
    'w_saw_end': False,
    'v_was_told': False,
    'shown_to_client': False,
    'o_knows_end': False,
    'restarted': False,
    #: Whether all evidence of the end was lost when the task was started again.
    'evidence_lost': False,
}


def add_steps(
    steps: Steps,
    *,
    waits_for_zone: bool = True,
    queries_hosts: bool = True,
    tells_peer_first: bool = True,
    accepts_only_if_cut: bool = True,
    stops_when_queried: bool = True,
    polls_runner_first: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    _cut(steps)
    _runner(steps)
    for host in HOSTS:
        if state[f'{host}_knows_end'] or state[f'{host}_believes_cut']:
            reset = {f'{host}_knows_end': False, f'{host}_believes_cut': False}
            steps.step(
                f'{host} is killed', **reset, **({'w_saw_end': False} if host == 'w' else {})
            )
    _zone_hosts(steps, tells_peer_first, accepts_only_if_cut)
    _owner(steps, waits_for_zone, queries_hosts, stops_when_queried, polls_runner_first)


def _cut(steps: Steps) -> None:
    state = steps.state
    if state['cut']:
        steps.step('the cut heals', cut=False)
        for host in HOSTS:
            steps.step(f'{host} finds that it is cut off', **{f'{host}_believes_cut': True})
        steps.step('the lease expires for O', lease_expired=True)
    elif state['cuts_left']:
        unqueried = {f'{host}_queried': 'unasked' for host in HOSTS}
        # W reports what it has seen at once or polls again, so it forgets it here: no
        # partition heals and comes back in between.
        steps.step(
            'the zone is cut off',
            cut=True,
            cuts_left=state['cuts_left'] - 1,
            w_saw_end=False,
            **unqueried,
        )


def _runner(steps: Steps) -> None:
    state = steps.state
    if state['crashed']:
        return
    if state['task'] == 'runs':
        steps.step('the task is done', task='done')
        if state['lease_expired']:
            steps.step('the runner stops the task, as its lease has expired', task='lease_expired')
    steps.step('the runner crashes', crashed=True)


def _zone_hosts(steps: Steps, tells_peer_first: bool, accepts_only_if_cut: bool) -> None:
    state = steps.state
    if state['w_believes_cut'] and state['task'] == 'done' and not state['crashed']:
        steps.step('w sees the end', w_saw_end=True)
    if not state['w_saw_end'] or not state['w_believes_cut']:
        return
    if tells_peer_first and (state['v_believes_cut'] or not accepts_only_if_cut):
        steps.step(
            'w tells v, and reports the end to a client',
            w_knows_end=True,
            v_knows_end=True,
            v_was_told=True,
            shown_to_client=True,
        )
        steps.step('w tells v, whose answer is lost', v_knows_end=True, v_was_told=True)
    if not tells_peer_first:
        steps.step('w reports the end to a client', w_knows_end=True, shown_to_client=True)


def _owner(
    steps: Steps,
    waits_for_zone: bool,
    queries_hosts: bool,
    stops_when_queried: bool,
    polls_runner_first: bool,
) -> None:
    state = steps.state
    if not state['cut']:
        for host in HOSTS:
            if state[f'{host}_queried'] == 'unasked':
                _query(steps, host, queries_hosts, stops_when_queried)
            if state[f'{host}_knows_end']:
                steps.step(f'{host} reports to O', o_knows_end=True)
        if state['task'] == 'done' and not state['crashed']:
            steps.step('O polls the runner', o_knows_end=True)
    if state['o_knows_end']:
        return
    # Once a host of the zone has answered, the zone is no longer cut off; O has then waited
    # for the answers of the others as well.
    all_queried = all(state[f'{host}_queried'] != 'unasked' for host in HOSTS)
    answered = all_queried and any(state[f'{host}_queried'] == 'asked' for host in HOSTS)
    lost = state['crashed'] and not state['cut']
    if (answered or not waits_for_zone) and (lost or (state['lease_expired'] and state['cut'])):
        steps.step(
            'O starts the task elsewhere', restarted=True, evidence_lost=_is_evidence_lost(state)
        )
    not_running = state['task'] == 'lease_expired' or state['crashed'] or not polls_runner_first
    if answered and state['lease_expired'] and not state['cut'] and not_running:
        steps.step(
            'O starts the task elsewhere after the cut',
            restarted=True,
            evidence_lost=_is_evidence_lost(state),
        )


def _query(steps: Steps, host: str, queries_hosts: bool, stops_when_queried: bool) -> None:
    state = steps.state
    cut = state[f'{host}_believes_cut'] and not stops_when_queried
    knows_end = state['o_knows_end'] or (queries_hosts and state[f'{host}_knows_end'])
    steps.step(
        f'O asks {host}',
        o_knows_end=knows_end,
        **{f'{host}_queried': 'asked', f'{host}_believes_cut': cut},
    )
    steps.step(f'O does not reach {host}', **{f'{host}_queried': 'missed'})


def _is_evidence_lost(state: dict) -> bool:
    """Return whether the runner and all hosts that knew of the end and were reached are lost."""
    kept = any(state[f'{host}_knows_end'] and state[f'{host}_queried'] == 'asked' for host in HOSTS)
    return state['crashed'] and state['v_was_told'] and not kept


def is_never_retracted(state: dict) -> bool:
    """A task that was reported as done is not started again, whichever hosts are killed.

    The exception: the runner that listed the end is lost, and so are all hosts that knew of
    the end, among those that O reached.
    """
    return not (state['shown_to_client'] and state['restarted']) or state['evidence_lost']


def shows_only_ended_tasks(state: dict) -> bool:
    """Only tasks that have ended are reported as done."""
    return not state['shown_to_client'] or state['task'] == 'done'


BEHIND_A_CUT = Spec(
    'behind a cut',
    INITIAL,
    add_steps,
    {'not taken back': is_never_retracted, 'is true': shows_only_ended_tasks},
    {
        'leases that run out behind a cut count at once': {'waits_for_zone': False},
        'hosts of the zone are not asked': {'queries_hosts': False},
        'shown by one host alone': {'tells_peer_first': False},
        'a host that is not cut off takes such a word': {'accepts_only_if_cut': False},
        'a host that was asked goes on showing': {'stops_when_queried': False},
        'the runner is not looked at after the cut': {'polls_runner_first': False},
    },
)
