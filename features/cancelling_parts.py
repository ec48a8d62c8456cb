"""A runner in memory that keeps the rules of runners, and an owner's whole term around it."""

from collections import deque

import curio

from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import (
    EndedRun,
    Outcome,
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerView,
    RunningTask,
    StartAnswer,
    StartReply,
    WriterFence,
)
from dandelionreel.cell.store._runner_projection import RunnerProjection
from dandelionreel.kernel import Verdict
from features.cell_parts import make_registration
from features.store_parts import Host, journal, make_dispatcher

#: Seconds between two looks of the runner itself at what has ended.
TURN = 0.01


class MemoryRunner(Runner):
    """Obeys the highest epoch, remembers stops and drops what nobody renews.

    ``replies`` are taken one for each start: ``None`` loses the answer. The first
    ``deaf`` stops are answered and not carried out.
    """

    def __init__(self, clock):
        self.clock = clock
        self.reached = True
        self.replies = deque()
        self.deaf = 0
        self.stopped = []
        self.running = {}
        self.stopped_at = None
        #: Whether a look waits for news.
        self.waiting = False
        self._fence = 0
        self._ended = []

    async def start(self, order, check):
        """Answer a start as told, and run it only where that is the answer."""
        if not check():
            raise RunnerError('no authority any more', Verdict.NOT_RUN)
        self._reach(order.epoch)
        reply = self.replies.popleft() if self.replies else StartReply.STARTED
        if reply is None:
            raise RunnerError('no answer in time', Verdict.UNKNOWN)
        if reply is StartReply.STARTED:
            self.running[order.task, order.run] = order.lease_until
        return StartAnswer(reply, self.clock.monotonic())

    async def stop(self, task, run, epoch):
        """Stop a run, and list its end."""
        self._reach(epoch)
        self.stopped.append((task, run))
        if self.deaf:
            self.deaf -= 1
            return
        if self.running.pop((task, run), None) is not None:
            self.stopped_at = self.clock.monotonic()
            number = len(self._ended) + 1
            self._ended.append(EndedRun(number, task, run, Outcome.STOPPED, ''))

    async def poll(self, epoch, acknowledged, lease_until, wait):
        """Renew all leases, and list everything once there is an end or the time is up."""
        self._reach(epoch)
        for key in self.running if lease_until is not None else ():
            self.running[key] = max(self.running[key], lease_until)
        until = self.clock.monotonic() + wait
        while not self._unnoted(acknowledged) and self.clock.monotonic() < until:
            self.waiting = True
            await curio.sleep(TURN)
        self.waiting = False
        self._reach(epoch)
        now = self.clock.monotonic()
        self.running = {key: until for key, until in self.running.items() if until > now}
        running = tuple(RunningTask(task, run, '', 0, 0.0) for task, run in self.running)
        return RunnerView(now, running, self._unnoted(acknowledged))

    async def close(self):
        """Nothing is open."""

    def _unnoted(self, acknowledged):
        return tuple(end for end in self._ended if end.number > acknowledged)

    def _reach(self, epoch):
        if not self.reached:
            raise RunnerError('no answer in time', Verdict.UNKNOWN)
        if epoch < self._fence:
            raise RunnerFenced('w1')
        self._fence = epoch


class SmallOwner:
    """A host that follows a topic and has won epoch 2 after a silent owner."""

    def __init__(self, topic):
        self.host = Host('me', topic)
        self.clock = self.host.clock
        self.runner = MemoryRunner(self.clock)
        self.runners = RunnerProjection(None, self.clock, journal())
        self.registration = make_registration('w1')
        self.runners.registration_by_id['w1'] = self.registration
        self.topic = topic

    def remove_entry(self):
        """Let the runner's entry expire, while the runner lives on."""
        self.runners.registration_by_id.clear()
        self.runners.removed_by_id['w1'] = (self.registration, self.clock.monotonic())

    async def begin(self):
        """Read the store, take over and dispatch in the background."""
        await curio.spawn(self.host.follower.run, daemon=True)
        await self.host.follower.wait_fresh(self.clock.monotonic(), 5)
        term = Term(2, 'me/1', WriterFence(2, 1), self.clock.monotonic(), False, False)
        self.dispatcher = make_dispatcher(
            self.host,
            term,
            self.topic,
            self.clock,
            lambda registration: self.runner,
            self.runners,
        )
        await curio.spawn(self.dispatcher.run, daemon=True)
