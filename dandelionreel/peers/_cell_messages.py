"""Messages between entry hosts about the cell that one of them owns."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AdviceWanted:
    """Asks a peer to put a question to the policy service, within ``patience`` seconds."""

    job: str
    occurrence: int
    step: int
    runners: tuple[str, ...]
    patience: float


@dataclass(frozen=True)
class AdviceGiven:
    """Runners and their tickets; not ``answered`` says that nothing is known."""

    answered: bool
    permits: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class OwnerFailing:
    """The owner of that term asks a peer to take over: the store refuses it."""

    term: str


@dataclass(frozen=True)
class OwnerAsked:
    """A peer misses the heartbeats of that term and asks whether its owner lives."""

    term: str


@dataclass(frozen=True)
class CompletionsTold:
    """Jobs that are complete, which the store may not know yet.

    The owner of that epoch tells its peers; a peer that is asked answers with what it knows.
    """

    epoch: int
    jobs: tuple[str, ...]


@dataclass(frozen=True)
class CompletionsWanted:
    """The new owner of that epoch asks what a peer knows; it is to believe no earlier owner."""

    epoch: int


@dataclass(frozen=True)
class CompletionsSeen:
    """Jobs that the runners of a zone list as done, which is cut off as its hosts believe."""

    jobs: tuple[str, ...]


@dataclass(frozen=True)
class ConfigurationWanted:
    """A host that has this version of the configuration asks for a newer one."""

    version: int


@dataclass(frozen=True)
class ConfigurationGiven:
    """The configuration in force at a host; no ``document`` where it is not newer.

    ``current`` says that the store serves the host, which would know of a newer one.
    """

    version: int
    document: bytes
    current: bool
