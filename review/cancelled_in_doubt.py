"""Case 11: a job whose hand-in is in doubt is cancelled, and runs all the same.

``python3 -m review.cancelled_in_doubt FOLDER`` plays it. The exit status is 1 if the rule was
broken, 0 if it held and 2 if the case could not be played.
"""

import random
import sys
import threading
import time
from dataclasses import dataclass
from functools import partial

import curio

from dandelionreel.http import Request, Response
from review.loopback_deployment import (
    BROKEN,
    HELD,
    HTTP_OK,
    LimitedStore,
    Play,
    make_job,
    play_case,
)

#: The disruption: the share of appends without an answer, how long it lasts, how often it comes,
#: and how late such an append is carried out.
LOST_SHARE = 0.35
LOSS_SECONDS = 4.5
LOSSES = 2
LATEST_SECONDS = 6.0
CALM_SECONDS = 7.0
#: Bounds of the rule and of the site, in seconds.
CONTACT_SECONDS = 3.0
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.2
#: Clients: each hands a job in every so often, at one host, for as long as losses may come.
CLIENTS = 9
PAUSE_SECONDS = 0.3
TASK_SECONDS = 120
TASK_CPU = 50
HTTP_GONE = 410
HTTP_UNAVAILABLE = 503
CANCEL_TRIES = 5


class LosingStore(LimitedStore):
    """A store that, while ``loses``, leaves a share of the appends without an answer."""

    def __init__(self, seed: int) -> None:
        """Lose nothing yet."""
        super().__init__(seed)
        self.loses = False
        self.appends = 0
        self.lost = 0
        self._draw = random.Random()

    async def handle(self, request: Request) -> Response:
        """Answer a request, or carry an append out late and never answer it."""
        if not self.loses or request.path != '/v1/log-append':
            return await super().handle(request)
        self.appends += 1
        if self._draw.random() >= LOST_SHARE:
            return await super().handle(request)
        self.lost += 1
        await curio.spawn(self._append_late, request, daemon=True)
        await curio.Event().wait()
        raise AssertionError

    async def _append_late(self, request: Request) -> None:
        await curio.sleep(self._draw.uniform(1, LATEST_SECONDS))
        await self._answer(request)


@dataclass
class Cancelled:
    """A job that its client has cancelled, and when that was answered."""

    job: str
    answered_at: float
    status: int


class Clients:
    """Clients that cancel a job whose hand-in gets no clear answer."""

    def __init__(self, play: Play) -> None:
        """Start none yet."""
        self.cancelled: list[Cancelled] = []
        self.stop = threading.Event()
        self._play = play
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CLIENTS)
        ]

    def start(self) -> None:
        """Start all clients."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """End all clients."""
        self.stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        count = 0
        while not self.stop.wait(PAUSE_SECONDS):
            count += 1
            self._submit(f'{number + 1:08x}{count:08x}', number)

    def _submit(self, job: str, number: int) -> None:
        hosts = self._play.hosts
        name = hosts.names[number % len(hosts.names)]
        body = make_job(TASK_SECONDS, 1, TASK_CPU)
        reply = hosts.request(name, 'POST', f'/plain/{job}', body, wait=3)
        if reply.status in {HTTP_OK, HTTP_UNAVAILABLE}:
            return
        self._play.note(f'POST {job} at {name}: {reply.status or "no answer"}; it is cancelled')
        self._cancel(job, number + 1)

    def _cancel(self, job: str, first: int) -> None:
        hosts = self._play.hosts
        for attempt in range(CANCEL_TRIES):
            name = hosts.names[(first + attempt) % len(hosts.names)]
            reply = hosts.request(name, 'DELETE', f'/plain/{job}', wait=3)
            self._play.note(f'DELETE {job} at {name}: {reply.status or "no answer"}')
            if reply.status in {HTTP_OK, HTTP_GONE}:
                self.cancelled.append(Cancelled(job, time.monotonic(), reply.status))
                return


def run_past_bound(play: Play, cancelled: Cancelled, calm_since: float) -> list[str]:
    """Return the runs of a cancelled job that are there after the bound, in calm."""
    bound = max(cancelled.answered_at, calm_since) + CANCEL_SECONDS + STOP_SECONDS
    return [
        f'{run.task} run {run.number} on {run.runner}'
        for run in play.platform.collect_runs()
        if run.task.startswith(cancelled.job) and (run.ended is None or run.ended > bound)
    ]


def lose_answers(store: LosingStore, trouble: bool) -> None:
    """Let the store lose answers, several times; without trouble, let the same time pass."""
    for _ in range(LOSSES):
        store.loses = trouble
        time.sleep(LOSS_SECONDS)
        store.loses = False
        time.sleep(CALM_SECONDS)


def play_losses(store: LosingStore, play: Play, trouble: bool) -> int:
    """Play the clients while the store loses answers, then wait until all is calm."""
    clients = Clients(play)
    clients.start()
    lose_answers(store, trouble)
    clients.join()
    # The store has carried out what was late, and the machines are in touch.
    calm_since = time.monotonic() + CONTACT_SECONDS
    time.sleep(CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS + 1)
    play.note_counts()
    play.note(f'{store.lost} of {store.appends} appends got no answer while some were lost')
    return judge(play, clients, calm_since)


def judge(play: Play, clients: Clients, calm_since: float) -> int:
    """Judge UNASKED for the cancelled jobs."""
    running = 0
    for cancelled in clients.cancelled:
        found = run_past_bound(play, cancelled, calm_since)
        running += bool(found)
        play.note(
            f'{cancelled.job}: cancelled, answered {cancelled.status}; '
            f'{", ".join(found) or "nothing runs"}; {play.ask(cancelled.job) if found else ""}'
        )
    play.note(f'{running} of {len(clients.cancelled)} cancelled jobs run')
    return BROKEN if running else HELD


def main(folder: str) -> int:
    """Play the case."""
    store = LosingStore(1)
    return play_case(folder, 'UNASKED', partial(play_losses, store), store)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1]))
