"""Mutation test of safety guards: ``make guards``.

Weakens one guard at a time in a scratch copy of the repository; the scenario named with it
must then fail, since a check that cannot fail proves nothing. Each entry has the guard, the
source text that implements it, its replacement, and the scenario that must notice.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
PARALLEL_RUNS = 3
TIMEOUT_SECONDS = 280


@dataclass(frozen=True)
class Guard:
    """A guard, and the scenario that fails without it (``file.feature:WORD``)."""

    name: str
    file: str
    text: str
    weakened: str
    feature: str


GUARDS = (
    Guard(
        'repeats are applied once',
        'backing/_stream.py',
        'if self.has_seen(envelope.writer, envelope.number):',
        'if False:',
        'parts.feature:TWICE',
    ),
    Guard(
        'claims wait until a truncated log is covered',
        'backing/_stream.py',
        'return self._clock.unix_time() - self._first_written_at >= seconds',
        'return True',
        'parts.feature:MIDDLE',
    ),
    Guard(
        'the ledger refuses what does not fit',
        'workers/_ledger.py',
        'if not (self.total_demand() + demand).fits(self.usable_capacity(grant)):',
        'if False:',
        'parts.feature:LEDGER',
    ),
    Guard(
        'a slot is held until the runner is done',
        'routing/_runner.py',
        'await curio.ignore_after(timeout, exchange.done.wait)',
        'await curio.ignore_after(timeout, exchange.done.wait); '
        'self.in_use -= 0 if exchange.done.is_set() else 1',
        'requests.feature:LATE',
    ),
    Guard(
        'not_run only when no byte left',
        'routing/_runner.py',
        'self.sent = self._may_send()\n        return self.sent',
        'return self._may_send()',
        'requests.feature:LATE',
    ),
    Guard(
        'only the very intent that landed counts',
        'jobs/_job_projection.py',
        'return identity == (last.number, last.epoch, last.member, last.workers)',
        'return identity[:2] == (last.number, last.epoch)',
        'parts.feature:GIVEN UP',
    ),
    Guard(
        'an intent counts under the epoch at its place',
        'jobs/_job_projection.py',
        'if record.epoch != self._shards.epoch(DISPATCH_SHARD):',
        'if False:',
        'parts.feature:FORMER',
    ),
    Guard(
        'views are not passed on',
        'ownership/_promises.py',
        '{*self._members_known_first_hand(), self._own_member}',
        '{*self.required_members(), self._own_member}',
        'parts.feature:VIEW',
    ),
    Guard(
        'a lost settlement is never started again',
        'jobs/_job_projection.py',
        'return replace(job, state=JobState.UNCERTAIN)',
        'return replace(job, state=JobState.WAITING)',
        'recovery.feature:SETTLEMENT',
    ),
    Guard(
        'all members stage before a version is in force',
        'contracts/_contract_projection.py',
        'missing=members,',
        'missing=frozenset(),',
        'contracts.feature:PAUSED',
    ),
    Guard(
        'a leaving endpoint gets nothing new',
        'backing/_hosts.py',
        "return self.state == 'live'",
        'return True',
        'requests.feature:LEAVES',
    ),
    Guard(
        'two daemons that lost each other say they live',
        'ownership/_peer_monitor.py',
        'return now - alive_at >= ALIVE_PERIODS * period',
        'return True',
        'cuts.feature:EACH OTHER',
    ),
    Guard(
        'neighbours renew for an owner that died in an outage',
        'workers/_fleet.py',
        'await agent.renew_for_silent_owner()',
        'pass',
        'recovery.feature:RENEW',
    ),
    Guard(
        'a gang starts at once or not at all',
        'placement/_policy.py',
        '            if needed == 0:\n',
        '            chosen = chosen[:1] * work.tasks\n            if chosen:\n',
        'work.feature:GANG',
    ),
    Guard(
        'a runner that says that it leaves has not crashed',
        'cell/decisions/_runner_losses.py',
        'if runner.draining:',
        'if False:',
        'losses.feature:PROOF',
    ),
    Guard(
        'leases that run out are no crash',
        'cell/decisions/_cell.py',
        'self._losses.record_lapsed_runner(runner)',
        'self._losses.count_crashes_on_ended_runner(runner)',
        'losses.feature:PROOF',
    ),
    Guard(
        'a run that its runner never had counts for nothing',
        'cell/decisions/_runner_losses.py',
        'or not run.may_have_run',
        '',
        'losses.feature:NEVER HAD',
    ),
    Guard(
        'a run that was well for long counts for nothing',
        'cell/decisions/_runner_losses.py',
        '>= HEALTHY_SECONDS',
        '>= 1e9',
        'losses.feature:NEVER HAD',
    ),
    Guard(
        'a crash counts once',
        'cell/decisions/_crashes.py',
        'if run in runs:',
        'if False:',
        'losses.feature:ONCE',
    ),
    Guard(
        'quarantined tasks start by themselves',
        'cell/decisions/_runner_state.py',
        'if self._quarantined:',
        'if False:',
        'losses.feature:QUARANTINE',
    ),
    Guard(
        'first starts of a lost owner raise doubt',
        'cell/decisions/_runner_losses.py',
        'job.mark_crashes_incomplete()',
        'pass',
        'losses.feature:SUCCESSOR',
    ),
    Guard(
        'room is looked at before each send',
        'cell/decisions/_cell.py',
        'return runner.has_capacity_for(allocation)',
        'return True',
        'capacity.feature:ROOM',
    ),
    Guard(
        'each connection to a runner is checked for its incarnation',
        'platform/_runners.py',
        "return Channel(address, port, 'runner', check_peer=self._check_peer)",
        "return Channel(address, port, 'runner')",
        'incarnations.feature:RESTARTED',
    ),
    Guard(
        'a lost read of the configuration leaves time for the next one',
        'entry_reads.py',
        'wait = configuration_deadline - READ_TIMEOUT - OPERATOR_REREAD_SECONDS',
        'wait = MAX_OPERATOR_WAIT_SECONDS',
        'configuration.feature:LOST READ',
    ),
    Guard(
        "only the operator's topic confirms a configuration",
        'entry_reads.py',
        'return min(self.answered_at, self.operator_follower.current_at(now))',
        'return self.answered_at',
        'configuration.feature:OTHER TOPICS',
    ),
    Guard(
        'a host that may be behind does not deny a queue',
        'cell/clients/_queue_lookup.py',
        'if self._exchange.configuration_age() < MAX_AGE_SECONDS:',
        'if True:',
        'configuration.feature:QUEUE',
    ),
    Guard(
        'versions that have been replaced are not read',
        'cell/store/_follower.py',
        'skips = self._skips_backlog and not batch.reached_end',
        'skips = False',
        'configuration.feature:BACKLOG',
    ),
    Guard(
        'a read of the store that makes progress is kept',
        'platform/_store.py',
        'READ_TIMEOUT + wait, stall_timeout=READ_TIMEOUT',
        'READ_TIMEOUT + wait',
        'configuration.feature:PROGRESS',
    ),
    Guard(
        'peers do not reply with large documents',
        'cell/membership/_configuration_exchange.py',
        'if len(document) > MAX_INLINE_BYTES:',
        'if False:',
        'configuration.feature:PEERS',
    ),
    Guard(
        'what a peer has sent is not read from the store',
        'cell/membership/_configuration_download.py',
        'await self._skip_to(reply.next_offset)',
        'pass',
        'configuration.feature:PEERS',
    ),
    Guard(
        'a version that is known to be outdated is not used for long',
        'cell/clients/_queue_lookup.py',
        'self._exchange.seconds_behind() > self._max_seconds_behind',
        'False',
        'configuration.feature:OUTDATED',
    ),
    Guard(
        'a host that receives from the store is not cut off',
        'cell/membership/_partition_detector.py',
        'return max(self._store_answered_at(), self._store_received_at())',
        'return self._store_answered_at()',
        'contact.feature:RECEIVES',
    ),
    Guard(
        'only a stored state is shown',
        'cell/decisions/_job_run.py',
        'return self.stored_state',
        'return self.state',
        'completions.feature:LISTED END',
    ),
    Guard(
        'no refusal is passed on after an attempt in doubt',
        'cell/clients/_write_attempts.py',
        'return None if self.in_doubt else self._response',
        'return self._response',
        'refusals.feature:DOUBT',
    ),
    Guard(
        'a lease ends a bounded time after the last append',
        'cell/owner/_owner_context.py',
        'min(self.lease, self.writer.stored_at + LEASE_LIMIT_SECONDS - now)',
        'self.lease',
        'wait.feature:LAST LEASE',
    ),
    Guard(
        'a successor waits for the leases that the record of its predecessor names',
        'cell/owner/_predecessor_leases.py',
        'self.expire_at = max(now + leases_end, self._earlier_leases_end_at)',
        'self.expire_at = now + self._max_lease_seconds',
        'wait.feature:REACHES',
    ),
    Guard(
        'an owner grants no lease on a runner that the store names as unreached',
        'cell/owner/_runner_poller.py',
        'if state.id in self._owner_context.unreached_runners.withheld:',
        'if False:',
        'wait.feature:UNREACHED',
    ),
    Guard(
        'the leases of earlier owners last on a runner without a lease of its owner',
        'cell/owner/_runner_poller.py',
        'state.renew_lease(now, self._owner_context.lease)',
        'pass',
        'wait.feature:LISTS',
    ),
    Guard(
        'a record of unreached runners counts for the next owner only',
        'cell/owner/_predecessor_leases.py',
        'if former is None or former.epoch != cell_state.former_epoch:',
        'if former is None:',
        'wait.feature:BETWEEN',
    ),
    Guard(
        'only a current owner removes members',
        'cell/owner/_member_cleanup.py',
        'if not self._owner_context.may_start_tasks():',
        'if False:',
        'members.feature:MEMBER',
    ),
    Guard(
        'a job is denied only after a read that follows the request',
        'cell/clients/_client_api.py',
        'if self._follower.fresh_at < call.received_at and',
        'if self._follower.fresh_at < call.received_at - MAX_STATE_AGE_SECONDS and',
        'completions.feature:NOT READ',
    ),
    Guard(
        'losses by chance end no job',
        'cell/decisions/_crashes.py',
        'return proven >= PROVEN_CRASH_LIMIT or',
        'return self.count(task) >= PROVEN_CRASH_LIMIT or',
        'losses.feature:BY CHANCE',
    ),
    Guard(
        'a task of a step that lasts is not given up',
        'cell/decisions/_job_run.py',
        'self.crashes.has_reached_crash_limit(name) and not found[0].step.long_running',
        'self.crashes.has_reached_crash_limit(name)',
        'losses.feature:BY CHANCE',
    ),
    Guard(
        'a runner that was heard after its connection broke has not crashed during the start',
        'cell/decisions/_runner_losses.py',
        '> run.crash_seen_at:',
        "> float('inf'):",
        'losses.feature:CULPRIT',
    ),
    Guard(
        'of two starts that were pending none is proven to have crashed the runner',
        'cell/decisions/_runner_losses.py',
        'other.is_start_pending for other',
        'False for other',
        'losses.feature:CULPRIT',
    ),
    Guard(
        'rows of crashes do not grow with the losses',
        'cell/decisions/_crashes.py',
        'if len(runs) > CRASH_LIMIT:',
        'if False:',
        'losses.feature:MANY LOSSES',
    ),
    Guard(
        'a start is not sent to a process that does not answer a check',
        'http/_client.py',
        'if verify_peer is not None:',
        'if False:',
        'incarnations.feature:BREAKS',
    ),
    Guard(
        'only a connection that was checked proves a crash',
        'platform/_runners.py',
        'was_alive=verify_peer and broken',
        'was_alive=broken',
        'incarnations.feature:BREAKS',
    ),
    Guard(
        'starts after a crash are checked',
        'cell/owner/_orders.py',
        'verify_peer=job.crashes.may_crash_runners(allocation.task)',
        'verify_peer=False',
        'crashes.feature:EACH RUNNER',
    ),
)
#: The part of a scenario title that each WORD of ``Guard.feature`` stands for.
TITLE_PART_BY_WORD = {
    'LOST READ': 'are never answered',
    'OTHER TOPICS': 'all topics but',
    'QUEUE': 'a queue that a host does not know',
    'BACKLOG': 'Many versions',
    'PROGRESS': 'takes most of the deadline',
    'PEERS': 'Peers have a large version',
    'OUTDATED': 'a newer version that it cannot get',
    'RECEIVES': 'A host receives a long answer',
    'TWICE': 'is in the log twice',
    'MIDDLE': 'begins in the middle',
    'LEDGER': 'A ledger of 8',
    'GIVEN UP': 'write timed out is appended',
    'FORMER': 'of a former dispatcher is appended',
    'VIEW': 'known at first hand',
    'LATE': 'Answers arrive after their deadline',
    'SETTLEMENT': 'A worker is lost',
    'PAUSED': 'A member is paused',
    'LEAVES': 'An endpoint leaves',
    'EACH OTHER': 'lose their link to each other',
    'GANG': 'A gang starts',
    'PROOF': 'What proves that a runner',
    'NEVER HAD': 'Which runs a runner crash',
    'ONCE': 'seen by several exchanges',
    'QUARANTINE': 'Quarantined tasks',
    'BY CHANCE': 'lost by chance end no job',
    'CULPRIT': 'that a start has crashed its runner',
    'MANY LOSSES': 'Many runners are lost',
    'BREAKS': 'breaks the connection of a start',
    'EACH RUNNER': 'A task crashes each runner',
    'SUCCESSOR': 'What a successor knows',
    'ROOM': 'between a decision',
    'RENEW': 'An owner dies while the log is unavailable',
    'RESTARTED': 'A call to a runner that has restarted',
    'LISTED END': 'A runner lists the end',
    'NOT READ': 'that the host has not read',
    'DOUBT': 'gives no clear answer',
    'LAST LEASE': 'grants while the store does not answer',
    'REACHES': 'only the previous owner reaches',
    'MEMBER': 'An owner queries a member',
    'UNREACHED': 'has named it as unreached',
    'LISTS': 'answers an owner once',
    'BETWEEN': 'An owner between two others',
}


def find_scenario(feature: str) -> str:
    """Return ``file:line`` of the scenario given as ``file.feature:WORD``."""
    name, _, word = feature.partition(':')
    path = ROOT / 'features' / name
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if 'Scenario' in line and TITLE_PART_BY_WORD[word] in line:
            return f'features/{name}:{number}'
    raise LookupError(feature)


def try_guard(guard: Guard) -> tuple[Guard, bool]:
    """Return the guard and whether its scenario fails without it."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / 'tree'
        ignored = shutil.ignore_patterns('.git', '.venv', '*cache*', '*.egg-info')
        shutil.copytree(ROOT, copy, ignore=ignored)
        path = copy / 'dandelionreel' / guard.file
        text = path.read_text()
        if guard.text not in text:
            raise LookupError(f'{guard.file} does not contain {guard.text!r}')
        path.write_text(text.replace(guard.text, guard.weakened))
        completed = subprocess.run(
            [sys.executable, '-m', 'features.run', '--one', find_scenario(guard.feature)],
            cwd=copy,
            env={'PYTHONPATH': str(copy), 'PATH': ''},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
    return guard, completed.returncode != 0


def main() -> int:
    """Print each guard and whether its scenario notices; return 0 if all do."""
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        results = list(pool.map(try_guard, GUARDS))
    for guard, noticed in results:
        sys.stdout.write(f'{"noticed" if noticed else "MISSED"}: {guard.name} ({guard.feature})\n')
    return 0 if all(noticed for _, noticed in results) else 1


if __name__ == '__main__':
    sys.exit(main())
