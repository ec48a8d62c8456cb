"""Finds the main reason why a job was late: where most of its time was spent."""

import enum

from dandelionreel.records._event_kinds import EventKind
from dandelionreel.records._job_histories import CANCELLED, JobHistory
from dandelionreel.records._outages import Outages, OutageScope, TimeSpan

#: A job that takes longer than this many times its objective is useless to its caller.
TOO_LATE_FACTOR = 3.0
#: Submission, first start and storing of the end are no reason for lateness if each takes
#: at most this many seconds.
NORMAL_DELAY_SECONDS = 0.25


class JobVerdict(enum.Enum):
    """How a job was served; the value is shown."""

    IN_TIME = 'in time'
    LATE = 'late'
    TOO_LATE = 'too late'
    REFUSED = 'refused'
    OPEN = 'open'
    CANCELLED = 'cancelled'


class MissReason(enum.Enum):
    """Why a job was not in time; the value is shown."""

    STORE_NOT_ACCEPTED = 'the store was away: not accepted'
    STORE_NOT_STARTED = 'the store was away: not started'
    STORE_END_NOT_SHOWN = 'the store was away: end not shown'
    STORE_SLOW = 'the store was slow'
    ZONE_NOT_ACCEPTED = 'its zone was cut off: not accepted'
    ZONE_PARTITIONED = 'it ran behind a cut'
    HOST_NOT_ACCEPTED = 'its host was without the store'
    ALL_HOSTS_DOWN = 'all hosts were down'
    TAKEOVER = 'the owner was replaced'
    RUNNER = 'its runner did not answer or was lost'
    FAILED_RUN = 'a run of it failed'
    STOPPED = 'it was stopped for others, or moved'
    QUOTA = "its account's quota"
    SHARE = "its account's share"
    START_DELAYED = 'it waited for advice, seats or its gang'
    OVERLOAD_REFUSAL = 'refused: too much work was waiting'
    QUOTA_REFUSAL = "refused: its account's quota was in use"
    OTHER_REFUSAL = 'turned away for another cause'
    RAN_LONGER = 'it ran longer than declared'


NOT_ACCEPTED = {
    OutageScope.ALL: MissReason.STORE_NOT_ACCEPTED,
    OutageScope.ZONE: MissReason.ZONE_NOT_ACCEPTED,
    OutageScope.HOST: MissReason.HOST_NOT_ACCEPTED,
}


def classify_job(history: JobHistory) -> JobVerdict:
    """Return how a job was served, compared with its declared objective."""
    if history.cancelled or history.state == CANCELLED:
        return JobVerdict.CANCELLED
    if history.accepted_at is None:
        return JobVerdict.REFUSED if history.refused_at else JobVerdict.OPEN
    if history.seconds is None:
        return JobVerdict.OPEN
    if history.objective is None or history.seconds <= history.objective:
        return JobVerdict.IN_TIME
    return (
        JobVerdict.LATE
        if history.seconds <= TOO_LATE_FACTOR * history.objective
        else JobVerdict.TOO_LATE
    )


def find_miss_reason(
    history: JobHistory, outages: Outages, total_outages: list[TimeSpan], log_end: float
) -> MissReason:
    """Return why a job was not in time; ``log_end`` is the time of the last line."""
    submitted = history.submitted_at or log_end
    if history.accepted_at is None:
        return _find_load_refusal(history) or _explain_not_accepted(
            submitted, history.refused_at or log_end, outages, total_outages
        )
    accepted = history.accepted_at
    started = history.started_at or history.finished_at or log_end
    finished = history.finished_at or log_end
    visible = history.visible_at or finished
    seconds_by_phase = {
        'accepted': accepted - submitted,
        'started': started - accepted,
        'shown': visible - finished,
    }
    longest_phase = max(seconds_by_phase, key=lambda name: seconds_by_phase[name])
    if seconds_by_phase[longest_phase] <= NORMAL_DELAY_SECONDS:
        return _explain_long_run(history, outages, total_outages, TimeSpan(started, finished))
    if longest_phase == 'accepted':
        return _find_load_refusal(history) or _explain_not_accepted(
            submitted, accepted, outages, total_outages
        )
    if longest_phase == 'started':
        return _explain_not_started(history, outages, total_outages, TimeSpan(accepted, started))
    scope = outages.find_store_outage_scope(finished, visible)
    return MissReason.STORE_END_NOT_SHOWN if scope else MissReason.STORE_SLOW


def _find_load_refusal(history: JobHistory) -> MissReason | None:
    """Return why the owner refused a job as useless, ``None`` if it did not."""
    if EventKind.REFUSED_FOR_LOAD in history.incidents:
        return MissReason.OVERLOAD_REFUSAL
    return MissReason.QUOTA_REFUSAL if EventKind.REFUSED_FOR_QUOTA in history.incidents else None


def _explain_not_accepted(
    since: float,
    until: float,
    outages: Outages,
    total_outages: list[TimeSpan],
) -> MissReason:
    scope = outages.find_store_outage_scope(since, max(until, since + NORMAL_DELAY_SECONDS))
    if scope is not None:
        return NOT_ACCEPTED[scope]
    if _any_span_overlaps(total_outages, since, until):
        return MissReason.ALL_HOSTS_DOWN
    if _any_span_overlaps(outages.takeovers, since, until):
        return MissReason.TAKEOVER
    return MissReason.OTHER_REFUSAL


def _explain_not_started(
    history: JobHistory,
    outages: Outages,
    total_outages: list[TimeSpan],
    span: TimeSpan,
) -> MissReason:
    if _any_span_overlaps(total_outages, span.since, span.until):
        return MissReason.ALL_HOSTS_DOWN
    if outages.find_store_outage_scope(span.since, span.until) is OutageScope.ALL:
        return MissReason.STORE_NOT_STARTED
    if _any_span_overlaps(outages.takeovers, span.since, span.until):
        return MissReason.TAKEOVER
    return _find_account_limit(history) or MissReason.START_DELAYED


def _find_account_limit(history: JobHistory) -> MissReason | None:
    """Return the account limit that kept a job from starting, ``None`` without one."""
    if EventKind.HELD_BY_QUOTA in history.incidents:
        return MissReason.QUOTA
    return MissReason.SHARE if EventKind.BEYOND_SHARE in history.incidents else None


def _explain_long_run(
    history: JobHistory, outages: Outages, total_outages: list[TimeSpan], span: TimeSpan
) -> MissReason:
    if _any_span_overlaps(total_outages, span.since, span.until):
        return MissReason.ALL_HOSTS_DOWN
    if history.zones & outages.find_partitioned_zones(span.since, span.until):
        return MissReason.ZONE_PARTITIONED
    incident = _find_run_incident(history)
    if incident is not None:
        return incident
    if outages.find_store_outage_scope(span.since, span.until) is OutageScope.ALL:
        return MissReason.STORE_NOT_STARTED
    if _any_span_overlaps(outages.takeovers, span.since, span.until):
        return MissReason.TAKEOVER
    if EventKind.HELD_BY_QUOTA in history.incidents:
        return MissReason.QUOTA
    return MissReason.RAN_LONGER


def _find_run_incident(history: JobHistory) -> MissReason | None:
    """Return the incident that made a job's runs take longer, ``None`` without one."""
    if history.incidents & {EventKind.RUN_LOST, EventKind.RUN_MISSING, EventKind.START_UNANSWERED}:
        return MissReason.RUNNER
    if history.failed_run:
        return MissReason.FAILED_RUN
    return MissReason.STOPPED if EventKind.STOPPING in history.incidents else None


def _any_span_overlaps(spans: list[TimeSpan], since: float, until: float) -> bool:
    return any(span.overlaps(since, until) for span in spans)
