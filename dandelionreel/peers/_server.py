"""Server for the messages of peers: one task per connection and one per message."""

from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import curio

from dandelionreel.http import listen, shut_down
from dandelionreel.kernel import Clock, Journal, Part, start_task
from dandelionreel.peers._codec import FrameError
from dandelionreel.peers._framing import FrameBudget, FrameStream, TrafficCounter
from dandelionreel.peers._link import PeerClocks
from dandelionreel.peers._messages import Frame, Message, Refused

#: Connections that are served: a few for each host of the largest cell.
MAX_CONNECTIONS = 1024

MessageHandler = Callable[[Frame], Awaitable[Message]]


class PeerServer:
    """Receives frames of peers and sends each answer on the same connection."""

    def __init__(
        self,
        sender_name: str,
        clock: Clock,
        peer_clocks: PeerClocks,
        journal: Journal,
        traffic: TrafficCounter,
    ) -> None:
        """Use ``sender_name`` as the sender of all answers."""
        self._sender_name = sender_name
        self._clock = clock
        self._peer_clocks = peer_clocks
        self._journal = journal
        self._traffic = traffic
        self._handler_by_type: dict[type, MessageHandler] = {}
        self._tasks: set[Any] = set()
        self._in_progress_by_type: Counter[type] = Counter()
        self._frame_budget = FrameBudget()
        self._connections = 0
        self.port = 0

    def count_in_progress(self, kind: type) -> int:
        """Return the number of messages of type ``kind`` that are not answered yet."""
        return self._in_progress_by_type[kind]

    def add_handler(self, kind: type, handler: MessageHandler) -> None:
        """Answer messages of type ``kind`` by ``handler``."""
        self._handler_by_type[kind] = handler

    async def start(self, stack: AsyncExitStack, address: str, port: int) -> None:
        """Bind at once and accept connections in the background until ``stack`` closes.

        A successful bind proves that an earlier incarnation at this address has ended.
        The port stays bound until the process exits, so a refused connection proves
        to peers that this incarnation has ended.
        """
        sock = listen(address, port)
        stack.push_async_callback(sock.close)
        self.port = sock.getsockname()[1]
        stack.push_async_callback(self._cancel_tasks)
        await start_task(stack, self._accept_connections, sock)

    async def _accept_connections(self, sock: Any) -> None:
        while True:
            client, _ = await sock.accept()
            if self._connections >= MAX_CONNECTIONS:
                await client.close()
                continue
            self._connections += 1
            self._tasks.add(await curio.spawn(self._serve_connection, client, daemon=True))

    async def _cancel_tasks(self) -> None:
        for task in tuple(self._tasks):
            await task.cancel()

    async def _serve_connection(self, client: Any) -> None:
        stream = FrameStream(client, self._traffic, budget=self._frame_budget)
        lock = curio.Lock()
        try:
            while True:
                frame = await stream.receive()
                if frame is None:
                    return
                self._peer_clocks.record(frame.sender, frame.clock)
                await self._spawn_answer_task(stream, lock, frame)
        except FrameError as error:
            self._journal.log(Part.PEERS, f'closed a connection of a peer: {error}.')
        except (OSError, curio.TaskTimeout):
            return
        finally:
            self._connections -= 1
            self._tasks.discard(await curio.current_task())
            await shut_down(client)
            # The shutdown makes a task that is blocked in sending an answer release the lock.
            async with lock:
                await client.close()

    async def _spawn_answer_task(self, stream: FrameStream, lock: Any, frame: Frame) -> None:
        # A task per message, so that a slow forward does not delay later heartbeats.
        task = await curio.spawn(self._answer_frame, stream, lock, frame, daemon=True)
        self._tasks.add(task)

    async def _answer_frame(self, stream: FrameStream, lock: Any, frame: Frame) -> None:
        kind = type(frame.message)
        self._in_progress_by_type[kind] += 1
        try:
            message = await self._dispatch_frame(frame)
            answer = Frame(
                frame.exchange,
                self._sender_name,
                self._clock.monotonic(),
                frame.clock,
                message,
            )
            async with lock:
                await stream.send(answer)
        except OSError:
            return
        finally:
            self._in_progress_by_type[kind] -= 1
            self._tasks.discard(await curio.current_task())

    async def _dispatch_frame(self, frame: Frame) -> Message:
        handler = self._handler_by_type.get(type(frame.message))
        if handler is None:
            return Refused('not a question')
        return await handler(frame)
