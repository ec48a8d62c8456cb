"""Knows since when each waiting step has been ready, and what a gang waits for. No I/O.

Load pattern: a gang passes several waits one after the other (advice, tickets, reservations, faster
runners), each with its own limit, while most of the cell is idle. Only their sum tells that its
start is overdue.
"""

import enum
import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._waiting_steps import Candidate
from dandelionreel.cell.model import StepName

#: Seconds after which a step that is ready, but has not started, is overdue.
OVERDUE_SECONDS = 1.0
#: Steps for which one plan searches the free slots, the least recently searched first: a search
#: for each would cost runners times steps.
MAX_SEARCHES = 10
#: Seconds between two searches for the same step.
SEARCH_INTERVAL_SECONDS = 0.1
#: Seconds between two reports of the same gang, and the gangs in the reports of one plan.
REPORT_INTERVAL_SECONDS = 4.0
MAX_REPORTED_GANGS = 5


class WaitReason(enum.Enum):
    """What a gang that is ready waits for; the value is logged."""

    QUOTA = 'the quota of its account'
    NOT_STORED = 'its job to be stored'
    START_LIMIT = 'other starts to be sent'
    FORMER_RUN = 'former runs of its members'
    CRASHES = 'a pause after crashes of its runners'
    NO_RUNNER = 'a usable runner'
    NO_ADVICE = 'an answer of the policy service'
    NO_TICKETS = 'new tickets for allowed runners'
    RESERVATION_LIMIT = 'a reservation, as too many gangs have one'
    FEW_KNOWN_RUNNERS = 'more runners that are known to be allowed'
    NO_CAPACITY = 'capacity on the allowed runners'
    RESERVED = 'runners that are reserved for other gangs'
    FASTER_RUNNERS = 'faster runners'


@dataclass(frozen=True)
class GangDelay:
    """A gang that is ready and has not started, with what is known for it.

    ``seconds`` counts from when it became ready. ``reserved_in`` are the seconds until its
    reservation starts, ``None`` without one. If it ``yields``, it was postponed too often,
    and overdue steps may start on its runners.
    """

    step: StepName
    reason: WaitReason
    tasks: int
    seconds: float = 0.0
    asked: int = 0
    allowed: int = 0
    valid_tickets: int = 0
    pending_requests: int = 0
    #: Slots that are free now: on allowed runners, with tickets, and on runners not asked about.
    allowed_slots: int = 0
    ticketed_slots: int = 0
    unasked_slots: int = 0
    reserved_in: float | None = None
    yields: bool = False


@dataclass
class _Delay:
    """Since when a step has been ready, and its last report and search (monotonic seconds)."""

    since: float
    searched_at: float = float('-inf')
    reported_at: float = float('-inf')


class StartDelays:
    """The steps of a cell that are ready and have not started."""

    def __init__(self) -> None:
        """Start without steps."""
        self._delay_by_step: dict[StepName, _Delay] = {}
        self._now = 0.0
        self._reports_left = 0
        self._searched_steps: set[StepName] = set()

    def begin_plan(self, candidates: list[Candidate], now: float) -> None:
        """Begin a plan: steps that are no longer candidates are forgotten."""
        previous = self._delay_by_step
        self._delay_by_step = {
            one.step.name: previous.get(one.step.name) or _Delay(now) for one in candidates
        }
        self._now = now
        self._reports_left = MAX_REPORTED_GANGS
        self._searched_steps = set()

    def seconds(self, step: StepName) -> float:
        """Return for how long a step has been ready, in seconds."""
        delay = self._delay_by_step.get(step)
        return 0.0 if delay is None else self._now - delay.since

    def is_overdue(self, step: StepName) -> bool:
        """Return whether a step should have started by now."""
        return self.seconds(step) >= OVERDUE_SECONDS

    def choose_searches(self, candidates: Iterable[Candidate]) -> None:
        """Choose the steps on queues with advice that have not been searched for the longest."""
        due = []
        for candidate in candidates:
            delay = self._delay_by_step[candidate.step.name]
            needs_advice = candidate.queue is not None and candidate.queue.advice is not None
            if needs_advice and self._now >= delay.searched_at + SEARCH_INTERVAL_SECONDS:
                due.append((delay.searched_at, candidate.step.name))
        self._searched_steps = {name for _, name in heapq.nsmallest(MAX_SEARCHES, due)}
        for name in self._searched_steps:
            self._delay_by_step[name].searched_at = self._now

    def may_search(self, step: StepName) -> bool:
        """Return whether this plan searches the free slots for a step."""
        return step in self._searched_steps

    def take_report(self, step: StepName) -> bool:
        """Return whether a step that waits is due for a report, and count the report."""
        delay = self._delay_by_step.get(step)
        if delay is None or not self._reports_left or not self.is_overdue(step):
            return False
        if self._now < delay.reported_at + REPORT_INTERVAL_SECONDS:
            return False
        delay.reported_at = self._now
        self._reports_left -= 1
        return True
