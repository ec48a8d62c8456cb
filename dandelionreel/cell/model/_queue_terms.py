"""The terms of a queue as a submission has them, for an owner that has never read the queue."""

from dandelionreel.cell.model._model import AdvicePolicy, Queue
from dandelionreel.cell.model._records import QueueTerms, Submission

#: Terms of another writer are bounded, as those of the operator are.
MAX_SECONDS = 1e9


def make_terms(queue: Queue) -> QueueTerms:
    """Return the terms of a queue."""
    policy = queue.advice
    advice = None
    if policy is not None:
        advice = (policy.decision_seconds, policy.seconds_per_runner, policy.valid_seconds)
    return QueueTerms(queue.priority, queue.max_attempts, queue.slack, queue.latency, advice)


def make_queue(submission: Submission) -> Queue | None:
    """Return the queue by the terms of a submission, ``None`` if it has none.

    Clients cannot reach it: it has no host and no path.
    """
    terms = submission.terms
    if terms is None:
        return None
    advice = None if terms.advice is None else AdvicePolicy(*map(_bound, terms.advice))
    return Queue(
        name=submission.queue,
        host='',
        path_prefix='',
        service=submission.service,
        priority=max(0, terms.priority),
        max_attempts=max(1, terms.max_attempts),
        slack=_bound(terms.slack),
        latency=_bound(terms.latency),
        timeout=0.0,
        advice=advice,
    )


def _bound(amount: float) -> float:
    return min(MAX_SECONDS, max(0.0, amount))
