"""Requests a large answer of a peer on a connection of its own."""

from contextlib import AsyncExitStack

import curio

from dandelionreel.http import connect
from dandelionreel.kernel import Clock, Verdict
from dandelionreel.peers._codec import FrameError
from dandelionreel.peers._framing import FrameStream, TrafficCounter
from dandelionreel.peers._link import CONNECT_TIMEOUT_SECONDS, NO_CLOCK_READING, PeerError
from dandelionreel.peers._messages import Frame, Message


async def request_transfer(
    address: str,
    port: int,
    message: Message,
    sender_name: str,
    clock: Clock,
    traffic: TrafficCounter,
    stall_timeout: float,
) -> Frame:
    """Send a message and return its answer, which takes as long as it makes progress.

    ``stall_timeout`` limits each wait for bytes, in seconds. The connection is closed at the end,
    so that a peer does not go on sending an answer that was given up. Messages on other
    connections do not wait behind it. Raises ``PeerError``.
    """
    async with AsyncExitStack() as stack:
        try:
            sock = await curio.timeout_after(
                CONNECT_TIMEOUT_SECONDS, connect, address, port, stall_timeout
            )
            stack.push_async_callback(sock.close)
            stream = FrameStream(sock, traffic, stall_timeout)
            await stream.send(Frame(1, sender_name, clock.monotonic(), NO_CLOCK_READING, message))
            answer = await stream.receive()
        except curio.TaskTimeout as error:
            raise PeerError('no answer in time', Verdict.UNKNOWN) from error
        except (OSError, FrameError) as error:
            raise PeerError(f'{error}', Verdict.UNKNOWN) from error
    if answer is None:
        raise PeerError('connection closed before the answer', Verdict.UNKNOWN)
    return answer
