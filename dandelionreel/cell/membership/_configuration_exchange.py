"""Fetches a newer configuration from peers while the store does not answer this host.

Load pattern: the store refuses some hosts for seconds but answers the others, and an API key is
revoked meanwhile. A host that only reads the store would go on accepting the key.
"""

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import curio

from dandelionreel.cell.membership._advisors import PeerLinks
from dandelionreel.cell.membership._configuration_download import (
    ConfigurationDownload,
    SkipTo,
    read_everything,
)
from dandelionreel.cell.membership._known_versions import KnownVersions
from dandelionreel.cell.membership._peer_rotation import PeerRotation
from dandelionreel.cell.model import Member
from dandelionreel.cell.store import CellState, ConfigurationProjection
from dandelionreel.kernel import Clock, Journal, Part, seconds_or_none
from dandelionreel.peers import ConfigurationGiven, ConfigurationWanted, Frame, Message, PeerError

#: Seconds without a sign from the store that this host has the newest configuration, after which
#: peers may have a newer one.
STORE_OVERDUE_SECONDS = 0.8
#: Seconds between checks of the store's age, and between two rounds of queries to peers.
POLL_SECONDS = 0.1
QUERY_INTERVAL_SECONDS = 0.4
#: Seconds for the reply of a peer while a client waits for it, and otherwise: replies queue behind
#: what the store sends on a slow link.
ANSWER_TIMEOUT = 0.25
BACKGROUND_ANSWER_TIMEOUT = 1.0
#: Size of the largest document in a reply; a larger one is downloaded from one peer.
MAX_INLINE_BYTES = 8192
#: Seconds that the store has to bring a version that a peer is known to have.
STORE_HEAD_START_SECONDS = 0.1
#: Seconds for which a confirmation is reused, which limits the queries to peers while any number
#: of calls with unknown keys arrive.
CONFIRMATION_SECONDS = 0.25
NEVER = float('-inf')


class ConfigurationExchange:
    """Keeps the configuration of this host as new as that of any reachable peer."""

    def __init__(
        self,
        own_host: str,
        cell_state: CellState,
        links: PeerLinks,
        projection: ConfigurationProjection,
        get_current_at: Callable[[float], float],
        clock: Clock,
        journal: Journal,
        seeds: Sequence[Member] = (),
        skip_to: SkipTo = read_everything,
    ) -> None:
        """Query peers as the host ``own_host``.

        ``get_current_at(now)`` returns until when the store has shown this host the newest
        configuration, both in monotonic seconds. An answer about another topic does not count: the
        read of this one may be lost. ``seeds`` are queried while no peer is known.
        ``skip_to(offset)`` lets the reads of the topic go on there after a download.
        """
        self._own_host = own_host
        self._cell_state = cell_state
        self._links = links
        self._projection = projection
        self._get_current_at = get_current_at
        self._clock = clock
        self._journal = journal
        self._seeds = seeds
        self._rotation = PeerRotation()
        self._download = ConfigurationDownload(links, projection, clock, journal, skip_to)
        self._lock = curio.Lock()
        self._queried_at = NEVER
        self._confirmed_at = NEVER
        self._known_versions = KnownVersions()

    def configuration_age(self) -> float:
        """Return for how many seconds this host may have been unaware of a newer configuration."""
        now = self._clock.monotonic()
        return now - max(self._get_current_at(now), self._confirmed_at)

    def record_peer_version(self, version: int) -> None:
        """Record that a peer has a version of the configuration."""
        self._known_versions.record(version, self._clock.monotonic())

    def seconds_behind(self) -> float:
        """Return for how long this host has known of a newer version that it does not have."""
        return self._known_versions.seconds_behind(
            self._projection.version, self._clock.monotonic()
        )

    async def run(self) -> None:
        """Query peers whenever this host may have an outdated configuration, forever."""
        while True:
            now = self._clock.monotonic()
            if self._may_be_outdated(now) and now - self._queried_at >= QUERY_INTERVAL_SECONDS:
                await self._send_queries(BACKGROUND_ANSWER_TIMEOUT)
            await curio.sleep(POLL_SECONDS)

    async def run_downloads(self) -> None:
        """Download newer versions that peers have, forever; queries go on meanwhile."""
        while True:
            if self.seconds_behind() >= STORE_HEAD_START_SECONDS:
                await self._download.run_once(self._own_zone())
            await curio.sleep(POLL_SECONDS)

    async def confirm_newest(self) -> bool:
        """Query peers for a newer configuration; return whether this host now has the newest one.

        Concurrent callers share one round of queries.
        """
        async with self._lock:
            if self._clock.monotonic() - self._queried_at >= CONFIRMATION_SECONDS:
                for task in await self._send_queries(ANSWER_TIMEOUT):
                    await task.wait()
        return self.configuration_age() < STORE_OVERDUE_SECONDS

    async def answer_query(self, frame: Frame) -> Message:
        """Reply to a peer's query with the version, and with a newer one if it is small."""
        query: Any = frame.message
        self.record_peer_version(query.version)
        version = self._projection.version
        document = self._projection.content if version > query.version else b''
        if len(document) > MAX_INLINE_BYTES:
            document = b''
        return ConfigurationGiven(
            version, document, self._is_confirmed_by_store(self._clock.monotonic())
        )

    def _own_zone(self) -> str:
        member = self._cell_state.member_by_host.get(self._own_host)
        return '' if member is None else member.zone

    def _is_confirmed_by_store(self, now: float) -> bool:
        return now - self._get_current_at(now) < STORE_OVERDUE_SECONDS

    def _may_be_outdated(self, now: float) -> bool:
        owner = self._cell_state.owner
        if owner is not None:
            self.record_peer_version(owner.version)
        is_behind = self._projection.version < self._known_versions.newest
        return is_behind or not self._is_confirmed_by_store(now)

    async def _send_queries(self, timeout: float) -> list[Any]:
        """Query the next peers; return the tasks that handle their replies."""
        self._queried_at = self._clock.monotonic()
        peer_by_host = self._find_peers()
        return [
            await curio.spawn(
                partial(self._query_peer, host, peer_by_host[host], timeout), daemon=True
            )
            for host in self._rotation.choose_peers(tuple(peer_by_host))
        ]

    def _find_peers(self) -> dict[str, Member]:
        members = self._cell_state.member_by_host.items()
        others = {host: member for host, member in members if host != self._own_host}
        return others or {seed.address: seed for seed in self._seeds}

    async def _query_peer(self, host: str, member: Member, timeout: float) -> None:
        queried_at = self._clock.monotonic()
        query = ConfigurationWanted(self._projection.version)
        try:
            frame = await self._links.request(member, query, timeout)
        except PeerError as error:
            self._rotation.record_failure(host)
            self._journal.log_sampled(
                Part.PEERS,
                f'{host} did not reply with its configuration: {error}.',
                peer=host,
                version=self._projection.version,
            )
            return
        reply = frame.message
        if not isinstance(reply, ConfigurationGiven):
            return
        self.record_peer_version(reply.version)
        if reply.document:
            self._adopt_configuration(host, reply)
        self._download.offer_source(host, member, reply.version)
        if not reply.current:
            self._rotation.record_failure(host)
            return
        self._rotation.record_confirmation(host)
        if self._projection.version >= reply.version:
            self._confirmed_at = max(self._confirmed_at, queried_at)

    def _adopt_configuration(self, host: str, reply: ConfigurationGiven) -> None:
        now = self._clock.monotonic()
        if self._projection.adopt_from_peer(reply.document, host):
            self._journal.log(
                Part.CONTRACTS,
                f'adopted a newer configuration from {host}.',
                version=reply.version,
                store_age=seconds_or_none(now - self._get_current_at(now)),
            )
