"""A client is told that a task is done before the store has the end, and hosts are lost.

One task has been started on one runner, and the store records that. Owner A sees the end in
the list of the runner, tells two peers, and reports it to a client once one peer has accepted
it. All hosts may be killed at any moment and restart without memory; the runner may crash
once, which a poll detects; a lost message is modelled as a step that is not taken. B claims
the cell next and queries the peers for what they were told; a peer that has answered B
accepts no more reports of a former owner.
"""

from spec._model import Spec, Steps

PEERS = (1, 2)

INITIAL = {
    #: The task: ``runs``, ``done`` (listed by the runner until acknowledged), ``forgotten``.
    'task': 'runs',
    'crashed': False,
    #: Whether A is alive, and has seen the end.
    'a_alive': True,
    'a_saw_end': False,
    'end_stored': False,
    'shown_to_client': False,
    #: Whether any peer was ever told of the end.
    'any_peer_told': False,
    #: Per peer: whether it knows of the end, and the state of B's query: ``unasked``,
    #: ``asked``, or ``missed``.
    **{f'told_{peer}': False for peer in PEERS},
    **{f'queried_{peer}': 'unasked' for peer in PEERS},
    'b_claimed': False,
    #: Whether B has polled the runner, and knows that the task is done.
    'b_polled': False,
    'b_knows_end': False,
    'restarted': False,
}


def add_steps(
    steps: Steps,
    *,
    tells_peer_first: bool = True,
    queries_peers: bool = True,
    peers_fence_former: bool = True,
    stores_before_ack: bool = True,
    polls_before_start: bool = True,
    only_listed_ends: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    _runner(steps)
    if state['a_alive']:
        _former_owner_learns(steps, only_listed_ends)
        if state['a_saw_end']:
            _former_owner_reports(steps, tells_peer_first, peers_fence_former, stores_before_ack)
    for peer in PEERS:
        if state[f'told_{peer}']:
            steps.step(f'peer {peer} reports the end to a client', shown_to_client=True)
            steps.step(f'peer {peer} is killed', **{f'told_{peer}': False})
    if state['b_claimed']:
        _successor(steps, queries_peers, polls_before_start)
    else:
        # At its claim B has read everything in the store.
        steps.step('B claims', b_claimed=True, b_knows_end=state['end_stored'])


def _runner(steps: Steps) -> None:
    state = steps.state
    if state['crashed']:
        return
    if state['task'] == 'runs':
        steps.step('the task is done', task='done')
    steps.step('the runner crashes', crashed=True)


def _former_owner_learns(steps: Steps, only_listed_ends: bool) -> None:
    state = steps.state
    steps.step('A is killed', a_alive=False, a_saw_end=False)
    # Once B has polled the runner, the runner rejects requests of A.
    if state['crashed'] or state['b_polled']:
        return
    if state['task'] == 'done':
        steps.step('A sees the end', a_saw_end=True)
    elif not only_listed_ends:
        steps.step('A assumes the end of a task that still runs', a_saw_end=True)


def _former_owner_reports(
    steps: Steps, tells_peer_first: bool, peers_fence_former: bool, stores_before_ack: bool
) -> None:
    state = steps.state
    if not state['b_claimed']:
        steps.step('the end is stored', end_stored=True)
    for peer in PEERS:
        if state[f'queried_{peer}'] != 'asked' or not peers_fence_former:
            steps.step(
                f'A tells peer {peer}',
                **{f'told_{peer}': True},
                any_peer_told=True,
                shown_to_client=True,
            )
    if state['end_stored'] or not tells_peer_first:
        steps.step('A reports the end to a client', shown_to_client=True)
    if (
        (state['end_stored'] or not stores_before_ack)
        and not state['crashed']
        and not state['b_polled']
    ):
        steps.step('A acknowledges the end', task='forgotten')


def _successor(steps: Steps, queries_peers: bool, polls_before_start: bool) -> None:
    state = steps.state
    for peer in PEERS:
        if state[f'queried_{peer}'] == 'unasked':
            knows_end = state['b_knows_end'] or (queries_peers and state[f'told_{peer}'])
            steps.step(f'B asks peer {peer}', b_knows_end=knows_end, **{f'queried_{peer}': 'asked'})
            steps.step(f'B does not reach peer {peer}', **{f'queried_{peer}': 'missed'})
    if not state['b_polled']:
        lists_end = state['task'] == 'done' and not state['crashed']
        steps.step(
            'B polls the runner', b_polled=True, b_knows_end=state['b_knows_end'] or lists_end
        )
    running = state['task'] == 'runs' and not state['crashed']
    all_queried = all(state[f'queried_{peer}'] != 'unasked' for peer in PEERS)
    may_start = all_queried and (state['b_polled'] or not polls_before_start)
    if may_start and not state['b_knows_end'] and not running:
        steps.step('B starts the task again', restarted=True)


def is_never_retracted(state: dict) -> bool:
    """A task that was reported as done is not started again, whichever hosts are killed.

    The exception: the runner that listed the end is lost, and so are all hosts that had been
    told of the end and were reachable by the new owner.
    """
    if not (state['shown_to_client'] and state['restarted']):
        return True
    kept = any(state[f'told_{peer}'] and state[f'queried_{peer}'] == 'asked' for peer in PEERS)
    return state['crashed'] and state['any_peer_told'] and not kept


def shows_only_ended_tasks(state: dict) -> bool:
    """Only tasks that have ended are reported as done."""
    return not state['shown_to_client'] or state['task'] != 'runs'


COMPLETIONS = Spec(
    'completions',
    INITIAL,
    add_steps,
    {'not taken back': is_never_retracted, 'is true': shows_only_ended_tasks},
    {
        'shown by its owner alone': {'tells_peer_first': False},
        'a new owner asks nobody': {'queries_peers': False},
        'peers take the word of a former owner': {'peers_fence_former': False},
        'an end is acknowledged before it is stored': {'stores_before_ack': False},
        'a new owner starts before it has looked': {'polls_before_start': False},
        'an end that nobody listed': {'only_listed_ends': False},
    },
)
