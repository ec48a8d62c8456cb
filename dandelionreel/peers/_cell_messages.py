"""Messages between entry hosts about the cell that one of them owns.

Names that end in ``Wanted`` or ``Asked`` are requests, the others responses or notices.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class AdviceWanted:
    """Asks a peer to request advice for a step from the policy service.

    ``timeout`` is in seconds.
    """

    job: str
    occurrence: int
    step: int
    runners: tuple[str, ...]
    timeout: float


@dataclass(frozen=True)
class AdviceGiven:
    """Advice of the policy service: permitted runners, each with a ticket for the start there.

    ``answered`` is False if the service gave no answer; an empty ``permits`` then does
    not mean that no runner is permitted.
    """

    answered: bool
    permits: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class OwnerFailing:
    """The owner of ``term`` asks a peer to take over, as its own requests to the store fail."""

    term: str


@dataclass(frozen=True)
class OwnerAsked:
    """Asks whether the owner of ``term`` is alive, as no heartbeats of that owner arrive."""

    term: str


@dataclass(frozen=True)
class ConfigurationWanted:
    """Asks a host for its version, and for a small document that is newer than ``version``."""

    version: int


@dataclass(frozen=True)
class ConfigurationGiven:
    """The configuration in force at a host; answers ``ConfigurationWanted``.

    ``document`` is empty if ``version`` is not newer than the one in the request, and if it is
    too large for an answer that others wait behind.
    ``current`` says that the host can read the store and would know of a newer version.
    """

    version: int
    document: bytes
    current: bool


@dataclass(frozen=True)
class ConfigurationDocumentWanted:
    """Asks for the document of a configuration that is newer than ``version``."""

    version: int


@dataclass(frozen=True)
class ConfigurationDocument:
    """A compressed document; answers ``ConfigurationDocumentWanted``.

    It is empty if the host has no newer version. ``next_offset`` is the one after its record in
    the store, 0 where the host does not know it.
    """

    version: int
    compressed: bytes
    next_offset: int = 0
