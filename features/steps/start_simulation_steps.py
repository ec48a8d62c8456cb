"""Steps on steps that fit on idle runners, in virtual time."""

from behave import given, then, when
from parse import parse

from dandelionreel.cell.decisions import AllocationPhase
from features.cell_parts import CAPACITY
from features.start_simulation import ENDLESS, WHOLE_RUNNER, StartSimulation
from features.steps.gang_start_steps import FakeSpeeds

LIMIT_SECONDS = 3.0
#: The largest gang of the random arrivals, in tasks.
MAX_GANG = 40
REPLACEMENT_SECONDS = 1.0
SINGLE_TASK_INTERVAL_SECONDS = 0.13
SHORT_TASK = type(CAPACITY)(4000, 1000, 0)
#: More than a run of 12 of 32 processors leaves on a runner.
NO_ROOM_CPU = 24_000
#: A quarter of the processors and half of the memory of a runner.
HALF_OF_MEMORY = type(CAPACITY)(8000, CAPACITY.memory_mb // 2, 0)


def fill(simulation, runners, seconds, estimate=None):
    """Occupy some runners as a whole."""
    others = [state for name, state in simulation.cell.runner_by_id.items() if name not in runners]
    for state in others:
        state.suspect = True
    name = f'fill-{len(simulation.seconds_by_job)}'
    demand = type(CAPACITY)(CAPACITY.cpu, 1000, 0)
    simulation.submit(name, demand, len(runners), seconds, 'urgent', estimate=estimate)
    simulation.advance(0.02)
    for state in others:
        state.suspect = False


def names(first, last):
    return [f'w{number:03d}' for number in range(first, last)]


def known_runners_taken():
    simulation = StartSimulation(100)
    simulation.submit('g', WHOLE_RUNNER, 2, 3.4, 'map', names(0, 3) + names(80, 90), gang=True)
    simulation.advance(0.1)
    fill(simulation, names(0, 3), ENDLESS)
    return simulation


def reservations_full():
    simulation = StartSimulation(60)
    fill(simulation, names(0, 24), ENDLESS)
    fill(simulation, names(24, 30), 5.0)
    for number in range(4):
        allowed = names(6 * number, 6 * number + 6)
        simulation.submit(f'a{number}', WHOLE_RUNNER, 5, 3.4, 'map', allowed, gang=True)
    simulation.submit('g', WHOLE_RUNNER, 2, 3.4, 'map', names(24, 30), gang=True)
    return simulation


def faster_overrun():
    simulation = StartSimulation(20)
    fast = names(0, 6)
    speeds = {name: 1.2 if name in fast else 0.55 for name in simulation.registration_by_id}
    simulation.cell.run_times = FakeSpeeds(speeds)
    fill(simulation, fast, ENDLESS, 1.0)
    simulation.submit('g', WHOLE_RUNNER, 4, 4.0, 'plain', gang=True)
    return simulation


def quarantined_gang():
    simulation = StartSimulation(100)
    simulation.submit('s', type(CAPACITY)(1000, 100, 0), 2, ENDLESS, 'urgent', max_per_runner=1)
    simulation.advance(0.02)
    for state in simulation.cell.runner_by_id.values():
        for held in state.allocation_by_run.values():
            held.phase = AllocationPhase.STARTING
            simulation.silent_runners.add(state.id)
    allowed = simulation.silent_runners | set(names(80, 90))
    gang = simulation.submit('g', WHOLE_RUNNER, 2, 3.4, 'map', allowed, gang=True)
    for member in gang.steps(0)[0].tasks:
        member.quarantined = True
    return simulation


def limit_reached():
    simulation = StartSimulation(60)
    step = {'max_per_runner': 1}
    simulation.submit('g', type(CAPACITY)(8000, 1000, 0), 2, ENDLESS, 'map', (), **step)
    simulation.advance(0.1)
    # The first request names 12 runners, of which one is allowed.
    asked = simulation._answers[0][2].runners
    others = [name for name in simulation.registration_by_id if name not in asked]
    simulation.allowed_by_job['g'] = {asked[0], *others[:20]}
    return simulation


def distant_reservation():
    simulation = StartSimulation(60)
    fill(simulation, names(0, 14), ENDLESS)
    simulation.submit('a', WHOLE_RUNNER, 20, 3.4, 'map', names(0, 24), gang=True)
    simulation.submit('g', WHOLE_RUNNER, 3, ENDLESS, 'map', names(14, 24), gang=True)
    return simulation


def failed_requests():
    simulation = StartSimulation(60)
    simulation.failures_by_job['g'] = 2
    simulation.submit('g', WHOLE_RUNNER, 2, 3.4, 'map', gang=True)
    return simulation


def wide_step_first():
    simulation = StartSimulation(60)
    simulation.submit('a', WHOLE_RUNNER, 2000, 3.4, 'map', ())
    simulation.submit('g', WHOLE_RUNNER, 2, 3.4, 'batch', names(0, 20))
    return simulation


class ShortTasks:
    """Submits a task each half second, on a queue that ranks behind the gangs."""

    def __init__(self, simulation, seconds=0.5):
        self._simulation, self._seconds = simulation, seconds
        self._arrives_at = simulation.now

    def add_task(self):
        """Add the task that is due."""
        simulation = self._simulation
        if simulation.now >= self._arrives_at:
            self._arrives_at += 0.5
            name = f's{len(simulation.seconds_by_job)}'
            simulation.submit(name, SHORT_TASK, 1, self._seconds, 'plain')


def occupied_cell(estimate, seconds=0.5, **fields):
    """Return a cell with a run on each runner that takes three eighths of its processors."""
    simulation = StartSimulation(20)
    simulation.submit(
        'o', type(CAPACITY)(12_000, 1000, 0), 20, ENDLESS, 'urgent', estimate=estimate, **fields
    )
    simulation.advance(1.0)
    simulation.on_tick = ShortTasks(simulation, seconds).add_task
    return simulation


def add_wide_gang(simulation, cpu):
    demand = type(CAPACITY)(cpu, 1000, 0)
    return simulation.submit('g', demand, 20, 12.0, 'urgent', gang=True)


def gang_beside_service():
    simulation = occupied_cell(0.0, long_running=True, max_per_runner=1)
    add_wide_gang(simulation, NO_ROOM_CPU)
    return simulation


def gang_beside_short_service():
    simulation = occupied_cell(1.0, long_running=True, max_per_runner=1)
    add_wide_gang(simulation, NO_ROOM_CPU)
    return simulation


def gang_beside_overruns():
    simulation = occupied_cell(1.0)
    add_wide_gang(simulation, NO_ROOM_CPU)
    return simulation


def gang_beside_long_overruns():
    simulation = occupied_cell(4.0, 4.0)
    add_wide_gang(simulation, NO_ROOM_CPU)
    return simulation


def gang_beside_urgent_tasks():
    simulation = StartSimulation(20)
    simulation.on_tick = UrgentRuns(simulation).add_tasks
    simulation.advance(1.0)
    add_wide_gang(simulation, NO_ROOM_CPU)
    return simulation


class UrgentRuns:
    """Keeps a run on each runner that ranks before a gang, and submits short tasks."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._short_tasks = ShortTasks(simulation)
        self._renewed_at = simulation.now

    def add_tasks(self):
        """Add the tasks that are due."""
        self._short_tasks.add_task()
        simulation = self._simulation
        if simulation.now >= self._renewed_at:
            self._renewed_at += 1.0
            name = f'a{len(simulation.seconds_by_job)}'
            demand = type(CAPACITY)(12_000, 1000, 0)
            simulation.submit(name, demand, 20, 1.0, 'urgent', max_per_runner=1)


def gangs_too_wide():
    simulation = StartSimulation(60)
    fill(simulation, names(0, 56), ENDLESS)
    for number in range(10):
        simulation.submit(f'g{number}', WHOLE_RUNNER, 8, 3.4, 'map', gang=True)
    return simulation


SITUATIONS = {
    'ten gangs are too wide for what is free': gangs_too_wide,
    'the runners that a gang knows are taken until long after': known_runners_taken,
    'more gangs wait than may reserve runners': reservations_full,
    'a gang waits for faster runners again and again': faster_overrun,
    'a quarantined gang knows only runners with unanswered starts': quarantined_gang,
    'a task may not join another one on the only known runner': limit_reached,
    'idle runners are reserved for a gang that starts much later': distant_reservation,
    'two requests for the first tickets of a gang fail': failed_requests,
    'a wide step that fits nowhere comes before a small one': wide_step_first,
    'a gang has no room beside a service without an estimate': gang_beside_service,
    'a gang has no room beside a service with an estimate of 1 s': gang_beside_short_service,
    'a gang has no room beside runs that overrun their estimates': gang_beside_overruns,
    'a gang has no room beside runs that take far more than 4 s': gang_beside_long_overruns,
    'a gang has no room beside urgent runs that are replaced': gang_beside_urgent_tasks,
}


class Arrivals:
    """Submits gangs at random times, and replaces an idle runner each second."""

    def __init__(self, rate, share, runners, endless, unanswered, seed):
        self.simulation = StartSimulation(runners, seed, unanswered)
        self.simulation.on_tick = self.add_events
        self._rate, self._share, self._endless = rate, share, endless
        self._arrives_at = self._replaced_at = self.simulation.now

    def add_events(self):
        """Add the gangs and the replacements that are due."""
        simulation = self.simulation
        if simulation.now >= self._arrives_at:
            self._submit_gang()
            self._arrives_at += simulation.random.expovariate(self._rate)
        if simulation.now >= self._replaced_at:
            self._replace_runner()
            self._replaced_at += REPLACEMENT_SECONDS

    def _submit_gang(self):
        simulation, rng = self.simulation, self.simulation.random
        width = max(2, min(MAX_GANG, int(rng.lognormvariate(2.85, 0.7))))
        allowed = [name for name in simulation.registration_by_id if rng.random() < self._share]
        seconds = ENDLESS if rng.random() < self._endless else 3.4
        name = f'j{len(simulation.seconds_by_job):03d}'
        demand = type(CAPACITY)(5950, 18592, 0)
        simulation.submit(name, demand, width, seconds, 'map', allowed, estimate=3.4, gang=True)

    def _replace_runner(self):
        simulation, rng = self.simulation, self.simulation.random
        idle = simulation.idle_runners()
        if not idle:
            return
        runner = rng.choice(idle)
        new = f'{runner[:4]}@{simulation.now:.2f}'
        simulation.replace_runner(runner, new)
        for allowed in simulation.allowed_by_job.values():
            if rng.random() < self._share:
                allowed.add(new)


ARRIVALS = (
    '{rate:g} gangs a second may use {share:g} of {runners:d} runners, {endless:g} endless, '
    '{unanswered:g} unanswered, seed {seed:d}'
)


@given('a cell in which {situation}')
def cell_in_situation(context, situation):
    drawn = parse(ARRIVALS, situation)
    if drawn:
        context.simulation = Arrivals(**drawn.named).simulation
    else:
        context.simulation = SITUATIONS[situation]()


@when('it is played for {seconds:g} s')
def play(context, seconds):
    context.simulation.advance(seconds)


@then('no step that fits twice over has waited for more than 3 s')
def no_long_wait(context):
    seconds, job = context.simulation.longest_wait()
    assert seconds <= LIMIT_SECONDS, f'{job} has waited for {seconds:.2f} s'


class SingleTasks:
    """Submits single tasks steadily; two of them take the memory of a runner."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._arrives_at = simulation.now

    def add_task(self):
        """Add the task that is due."""
        simulation = self._simulation
        if simulation.now < self._arrives_at:
            return
        self._arrives_at += SINGLE_TASK_INTERVAL_SECONDS
        name = f's{len(simulation.seconds_by_job)}'
        simulation.submit(name, HALF_OF_MEMORY, 1, 3.0, 'plain')


@given('a cell whose memory is used up by single tasks of 3 s, and whose processors are half idle')
def memory_used_up(context):
    context.simulation = StartSimulation(10)
    context.simulation.on_tick = SingleTasks(context.simulation).add_task
    context.simulation.advance(6.0)


@given('a service and short tasks on all runners, with {cpu:d} processors free on each')
def service_and_short_tasks(context, cpu):
    context.simulation = occupied_cell(0.0, long_running=True, max_per_runner=1)
    assert cpu * 1000 == CAPACITY.cpu - 12_000
    context.simulation.advance(5.0)


@when('a gang with a task of {cpu:d} processors for each runner joins them')
def wide_gang_joins(context, cpu):
    context.job = add_wide_gang(context.simulation, cpu * 1000)


@when('a gang that needs the memory of six runners joins them')
def gang_joins(context):
    demand = type(CAPACITY)(8000, CAPACITY.memory_mb, 0)
    context.job = context.simulation.submit('g', demand, 6, 3.0, 'plain', gang=True)


@then('it starts within {seconds:g} s')
def gang_starts(context, seconds):
    began_at, step = context.simulation.now, context.job.steps(0)[0]
    while step.waiting:
        assert context.simulation.now - began_at <= seconds
        context.simulation.advance(0.1)


@then('nothing is requested in the next {seconds:g} s')
def nothing_requested(context, seconds):
    before = context.simulation.requests_sent
    assert before
    context.simulation.advance(seconds)
    assert context.simulation.requests_sent == before, context.simulation.requests_sent
