"""Structured log of the daemon's decisions, written as eliot events.

The text of each event is a short sentence after the name of the part that wrote it.
"""

import enum
import logging
import math
from collections.abc import Collection
from typing import Any, Protocol

import eliot


class Part(enum.Enum):
    """The part (subsystem) of the daemon that writes a line; its value is the line's prefix."""

    LIFE = 'life'
    LOG = 'log'
    OWNERSHIP = 'ownership'
    CONTRACTS = 'contracts'
    JOBS = 'jobs'
    PLACEMENT = 'placement'
    ROUTING = 'routing'
    PEERS = 'peers'
    WORKERS = 'workers'


def seconds_or_none(seconds: float) -> float | None:
    """Return a duration for a log line, rounded to milliseconds; ``None`` if it is infinite.

    JSON cannot express infinity, so a line that contains it could not be parsed.
    """
    return round(seconds, 3) if math.isfinite(seconds) else None


class LineStream(Protocol):
    """The methods of a text or binary stream that the journal uses."""

    def write(self, line: Any, /) -> Any:
        """Write the line."""

    def flush(self) -> None:
        """Flush buffered lines."""


class Journal:
    """Writes log lines and samples the frequent ones.

    ``log_sampled`` writes one of every ``sample_every`` lines; these have the field
    ``sampled``, so that a reader can estimate the full count. A part that is listed in
    ``quiet_parts`` writes nothing.
    """

    def __init__(
        self,
        stream: LineStream,
        host: str,
        sample_every: int = 1,
        quiet_parts: Collection[str] = (),
    ) -> None:
        """Write lines for ``host`` to ``stream``."""
        self._logger = eliot.Logger()
        self._host = host
        self._sample_every = sample_every
        self._quiet_parts = quiet_parts
        self._frequent_line_count = 0
        self._destination = eliot.FileDestination(file=stream)

    def open(self) -> None:
        """Start sending eliot's messages to the stream.

        Curio's own log is silenced: its warnings about late timeouts would break
        the JSON lines.
        """
        logging.getLogger('curio').addHandler(logging.NullHandler())
        eliot.add_destinations(self._destination)

    def close(self) -> None:
        """Stop sending eliot's messages to the stream."""
        eliot.remove_destination(self._destination)

    def log(self, part: Part, sentence: str, **fields: Any) -> None:
        """Write one line, without sampling."""
        if part.value in self._quiet_parts:
            return
        eliot.log_message(
            part.value,
            host=self._host,
            text=f'{part.value}: {sentence}',
            **fields,
        )

    def log_sampled(self, part: Part, sentence: str, **fields: Any) -> None:
        """Write one of every ``sample_every`` lines."""
        self._frequent_line_count += 1
        if self._frequent_line_count % self._sample_every:
            return
        if self._sample_every > 1:
            fields['sampled'] = self._sample_every
        self.log(part, sentence, **fields)
