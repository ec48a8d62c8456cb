"""Client accounts for the platform soak: rotates keys and changes quotas during faults."""

import random
import time
from dataclasses import dataclass, replace
from threading import Event, Lock

from standins import AccountRow, EntryHosts, UsersPlatform, find_starts_over_quota, wait_for

ACCOUNT_NAMES = ('blue', 'red', 'green')
#: Quotas that an account may get, in thousandths of a core; 0 means no limit.
QUOTAS = (0, 2000, 4000, 8000, 16_000)
#: The quota of the last configuration, large enough for every job.
FINAL_QUOTA = 16_000
#: Seconds between two changes.
CHANGE_GAP = (0.8, 2.5)
#: Seconds after which every host that can know a new key knows it, whatever faults the store
#: has: 2 s, and 5 s while the store is not stable.
KEY_PROPAGATION_SECONDS = 8.0
UNKNOWN_KEY_STATUS = 401


@dataclass
class Key:
    """An API key, and when it was added and removed (monotonic seconds)."""

    text: str
    added_at: float
    removed_at: float | None = None


class SoakAccounts:
    """Writes configurations with changing keys and quotas, and checks that they are enforced."""

    def __init__(self, platform: UsersPlatform, seed: int) -> None:
        """Write the first configuration; ``seed`` determines the changes."""
        self._platform = platform
        self._random = random.Random(f'{seed}/accounts')
        self._lock = Lock()
        self._version = 0
        self._row_by_name = {name: AccountRow(name, (f'{name}-0',), 8000) for name in ACCOUNT_NAMES}
        now = time.monotonic()
        self._keys_by_name = {name: [Key(f'{name}-0', now)] for name in ACCOUNT_NAMES}
        self.account_by_job: dict[str, str] = {}
        self.violations: list[str] = []
        self.changes = 0
        self._write()

    def account_of(self, client: int) -> str:
        """Return the account of a client."""
        return ACCOUNT_NAMES[client % len(ACCOUNT_NAMES)]

    def key_for(self, account: str) -> Key:
        """Return the newest key that every host knows by now, or else the oldest one."""
        now = time.monotonic()
        with self._lock:
            active_keys = [key for key in self._keys_by_name[account] if key.removed_at is None]
        propagated_keys = [
            key for key in active_keys if now - key.added_at >= KEY_PROPAGATION_SECONDS
        ]
        return (propagated_keys or active_keys)[-1 if propagated_keys else 0]

    def check_reply(self, key: Key, sent_at: float, status: int) -> None:
        """Record a violation if a key in force was refused."""
        if status != UNKNOWN_KEY_STATUS or sent_at - key.added_at < KEY_PROPAGATION_SECONDS:
            return
        if key.removed_at is None or key.removed_at > time.monotonic():
            self.violations.append(
                f'the key {key.text} was refused {sent_at - key.added_at:.1f} s after it was added'
            )

    def change_until_stopped(self, stopping: Event) -> None:
        """Add a key, remove a key or change a quota now and then."""
        while not stopping.wait(self._random.uniform(*CHANGE_GAP)):
            name = self._random.choice(ACCOUNT_NAMES)
            change = self._random.choice((self._add_key, self._remove_key, self._set_quota))
            with self._lock:
                change(name)
                self._write()
            self.changes += 1

    def restore_quotas(self) -> None:
        """Give every account a quota that is large enough for all its jobs."""
        with self._lock:
            for name in ACCOUNT_NAMES:
                self._row_by_name[name] = replace(self._row_by_name[name], cpu=FINAL_QUOTA)
            self._write()

    def check_results(self, hosts: EntryHosts) -> list[str]:
        """Return all violations, once all faults have ended."""
        violations = list(self.violations)
        for name in ACCOUNT_NAMES:
            for key in self._keys_by_name[name]:
                expected_status = 200 if key.removed_at is None else UNKNOWN_KEY_STATUS
                try:
                    wait_for(
                        lambda key=key, expected_status=expected_status: _is_answered(
                            hosts, key, expected_status
                        ),
                        20,
                    )
                except TimeoutError:
                    violations.append(f'the key {key.text} does not get status {expected_status}')
        runs = self._platform.collect_runs()
        starts_over_quota = find_starts_over_quota(runs, self.account_by_job, self._platform.quotas)
        violations.extend(f'over its quota: {start}' for start in starts_over_quota)
        return violations

    def _add_key(self, name: str) -> None:
        text = f'{name}-{self._version}'
        self._keys_by_name[name].append(Key(text, time.monotonic()))
        row = self._row_by_name[name]
        self._row_by_name[name] = replace(row, keys=(*row.keys, text))

    def _remove_key(self, name: str) -> None:
        """Remove the oldest key if clients already use a later one."""
        now = time.monotonic()
        active_keys = [key for key in self._keys_by_name[name] if key.removed_at is None]
        if sum(now - key.added_at >= KEY_PROPAGATION_SECONDS + 1 for key in active_keys) < 2:
            return
        active_keys[0].removed_at = now
        row = self._row_by_name[name]
        self._row_by_name[name] = replace(row, keys=row.keys[1:])

    def _set_quota(self, name: str) -> None:
        row = self._row_by_name[name]
        self._row_by_name[name] = replace(row, cpu=self._random.choice(QUOTAS))

    def _write(self) -> None:
        self._version += self._random.randint(1, 3)
        self._platform.configure(self._version, list(self._row_by_name.values()))


def _is_answered(hosts: EntryHosts, key: Key, expected_status: int) -> bool:
    return all(
        hosts.request(name, 'GET', '/plain/', key=key.text).status == expected_status
        for name in hosts.names
    )
