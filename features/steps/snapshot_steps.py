"""Steps for snapshots that are loaded after records have expired."""

import curio
from behave import given, then, when

from dandelionreel.cell.model._model import JobSpec, JobState
from dandelionreel.cell.model._records import (
    PROGRESS_PREFIX,
    SUBMISSION_PREFIX,
    Progress,
    Submission,
    make_progress_records,
    make_record,
)
from dandelionreel.cell.model._services import RecordBatch, RecordsExpired, StoreError
from dandelionreel.kernel import Verdict
from features.cell_parts import step
from features.store_parts import Host, until
from standins import MemoryTopic


class TruncatingTopic(MemoryTopic):
    """Topic that drops old records and reads a snapshot in two parts, between which a job ends."""

    truncated = False
    snapshot_served = False

    async def read(self, offset, wait, max_bytes):
        """Refuse expired records; answer nothing after the snapshot."""
        if self.snapshot_served:
            await curio.sleep(wait)
            raise StoreError('slow', Verdict.NOT_RUN)
        if self.truncated:
            raise RecordsExpired('expired')
        return await super().read(offset, wait, max_bytes)

    async def snapshot(self):
        """Return progress from before the end of the job, and submissions from after it."""
        first = await super().snapshot()
        if not self.truncated:
            return first
        end = Progress(1, JobState.COMPLETED, ended_at=1.0)
        await self.append(make_progress_records('j1', end), 0.1)
        second = await super().snapshot()
        self.snapshot_served = True
        ends = [record for record in first.records if record.key.startswith(PROGRESS_PREFIX)]
        others = [record for record in second.records if not record.key.startswith(PROGRESS_PREFIX)]
        return RecordBatch((*ends, *others), first.next_offset, first.next_offset)


@given('a host that has loaded all records of the store')
def has_read(context):
    context.topic = TruncatingTopic()
    context.host = Host('me', context.topic)
    submission = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
    record = make_record(f'{SUBMISSION_PREFIX}j1', submission)
    curio.run(context.topic.append, [record], 0.1)


@when('the store drops old records and a job ends while the host reads a snapshot')
def truncated(context):
    async def load_during_truncation():
        host = context.host
        await curio.spawn(host.follower.run, daemon=True)
        assert await host.follower.wait_until_fresh(host.clock.monotonic(), 5.0)
        assert host.projection.state.find_job('j1') is not None
        context.fresh_at_before = host.follower.fresh_at
        context.topic.truncated = True
        await until(lambda: context.topic.snapshot_served)
        await curio.sleep(0.01)

    curio.run(load_during_truncation)


@then('the host does not count as up to date before it has read the later records')
def not_complete(context):
    known = context.host.projection.state.find_job('j1')
    up_to_date = context.host.follower.fresh_at >= context.fresh_at_before
    assert known is not None or not up_to_date, (
        'the host counts as up to date without knowing the job'
    )
