"""An in-memory runner that follows the runner protocol, and an owner's term with it."""

from collections import deque

import curio

from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import (
    EndedRun,
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerView,
    RunningTask,
    RunOutcome,
    StartAnswer,
    StartReply,
    WriterFence,
)
from dandelionreel.cell.store._runner_projection import RunnerProjection
from dandelionreel.kernel import Verdict
from features.cell_parts import make_registration
from features.store_parts import Host, journal, make_dispatcher

#: Seconds between checks of a long poll for ended runs.
CHECK_SECONDS = 0.01


class MemoryRunner(Runner):
    """Obeys the highest epoch, records stops and drops runs with expired leases.

    Each start is answered with the next of ``replies``; ``None`` stands for a lost answer. The
    first ``ignored_stops`` stops are acknowledged but not carried out.
    """

    def __init__(self, clock):
        self.clock = clock
        self.reachable = True
        self.replies = deque()
        self.ignored_stops = 0
        self.stopped = []
        self.running = {}
        self.stopped_at = None
        #: Whether a long poll is in progress.
        self.waiting = False
        self._fence = 0
        self._ended = []

    async def start_task(self, order, check):
        """Answer a start with the next reply, and run it only if that is ``STARTED``."""
        if not check():
            raise RunnerError('no longer authorized', Verdict.NOT_RUN)
        self._check_epoch(order.epoch)
        reply = self.replies.popleft() if self.replies else StartReply.STARTED
        if reply is None:
            raise RunnerError('no answer in time', Verdict.UNKNOWN)
        if reply is StartReply.STARTED:
            self.running[order.task, order.run] = order.lease_until
        return StartAnswer(reply, self.clock.monotonic())

    async def stop_run(self, task, run, epoch):
        """Stop a run, and list its end."""
        self._check_epoch(epoch)
        self.stopped.append((task, run))
        if self.ignored_stops:
            self.ignored_stops -= 1
            return
        if self.running.pop((task, run), None) is not None:
            self.stopped_at = self.clock.monotonic()
            number = len(self._ended) + 1
            self._ended.append(EndedRun(number, task, run, RunOutcome.STOPPED, ''))

    async def poll(self, epoch, acknowledged, lease_until, wait):
        """Renew all leases, and answer when a run has ended or ``wait`` is over."""
        self._check_epoch(epoch)
        for key in self.running if lease_until is not None else ():
            self.running[key] = max(self.running[key], lease_until)
        until = self.clock.monotonic() + wait
        while not self._unacknowledged(acknowledged) and self.clock.monotonic() < until:
            self.waiting = True
            await curio.sleep(CHECK_SECONDS)
        self.waiting = False
        self._check_epoch(epoch)
        now = self.clock.monotonic()
        self.running = {key: until for key, until in self.running.items() if until > now}
        running = tuple(RunningTask(task, run, '', 0, 0.0) for task, run in self.running)
        return RunnerView(now, running, self._unacknowledged(acknowledged))

    async def close(self):
        """Do nothing, as no connection is open."""

    def _unacknowledged(self, acknowledged):
        return tuple(end for end in self._ended if end.number > acknowledged)

    def _check_epoch(self, epoch):
        if not self.reachable:
            raise RunnerError('no answer in time', Verdict.UNKNOWN)
        if epoch < self._fence:
            raise RunnerFenced('w1')
        self._fence = epoch


class OneRunnerOwner:
    """A host that owns the cell in epoch 2 after a silent owner, with one runner."""

    def __init__(self, topic):
        self.host = Host('me', topic)
        self.clock = self.host.clock
        self.runner = MemoryRunner(self.clock)
        self.runners = RunnerProjection(None, self.clock, journal())
        self.registration = make_registration('w1')
        self.runners.registration_by_id['w1'] = self.registration
        self.topic = topic

    def remove_entry(self):
        """Expire the runner's list entry while the runner stays alive."""
        self.runners.registration_by_id.clear()
        self.runners.removed_by_id['w1'] = (self.registration, self.clock.monotonic())

    async def begin(self):
        """Read the store, take the cell over and dispatch in the background."""
        await curio.spawn(self.host.follower.run, daemon=True)
        await self.host.follower.wait_until_fresh(self.clock.monotonic(), 5)
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
