"""The subject of a report: a job, or one of its tasks."""

import re
from dataclasses import dataclass

TASK_PATTERN = re.compile(r'\d+\.\d+\.\d+')


class SubjectError(ValueError):
    """A text is neither a job id nor JOB/TASK."""


@dataclass(frozen=True)
class Subject:
    """A job, or one of its tasks as the logs name it; all tasks if ``task`` is empty."""

    job: str
    task: str = ''

    @property
    def name(self) -> str:
        """Return the subject as it is written on the command line."""
        return f'{self.job}/{self.task}' if self.task else self.job

    def includes(self, task: str) -> bool:
        """Return whether events of a task concern the subject; empty means the whole job."""
        return not self.task or not task or task == self.task


def parse_subject(text: str) -> Subject:
    """Return the subject of ``JOB`` or ``JOB/TASK``; raises ``SubjectError``."""
    job, _, task = text.partition('/')
    if not job or (task and not TASK_PATTERN.fullmatch(task)) or text.endswith('/'):
        raise SubjectError(f'{text!r} is not a job; give JOB or JOB/TASK, as in 1f/0.2.13')
    return Subject(job, task)
