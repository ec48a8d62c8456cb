"""Takes over jobs of a zone that is out of reach.

Only jobs without an intent can be moved. The move and an intent of the zone's
own dispatcher race in that zone's stream; whichever stands first in the log
wins, so a job never runs in both zones (spec/attempts.py).
"""

from contextlib import AsyncExitStack
from typing import Any

import msgspec

from dandelionreel.backing import LogError, LogService, StreamReader, StreamWriter
from dandelionreel.jobs._job_projection import Job, JobProjection, JobState
from dandelionreel.jobs._records import JobAccepted, JobArrived, JobMoved
from dandelionreel.kernel import (
    Clock,
    Journal,
    Part,
    RequestError,
    Settings,
    not_run,
    start_task,
    unknown,
)
from dandelionreel.ownership import Membership, ShardFold

WRITE_PATIENCE = 10.0
ROUND_SECONDS = 0.2
CATCH_UP_ROUNDS = 50
MOVED_AT_ONCE = 500
RETRY_AFTER = 5.0
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


class MoveBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which zone's waiting jobs go to which."""

    from_zone: str
    to_zone: str


class MoveResult(msgspec.Struct, frozen=True):
    """How many jobs have moved; ask again while it is not 0."""

    moved: int


class _ForeignZone:
    """Another zone's stream, folded for one move."""

    def __init__(self, log: LogService, stream: str, clock: Clock, records: Any, me: str) -> None:
        self.reader = StreamReader(log, stream, clock, records)
        members = Membership(clock)
        shards = ShardFold(members, clock)
        self.jobs = JobProjection(shards, 0, 0)
        for part in (members, shards, self.jobs):
            self.reader.add(part.fold, part.reset)
        # The daemon's name there is new for each move: its numbers start over.
        writer = f'{me}+{clock.wall():.6f}'
        self.writer = StreamWriter(log, self.reader, writer, clock)


class JobMover:
    """Moves waiting jobs of another zone into this one."""

    def __init__(
        self,
        me: str,
        settings: Settings,
        clock: Clock,
        log: LogService,
        records: Any,
        stream_name: str,
        own_writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Move jobs to the zone of ``settings``; ``stream_name`` has a place for a zone."""
        self._me = me
        self._zone = settings.availability_zone
        self._clock = clock
        self._log = log
        self._records = records
        self._stream_name = stream_name
        self._own_writer = own_writer
        self._journal = journal

    async def move_from(self, zone: str) -> MoveResult:
        """Move up to ``MOVED_AT_ONCE`` jobs here; raises ``RequestError``.

        Safe to repeat: what a move that was cut short has left is finished.
        """
        async with AsyncExitStack() as stack:
            foreign = _ForeignZone(
                self._log,
                self._stream_name.format(zone),
                self._clock,
                self._records,
                self._me,
            )
            await start_task(stack, foreign.reader.run, ROUND_SECONDS)
            await start_task(stack, foreign.writer.run)
            await self._catch_up(foreign)
            try:
                return await self._move(foreign, zone)
            except LogError as error:
                raise unknown(
                    HTTP_TIMEOUT,
                    'log-outcome-unknown',
                    f'{error}; move again, nothing is lost or doubled',
                ) from error

    async def _catch_up(self, foreign: _ForeignZone) -> None:
        for _ in range(CATCH_UP_ROUNDS):
            if foreign.reader.caught_up:
                return
            await foreign.reader.changed.wait(foreign.reader.changed.count, ROUND_SECONDS)
        raise _log_is_out()

    async def _move(self, foreign: _ForeignZone, zone: str) -> MoveResult:
        waiting = foreign.jobs.in_state(JobState.WAITING)[:MOVED_AT_ONCE]
        for job in waiting:
            await foreign.writer.write(JobMoved(job.id, self._zone), WRITE_PATIENCE)
        arrived = 0
        for job in foreign.jobs.in_state(JobState.MOVED):
            if job.moved_to == self._zone and not job.ended_at:
                await self._arrive(foreign, job)
                arrived += 1
        self._journal.tell(Part.JOBS, f'moved {arrived} jobs here from {zone}.')
        return MoveResult(arrived)

    async def _arrive(self, foreign: _ForeignZone, job: Job) -> None:
        # Accepted here first: the other stream must not forget it before.
        accepted = JobAccepted(job.id, job.key, job.digest, job.spec)
        await self._own_writer.write(accepted, WRITE_PATIENCE)
        await foreign.writer.write(JobArrived(job.id), WRITE_PATIENCE)


def _log_is_out() -> RequestError:
    return not_run(
        HTTP_UNAVAILABLE,
        'log-unavailable',
        'the log is out of reach; nothing was moved',
        RETRY_AFTER,
    )
