"""Decodes job submissions and encodes answers to clients."""

import msgspec

from dandelionreel.cell.model import (
    ClientCodec,
    Demand,
    JobSpec,
    JobState,
    Step,
    SubmissionError,
    UnreadableError,
    check_job_spec,
    check_step_count,
    decode_json,
)
from dandelionreel.http import Response, json_response

MILLISECONDS_PER_SECOND = 1000
HTTP_GONE = 410
MAX_PAYLOAD_BYTES = 4000


class _StepDocument(msgspec.Struct, frozen=True):
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


class _StepMark(msgspec.Struct, frozen=True, gc=False):
    """Any step: a list of these takes a tenth of the memory of the steps."""


class _SubmissionDocument(msgspec.Struct, frozen=True):
    spec: str
    steps: msgspec.Raw
    repeat_count: int = 0
    first_run_ms: float = 0
    interval_ms: float = 0


_DECODER = msgspec.json.Decoder(_SubmissionDocument)
_COUNT_DECODER = msgspec.json.Decoder(list[_StepMark])
_STEPS_DECODER = msgspec.json.Decoder(tuple[_StepDocument, ...])


def decode_submission(body: bytes) -> JobSpec:
    """Decode a job from a request body; raises ``SubmissionError``."""
    try:
        submission = decode_json(_DECODER, body)
    except UnreadableError as error:
        raise SubmissionError(f'{error}') from error
    steps = _decode_steps(submission.steps)
    if len(submission.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise SubmissionError(f'spec is over {MAX_PAYLOAD_BYTES} bytes')
    spec = JobSpec(
        payload=submission.spec,
        steps=tuple(_to_step(step) for step in steps),
        repeat_count=submission.repeat_count,
        first_run=submission.first_run_ms / MILLISECONDS_PER_SECOND,
        interval=submission.interval_ms / MILLISECONDS_PER_SECOND,
    )
    try:
        check_job_spec(spec)
    except UnreadableError as error:
        raise SubmissionError(f'{error}') from error
    return spec


def _decode_steps(content: msgspec.Raw) -> tuple[_StepDocument, ...]:
    try:
        # Decoded in full, a body of tiny steps takes many times its size.
        check_step_count(len(decode_json(_COUNT_DECODER, content)))
        return decode_json(_STEPS_DECODER, content)
    except UnreadableError as error:
        raise SubmissionError(f'steps: {error}') from error


def _to_step(step: _StepDocument) -> Step:
    return Step(
        count=step.count,
        demand=Demand(step.cpu, step.mem_mb, step.gpu),
        estimate=step.estimate_ms / MILLISECONDS_PER_SECOND,
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
        target_seconds=step.target_ms / MILLISECONDS_PER_SECOND,
        fills=step.fills,
        max_unavailable=step.max_unavailable,
    )


class JsonClientCodec(ClientCodec):
    """JSON codec of submissions and answers."""

    def decode_submission(self, body: bytes) -> JobSpec:
        """Decode a job from a request body; raises ``SubmissionError``."""
        return decode_submission(body)

    def answer_accepted(self) -> Response:
        """Answer that the request has been stored."""
        return json_response({})

    def answer_state(self, state: JobState) -> Response:
        """Answer with a job's state; states have the same names on the wire."""
        return json_response({'state': state.value})

    def answer_pending(self, count: int) -> Response:
        """Answer with the number of jobs of a queue that have not started."""
        return json_response({'pending': count})

    def answer_unknown_job(self) -> Response:
        """Answer that the job does not exist."""
        return json_response({}, HTTP_GONE)
