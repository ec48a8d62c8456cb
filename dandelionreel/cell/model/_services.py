"""What the cell needs from its surroundings: a store, runners, a policy service."""

import abc
import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from dandelionreel.cell.model._model import (
    Configuration,
    JobSpec,
    JobState,
    Registration,
    StepName,
    TaskName,
)
from dandelionreel.cell.model._unreadable import UnreadableError
from dandelionreel.http import Answer
from dandelionreel.kernel import Verdict

#: Asked right before bytes leave: may they?
Check = Callable[[], bool]


@dataclass(frozen=True)
class KeyedRecord:
    """The content that a key has from ``offset`` on; ``None`` drops the key.

    ``error`` says why already the topic could not read the record; the key is then
    empty where not even that is known.
    """

    key: str
    content: bytes | None
    offset: int = -1
    error: UnreadableError | None = None

    @property
    def dropped(self) -> bool:
        """Return whether the record drops its key."""
        return self.content is None and self.error is None


@dataclass(frozen=True)
class RecordBatch:
    """Records in order; ``next_offset`` is where the next read goes on.

    The topic ended at ``end`` when the batch was read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int

    @property
    def reached_end(self) -> bool:
        """Return whether nothing more was in the topic."""
        return self.next_offset >= self.end


@dataclass(frozen=True)
class WriterFence:
    """Names a writer's term and the place of one append within it.

    The store refuses the appends of every lower epoch, and a sequence number
    out of turn; a repeated append is answered as the first time.
    """

    epoch: int
    sequence: int


class StoreError(Exception):
    """The store did not do what was asked; the verdict says whether it may have."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        """Keep the message and the verdict."""
        super().__init__(message)
        self.verdict = verdict


class FencedError(StoreError):
    """A writer with a higher epoch, or another one with this epoch, has written."""


class ConflictError(StoreError):
    """The topic did not end where the append expected it to."""


class RecordsExpired(Exception):
    """The records at that offset are gone: start again from a snapshot."""


class Topic(abc.ABC):
    """A log of keyed records that keeps the newest record of every key."""

    @abc.abstractmethod
    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout: float,
        fence: WriterFence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append all or none; return the first offset. Raises ``StoreError``."""

    @abc.abstractmethod
    async def read(self, offset: int, wait: float, max_bytes: int) -> RecordBatch:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds.

        About ``most_bytes`` of them come at once. Raises ``StoreError`` or ``RecordsExpired``.
        """

    @abc.abstractmethod
    async def snapshot(self) -> RecordBatch:
        """Return the newest record of each key; later ones must be read behind it."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Give up connections."""


class Outcome(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class StartReply(enum.Enum):
    """A runner's answer to a start; nothing runs but for ``STARTED``."""

    STARTED = 'started'
    FENCED = 'fenced'
    OUTDATED = 'outdated'
    TOO_LATE = 'too-late'
    NO_ROOM = 'no-room'
    NO_TICKET = 'no-ticket'
    UNHEALTHY = 'unhealthy'
    REPLACED = 'replaced'
    INVALID = 'invalid'


@dataclass(frozen=True)
class StartOrder:
    """One run of one task; ``lease_until`` is on the runner's own clock."""

    task: TaskName
    run: int
    payload: str
    epoch: int
    lease_until: float
    checkpoint: str = ''
    ticket: str = ''


@dataclass(frozen=True)
class StartAnswer:
    """The reply, and the runner's clock in seconds where it told it."""

    reply: StartReply
    clock: float | None


@dataclass(frozen=True)
class RunningTask:
    """A task as a runner lists it; ``percent`` is its progress or presence."""

    task: TaskName
    run: int
    checkpoint: str
    percent: int
    gauge: float


@dataclass(frozen=True)
class EndedRun:
    """An end that a runner keeps until it is acknowledged by its number."""

    number: int
    task: TaskName
    run: int
    outcome: Outcome
    checkpoint: str


@dataclass(frozen=True)
class RunnerView:
    """What a runner knows; ``clock`` is its own, in seconds.

    It may have more ends than it lists, and some of what it listed may not be readable.
    The view is then not ``complete``, so that a run that is not in it may still be there;
    ends above ``readable_through`` must not be acknowledged, since the runner would
    forget one that nobody has read. ``incarnation`` as in the runner's ``Registration``.
    """

    clock: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    complete: bool = True
    readable_through: int | None = None
    incarnation: int | None = None


class RunnerError(Exception):
    """A runner gave no usable answer; the verdict says whether it may have acted.

    ``connection_broken`` says that the connection closed while the request was pending, as it does
    at once when the process of the runner exits. Otherwise the runner was silent.
    """

    def __init__(self, message: str, verdict: Verdict, *, connection_broken: bool = False) -> None:
        """Keep the message, the verdict and whether the connection broke."""
        super().__init__(message)
        self.verdict = verdict
        self.connection_broken = connection_broken


class RunnerFenced(Exception):
    """The runner has seen a higher epoch: another host owns the cell."""


class RunnerReplaced(Exception):
    """Another runner answers at that address: the one that was meant has ended."""


class Runner(abc.ABC):
    """One runner; its errors are ``RunnerError``, ``RunnerFenced``, ``RunnerReplaced``."""

    @abc.abstractmethod
    async def start(self, order: StartOrder, check: Check) -> StartAnswer:
        """Start a task; repeating an order does no harm."""

    @abc.abstractmethod
    async def stop(self, task: TaskName, run: int, epoch: int) -> None:
        """Stop a run, also one whose start has not arrived yet."""

    @abc.abstractmethod
    async def poll(
        self,
        epoch: int,
        acknowledged: int,
        lease_until: float | None,
        wait: float,
    ) -> RunnerView:
        """Renew all leases and list everything, waiting for a new end."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Give up connections."""


@dataclass(frozen=True)
class Permit:
    """A runner that may run a step, with the ticket that its starts carry."""

    runner: str
    ticket: str


class AdviceError(Exception):
    """The policy service gave no answer."""


class AdviceService(abc.ABC):
    """Says which runners may run a step."""

    @abc.abstractmethod
    async def ask(
        self,
        step: StepName,
        runners: Sequence[str],
        timeout: float,
    ) -> tuple[Permit, ...]:
        """Return the permits among ``runners``; raises ``AdviceError``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Give up connections."""


class SubmissionError(ValueError):
    """The body is not a job; the message says which part is wrong."""


class ClientCodec(abc.ABC):
    """The form in which clients hand jobs in and are told about them."""

    @abc.abstractmethod
    def decode_submission(self, body: bytes) -> JobSpec:
        """Return the job that a body describes; raises ``SubmissionError``."""

    @abc.abstractmethod
    def answer_accepted(self) -> Answer:
        """Tell that the request stands in the store."""

    @abc.abstractmethod
    def answer_state(self, state: JobState) -> Answer:
        """Tell a job's state."""

    @abc.abstractmethod
    def answer_pending(self, count: int) -> Answer:
        """Tell how many jobs of a queue have not begun."""

    @abc.abstractmethod
    def answer_unknown_job(self) -> Answer:
        """Tell that no such job exists."""


class RecordCodec(abc.ABC):
    """The form of what the operator and the runners write in the store."""

    #: The operator's key under which the configuration stands.
    configuration_key: str

    @abc.abstractmethod
    def decode_configuration(self, content: bytes) -> Configuration:
        """Return the configuration; raises ``UnreadableError``."""

    @abc.abstractmethod
    def decode_registration(self, runner: str, content: bytes) -> Registration:
        """Return a runner's registration; raises ``UnreadableError``."""
