"""A task may crash runners that start it, while owners are lost and runners crash by chance.

A start may also be lost in a network cut; then the runner survives and stays registered. The
last append of a lost owner may have been stored or not: the owner is lost before or after
each append. Only one start of a task is in progress at a time, as in the implementation.

A runner crashes by chance at any time, also before a start reaches it, but not between
its answer to a check and the start that follows within 0.1 s, while no other runner is lost.
"""

from dataclasses import dataclass

from spec._model import Spec, Steps

#: Proven crashes after which the owner gives the task up.
PROVEN_LIMIT = 2
#: Counted crashes after which it does so if one of them is proven.
GIVE_UP_LIMIT = 5
#: Most runners that one task may crash.
MAX_CRASHES = 5
#: Fewest crashes, by the task or by chance, after which a task may be given up.
MIN_CRASHES = 2
MAX_KILLS = 3
MAX_CUTS = 2

INITIAL = {
    'owner_alive': True,
    'kills_left': MAX_KILLS,
    'cuts_left': MAX_CUTS,
    'chance_left': 0,
    #: The number of the latest run, and its phase: ``idle``, ``storing``, ``ready``,
    #: ``gone`` (its runner crashed before the start was sent), ``sent``, ``running``,
    #: ``crashed`` or ``cut``.
    'run': 0,
    'phase': 'idle',
    #: Whether the run's start is sent only after its runner has answered a check.
    'checked': False,
    #: What the owner saw of a crash: ``nothing``, a ``broken`` connection during the start, or
    #: one that broke right after an answer (``proof``).
    'seen': 'nothing',
    #: Runners that the task has crashed, and those that have crashed by chance.
    'crashes': 0,
    'chance_crashes': 0,
    #: The last run that crashed its runner, and whether the owner has learned it.
    'crashed_run': 0,
    'crash_learned': True,
    'crashes_counted': 0,
    'proofs': 0,
    #: The last run whose crash was counted; several polls may report the same end.
    'last_counted_run': 0,
    'count_incomplete': False,
    'given_up': False,
    #: Stored copies of crash_learned (the last crashed run whose runner the store no longer
    #: names), crashes_counted, proofs, last_counted_run and count_incomplete.
    'stored_learned': 0,
    'stored_count': 0,
    'stored_proofs': 0,
    'stored_last_run': 0,
    'stored_incomplete': False,
    #: The run whose start is in the store, 0 for none.
    'stored_run': 0,
}

#: Fields while no run is in progress.
IDLE = {'phase': 'idle', 'checked': False, 'seen': 'nothing'}


def add_steps(
    steps: Steps,
    *,
    counts_crashes: bool = True,
    stores_counts_with_runners: bool = True,
    stores_starts: bool = True,
    stores_proofs: bool = True,
    marks_incomplete: bool = True,
    counts_once_per_run: bool = True,
    requires_end: bool = True,
    checks_peer: bool = True,
    requires_answer: bool = True,
    checks_in_doubt: bool = True,
    requires_proof: bool = True,
    gives_up_by_count: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    state = steps.state
    counter = _Counter(counts_once_per_run, checks_peer, requires_proof, gives_up_by_count)
    _runner(steps)
    if not state['owner_alive']:
        _take_over(steps, counter, marks_incomplete, requires_end)
        return
    if state['kills_left']:
        steps.step('the owner is lost', owner_alive=False, kills_left=state['kills_left'] - 1)
    if not state['given_up']:
        _store(steps, stores_counts_with_runners, stores_proofs)
        _start(steps, stores_starts, stores_proofs, checks_peer, checks_in_doubt, requires_answer)
        _learn(steps, counter, counts_crashes, requires_end)


@dataclass(frozen=True)
class _Counter:
    """How the owner counts crashes, and when it gives the task up."""

    counts_once_per_run: bool
    checks_peer: bool
    requires_proof: bool
    gives_up_by_count: bool

    def count(self, state: dict, run: int, seen: str) -> dict:
        """Return the changes by a crash during a run of which the owner has ``seen`` this."""
        if self.counts_once_per_run and state['last_counted_run'] == run:
            return {}
        proven = seen == 'proof' or (seen == 'broken' and not self.checks_peer)
        counted = min(state['crashes_counted'] + 1, GIVE_UP_LIMIT)
        proofs = min(state['proofs'] + proven, PROVEN_LIMIT)
        return {
            'crashes_counted': counted,
            'proofs': proofs,
            'last_counted_run': run,
            'given_up': self.is_limit_reached(counted, proofs),
        }

    def is_limit_reached(self, counted: int, proofs: int) -> bool:
        """Return whether the owner gives the task up."""
        if proofs >= PROVEN_LIMIT or (not self.requires_proof and counted >= MIN_CRASHES):
            return True
        return self.gives_up_by_count and proofs > 0 and counted >= GIVE_UP_LIMIT


def _runner(steps: Steps) -> None:
    state = steps.state
    phase = state['phase']
    if phase == 'sent':
        _crash(
            steps,
            'the task crashes the runner',
            'crashed',
            seen='proof' if state['checked'] else 'broken',
            crashes=min(state['crashes'] + 1, MAX_CRASHES + 1),
        )
        steps.step('the start is answered', phase='running')
        if state['cuts_left']:
            steps.step('the start is lost in a cut', phase='cut', cuts_left=state['cuts_left'] - 1)
    if not state['chance_left']:
        return
    by_chance = {
        'chance_left': state['chance_left'] - 1,
        'chance_crashes': state['chance_crashes'] + 1,
    }
    if phase == 'ready':
        _crash(steps, 'the runner crashes before the start is sent', 'gone', **by_chance)
    if phase == 'sent' and not state['checked']:
        label = 'the runner crashes before the start arrives'
        _crash(steps, label, 'crashed', seen='broken', **by_chance)
    if phase in {'running', 'cut'}:
        _crash(steps, 'the runner crashes by chance', 'crashed', **by_chance)


def _crash(steps: Steps, label: str, phase: str, seen: str = 'nothing', **changes: int) -> None:
    state = steps.state
    steps.step(
        label,
        phase=phase,
        seen=seen,
        crashed_run=state['run'],
        crash_learned=False,
        **changes,
    )


def _store(steps: Steps, stores_counts_with_runners: bool, stores_proofs: bool) -> None:
    """A heartbeat stores the runners that the owner polls, and the counts that changed."""
    state = steps.state
    counts = _stored_counts(state, stores_proofs)
    learned = {'stored_learned': state['crashed_run']} if state['crash_learned'] else {}
    if stores_counts_with_runners:
        steps.step('a heartbeat is stored', **counts, **learned)
        return
    steps.step('runners are stored', **learned)
    steps.step('counts are stored', **counts)


def _stored_counts(state: dict, stores_proofs: bool) -> dict:
    return {
        'stored_count': state['crashes_counted'],
        'stored_proofs': state['proofs'] if stores_proofs else 0,
        'stored_last_run': state['last_counted_run'],
        'stored_incomplete': state['count_incomplete'],
    }


def _start(
    steps: Steps,
    stores_starts: bool,
    stores_proofs: bool,
    checks_peer: bool,
    checks_in_doubt: bool,
    requires_answer: bool,
) -> None:
    state = steps.state
    run = state['run'] + 1
    if state['phase'] == 'idle':
        if state['crashes_counted'] or state['count_incomplete']:
            checked = checks_peer and (checks_in_doubt or state['crashes_counted'] > 0)
            steps.step('a start is about to be stored', run=run, phase='storing', checked=checked)
        else:
            steps.step('a first start is ready', run=run, phase='ready', checked=False)
    if state['phase'] == 'storing':
        steps.step(
            'the count and the start are stored',
            phase='ready',
            **_stored_counts(state, stores_proofs),
            stored_run=state['run'] if stores_starts else 0,
        )
    if state['phase'] == 'ready':
        steps.step('the start is sent', phase='sent')
    if state['phase'] == 'gone':
        if state['checked'] and requires_answer:
            steps.step('the check is not answered', **IDLE, crash_learned=True)
        else:
            seen = 'proof' if state['checked'] else 'broken'
            steps.step('the start is reset', phase='crashed', seen=seen)


def _learn(steps: Steps, counter: _Counter, counts_crashes: bool, requires_end: bool) -> None:
    """A new incarnation answers at the address, or the leases on a silent runner expire."""
    state = steps.state
    if state['phase'] == 'crashed':
        counted = counter.count(state, state['run'], state['seen']) if counts_crashes else {}
        steps.step('a new incarnation answers', **IDLE, crash_learned=True, **counted)
        if not counter.counts_once_per_run:
            steps.step('a new incarnation answers one of several polls', **counted)
    if state['phase'] == 'cut':
        counted = {} if requires_end else counter.count(state, state['run'], 'nothing')
        steps.step('the leases expire', **IDLE, **counted)


def _take_over(steps: Steps, counter: _Counter, marks_incomplete: bool, requires_end: bool) -> None:
    """The successor restores the state from the store, and polls the runners named there."""
    state = steps.state
    if state['phase'] == 'sent':
        return
    restored = {
        'crashes_counted': state['stored_count'],
        'proofs': state['stored_proofs'],
        'last_counted_run': state['stored_last_run'],
        'count_incomplete': state['stored_incomplete'],
        'given_up': counter.is_limit_reached(state['stored_count'], state['stored_proofs']),
    }
    if state['phase'] == 'running':
        steps.step('another host takes over the run', owner_alive=True, **restored)
        return
    restored['crash_learned'] = True
    lost_run = state['crashed_run'] if state['stored_learned'] < state['crashed_run'] else 0
    if state['phase'] == 'cut' and not requires_end:
        lost_run = state['run']
    changes: dict = {}
    if lost_run or state['phase'] == 'cut':
        changes['count_incomplete'] = marks_incomplete or state['stored_incomplete']
    if lost_run and state['stored_run'] == lost_run:
        changes |= counter.count({**state, **restored}, lost_run, 'nothing')
    steps.step('another host takes over', owner_alive=True, **{**IDLE, **restored, **changes})


def _count_losses(state: dict) -> int:
    return state['crashes'] + state['chance_crashes']


def limits_crashes(state: dict) -> bool:
    """No task crashes more than MAX_CRASHES runners."""
    return state['crashes'] <= MAX_CRASHES


def gives_up_only_culprits(state: dict) -> bool:
    """A task is given up only if it has crashed a runner itself, and MIN_CRASHES were lost."""
    return not state['given_up'] or (state['crashes'] > 0 and _count_losses(state) >= MIN_CRASHES)


def counts_only_crashes(state: dict) -> bool:
    """No more crashes are counted than there were."""
    return state['crashes_counted'] <= _count_losses(state)


INVARIANTS = {
    'few starts': limits_crashes,
    'given up for cause': gives_up_only_culprits,
    'only crashes count': counts_only_crashes,
}
CRASHES = Spec(
    'crashes',
    INITIAL,
    add_steps,
    INVARIANTS,
    {
        'runs lost with their runner are not counted': {'counts_crashes': False},
        'the runners that are gone are stored without the counts': {
            'stores_counts_with_runners': False
        },
        'starts after a crash are not stored': {'stores_starts': False},
        'first starts of a lost owner raise no doubt': {'marks_incomplete': False},
        'one crash counts with each look': {'counts_once_per_run': False},
        'leases that run out count as a crash': {'requires_end': False},
        'starts in doubt are not checked': {'checks_in_doubt': False},
        'proofs are not stored': {'stores_proofs': False},
        'only two proofs end a job': {'gives_up_by_count': False},
    },
)
#: The same with runners that crash by chance, and fewer losses of owners and cuts.
CHANCE_CRASHES = Spec(
    'chance crashes',
    INITIAL | {'kills_left': 1, 'cuts_left': 1, 'chance_left': 3},
    add_steps,
    INVARIANTS,
    {
        'two crashes of any kind end a job': {'requires_proof': False},
        'starts are not checked, and a broken connection is a proof': {'checks_peer': False},
        'starts are sent though the check is not answered': {'requires_answer': False},
        'one crash counts with each look': {'counts_once_per_run': False},
    },
)
