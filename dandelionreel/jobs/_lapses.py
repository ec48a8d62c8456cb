"""Decides when an attempt that was lost with its worker counts as a failure. No I/O.

An idempotent job may crash every worker that starts it. Its attempts then end as lapsed,
when their leases expire, and not as failed. Without this rule such a job never reaches its
limit of failures: it is restarted forever, and each time all tasks on its worker are lost.
Workers are also lost for other reasons, so the first lapses in a row don't count.
"""

from collections.abc import Sequence

from dandelionreel.jobs._job_projection import Attempt, Outcome

#: Lapses in a row that don't count as failures: two in a row are more often chance than
#: the job's fault.
EXCUSED_LAPSES = 2
#: Only earlier attempts that started within this time count, because a service that runs
#: for months loses many workers.
LAPSE_WINDOW_SECONDS = 600.0


def classify_lapse(outcome: Outcome, earlier: Sequence[Attempt], now: float) -> Outcome:
    """Return the outcome of an attempt; a lapse after several recent ones is a failure.

    ``earlier`` are the job's earlier attempts, of which those that never started
    are skipped. ``now`` is in Unix time.
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
