"""Ownership of one worker that can run two tasks: its owner O, a claimant P, and the log.

Covers network cuts, pauses, late replies of the log, clock drift, a crash, the proof that the
owner has ended, yielding and release. While its authority is fresh O may use the whole worker,
otherwise half of it. Ages are in ticks and are capped.
"""

from spec._model import Spec, Steps

AUTHORITY_TICKS = 2
FLIGHT_TICKS = 1
CAPACITY = 2
HALF_CAPACITY = 1
DRIFT_TICKS = 1
WAIT_TICKS = AUTHORITY_TICKS + DRIFT_TICKS + FLIGHT_TICKS
NO_READ = -1

INITIAL = {
    'log_age': 0,  # ticks since O's latest evidence from the log that there is no claim
    'promise_age': 0,  # ticks since P's last promise to O, by O's clock
    'pending_read_age': NO_READ,  # age of a log read in progress that saw no claim
    'lost_ticks_left': 1,  # ticks by which O's clock may still fall behind
    'claim_seen': False,
    'yielded': False,
    'released': False,
    'paused': False,
    'dead': False,
    'checked_early': False,  # used only by the mutant that checks its authority early
    'start_ticks_left': 0,  # of a start order on its way to the worker
    'owner_runs': 0,
    'claimant_runs': 0,
    'claim_age': 0,  # ticks since P's claim, 0 without one
    'promised_age': 0,  # ticks since P's last promise, by P's clock
    'proof_age': 0,  # ticks since P has proof that O has ended, 0 without
    'log_up': True,
    'members_up': True,  # O and P reach each other
}


def add_steps(
    steps: Steps,
    *,
    wait: int = WAIT_TICKS,
    proof_wait: int = FLIGHT_TICKS + 1,
    owner_half: bool = True,
    claimant_half: bool = True,
    promises_end: bool = True,
    check_at_send: bool = True,
    age_from_request: bool = True,
    full_needs_proof: bool = True,
    yield_when_idle: bool = True,
    drift: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    _environment(steps, wait, drift)
    if not state['paused'] and not state['dead'] and not state['released']:
        _owner(steps, owner_half, promises_end, check_at_send, age_from_request, yield_when_idle)
    if state['start_ticks_left']:
        steps.step('start arrives', start_ticks_left=0, owner_runs=state['owner_runs'] + 1)
        steps.step('start lost', start_ticks_left=0)
    if state['owner_runs']:
        steps.step("O's task ends", owner_runs=state['owner_runs'] - 1)
    if state['claimant_runs']:
        steps.step("P's task ends", claimant_runs=state['claimant_runs'] - 1)
    _claimant(steps, wait, proof_wait, claimant_half, full_needs_proof)


def _environment(steps: Steps, wait: int, drift: bool) -> None:
    state = steps.state
    steps.step('toggle log', log_up=not state['log_up'])
    steps.step('toggle members', members_up=not state['members_up'])
    if not state['dead']:
        steps.step('pause or resume', paused=not state['paused'])
        steps.step('O dies', dead=True, pending_read_age=NO_READ, checked_early=False)
    if state['start_ticks_left'] == 1:  # a pending start arrives or is lost within FLIGHT_TICKS
        return
    ages = {
        'start_ticks_left': max(state['start_ticks_left'] - 1, 0),
        'claim_age': min(state['claim_age'] + 1, wait + 1) if state['claim_age'] else 0,
        'promised_age': min(state['promised_age'] + 1, wait + 1),
        'proof_age': min(state['proof_age'] + 1, FLIGHT_TICKS + 2) if state['proof_age'] else 0,
    }
    owner_ages = {
        'log_age': min(state['log_age'] + 1, AUTHORITY_TICKS),
        'promise_age': min(state['promise_age'] + 1, AUTHORITY_TICKS),
        'pending_read_age': min(state['pending_read_age'] + 1, AUTHORITY_TICKS)
        if state['pending_read_age'] != NO_READ
        else NO_READ,
    }
    steps.step('tick', **ages, **owner_ages)
    if drift and state['lost_ticks_left']:
        steps.step("tick that O's clock misses", lost_ticks_left=0, **ages)


def _owner(
    steps: Steps,
    owner_half: bool,
    promises_end: bool,
    check_at_send: bool,
    age_from_request: bool,
    yield_when_idle: bool,
) -> None:
    state = steps.state
    if state['log_up'] and state['claim_age']:
        steps.step(
            'O reads the claim', claim_seen=True, log_age=AUTHORITY_TICKS, pending_read_age=NO_READ
        )
    if state['log_up'] and not state['claim_age'] and state['pending_read_age'] == NO_READ:
        steps.step('the log serves a read', pending_read_age=0)
    if state['pending_read_age'] != NO_READ:
        age = state['pending_read_age'] if age_from_request else 0
        steps.step('O gets the read', pending_read_age=NO_READ, log_age=min(state['log_age'], age))
    if state['members_up'] and not (state['claim_age'] and promises_end):
        steps.step('P promises', promise_age=0, promised_age=0)
    if state['claim_seen']:
        is_idle = not state['start_ticks_left'] or not yield_when_idle
        if is_idle and not state['yielded']:
            steps.step('O yields', yielded=True)
        return
    fresh = min(state['log_age'], state['promise_age']) < AUTHORITY_TICKS
    runs = state['owner_runs']
    limit = CAPACITY if fresh or not owner_half else HALF_CAPACITY
    if not check_at_send:
        if not state['checked_early'] and fresh:
            steps.step('O checks early', checked_early=True)
        limit = CAPACITY if state['checked_early'] else HALF_CAPACITY
    if not state['start_ticks_left'] and runs < limit:
        steps.step('O sends a start', start_ticks_left=FLIGHT_TICKS + 1, checked_early=False)
    is_idle = not state['start_ticks_left'] or not yield_when_idle
    if (
        is_idle
        and state['log_up']
        and not state['claim_age']
        and state['pending_read_age'] == NO_READ
    ):
        steps.step('O releases', released=True)


def _claimant(
    steps: Steps,
    wait: int,
    proof_wait: int,
    claimant_half: bool,
    full_needs_proof: bool,
) -> None:
    state = steps.state
    if state['dead'] and state['members_up'] and not state['proof_age']:
        steps.step('P is refused: O has ended', proof_age=1)
    may_claim = not state['members_up'] or state['proof_age'] or state['released']
    if state['log_up'] and not state['claim_age'] and may_claim:
        steps.step('P claims', claim_age=1)
    if not state['claim_age']:
        return
    proven = state['proof_age'] > proof_wait
    waited = state['claim_age'] > wait and state['promised_age'] >= wait
    released = state['released']
    if not (waited or proven or released):
        return
    owner_is_done = proven or released or state['yielded'] or not full_needs_proof
    limit = CAPACITY if owner_is_done or not claimant_half else HALF_CAPACITY
    has_capacity = state['owner_runs'] + state['claimant_runs'] < CAPACITY
    # Until O is known to have stopped, the half that it may still use stays reserved for it.
    if not owner_is_done:
        has_capacity = max(state['owner_runs'], HALF_CAPACITY) + state['claimant_runs'] < CAPACITY
    if has_capacity and state['claimant_runs'] < limit:
        steps.step('P starts', claimant_runs=state['claimant_runs'] + 1)


def fits(state: dict) -> bool:
    """The worker is never allocated more than its capacity."""
    return state['owner_runs'] + state['claimant_runs'] <= CAPACITY


OWNERSHIP = Spec(
    'ownership',
    INITIAL,
    add_steps,
    {'fits': fits},
    {
        'no wait': {'wait': 1},
        'no slack for drift': {'wait': AUTHORITY_TICKS + FLIGHT_TICKS},
        'no half for the owner': {'owner_half': False},
        'no half for the claimant': {'claimant_half': False, 'full_needs_proof': False},
        'promises after the claim': {'promises_end': False},
        'authority checked early': {'check_at_send': False},
        'evidence counted from the answer': {'age_from_request': False},
        'whole without proof of the end': {'full_needs_proof': False},
        'proof without waiting for the last start': {'proof_wait': 0},
        'yields or releases with a start under way': {'yield_when_idle': False},
    },
)
