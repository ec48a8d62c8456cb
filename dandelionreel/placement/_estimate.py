"""Run times learned from what ended, since declared ones are often far off.

Used for order and for backfill only; the ledger always counts what is
declared, so a wrong estimate never over-fills a worker.
"""

from collections import OrderedDict, deque

RUNS_PER_KIND = 32
MAX_KINDS = 4096
MIN_RUNS = 5
#: Pessimistic: nine runs in ten ended within it.
QUANTILE = 0.9
#: Without enough runs, the declared time may be this many times too short.
DECLARED_FACTOR = 3.0
DEFAULT_RUN_SECONDS = 3600.0


class RunTimeEstimator:
    """The latest run times by customer and kind of job."""

    def __init__(self) -> None:
        """Start with none."""
        self._runs_by_kind: OrderedDict[tuple[str, str], deque[float]] = OrderedDict()

    def note(self, customer: str, kind: str, seconds: float) -> None:
        """Add one run that ended well."""
        key = (customer, kind)
        runs = self._runs_by_kind.get(key)
        if runs is None:
            runs = deque(maxlen=RUNS_PER_KIND)
            self._runs_by_kind[key] = runs
        self._runs_by_kind.move_to_end(key)
        runs.append(seconds)
        if len(self._runs_by_kind) > MAX_KINDS:
            self._runs_by_kind.popitem(last=False)

    def estimate(self, customer: str, kind: str, declared: float) -> float:
        """Return seconds that a run will hardly exceed."""
        runs = self._runs_by_kind.get((customer, kind))
        if runs is None or len(runs) < MIN_RUNS:
            return declared * DECLARED_FACTOR if declared else DEFAULT_RUN_SECONDS
        ordered = sorted(runs)
        return ordered[min(len(ordered) - 1, int(len(ordered) * QUANTILE))]
