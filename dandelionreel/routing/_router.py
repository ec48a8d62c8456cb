"""Routes a caller's request to a runner, and reports whether it may have run."""

from dataclasses import dataclass, replace

import curio

from dandelionreel.contracts import ContractProjection
from dandelionreel.http import (
    PROBLEM_URN,
    VERDICT_HEADER,
    ExchangeError,
    ProblemDocument,
    Request,
    Response,
    SendForbiddenError,
    problem_response,
)
from dandelionreel.kernel import (
    Clock,
    Journal,
    JsonError,
    Part,
    Problem,
    RequestError,
    Settings,
    Verdict,
    decode_json,
    not_run_error,
    outcome_unknown_error,
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
from dandelionreel.routing._call import ServiceCall, parse_service_call
from dandelionreel.routing._keys import NOT_SENT, IdempotencyGuard
from dandelionreel.routing._metrics import RoutingMetrics
from dandelionreel.routing._pool import RunnerPool
from dandelionreel.routing._queue import RequestQueue
from dandelionreel.routing._runner import Runner

HTTP_NOT_FOUND = 404
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504
#: A round trip to another zone takes at least this long, so a request with less time left
#: is not forwarded there.
CROSS_ZONE_MIN_SECONDS = 0.05
#: Time reserved for the response to reach the caller.
ANSWER_MARGIN_SECONDS = 0.01
#: Fraction of the time until the deadline that writing an intent and reading it back may take.
INTENT_TIME_FRACTION = 0.8
#: A queued request checks the peers for free slots this often.
PEER_CHECK_SECONDS = 0.1
#: Poll interval of the router while no request is queued.
IDLE_POLL_SECONDS = 1.0
#: Maximum hops of a request: one to a peer with free slots.
MAX_HOPS = 1
#: Hop count of a forwarded request that the receiver admits as if it came from a caller.
ADMIT_HOPS = 0
#: Maximum hops of a request with a key: one to the zone that stores the idempotency key, and
#: one more to a peer with free slots.
MAX_KEYED_HOPS = 2
RETRY_AFTER_SECONDS = 1.0
NO_ROUTE_RETRY_SECONDS = 5.0


@dataclass
class _AttemptHistory:
    """Whether any earlier attempt of one request may have run."""

    may_have_run: bool = False


class _NoFreeSlotError(Exception):
    """This daemon has no free slot, and the request may not be forwarded again."""


class Router:
    """Admits, queues, sends, forwards and retries requests to services."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        own_member: str,
        contracts: ContractProjection,
        membership: Membership,
        pool: RunnerPool,
        directory: PeerDirectory,
        idempotency_guard: IdempotencyGuard,
        metrics: RoutingMetrics,
        journal: Journal,
    ) -> None:
        """Route as the member ``own_member``."""
        self._settings = settings
        self._clock = clock
        self._own_member = own_member
        self._contracts = contracts
        self._membership = membership
        self._pool = pool
        self._directory = directory
        self._idempotency_guard = idempotency_guard
        self._metrics = metrics
        self._journal = journal
        self._admission = Admission(settings, clock, own_member, contracts, membership)
        self._queue_by_service: dict[str, RequestQueue] = {}
        #: Requests in flight, including those that peers forwarded.
        self.in_flight = 0

    async def serve_request(self, request: Request) -> Response:
        """Serve a caller's request; raises ``RequestError``."""
        call = parse_service_call(
            request, self._clock.monotonic(), self._settings.timings.longest_run
        )
        if self._membership.is_live(self._own_member):
            return await self._admit_and_deliver(call)
        # A daemon that started while the log was unavailable is not a member yet,
        # so it has no share of the customers' limits. A peer that is a member
        # admits the request instead.
        zone = self._settings.availability_zone
        return await self._forward_to_first_accepting(
            call, self._directory.states(zone), ADMIT_HOPS
        )

    async def answer_forward(self, frame: Frame) -> Message:
        """Serve a request that a peer forwarded."""
        message = frame.message
        if not isinstance(message, Forward):
            return Refused('not a forward')
        try:
            call = parse_service_call(
                message.request,
                self._clock.monotonic(),
                self._settings.timings.longest_run,
            )
            call = replace(
                call,
                deadline=self._clock.monotonic() + message.remaining,
                hops=message.hops,
            )
            if call.hops == ADMIT_HOPS:
                return ForwardAnswer(await self._admit_and_deliver(call))
            return ForwardAnswer(await self._deliver_and_count(call))
        except _NoFreeSlotError:
            return ForwardAnswer(Response(HTTP_UNAVAILABLE), no_room=True)
        except RequestError as error:
            return ForwardAnswer(problem_response(error.problem))

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of queued requests by service."""
        return {name: queue.waiting for name, queue in self._queue_by_service.items()}

    async def run(self) -> None:
        """Wake queued requests when slots may be free, until cancelled."""
        while True:
            seen = self._pool.changed.count
            free_by_service = {
                service_slots.service: service_slots.free_slots
                for service_slots in self._pool.free_slots_by_service()
            }
            for service, queue in self._queue_by_service.items():
                await queue.wake_first(free_by_service.get(service, 0))
            waiting = any(queue.waiting for queue in self._queue_by_service.values())
            await self._pool.changed.wait(
                seen, PEER_CHECK_SECONDS if waiting else IDLE_POLL_SECONDS
            )

    async def _admit_and_deliver(self, call: ServiceCall) -> Response:
        usage = self._admission.admit_request(call)
        usage.in_flight += 1
        try:
            return await self._deliver_and_count(call)
        finally:
            usage.in_flight -= 1

    async def _deliver_and_count(self, call: ServiceCall) -> Response:
        self.in_flight += 1
        started_at = self._clock.monotonic()
        try:
            response = await self._deliver_request(call)
        except RequestError as error:
            self._report_refused_request(call, error)
            raise
        finally:
            self.in_flight -= 1
        self._metrics.observe_answer_time(call, self._clock.monotonic() - started_at)
        return response

    def _report_refused_request(self, call: ServiceCall, error: RequestError) -> None:
        problem = error.problem
        self._metrics.count_refused_request(call, problem.verdict.value, problem.cause)
        self._journal.log_sampled(
            Part.ROUTING,
            f'refuses a request for {call.service}; {problem.detail}.',
            request=call.id,
            customer=call.customer,
            verdict=problem.verdict.value,
            cause=problem.cause,
        )

    async def _deliver_request(self, call: ServiceCall) -> Response:
        if not call.is_keyed or call.hops >= MAX_KEYED_HOPS:
            return await self._try_runners_and_peers(call)
        zones = zones_of(self._settings)
        key_zone = choose_owner(f'key|{call.customer}|{call.key}', zones)
        if key_zone != self._settings.availability_zone:
            return await self._deliver_to_key_zone(call, key_zone)
        return await self._deliver_keyed_request(call)

    async def _deliver_keyed_request(self, call: ServiceCall) -> Response:
        remaining = call.deadline - self._clock.monotonic()
        # The response may have to reach a peer before the deadline.
        timeout = max(ANSWER_MARGIN_SECONDS, remaining * INTENT_TIME_FRACTION)
        nonce = await self._idempotency_guard.claim_key(
            call.customer, call.key, call.request, timeout
        )
        try:
            response = await self._try_runners_and_peers(call)
        except RequestError as error:
            if error.problem.verdict is not Verdict.NOT_RUN:
                raise
            await self._record_key_result(call, nonce, NOT_SENT)
            raise
        await self._record_key_result(call, nonce, response.status)
        return response

    async def _record_key_result(self, call: ServiceCall, nonce: str, status: int) -> None:
        # In the background, so that the caller does not wait for the log.
        await curio.spawn(
            self._idempotency_guard.record_request_result,
            call.customer,
            call.key,
            nonce,
            status,
            daemon=True,
        )

    async def _deliver_to_key_zone(self, call: ServiceCall, zone: str) -> Response:
        """Forward a request to the zone that keeps its idempotency key."""
        if call.hops:
            raise not_run_error(
                HTTP_UNAVAILABLE,
                'zones-differ',
                f"zone {zone} keeps this key by our settings, not by the asking daemon's",
                NO_ROUTE_RETRY_SECONDS,
            )
        return await self._forward_to_first_accepting(call, self._directory.states(zone), MAX_HOPS)

    async def _forward_to_first_accepting(
        self,
        call: ServiceCall,
        states: tuple[PeerState, ...],
        hops: int,
    ) -> Response:
        """Return the response of the first peer that accepts the request."""
        for state in states:
            if not state.member:
                continue
            try:
                response = await self._forward_to_peer(call, state, hops)
            except PeerError as error:
                if error.verdict is Verdict.NOT_RUN:
                    continue
                raise outcome_unknown_error(
                    HTTP_TIMEOUT,
                    'peer-silent',
                    'the daemon that had the request did not answer',
                ) from error
            if response is not None:
                return response
        raise not_run_error(
            HTTP_UNAVAILABLE,
            'peers-unreachable',
            'no daemon that could take the request is in reach',
            NO_ROUTE_RETRY_SECONDS,
        )

    async def _try_runners_and_peers(self, call: ServiceCall) -> Response:
        """Try runners and peers until one answers; raises ``RequestError``."""
        history = _AttemptHistory()
        try:
            return await self._try_until_answered(call, history)
        except RequestError as error:
            problem = error.problem
            if not history.may_have_run or problem.verdict is not Verdict.NOT_RUN:
                raise
            # The last attempt did not run, but an earlier one may have.
            raise outcome_unknown_error(HTTP_TIMEOUT, problem.cause, problem.detail) from error
        except _NoFreeSlotError as error:
            if not history.may_have_run:
                raise
            raise outcome_unknown_error(
                HTTP_TIMEOUT,
                'runner-failed',
                'an attempt got no answer, and no slot is free for another one',
            ) from error

    async def _try_until_answered(self, call: ServiceCall, history: '_AttemptHistory') -> Response:
        while True:
            self._check_deadline_not_passed(call)
            runner = self._pool.acquire_slot(call.service, headroom=call.task_class != 'urgent')
            if runner is None:
                response = await self._try_peers(call, history)
            else:
                response = await self._send_to_runner(call, runner, history)
            if response is not None:
                return response

    async def _send_to_runner(
        self, call: ServiceCall, runner: Runner, history: '_AttemptHistory'
    ) -> Response | None:
        """Send to a runner; return ``None`` when the request may be retried."""
        self._log_chosen_runner(call, runner)
        remaining = call.deadline - self._clock.monotonic()
        try:
            response = await runner.send_request(
                call.make_runner_request(),
                remaining,
                self._pool.changed.notify,
                # The runner may close an idle connection just as the request is sent.
                # Whether the request ran would then be unknown, so a request that is
                # not idempotent gets a new connection.
                new_connection=not call.idempotent,
                may_send=lambda: self._pool.may_send_to(runner),
            )
        except ExchangeError as error:
            history.may_have_run = history.may_have_run or error.sent
            self._check_retry_allowed(call, runner, error)
            return None
        return set_verdict(response, Verdict.RAN)

    def _check_retry_allowed(self, call: ServiceCall, runner: Runner, error: ExchangeError) -> None:
        """Raise ``RequestError`` unless the request may be sent again."""
        if isinstance(error, SendForbiddenError):
            return
        may_repeat = call.idempotent or not error.sent
        in_time = self._clock.monotonic() + ANSWER_MARGIN_SECONDS < call.deadline
        if may_repeat and in_time and self._admission.use_retry(call):
            self._metrics.count_request_retry(call)
            return
        detail = f'runner {runner.entry.name}: {error}'
        if error.sent:
            status = HTTP_BAD_GATEWAY if in_time else HTTP_TIMEOUT
            raise outcome_unknown_error(status, 'runner-failed', detail)
        raise not_run_error(HTTP_UNAVAILABLE, 'runner-unreachable', detail, RETRY_AFTER_SECONDS)

    async def _try_peers(self, call: ServiceCall, history: '_AttemptHistory') -> Response | None:
        state = self._find_peer_with_free_slots(call)
        if state is None:
            if call.hops >= _max_hops(call):
                raise _NoFreeSlotError
            await self._wait_for_slot(call)
            return None
        try:
            # The maximum hop count tells the receiver not to claim the idempotency key
            # again, which is already claimed.
            response = await self._forward_to_peer(call, state, _max_hops(call))
        except PeerError as error:
            state.gossip = replace(state.gossip, service_slots=())
            if error.verdict is Verdict.NOT_RUN:
                return None
            history.may_have_run = True
            if call.idempotent and self._admission.use_retry(call):
                self._metrics.count_request_retry(call)
                return None
            raise outcome_unknown_error(
                HTTP_TIMEOUT,
                'peer-silent',
                f'{state.member} had the request and did not answer',
            ) from error
        if response is None:
            state.gossip = replace(state.gossip, service_slots=())
        return response

    async def _forward_to_peer(
        self, call: ServiceCall, state: PeerState, hops: int
    ) -> Response | None:
        """Forward a request to a peer; return ``None`` when it has no free slot.

        Raises ``PeerError``.
        """
        remaining = call.deadline - self._clock.monotonic()
        state.forwards_since_gossip += 1
        self._journal.log_sampled(
            Part.ROUTING,
            f'forwards a request for {call.service} to {state.member}; it has free slots.',
            request=call.id,
            peer=state.member,
        )
        message = Forward(call.request, remaining, hops)
        frame = await state.link.request(message, max(remaining, ANSWER_MARGIN_SECONDS))
        reply = frame.message
        if not isinstance(reply, ForwardAnswer):
            raise PeerError('unexpected message type in the answer', Verdict.UNKNOWN)
        if reply.no_room:
            return None
        raise_if_problem(reply.response)
        return reply.response

    def _find_peer_with_free_slots(self, call: ServiceCall) -> PeerState | None:
        if call.hops >= _max_hops(call):
            return None
        zone = self._settings.availability_zone
        best = self._find_peer_with_most_slots(call, self._directory.states(zone))
        if best is not None:
            return best
        if call.deadline - self._clock.monotonic() < CROSS_ZONE_MIN_SECONDS:
            return None
        others = tuple(
            state for state in self._directory.states() if state.address.availability_zone != zone
        )
        return self._find_peer_with_most_slots(call, others)

    def _find_peer_with_most_slots(
        self, call: ServiceCall, states: tuple[PeerState, ...]
    ) -> PeerState | None:
        best = None
        most_free = 0
        for state in states:
            free_slots = _peer_free_slots(state, call.service) - state.forwards_since_gossip
            if free_slots > most_free and not state.gossip.draining:
                best, most_free = state, free_slots
        return best

    async def _wait_for_slot(self, call: ServiceCall) -> None:
        """Queue until a slot may be free; raises ``RequestError`` if waiting cannot help."""
        queue = self._queue_by_service.get(call.service)
        if queue is None:
            queue = RequestQueue(self._settings.limits.queue_length)
            self._queue_by_service[call.service] = queue
        self._check_may_wait(call, queue)
        waiter = queue.add(
            self._get_call_priority(call),
            call.deadline,
            headroom=call.task_class != 'urgent',
        )
        remaining = call.deadline - self._clock.monotonic()
        try:
            await curio.ignore_after(min(remaining, PEER_CHECK_SECONDS), waiter.wakeup.wait)
        finally:
            queue.remove(waiter)

    def _check_may_wait(self, call: ServiceCall, queue: RequestQueue) -> None:
        if not self._pool.has_service(call.service) and not self._is_service_known_to_peers(
            call.service
        ):
            raise not_run_error(
                HTTP_NOT_FOUND,
                'unknown-service',
                f'no runner of service {call.service!r} is known',
                NO_ROUTE_RETRY_SECONDS,
            )
        if queue.is_full:
            raise not_run_error(
                HTTP_UNAVAILABLE,
                'queue-full',
                f'{queue.waiting} requests for {call.service} are waiting',
                RETRY_AFTER_SECONDS,
            )
        expected_wait = self._estimate_wait(call, queue)
        if self._clock.monotonic() + expected_wait > call.deadline:
            raise not_run_error(
                HTTP_UNAVAILABLE,
                'deadline-out-of-reach',
                f'the wait is about {expected_wait:.2f} s, past the deadline',
                expected_wait,
            )

    def _estimate_wait(self, call: ServiceCall, queue: RequestQueue) -> float:
        """Estimate the seconds until a response, from the queue and the mean response time."""
        usable_slots = self._pool.count_usable_slots(call.service)
        mean_answer_seconds = self._pool.mean_answer_seconds(call.service)
        if not usable_slots or not mean_answer_seconds:
            return 0
        requests_ahead = queue.count_requests_ahead(self._get_call_priority(call), call.deadline)
        return (requests_ahead / usable_slots + 1) * mean_answer_seconds

    def _is_service_known_to_peers(self, service: str) -> bool:
        return any(_peer_free_slots(state, service) for state in self._directory.states())

    def _get_call_priority(self, call: ServiceCall) -> int:
        contract = self._contracts.effective_contract(call.customer)
        terms = contract.class_terms(call.task_class) if contract else None
        return terms.priority if terms else 0

    def _check_deadline_not_passed(self, call: ServiceCall) -> None:
        if self._clock.monotonic() + ANSWER_MARGIN_SECONDS >= call.deadline:
            raise not_run_error(
                HTTP_TIMEOUT,
                'deadline',
                'no slot came free before the deadline; nothing was sent',
                RETRY_AFTER_SECONDS,
            )

    def _log_chosen_runner(self, call: ServiceCall, runner: Runner) -> None:
        self._journal.log_sampled(
            Part.ROUTING,
            f'sends a request for {call.service} to {runner.entry.name}; '
            f'{runner.in_use} of {runner.entry.slots} slots are in use.',
            request=call.id,
            customer=call.customer,
            runner=runner.entry.name,
        )


def set_verdict(response: Response, verdict: Verdict) -> Response:
    """Return the response with the verdict header set; one set by the runner is replaced."""
    headers = tuple(header for header in response.headers if header[0] != VERDICT_HEADER)
    return replace(response, headers=(*headers, (VERDICT_HEADER, verdict.value)))


def raise_if_problem(response: Response) -> None:
    """Raise the ``RequestError`` that a peer has encoded as a response, if any.

    A runner's response always has the verdict ``ran`` and is no error.
    """
    if response.header(VERDICT_HEADER) in {'', Verdict.RAN.value}:
        return
    try:
        document = decode_json(response.body, ProblemDocument)
    except JsonError as error:
        raise outcome_unknown_error(
            response.status, 'bad-answer', f'a peer sent an unreadable answer: {error}'
        ) from error
    raise RequestError(
        Problem(
            Verdict(document.verdict),
            document.status,
            document.type.removeprefix(PROBLEM_URN),
            document.detail,
            document.retry_after,
        ),
    )


def _max_hops(call: ServiceCall) -> int:
    """Return the number of hops after which a request is not forwarded again."""
    return MAX_KEYED_HOPS if call.is_keyed else MAX_HOPS


def _peer_free_slots(state: PeerState, service: str) -> int:
    for service_slots in state.gossip.service_slots:
        if service_slots.service == service:
            return service_slots.free_slots
    return 0
