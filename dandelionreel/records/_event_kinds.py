"""Classifies log lines by their text."""

import enum
import re


class EventKind(enum.Enum):
    """The kind of a log event; the value is shown."""

    ACCEPTED = 'accepted'
    ALREADY_ACCEPTED = 'known'
    REFUSED = 'refused'
    IN_DOUBT = 'doubtful'
    CANCELLED = 'cancelled'
    WAITING = 'waiting'
    STALLED = 'no progress'
    HELD_BY_QUOTA = 'held by its quota'
    BEYOND_SHARE = 'beyond its share'
    REFUSED_FOR_LOAD = 'refused for load'
    REFUSED_FOR_QUOTA = 'refused for quota'
    START_SENT = 'asked'
    START_UNANSWERED = 'unanswered'
    START_ACCEPTED = 'taken'
    START_REFUSED = 'turned away'
    RUNS_LISTED = 'found'
    RUN_ENDED = 'ended'
    END_STORED = 'noted'
    END_NOT_STORED = 'not noted'
    STOPPING = 'stopping'
    STOP_ACCEPTED = 'stop taken'
    RUN_MISSING = 'missing'
    JOB_FINISHED = 'closed'
    TAKEOVER = 'taken over'
    OWNERSHIP = 'ownership'
    RUNNER_GONE = 'lapsed'
    RUN_LOST = 'lost'
    RUNNER = 'runner'
    STORE = 'store'
    HOST = 'host'
    OTHER = 'other'


#: Patterns of log texts, specific ones first. A text that matches none, such as one of a
#: newer version, gets the kind of the part that logged it.
_KIND_PATTERNS = tuple(
    (re.compile(pattern), kind)
    for pattern, kind in (
        (r'jobs: POST \S+ accepted before\.', EventKind.ALREADY_ACCEPTED),
        (r'jobs: POST \S+ 2\d\d by ', EventKind.ACCEPTED),
        ('jobs: (POST|DELETE) .* may be stored', EventKind.IN_DOUBT),
        (r'jobs: DELETE \S+ 2\d\d by ', EventKind.CANCELLED),
        ('jobs: (POST|DELETE) ', EventKind.REFUSED),
        (r'jobs: job \S+ is (completed|failed|cancelled)\.', EventKind.JOB_FINISHED),
        (r'placement: job \S+ waits for its account', EventKind.HELD_BY_QUOTA),
        (r'jobs: job \S+ is beyond its account', EventKind.BEYOND_SHARE),
        (r'jobs: job \S+ is refused for overload', EventKind.REFUSED_FOR_LOAD),
        (r'jobs: job \S+ is refused for quota', EventKind.REFUSED_FOR_QUOTA),
        (r'placement: \d+ of \d+ runners are allowed', EventKind.WAITING),
        ('placement: no advice by ', EventKind.WAITING),
        (r'placement: advice by \S+ is overdue', EventKind.WAITING),
        (r'placement: a request for advice for job \S+ failed', EventKind.WAITING),
        ('placement: starts a task on ', EventKind.START_SENT),
        ('placement: a start was not answered', EventKind.START_UNANSWERED),
        ('placement: a start was refused', EventKind.START_REFUSED),
        ('placement: .* has taken a start', EventKind.START_ACCEPTED),
        ('placement: .* has taken a stop', EventKind.STOP_ACCEPTED),
        ('placement: (stops|stopped|moves) ', EventKind.STOPPING),
        ('workers: a run has ended ', EventKind.RUN_ENDED),
        (r'workers: ends on \S+ stored', EventKind.END_STORED),
        (r'workers: ends on \S+ ', EventKind.END_NOT_STORED),
        ('workers: .* does not have a run', EventKind.RUN_MISSING),
        (r'workers: found \d+ tasks on ', EventKind.RUNS_LISTED),
        (r'workers: the leases on \S+ have run out', EventKind.RUNNER_GONE),
        (r'workers: \S+ has ended', EventKind.RUNNER_GONE),
        (r'workers: \S+ has taken the place of ', EventKind.RUNNER_GONE),
        (r'placement: job \S+ makes no progress', EventKind.STALLED),
        (r'placement: a gang of job \S+ is ready and waits for ', EventKind.WAITING),
        ('workers: a run was lost with ', EventKind.RUN_LOST),
        (r'workers: \S+ has crashed under a task', EventKind.RUN_LOST),
        ('ownership: owns the cell', EventKind.TAKEOVER),
    )
)
_KIND_BY_PART = {
    'ownership': EventKind.OWNERSHIP,
    'workers': EventKind.RUNNER,
    'log': EventKind.STORE,
    'life': EventKind.HOST,
}


def classify_event(text: str) -> EventKind:
    """Return the kind of a log line with this text."""
    for pattern, kind in _KIND_PATTERNS:
        if pattern.match(text):
            return kind
    return _KIND_BY_PART.get(text.partition(':')[0], EventKind.OTHER)
