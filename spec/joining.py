"""A new member N joins a zone with owner O and member M while O is cut off from the log.

O acts only on promises of the members that they do not claim the worker: those of M, and of
N once O knows N. N may claim only after both have named it in their membership views.
A worker has room for CAPACITY tasks; without fresh promises O starts up to half of that.
"""

from spec._model import Spec, Steps

AUTHORITY_TICKS = 2
WAIT_TICKS = AUTHORITY_TICKS + 1
CAPACITY = 2
HALF_CAPACITY = 1

INITIAL = {
    'm_promise_age': 0,  # ticks since the last promise of M, and of N, to O
    'n_promise_age_at_o': AUTHORITY_TICKS,
    'o_knows_n': False,  # O, or M, knows that N is a member
    'm_knows_n': False,
    'o_named_n': False,  # N has heard that O, or M, names it
    'm_named_n': False,
    'n_joined': False,
    'n_claim_age': 0,  # ticks since N's claim, 0 without one
    'n_promise_age': WAIT_TICKS,  # ticks since N made a promise
    'link_om': True,
    'link_on': True,
    'link_mn': True,
    'owner_runs': 0,
    'newcomer_runs': 0,
}


def add_steps(
    steps: Steps,
    *,
    all_must_know: bool = True,
    views_are_forwarded: bool = True,
    known_must_promise: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    for link in ('link_om', 'link_on', 'link_mn'):
        steps.step(f'toggle {link}', **{link: not state[link]})
    steps.step(
        'tick',
        m_promise_age=min(state['m_promise_age'] + 1, AUTHORITY_TICKS),
        n_promise_age_at_o=min(state['n_promise_age_at_o'] + 1, AUTHORITY_TICKS),
        n_claim_age=min(state['n_claim_age'] + 1, WAIT_TICKS + 1) if state['n_claim_age'] else 0,
        n_promise_age=min(state['n_promise_age'] + 1, WAIT_TICKS),
    )
    _messages(steps, views_are_forwarded)
    _starts_and_claims(steps, all_must_know, known_must_promise)


def _messages(steps: Steps, views_are_forwarded: bool) -> None:
    state = steps.state
    if not state['n_joined']:
        steps.step('N appends its join')
        steps.step('N joins', n_joined=True)
    if state['link_om']:
        learns_of_n = state['o_knows_n'] or (state['m_knows_n'] and views_are_forwarded)
        steps.step('M promises O', m_promise_age=0, o_knows_n=learns_of_n)
    if state['link_on'] and state['n_joined']:
        steps.step('O hears N and names it', o_knows_n=True, o_named_n=True)
        if not state['n_claim_age']:
            steps.step('N promises O', n_promise_age_at_o=0, n_promise_age=0, o_knows_n=True)
    if state['link_mn'] and state['n_joined']:
        steps.step('M hears N and names it', m_knows_n=True, m_named_n=True)


def _starts_and_claims(steps: Steps, all_must_know: bool, known_must_promise: bool) -> None:
    state = steps.state
    fresh = state['m_promise_age'] < AUTHORITY_TICKS
    if state['o_knows_n'] and known_must_promise:
        fresh = fresh and state['n_promise_age_at_o'] < AUTHORITY_TICKS
    limit = CAPACITY if fresh else HALF_CAPACITY
    if state['owner_runs'] < limit:
        steps.step('O starts', owner_runs=state['owner_runs'] + 1)
    if state['owner_runs']:
        steps.step("O's task ends", owner_runs=state['owner_runs'] - 1)
    known_to_all = state['o_named_n'] and state['m_named_n']
    if not all_must_know:
        known_to_all = state['m_named_n']
    if state['n_joined'] and known_to_all and not state['n_claim_age'] and not state['link_on']:
        steps.step('N claims', n_claim_age=1)
    waited = state['n_claim_age'] > WAIT_TICKS and state['n_promise_age'] >= WAIT_TICKS
    fits_half = max(state['owner_runs'], HALF_CAPACITY) + state['newcomer_runs'] < CAPACITY
    if waited and fits_half and state['newcomer_runs'] < HALF_CAPACITY:
        steps.step('N starts', newcomer_runs=state['newcomer_runs'] + 1)
    if state['newcomer_runs']:
        steps.step("N's task ends", newcomer_runs=state['newcomer_runs'] - 1)


def fits(state: dict) -> bool:
    """The worker is never allocated more than its capacity."""
    return state['owner_runs'] + state['newcomer_runs'] <= CAPACITY


JOINING = Spec(
    'joining',
    INITIAL,
    add_steps,
    {'fits': fits},
    {
        'claims before all know it': {'all_must_know': False, 'views_are_forwarded': False},
        'a known newcomer need not promise': {'known_must_promise': False},
    },
)
