"""Serves a small deployment's store and runners on loopback, in one thread."""

import asyncio
import json
import threading
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

from review.platform_log import PlatformLog, Reply
from review.platform_runner import CAPACITY, FleetRunner, Images, Run

HOST = '127.0.0.1'
SERVICE = 'passdesk'
ZONES = ('ub-hall-a', 'ub-hall-b', 'ub-hall-c', 'ub-hall-d')
#: One runner in eight is of another kind.
KINDS = ('a', 'a', 'a', 'a', 'a', 'a', 'a', 'b')
HEARTBEAT_SECONDS = 1.5
#: Seconds of silence after which the entry of a runner is removed: three heartbeats.
ENTRY_SECONDS = 4.5
MAX_ATTEMPTS = 3
HEADER_LIMIT = 4_194_304

Answer = Callable[[str, dict[str, str], dict[str, str], bytes], Awaitable[Reply]]


class Listener:
    """An HTTP server on a free port whose connections can be closed at once."""

    def __init__(self, answer: Answer) -> None:
        """Answer each request by ``answer``."""
        self.port = 0
        self._answer = answer
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, self.port, limit=HEADER_LIMIT)
        self.port = server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            is_open = True
            while is_open:
                is_open = await self._serve_request(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
        target = urlsplit(head[0].split(' ')[1])
        header_by_name = {}
        for line in head[1:]:
            name, _, content = line.partition(':')
            header_by_name[name.strip().lower()] = content.strip()
        body = await reader.readexactly(int(header_by_name.get('content-length', '0')))
        query = dict(parse_qsl(target.query))
        status, content = await self._answer(target.path, query, header_by_name, body)
        if not status:
            return False
        writer.write(f'HTTP/1.1 {status} X\r\ncontent-length: {len(content)}\r\n\r\n'.encode())
        writer.write(content)
        await writer.drain()
        return True


class PlatformFleet:
    """The store and the runners; methods may be called from any thread."""

    def __init__(self, runners: int = 8) -> None:
        """Prepare ``runners`` runners, in each zone in turn."""
        self.log = PlatformLog()
        self.images = Images()
        self.runs: list[Run] = []
        self.runners = [
            FleetRunner(f'i-{number:010x}', self.runs, self.images) for number in range(runners)
        ]
        self.store = Listener(self._answer_store)
        self._listeners = [Listener(self._make_answer(runner)) for runner in self.runners]
        self._loop = asyncio.new_event_loop()
        self._lives = 0
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Serve, write the first configuration, and register the runners."""
        self._thread.start()
        self._call(self._start())

    def stop(self) -> None:
        """Stop serving."""
        self._call(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def crash(self, number: int, down_seconds: float) -> None:
        """Crash a runner; after a while another life begins at its address, with a new id."""
        self._call(self._crash(number, down_seconds))

    def lose(self, number: int) -> None:
        """Lose a runner for good: it and its address answer nothing any more."""
        self._call(self._lose(number))

    def running_cpu(self, cpu_by_job: dict[str, int]) -> int:
        """Return the processors that runs use now."""
        now = time.monotonic()
        return sum(
            cpu_by_job.get(run.task.split('.')[0], 0)
            for run in tuple(self.runs)
            if run.ended is None and run.ends_at > now
        )

    def _call(self, work: Awaitable) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result()  # type: ignore[arg-type]

    def _make_answer(self, runner: FleetRunner) -> Answer:
        async def answer(
            path: str, query: dict[str, str], header_by_name: dict[str, str], body: bytes
        ) -> Reply:
            if runner.is_lost:
                await asyncio.Event().wait()
            if runner.is_down:
                return 0, b''
            life = runner.life
            expected = header_by_name.get('x-expected-instance', '')
            reply = await runner.answer(path, expected, json.loads(body))
            return reply if runner.life is life and not runner.is_down else (0, b'')

        return answer

    async def _answer_store(
        self, path: str, query: dict[str, str], header_by_name: dict[str, str], body: bytes
    ) -> Reply:
        return await self.log.answer(path, query, body)

    async def _cancel_tasks(self) -> None:
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def _start(self) -> None:
        for listener in (self.store, *self._listeners):
            await listener.start()
        route = {
            'name': 'desk',
            'host': 'desk.example',
            'path_prefix': '/desk/',
            'service': SERVICE,
            'timeout_ms': 3000,
            'target_latency_ms': 250,
            'max_attempts': MAX_ATTEMPTS,
            'slack_factor': 2.0,
        }
        services = [{'name': SERVICE}]
        document = {'version': 7, 'routes': [route], 'services': services, 'limits': {}}
        await self.log.put('keyed.op', 'config', document)
        for number, _ in enumerate(self.runners):
            self._loop.create_task(self._send_heartbeats(number))

    async def _send_heartbeats(self, number: int) -> None:
        sequence = 0
        while True:
            if not self.runners[number].is_down:
                sequence += 1
                await self._register(number, sequence)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _register(self, number: int, sequence: int) -> None:
        entry = {
            'service': SERVICE,
            'address': f'{HOST}:{self._listeners[number].port}',
            'zone': ZONES[number % len(ZONES)],
            'version': '1.4.2',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': sequence,
            'capacity': CAPACITY,
            'labels': [KINDS[number % len(KINDS)], f'r-{number // 4}'],
        }
        await self.log.put('keyed.servers', self.runners[number].life.name, entry)

    async def _crash(self, number: int, down_seconds: float) -> None:
        runner = self.runners[number]
        former = runner.life.name
        runner.crash()
        self._listeners[number].reset()
        self._loop.create_task(self._restart(number, down_seconds))
        self._loop.create_task(self._remove_entry(former))

    async def _lose(self, number: int) -> None:
        runner = self.runners[number]
        runner.crash()
        runner.is_lost = True
        self._loop.create_task(self._remove_entry(runner.life.name))

    async def _restart(self, number: int, down_seconds: float) -> None:
        await asyncio.sleep(down_seconds)
        self._lives += 1
        self.runners[number].restart(f'i-{self._lives:06x}{number:04x}')
        await self._register(number, 1)

    async def _remove_entry(self, name: str) -> None:
        await asyncio.sleep(ENTRY_SECONDS)
        await self.log.put('keyed.servers', name, None)
