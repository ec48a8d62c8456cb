"""Another writer in the runners' topic: entries that no runner has written."""

import json
import random
from collections.abc import Callable
from threading import Event, Thread

#: Seconds between two of its records, and between two heartbeats of the runners,
#: which bring their own entries back.
WRITE_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.3
NO_TEXT = b'\xff\xfe'
#: One record of so many names no key.
ONE_WITHOUT_KEY = 10
DEEP = b'[' * 5000 + b']' * 5000

PutRaw = Callable[[bytes], None]


def make_record(draw: random.Random, key: str, entry: dict) -> bytes:
    """Return a record, without its length, that was made from a runner's good entry."""
    content = json.dumps(entry).encode()
    changed = dict(entry)
    name = draw.choice(list(entry))
    changed[name] = draw.choice((None, -1, [], {}, 'elsewhere', '10.0.0.1:99999', int('9' * 400)))
    missing = {field: known for field, known in entry.items() if field != name}
    bad = draw.choice(
        (
            json.dumps(changed).encode(),
            json.dumps(missing).encode(),
            json.dumps({**entry, 'service': 'elsewhere'}).encode(),
            json.dumps({**entry, 'state': 'resting'}).encode(),
            content[: draw.randrange(1, len(content))],
            b''.join((NO_TEXT, content)),
            DEEP,
            b'null',
        )
    )
    if not draw.randrange(ONE_WITHOUT_KEY):
        return draw.choice((b'', b'\x00', b'\xc8short', b''.join((b'\x02', NO_TEXT, bad))))
    return bytes([len(key)]) + key.encode() + bad


class OtherWriter:
    """Writes until it is stopped, while the runners go on writing their own entries."""

    def __init__(
        self,
        seed: str,
        put_raw: PutRaw,
        entries: Callable[[], dict[str, dict]],
        beat: Callable[[], None],
    ) -> None:
        """Draw from ``seed``; ``entries`` are the runners' own, ``beat`` writes them."""
        self._random = random.Random(seed)
        self._put_raw = put_raw
        self._entries = entries
        self._beat = beat
        self._over = Event()
        self._thread = Thread(target=self._write, daemon=True)
        self.written = 0

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> None:
        """End it; the runners' entries are written once more."""
        self._over.set()
        self._thread.join()
        self._beat()

    def _write(self) -> None:
        while not self._over.wait(WRITE_SECONDS):
            entries = self._entries()
            known = self._random.choice(list(entries))
            # Half of its records are those of runners, the others name none.
            mine = f'i-strange-{self._random.randrange(1000)}'
            key = self._random.choice((known, mine))
            self._put_raw(make_record(self._random, key, entries[known]))
            self.written += 1
            if not self.written % round(HEARTBEAT_SECONDS / WRITE_SECONDS):
                self._beat()
