"""Runners that this owner has not reached in its term. No I/O.

Tasks of earlier owners may run there. The store names these runners, so that a successor waits
there for leases of earlier owners only. Otherwise that wait would start anew with each owner. A
runner that is named gets no lease and no start until the store names it no longer.
"""

from dandelionreel.cell.decisions import NEVER, Cell

#: Seconds from the start of a term until runners are named: longer than the first poll of a runner
#: that answers.
NAMED_AFTER_SECONDS = 0.7


class UnreachedRunners:
    """The runners of ``cell`` that the store names as not reached, or may name."""

    def __init__(self, cell: Cell, now: float) -> None:
        """Name nothing yet in the term that begins ``now`` (monotonic seconds)."""
        self._cell = cell
        self._named_from = now + NAMED_AFTER_SECONDS
        #: Runners without leases of this owner: named in a record that is or may be stored.
        self.withheld: frozenset[str] = frozenset()

    def name_runners(self, now: float) -> frozenset[str]:
        """Return the runners to name in the next record, and withhold leases from them."""
        if now < self._named_from:
            return frozenset()
        silent = {state.id for state in self._cell.runner_by_id.values() if state.suspect}
        named = frozenset(
            runner
            for runner in self._cell.unseen_runners | silent
            if not self._has_answered(runner)
        )
        self.withheld |= named
        for runner in named:
            state = self._cell.runner_by_id.get(runner)
            if state is not None:
                state.recorded = False
        return named

    def record_stored(self, named: frozenset[str]) -> None:
        """Note that the newest record in the store names just these runners."""
        self.withheld = named

    def _has_answered(self, runner: str) -> bool:
        """Return whether a runner has answered, so that it may have a lease of this owner."""
        state = self._cell.runner_by_id.get(runner)
        return state is not None and state.answered_at != NEVER
