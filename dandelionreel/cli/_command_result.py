"""The result of a command, before it is written."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from dandelionreel.cli._client import ToolError
from dandelionreel.kernel import Environment, ExitStatus


@dataclass(frozen=True)
class CommandResult:
    """The content that a command returns, and the function that writes it as text."""

    content: Any
    write: Callable[[Any, Any], None]
    as_json: bool = False


CommandOutcome = Result[CommandResult, ToolError]
Command = Callable[[Environment], CommandOutcome]


def read_file(path: Path) -> Result[bytes, ToolError]:
    """Return the content of a file."""
    try:
        return Success(path.read_bytes())
    except OSError as error:
        return Failure(unreadable_file_error(path, error))


def unreadable_file_error(path: Path | str, error: OSError) -> ToolError:
    """Return the error for a file that can't be read."""
    return ToolError(f'{path}: {error.strerror}; name a readable file', ExitStatus.USAGE)
