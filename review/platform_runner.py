"""A small stand-in for one runner, as the users' pages describe it.

What a task does is written in its ``spec``: ``work MS`` ends ``done`` after that time, ``serve``
runs until it is stopped, and ``serve fail MS`` ends ``failed`` after that time for as long as the
image of the tasks is broken.
"""

import asyncio
import time
from dataclasses import dataclass, field

from review.platform_log import HTTP_CONFLICT, HTTP_INVALID, Reply, make_reply

#: Bounds of a small deployment, in seconds.
MAX_HOLD_SECONDS = 10.0
STOP_SECONDS = 0.1
MAX_LISTED_ENDS = 500
MILLISECONDS = 1000
CLOCK_START = 5000.0
WAIT_STEP_SECONDS = 0.004
HTTP_MISDIRECTED = 421
#: Processors and memory of a runner.
CAPACITY = {'cpu': 32_000, 'mem_mb': 65_536}


@dataclass
class Images:
    """Whether tasks that serve fail; all tasks of these cases have one image."""

    broken: bool = False


@dataclass
class Run:
    """One run of a task; times are monotonic seconds."""

    task: str
    number: int
    runner: str
    began: float
    ends_at: float
    how: str
    ended: float | None = None


@dataclass
class Life:
    """All that one life of a runner knows."""

    name: str
    born: float
    token: int = 0
    deadline: float = 0.0
    run_by_task: dict[str, Run] = field(default_factory=dict)
    highest_by_task: dict[str, int] = field(default_factory=dict)
    ends: list[list] = field(default_factory=list)
    next_end: int = 1

    def clock(self) -> float:
        """Return the runner's own steady clock in seconds."""
        return CLOCK_START + time.monotonic() - self.born

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease of everything that runs; it never shortens."""
        wanted = min(deadline_ms / MILLISECONDS, self.clock() + MAX_HOLD_SECONDS)
        self.deadline = max(self.deadline, wanted)


class FleetRunner:
    """A runner with one life after the other."""

    def __init__(self, name: str, runs: list[Run], images: Images) -> None:
        """Begin the first life; each run is added to ``runs``."""
        self.life = Life(name, time.monotonic())
        self.is_down = False
        #: Whether nothing answers at its address any more, not even by closing connections.
        self.is_lost = False
        self.rejections: list[tuple[float, str, str, int]] = []
        self._runs = runs
        self._images = images

    def crash(self) -> None:
        """Lose everything that runs, without a word."""
        self.is_down = True
        for run in self.life.run_by_task.values():
            run.ended = time.monotonic()
            run.how = 'lost with its runner'
        self.life.run_by_task.clear()

    def restart(self, name: str) -> None:
        """Begin another life, which knows nothing of the former one."""
        self.life = Life(name, time.monotonic())
        self.is_down = False

    async def answer(self, path: str, expected: str, order: dict) -> Reply:
        """Answer one call."""
        life = self.life
        self.advance()
        if expected and expected != life.name:
            return self._reply(HTTP_MISDIRECTED)
        token = order.get('fencing_token', 0)
        if token < life.token:
            return self._reply(HTTP_CONFLICT, reason='fence')
        life.token = token
        if path == '/v1/run-start':
            return self._start(order)
        if path == '/v1/run-stop':
            return self._stop(order)
        if path == '/v1/hold':
            return await self._hold(order)
        return self._reply(HTTP_INVALID)

    def advance(self) -> None:
        """End the runs that are due or whose lease has expired."""
        now = time.monotonic()
        life = self.life
        lease_ends_at = now + life.deadline - life.clock()
        for run in tuple(life.run_by_task.values()):
            if lease_ends_at < min(now, run.ends_at):
                run.ends_at = lease_ends_at
                run.how = 'lapsed'
            if run.ends_at > now:
                continue
            run.ended = run.ends_at
            life.run_by_task.pop(run.task)
            life.ends.append([life.next_end, run.task, run.number, run.how, ''])
            life.next_end += 1

    def _start(self, order: dict) -> Reply:
        life, task, number = self.life, order['task'], order['run']
        life.extend_lease(order['deadline_ms'])
        known = life.run_by_task.get(task)
        if known is not None and known.number == number:
            return self._reply()
        if number <= life.highest_by_task.get(task, 0):
            self.rejections.append((time.monotonic(), 'old', task, number))
            return self._reply(HTTP_CONFLICT, reason='old')
        if order['deadline_ms'] / MILLISECONDS < life.clock():
            return self._reply(HTTP_CONFLICT, reason='late')
        now = time.monotonic()
        seconds, how = self._foresee(order['spec'])
        run = Run(task, number, life.name, now, now + seconds, how)
        life.run_by_task[task] = run
        life.highest_by_task[task] = number
        self._runs.append(run)
        return self._reply()

    def _foresee(self, spec: str) -> tuple[float, str]:
        words = spec.split()
        if words[0] == 'work':
            return int(words[1]) / MILLISECONDS, 'done'
        if len(words) > 1 and self._images.broken:
            return int(words[-1]) / MILLISECONDS, 'failed'
        return float('inf'), 'stopped'

    def _stop(self, order: dict) -> Reply:
        life, task, number = self.life, order['task'], order['run']
        life.highest_by_task[task] = max(life.highest_by_task.get(task, 0), number)
        run = life.run_by_task.get(task)
        if run is not None and run.number <= number:
            stops_at = time.monotonic() + STOP_SECONDS
            if stops_at < run.ends_at:
                run.ends_at = stops_at
                run.how = 'stopped'
        return self._reply()

    async def _hold(self, order: dict) -> Reply:
        life = self.life
        acked = order.get('acked_through', 0)
        life.ends = [end for end in life.ends if end[0] > acked]
        life.extend_lease(order.get('deadline_ms', 0))
        until = time.monotonic() + order.get('wait_ms', 0) / MILLISECONDS
        while not life.ends and time.monotonic() < until and life is self.life:
            await asyncio.sleep(WAIT_STEP_SECONDS)
            self.advance()
        running = [[run.task, run.number, '', 100, 0] for run in life.run_by_task.values()]
        return self._reply(running=running, finished=life.ends[:MAX_LISTED_ENDS])

    def _reply(self, status: int = 200, **fields: object) -> Reply:
        clock_ms = int(self.life.clock() * MILLISECONDS)
        return make_reply({'clock_ms': clock_ms, **fields}, status)
