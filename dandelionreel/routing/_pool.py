"""The runners of this zone, and the slots of those that this daemon owns."""

from collections.abc import Iterable

import curio

from dandelionreel.backing import HostEntry, HostWatch
from dandelionreel.kernel import ChangeNotifier, Clock, Journal, Part, Settings
from dandelionreel.ownership import (
    RUNNER_PREFIX,
    Authority,
    GrantLevel,
    ShardProjection,
    ShardUser,
    runner_shard,
)
from dandelionreel.peers import ServiceSlots
from dandelionreel.routing._choice import RunnerChoice
from dandelionreel.routing._runner import Runner

OWNERSHIP_CHECK_SECONDS = 0.5


class RunnerPool(ShardUser):
    """The runners of the zone, updated from the host list and from shard ownership."""

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
        """Choose among owned runners with ``choice``."""
        self._settings = settings
        self._clock = clock
        self._hosts = hosts
        self._authority = authority
        self._shards = shards
        self._choice = choice
        self._journal = journal
        self._runner_by_name: dict[str, Runner] = {}
        self._seen_grants: set[str] = set()
        self._logged_leaving: set[str] = set()
        #: When a peer last reported each leaving endpoint, on the monotonic clock.
        self._reported_leaving_at: dict[str, float] = {}
        #: Endpoints that an operator drains, until the host list drops them.
        self._draining: set[str] = set()
        self.changed = ChangeNotifier()

    def wanted_shards(self) -> Iterable[str]:
        """Return one shard for each runner of the zone."""
        zone = self._settings.availability_zone
        for entry in self._hosts.zone_hosts_of_kind('endpoint', zone):
            yield runner_shard(entry.name)

    async def prepare_release(self, shard: str) -> bool:
        """Return whether no request is in flight on a runner's shard."""
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
        """Follow the host list and shard ownership until cancelled."""
        while True:
            await self._refresh()
            seen = self._hosts.changed.count
            await self._hosts.changed.wait(seen, OWNERSHIP_CHECK_SECONDS)

    def runners(self) -> tuple[Runner, ...]:
        """Return all runners of the zone."""
        return tuple(self._runner_by_name.values())

    def is_leaving(self, entry: HostEntry) -> bool:
        """Return whether the endpoint is draining or shutting down.

        The sources are the host list, an operator, peers, and this daemon's
        own connections. A report from peers or connections is a false alarm if a
        host list that was read two poll intervals later still has the endpoint as live.
        """
        if not entry.is_live or entry.name in self._draining:
            return True
        runner = self._runner_by_name.get(entry.name)
        observed_at = runner.leaving_seen_at if runner else float('-inf')
        last_report_at = max(observed_at, self._reported_leaving_at.get(entry.name, float('-inf')))
        return last_report_at > self._hosts.read_at - self._settings.timings.hosts_poll * 2

    def leaving(self) -> tuple[str, ...]:
        """Return the names of this zone's endpoints that are leaving."""
        return tuple(
            runner.entry.name
            for runner in self._runner_by_name.values()
            if self.is_leaving(runner.entry)
        )

    def observed_leaving(self) -> tuple[str, ...]:
        """Return the leaving endpoints that this daemon has observed itself.

        Reports of peers are not passed on: two daemons would keep repeating
        a false alarm to each other.
        """
        recent = self._hosts.read_at - self._settings.timings.hosts_poll * 2
        return tuple(
            runner.entry.name
            for runner in self._runner_by_name.values()
            if not runner.entry.is_live
            or runner.entry.name in self._draining
            or runner.leaving_seen_at > recent
        )

    def drain_endpoint(self, name: str) -> None:
        """Send no more requests to an endpoint, on an operator's command."""
        self._draining.add(name)

    def record_reported_leaving(self, names: Iterable[str]) -> None:
        """Record a peer's report of leaving endpoints."""
        for name in names:
            self._reported_leaving_at[name] = self._clock.monotonic()

    def has_service(self, service: str) -> bool:
        """Return whether the zone has a runner of the service that is not leaving."""
        return any(
            runner.entry.service == service and not self.is_leaving(runner.entry)
            for runner in self._runner_by_name.values()
        )

    def acquire_slot(self, service: str, *, headroom: bool) -> Runner | None:
        """Acquire a slot of an owned runner; return ``None`` when none is free.

        With ``headroom``, some slots are reserved for urgent requests.
        """
        candidates = []
        for runner in self._runner_by_name.values():
            if runner.entry.service != service or self.is_leaving(runner.entry):
                continue
            reserved = self._slots_reserved_for_urgent(runner) if headroom else 0
            if self._free_slots(runner) > reserved:
                candidates.append(runner)
        if not candidates:
            return None
        runner = self._choice.choose(candidates)
        runner.in_use += 1
        return runner

    def may_send(self, runner: Runner) -> bool:
        """Return whether a request with an acquired slot may be sent now."""
        grant = self._authority.grant(runner_shard(runner.entry.name))
        return runner.in_use <= runner.slot_limit(grant) and not self.is_leaving(runner.entry)

    def free_slots_by_service(self) -> tuple[ServiceSlots, ...]:
        """Return the free slots on owned runners by service."""
        free_by_service: dict[str, int] = {}
        for runner in self._runner_by_name.values():
            if self.is_leaving(runner.entry):
                continue
            free_slots = self._free_slots(runner)
            if free_slots:
                service = runner.entry.service
                free_by_service[service] = free_by_service.get(service, 0) + free_slots
        return tuple(ServiceSlots(name, free) for name, free in sorted(free_by_service.items()))

    def mean_answer_seconds(self, service: str) -> float:
        """Return the mean response time of the service's runners, 0 if none is known."""
        means = [
            runner.latency.mean
            for runner in self._runner_by_name.values()
            if runner.entry.service == service and runner.latency.mean
        ]
        return sum(means) / len(means) if means else 0

    def usable_slots(self, service: str) -> int:
        """Return the slots that this daemon may use for a service."""
        total = 0
        for runner in self._runner_by_name.values():
            if runner.entry.service == service:
                grant = self._authority.grant(runner_shard(runner.entry.name))
                total += runner.slot_limit(grant)
        return total

    def _free_slots(self, runner: Runner) -> int:
        return runner.free_slots(self._authority.grant(runner_shard(runner.entry.name)))

    def _slots_reserved_for_urgent(self, runner: Runner) -> int:
        return round(runner.entry.slots * self._settings.limits.urgent_headroom)

    async def _refresh(self) -> None:
        zone = self._settings.availability_zone
        entries = {entry.name: entry for entry in self._hosts.zone_hosts_of_kind('endpoint', zone)}
        for name, entry in entries.items():
            known = self._runner_by_name.get(name)
            if known is None or (known.entry.address, known.entry.port) != (
                entry.address,
                entry.port,
            ):
                self._runner_by_name[name] = self._make_runner(entry)
            else:
                known.entry = entry
        for name in tuple(self._runner_by_name):
            if name not in entries and not self._runner_by_name[name].in_use:
                self._draining.discard(name)
                await self._runner_by_name.pop(name).close_idle()
        for runner in self._runner_by_name.values():
            await self._update_ownership(runner)
        await self._log_leaving()

    def _make_runner(self, entry: HostEntry) -> Runner:
        timings = self._settings.timings
        return Runner(
            entry,
            self._clock,
            self._settings.limits.answer_bytes,
            timings.longest_run,
            timings.socket_timeout,
        )

    async def _update_ownership(self, runner: Runner) -> None:
        name = runner.entry.name
        claim = self._shards.get(runner_shard(name))
        grant = self._authority.grant(runner_shard(name))
        if claim is None or grant.level is GrantLevel.NONE:
            self._seen_grants.discard(name)
            return
        grant_key = f'{name}|{grant.epoch}'
        if grant_key in self._seen_grants:
            return
        self._seen_grants.add(grant_key)
        runner.start_ownership(
            grant, clean_handover=claim.clean_handover and not claim.former_owner
        )
        if runner.former_owner_slots:
            await curio.spawn(self._await_former_owner, runner, daemon=True)
        await self.changed.notify()

    async def _await_former_owner(self, runner: Runner) -> None:
        await runner.await_former_owner()
        self._journal.log(
            Part.ROUTING,
            f'has all slots of {runner.entry.name}; its former owner holds none.',
            runner=runner.entry.name,
        )
        await self.changed.notify()

    async def _log_leaving(self) -> None:
        leaving = set(self.leaving())
        for name in leaving - self._logged_leaving:
            self._journal.log(
                Part.ROUTING, f'sends no more requests to {name}; the endpoint is leaving.'
            )
        self._logged_leaving = leaving
