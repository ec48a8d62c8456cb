"""All runners of this zone, and the ones among them that this daemon owns."""

from collections.abc import Iterable

import curio

from dandelionreel.backing import HostEntry, HostWatch
from dandelionreel.kernel import Clock, Journal, Part, Settings, Signal
from dandelionreel.ownership import (
    RUNNER_PREFIX,
    Authority,
    GrantLevel,
    ShardProjection,
    ShardUser,
    runner_shard,
)
from dandelionreel.peers import ServiceRoom
from dandelionreel.routing._choice import RunnerChoice
from dandelionreel.routing._runner import Runner

ROUND_SECONDS = 0.5


class RunnerPool(ShardUser):
    """Runners by name, kept in step with the host list and with ownership."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        hosts: HostWatch,
        authority: Authority,
        shards: ShardProjection,
        choice: RunnerChoice,
        journal: Journal,
    ) -> None:
        """Choose among owned runners by ``choice``."""
        self._settings = settings
        self._clock = clock
        self._hosts = hosts
        self._authority = authority
        self._shards = shards
        self._choice = choice
        self._journal = journal
        self._runner_by_name: dict[str, Runner] = {}
        self._watched: set[str] = set()
        self._told_leaving: set[str] = set()
        #: Names of leaving endpoints that peers or operators have told.
        self.heard_leaving: dict[str, float] = {}
        #: Endpoints that an operator drains; they stay so until they are gone.
        self._closed: set[str] = set()
        self.changed = Signal()

    def wanted_shards(self) -> Iterable[str]:
        """Return one shard for each runner of the zone."""
        zone = self._settings.availability_zone
        for entry in self._hosts.of_kind('endpoint', zone):
            yield runner_shard(entry.name)

    async def prepare_release(self, shard: str) -> bool:
        """Return whether no request is under way on a runner's shard."""
        if not shard.startswith(RUNNER_PREFIX):
            return True
        runner = self._runner_by_name.get(shard.removeprefix(RUNNER_PREFIX))
        if runner is None:
            return True
        if runner.in_use:
            return False
        await runner.close_idle()
        return True

    async def run(self) -> None:
        """Follow the host list and ownership, for ever."""
        while True:
            await self._refresh()
            seen = self._hosts.changed.count
            await self._hosts.changed.wait(seen, ROUND_SECONDS)

    def runners(self) -> tuple[Runner, ...]:
        """Return all runners of the zone."""
        return tuple(self._runner_by_name.values())

    def is_leaving(self, entry: HostEntry) -> bool:
        """Return whether any sign says that the endpoint leaves.

        A sign that is older than the last reading of the host list, which
        still calls the host live, was a false alarm.
        """
        if not entry.is_live or entry.name in self._closed:
            return True
        runner = self._runner_by_name.get(entry.name)
        own_sign = runner.sign_of_leaving_at if runner else float('-inf')
        sign_at = max(own_sign, self.heard_leaving.get(entry.name, float('-inf')))
        return sign_at > self._hosts.read_at - self._settings.timings.hosts_poll * 2

    def leaving(self) -> tuple[str, ...]:
        """Return the names of leaving endpoints of this zone."""
        return tuple(
            runner.entry.name
            for runner in self._runner_by_name.values()
            if self.is_leaving(runner.entry)
        )

    def own_signs(self) -> tuple[str, ...]:
        """Return leaving endpoints by what this daemon has seen itself.

        What peers told is not passed on: two daemons would keep telling each
        other of a sign that was a false alarm.
        """
        recent = self._hosts.read_at - self._settings.timings.hosts_poll * 2
        return tuple(
            runner.entry.name
            for runner in self._runner_by_name.values()
            if not runner.entry.is_live
            or runner.entry.name in self._closed
            or runner.sign_of_leaving_at > recent
        )

    def close_endpoint(self, name: str) -> None:
        """Send nothing more to an endpoint; an operator says so."""
        self._closed.add(name)

    def hear_leaving(self, names: Iterable[str]) -> None:
        """Keep what a peer or an operator told about leaving endpoints."""
        for name in names:
            self.heard_leaving[name] = self._clock.monotonic()

    def knows(self, service: str) -> bool:
        """Return whether the zone has a runner of that service."""
        return any(
            runner.entry.service == service and not self.is_leaving(runner.entry)
            for runner in self._runner_by_name.values()
        )

    def take(self, service: str, *, headroom: bool) -> Runner | None:
        """Return an owned runner with a free slot, counted in use; else ``None``.

        With ``headroom``, a part of the slots is left for urgent requests.
        """
        ready = []
        for runner in self._runner_by_name.values():
            if runner.entry.service != service or self.is_leaving(runner.entry):
                continue
            kept = self._kept_back(runner) if headroom else 0
            if self._room(runner) > kept:
                ready.append(runner)
        if not ready:
            return None
        runner = self._choice.choose(ready)
        runner.in_use += 1
        return runner

    def may_send(self, runner: Runner) -> bool:
        """Return whether a counted request may leave for the runner now."""
        grant = self._authority.grant(runner_shard(runner.entry.name))
        return runner.in_use <= runner.allowed(grant) and not self.is_leaving(runner.entry)

    def rooms(self) -> tuple[ServiceRoom, ...]:
        """Return the free slots on owned runners by service."""
        free_by_service: dict[str, int] = {}
        for runner in self._runner_by_name.values():
            if self.is_leaving(runner.entry):
                continue
            room = self._room(runner)
            if room:
                service = runner.entry.service
                free_by_service[service] = free_by_service.get(service, 0) + room
        return tuple(ServiceRoom(name, free) for name, free in sorted(free_by_service.items()))

    def mean_seconds(self, service: str) -> float:
        """Return the mean time of an answer over the service's owned runners."""
        means = [
            runner.latency.mean
            for runner in self._runner_by_name.values()
            if runner.entry.service == service and runner.latency.mean
        ]
        return sum(means) / len(means) if means else 0

    def slots(self, service: str) -> int:
        """Return the slots that this daemon may use for a service."""
        total = 0
        for runner in self._runner_by_name.values():
            if runner.entry.service == service:
                grant = self._authority.grant(runner_shard(runner.entry.name))
                total += runner.allowed(grant)
        return total

    def _room(self, runner: Runner) -> int:
        return runner.room(self._authority.grant(runner_shard(runner.entry.name)))

    def _kept_back(self, runner: Runner) -> int:
        return round(runner.entry.slots * self._settings.limits.urgent_headroom)

    async def _refresh(self) -> None:
        zone = self._settings.availability_zone
        entries = {entry.name: entry for entry in self._hosts.of_kind('endpoint', zone)}
        for name, entry in entries.items():
            known = self._runner_by_name.get(name)
            if known is None or (known.entry.address, known.entry.port) != (
                entry.address,
                entry.port,
            ):
                self._runner_by_name[name] = self._make(entry)
            else:
                known.entry = entry
        for name in tuple(self._runner_by_name):
            if name not in entries and not self._runner_by_name[name].in_use:
                self._closed.discard(name)
                await self._runner_by_name.pop(name).close_idle()
        for runner in self._runner_by_name.values():
            await self._note_ownership(runner)
        await self._tell_leaving()

    def _make(self, entry: HostEntry) -> Runner:
        timings = self._settings.timings
        return Runner(
            entry,
            self._clock,
            self._settings.limits.answer_bytes,
            timings.longest_run,
            timings.socket_timeout,
        )

    async def _note_ownership(self, runner: Runner) -> None:
        name = runner.entry.name
        claim = self._shards.get(runner_shard(name))
        grant = self._authority.grant(runner_shard(name))
        if claim is None or grant.level is GrantLevel.NONE:
            self._watched.discard(name)
            return
        mark = f'{name}|{grant.epoch}'
        if mark in self._watched:
            return
        self._watched.add(mark)
        runner.take_over(grant, clean=claim.clean_handover and not claim.former_owner)
        if runner.foreign:
            await curio.spawn(self._watch_foreign, runner, daemon=True)
        await self.changed.notify()

    async def _watch_foreign(self, runner: Runner) -> None:
        await runner.watch_foreign()
        self._journal.tell(
            Part.ROUTING,
            f'took all slots of {runner.entry.name}; its former owner holds none.',
            runner=runner.entry.name,
        )
        await self.changed.notify()

    async def _tell_leaving(self) -> None:
        leaving = set(self.leaving())
        for name in leaving - self._told_leaving:
            self._journal.tell(Part.ROUTING, f'sends nothing more to {name}; it leaves.')
        self._told_leaving = leaving
