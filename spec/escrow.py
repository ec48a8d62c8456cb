"""Two zones share a quota of 4 parts; one gives parts to the other by records in the log.

An append may be delayed, and its reply may be lost although the record is in the log.
"""

from spec._model import Spec, Steps

QUOTA_PARTS = 4

INITIAL = {
    'giver_share': 3,  # the giver's share according to the log as far as it has read it
    'giver_promised': 0,  # parts given away but not yet read back from the log
    'taker_share': 1,
    'moves_in_log': 0,  # parts moved by records in the log
    'giver_read': 0,
    'taker_read': 0,
    'append_pending': 0,
    'giver_used': 0,
    'taker_used': 0,
}


def add_steps(
    steps: Steps, *, gives_before_append: bool = True, counts_unknown_outcome: bool = True
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    usable = state['giver_share'] - state['giver_promised']
    if usable > state['giver_used'] and not state['append_pending']:
        promised = state['giver_promised'] + 1 if gives_before_append else state['giver_promised']
        steps.step('the giver appends a move', append_pending=1, giver_promised=promised)
    if state['append_pending']:
        steps.step('the move is appended', append_pending=0, moves_in_log=state['moves_in_log'] + 1)
        still_promised = (
            state['giver_promised']
            if counts_unknown_outcome
            else max(0, state['giver_promised'] - 1)
        )
        steps.step(
            'the move is appended, the reply is lost',
            append_pending=0,
            moves_in_log=state['moves_in_log'] + 1,
            giver_promised=still_promised,
        )
    if state['giver_read'] < state['moves_in_log']:
        steps.step(
            'the giver reads it',
            giver_read=state['giver_read'] + 1,
            giver_share=state['giver_share'] - 1,
            giver_promised=max(0, state['giver_promised'] - 1),
        )
    if state['taker_read'] < state['moves_in_log']:
        steps.step(
            'the taker reads it',
            taker_read=state['taker_read'] + 1,
            taker_share=state['taker_share'] + 1,
        )
    if state['giver_used'] < usable:
        steps.step('the giver starts', giver_used=state['giver_used'] + 1)
    if state['taker_used'] < state['taker_share']:
        steps.step('the taker starts', taker_used=state['taker_used'] + 1)
    for zone in ('giver', 'taker'):
        if state[f'{zone}_used']:
            steps.step(f"the {zone}'s task ends", **{f'{zone}_used': state[f'{zone}_used'] - 1})


def within_quota(state: dict) -> bool:
    """Both zones together never use more than the contract allows."""
    return state['giver_used'] + state['taker_used'] <= QUOTA_PARTS


ESCROW = Spec(
    'escrow',
    INITIAL,
    add_steps,
    {'within quota': within_quota},
    {
        'the taker has it before the giver has given': {'gives_before_append': False},
        'an unknown outcome counts as not given': {'counts_unknown_outcome': False},
    },
)
