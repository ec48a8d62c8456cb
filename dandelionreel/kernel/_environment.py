"""The streams, clock and program name that a program runs with."""

import sys
from dataclasses import dataclass, field
from typing import TextIO

from dandelionreel.kernel._clock import Clock, SystemClock


@dataclass(frozen=True)
class Environment:
    """Standard streams, clock and program name; tests pass replacements."""

    program: str = 'dandelionreel'
    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    clock: Clock = field(default_factory=SystemClock)

    def write_error(self, message: str) -> None:
        """Write ``program: error: message`` as one line to standard error."""
        self.stderr.write(f'{self.program}: error: {message}\n')
