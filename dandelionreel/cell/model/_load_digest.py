"""The digest of a cell's load that its owner stores with its heartbeats.

It has the expected waits that the owner decides by, and the ids of jobs that it refused lately.
"""

import msgspec

from dandelionreel.cell.model._unreadable import UnreadableError, UnreadableReason, decode_json

#: Version of the digest; a host ignores digests of a newer version.
DIGEST_VERSION = 1
#: Most rows of one kind in a digest, so that heartbeats stay small.
MAX_DIGEST_ROWS = 200
#: Most refused jobs in a digest: those of some seconds, at some tens a second.
MAX_DIGEST_REFUSALS = 1000


class QueueLoad(msgspec.Struct, frozen=True, array_like=True):
    """Expected wait of a new job of a queue in milliseconds, and whether jobs are refused."""

    queue: str
    wait_ms: int
    refuses: bool


class AccountLoad(msgspec.Struct, frozen=True, array_like=True):
    """The same within the quota of an account that is at its quota."""

    account: str
    queue: str
    wait_ms: int
    refuses: bool


class RefusedJob(msgspec.Struct, frozen=True, array_like=True):
    """A job that the owner refused.

    ``at`` is the Unix time of the refused attempt, by the clock of the host that got it.
    """

    job: str
    at: float


class LoadDigest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of a cell, as its owner computed it."""

    version: int
    queues: tuple[QueueLoad, ...] = ()
    accounts: tuple[AccountLoad, ...] = ()
    refused: tuple[RefusedJob, ...] = ()


class _DigestVersion(msgspec.Struct):
    """The part of a digest that every version has."""

    version: int


_VERSION_DECODER = msgspec.json.Decoder(_DigestVersion)
_DIGEST_DECODER = msgspec.json.Decoder(LoadDigest)


def encode_digest(digest: LoadDigest) -> bytes:
    """Return the encoded digest."""
    return msgspec.json.encode(digest)


def decode_digest(content: bytes) -> LoadDigest:
    """Return the digest; raises ``UnreadableError`` if it is malformed or of a newer version."""
    version = decode_json(_VERSION_DECODER, content).version
    if version > DIGEST_VERSION:
        raise UnreadableError(UnreadableReason.RANGE, f'the version {version} is newer')
    return decode_json(_DIGEST_DECODER, content)
