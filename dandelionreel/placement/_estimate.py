"""Run times estimated from finished runs, since declared run times are often far off.

The estimates are used only to reserve workers for a gang (a job whose tasks start
together) and to fill these workers with shorter jobs meanwhile. The ledger of a worker
always counts the declared resources, so a wrong estimate never overcommits the worker.
"""

from collections import OrderedDict, deque

RUNS_PER_KIND = 32
MAX_KINDS = 4096
MIN_RUNS = 5
#: The quantile of past run times that is the estimate: nine in ten runs were shorter.
RUN_TIME_QUANTILE = 0.9
#: With fewer than ``MIN_RUNS`` runs the estimate is the declared time multiplied by this
#: factor, since the declared time may be that much too short.
DECLARED_FACTOR = 3.0
DEFAULT_RUN_SECONDS = 3600.0


class RunTimeEstimator:
    """Estimates run times from the latest runs by customer and kind of job."""

    def __init__(self) -> None:
        """Start without any runs."""
        self._runs_by_kind: OrderedDict[tuple[str, str], deque[float]] = OrderedDict()

    def add_run(self, customer: str, kind: str, seconds: float) -> None:
        """Add the run time of a successful run."""
        key = (customer, kind)
        runs = self._runs_by_kind.get(key)
        if runs is None:
            runs = deque(maxlen=RUNS_PER_KIND)
            self._runs_by_kind[key] = runs
        self._runs_by_kind.move_to_end(key)
        runs.append(seconds)
        if len(self._runs_by_kind) > MAX_KINDS:
            self._runs_by_kind.popitem(last=False)

    def estimate_run_seconds(self, customer: str, kind: str, declared: float) -> float:
        """Return a pessimistic run time in seconds."""
        runs = self._runs_by_kind.get((customer, kind))
        if runs is None or len(runs) < MIN_RUNS:
            return declared * DECLARED_FACTOR if declared else DEFAULT_RUN_SECONDS
        ordered = sorted(runs)
        return ordered[min(len(ordered) - 1, int(len(ordered) * RUN_TIME_QUANTILE))]
