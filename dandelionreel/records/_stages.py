"""Which part of a job's life a line tells of, by its sentence."""

import enum
import re


class Stage(enum.Enum):
    """What a line tells; its value is shown."""

    ACCEPTED = 'accepted'
    KNOWN = 'known'
    REFUSED = 'refused'
    DOUBTFUL = 'doubtful'
    CANCELLED = 'cancelled'
    WAITING = 'waiting'
    STALLED = 'no progress'
    HELD = 'held by its quota'
    BEHIND = 'beyond its share'
    ASKED = 'asked'
    UNANSWERED = 'unanswered'
    TAKEN = 'taken'
    TURNED_AWAY = 'turned away'
    FOUND = 'found'
    ENDED = 'ended'
    NOTED = 'noted'
    SHOWN = 'shown'
    UNNOTED = 'not noted'
    STOPPING = 'stopping'
    STOPPED = 'stop taken'
    MISSING = 'missing'
    CLOSED = 'closed'
    TAKEN_OVER = 'taken over'
    OWNERSHIP = 'ownership'
    LAPSED = 'lapsed'
    LOST = 'lost'
    RUNNER = 'runner'
    STORE = 'store'
    HOST = 'host'
    OTHER = 'other'


#: Sentences, the more special ones first. What a later version of the program writes
#: and this table does not name is shown as its part's.
_SENTENCES = tuple(
    (re.compile(pattern), stage)
    for pattern, stage in (
        (r'jobs: POST \S+ accepted before\.', Stage.KNOWN),
        (r'jobs: POST \S+ 2\d\d by ', Stage.ACCEPTED),
        ('jobs: (POST|DELETE) .* may be stored', Stage.DOUBTFUL),
        (r'jobs: DELETE \S+ 2\d\d by ', Stage.CANCELLED),
        ('jobs: (POST|DELETE) ', Stage.REFUSED),
        (r'jobs: job \S+ is (completed|failed|cancelled)\.', Stage.CLOSED),
        (r'placement: job \S+ waits for its account', Stage.HELD),
        (r'jobs: job \S+ is beyond its account', Stage.BEHIND),
        (r'placement: \d+ of \d+ runners are allowed', Stage.WAITING),
        ('placement: no advice by ', Stage.WAITING),
        ('placement: starts a task on ', Stage.ASKED),
        ('placement: a start was not answered', Stage.UNANSWERED),
        ('placement: a start was refused', Stage.TURNED_AWAY),
        ('placement: .* has taken a start', Stage.TAKEN),
        ('placement: .* has taken a stop', Stage.STOPPED),
        ('placement: (stops|stopped|moves) ', Stage.STOPPING),
        ('workers: a run has ended ', Stage.ENDED),
        (r'workers: ends on \S+ stored', Stage.NOTED),
        ('jobs: shown as complete', Stage.SHOWN),
        (r'workers: ends on \S+ ', Stage.UNNOTED),
        ('workers: .* does not have a run', Stage.MISSING),
        (r'workers: found \d+ tasks on ', Stage.FOUND),
        (r'workers: the leases on \S+ have run out', Stage.LAPSED),
        (r'workers: \S+ has ended', Stage.LAPSED),
        (r'workers: \S+ has taken the place of ', Stage.LAPSED),
        (r'placement: job \S+ makes no progress', Stage.STALLED),
        ('workers: a run was lost with ', Stage.LOST),
        (r'workers: \S+ has crashed under a task', Stage.LOST),
        ('ownership: owns the cell', Stage.TAKEN_OVER),
    )
)
_STAGE_BY_PART = {
    'ownership': Stage.OWNERSHIP,
    'workers': Stage.RUNNER,
    'log': Stage.STORE,
    'life': Stage.HOST,
}


def find_stage(text: str) -> Stage:
    """Return what a line with that text tells."""
    for pattern, stage in _SENTENCES:
        if pattern.match(text):
            return stage
    return _STAGE_BY_PART.get(text.partition(':')[0], Stage.OTHER)
