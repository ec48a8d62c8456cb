"""A job is cancelled while its only task is starting, running or found running on a runner.

The owner may be killed and replaced twice, the runner may be cut off and its registration
expire, a start may be carried out late, and one stop may be answered without effect. A tick
is about a second, the time of two polls: it passes only after the current owner has polled a
reachable runner and has sent the stop that is due. ``overrun`` counts the ticks for which the
task of the cancelled job has run without any disturbance.
"""

from spec._model import Spec, Steps

#: Duration of a lease, and of the deadline of a start order, in ticks. It exceeds MAX_OVERRUN;
#: otherwise expiring leases alone would end each task in time.
LEASE_TICKS = 5
#: Ticks within which the task of a cancelled job must end.
MAX_OVERRUN = 2
MAX_OWNERS = 3

INITIAL = {
    'cancelled': False,
    #: Whether the store no longer lists the task among those of the job.
    'store_dropped_job': False,
    'owner': 1,
    'owner_alive': True,
    'owner_view': 'nothing',
    #: Whether the owner polls the runner, and whether the store names it as one to poll.
    'polls_runner': True,
    'runner_stored': True,
    'runner_registered': True,
    'runner_reachable': True,
    'polled': False,
    'start_sent': False,
    'start_ticks_left': 0,
    'task_runs': False,
    'lease_ticks_left': 0,
    'fence_epoch': 1,
    'start_forbidden': False,
    'stop_may_fail': True,
    'overrun': 0,
}


def add_steps(
    steps: Steps,
    *,
    stops_unknown: bool = True,
    repeats_stops: bool = True,
    polls_unregistered: bool = True,
    stores_unregistered: bool = True,
) -> None:
    """Add all transitions from one state; each guard can be switched off."""
    _environment(steps)
    _runner(steps)
    _tick(steps)
    _take_over(steps, polls_unregistered, stores_unregistered)
    if steps.state['owner_alive']:
        _start(steps)
        _stop(steps)
        if steps.state['polls_runner'] and steps.state['runner_reachable']:
            _poll(steps, stops_unknown, repeats_stops)


def _environment(steps: Steps) -> None:
    state = steps.state
    if not state['cancelled']:
        steps.step('a client cancels the job', cancelled=True)
    if state['cancelled'] and not state['store_dropped_job']:
        steps.step('the store drops the job', store_dropped_job=True)
    if state['runner_registered']:
        steps.step("the runner's registration expires", runner_registered=False, overrun=0)
    steps.step(
        'the runner becomes reachable or unreachable',
        runner_reachable=not state['runner_reachable'],
        overrun=0,
    )


def _runner(steps: Steps) -> None:
    state = steps.state
    if state['start_ticks_left'] and not state['task_runs']:
        accepted = state['fence_epoch'] == 1 and not state['start_forbidden']
        changes = (
            {'task_runs': True, 'lease_ticks_left': state['start_ticks_left'], 'overrun': 0}
            if accepted
            else {}
        )
        steps.step('the start arrives', start_ticks_left=0, **changes)
    if state['task_runs'] and not state['cancelled']:
        steps.step('the task ends', task_runs=False, lease_ticks_left=0, start_forbidden=True)


def _tick(steps: Steps) -> None:
    state = steps.state
    can_act = state['owner_alive'] and state['runner_reachable']
    must_act_first = not state['polled'] or state['owner_view'] == 'stopping'
    if can_act and state['polls_runner'] and must_act_first:
        return
    lease_left = max(0, state['lease_ticks_left'] - 1)
    task_runs = state['task_runs'] and lease_left > 0
    overruns = task_runs and state['cancelled'] and can_act
    steps.step(
        'tick',
        lease_ticks_left=lease_left,
        task_runs=task_runs,
        start_ticks_left=max(0, state['start_ticks_left'] - 1),
        polled=False,
        overrun=min(state['overrun'] + 1, MAX_OVERRUN + 1) if overruns else 0,
    )


def _take_over(steps: Steps, polls_unregistered: bool, stores_unregistered: bool) -> None:
    state = steps.state
    if state['owner_alive'] and state['owner'] < MAX_OWNERS:
        steps.step('the owner is killed', owner_alive=False, owner_view='nothing', overrun=0)
    if not state['owner_alive']:
        polls_runner = state['runner_registered'] or (state['runner_stored'] and polls_unregistered)
        steps.step(
            'another host takes over',
            owner=state['owner'] + 1,
            owner_alive=True,
            polls_runner=polls_runner,
            # It stores the runner as soon as it polls it, not after the first answer.
            runner_stored=polls_runner if stores_unregistered else state['runner_registered'],
            polled=False,
            start_sent=False,
        )


def _start(steps: Steps) -> None:
    state = steps.state
    if state['owner'] == 1 and not state['start_sent'] and not state['cancelled']:
        steps.step(
            'a start is sent', start_sent=True, start_ticks_left=LEASE_TICKS, owner_view='starting'
        )
    if state['owner_view'] == 'starting':
        steps.step('the owner takes the start for refused', owner_view='nothing')
        steps.step('the start is not answered', owner_view='stopping')
    if state['cancelled'] and state['owner_view'] in {'starting', 'running'}:
        steps.step('the owner hears of the cancellation', owner_view='stopping')


def _stop(steps: Steps) -> None:
    state = steps.state
    if state['owner_view'] != 'stopping' or not state['runner_reachable']:
        return
    steps.step(
        'the stop is answered',
        owner_view='stopped',
        task_runs=False,
        lease_ticks_left=0,
        start_forbidden=True,
        fence_epoch=state['owner'],
    )
    if state['stop_may_fail']:
        steps.step('the stop is answered without effect', owner_view='stopped', stop_may_fail=False)


def _poll(steps: Steps, stops_unknown: bool, repeats_stops: bool) -> None:
    """The owner reads the list of runs of the runner, and renews the lease."""
    state = steps.state
    owner_view = state['owner_view']
    if not state['task_runs']:
        owner_view = owner_view if owner_view in {'starting', 'stopping'} else 'nothing'
    elif owner_view == 'stopped':
        owner_view = 'stopping' if repeats_stops else 'stopped'
    elif owner_view != 'stopping':
        unwanted = state['cancelled'] and (stops_unknown or not state['store_dropped_job'])
        owner_view = 'stopping' if unwanted else 'running'
    lease = LEASE_TICKS if state['task_runs'] else 0
    steps.step(
        'the owner polls the runner',
        polled=True,
        owner_view=owner_view,
        lease_ticks_left=lease,
        fence_epoch=state['owner'],
    )


def ends_in_time(state: dict) -> bool:
    """The task of a cancelled job ends within MAX_OVERRUN ticks."""
    return state['overrun'] <= MAX_OVERRUN


CANCELLING = Spec(
    'cancelling',
    INITIAL,
    add_steps,
    {'ends in time': ends_in_time},
    {
        'runs of jobs that nobody knows are left alone': {'stops_unknown': False},
        'a stop that was answered is never repeated': {'repeats_stops': False},
        'a successor looks only at runners that are listed': {'polls_unregistered': False},
        'a successor names only runners that are listed': {'stores_unregistered': False},
    },
)
