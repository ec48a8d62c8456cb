"""Polls the host list and detects leaving and removed hosts."""

import curio

from dandelionreel.backing._hosts import HostEntry, HostList, HostListError
from dandelionreel.kernel import ChangeNotifier, Clock, Journal, Part

#: Entries that cannot be used are named up to here, with so many characters each.
MAX_LOGGED_ENTRIES = 10
MAX_LOGGED_CHARACTERS = 120


class HostWatch:
    """The host list as last read.

    The list lags behind reality, so an unlisted host may just be new. Only a host
    that was listed before counts as missing.
    """

    def __init__(self, hosts: HostList, clock: Clock, journal: Journal) -> None:
        """Follow the list ``hosts``."""
        self._hosts = hosts
        self._clock = clock
        self._journal = journal
        self._missing_since_by_name: dict[str, float] = {}
        self._unusable_entries: frozenset[str] = frozenset()
        self.entry_by_name: dict[str, HostEntry] = {}
        self.read_at = float('-inf')
        self.changed = ChangeNotifier()

    async def run(self, interval: float) -> None:
        """Read the list every ``interval`` seconds, forever."""
        while True:
            await self.refresh()
            await curio.sleep(interval)

    async def refresh(self) -> bool:
        """Read the list once; return False if that fails."""
        requested_at = self._clock.monotonic()
        try:
            entries = await self._hosts.fetch_hosts()
        except HostListError:
            return False
        entry_by_name = {entry.name: entry for entry in entries}
        for name in self.entry_by_name:
            if name not in entry_by_name:
                self._missing_since_by_name.setdefault(name, requested_at)
        for name in entry_by_name:
            self._missing_since_by_name.pop(name, None)
        self.read_at = requested_at
        self._log_unusable_entries()
        if entry_by_name != self.entry_by_name:
            self._log_changes(entry_by_name)
            self.entry_by_name = entry_by_name
            await self.changed.notify()
        return True

    def zone_hosts_of_kind(self, kind: str, availability_zone: str) -> tuple[HostEntry, ...]:
        """Return the hosts of a kind in one zone, sorted by name."""
        return tuple(
            entry
            for name, entry in sorted(self.entry_by_name.items())
            if entry.kind == kind and entry.availability_zone == availability_zone
        )

    def all_hosts_of_kind(self, kind: str) -> tuple[HostEntry, ...]:
        """Return the hosts of a kind in all zones, sorted by name."""
        return tuple(entry for _, entry in sorted(self.entry_by_name.items()) if entry.kind == kind)

    def missing_seconds(self, name: str) -> float:
        """Return for how many seconds a host has been missing from the list, 0 if it is not."""
        missing_since = self._missing_since_by_name.get(name)
        if missing_since is None:
            return 0
        return self._clock.monotonic() - missing_since

    @property
    def unusable_count(self) -> int:
        """Return the number of entries of the last list that cannot be used."""
        return len(self._unusable_entries)

    def _log_unusable_entries(self) -> None:
        """Log which entries cannot be used, when these change."""
        problems = self._hosts.problem_by_entry
        if problems.keys() == self._unusable_entries:
            return
        self._unusable_entries = frozenset(problems)
        logged = list(problems.items())[:MAX_LOGGED_ENTRIES]
        self._journal.log(
            Part.LIFE,
            f'{len(problems)} of the entries of the host list cannot be used.',
            entries=len(problems),
            problems=[
                f'{entry[:MAX_LOGGED_CHARACTERS]}: {problem[:MAX_LOGGED_CHARACTERS]}'
                for entry, problem in logged
            ],
        )

    def _log_changes(self, entry_by_name: dict[str, HostEntry]) -> None:
        for name, entry in entry_by_name.items():
            previous = self.entry_by_name.get(name)
            if previous is not None and previous.is_live and not entry.is_live:
                self._journal.log(Part.LIFE, f'host {name} is leaving.', name=name)
        for name in self.entry_by_name:
            if name not in entry_by_name:
                self._journal.log(
                    Part.LIFE, f'host {name} was removed from the host list.', name=name
                )
