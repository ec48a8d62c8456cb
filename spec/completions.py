"""A task ends while the store may be down, and hosts, a runner and a zone's network are lost.

One task runs on one runner. Owner A reads the end in the runner's list, stores it and acknowledges
it; any host shows a job as complete once the store has the end. All hosts may be killed at any
moment and restart without memory, the runner may crash, and its zone may be cut off once, with
host W inside it, which reads the runner's list as well. The store may be down once; a lost message
is modelled as a step that is not taken. B claims the cell next, with all that the store has, and
starts the task again once it knows that no run is left: by the runner's list, by the runner's
crash, or when all leases there have expired.
"""

from spec._model import Spec, Steps

INITIAL = {
    #: The task on its runner: ``runs``, ``done`` (listed until acknowledged), ``acknowledged`` or
    #: ``lapsed`` (stopped by the runner, as its lease has expired).
    'task': 'runs',
    'crashed': False,
    #: The states of the cut and of the outage: ``before``, ``during``, ``after``.
    'cut': 'before',
    'outage': 'before',
    'leases_expired': False,
    'a_alive': True,
    'a_saw_end': False,
    'w_saw_end': False,
    'end_stored': False,
    'b_claimed': False,
    'b_polled': False,
    'b_knows_end': False,
    'shown_to_client': False,
    #: Whether the first run had not ended when its job was shown as complete.
    'shown_too_early': False,
    #: Whether the task was started again, and what was true by then.
    'restarted': False,
    'restarted_after_shown': False,
    'restarted_after_stored': False,
    'restarted_after_acknowledged': False,
    'restarted_beside_listed': False,
}


def add_steps(
    steps: Steps,
    *,
    shows_only_stored: bool = True,
    zone_shows_only_stored: bool = True,
    stores_before_ack: bool = True,
    reads_store_first: bool = True,
    polls_before_start: bool = True,
    waits_for_leases: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    if state['restarted']:
        return
    _environment(steps)
    _runner(steps)
    _zone_host(steps, zone_shows_only_stored)
    if state['end_stored']:
        _show(steps, 'a host shows the stored end')
    if state['a_alive'] and not state['b_polled']:
        _former_owner(steps, shows_only_stored, stores_before_ack)
    if state['b_claimed']:
        _successor(steps, polls_before_start, waits_for_leases)
    elif state['outage'] != 'during':
        knows = state['end_stored'] and reads_store_first
        steps.step('B claims', b_claimed=True, b_knows_end=knows)


def _environment(steps: Steps) -> None:
    state = steps.state
    for kind in ('cut', 'outage'):
        if state[kind] == 'before':
            steps.step(f'the {kind} begins', **{kind: 'during'})
        elif state[kind] == 'during':
            steps.step(f'the {kind} ends', **{kind: 'after'})
    steps.step('all hosts are killed', a_alive=False, a_saw_end=False, w_saw_end=False)


def _runner(steps: Steps) -> None:
    state = steps.state
    if state['crashed']:
        return
    if state['task'] == 'runs':
        steps.step('the task is done', task='done')
    steps.step('the runner crashes', crashed=True)


def _show(steps: Steps, label: str) -> None:
    too_early = steps.state['task'] == 'runs'
    steps.step(label, shown_to_client=True, shown_too_early=too_early)


def _is_listed(state: dict) -> bool:
    return state['task'] == 'done' and not state['crashed']


def _zone_host(steps: Steps, zone_shows_only_stored: bool) -> None:
    state = steps.state
    if state['cut'] == 'during' and _is_listed(state):
        steps.step('W sees the end', w_saw_end=True)
    if state['w_saw_end'] and not zone_shows_only_stored:
        _show(steps, 'W shows the end inside the cut')


def _former_owner(steps: Steps, shows_only_stored: bool, stores_before_ack: bool) -> None:
    state = steps.state
    if state['cut'] != 'during' and _is_listed(state):
        steps.step('A sees the end', a_saw_end=True)
    if not state['a_saw_end']:
        return
    if state['outage'] != 'during' and not state['b_claimed']:
        steps.step('A stores the end', end_stored=True)
    if not shows_only_stored:
        _show(steps, 'A shows the end')
    acknowledgeable = state['end_stored'] or not stores_before_ack
    if acknowledgeable and state['cut'] != 'during' and _is_listed(state):
        steps.step('A acknowledges the end', task='acknowledged')


def _successor(steps: Steps, polls_before_start: bool, waits_for_leases: bool) -> None:
    state = steps.state
    reachable = state['cut'] != 'during'
    if reachable and not state['crashed']:
        knows = state['b_knows_end'] or state['task'] == 'done'
        steps.step('B polls the runner', b_polled=True, b_knows_end=knows)
    if not reachable or state['crashed']:
        # Nobody renews the leases: the runner stops what still runs.
        task = 'lapsed' if state['task'] == 'runs' else state['task']
        steps.step('all leases have expired', leases_expired=True, task=task)
    if state['b_knows_end']:
        return
    is_gone = state['b_polled'] and (
        state['crashed'] or state['task'] in {'acknowledged', 'lapsed'}
    )
    if (
        is_gone
        or state['leases_expired']
        or not polls_before_start
        or (not waits_for_leases and not reachable)
    ):
        steps.step(
            'B starts the task again',
            restarted=True,
            restarted_after_shown=state['shown_to_client'],
            restarted_after_stored=state['end_stored'],
            restarted_after_acknowledged=state['task'] == 'acknowledged',
            restarted_beside_listed=(
                not state['crashed']
                and not state['leases_expired']
                and state['task'] in {'runs', 'done'}
            ),
        )


COMPLETIONS = Spec(
    'completions',
    INITIAL,
    add_steps,
    {
        'not started after it was shown': lambda state: not state['restarted_after_shown'],
        'a stored end is final': lambda state: not state['restarted_after_stored'],
        'an acknowledged end is final': lambda state: not state['restarted_after_acknowledged'],
        'runs of living runners are taken over': lambda state: not state['restarted_beside_listed'],
        'only ended tasks are shown': lambda state: not state['shown_too_early'],
    },
    {
        'shown before it is stored': {'shows_only_stored': False},
        'shown inside a cut': {'zone_shows_only_stored': False},
        'acknowledged before it is stored': {'stores_before_ack': False},
        'a successor does not read the store': {'reads_store_first': False},
        'a successor starts before it has polled': {'polls_before_start': False},
        'a successor does not wait for leases': {'waits_for_leases': False},
    },
)
