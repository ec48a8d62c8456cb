"""Caches which runners the policy service allows for a step, and the tickets for them. No I/O.

A ticket from the policy service lets a step start on one runner. Whether a runner is allowed never
changes, but its ticket expires. After the first requests, renewals therefore name only runners
that are known to be allowed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dandelionreel.cell.model import Permit, StepName

#: Seconds by which a ticket is treated as expired early: the start must arrive at the runner before
#: the ticket expires.
TICKET_MARGIN = 0.15


@dataclass
class StepTickets:
    """The answers of the policy service for one step."""

    asked_runners: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    ticket_by_runner: dict[str, str] = field(default_factory=dict)
    expires_at_by_runner: dict[str, float] = field(default_factory=dict)
    #: Number of requests without an answer so far.
    pending: int = 0
    #: Number of requests that were answered or failed.
    answers: int = 0
    not_before: float = 0.0
    #: Number of requests in a row that failed.
    failures: int = 0
    #: When the answers of the latest requests should have arrived.
    answers_due_at: float = 0.0

    @property
    def is_pending(self) -> bool:
        """Return whether a request is in progress."""
        return self.pending > 0

    def may_request(self, now: float) -> bool:
        """Return whether a request may be sent: none is pending and none failed recently."""
        return not self.is_pending and now >= self.not_before

    def may_request_again(self, now: float) -> bool:
        """Return whether a request may be sent beside one whose answer is late."""
        return now >= self.not_before and (not self.is_pending or now >= self.answers_due_at)

    def valid(self, now: float) -> dict[str, str]:
        """Return the tickets that are valid at ``now``, by runner."""
        return {
            runner: ticket
            for runner, ticket in self.ticket_by_runner.items()
            if self.expires_at_by_runner[runner] > now
        }


class TicketCache:
    """The cached answers and tickets of all steps."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._tickets_by_step: dict[StepName, StepTickets] = {}

    def of(self, step: StepName) -> StepTickets:
        """Return the entry of a step; it is created if missing."""
        tickets = self._tickets_by_step.get(step)
        if tickets is None:
            tickets = StepTickets()
            self._tickets_by_step[step] = tickets
        return tickets

    def is_valid(self, step: StepName, runner: str, now: float) -> bool:
        """Return whether the ticket for a step on a runner is valid at ``now``."""
        return self.of(step).expires_at_by_runner.get(runner, 0.0) > now

    def record_advice(
        self,
        step: StepName,
        asked_runners: Iterable[str],
        permits: Iterable[Permit],
        expires_at: float,
    ) -> None:
        """Store an answer whose tickets expire at ``expires_at`` (monotonic seconds)."""
        tickets = self.of(step)
        tickets.pending = max(0, tickets.pending - 1)
        tickets.answers += 1
        tickets.failures = 0
        tickets.asked_runners.update(asked_runners)
        for permit in permits:
            tickets.allowed.add(permit.runner)
            tickets.ticket_by_runner[permit.runner] = permit.ticket
            tickets.expires_at_by_runner[permit.runner] = expires_at - TICKET_MARGIN

    def record_failed_request(self, step: StepName, not_before: float) -> None:
        """Note that a request failed; the next one is sent at ``not_before`` at the earliest."""
        tickets = self.of(step)
        tickets.pending = max(0, tickets.pending - 1)
        tickets.answers += 1
        tickets.failures += 1
        tickets.not_before = not_before

    def revoke(self, step: StepName, runner: str) -> None:
        """Invalidate a ticket that the runner refused."""
        self.of(step).expires_at_by_runner[runner] = 0.0

    def drop_steps(self, steps: Iterable[StepName]) -> None:
        """Remove steps of which no task will start again."""
        for step in steps:
            self._tickets_by_step.pop(step, None)

    def drop_job(self, job: str) -> None:
        """Remove all steps of a job."""
        steps = [name for name in self._tickets_by_step if name.job == job]
        for step in steps:
            self._tickets_by_step.pop(step)
