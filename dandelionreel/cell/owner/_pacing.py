"""Decides what an owner that is short of processor time does less of. No I/O.

Load pattern: the owner has a fraction of a core. Its event loop then handles answers, heartbeats
and starts seconds late: a start relies on outdated knowledge, or is withdrawn because it could not
be sent in time, and the processor time for it is lost. A late owner does less at once and relies on
recent knowledge only. An owner that is in time is not limited.
"""

import math
from dataclasses import dataclass

#: The owner is late once its periodic loop has woken up later than this many seconds for
#: ``LATE_AFTER_SECONDS``.
LATE_DELAY_SECONDS = 0.2
LATE_AFTER_SECONDS = 1.0
#: A late owner is in time once the delay has been shorter than this for ``IN_TIME_AFTER_SECONDS``.
IN_TIME_DELAY_SECONDS = 0.1
IN_TIME_AFTER_SECONDS = 2.0
#: Maximum age in seconds of what is known of a runner's free capacity when a late owner starts a
#: task there.
MAX_KNOWLEDGE_AGE_SECONDS = 3.0
#: Minimum seconds between plans of a late owner, so that each one handles more changes.
LATE_PLAN_PAUSE_SECONDS = 0.15
#: Maximum number of starts that a late owner sends at once. With more, the last ones wait until
#: their tickets or the owner's authority have expired.
LATE_PENDING_STARTS = 12
#: Long-poll time in seconds of a runner without runs while the owner is late, less the delay: the
#: next answer has to be handled before ``MAX_KNOWLEDGE_AGE_SECONDS``.
LATE_IDLE_POLL_SECONDS = 2.4
#: Factor by which the pause between periodic checks is longer while the owner is late.
LATE_CHECK_FACTOR = 3.0
#: Seconds between two runs of optional work, such as load lines, while the owner is late.
LATE_OPTIONAL_WORK_SECONDS = 10.0
#: Seconds of lateness after which a host with at least ``LARGER_FACTOR`` times the cores is asked
#: to own the cell: a shorter lateness does not justify the gap of a handover.
HAND_OVER_AFTER_SECONDS = 3.0
LARGER_FACTOR = 2.0
#: Multiple of the delay that is added to a timeout: the request is sent late, and its answer is
#: read late.
TIMEOUT_DELAY_FACTOR = 2.0
#: Largest delay in seconds that is added to timeouts.
MAX_ADDED_DELAY_SECONDS = 0.3
#: Seconds over which the age of the oldest knowledge used is reported.
AGE_REPORT_SECONDS = 10.0
NEVER = float('-inf')


@dataclass(frozen=True)
class PacingFigures:
    """Figures for the metrics; ages and delays are in seconds."""

    is_late: bool = False
    delay: float = 0.0
    oldest_knowledge_used: float = 0.0
    held_back_starts: int = 0


class Pacing:
    """Whether the owner is late, and the limits that follow; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start in time."""
        self.is_late = False
        #: By how much the periodic loop woke up late at its latest wake-up.
        self.delay = 0.0
        #: The longest delay since the latest change between late and in time.
        self.longest_delay = 0.0
        #: Number of starts that were not sent because the knowledge they rely on is too old.
        self.held_back_starts = 0
        self._changed_at = NEVER
        self._over_since: float | None = None
        self._below_since: float | None = None
        self._optional_work_at = NEVER
        self._oldest_age = 0.0
        self._oldest_age_until = NEVER

    def record_delay(self, delay: float, now: float) -> bool:
        """Record by how much the loop woke up late; return whether ``is_late`` has changed."""
        self.delay = max(0.0, delay)
        self.longest_delay = max(self.longest_delay, self.delay)
        # The loop was due to wake up ``delay`` earlier, so the delay has lasted since then.
        due_at = now - self.delay
        self._over_since = _since(self._over_since, self.delay > LATE_DELAY_SECONDS, due_at)
        self._below_since = _since(self._below_since, self.delay < IN_TIME_DELAY_SECONDS, now)
        since = self._below_since if self.is_late else self._over_since
        needed = IN_TIME_AFTER_SECONDS if self.is_late else LATE_AFTER_SECONDS
        if since is None or now - since < needed:
            return False
        self.is_late = not self.is_late
        self.longest_delay = self.delay
        self._changed_at = now
        return True

    def seconds_since_change(self, now: float) -> float:
        """Return how long the owner has been late or in time; infinite if it never was late."""
        return now - self._changed_at

    @property
    def max_knowledge_age(self) -> float:
        """Return the maximum age of what is known of a runner that gets a start."""
        return MAX_KNOWLEDGE_AGE_SECONDS if self.is_late else math.inf

    @property
    def answer_delay(self) -> float:
        """Return how long an answer that is handled now may have waited; 0 if in time."""
        return self.delay if self.is_late else 0.0

    def knowledge_age(self, known_at: float, now: float) -> float:
        """Return the maximum age of what an answer said that was handled at ``known_at``.

        The answer may have waited for the event loop as long as the loop is late.
        """
        return now - known_at + self.answer_delay

    def may_start(self, known_at: float, now: float) -> bool:
        """Return whether a runner is known well enough for a start; count starts held back."""
        age = self.knowledge_age(known_at, now)
        if age > self.max_knowledge_age:
            self.held_back_starts += 1
            return False
        if math.isfinite(age) and (age >= self._oldest_age or now >= self._oldest_age_until):
            self._oldest_age = age
            self._oldest_age_until = now + AGE_REPORT_SECONDS
        return True

    def plan_pause(self, usual: float) -> float:
        """Return the seconds between two plans."""
        return max(usual, LATE_PLAN_PAUSE_SECONDS) if self.is_late else usual

    def max_pending_starts(self, usual: int) -> int:
        """Return how many starts may be pending."""
        return min(usual, LATE_PENDING_STARTS) if self.is_late else usual

    def idle_poll_seconds(self, usual: float) -> float:
        """Return the long-poll time of a runner without runs."""
        return max(usual, LATE_IDLE_POLL_SECONDS - self.delay) if self.is_late else usual

    def check_seconds(self, usual: float) -> float:
        """Return the seconds between two periodic checks."""
        return usual * LATE_CHECK_FACTOR if self.is_late else usual

    def extend_timeout(self, usual: float) -> float:
        """Return a timeout that allows for the time until an answer is read."""
        if not self.is_late:
            return usual
        return usual + TIMEOUT_DELAY_FACTOR * min(MAX_ADDED_DELAY_SECONDS, self.delay)

    def may_do_optional_work(self, now: float) -> bool:
        """Return whether work that no job depends on may be done now."""
        if self.is_late and now < self._optional_work_at + LATE_OPTIONAL_WORK_SECONDS:
            return False
        self._optional_work_at = now
        return True

    def should_hand_over(self, now: float) -> bool:
        """Return whether the owner has been late for so long that a larger host should own."""
        return self.is_late and self.seconds_since_change(now) >= HAND_OVER_AFTER_SECONDS

    def figures(self, now: float) -> PacingFigures:
        """Return the figures for the metrics."""
        oldest = self._oldest_age if now < self._oldest_age_until else 0.0
        return PacingFigures(self.is_late, self.delay, oldest, self.held_back_starts)


def _since(former: float | None, applies: bool, now: float) -> float | None:
    """Return since when a condition applies, ``None`` if it does not."""
    if not applies:
        return None
    return now if former is None else former
