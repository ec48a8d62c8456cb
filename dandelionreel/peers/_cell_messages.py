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
    """Advice of the policy service: permitted runners, each with its ticket.

    ``answered`` is False if the service gave no answer, so that nothing is known.
    """

    answered: bool
    permits: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class OwnerFailing:
    """The owner of ``term`` asks a peer to take over, as the store fails for the owner."""

    term: str


@dataclass(frozen=True)
class OwnerAsked:
    """Asks whether the owner of ``term`` is alive, as its heartbeats are missing."""

    term: str


@dataclass(frozen=True)
class CompletionsTold:
    """Completed jobs whose completion may not be in the store yet.

    The owner of ``epoch`` sends it to its peers; a peer also answers ``CompletionsWanted`` with it.
    """

    epoch: int
    jobs: tuple[str, ...]


@dataclass(frozen=True)
class CompletionsWanted:
    """The new owner of ``epoch`` asks for known completions.

    From then on the peer must accept no completions of an earlier owner.
    """

    epoch: int


@dataclass(frozen=True)
class CompletionsSeen:
    """Jobs that the runners of a zone report as done.

    It is sent by a host of the zone that believes the zone to be cut off by a partition.
    """

    jobs: tuple[str, ...]


@dataclass(frozen=True)
class ConfigurationWanted:
    """Asks for a configuration that is newer than ``version``."""

    version: int


@dataclass(frozen=True)
class ConfigurationGiven:
    """The configuration in force at a host; ``document`` is empty if it is not newer.

    ``current`` says that the host can read the store and would know of a newer version.
    """

    version: int
    document: bytes
    current: bool
