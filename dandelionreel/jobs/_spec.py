"""The job specification that a client submits."""

from typing import Annotated

from msgspec import Meta, Struct

from dandelionreel.backing import Resources
from dandelionreel.contracts import TASK_CLASSES, Amounts
from dandelionreel.kernel import JsonError, decode_json

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Command = Annotated[str, Meta(min_length=1, max_length=4096)]
TaskCount = Annotated[int, Meta(ge=1, le=10_000)]
AttemptCount = Annotated[int, Meta(ge=1, le=100)]
RunSeconds = Annotated[float, Meta(ge=0, le=31_536_000)]
WaitSeconds = Annotated[float, Meta(gt=0, le=31_536_000)]
Kind = Annotated[str, Meta(max_length=100)]


class JobSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """A submitted job; with several tasks it is a gang, which starts whole or not at all."""

    customer: Name
    command: Command
    demand: Amounts
    task_class: Name = 'batch'
    tasks: TaskCount = 1
    idempotent: bool = False
    run_seconds: RunSeconds = 0
    longest_wait: WaitSeconds | None = None
    max_attempts: AttemptCount = 3
    kind: Kind = ''

    @property
    def resources(self) -> Resources:
        """Return the resources that one task requests."""
        return self.demand.resources()


class JobSpecError(ValueError):
    """A job is invalid; the message names the field, its value and what is allowed."""


def load_job_spec(text: bytes) -> JobSpec:
    """Decode and validate a job; raises ``JobSpecError``."""
    try:
        spec = decode_json(text, JobSpec)
    except JsonError as error:
        raise JobSpecError(str(error)) from error
    if spec.task_class not in TASK_CLASSES:
        allowed = ', '.join(TASK_CLASSES)
        raise JobSpecError(f'task_class: {spec.task_class!r} is unknown; allowed: {allowed}')
    if spec.task_class == 'service' and not spec.idempotent:
        raise JobSpecError('idempotent: false; a service is started again, so it must be true')
    if not spec.demand.processors and not spec.demand.memory_mb:
        raise JobSpecError('demand: asks for nothing; give processors or memory_mb above 0')
    return spec
