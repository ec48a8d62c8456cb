"""From a caller's request to a runner's whole answer, or a true verdict."""

from dataclasses import dataclass, replace

import curio
import msgspec

from dandelionreel.contracts import ContractProjection
from dandelionreel.http import (
    PROBLEM_URN,
    VERDICT_HEADER,
    Answer,
    ExchangeError,
    ForbiddenError,
    ProblemDocument,
    Request,
    answer_problem,
)
from dandelionreel.kernel import (
    Clock,
    Journal,
    Part,
    Problem,
    RequestError,
    Settings,
    Verdict,
    not_run,
    unknown,
    zones_of,
)
from dandelionreel.ownership import Membership, choose_owner
from dandelionreel.peers import (
    Forward,
    ForwardAnswer,
    Frame,
    Message,
    PeerDirectory,
    PeerError,
    PeerState,
    Refused,
)
from dandelionreel.routing._admission import Admission
from dandelionreel.routing._call import ServiceCall, read_call
from dandelionreel.routing._keys import NOT_SENT, KeyedSends
from dandelionreel.routing._metrics import RoutingMetrics
from dandelionreel.routing._pool import RunnerPool
from dandelionreel.routing._queue import RequestQueue
from dandelionreel.routing._runner import Runner

HTTP_NOT_FOUND = 404
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504
#: What crossing to another zone and back may cost at least, in seconds.
FAR_SECONDS = 0.05
#: Time kept back so that an answer still reaches the caller.
MARGIN_SECONDS = 0.01
#: How much of the time that is left an intent may take to be read back.
INTENT_PART = 0.8
#: A waiting request looks again this often for room at peers.
LOOK_SECONDS = 0.1
#: With nothing waiting, the router looks this often only.
IDLE_SECONDS = 1.0
#: One hop to a peer with room, one more to the zone of an idempotency key.
HOPS = 1
#: Asks the receiver to admit the request as if its caller had come there.
ADMIT = 0
KEYED_HOPS = 2
CONCURRENCY_RETRY = 1.0
NO_ROUTE_RETRY = 5.0


@dataclass
class _Trail:
    """What the tries of one request have come to so far."""

    may_have_run: bool = False


class _NoRoom(Exception):
    """This daemon has no free slot and the request may not travel further."""


class Router:
    """Admits, queues, sends, forwards and retries requests to services."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        me: str,
        book: ContractProjection,
        membership: Membership,
        pool: RunnerPool,
        directory: PeerDirectory,
        keyed: KeyedSends,
        metrics: RoutingMetrics,
        journal: Journal,
    ) -> None:
        """Route as the member ``me``."""
        self._settings = settings
        self._clock = clock
        self._me = me
        self._book = book
        self._membership = membership
        self._pool = pool
        self._directory = directory
        self._keyed = keyed
        self._metrics = metrics
        self._journal = journal
        self._admission = Admission(settings, clock, me, book, membership)
        self._queue_by_service: dict[str, RequestQueue] = {}
        #: Requests under way, forwarded ones included.
        self.in_flight = 0

    async def serve(self, request: Request) -> Answer:
        """Serve a caller's request; raises ``RequestError``."""
        call = read_call(request, self._clock.monotonic(), self._settings.timings.longest_run)
        if self._membership.is_live(self._me):
            return await self._admit(call)
        # Started in an outage of the log: this daemon has no part of any
        # limit, for nobody can have made room for it. A member admits.
        zone = self._settings.availability_zone
        return await self._hand_on(call, self._directory.states(zone), ADMIT)

    async def answer_forward(self, frame: Frame) -> Message:
        """Serve a request that a peer handed on."""
        message = frame.message
        if not isinstance(message, Forward):
            return Refused('not a forward')
        try:
            call = read_call(
                message.request,
                self._clock.monotonic(),
                self._settings.timings.longest_run,
            )
            call = replace(
                call,
                deadline=self._clock.monotonic() + message.remaining,
                hops=message.hops,
            )
            if call.hops == ADMIT:
                return ForwardAnswer(await self._admit(call))
            return ForwardAnswer(await self._deliver_counted(call))
        except _NoRoom:
            return ForwardAnswer(Answer(HTTP_UNAVAILABLE), no_room=True)
        except RequestError as error:
            return ForwardAnswer(answer_problem(error.problem))

    def queue_lengths(self) -> dict[str, int]:
        """Return how many requests wait, by service."""
        return {name: queue.waiting for name, queue in self._queue_by_service.items()}

    async def run(self) -> None:
        """Wake waiting requests whenever room may have come up, for ever."""
        while True:
            seen = self._pool.changed.count
            free_by_service = {room.service: room.free_slots for room in self._pool.rooms()}
            for service, queue in self._queue_by_service.items():
                await queue.wake(free_by_service.get(service, 0))
            waiting = any(queue.waiting for queue in self._queue_by_service.values())
            await self._pool.changed.wait(seen, LOOK_SECONDS if waiting else IDLE_SECONDS)

    async def _admit(self, call: ServiceCall) -> Answer:
        use = self._admission.enter(call)
        use.in_flight += 1
        try:
            return await self._deliver_counted(call)
        finally:
            use.in_flight -= 1

    async def _deliver_counted(self, call: ServiceCall) -> Answer:
        self.in_flight += 1
        began = self._clock.monotonic()
        try:
            answer = await self._deliver(call)
        except RequestError as error:
            self._note_refusal(call, error)
            raise
        finally:
            self.in_flight -= 1
        self._metrics.answered(call, self._clock.monotonic() - began)
        return answer

    def _note_refusal(self, call: ServiceCall, error: RequestError) -> None:
        problem = error.problem
        self._metrics.refused(call, problem.verdict.value, problem.cause)
        self._journal.tell_frequent(
            Part.ROUTING,
            f'gave up on a request for {call.service}; {problem.detail}.',
            request=call.id,
            customer=call.customer,
            verdict=problem.verdict.value,
            cause=problem.cause,
        )

    async def _deliver(self, call: ServiceCall) -> Answer:
        if not call.is_keyed or call.hops >= KEYED_HOPS:
            return await self._attempt_all(call)
        zones = zones_of(self._settings)
        home = choose_owner(f'key|{call.customer}|{call.key}', zones)
        if home != self._settings.availability_zone:
            return await self._deliver_to_zone(call, home)
        return await self._deliver_keyed(call)

    async def _deliver_keyed(self, call: ServiceCall) -> Answer:
        remaining = call.deadline - self._clock.monotonic()
        # A peer may wait for this answer: it must still get there in time.
        patience = max(MARGIN_SECONDS, remaining * INTENT_PART)
        nonce = await self._keyed.begin(call.customer, call.key, call.request, patience)
        try:
            answer = await self._attempt_all(call)
        except RequestError as error:
            if error.problem.verdict is not Verdict.NOT_RUN:
                raise
            await self._end_keyed(call, nonce, NOT_SENT)
            raise
        await self._end_keyed(call, nonce, answer.status)
        return answer

    async def _end_keyed(self, call: ServiceCall, nonce: str, status: int) -> None:
        # The caller need not wait for the log to take it.
        await curio.spawn(self._keyed.end, call.customer, call.key, nonce, status, daemon=True)

    async def _deliver_to_zone(self, call: ServiceCall, zone: str) -> Answer:
        """Hand a keyed request to the one zone that keeps its key."""
        if call.hops:
            raise not_run(
                HTTP_UNAVAILABLE,
                'zones-differ',
                f"zone {zone} keeps this key by our settings, not by the asking daemon's",
                NO_ROUTE_RETRY,
            )
        return await self._hand_on(call, self._directory.states(zone), HOPS)

    async def _hand_on(
        self,
        call: ServiceCall,
        states: tuple[PeerState, ...],
        hops: int,
    ) -> Answer:
        """Have one of several peers answer, the first that takes the request."""
        for state in states:
            if not state.member:
                continue
            try:
                answer = await self._forward(call, state, hops)
            except PeerError as error:
                if error.verdict is Verdict.NOT_RUN:
                    continue
                raise unknown(
                    HTTP_TIMEOUT,
                    'peer-silent',
                    'the daemon that had the request did not answer',
                ) from error
            if answer is not None:
                return answer
        raise not_run(
            HTTP_UNAVAILABLE,
            'peers-unreachable',
            'no daemon that could take the request is in reach',
            NO_ROUTE_RETRY,
        )

    async def _attempt_all(self, call: ServiceCall) -> Answer:
        """Try runners and peers until one answers; raises ``RequestError``."""
        trail = _Trail()
        try:
            return await self._try_until_answered(call, trail)
        except RequestError as error:
            problem = error.problem
            if not trail.may_have_run or problem.verdict is not Verdict.NOT_RUN:
                raise
            # The last try did not run, but an earlier one may have.
            raise unknown(problem.status, problem.cause, problem.detail) from error

    async def _try_until_answered(self, call: ServiceCall, trail: '_Trail') -> Answer:
        while True:
            self._check_deadline(call)
            runner = self._pool.take(call.service, headroom=call.task_class != 'urgent')
            if runner is None:
                answer = await self._try_elsewhere(call, trail)
            else:
                answer = await self._send(call, runner, trail)
            if answer is not None:
                return answer

    async def _send(self, call: ServiceCall, runner: Runner, trail: '_Trail') -> Answer | None:
        """Send to a runner; ``None`` when the request may be tried again."""
        self._tell_choice(call, runner)
        remaining = call.deadline - self._clock.monotonic()
        try:
            answer = await runner.send(
                call.outgoing(),
                remaining,
                self._pool.changed.notify,
                # A connection that idled may be closed by the runner just as
                # the request leaves; nobody could tell whether it had run.
                fresh=not call.idempotent,
                check=lambda: self._pool.may_send(runner),
            )
        except ExchangeError as error:
            trail.may_have_run = trail.may_have_run or error.sent
            self._judge_failure(call, runner, error)
            return None
        return with_verdict(answer, Verdict.RAN)

    def _judge_failure(self, call: ServiceCall, runner: Runner, error: ExchangeError) -> None:
        """Return when another try is allowed; raises ``RequestError`` otherwise."""
        if isinstance(error, ForbiddenError):
            return
        may_repeat = call.idempotent or not error.sent
        in_time = self._clock.monotonic() + MARGIN_SECONDS < call.deadline
        if may_repeat and in_time and self._admission.spend_retry(call):
            self._metrics.retried(call)
            return
        detail = f'runner {runner.entry.name}: {error}'
        if error.sent:
            status = HTTP_BAD_GATEWAY if in_time else HTTP_TIMEOUT
            raise unknown(status, 'runner-failed', detail)
        raise not_run(HTTP_UNAVAILABLE, 'runner-unreachable', detail, CONCURRENCY_RETRY)

    async def _try_elsewhere(self, call: ServiceCall, trail: '_Trail') -> Answer | None:
        state = self._peer_with_room(call)
        if state is None:
            if call.hops >= _last_hop(call):
                raise _NoRoom
            await self._wait_for_room(call)
            return None
        try:
            # Its key is taken by now: the next daemon must not ask for it again.
            answer = await self._forward(call, state, _last_hop(call))
        except PeerError as error:
            state.gossip = replace(state.gossip, rooms=())
            if error.verdict is Verdict.NOT_RUN:
                return None
            trail.may_have_run = True
            if call.idempotent and self._admission.spend_retry(call):
                self._metrics.retried(call)
                return None
            raise unknown(
                HTTP_TIMEOUT,
                'peer-silent',
                f'{state.member} had the request and did not answer',
            ) from error
        if answer is None:
            state.gossip = replace(state.gossip, rooms=())
        return answer

    async def _forward(self, call: ServiceCall, state: PeerState, hops: int) -> Answer | None:
        """Hand a request to a peer; ``None`` when it has no room.

        Raises ``PeerError``.
        """
        remaining = call.deadline - self._clock.monotonic()
        state.sent_since += 1
        self._journal.tell_frequent(
            Part.ROUTING,
            f'handed a request for {call.service} to {state.member}; it has room.',
            request=call.id,
            peer=state.member,
        )
        message = Forward(call.request, remaining, hops)
        frame = await state.link.ask(message, max(remaining, MARGIN_SECONDS))
        answer = frame.message
        if not isinstance(answer, ForwardAnswer):
            raise PeerError('not an answer', Verdict.UNKNOWN)
        if answer.no_room:
            return None
        raise_problem(answer.answer)
        return answer.answer

    def _peer_with_room(self, call: ServiceCall) -> PeerState | None:
        if call.hops >= _last_hop(call):
            return None
        zone = self._settings.availability_zone
        best = self._roomiest(call, self._directory.states(zone))
        if best is not None:
            return best
        if call.deadline - self._clock.monotonic() < FAR_SECONDS:
            return None
        others = tuple(
            state for state in self._directory.states() if state.address.availability_zone != zone
        )
        return self._roomiest(call, others)

    def _roomiest(self, call: ServiceCall, states: tuple[PeerState, ...]) -> PeerState | None:
        best = None
        best_room = 0
        for state in states:
            room = _room_of(state, call.service) - state.sent_since
            if room > best_room and not state.gossip.draining:
                best, best_room = state, room
        return best

    async def _wait_for_room(self, call: ServiceCall) -> None:
        """Queue until a slot may be free; raises ``RequestError`` when it is no use."""
        queue = self._queue_by_service.get(call.service)
        if queue is None:
            queue = RequestQueue(self._settings.limits.queue_length)
            self._queue_by_service[call.service] = queue
        self._check_queue(call, queue)
        waiter = queue.add(
            self._priority(call),
            call.deadline,
            headroom=call.task_class != 'urgent',
        )
        remaining = call.deadline - self._clock.monotonic()
        try:
            await curio.ignore_after(min(remaining, LOOK_SECONDS), waiter.woken.wait)
        finally:
            queue.remove(waiter)

    def _check_queue(self, call: ServiceCall, queue: RequestQueue) -> None:
        if not self._pool.knows(call.service) and not self._service_is_anywhere(call.service):
            raise not_run(
                HTTP_NOT_FOUND,
                'unknown-service',
                f'no runner of service {call.service!r} is known',
                NO_ROUTE_RETRY,
            )
        if queue.is_full:
            raise not_run(
                HTTP_UNAVAILABLE,
                'queue-full',
                f'{queue.waiting} requests for {call.service} are waiting',
                CONCURRENCY_RETRY,
            )
        expected = self._expected_wait(call, queue)
        if self._clock.monotonic() + expected > call.deadline:
            raise not_run(
                HTTP_UNAVAILABLE,
                'deadline-out-of-reach',
                f'the wait is about {expected:.2f} s, past the deadline',
                expected,
            )

    def _expected_wait(self, call: ServiceCall, queue: RequestQueue) -> float:
        """Return seconds until an answer, from the queue ahead and the mean run."""
        slots = self._pool.slots(call.service)
        mean = self._pool.mean_seconds(call.service)
        if not slots or not mean:
            return 0
        ahead = queue.ahead(self._priority(call), call.deadline)
        return (ahead / slots + 1) * mean

    def _service_is_anywhere(self, service: str) -> bool:
        return any(_room_of(state, service) for state in self._directory.states())

    def _priority(self, call: ServiceCall) -> int:
        contract = self._book.effective(call.customer)
        terms = contract.terms(call.task_class) if contract else None
        return terms.priority if terms else 0

    def _check_deadline(self, call: ServiceCall) -> None:
        if self._clock.monotonic() + MARGIN_SECONDS >= call.deadline:
            raise not_run(
                HTTP_TIMEOUT,
                'deadline',
                'no slot came free before the deadline; nothing was sent',
                CONCURRENCY_RETRY,
            )

    def _tell_choice(self, call: ServiceCall, runner: Runner) -> None:
        self._journal.tell_frequent(
            Part.ROUTING,
            f'sends a request for {call.service} to {runner.entry.name}; '
            f'{runner.in_use} of {runner.entry.slots} slots are in use.',
            request=call.id,
            customer=call.customer,
            runner=runner.entry.name,
        )


def with_verdict(answer: Answer, verdict: Verdict) -> Answer:
    """Return the answer with this verdict, whatever the runner wrote there."""
    kept = tuple(header for header in answer.headers if header[0] != VERDICT_HEADER)
    return replace(answer, headers=(*kept, (VERDICT_HEADER, verdict.value)))


def raise_problem(answer: Answer) -> None:
    """Raise the ``RequestError`` that a peer answered with, if it is one.

    A runner's own answer always carries the verdict ``ran``.
    """
    if answer.header(VERDICT_HEADER) in {'', Verdict.RAN.value}:
        return
    document = msgspec.json.decode(answer.body, type=ProblemDocument)
    raise RequestError(
        Problem(
            Verdict(document.verdict),
            document.status,
            document.type.removeprefix(PROBLEM_URN),
            document.detail,
            document.retry_after,
        ),
    )


def _last_hop(call: ServiceCall) -> int:
    """Return the number of the hop behind which a request travels no further."""
    return KEYED_HOPS if call.is_keyed else HOPS


def _room_of(state: PeerState, service: str) -> int:
    for room in state.gossip.rooms:
        if room.service == service:
            return room.free_slots
    return 0
