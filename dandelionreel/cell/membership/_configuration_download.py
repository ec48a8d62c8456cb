"""Downloads the document of a newer configuration, from one peer at a time.

Load pattern: a document takes seconds on the link of this host, which clients and the store use
too. It is compressed, transferred once, and not given up while it makes progress.
"""

import random
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from dandelionreel.cell.membership._advisors import PeerLinks
from dandelionreel.cell.model import Member
from dandelionreel.cell.store import ConfigurationProjection
from dandelionreel.kernel import Clock, Journal, Part, seconds_or_none
from dandelionreel.peers import (
    ConfigurationDocument,
    ConfigurationDocumentWanted,
    Frame,
    PeerError,
)

#: Seconds without a byte after which a download is given up; a peer compresses the document first.
STALL_TIMEOUT = 1.2
#: Fast, and still a fifth of the size.
COMPRESSION_LEVEL = 1
MAX_DOCUMENT_BYTES = 16_777_216

SkipTo = Callable[[int], Awaitable[None]]


async def read_everything(offset: int) -> None:
    """Let the reads of the store go on, whatever a peer has sent."""


@dataclass(frozen=True)
class _Source:
    """A peer that has a newer version."""

    host: str
    member: Member
    version: int


class ConfigurationDownload:
    """Downloads the newest version that peers are known to have, unless the store brings it."""

    def __init__(
        self,
        links: PeerLinks,
        projection: ConfigurationProjection,
        clock: Clock,
        journal: Journal,
        skip_to: SkipTo = read_everything,
    ) -> None:
        """Keep ``projection`` as new as the versions of the peers that are offered as sources.

        ``skip_to(offset)`` is called after a download, so that the link of this host does not
        carry the same version from the store as well.
        """
        self._skip_to = skip_to
        self._links = links
        self._projection = projection
        self._clock = clock
        self._journal = journal
        self._source_by_host: dict[str, _Source] = {}

    def offer_source(self, host: str, member: Member, version: int) -> None:
        """Note that a peer has a version of which this host may not have the document."""
        if version > self._projection.version:
            self._source_by_host[host] = _Source(host, member, version)

    async def run_once(self, zone: str) -> None:
        """Download from one peer, in ``zone`` if possible, if any has a newer version."""
        self._forget_older_versions()
        if not self._source_by_host:
            return
        source = self._choose_source(zone)
        del self._source_by_host[source.host]
        started_at = self._clock.monotonic()
        query = ConfigurationDocumentWanted(self._projection.version)
        try:
            frame = await self._links.request_transfer(source.member, query, STALL_TIMEOUT)
        except PeerError as error:
            self._journal.log(
                Part.PEERS,
                f'{source.host} did not send its configuration: {error}.',
                peer=source.host,
                version=source.version,
            )
            return
        await self._adopt(source.host, frame.message, started_at)

    def _forget_older_versions(self) -> None:
        version = self._projection.version
        for source in tuple(self._source_by_host.values()):
            if source.version <= version:
                del self._source_by_host[source.host]

    def _choose_source(self, zone: str) -> _Source:
        sources = tuple(self._source_by_host.values())
        near = tuple(source for source in sources if source.member.zone == zone)
        return random.choice(near or sources)

    async def _adopt(self, host: str, reply: Any, started_at: float) -> None:
        if not isinstance(reply, ConfigurationDocument) or not reply.compressed:
            return
        try:
            document = _decompress(reply.compressed)
        except zlib.error as error:
            self._journal.log(
                Part.PEERS, f'the configuration of {host} is damaged: {error}.', peer=host
            )
            return
        if self._projection.adopt_from_peer(document, host, reply.next_offset):
            await self._skip_to(reply.next_offset)
            self._journal.log(
                Part.CONTRACTS,
                f'adopted a newer configuration from {host}.',
                version=reply.version,
                download_seconds=seconds_or_none(self._clock.monotonic() - started_at),
                compressed_bytes=len(reply.compressed),
            )


class DocumentServer:
    """Sends the document in force to peers that have an older version."""

    def __init__(self, projection: ConfigurationProjection) -> None:
        """Send the document of ``projection``."""
        self._projection = projection
        self._compressed_version = 0
        self._compressed = b''

    async def answer_request(self, frame: Frame) -> ConfigurationDocument:
        """Reply with the document, if it is newer than the peer's."""
        query: Any = frame.message
        version = self._projection.version
        if version <= query.version:
            return ConfigurationDocument(version, b'')
        if self._compressed_version != version:
            self._compressed = zlib.compress(self._projection.content, COMPRESSION_LEVEL)
            self._compressed_version = version
        return ConfigurationDocument(version, self._compressed, self._projection.next_offset)


def _decompress(compressed: bytes) -> bytes:
    """Return the document; raises ``zlib.error`` if it is damaged or too large."""
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise zlib.error(f'it is incomplete, or has over {MAX_DOCUMENT_BYTES} bytes')
    return document
