"""Exit statuses of the daemon and the command-line tool."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit status of a process."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    INTERRUPTED = 130
