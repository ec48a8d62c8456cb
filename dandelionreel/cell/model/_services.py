"""Interfaces of external services: the store, runners, the policy service and codecs."""

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
from dandelionreel.http import Response
from dandelionreel.kernel import Verdict

#: Called right before a request is sent; if the result is false, the request is not sent.
SendPrecondition = Callable[[], bool]


@dataclass(frozen=True)
class KeyedRecord:
    """The content of a key from ``offset`` on; ``None`` deletes the key.

    ``error`` says why the topic could not decode the record; the key is empty if not even the key
    could be decoded.
    """

    key: str
    content: bytes | None
    offset: int = -1
    error: UnreadableError | None = None

    @property
    def deletes_key(self) -> bool:
        """Return whether the record deletes its key."""
        return self.content is None and self.error is None


@dataclass(frozen=True)
class RecordBatch:
    """Records in order; the next read starts at ``next_offset``.

    ``end`` is the end offset of the topic when the batch was read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int

    @property
    def reached_end(self) -> bool:
        """Return whether the batch goes up to the end of the topic."""
        return self.next_offset >= self.end


@dataclass(frozen=True)
class WriterFence:
    """Identifies a writer's epoch and one append within it.

    The store rejects appends with a lower epoch or an out-of-order sequence number. A repeated
    append gets the answer of the first one.
    """

    epoch: int
    sequence: int


class StoreError(Exception):
    """A request to the store failed; the verdict says whether it may have been executed.

    ``received`` is how many bytes of an incomplete answer had arrived.
    """

    def __init__(self, message: str, verdict: Verdict, received: int = 0) -> None:
        """Create an error with a message and a verdict."""
        super().__init__(message)
        self.verdict = verdict
        self.received = received


class FencedError(StoreError):
    """Another writer with the same or a higher epoch has written."""


class ConflictError(StoreError):
    """The end offset of the topic was not the one that the append expected."""


class RecordsExpired(Exception):
    """The records at this offset were deleted: the reader must load a snapshot."""


class Topic(abc.ABC):
    """A compacted log of keyed records: it keeps the newest record of each key."""

    @abc.abstractmethod
    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout: float,
        fence: WriterFence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none; return the first offset. Raises ``StoreError``."""

    @abc.abstractmethod
    async def read(self, offset: int, wait: float, max_bytes: int) -> RecordBatch:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds.

        A batch has about ``max_bytes`` at most. Raises ``StoreError`` or ``RecordsExpired``.
        """

    @property
    def is_receiving(self) -> bool:
        """Return whether the answer to a read has begun and is not complete."""
        return False

    @property
    def received_at(self) -> float:
        """Return when bytes of an answer to a read last arrived, in monotonic seconds."""
        return float('-inf')

    @abc.abstractmethod
    async def snapshot(self) -> RecordBatch:
        """Return the newest record of each key; later ones are read from its ``next_offset`` on."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close connections."""


class RunOutcome(enum.Enum):
    """How a run ended, as reported by its runner."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class StartReply(enum.Enum):
    """A runner's reply to a start; nothing runs unless it is ``STARTED``."""

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
    """The order to start one run of a task; ``lease_until`` is by the runner's clock.

    With ``verify_peer``, the runner must answer on the same connection right before the start is
    sent. Otherwise the start is not sent.
    """

    task: TaskName
    run: int
    payload: str
    epoch: int
    lease_until: float
    checkpoint: str = ''
    ticket: str = ''
    verify_peer: bool = False


@dataclass(frozen=True)
class StartAnswer:
    """A reply, with the runner's clock in seconds if the runner reported it."""

    reply: StartReply
    clock: float | None


@dataclass(frozen=True)
class RunningTask:
    """A running task as listed by its runner; ``percent`` is its progress or presence."""

    task: TaskName
    run: int
    checkpoint: str
    percent: int
    gauge: float


@dataclass(frozen=True)
class EndedRun:
    """The end of a run; the runner keeps it until its ``number`` is acknowledged."""

    number: int
    task: TaskName
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True)
class RunnerView:
    """A runner's answer to a poll; ``clock`` is its own clock in seconds.

    If the runner has more ends than it listed, or some rows were unreadable, the view is not
    ``complete``: a run that is missing from it may still exist. Ends above ``readable_through``
    must not be acknowledged, since the runner would forget an end that nobody has read.
    ``incarnation`` is that of the runner's ``Registration``.
    """

    clock: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    complete: bool = True
    readable_through: int | None = None
    incarnation: int | None = None


class RunnerError(Exception):
    """A runner gave no usable answer; the verdict says whether it may have executed the request.

    ``connection_broken`` says that the connection closed while the request was pending, as it does
    at once when the process of the runner exits. Otherwise the runner was silent. ``was_alive``
    says that it closed without a byte of the answer, and that the runner had answered on it right
    before the request was sent.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        *,
        connection_broken: bool = False,
        was_alive: bool = False,
    ) -> None:
        """Create an error with a message, a verdict and what is known of the connection."""
        super().__init__(message)
        self.verdict = verdict
        self.connection_broken = connection_broken
        self.was_alive = was_alive


class RunnerFenced(Exception):
    """The runner has seen a higher epoch: another host owns the cell."""


class RunnerReplaced(Exception):
    """Another incarnation answers at this address: the intended one has ended."""


class Runner(abc.ABC):
    """Client of one runner; raises ``RunnerError``, ``RunnerFenced`` or ``RunnerReplaced``."""

    @abc.abstractmethod
    async def start_task(self, order: StartOrder, check: SendPrecondition) -> StartAnswer:
        """Start a task; idempotent."""

    @abc.abstractmethod
    async def stop_run(self, task: TaskName, run: int, epoch: int) -> None:
        """Stop a run, even if its start has not arrived yet."""

    @abc.abstractmethod
    async def poll(
        self,
        epoch: int,
        acknowledged: int,
        lease_until: float | None,
        wait: float,
    ) -> RunnerView:
        """Renew all leases and list all runs, waiting up to ``wait`` seconds for a new end."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close connections."""


@dataclass(frozen=True)
class Permit:
    """Permission for a runner to run a step, with the ticket to send with each start."""

    runner: str
    ticket: str


class AdviceError(Exception):
    """The policy service gave no answer."""


class AdviceService(abc.ABC):
    """Client of the policy service, which decides which runners may run a step."""

    @abc.abstractmethod
    async def request_permits(
        self,
        step: StepName,
        runners: Sequence[str],
        timeout: float,
    ) -> tuple[Permit, ...]:
        """Return permits for those of ``runners`` that may run it; raises ``AdviceError``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close connections."""


class SubmissionError(ValueError):
    """A request body is not a valid job; the message names the invalid part."""


class ClientCodec(abc.ABC):
    """Decodes job submissions and encodes answers to clients."""

    @abc.abstractmethod
    def decode_submission(self, body: bytes) -> JobSpec:
        """Decode a job from a request body; raises ``SubmissionError``."""

    @abc.abstractmethod
    def answer_accepted(self) -> Response:
        """Answer that the request has been stored."""

    @abc.abstractmethod
    def answer_state(self, state: JobState) -> Response:
        """Answer with a job's state."""

    @abc.abstractmethod
    def answer_pending(self, count: int) -> Response:
        """Answer with the number of jobs of a queue that have not started."""

    @abc.abstractmethod
    def answer_unknown_job(self) -> Response:
        """Answer that no such job exists."""


class RecordCodec(abc.ABC):
    """Decodes the records that the operator and the runners write to the store."""

    #: The key under which the operator stores the configuration.
    configuration_key: str

    @abc.abstractmethod
    def decode_configuration(self, content: bytes) -> Configuration:
        """Decode a configuration; raises ``UnreadableError``."""

    @abc.abstractmethod
    def decode_registration(self, runner: str, content: bytes) -> Registration:
        """Decode a runner's registration; raises ``UnreadableError``."""
