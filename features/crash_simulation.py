"""A cell in virtual time whose runners are lost by chance, and because of tasks."""

import random
from collections import Counter

from dandelionreel.cell.decisions import NEVER
from dandelionreel.cell.model import JobState, StartReply
from features.cell_parts import SmallCell, make_registration, step

TICK = 0.05
POLL_SECONDS = 1.0
#: Seconds for which a lost runner is away.
DOWN_SECONDS = (0.6, 3.0)
TASK_SECONDS = 1.0
JOB_INTERVAL_SECONDS = 0.2


class CrashSimulation:
    """Plays jobs whose tasks are harmless, and some whose tasks crash their runners.

    ``waves`` has the times of losses that take a share of all runners at once, and ``rate`` is the
    number of single losses a second. ``delay`` is the time from the start of a harmful task to the
    crash.
    """

    def __init__(self, runners, seed, rate=0.0, waves=(), share=1.0, harmful=0, delay=0.3):
        self.small = SmallCell([f'w{number:02d}' for number in range(runners)])
        self.random = random.Random(seed)
        self.began_at = self.small.now
        #: Number of runners that each harmful task has crashed.
        self.crashes = Counter()
        self.harmful = {f'x{number}' for number in range(harmful)}
        self._rate, self._waves, self._share = rate, list(waves), share
        self._delay = delay
        self._end_by_run = {runner: {} for runner in self.small.registration_by_id}
        self._end_numbers = Counter()
        self._back_at = {}
        self._count = 0

    def advance(self, seconds):
        """Play the cell for some seconds."""
        for job in self.harmful:
            self.small.add_job(job, [step(2000, 1, TASK_SECONDS)])
        next_job = self.small.now
        until = self.small.now + seconds
        while self.small.now < until:
            if self.small.now >= next_job:
                next_job += JOB_INTERVAL_SECONDS
                self._count += 1
                self.small.add_job(f'j{self._count}', [step(8000, 2, TASK_SECONDS)])
            self._lose_runners()
            self._return_runners()
            self._end_runs()
            for start in self.small.planner.plan(self.small.now, self.small.now).starts:
                self._start(start)
            self.small.now += TICK

    def failed_jobs(self):
        """Return the jobs that are shown as failed."""
        jobs = self.small.cell.job_by_id.values()
        return {job.id for job in jobs if job.state is JobState.FAILED}

    def _start(self, start):
        if start.runner in self._back_at:
            start.start_unanswered = start.connection_broken = True
            return
        self.small.cell.handle_start_reply(start, StartReply.STARTED, self.small.now)
        seconds = TASK_SECONDS * self.random.uniform(0.5, 1.5)
        self._end_by_run[start.runner][start.task, start.run] = self.small.now + seconds

    def _lose_runners(self):
        now = self.small.now
        alive = [name for name in self._end_by_run if name not in self._back_at]
        lost = set()
        while self._waves and now >= self.began_at + self._waves[0]:
            self._waves.pop(0)
            lost.update(name for name in alive if self.random.random() < self._share)
        if alive and self.random.random() < self._rate * TICK:
            lost.add(self.random.choice(alive))
        for name in alive:
            for task, run in self._end_by_run[name]:
                began_at = (
                    self.small.cell.runner_by_id[name].allocation_by_run[task, run].started_at
                )
                if task.job in self.harmful and now >= began_at + self._delay:
                    self.crashes[task.job] += 1
                    lost.add(name)
        for name in lost:
            self._back_at[name] = now + self.random.uniform(*DOWN_SECONDS)
            state = self.small.cell.runner_by_id[name]
            state.broken_at, state.missed_last_poll, state.suspect = now, True, True

    def _return_runners(self):
        small = self.small
        for name in [name for name, at in self._back_at.items() if at <= small.now]:
            self._back_at.pop(name)
            self._end_by_run.pop(name)
            port = small.registration_by_id.pop(name).port
            self._count += 1
            new = f'{name[:3]}+{self._count}'
            small.registration_by_id[new] = make_registration(new, port=port)
            small.cell.handle_ended_runner(name, proven=True)
            small.update_runners()
            self._end_by_run[new] = {}
            small.poll(new)

    def _end_runs(self):
        small = self.small
        for name, runs in self._end_by_run.items():
            if name in self._back_at:
                continue
            ended = []
            for run in [run for run, end in runs.items() if end <= small.now]:
                runs.pop(run)
                self._end_numbers[name] += 1
                ended.append((self._end_numbers[name], *run, 'done'))
            state = small.cell.runner_by_id[name]
            is_due = state.answered_at == NEVER or small.now >= state.answered_at + POLL_SECONDS
            if ended or is_due:
                small.poll(name, list(runs), ended)
