"""What clients ask: to take a job, to tell its state, to cancel it, to count."""

import re
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from dandelionreel.cell._completions import Completions
from dandelionreel.cell._contact_watch import ContactWatch
from dandelionreel.cell._directory import ConfigurationFolder, JobFolder
from dandelionreel.cell._dispatcher import Dispatcher
from dandelionreel.cell._follower import Follower
from dandelionreel.cell._model import Configuration, JobState, Queue
from dandelionreel.cell._readiness import Rotation
from dandelionreel.cell._records import (
    CANCELLATION,
    FINAL_STATES,
    SUBMISSION,
    Cancellation,
    Submission,
    make_record,
)
from dandelionreel.cell._relay import Relay, Relayed
from dandelionreel.cell._services import ClientCodec, KeyedRecord, SubmissionError
from dandelionreel.cell._writer import GroupWriter, Written
from dandelionreel.cell._zone_ends import ZoneEnds
from dandelionreel.http import Answer, Request, answer_problem
from dandelionreel.kernel import Clock, Journal, Part, Problem, Verdict, seconds_or_none
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
#: Seconds: a count of waiting jobs may be that old; 2 s are promised.
COUNT_AGE = 1.2
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


@dataclass
class _Effort:
    """What trying to store something has come to so far."""

    by: str = ''
    #: Whether an append may have taken place.
    maybe: bool = False
    #: What each attempt came to, for the line of one that was not answered 2xx.
    tried: list[str] = field(default_factory=list)


Attempt = Callable[[float, _Effort], Awaitable[Answer | None]]
AtOwner = Callable[[Dispatcher, float], Awaitable[Written]]
Forwarder = Callable[[Request, float], Awaitable[Relayed]]


class ClientFront:
    """Answers clients from what stands in the store."""

    def __init__(
        self,
        zone: str,
        codec: ClientCodec,
        configuration: ConfigurationFolder,
        jobs: JobFolder,
        follower: Follower,
        writer: GroupWriter,
        relay: Relay,
        owned: Callable[[], Dispatcher | None],
        completions: Completions,
        zone_ends: ZoneEnds,
        contact: ContactWatch,
        rotation: Rotation,
        clock: Clock,
        journal: Journal,
        note_answer: Callable[[str, int, float], None],
    ) -> None:
        """Answer in ``zone``; report each answer's method, status and seconds."""
        self._zone = zone
        self._codec = codec
        self._configuration = configuration
        self._jobs = jobs
        self._follower = follower
        self._writer = writer
        self._relay = relay
        self._owned = owned
        self._completions = completions
        self._zone_ends = zone_ends
        self._contact = contact
        self._rotation = rotation
        self._clock = clock
        self._journal = journal
        self._note_answer = note_answer

    async def handle(self, request: Request) -> Answer:
        """Answer one request."""
        began = self._clock.monotonic()
        answer = await self._answer(request, began, self._zone)
        self._note_answer(request.method, answer.status, self._clock.monotonic() - began)
        return answer

    async def handle_relayed(self, frame: Frame) -> Message:
        """Answer a request that a peer passes on."""
        forward: Any = frame.message
        member = self._jobs.book.member_by_host.get(frame.sender.partition('/')[0])
        answer = await self._answer(
            forward.request,
            self._clock.monotonic(),
            member.zone if member else '',
            relayed=True,
        )
        # The peer may ask another host: the store refuses this one as well.
        return ForwardAnswer(answer, no_room=answer.header(CAUSE_HEADER) == STORE_CAUSE)

    async def _answer(
        self,
        request: Request,
        began: float,
        zone: str,
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
            return await self._count(queue, began)
        if not JOB_ID.fullmatch(job_id):
            return _problem(HTTP_BAD_REQUEST, 'bad-id', 'a job id has 16 hexadecimal digits')
        if request.method == 'POST':
            return await self._submit(request, configuration, queue, job_id, zone, relayed)
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
        zone: str,
        relayed: bool,
    ) -> Answer:
        if self._owned() is not None and not self._follower.complete:
            # A job that is over may not have been read yet, and would run again.
            now = self._clock.monotonic()
            if not await self._follower.wait_fresh(now, LOOKUP_PATIENCE):
                return _refuse(STORE_CAUSE, 'the store cannot be read just now')
        booked = self._jobs.book.find(job_id)
        if booked is not None and not booked.may_be_stored_again:
            self._tell(request, job_id, 'accepted before')
            return self._codec.answer_accepted()
        if len(request.body) > configuration.body_bytes:
            return _problem(HTTP_TOO_LARGE, 'body-too-large', 'the job is too large')
        try:
            spec = self._codec.decode_submission(request.body)
        except SubmissionError as error:
            self._tell(request, job_id, f'not a job: {error}')
            return _problem(HTTP_BAD_REQUEST, 'bad-job', f'{error}')
        submission = Submission(queue.name, queue.service, self._clock.wall(), spec, zone)
        record = make_record(SUBMISSION + job_id, submission)
        return await self._store(
            request,
            job_id,
            record,
            relayed,
            lambda owner, patience: owner.accept(job_id, submission, patience),
            queue=queue.name,
        )

    async def _store(
        self,
        request: Request,
        job_id: str,
        record: KeyedRecord,
        relayed: bool,
        at_owner: AtOwner,
        **fields: str,
    ) -> Answer:
        """Have the owner store what a client asked for, else do it here or by a peer.

        Whoever was told "not accepted" may rely on it. So that is said only
        when no append can have taken place, neither here nor at a peer.
        """
        began = self._clock.monotonic()
        until = began + self._patience(request)
        effort = _Effort()
        for attempt in self._attempts(request, record, relayed, at_owner):
            left = until - self._clock.monotonic()
            if left <= 0 or await self._goes_in_vain(effort):
                break
            answer = await attempt(left, effort)
            if answer is not None and (answer.status not in REFUSALS or not effort.maybe):
                self._tell(
                    request,
                    job_id,
                    f'{answer.status} by {effort.by}',
                    **fields,
                    seconds=round(self._clock.monotonic() - began, 3),
                )
                return answer
        self._tell(
            request,
            job_id,
            'may be stored' if effort.maybe else 'not stored',
            **fields,
            seconds=round(self._clock.monotonic() - began, 3),
            store_failing=round(max(0.0, until - self._writer.failing_since), 3),
            tried=effort.tried,
        )
        if effort.maybe:
            return self._unknown('what was asked for may have been stored')
        detail = 'the store takes nothing just now; it was not accepted'
        return _refuse(STORE_CAUSE, detail, self._retry_after())

    async def _goes_in_vain(self, effort: _Effort) -> bool:
        """Return whether this host is cut off, so that nothing more is worth a try.

        Tried on, a request kept its client for a second, was in doubt behind the store's
        silence, and used up the time in which another zone could have taken it.
        """
        if self._contact.cut_off:
            return True
        return bool(effort.tried) and await self._contact.check()

    def _retry_after(self) -> float:
        """Return the seconds after which another host is likely to take a request.

        Behind a cut that is when the balancer sends clients to other zones.
        """
        if not self._contact.cut_off:
            return RETRY_AFTER
        return max(RETRY_AFTER, self._rotation.seconds_left(self._clock.monotonic()))

    def _attempts(
        self,
        request: Request,
        record: KeyedRecord,
        relayed: bool,
        at_owner: AtOwner,
    ) -> Iterator[Attempt]:
        """Return the ways to store something, the best one first."""
        dispatcher = self._owned()
        if dispatcher is not None:

            async def by_owner(left: float, effort: _Effort) -> Answer | None:
                effort.by = 'the owner'
                if dispatcher.store_is_failing:
                    effort.tried.append('the owner: its store is failing')
                    return None
                return self._judge(await at_owner(dispatcher, min(left, OWN_PATIENCE)), effort)

            yield by_owner
        elif not relayed:
            yield self._pass_on(request, self._relay.forward_to_owner)
            yield self._pass_on(request, self._relay.forward_to_deputy)
        cut_off = self._is_cut_off(self._clock.monotonic())
        # Where a deputy answers, it is the one to write: a slow store has to take
        # one append of a zone's hosts at a time, not one of each.
        if not cut_off and (relayed or self._relay.find_deputy() is None):

            async def here(left: float, effort: _Effort) -> Answer | None:
                effort.by = 'this host'
                outcome = await self._writer.write([record], min(left, OWN_PATIENCE))
                return self._judge(outcome, effort)

            yield here
        if cut_off and not relayed:
            yield self._pass_on(request, self._relay.forward)

    def _pass_on(self, request: Request, forward: Forwarder) -> Attempt:
        async def pass_on(left: float, effort: _Effort) -> Answer | None:
            effort.by = 'a peer'
            passed = await forward(request, left)
            effort.maybe = effort.maybe or passed.maybe
            status = passed.answer.status if passed.answer else 'none could act'
            effort.tried.append(f'a peer: {"may have acted" if passed.maybe else status}')
            return passed.answer

        return pass_on

    def _judge(self, outcome: Written, effort: '_Effort') -> Answer | None:
        """Return the answer to something that was stored, and note what is in doubt."""
        if outcome is Written.STORED:
            return self._codec.answer_accepted()
        effort.maybe = effort.maybe or outcome is not Written.REFUSED
        effort.tried.append(f'{effort.by}: {outcome.value}')
        return None

    def _is_cut_off(self, now: float) -> bool:
        """Return whether the store is known not to serve this host.

        Trying again for each client would hold all of them up; one try in
        ``PROBE_SECONDS``, and the reads, find out when the store is back.
        """
        if self._follower.age(now) > CUT_OFF_AGE:
            return True
        writer = self._writer
        return writer.in_trouble(now) and now - writer.failed_at < PROBE_SECONDS

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
        if self._completions.holds(job_id):
            return self._codec.answer_state(JobState.COMPLETED)
        # A job under way may be over by now, and a client counts its wait until
        # it sees that; an unknown one may have been stored meanwhile.
        dispatcher = self._owned()
        state = dispatcher.state_of(job_id) if dispatcher else None
        if state is not None:
            return self._codec.answer_state(state)
        patience = LOOKUP_PATIENCE if booked is None else REFRESH_PATIENCE
        if self._contact.cut_off:
            # What is known in this zone is all that can be told; who waits learns no more.
            if await self._zone_ends.is_complete(job_id):
                return self._codec.answer_state(JobState.COMPLETED)
            patience = 0.0
        elif dispatcher is None and not relayed:
            answer = await self._ask_state(request, began, patience)
            if answer is not None:
                return answer
        await self._follower.wait_fresh(began - STATE_AGE, patience)
        booked = self._jobs.book.find(job_id)
        if booked is not None:
            return self._codec.answer_state(booked.state)
        return self._unknown_job(job_id, began)

    async def _ask_state(self, request: Request, began: float, patience: float) -> Answer | None:
        """Return the owner's answer, or that of any peer where the store is out of reach."""
        passed = await self._relay.forward_to_owner(request, patience)
        if passed.answer is None and self._follower.age(began) > CUT_OFF_AGE:
            passed = await self._relay.forward(request, patience)
        return passed.answer

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
        over = booked.state in FINAL_STATES or self._completions.holds(job_id)
        if booked.cancelled or over:
            return self._codec.answer_accepted()
        record = make_record(CANCELLATION + job_id, Cancellation(self._clock.wall()))
        return await self._store(
            request,
            job_id,
            record,
            relayed,
            lambda owner, patience: owner.cancel(job_id, patience),
        )

    def _unknown_job(self, job_id: str, began: float) -> Answer:
        """Say that a job does not exist, but only if all that is stored has been read."""
        if self._follower.fresh_at < began - STATE_AGE:
            return _refuse(STORE_CAUSE, 'the store cannot be read just now')
        self._journal.tell_frequent(
            Part.JOBS,
            f'job {job_id} is asked for, not known.',
            job=job_id,
            **self._knowledge(),
        )
        return self._codec.answer_unknown_job()

    async def _count(self, queue: Queue, began: float) -> Answer:
        """Tell how many jobs wait, unless too little has been read to know.

        A host that has just started answered 0 while it read what is stored.
        """
        if not await self._follower.wait_fresh(began - COUNT_AGE, LOOKUP_PATIENCE):
            return _refuse(STORE_CAUSE, 'the store cannot be read just now')
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
            **self._knowledge(),
            **fields,
        )

    def _knowledge(self) -> dict[str, Any]:
        """Return how old what is known here is, in seconds, and who is taken for the owner."""
        owner = self._jobs.book.owner
        return {
            'book_age': seconds_or_none(self._follower.age(self._clock.monotonic())),
            'owner': owner.host if owner else '',
            'epoch': owner.epoch if owner else 0,
        }


def _problem(status: int, cause: str, detail: str) -> Answer:
    return answer_problem(Problem(Verdict.NOT_RUN, status, cause, detail))


def _refuse(cause: str, detail: str, retry_after: float = RETRY_AFTER) -> Answer:
    problem = Problem(Verdict.NOT_RUN, HTTP_UNAVAILABLE, cause, detail, retry_after)
    answer = answer_problem(problem)
    return Answer(answer.status, (*answer.headers, (CAUSE_HEADER, cause)), answer.body)
