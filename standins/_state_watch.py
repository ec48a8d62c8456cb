"""Records when hosts first report jobs as completed, as their clients see it."""

import json
import time
from collections.abc import Iterable

from standins._entry_hosts import EntryHosts
from standins._users_platform import Run, UsersPlatform

COMPLETED = 'completed'
#: Seconds after which no task of a job may be started that was reported as completed.
LATE_START_SECONDS = 1.0


class StateWatch:
    """Queries hosts for the states of jobs, and compares completions with what is stored."""

    def __init__(self, platform: UsersPlatform, hosts: EntryHosts, paths: Iterable[str]) -> None:
        """Watch the jobs with the given ``paths``."""
        self._platform = platform
        self._hosts = hosts
        self._path_by_job = {path.rpartition('/')[2]: path for path in paths}
        self.reply_count = 0
        #: Monotonic time at which each job was first reported as completed.
        self.shown_at_by_job: dict[str, float] = {}
        #: Jobs that were reported as completed before the store had their end, with the host.
        self.unstored: list[str] = []

    def query_hosts(self) -> None:
        """Ask each host once for the state of each job that was not reported as completed yet."""
        for name, process in self._hosts.process_by_name.items():
            for job, path in self._path_by_job.items():
                if job in self.shown_at_by_job or process.poll() is not None:
                    continue
                state = self._hosts.request(name, 'GET', path).body.get('state')
                self.reply_count += state is not None
                if state == COMPLETED:
                    self._record_completion(job, name)

    def is_stored(self, job: str) -> bool:
        """Return whether the store has the end of a completed job."""
        stored = self._platform.store.newest_value('keyed.cell', f'e/{job}')
        return bool(stored) and json.loads(stored).get('state') == COMPLETED

    def all_ended(self) -> bool:
        """Query hosts; return whether all jobs were reported as completed and their ends stored."""
        self.query_hosts()
        return all(job in self.shown_at_by_job and self.is_stored(job) for job in self._path_by_job)

    def find_starts_after_completion(self, runs: Iterable[Run]) -> list[str]:
        """Return the starts that began too late after their job was reported as completed."""
        return [
            f'{run.task} on {run.runner}'
            for run in runs
            if run.began
            > self.shown_at_by_job.get(run.task.split('.')[0], float('inf')) + LATE_START_SECONDS
        ]

    def _record_completion(self, job: str, host: str) -> None:
        self.shown_at_by_job[job] = time.monotonic()
        if not self.is_stored(job):
            self.unstored.append(f'{job} at {host}')
