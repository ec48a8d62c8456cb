"""A cell in virtual time with runners whose runs end, hosts, and a policy service."""

import heapq
import itertools
import random
from dataclasses import dataclass

from dandelionreel.cell.model import Demand, Permit, StartReply, Step, StepName
from features.cell_parts import CAPACITY, SmallCell, make_queue, make_registration

TICK = 0.02
POLL_TICKS = 10
#: Seconds of a request, seconds more for each runner, and seconds for which tickets are valid.
ADVICE = (0.442, 0.00637, 2.0)
#: A request without an answer is given up after this many times its seconds, and these more.
TIMEOUT_FACTOR = 2.0
TIMEOUT_MARGIN = 0.4
RETRY_SECONDS = 0.1
HOSTS = 30
ENDLESS = 10_000.0
#: A runner holds one task of this demand.
WHOLE_RUNNER = Demand(20_000, 1000, 0)
QUEUES = (
    make_queue('urgent'),
    make_queue('plain', 1, 4, 2.2, 1.0),
    make_queue('map', 1, 4, 2.2, 1.0, advice=ADVICE),
    make_queue('batch', 2, 4, 40.0, 30.0, advice=ADVICE),
)


@dataclass
class Wait:
    """Since when a step could have started (simulated seconds), and its longest wait."""

    since: float = 0.0
    longest: float = 0.0


class StartSimulation(SmallCell):
    """Plays a cell, and measures for how long steps wait that fit twice over.

    A step counts while it has waiting tasks, slots for twice as many of them are free on the
    runners that its policy allows, and less than half of all processors are in use.
    """

    def __init__(self, runners, seed=1, fail_share=0.0):
        super().__init__([f'w{number:03d}' for number in range(runners)], queues=QUEUES)
        self.random = random.Random(seed)
        self.fail_share = fail_share
        self.began_at = self.now
        #: Runners that the policy allows; a job that is missing may run on all.
        self.allowed_by_job = {}
        self.seconds_by_job = {}
        self.wait_by_step = {}
        #: Requests of a job that get no answer.
        self.failures_by_job = {}
        #: Called at the beginning of each tick.
        self.on_tick = None
        #: Runners that answer no poll.
        self.silent_runners = set()
        self.requests_sent = 0
        self._order = itertools.count()
        self._answers, self._queued, self._busy = [], [], 0
        self._end_by_run = {runner: {} for runner in self.registration_by_id}
        self._last_end = dict.fromkeys(self.registration_by_id, 0)

    def submit(self, job, demand, count, seconds, queue, allowed=None, estimate=None, **fields):
        """Submit a job of one step whose tasks take ``seconds``."""
        if allowed is not None:
            self.allowed_by_job[job] = set(allowed)
        self.seconds_by_job[job] = seconds
        estimate = min(seconds, 30.0) if estimate is None else estimate
        step = Step(count, demand, estimate, **fields)
        return self.add_job(job, [step], queue)

    def replace_runner(self, runner, new):
        """Replace an idle runner by one that the policy has not been asked about."""
        old = self.registration_by_id.pop(runner)
        self.registration_by_id[new] = make_registration(new, port=old.port)
        self.update_runners()
        self._end_by_run[new] = {}
        self._end_by_run.pop(runner)
        self._last_end[new] = 0
        self.poll(new)

    def idle_runners(self):
        """Return the runners without runs."""
        return [runner for runner, runs in self._end_by_run.items() if not runs]

    def advance(self, seconds):
        """Play the cell for some seconds."""
        until = self.now + seconds
        while self.now < until:
            if self.on_tick is not None:
                self.on_tick()
            self._deliver_answers()
            self._poll_runners()
            self._plan_once()
            self._measure()
            self.now += TICK

    def longest_wait(self):
        """Return the longest wait of any step, and its job."""
        return max(
            ((wait.longest, name.job) for name, wait in self.wait_by_step.items()),
            default=(0.0, ''),
        )

    def _deliver_answers(self):
        tickets = self.cell.tickets
        while self._answers and self._answers[0][0] <= self.now:
            _, _, request, answered = heapq.heappop(self._answers)
            self._busy -= 1
            if not answered:
                tickets.record_failed_request(request.step, self.now + RETRY_SECONDS)
                continue
            allowed = self.allowed_by_job.get(request.step.job, request.runners)
            permits = [Permit(runner, 't') for runner in request.runners if runner in allowed]
            expires_at = self.now + ADVICE[2]
            tickets.record_advice(request.step, request.runners, permits, expires_at)

    def _poll_runners(self):
        tick = round((self.now - self.began_at) / TICK)
        for number, runner in enumerate(self._end_by_run):
            runs, ended = self._end_by_run[runner], []
            for run in [run for run, end in runs.items() if end <= self.now]:
                runs.pop(run)
                self._last_end[runner] += 1
                ended.append((self._last_end[runner], *run, 'done'))
            if runner in self.silent_runners:
                continue
            if ended or tick % POLL_TICKS == number % POLL_TICKS:
                self.poll(runner, list(runs), ended)

    def _plan_once(self):
        free_requests = HOSTS - self._busy - len(self._queued)
        plan = self.planner.plan(self.now, self.now, free_requests)
        for start in plan.starts:
            self.cell.handle_start_reply(start, StartReply.STARTED, self.now)
            seconds = self.seconds_by_job[start.task.job] * self.random.uniform(0.8, 1.2)
            self._end_by_run[start.runner][start.task, start.run] = self.now + seconds
        for request in plan.advice_requests:
            heapq.heappush(self._queued, (request.priority, next(self._order), request))
        while self._queued and self._busy < HOSTS:
            self._send(heapq.heappop(self._queued)[2])

    def _send(self, request):
        self._busy += 1
        self.requests_sent += 1
        seconds = ADVICE[0] + ADVICE[1] * len(request.runners)
        failures = self.failures_by_job.get(request.step.job, 0)
        self.failures_by_job[request.step.job] = max(0, failures - 1)
        answered = not failures and self.random.random() >= self.fail_share
        if not answered:
            seconds = TIMEOUT_FACTOR * seconds + TIMEOUT_MARGIN
        entry = (self.now + seconds, next(self._order), request, answered)
        heapq.heappush(self._answers, entry)

    def _measure(self):
        states = self.cell.runner_by_id
        used = sum(max(0, states[runner].used.cpu) for runner in self._end_by_run)
        is_idle = 2 * used < CAPACITY.cpu * len(self._end_by_run)
        for job in self.cell.unfinished_job_by_id.values():
            for step in job.ready_steps(self.now) if is_idle else ():
                if self._count_slots(step) >= 2 * step.waiting:
                    wait = self.wait_by_step.setdefault(step.name, Wait(self.now))
                    wait.longest = max(wait.longest, self.now - wait.since)
                else:
                    self._restart_wait(step.name)
        placed = {name for name in self.wait_by_step if not self._is_waiting(name)}
        for name in self.wait_by_step if not is_idle else placed:
            self._restart_wait(name)

    def _is_waiting(self, name: StepName):
        job = self.cell.job_by_id.get(name.job)
        return job is not None and job.steps(name.occurrence)[name.step].waiting

    def _restart_wait(self, name):
        if name in self.wait_by_step:
            self.wait_by_step[name].since = self.now

    def _count_slots(self, step):
        allowed = self.allowed_by_job.get(step.name.job, self._end_by_run)
        return sum(
            self._slots_on(step, self.cell.runner_by_id[runner])
            for runner in allowed
            if runner in self._end_by_run
        )

    def _slots_on(self, step, runner):
        demand, limit = step.step.counted_demand, step.step.max_per_runner
        free = runner.free_capacity
        slots = min(free.cpu // demand.cpu, free.memory_mb // max(1, demand.memory_mb))
        if limit:
            slots = min(slots, limit - runner.count_step(step.name))
        return max(0, slots)
