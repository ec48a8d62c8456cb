"""When a run that was lost with its worker counts as a failure. No I/O.

Load pattern: an idempotent job crashes each worker that starts it. Its runs end with their
leases and never as failed, so its limit on failures was never reached: it was started again
for ever, and took all that ran beside it down each time. Workers are lost by chance as
well, so the first losses in a row are excused.
"""

from collections.abc import Sequence

from dandelionreel.jobs._job_projection import Attempt, Outcome

#: Losses in a row that count for nothing: two workers that are lost one after the other
#: under one job are chance more often than not.
EXCUSED_LAPSES = 2
#: Seconds in which they must have begun: a service outlives many workers in its months.
LAPSE_WINDOW_SECONDS = 600.0


def classify_lapse(outcome: Outcome, earlier: Sequence[Attempt], now: float) -> Outcome:
    """Return what an attempt came to, given the job's attempts before it.

    ``now`` is the time in seconds since the epoch. Attempts that never started say nothing.
    """
    if outcome is not Outcome.LAPSED:
        return outcome
    recent_losses = 0
    for attempt in reversed(earlier):
        if attempt.outcome is Outcome.NOT_STARTED:
            continue
        if attempt.outcome not in {Outcome.LAPSED, Outcome.FAILED}:
            break
        if attempt.intent_wall < now - LAPSE_WINDOW_SECONDS:
            break
        recent_losses += 1
    return Outcome.FAILED if recent_losses >= EXCUSED_LAPSES else outcome
