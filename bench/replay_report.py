"""What a replay earned, as a table."""

import sys
from dataclasses import dataclass, field
from typing import Protocol


@dataclass
class Tally:
    """What became of one kind's jobs."""

    owed: float = 0
    earned: float = 0
    jobs: int = 0
    in_time: int = 0
    late: int = 0
    first_waits: list[float] = field(default_factory=list)


class Played(Protocol):
    """The part of a replay that is told."""

    tally_by_queue: dict[str, Tally]
    tally_by_account: dict[str, Tally]
    bound: float
    plan_seconds: list[float]
    wasted: float


@dataclass(frozen=True)
class Score:
    """What one play came to: shares of what was owed, and seconds."""

    worth: float
    #: The mean of the tenth of accounts that was served worst.
    worst_accounts: float
    #: No way of deciding could have earned more.
    bound: float
    plan_p99: float


def score(replay: 'Played') -> Score:
    """Return what a play came to."""
    tallies = replay.tally_by_queue.values()
    owed = sum(tally.owed for tally in tallies)
    earned = sorted(
        tally.earned / tally.owed for tally in replay.tally_by_account.values() if tally.owed
    )
    worst = earned[: max(1, len(earned) // 10)]
    plans = sorted(replay.plan_seconds)
    return Score(
        sum(tally.earned for tally in tallies) / owed,
        sum(worst) / len(worst) if worst else 1.0,
        replay.bound / owed,
        plans[int(0.99 * len(plans))],
    )


def tell_result(name: str, replay: 'Played') -> None:
    """Print one policy's table."""
    tallies = replay.tally_by_queue.values()
    worth = sum(tally.earned for tally in tallies) / sum(tally.owed for tally in tallies)
    plans = sorted(replay.plan_seconds)
    sys.stdout.write(
        f'{name}: worth {worth:.3f}, {replay.wasted:.0f} core-seconds thrown away, '
        f'a plan takes {1000 * plans[len(plans) // 2]:.1f} ms, '
        f'99 of 100 up to {1000 * plans[int(0.99 * len(plans))]:.1f} ms\n'
    )
    for queue, tally in replay.tally_by_queue.items():
        waits = sorted(tally.first_waits) or [0.0]
        sys.stdout.write(
            f'    {queue:8} {tally.jobs:5} jobs, {tally.in_time:5} in time, {tally.late:4} late, '
            f'worth {tally.earned / max(tally.owed, 1e-9):.3f}, first start within '
            f'{waits[len(waits) // 2]:.2f} s for half, {waits[int(0.95 * len(waits))]:.2f} s '
            'for 95 of 100\n'
        )
