"""Decision log: one eliot event for a decision, a short sentence with a fixed prefix."""

import enum
import logging
import math
from collections.abc import Collection
from typing import Any, Protocol

import eliot


class Part(enum.Enum):
    """The part of the daemon that decides; its value is the prefix of the line."""

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
    """Return a duration for a line, to the millisecond; ``None`` where it never began.

    JSON has no word for infinity: a line with one could not be read.
    """
    return round(seconds, 3) if math.isfinite(seconds) else None


class LineStream(Protocol):
    """The part of a stream, of text or of bytes, that the journal needs."""

    def write(self, line: Any, /) -> Any:
        """Write the line."""

    def flush(self) -> None:
        """Pass what was written on."""


class Journal:
    """Writes decisions; ``sample_every`` thins out the frequent ones.

    A part that is listed in ``quiet_parts`` writes nothing. Sampled lines
    carry ``sampled`` so that a reader can scale counts up again.
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
        self._count = 0
        self._destination = eliot.FileDestination(file=stream)

    def open(self) -> None:
        """Send eliot's messages to the stream.

        Curio's warnings of late time-outs would break its lines of JSON.
        """
        logging.getLogger('curio').addHandler(logging.NullHandler())
        eliot.add_destinations(self._destination)

    def close(self) -> None:
        """Stop sending to the stream."""
        eliot.remove_destination(self._destination)

    def tell(self, part: Part, sentence: str, **fields: Any) -> None:
        """Write one line, always."""
        if part.value in self._quiet_parts:
            return
        eliot.log_message(
            part.value,
            host=self._host,
            text=f'{part.value}: {sentence}',
            **fields,
        )

    def tell_frequent(self, part: Part, sentence: str, **fields: Any) -> None:
        """Write one line of every ``sample_every``."""
        self._count += 1
        if self._count % self._sample_every:
            return
        if self._sample_every > 1:
            fields['sampled'] = self._sample_every
        self.tell(part, sentence, **fields)
