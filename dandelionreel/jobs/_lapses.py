"""Decides when an attempt that was lost with its worker counts as a failure. No I/O.

An idempotent job may crash each worker that starts it. Its attempts end with their leases
and not as failed, so without this rule it never reaches its limit of failures: it is
restarted forever, and each time takes down all tasks on that worker. Workers are also lost
for other reasons, so the first losses in a row don't count.
"""

from collections.abc import Sequence

from dandelionreel.jobs._job_projection import Attempt, Outcome

#: Losses in a row that don't count as failures: two in a row are more often chance than
#: the job's fault.
EXCUSED_LAPSES = 2
#: Only attempts that started within this time count: a service that runs for months
#: outlives many workers.
LAPSE_WINDOW_SECONDS = 600.0


def classify_lapse(outcome: Outcome, earlier: Sequence[Attempt], now: float) -> Outcome:
    """Return an attempt's outcome, given the job's earlier attempts.

    ``now`` is in Unix time. Attempts that never started are skipped.
    """
    if outcome is not Outcome.LAPSED:
        return outcome
    recent_losses = 0
    for attempt in reversed(earlier):
        if attempt.outcome is Outcome.NOT_STARTED:
            continue
        if attempt.outcome not in {Outcome.LAPSED, Outcome.FAILED}:
            break
        if attempt.intent_written_at < now - LAPSE_WINDOW_SECONDS:
            break
        recent_losses += 1
    return Outcome.FAILED if recent_losses >= EXCUSED_LAPSES else outcome
