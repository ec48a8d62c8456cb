"""Reads the bodies of requests within the limits of one body and of all together."""

from typing import Any

import curio
import h11

from dandelionreel.http._messages import Headers
from dandelionreel.http._request_budget import BodyCharge
from dandelionreel.kernel import not_run_error

HTTP_BAD_REQUEST = 400
HTTP_TOO_LARGE = 413
#: Bytes read at a time: what is read beyond a request stays in memory until its answer is sent.
READ_SIZE = 16_384
#: Parts of a body that are handled before other connections get their turn.
EVENTS_PER_TURN = 64
#: Chunks after which their mean size must be ``MIN_CHUNK_BYTES``: each costs processor time.
FREE_CHUNKS = 1024
MIN_CHUNK_BYTES = 64


class BodyReader:
    """Reads one body from a connection; its bytes are held by a charge of the server's budget."""

    def __init__(self, client: Any, http: Any, charge: BodyCharge, body_bytes: int) -> None:
        """Read what the socket ``client`` receives, up to ``body_bytes``."""
        self._client = client
        self._http = http
        self._charge = charge
        self._body_bytes = body_bytes
        self._announced = 0
        self._body = bytearray()
        self._chunks = 0

    async def read(self, headers: Headers) -> bytes:
        """Return the whole body; raises ``RequestError``."""
        lengths = [content for name, content in headers if name == 'content-length']
        self._announced = int(lengths[0]) if lengths else 0
        try:
            self._check_size(self._announced)
            await self._read_events()
            self._charge.is_whole = True
            return bytes(self._body)
        finally:
            # The traceback of an error would keep the bytes while its answer is sent.
            self._body = bytearray()

    async def _read_events(self) -> None:
        events = 0
        while True:
            events += 1
            if not events % EVENTS_PER_TURN:
                await curio.sleep(0)
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            if not isinstance(event, h11.Data):
                return
            self._add(event)

    async def _receive(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._client.sendall(self._http.send(continue_response))
        received = await self._client.recv(READ_SIZE)
        self._charge.check()
        self._http.receive_data(received)
        # Reading does not wait while bytes are there, and other connections need their turn.
        await curio.sleep(0)

    def _add(self, event: Any) -> None:
        size = len(self._body) + len(event.data)
        self._check_size(size)
        self._charge.grow(size, self._announced)
        self._body.extend(event.data)
        self._chunks += event.chunk_end
        if self._chunks > FREE_CHUNKS and size < self._chunks * MIN_CHUNK_BYTES:
            raise not_run_error(
                HTTP_BAD_REQUEST,
                'chunks-too-small',
                f'send chunks of {MIN_CHUNK_BYTES} bytes or more',
            )

    def _check_size(self, size: int) -> None:
        if size > self._body_bytes:
            raise not_run_error(
                HTTP_TOO_LARGE,
                'body-too-large',
                f'the body is over {self._body_bytes} bytes',
            )
