"""What is asked about: a job, or one task of it."""

import re
from dataclasses import dataclass

TASK = re.compile(r'\d+\.\d+\.\d+')


class SubjectError(ValueError):
    """A word names neither a job nor a task."""


@dataclass(frozen=True)
class Subject:
    """A job, and one of its tasks as lines name it; all tasks where ``task`` is empty."""

    job: str
    task: str = ''

    @property
    def name(self) -> str:
        """Return what was asked for, as it is written on the command line."""
        return f'{self.job}/{self.task}' if self.task else self.job

    def includes(self, task: str) -> bool:
        """Return whether a line about that task belongs here; empty is the whole job."""
        return not self.task or not task or task == self.task


def parse_subject(text: str) -> Subject:
    """Return the subject of ``JOB`` or ``JOB/TASK``; raises ``SubjectError``."""
    job, _, task = text.partition('/')
    if not job or (task and not TASK.fullmatch(task)) or text.endswith('/'):
        raise SubjectError(f'{text!r} names no job; give JOB or JOB/TASK, as in 1f/0.2.13')
    return Subject(job, task)
