"""Stores clients' submissions and cancellations through the owner, a peer or this host."""

from collections.abc import Awaitable, Callable, Iterator

from dandelionreel.cell.clients._client_call import (
    HTTP_UNAVAILABLE,
    OVERLOAD_CAUSE,
    RETRY_AFTER_SECONDS,
    ClientCall,
    unavailable_response,
)
from dandelionreel.cell.clients._readiness import LoadBalancerRotation
from dandelionreel.cell.clients._relay import Relay, RelayResult
from dandelionreel.cell.clients._write_attempts import AttemptResult, WriteAttempts
from dandelionreel.cell.membership import PartitionDetector
from dandelionreel.cell.model import ClientCodec, KeyedRecord
from dandelionreel.cell.owner import Dispatcher, Refusal
from dandelionreel.cell.store import Follower, GroupWriter, WriteOutcome
from dandelionreel.http import Response
from dandelionreel.kernel import Clock

#: Timeout in seconds of an append by this host, before a peer is asked to append: more than a slow
#: store needs, and a third of the time that a client waits.
APPEND_TIMEOUT_SECONDS = 0.9
#: Seconds after a failed append before this host tries one for a client again.
APPEND_RETRY_SECONDS = 0.4
#: Age in seconds of the latest read of the store above which a peer may have newer records. Reads
#: complete at least twice a second, since the owner writes heartbeats.
STALE_READ_SECONDS = 1.2
RETRYABLE_STATUSES = frozenset((429, HTTP_UNAVAILABLE))

Attempt = Callable[[float], Awaitable[AttemptResult]]
StoreAtOwner = Callable[[Dispatcher, float], Awaitable[WriteOutcome | Refusal]]
#: Makes a record for one attempt; a submission has the time of the attempt, since the owner may
#: have refused an earlier one.
MakeRecord = Callable[[], KeyedRecord]
Forwarder = Callable[[ClientCall, float], Awaitable[RelayResult]]
#: Logs the outcome of a call, with further fields.
LogOutcome = Callable[..., None]


class ClientWrites:
    """Stores records for clients; each response says if one was stored, not stored or in doubt."""

    def __init__(
        self,
        codec: ClientCodec,
        follower: Follower,
        writer: GroupWriter,
        relay: Relay,
        get_dispatcher: Callable[[], Dispatcher | None],
        partition_detector: PartitionDetector,
        rotation: LoadBalancerRotation,
        clock: Clock,
    ) -> None:
        """Append with ``writer`` if neither the owner nor a peer can store a record."""
        self._codec = codec
        self._follower = follower
        self._writer = writer
        self._relay = relay
        self._get_dispatcher = get_dispatcher
        self._partition_detector = partition_detector
        self._rotation = rotation
        self._clock = clock

    async def store_record(
        self,
        call: ClientCall,
        make_record: MakeRecord,
        store_at_owner: StoreAtOwner,
        log: LogOutcome,
        **fields: str,
    ) -> Response:
        """Store a client's record through the owner, otherwise through this host or a peer.

        A client may rely on a response that says "not accepted". So it is given only when
        no append can have taken place, neither at this host nor at a peer.
        """
        started_at = self._clock.monotonic()
        deadline = started_at + call.timeout
        attempts = WriteAttempts()
        for attempt in self._list_attempts(call, make_record, store_at_owner):
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0 or await self._is_host_cut_off(attempts):
                break
            attempts.add(await attempt(remaining))
            if attempts.is_decided:
                break
        answer = attempts.make_answer(self._retry_after_seconds())
        log(
            attempts.summary,
            **fields,
            seconds=round(self._clock.monotonic() - started_at, 3),
            store_failing=round(max(0.0, deadline - self._writer.failing_since), 3),
            tried=attempts.outcomes,
            in_doubt=attempts.in_doubt,
        )
        return answer

    async def _is_host_cut_off(self, attempts: WriteAttempts) -> bool:
        """Return whether this host is cut off, so that further attempts are pointless.

        The client's few retries are better spent on hosts of another zone.
        """
        if self._partition_detector.is_cut_off:
            return True
        return bool(attempts.outcomes) and await self._partition_detector.check_other_zones()

    def _retry_after_seconds(self) -> float:
        """Return the seconds after which another host is likely to accept a request.

        Inside a partition that is when the load balancer has moved clients to other zones.
        """
        if not self._partition_detector.is_cut_off:
            return RETRY_AFTER_SECONDS
        return max(
            RETRY_AFTER_SECONDS, self._rotation.seconds_until_removal(self._clock.monotonic())
        )

    def _list_attempts(
        self,
        call: ClientCall,
        make_record: MakeRecord,
        store_at_owner: StoreAtOwner,
    ) -> Iterator[Attempt]:
        """Yield the ways to store a record, the best one first."""
        dispatcher = self._get_dispatcher()
        if dispatcher is not None:
            yield self._attempt_by_owner(dispatcher, store_at_owner)
        elif not call.relayed:
            yield self._attempt_by_peer(call, self._relay.forward_to_owner)
            yield self._attempt_by_peer(call, self._relay.forward_to_zone_writer)
        store_unreachable = self._is_store_unreachable(self._clock.monotonic())
        # If the zone's writer is reachable, only it appends: a slow store then gets one append at a
        # time from the hosts of a zone, not one from each.
        appends_itself = not store_unreachable and (
            call.relayed or self._relay.find_zone_writer() is None
        )
        if appends_itself:
            yield self._attempt_by_this_host(make_record)
        if store_unreachable and not call.relayed:
            yield self._attempt_by_peer(call, self._relay.forward_to_any_peer)
        if not appends_itself and self._may_append_without_owner():
            yield self._attempt_by_this_host(make_record)

    def _attempt_by_owner(self, dispatcher: Dispatcher, store_at_owner: StoreAtOwner) -> Attempt:
        async def by_owner(remaining: float) -> AttemptResult:
            attempted_by = 'the owner'
            if dispatcher.store_is_failing:
                return AttemptResult(attempted_by, 'its store is failing')
            outcome = await store_at_owner(dispatcher, min(remaining, APPEND_TIMEOUT_SECONDS))
            if isinstance(outcome, Refusal):
                return AttemptResult(attempted_by, 'refused for overload', _answer_refused(outcome))
            return self._make_write_result(attempted_by, outcome)

        return by_owner

    def _attempt_by_this_host(self, make_record: MakeRecord) -> Attempt:
        async def by_this_host(remaining: float) -> AttemptResult:
            timeout = min(remaining, APPEND_TIMEOUT_SECONDS)
            outcome = await self._writer.write([make_record()], timeout)
            return self._make_write_result('this host', outcome)

        return by_this_host

    def _attempt_by_peer(self, call: ClientCall, forward: Forwarder) -> Attempt:
        async def by_peer(remaining: float) -> AttemptResult:
            forwarded = await forward(call, remaining)
            outcomes = ['may have acted'] if forwarded.in_doubt else []
            if forwarded.response is not None:
                outcomes.append(f'{forwarded.response.status}')
            outcome = ', then '.join(outcomes) or 'none could act'
            return AttemptResult('a peer', outcome, forwarded.response, forwarded.in_doubt)

        return by_peer

    def _make_write_result(self, attempted_by: str, outcome: WriteOutcome) -> AttemptResult:
        if outcome is WriteOutcome.STORED:
            return AttemptResult(attempted_by, outcome.value, self._codec.answer_accepted())
        in_doubt = outcome is not WriteOutcome.REFUSED
        return AttemptResult(attempted_by, outcome.value, in_doubt=in_doubt)

    def _may_append_without_owner(self) -> bool:
        """Return whether this host appends although a peer should, as the cell has no owner yet.

        Hosts that have just started cannot act for others yet. Without an owner's heartbeats,
        reads of the store end so rarely that their age does not show whether it is reachable.
        """
        return not self._relay.knows_owner and not self._writer.store_is_failing(
            self._clock.monotonic()
        )

    def _is_store_unreachable(self, now: float) -> bool:
        """Return whether appends of this host are known to fail, or its reads are too old.

        An attempt to append for each client would delay all clients. One attempt every
        ``APPEND_RETRY_SECONDS``, and the reads, detect when the store is back.
        """
        if self._follower.age(now) > STALE_READ_SECONDS:
            return True
        writer = self._writer
        return writer.store_is_failing(now) and now - writer.failed_at < APPEND_RETRY_SECONDS


def _answer_refused(refusal: Refusal) -> Response:
    detail = f'the job would end too late to be of use, for {refusal.reason.value}; it is not run'
    return unavailable_response(OVERLOAD_CAUSE, detail, refusal.retry_after)
