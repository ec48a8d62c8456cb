"""Times in which nothing of a job ran, and what the lines say of them."""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.records._runs import Run
from dandelionreel.records._stages import Stage
from dandelionreel.records._told import Told

#: Seconds below which a wait is not worth a line: urgent jobs have 0.6 s.
SHORTEST_WAIT = 0.5
#: Sentences that are quoted for one wait.
MOST_CAUSES = 8
#: Stages that may be why a job waits.
CAUSES = frozenset(
    (
        Stage.WAITING,
        Stage.UNANSWERED,
        Stage.TURNED_AWAY,
        Stage.STOPPING,
        Stage.MISSING,
        Stage.UNNOTED,
        Stage.TAKEN_OVER,
        Stage.OWNERSHIP,
        Stage.LAPSED,
        Stage.RUNNER,
        Stage.STORE,
        Stage.HOST,
    ),
)


@dataclass(frozen=True)
class Wait:
    """From when to when no run was under way, in wall seconds."""

    since: float
    until: float
    causes: tuple[Told, ...]

    @property
    def seconds(self) -> float:
        """Return how long it was."""
        return self.until - self.since


def find_waits(runs: Iterable[Run], lines: list[Told], since: float) -> list[Wait]:
    """Return the waits before starts; ``lines`` are in order, the first wait from ``since``."""
    waits = []
    idle_since: float | None = since
    for run in sorted((run for run in runs if run.begin_known), key=_began_at):
        until = run.began_at
        if idle_since is not None and until - idle_since >= SHORTEST_WAIT:
            waits.append(Wait(idle_since, until, _causes(lines, idle_since, until)))
        # One that never ended, as far as the lines go, is under way to the end.
        if idle_since is None or run.ended_at is None:
            break
        idle_since = max(idle_since, run.ended_at)
    return waits


def handed_in_at(own: list[Told], runs: Iterable[Run]) -> float:
    """Return when the job was handed in as its starts tell, else its first line's time.

    Starts say how long the job had waited then; logs that are cut begin later.
    """
    waited = [run.asked_at - run.waited for run in runs if run.asked_at and run.waited]
    return min([own[0].at, *waited])


def _began_at(run: Run) -> float:
    return run.began_at


def _causes(lines: list[Told], since: float, until: float) -> tuple[Told, ...]:
    seen: set[str] = set()
    causes = []
    for line in lines:
        if not since <= line.at <= until or line.stage not in CAUSES or line.text in seen:
            continue
        seen.add(line.text)
        causes.append(line)
    return tuple(causes[-MOST_CAUSES:])
