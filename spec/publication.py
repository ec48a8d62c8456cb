"""A contract version is published to members X and Y of a cell; Y may be cut off.

No member may act on a version while another member could still act against it. A member that
has staged a new version enforces the stricter limit of both until it learns the outcome. The old
version 1 has a limit of 2, the proposed version 2 a limit of 1; a third would allow 2 again.
"""

from spec._model import Spec, Steps

INITIAL = {
    'outcome': '',  # according to the log: '', committed, aborted
    'proposed': False,
    'staged_x': False,
    'staged_y': False,
    'x_reads': 0,  # 0: old; 1: proposal read; 2: outcome read
    'y_reads': 0,
    'x_version': 1,  # the version in force at X, and at Y
    'y_version': 1,
    'y_log_up': True,
    'peers_up': True,
    'y_ended': False,  # Y is no longer a member
    'highest_y': 1,  # the highest version that was ever in force at Y
    'reset': False,
}


def add_steps(
    steps: Steps,
    *,
    all_must_stage: bool = True,
    first_outcome_wins: bool = True,
    peers_forward_only_committed: bool = True,
    versions_only_grow: bool = True,
    enforces_both_when_staged: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    steps.step("toggle Y's log", y_log_up=not state['y_log_up'])
    steps.step('toggle peers', peers_up=not state['peers_up'])
    if not state['proposed']:
        steps.step('X proposes', proposed=True)
        return
    _stage(steps, enforces_both_when_staged)
    _decide(steps, all_must_stage, first_outcome_wins)
    _learn(steps, peers_forward_only_committed, versions_only_grow)


def _stage(steps: Steps, enforces_both_when_staged: bool) -> None:
    state = steps.state
    if state['x_reads'] == 0:
        steps.step('X reads the proposal', x_reads=1)
    if state['x_reads'] >= 1 and not state['staged_x'] and not state['outcome']:
        steps.step('X stages', staged_x=True)
    if state['y_ended']:
        return
    if state['y_reads'] == 0 and state['y_log_up']:
        steps.step('Y reads the proposal', y_reads=1)
    may_stage = state['y_reads'] >= 1 or not enforces_both_when_staged
    if may_stage and state['y_log_up'] and not state['staged_y'] and not state['outcome']:
        steps.step('Y stages', staged_y=True)


def _decide(steps: Steps, all_must_stage: bool, first_outcome_wins: bool) -> None:
    state = steps.state
    all_staged = state['staged_x'] and (state['staged_y'] or state['y_ended'])
    if not all_must_stage:
        all_staged = state['staged_x']
    may_decide = not state['outcome'] or not first_outcome_wins
    if may_decide and all_staged:
        steps.step('the last staging is in the log: commit', outcome='committed')
    if may_decide and not (all_staged and first_outcome_wins):
        steps.step('the deadline passes: abort', outcome='aborted')


def _learn(steps: Steps, peers_forward_only_committed: bool, versions_only_grow: bool) -> None:
    state = steps.state
    if state['outcome'] and state['x_reads'] == 1:
        version = 2 if state['outcome'] == 'committed' else 1
        steps.step('X reads the outcome', x_reads=2, x_version=version)
    if state['y_ended']:
        return
    if state['outcome'] and state['y_reads'] == 1 and state['y_log_up']:
        version = 2 if state['outcome'] == 'committed' else state['y_version']
        steps.step(
            'Y reads the outcome',
            y_reads=2,
            y_version=version,
            highest_y=max(version, state['highest_y']),
        )
    may_forward = state['x_version'] == 2 or (
        not peers_forward_only_committed and state['x_reads'] >= 1
    )
    if state['peers_up'] and may_forward and state['y_version'] < 2:
        steps.step('a peer forwards the version to Y', y_version=2, highest_y=2)
    if state['y_version'] == 2 and not versions_only_grow:
        steps.step("Y's log is truncated and read again", y_version=1)


def never_reverts(state: dict) -> bool:
    """No member returns to an older version."""
    return state['y_ended'] or state['y_version'] >= state['highest_y']


def all_or_nothing(state: dict) -> bool:
    """While X acts on the new version, Y has at least read its proposal and enforces both."""
    if state['x_version'] != 2 or state['y_ended']:
        return True
    return state['y_reads'] >= 1 or state['y_version'] == 2


def only_committed(state: dict) -> bool:
    """No member acts on a version that was not committed."""
    if state['outcome'] == 'committed':
        return True
    return state['x_version'] == 1 and state['y_version'] == 1


PUBLICATION = Spec(
    'publication',
    INITIAL,
    add_steps,
    {
        'never reverts': never_reverts,
        'everywhere or not at all': all_or_nothing,
        'only what was committed': only_committed,
    },
    {
        'commits before all have staged': {'all_must_stage': False},
        'a later outcome replaces the first': {'first_outcome_wins': False},
        'peers pass on what is only staged': {'peers_forward_only_committed': False},
        'a new reading of the log brings an old version back': {'versions_only_grow': False},
        'stages without enforcing both': {'enforces_both_when_staged': False},
    },
)
