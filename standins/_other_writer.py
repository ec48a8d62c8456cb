"""Another writer in the runners' topic, which writes broken entries."""

import json
import random
from collections.abc import Callable
from threading import Event, Thread

#: Seconds between two broken records, and between two heartbeats of the runners,
#: which write their valid entries again.
WRITE_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.3
INVALID_UTF8 = b'\xff\xfe'
#: One in so many records has no valid key.
KEYLESS_ONE_IN = 10
DEEPLY_NESTED_JSON = b'[' * 5000 + b']' * 5000
ODD_VALUES = (
    None,
    -1,
    [],
    {},
    'elsewhere',
    '10.0.0.1:0',
    '10.0.0.1:99999',
    'runner.example:7000',
    int('9' * 400),
    1e300,
    float('inf'),
)
#: Keys that no runner has, as an id is sent in a header.
ODD_KEYS = ('i-\xfc', 'i 3', 'i\n3', 'i\x00')
#: One in so many records has an odd key and is valid otherwise.
ODD_KEY_ONE_IN = 10

PutRaw = Callable[[bytes], None]


def make_record(rng: random.Random, key: str, entry: dict) -> bytes:
    """Return a broken record, without its length prefix, made from a runner's valid entry."""
    content = json.dumps(entry).encode()
    changed = dict(entry)
    name = rng.choice(list(entry))
    changed[name] = rng.choice(ODD_VALUES)
    missing = {field: text for field, text in entry.items() if field != name}
    bad_content = rng.choice(
        (
            json.dumps(changed).encode(),
            json.dumps(missing).encode(),
            json.dumps({**entry, 'service': 'elsewhere'}).encode(),
            json.dumps({**entry, 'state': 'resting'}).encode(),
            content[: rng.randrange(1, len(content))],
            b''.join((INVALID_UTF8, content)),
            DEEPLY_NESTED_JSON,
            b'%b,"more":%b}' % (content[:-1], DEEPLY_NESTED_JSON),
            b'null',
        )
    )
    if not rng.randrange(KEYLESS_ONE_IN):
        return rng.choice(
            (b'', b'\x00', b'\xc8short', b''.join((b'\x02', INVALID_UTF8, bad_content)))
        )
    if not rng.randrange(ODD_KEY_ONE_IN):
        key, bad_content = rng.choice(ODD_KEYS), content
    return bytes([len(key.encode())]) + key.encode() + bad_content


class OtherWriter:
    """Writes broken records in a thread, while the runners go on writing valid entries."""

    def __init__(
        self,
        seed: str,
        put_raw: PutRaw,
        entries: Callable[[], dict[str, dict]],
        write_heartbeats: Callable[[], None],
    ) -> None:
        """Choose by ``seed``; ``entries`` are the runners' valid ones.

        ``write_heartbeats`` writes these again.
        """
        self._random = random.Random(seed)
        self._put_raw = put_raw
        self._entries = entries
        self._write_heartbeats = write_heartbeats
        self._stop_requested = Event()
        self._thread = Thread(target=self._write, daemon=True)
        self.written = 0

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and write the runners' valid entries once more."""
        self._stop_requested.set()
        self._thread.join()
        self._write_heartbeats()

    def _write(self) -> None:
        while not self._stop_requested.wait(WRITE_SECONDS):
            entries = self._entries()
            known_key = self._random.choice(list(entries))
            # Half of the records have the key of a runner, the others an unknown key.
            unknown_key = f'i-strange-{self._random.randrange(1000)}'
            key = self._random.choice((known_key, unknown_key))
            self._put_raw(make_record(self._random, key, entries[known_key]))
            self.written += 1
            if not self.written % round(HEARTBEAT_SECONDS / WRITE_SECONDS):
                self._write_heartbeats()
