"""Counts executed bytecode instructions, a cost that does not depend on the machine's load."""

import sys


class OperationCount:
    """Counts the instructions that Python code executes inside a ``with`` block.

    Work inside functions written in C counts as one instruction.
    """

    def __init__(self):
        self.count = 0

    def __enter__(self):
        """Start counting."""
        self._former_trace = sys.gettrace()
        sys.settrace(self._trace)
        return self

    def __exit__(self, *error):
        """Stop counting."""
        sys.settrace(self._former_trace)

    def _trace(self, frame, event, argument):
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        self.count += event == 'opcode'
        return self._trace
