"""Sends a non-idempotent request at most once for each idempotency key.

Before it sends a request, a daemon writes an intent to the log stream of the key's
zone. Only the request of the first intent in log order is sent, whatever the clocks
of the daemons say.
"""

import os
from dataclasses import dataclass, replace

import curio
import msgspec
import xxhash

from dandelionreel.backing import LogError, Position, StreamReader, StreamWriter
from dandelionreel.http import Request
from dandelionreel.kernel import (
    Problem,
    RequestError,
    Verdict,
    not_run_error,
    outcome_unknown_error,
)

NONCE_BYTES = 8
#: Maximum number of keys in memory; beyond it the oldest are forgotten.
MAX_KEYS = 50_000
#: Recorded in place of a runner's HTTP status if the request was not sent.
NOT_SENT = 0
BACKGROUND_WRITE_SECONDS = 600.0
HTTP_CONFLICT = 409
HTTP_UNPROCESSABLE = 422
HTTP_UNAVAILABLE = 503
RETRY_AFTER_SECONDS = 5.0


class RequestIntent(msgspec.Struct, frozen=True, tag='request_intent'):
    """A daemon is about to send the request with this key."""

    customer: str
    key: str
    digest: str
    nonce: str


class RequestEnded(msgspec.Struct, frozen=True, tag='request_ended'):
    """The result of a request: the runner's HTTP status, or 0 if it was not sent."""

    customer: str
    key: str
    nonce: str
    status: int


RequestRecord = RequestIntent | RequestEnded


@dataclass(frozen=True)
class KeyState:
    """State of a used key; ``status`` is ``None`` until the request's result is known."""

    digest: str
    nonce: str
    status: int | None = None


class KeyProjection:
    """Used idempotency keys, as one zone's stream records them."""

    def __init__(self) -> None:
        """Start without any keys."""
        self._state_by_key: dict[tuple[str, str], KeyState] = {}

    def reset(self) -> None:
        """Forget all keys."""
        self._state_by_key.clear()

    def get(self, customer: str, key: str) -> KeyState | None:
        """Return the state of a key, ``None`` if it is unused."""
        return self._state_by_key.get((customer, key))

    def apply(self, record: msgspec.Struct, position: Position) -> None:
        """Apply one record of the stream."""
        if isinstance(record, RequestIntent):
            state = KeyState(record.digest, record.nonce)
            self._state_by_key.setdefault((record.customer, record.key), state)
            while len(self._state_by_key) > MAX_KEYS:
                self._state_by_key.pop(next(iter(self._state_by_key)))
        elif isinstance(record, RequestEnded):
            self._record_request_end(record)

    def _record_request_end(self, record: RequestEnded) -> None:
        name = (record.customer, record.key)
        state = self._state_by_key.get(name)
        if state is None or state.nonce != record.nonce:
            return
        if record.status == NOT_SENT:
            # The request was not sent, so the key may be used again.
            self._state_by_key.pop(name)
            return
        self._state_by_key[name] = replace(state, status=record.status)


class IdempotencyGuard:
    """Records intents and results, and refuses keys that are in use."""

    def __init__(
        self, projection: KeyProjection, reader: StreamReader, writer: StreamWriter
    ) -> None:
        """Read keys from ``projection``, which ``reader`` updates; write with ``writer``."""
        self._projection = projection
        self._reader = reader
        self._writer = writer

    async def claim_key(self, customer: str, key: str, request: Request, timeout: float) -> str:
        """Return the nonce under which the request may be sent once.

        Raises ``RequestError`` when the key is in use or the log is unavailable.
        """
        digest = xxhash.xxh64_hexdigest(
            b'|'.join((request.method.encode(), request.target.encode(), request.body)),
        )
        self._raise_if_key_used(customer, key, digest, '')
        if self._reader.outage_since is not None:
            raise _make_log_unavailable_error()
        nonce = os.urandom(NONCE_BYTES).hex()
        try:
            await self._writer.write(RequestIntent(customer, key, digest, nonce), timeout)
        except LogError as error:
            # The request won't be sent, but the intent may still be appended to
            # the log later; the result ``NOT_SENT`` releases the key in that case.
            await curio.spawn(
                self.record_request_result, customer, key, nonce, NOT_SENT, daemon=True
            )
            raise _make_log_unavailable_error() from error
        self._raise_if_key_used(customer, key, digest, nonce)
        return nonce

    async def record_request_result(self, customer: str, key: str, nonce: str, status: int) -> None:
        """Record the result of a request, with a long timeout for a slow log."""
        try:
            await self._writer.write(
                RequestEnded(customer, key, nonce, status),
                BACKGROUND_WRITE_SECONDS,
            )
        except LogError:
            return

    def _raise_if_key_used(self, customer: str, key: str, digest: str, nonce: str) -> None:
        state = self._projection.get(customer, key)
        if state is None or state.nonce == nonce:
            return
        raise make_key_in_use_error(state, digest)


def make_key_in_use_error(state: KeyState, digest: str) -> RequestError:
    """Return the error for a key that is already in use."""
    if state.digest != digest:
        return not_run_error(
            HTTP_UNPROCESSABLE,
            'key-reused',
            'this idempotency key belongs to another request; use a new one',
        )
    if state.status is None:
        return outcome_unknown_error(
            HTTP_CONFLICT,
            'already-sent',
            'a request with this key was sent before; what became of it is not known here',
        )
    return RequestError(
        Problem(
            Verdict.RAN,
            HTTP_CONFLICT,
            'already-ran',
            f'a request with this key ran before; the runner answered {state.status}',
        ),
    )


def _make_log_unavailable_error() -> RequestError:
    return not_run_error(
        HTTP_UNAVAILABLE,
        'log-unavailable',
        'the log did not take the intent; nothing was sent',
        RETRY_AFTER_SECONDS,
    )
