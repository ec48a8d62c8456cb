"""Which runners may run which step, as the policy service has said. No I/O.

The answer for a step never changes, its tickets expire. So the first question
names all runners that serve, and a later one only those known to be allowed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dandelionreel.cell.model import Permit, StepName

#: Seconds taken off a ticket's life: the start must arrive before it ends.
TICKET_MARGIN = 0.15


@dataclass
class StepTickets:
    """What is known for one step."""

    asked: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    ticket_by_runner: dict[str, str] = field(default_factory=dict)
    expires_at_by_runner: dict[str, float] = field(default_factory=dict)
    #: Questions that have not been answered yet.
    pending: int = 0
    #: How many questions have been answered, or have failed.
    answers: int = 0
    not_before: float = 0.0

    @property
    def is_pending(self) -> bool:
        """Return whether an answer is on its way."""
        return self.pending > 0

    def may_ask(self, now: float) -> bool:
        """Return whether a question may be put now: none is under way, none failed just now."""
        return not self.is_pending and now >= self.not_before

    def valid(self, now: float) -> dict[str, str]:
        """Return tickets by runner that a start may carry now."""
        return {
            runner: ticket
            for runner, ticket in self.ticket_by_runner.items()
            if self.expires_at_by_runner[runner] > now
        }


class TicketCache:
    """Tickets by step."""

    def __init__(self) -> None:
        """Start with none."""
        self._tickets_by_step: dict[StepName, StepTickets] = {}

    def of(self, step: StepName) -> StepTickets:
        """Return what is known for a step."""
        tickets = self._tickets_by_step.get(step)
        if tickets is None:
            tickets = StepTickets()
            self._tickets_by_step[step] = tickets
        return tickets

    def is_valid(self, step: StepName, runner: str, now: float) -> bool:
        """Return whether a start of a step on a runner may carry its ticket now."""
        return self.of(step).expires_at_by_runner.get(runner, 0.0) > now

    def note_answer(
        self,
        step: StepName,
        asked: Iterable[str],
        permits: Iterable[Permit],
        expires_at: float,
    ) -> None:
        """Keep an answer; its tickets are good until then (monotonic seconds)."""
        tickets = self.of(step)
        tickets.pending = max(0, tickets.pending - 1)
        tickets.answers += 1
        tickets.asked.update(asked)
        for permit in permits:
            tickets.allowed.add(permit.runner)
            tickets.ticket_by_runner[permit.runner] = permit.ticket
            tickets.expires_at_by_runner[permit.runner] = expires_at - TICKET_MARGIN

    def note_failure(self, step: StepName, not_before: float) -> None:
        """Ask again for the step, but not before then."""
        tickets = self.of(step)
        tickets.pending = max(0, tickets.pending - 1)
        tickets.answers += 1
        tickets.not_before = not_before

    def revoke(self, step: StepName, runner: str) -> None:
        """Forget a ticket that the runner did not take."""
        self.of(step).expires_at_by_runner[runner] = 0.0

    def drop_job(self, job: str) -> None:
        """Forget all steps of a job."""
        steps = [name for name in self._tickets_by_step if name.job == job]
        for step in steps:
            self._tickets_by_step.pop(step)
