"""Moves jobs out of a zone that is unreachable.

Only a job without an intent, the record that announces its start, can be moved.
The record of the move and an intent of that zone's dispatcher may both be written
to the zone's log stream. The first of them in the log wins, so a job never runs
in both zones (spec/attempts.py).
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
    not_run_error,
    outcome_unknown_error,
    start_task,
)
from dandelionreel.ownership import Membership, ShardProjection

WRITE_TIMEOUT_SECONDS = 10.0
READ_WAIT_SECONDS = 0.2
MAX_CATCH_UP_WAITS = 50
MOVE_BATCH_SIZE = 500
RETRY_AFTER_SECONDS = 5.0
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


class MoveBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to move the waiting jobs of one zone to another."""

    from_zone: str
    to_zone: str


class MoveResult(msgspec.Struct, frozen=True):
    """How many jobs were moved; repeat the request until it is 0."""

    moved: int


class _RemoteZone:
    """Another zone's log stream and its jobs, read for one move."""

    def __init__(
        self, log: LogService, stream: str, clock: Clock, records: Any, own_member: str
    ) -> None:
        self.reader = StreamReader(log, stream, clock, records)
        members = Membership(clock)
        shards = ShardProjection(members, clock)
        self.jobs = JobProjection(shards, 0, 0)
        for projection in (members, shards, self.jobs):
            self.reader.add_handler(projection.apply, projection.reset)
        # Every ``StreamWriter`` numbers its records from 0 on, and readers drop numbers that
        # they have seen from the same writer, so each move needs a new writer name.
        writer = f'{own_member}+{clock.unix_time():.6f}'
        self.writer = StreamWriter(log, self.reader, writer, clock)


class JobMover:
    """Moves waiting jobs of another zone into this one."""

    def __init__(
        self,
        own_member: str,
        settings: Settings,
        clock: Clock,
        log: LogService,
        records: Any,
        stream_name: str,
        own_writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Move jobs to the zone of ``settings``.

        ``stream_name`` is a format string that takes the name of a zone.
        """
        self._own_member = own_member
        self._zone = settings.availability_zone
        self._clock = clock
        self._log = log
        self._records = records
        self._stream_name = stream_name
        self._own_writer = own_writer
        self._journal = journal

    async def move_jobs_from(self, zone: str) -> MoveResult:
        """Move up to ``MOVE_BATCH_SIZE`` jobs to this zone; raises ``RequestError``.

        The call can be repeated, and then also completes an interrupted move.
        """
        async with AsyncExitStack() as stack:
            remote = _RemoteZone(
                self._log,
                self._stream_name.format(zone),
                self._clock,
                self._records,
                self._own_member,
            )
            await start_task(stack, remote.reader.run, READ_WAIT_SECONDS)
            await start_task(stack, remote.writer.run)
            await self._await_reader_caught_up(remote)
            try:
                return await self._move_jobs(remote, zone)
            except LogError as error:
                raise outcome_unknown_error(
                    HTTP_TIMEOUT,
                    'log-outcome-unknown',
                    f'{error}; move again, nothing is lost or doubled',
                ) from error

    async def _await_reader_caught_up(self, remote: _RemoteZone) -> None:
        for _ in range(MAX_CATCH_UP_WAITS):
            if remote.reader.caught_up:
                return
            await remote.reader.changed.wait(remote.reader.changed.count, READ_WAIT_SECONDS)
        raise _make_log_unavailable_error()

    async def _move_jobs(self, remote: _RemoteZone, zone: str) -> MoveResult:
        waiting = remote.jobs.jobs_in_state(JobState.WAITING)[:MOVE_BATCH_SIZE]
        for job in waiting:
            await remote.writer.write(JobMoved(job.id, self._zone), WRITE_TIMEOUT_SECONDS)
        moved = 0
        for job in remote.jobs.jobs_in_state(JobState.MOVED):
            if job.moved_to == self._zone and not job.ended_at:
                await self._complete_job_move(remote, job)
                moved += 1
        self._journal.log(Part.JOBS, f'moved {moved} jobs from {zone} to this zone.')
        return MoveResult(moved)

    async def _complete_job_move(self, remote: _RemoteZone, job: Job) -> None:
        # The job is accepted here first: the other zone's stream must not drop it before
        # this zone has stored it.
        accepted = JobAccepted(job.id, job.key, job.digest, job.spec)
        await self._own_writer.write(accepted, WRITE_TIMEOUT_SECONDS)
        await remote.writer.write(JobArrived(job.id), WRITE_TIMEOUT_SECONDS)


def _make_log_unavailable_error() -> RequestError:
    return not_run_error(
        HTTP_UNAVAILABLE,
        'log-unavailable',
        'the log is out of reach; nothing was moved',
        RETRY_AFTER_SECONDS,
    )
