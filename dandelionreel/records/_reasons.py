"""Why a job was not served in time, in one reason: where most of its time went."""

import enum

from dandelionreel.records._lives import CANCELLED, Life
from dandelionreel.records._stages import Stage
from dandelionreel.records._troubles import Reach, Span, Troubles

#: A job that takes more than this many times its objective is of no use to its caller.
LATEST = 3.0
#: Seconds that handing in, the first start and the store's answer may take together
#: without being why a job is late.
USUAL_SECONDS = 0.25


class Verdict(enum.Enum):
    """How a job was served; its value is shown."""

    IN_TIME = 'in time'
    LATE = 'late'
    TOO_LATE = 'too late'
    REFUSED = 'refused'
    OPEN = 'open'
    CANCELLED = 'cancelled'


class Reason(enum.Enum):
    """Why it was not in time; its value is shown."""

    STORE_NOT_ACCEPTED = 'the store was away: not accepted'
    STORE_NOT_STARTED = 'the store was away: not started'
    STORE_NOT_SHOWN = 'the store was away: end not shown'
    STORE_SLOW = 'the store was slow'
    ZONE_NOT_ACCEPTED = 'its zone was cut off: not accepted'
    ZONE_RUNS = 'it ran behind a cut'
    HOST_NOT_ACCEPTED = 'its host was without the store'
    ALL_DOWN = 'all hosts were down'
    TAKEOVER = 'the owner was replaced'
    RUNNER = 'its runner did not answer or was lost'
    FAILED_RUN = 'a run of it failed'
    STOPPED = 'it was stopped for others, or moved'
    QUOTA = "its account's quota"
    SHARE = "its account's share"
    WAITED = 'it waited for advice, seats or its gang'
    TURNED_AWAY = 'turned away for another cause'
    LONGER = 'it ran longer than declared'


NOT_ACCEPTED = {
    Reach.ALL: Reason.STORE_NOT_ACCEPTED,
    Reach.ZONE: Reason.ZONE_NOT_ACCEPTED,
    Reach.HOST: Reason.HOST_NOT_ACCEPTED,
}


def judge(life: Life) -> Verdict:
    """Return how a job was served, by its objective as it was declared."""
    if life.cancelled or life.state == CANCELLED:
        return Verdict.CANCELLED
    if life.accepted_at is None:
        return Verdict.REFUSED if life.refused_at else Verdict.OPEN
    if life.seconds is None:
        return Verdict.OPEN
    if life.objective is None or life.seconds <= life.objective:
        return Verdict.IN_TIME
    return Verdict.LATE if life.seconds <= LATEST * life.objective else Verdict.TOO_LATE


def find_reason(life: Life, troubles: Troubles, down: list[Span], last: float) -> Reason:
    """Return why a job was not in time; ``last`` is when the logs end."""
    sent = life.sent_at or last
    if life.accepted_at is None:
        return _why_not_accepted(sent, life.refused_at or last, troubles, down)
    accepted = life.accepted_at
    started = life.started_at or life.closed_at or last
    closed = life.closed_at or last
    shown = life.shown_at or closed
    spent = {
        'accepted': accepted - sent,
        'started': started - accepted,
        'shown': shown - closed,
    }
    longest = max(spent, key=lambda name: spent[name])
    if spent[longest] <= USUAL_SECONDS:
        return _why_long(life, troubles, down, Span(started, closed))
    if longest == 'accepted':
        return _why_not_accepted(sent, accepted, troubles, down)
    if longest == 'started':
        return _why_not_started(life, troubles, down, Span(accepted, started))
    reach = troubles.reach(closed, shown)
    return Reason.STORE_NOT_SHOWN if reach else Reason.STORE_SLOW


def _why_not_accepted(
    since: float,
    until: float,
    troubles: Troubles,
    down: list[Span],
) -> Reason:
    reach = troubles.reach(since, max(until, since + USUAL_SECONDS))
    if reach is not None:
        return NOT_ACCEPTED[reach]
    if _any_overlaps(down, since, until):
        return Reason.ALL_DOWN
    if _any_overlaps(troubles.takeovers, since, until):
        return Reason.TAKEOVER
    return Reason.TURNED_AWAY


def _why_not_started(
    life: Life,
    troubles: Troubles,
    down: list[Span],
    span: Span,
) -> Reason:
    if _any_overlaps(down, span.since, span.until):
        return Reason.ALL_DOWN
    if troubles.reach(span.since, span.until) is Reach.ALL:
        return Reason.STORE_NOT_STARTED
    if _any_overlaps(troubles.takeovers, span.since, span.until):
        return Reason.TAKEOVER
    return _why_held(life) or Reason.WAITED


def _why_held(life: Life) -> Reason | None:
    """Return what kept a job from starting that had tickets and seats to be had."""
    if Stage.HELD in life.mishaps:
        return Reason.QUOTA
    return Reason.SHARE if Stage.BEHIND in life.mishaps else None


def _why_long(life: Life, troubles: Troubles, down: list[Span], span: Span) -> Reason:
    if _any_overlaps(down, span.since, span.until):
        return Reason.ALL_DOWN
    if life.zones & troubles.cut_zones(span.since, span.until):
        return Reason.ZONE_RUNS
    mishap = _find_mishap(life)
    if mishap is not None:
        return mishap
    if troubles.reach(span.since, span.until) is Reach.ALL:
        return Reason.STORE_NOT_STARTED
    if _any_overlaps(troubles.takeovers, span.since, span.until):
        return Reason.TAKEOVER
    if Stage.HELD in life.mishaps:
        return Reason.QUOTA
    return Reason.LONGER


def _find_mishap(life: Life) -> Reason | None:
    """Return what happened to a job's runs that made it long."""
    if life.mishaps & {Stage.LOST, Stage.MISSING, Stage.UNANSWERED}:
        return Reason.RUNNER
    if life.failed_run:
        return Reason.FAILED_RUN
    return Reason.STOPPED if Stage.STOPPING in life.mishaps else None


def _any_overlaps(spans: list[Span], since: float, until: float) -> bool:
    return any(span.overlaps(since, until) for span in spans)
