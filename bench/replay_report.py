"""Score and table of a replay."""

import sys
from dataclasses import dataclass, field
from typing import Protocol

#: The largest jobs of a queue are one in this many.
LARGEST_PART = 4


@dataclass
class Tally:
    """Results of the jobs of one queue or account.

    ``attainable`` is the value of all jobs within the rate of their account, and
    ``value_earned`` the part that was earned, which depends on when each job ended.
    """

    attainable: float = 0
    value_earned: float = 0
    jobs: int = 0
    in_time: int = 0
    late: int = 0
    start_delays: list[float] = field(default_factory=list)


@dataclass
class JobResult:
    """Value, declared work and outcome of one job, also of one beyond the rate of its account."""

    queue: str
    account: str
    value: float
    work: float
    earned_share: float = 0.0

    @property
    def in_time(self) -> bool:
        """Return whether the job ended within its objective."""
        return self.earned_share == 1


class ReplayResult(Protocol):
    """The results of a replay that are reported."""

    tally_by_queue: dict[str, Tally]
    tally_by_account: dict[str, Tally]
    result_by_job: dict[str, JobResult]
    bound: float
    plan_seconds: list[float]
    wasted_core_seconds: float


@dataclass(frozen=True)
class Score:
    """Result of one replay: earned shares of the attainable value, and seconds."""

    worth: float
    #: The mean share of the tenth of the accounts with the lowest shares.
    worst_accounts: float
    #: An upper bound that no scheduling policy can exceed.
    bound: float
    plan_p99: float
    #: Earned share of the value of all jobs, also of those beyond the rates of their accounts.
    worth_of_all: float
    #: Share in time of the jobs of the queue with the least value per job.
    small_in_time: float
    #: Mean over the queues of the share in time of their largest quarter of jobs, and of the rest.
    wide_in_time: float
    narrow_in_time: float


def score(replay: 'ReplayResult') -> Score:
    """Return the score of a replay."""
    tallies = replay.tally_by_queue.values()
    attainable = sum(tally.attainable for tally in tallies)
    account_shares = sorted(
        tally.value_earned / tally.attainable
        for tally in replay.tally_by_account.values()
        if tally.attainable
    )
    worst_shares = account_shares[: max(1, len(account_shares) // 10)]
    plan_times = sorted(replay.plan_seconds)
    results_by_queue: dict[str, list[JobResult]] = {}
    for result in replay.result_by_job.values():
        results_by_queue.setdefault(result.queue, []).append(result)
    wide, narrow = [], []
    for results in results_by_queue.values():
        results.sort(key=_work, reverse=True)
        wide.append(_share_in_time(results[: len(results) // LARGEST_PART]))
        narrow.append(_share_in_time(results[len(results) // LARGEST_PART :]))
    all_results = replay.result_by_job.values()
    return Score(
        sum(tally.value_earned for tally in tallies) / attainable,
        sum(worst_shares) / len(worst_shares) if worst_shares else 1.0,
        replay.bound / attainable,
        plan_times[int(0.99 * len(plan_times))],
        sum(result.value * result.earned_share for result in all_results)
        / sum(result.value for result in all_results),
        _share_in_time(min(results_by_queue.values(), key=_mean_value)),
        sum(wide) / len(wide),
        sum(narrow) / len(narrow),
    )


def _work(result: JobResult) -> float:
    return result.work


def _mean_value(results: list[JobResult]) -> float:
    return sum(result.value for result in results) / len(results)


def _share_in_time(results: list[JobResult]) -> float:
    return sum(result.in_time for result in results) / max(1, len(results))


def print_result(name: str, replay: 'ReplayResult') -> None:
    """Print the results of one policy, with a line for each queue."""
    tallies = replay.tally_by_queue.values()
    worth = sum(tally.value_earned for tally in tallies) / sum(
        tally.attainable for tally in tallies
    )
    plan_times = sorted(replay.plan_seconds)
    sys.stdout.write(
        f'{name}: worth {worth:.3f}, {replay.wasted_core_seconds:.0f} core-seconds thrown away, '
        f'a plan takes {1000 * plan_times[len(plan_times) // 2]:.1f} ms, '
        f'99 of 100 up to {1000 * plan_times[int(0.99 * len(plan_times))]:.1f} ms\n'
    )
    for queue, tally in replay.tally_by_queue.items():
        delays = sorted(tally.start_delays) or [0.0]
        sys.stdout.write(
            f'    {queue:8} {tally.jobs:5} jobs, {tally.in_time:5} in time, {tally.late:4} late, '
            f'worth {tally.value_earned / max(tally.attainable, 1e-9):.3f}, first start within '
            f'{delays[len(delays) // 2]:.2f} s for half, {delays[int(0.95 * len(delays))]:.2f} s '
            'for 95 of 100\n'
        )
