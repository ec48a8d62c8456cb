"""Judges the jobs of a replay without refusing them: ``python -m bench.admission``.

Prints how the jobs would have ended that admission would have refused. A refused job that would
have ended within three times its objective was refused wrongly.
"""

import argparse
import sys
import time
from collections import Counter
from dataclasses import replace

from bench.replay import MAX_LATE_FACTOR, Accounts, JobKind, Load, Replay, make_loads
from dandelionreel.cell.decisions import Admission, Planner
from dandelionreel.cell.model import Demand, JobState, Submission
from dandelionreel.cell.owner._refusals import FORECAST_SECONDS

RUNNER_CAPACITY = Demand(64_000, 131_072, 0)
BURST_STARTS_AT = 6.0
ACCEPTED = 'accepted'


def make_overload(factor: float, seconds: float, queue: str) -> Load:
    """Return a load of 83% of all cores, of which one queue or ``all`` sends more for a while."""
    queues = {kind.queue.name: kind.queue for kind in make_loads()['accounts'].kinds}
    memory_per_core = 1600
    rows = (
        ('settle', 1.8, 1.2, 20, 18_000, 5.0, 0.2, 0.3, 1.0, 0.5),
        ('recon', 6.4, 1.5, 25, 6900, 2.7, 0.5, 0.45, 0.0, 0.8),
        ('check', 41, 1.0, 3, 9900, 0.8, 0.9, 0.7, 0.3, 0.0),
    )
    kinds = []
    for name, rate, steps, tasks, cpu, mean, error, permits, gangs, checkpoints in rows:
        burst = (BURST_STARTS_AT, BURST_STARTS_AT + seconds, factor)
        kind = JobKind(
            queues[name],
            rate,
            1.0,
            steps,
            tasks,
            cpu,
            cpu * memory_per_core / 1000,
            mean,
            error,
            permits,
            gangs,
            checkpoints,
            0.01,
        )
        kinds.append(replace(kind, burst=burst) if queue in {name, 'all'} else kind)
    return Load(176, 45, tuple(kinds), capacity=RUNNER_CAPACITY, accounts=Accounts())


class JudgingReplay(Replay):
    """A replay that notes the verdict on each job and how the job ended."""

    def __init__(self, load: Load, seed: int) -> None:
        """Judge the jobs of a load."""
        super().__init__(load, Planner, seed)
        self.admission = Admission(self.cell, self.planner.order)
        self.forecast_seconds: list[float] = []
        self._forecast_at = float('-inf')
        self._verdict_by_job: dict[str, str] = {}
        self._update_job = self.cell.update_job
        self.cell.update_job = self._judge_job  # type: ignore[method-assign]

    def count_endings(self) -> Counter[tuple[str, str, str]]:
        """Return the number of jobs by queue, verdict and ending."""
        counts: Counter[tuple[str, str, str]] = Counter()
        for job_id, verdict in self._verdict_by_job.items():
            job = self.cell.job_by_id[job_id]
            counts[job.submission.queue, verdict, self._ending_of(job_id)] += 1
        return counts

    def _ending_of(self, job_id: str) -> str:
        job = self.cell.job_by_id[job_id]
        if job.state is not JobState.COMPLETED:
            return 'failed or open'
        lateness = (self.ended_at_by_job[job_id] - job.accepted_at) / self.cell.objective_of(job)
        if lateness <= 1:
            return 'in time'
        return 'late' if lateness <= MAX_LATE_FACTOR else 'useless'

    def _record_result(self, job_id: str) -> None:
        self.ended_at_by_job.setdefault(job_id, self._now)
        super()._record_result(job_id)

    @property
    def ended_at_by_job(self) -> dict[str, float]:
        """Return when each job ended, by id."""
        return self.__dict__.setdefault('_ended_at_by_job', {})

    def _judge_job(self, stored_job, now: float, unix_time: float) -> None:
        submission: Submission = stored_job.submission
        if now >= self._forecast_at + FORECAST_SECONDS:
            began = time.perf_counter()
            self.admission.refresh(now, unix_time)
            self.forecast_seconds.append(time.perf_counter() - began)
            self._forecast_at = now
        verdict = self.admission.judge(stored_job.id, submission, now, unix_time)
        reason = verdict.reason.value if verdict.reason else ACCEPTED
        self._verdict_by_job[stored_job.id] = reason
        self._update_job(stored_job, now, unix_time)


def main() -> int:
    """Replay one load and print the verdicts by queue and ending."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=16)
    parser.add_argument('--burst', type=float, default=6, help='seconds of the burst')
    parser.add_argument('--factor', type=float, default=2.6)
    parser.add_argument('--queue', choices=('settle', 'recon', 'check', 'all'), default='all')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    replay = JudgingReplay(
        make_overload(options.factor, options.burst, options.queue), options.seed
    )
    replay.play(options.seconds)
    for (queue, verdict, ending), count in sorted(replay.count_endings().items()):
        sys.stdout.write(f'{queue:8}{verdict:10}{ending:16}{count:6}\n')
    times = sorted(replay.forecast_seconds)
    sys.stdout.write(
        f'forecasts: median {1000 * times[len(times) // 2]:.1f} ms, longest '
        f'{1000 * times[-1]:.1f} ms\n'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
