"""What clients ask: to take a job, to tell its state, to cancel it, to count."""

import re
from collections.abc import Callable
from typing import Any

from dandelionreel.cell._directory import ConfigurationFolder, JobFolder
from dandelionreel.cell._follower import Follower
from dandelionreel.cell._model import Configuration, Queue
from dandelionreel.cell._records import (
    CANCELLATION,
    FINAL_STATES,
    SUBMISSION,
    Cancellation,
    Submission,
    make_record,
)
from dandelionreel.cell._relay import Relay
from dandelionreel.cell._services import ClientCodec, KeyedRecord, SubmissionError
from dandelionreel.cell._writer import GroupWriter, Written
from dandelionreel.http import Answer, Request, answer_problem
from dandelionreel.kernel import Clock, Journal, Part, Problem, Verdict
from dandelionreel.peers import ForwardAnswer, Frame, Message

#: Ids are chosen by clients.
JOB_ID = re.compile('[0-9a-f]{16}')
#: How long a client waits at most, in milliseconds.
DEADLINE_HEADER = 'x-deadline-ms'
#: Seconds that a client is taken to wait when it does not say so.
DEFAULT_PATIENCE = 3.0
#: Share of a client's time that is spent on the store, so that it still hears
#: the answer.
PATIENCE_SHARE = 0.85
#: Seconds that an own append may take before a peer is asked to do it: more
#: than a slow store needs, and a third of what a client waits.
OWN_PATIENCE = 0.9
#: Seconds after a failed append before a client's request is tried here again.
PROBE_SECONDS = 0.4
#: What is known is older than this: a peer may know more. Reads end at least
#: twice a second, with the owner's heartbeats.
CUT_OFF_AGE = 1.2
#: Seconds in which an unknown job is looked for in what the store holds now.
LOOKUP_PATIENCE = 1.0
#: Seconds: a state may be that old, and a newer one is waited for that long.
STATE_AGE = 0.03
REFRESH_PATIENCE = 0.1
#: Seconds after which a refused client may come back: a store that turned us
#: away is usually back, or another host reaches it.
RETRY_AFTER = 1.0

HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_NOT_ALLOWED = 405
HTTP_TOO_LARGE = 413
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504
REFUSALS = frozenset((429, HTTP_UNAVAILABLE))
#: Why a request was refused, for the peer that passed it on.
CAUSE_HEADER = 'dandelionreel-cause'
STORE_CAUSE = 'store-out-of-reach'


class ClientFront:
    """Answers clients from what stands in the store."""

    def __init__(
        self,
        codec: ClientCodec,
        configuration: ConfigurationFolder,
        jobs: JobFolder,
        follower: Follower,
        writer: GroupWriter,
        relay: Relay,
        clock: Clock,
        journal: Journal,
        note_answer: Callable[[str, int, float], None],
    ) -> None:
        """Report each answer's method, status and seconds to ``note_answer``."""
        self._codec = codec
        self._configuration = configuration
        self._jobs = jobs
        self._follower = follower
        self._writer = writer
        self._relay = relay
        self._clock = clock
        self._journal = journal
        self._note_answer = note_answer

    async def handle(self, request: Request) -> Answer:
        """Answer one request."""
        began = self._clock.monotonic()
        answer = await self._answer(request, began)
        self._note_answer(request.method, answer.status, self._clock.monotonic() - began)
        return answer

    async def handle_relayed(self, frame: Frame) -> Message:
        """Answer a peer that the store does not serve."""
        forward: Any = frame.message
        answer = await self._answer(forward.request, self._clock.monotonic(), relayed=True)
        # The peer may ask another host: the store refuses this one as well.
        return ForwardAnswer(answer, no_room=answer.header(CAUSE_HEADER) == STORE_CAUSE)

    async def _answer(
        self,
        request: Request,
        began: float,
        *,
        relayed: bool = False,
    ) -> Answer:
        configuration = self._configuration.current
        if configuration is None:
            return _refuse('no-configuration', 'no configuration is known yet')
        path = request.path
        host = request.header('host').partition(':')[0]
        queue = configuration.find_queue(host, path)
        if queue is None:
            self._tell(request, path, 'no such queue', version=configuration.version)
            return _problem(HTTP_NOT_FOUND, 'unknown-queue', f'no queue at {path}')
        job_id = path[len(queue.path_prefix) :]
        if not job_id and request.method == 'GET':
            return await self._count(queue)
        if not JOB_ID.fullmatch(job_id):
            return _problem(HTTP_BAD_REQUEST, 'bad-id', 'a job id has 16 hexadecimal digits')
        if request.method == 'POST':
            return await self._submit(request, configuration, queue, job_id, relayed)
        if request.method == 'GET':
            return await self._state(request, job_id, began, relayed)
        if request.method == 'DELETE':
            return await self._cancel(request, job_id, began, relayed)
        return _problem(HTTP_NOT_ALLOWED, 'bad-method', 'use POST, GET or DELETE')

    async def _submit(
        self,
        request: Request,
        configuration: Configuration,
        queue: Queue,
        job_id: str,
        relayed: bool,
    ) -> Answer:
        if self._jobs.book.find(job_id) is not None:
            self._tell(request, job_id, 'accepted before')
            return self._codec.answer_accepted()
        if len(request.body) > configuration.body_bytes:
            return _problem(HTTP_TOO_LARGE, 'body-too-large', 'the job is too large')
        try:
            spec = self._codec.decode_submission(request.body)
        except SubmissionError as error:
            self._tell(request, job_id, f'not a job: {error}')
            return _problem(HTTP_BAD_REQUEST, 'bad-job', f'{error}')
        submission = Submission(queue.name, queue.service, self._clock.wall(), spec)
        record = make_record(SUBMISSION + job_id, submission)
        return await self._store(request, job_id, record, relayed)

    async def _store(
        self,
        request: Request,
        job_id: str,
        record: KeyedRecord,
        relayed: bool,
    ) -> Answer:
        """Write what a client asked for, here or by a peer, and tell it the truth.

        Whoever was told "not accepted" may rely on it. So that is said only
        when no append can have taken place, neither here nor at a peer.
        """
        began = self._clock.monotonic()
        patience = self._patience(request)
        outcome = Written.REFUSED
        if not self._is_cut_off(began):
            outcome = await self._writer.write([record], min(patience, OWN_PATIENCE))
        answer = None
        maybe = outcome is Written.UNKNOWN
        if outcome is not Written.STORED and not relayed:
            passed = await self._relay.forward(request, began + patience - self._clock.monotonic())
            answer = passed.answer
            maybe = maybe or passed.maybe
        self._tell(
            request,
            job_id,
            f'{outcome.value} here' if answer is None else f'a peer answered {answer.status}',
            seconds=round(self._clock.monotonic() - began, 4),
            store_failing=round(max(0.0, began - self._writer.failing_since), 3),
        )
        if outcome is Written.STORED:
            return self._codec.answer_accepted()
        if answer is not None and (answer.status not in REFUSALS or not maybe):
            return answer
        if maybe:
            return self._unknown('what was asked for may have been stored')
        return _refuse(STORE_CAUSE, 'the store takes nothing just now; it was not accepted')

    def _is_cut_off(self, now: float) -> bool:
        """Return whether an append has just failed and none has succeeded since.

        Trying again for each client would hold all of them up; one try in
        ``PROBE_SECONDS`` finds out when the store is back.
        """
        writer = self._writer
        return writer.failing_since < now and now - writer.failed_at < PROBE_SECONDS

    async def _state(
        self,
        request: Request,
        job_id: str,
        began: float,
        relayed: bool,
    ) -> Answer:
        booked = self._jobs.book.find(job_id)
        if booked is not None and booked.state in FINAL_STATES:
            return self._codec.answer_state(booked.state)
        # An unknown job may stand in the store by now; one under way may be
        # over, and a client counts its wait until it sees that.
        patience = LOOKUP_PATIENCE if booked is None else REFRESH_PATIENCE
        if self._follower.age(began) > CUT_OFF_AGE and not relayed:
            passed = await self._relay.forward(request, patience)
            if passed.answer is not None:
                return passed.answer
        await self._follower.wait_fresh(began - STATE_AGE, patience)
        booked = self._jobs.book.find(job_id)
        if booked is not None:
            return self._codec.answer_state(booked.state)
        return self._unknown_job(job_id, began)

    async def _cancel(
        self,
        request: Request,
        job_id: str,
        began: float,
        relayed: bool,
    ) -> Answer:
        booked = self._jobs.book.find(job_id)
        if booked is None:
            await self._follower.wait_fresh(began, LOOKUP_PATIENCE)
            booked = self._jobs.book.find(job_id)
        if booked is None:
            return self._unknown_job(job_id, began)
        if booked.cancelled:
            return self._codec.answer_accepted()
        record = make_record(CANCELLATION + job_id, Cancellation(self._clock.wall()))
        return await self._store(request, job_id, record, relayed)

    def _unknown_job(self, job_id: str, began: float) -> Answer:
        """Say that a job does not exist, but only if all that is stored has been read."""
        if self._follower.fresh_at < began - STATE_AGE:
            return _refuse(STORE_CAUSE, 'the store cannot be read just now')
        self._journal.tell_frequent(
            Part.JOBS,
            f'job {job_id} is asked for, not known.',
            job=job_id,
        )
        return self._codec.answer_unknown_job()

    async def _count(self, queue: Queue) -> Answer:
        return self._codec.answer_pending(self._jobs.book.count_waiting(queue.name))

    def _patience(self, request: Request) -> float:
        text = request.header(DEADLINE_HEADER)
        patience = float(text) / 1000 if text.isdigit() else DEFAULT_PATIENCE
        return min(patience, DEFAULT_PATIENCE) * PATIENCE_SHARE

    def _unknown(self, detail: str) -> Answer:
        return answer_problem(Problem(Verdict.UNKNOWN, HTTP_TIMEOUT, 'store-silent', detail))

    def _tell(self, request: Request, job_id: str, outcome: str, **fields: object) -> None:
        self._journal.tell_frequent(
            Part.JOBS,
            f'{request.method} {job_id}: {outcome}.',
            job=job_id,
            book_age=round(self._follower.age(self._clock.monotonic()), 3),
            **fields,
        )


def _problem(status: int, cause: str, detail: str) -> Answer:
    return answer_problem(Problem(Verdict.NOT_RUN, status, cause, detail))


def _refuse(cause: str, detail: str) -> Answer:
    problem = Problem(Verdict.NOT_RUN, HTTP_UNAVAILABLE, cause, detail, RETRY_AFTER)
    answer = answer_problem(problem)
    return Answer(answer.status, (*answer.headers, (CAUSE_HEADER, cause)), answer.body)
