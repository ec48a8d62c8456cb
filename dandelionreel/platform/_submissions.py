"""What clients hand in, and how they are told about it."""

import msgspec

from dandelionreel.cell import ClientCodec, Demand, JobSpec, JobState, Step, SubmissionError
from dandelionreel.http import Answer, answer_json

MILLISECONDS = 1000
HTTP_GONE = 410
PAYLOAD_BYTES = 4000
#: Bounds of what one job may ask for; a larger one is refused as bad input.
MOST_STEPS = 100
MOST_TASKS = 10_000
MOST_OCCURRENCES = 10_000


class _Step(msgspec.Struct, frozen=True):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ''
    data_rack: str = ''
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: float = 0
    fills: bool = False
    max_unavailable: int = 0


class _Job(msgspec.Struct, frozen=True):
    spec: str
    steps: tuple[_Step, ...]
    repeat_count: int = 0
    first_run_ms: float = 0
    interval_ms: float = 0


_DECODER = msgspec.json.Decoder(_Job)


def decode_submission(body: bytes) -> JobSpec:
    """Return the job that a body describes; raises ``SubmissionError``."""
    try:
        job = _DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SubmissionError(f'{error}') from error
    if len(job.spec.encode()) > PAYLOAD_BYTES:
        raise SubmissionError(f'spec is over {PAYLOAD_BYTES} bytes')
    if not 1 <= len(job.steps) <= MOST_STEPS:
        raise SubmissionError(f'steps: 1 to {MOST_STEPS} are allowed')
    if not 0 <= job.repeat_count <= MOST_OCCURRENCES:
        raise SubmissionError(f'repeat_count: 0 to {MOST_OCCURRENCES} is allowed')
    if job.repeat_count and job.interval_ms < 0:
        raise SubmissionError('interval_ms is negative')
    for number, step in enumerate(job.steps):
        _check_step(number, step)
    return JobSpec(
        payload=job.spec,
        steps=tuple(_step(step) for step in job.steps),
        repeat_count=job.repeat_count,
        first_run=job.first_run_ms / MILLISECONDS,
        interval=job.interval_ms / MILLISECONDS,
    )


def _check_step(number: int, step: _Step) -> None:
    if not 1 <= step.count <= MOST_TASKS:
        raise SubmissionError(f'step {number}: count must be 1 to {MOST_TASKS}')
    if min(step.cpu, step.mem_mb, step.gpu, step.estimate_ms) < 0:
        raise SubmissionError(f'step {number}: cpu, mem_mb, gpu and estimate_ms start at 0')
    for earlier in step.depends_on:
        # Only earlier steps may be named, so there can be no cycle.
        if not 0 <= earlier < number:
            raise SubmissionError(f'step {number}: depends_on names {earlier}, no earlier step')


def _step(step: _Step) -> Step:
    return Step(
        count=step.count,
        demand=Demand(step.cpu, step.mem_mb, step.gpu),
        estimate=step.estimate_ms / MILLISECONDS,
        depends_on=step.depends_on,
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requires,
        data_rack=step.data_rack,
        max_per_runner=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target_seconds=step.target_ms / MILLISECONDS,
        fills=step.fills,
        max_unavailable=step.max_unavailable,
    )


class JsonClientCodec(ClientCodec):
    """Jobs and answers as JSON."""

    def decode_submission(self, body: bytes) -> JobSpec:
        """Return the job that a body describes; raises ``SubmissionError``."""
        return decode_submission(body)

    def answer_accepted(self) -> Answer:
        """Tell that the request stands in the store."""
        return answer_json({})

    def answer_state(self, state: JobState) -> Answer:
        """Tell a job's state; the states have the same names on the wire."""
        return answer_json({'state': state.value})

    def answer_pending(self, count: int) -> Answer:
        """Tell how many jobs of a queue have not begun."""
        return answer_json({'pending': count})

    def answer_unknown_job(self) -> Answer:
        """Tell that no such job exists."""
        return answer_json({}, HTTP_GONE)
