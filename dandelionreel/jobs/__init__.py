"""Jobs: accepted into the log, placed on workers by the zone's dispatcher, finalized once."""

from dandelionreel.jobs._dispatcher import Dispatcher
from dandelionreel.jobs._job_api import JobApi, zone_of_job
from dandelionreel.jobs._job_projection import Attempt, Job, JobProjection, JobState, Outcome
from dandelionreel.jobs._job_refresher import JobRefresher
from dandelionreel.jobs._metrics import JobMetrics
from dandelionreel.jobs._mover import JobMover, MoveBody, MoveResult
from dandelionreel.jobs._order_sender import OrderSender
from dandelionreel.jobs._quota_shares import QuotaShareBalancer
from dandelionreel.jobs._records import (
    AttemptEnded,
    AttemptIntent,
    JobAccepted,
    JobArrived,
    JobMoved,
    JobRecord,
    JobResolved,
    JobsCancelled,
    JobSnapshot,
)
from dandelionreel.jobs._spec import JobSpec, JobSpecError, load_job_spec
from dandelionreel.jobs._tracked_attempts import AttemptTracker, TrackedAttempt
from dandelionreel.jobs._views import (
    CancelBody,
    CancelResult,
    JobPage,
    JobView,
    ResolveBody,
    view_job,
)

__all__ = (
    'Attempt',
    'AttemptEnded',
    'AttemptIntent',
    'AttemptTracker',
    'CancelBody',
    'CancelResult',
    'Dispatcher',
    'Job',
    'JobAccepted',
    'JobApi',
    'JobArrived',
    'JobMetrics',
    'JobMoved',
    'JobMover',
    'JobPage',
    'JobProjection',
    'JobRecord',
    'JobRefresher',
    'JobResolved',
    'JobSnapshot',
    'JobSpec',
    'JobSpecError',
    'JobState',
    'JobView',
    'JobsCancelled',
    'MoveBody',
    'MoveResult',
    'OrderSender',
    'Outcome',
    'QuotaShareBalancer',
    'ResolveBody',
    'TrackedAttempt',
    'load_job_spec',
    'view_job',
    'zone_of_job',
)
