"""Seeded fuzzing of everything that reads what others may have written.

Each case is a batch of good records with one that was mutated from a good one. The
mutated record must cost nothing but itself: no error reaches the follower, the offset
moves on, and both neighbours are known.
"""

import json
import random
import signal
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, field

import curio

from dandelionreel.cell.decisions import Cell
from dandelionreel.cell.model import RunnerError, StoreError
from dandelionreel.cell.store._follower import Follower
from dandelionreel.platform._views import decode_view
from features.cell_parts import SmallCell
from features.entry_parts import (
    BAD_FRAMES,
    CONFIGURATION,
    DEEP,
    ENTRY,
    GOOD_CELL,
    JOB,
    START,
    SUBMISSION_PREFIX,
    Reader,
    encode,
    frame,
    page,
    raw_topic,
)

VALUES = (
    None,
    True,
    -1,
    0,
    1,
    1.5,
    1e300,
    -1e300,
    99999,
    2**31,
    2**63,
    2**64,
    int('9' * 400),
    '',
    'x',
    '0' * 400,
    '-1',
    '10.0.0.1:0',
    '\ud800',
    '\x00',
    'ready',
    [],
    [[]],
    {},
    {'a': {}},
)
PLAIN = json.dumps(ENTRY).encode()
GOOD_VIEW = {
    'clock_ms': 482113,
    'running': [[f'{JOB}.0.0.0', 4001, 'ab', 41, 2000], [f'{JOB}.0.0.1', 4002, '', 0]],
    'finished': [[58, f'{JOB}.0.0.9', 1, 'done', ''], [59, f'{JOB}.0.0.8', 2, 'failed', '']],
}


#: Seconds of processor time within which any one case must be over.
CASE_SECONDS = 1.0


class TooLong(Exception):
    """One record keeps its reader busy for ever."""


@contextmanager
def bounded():
    """Raise ``TooLong`` in a case that takes longer than a host may be held up."""

    def ring(number, where):
        raise TooLong(f'it takes over {CASE_SECONDS} s')

    former = signal.signal(signal.SIGVTALRM, ring)
    signal.setitimer(signal.ITIMER_VIRTUAL, CASE_SECONDS)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, former)


@dataclass
class Findings:
    """How many cases were played, and those that went wrong, by what was mutated."""

    played: int = 0
    wrong: list[str] = field(default_factory=list)
    wrong_by_kind: Counter = field(default_factory=Counter)

    def note(self, kind, cause):
        self.wrong_by_kind[kind] += 1
        self.wrong.append(f'{kind}: {cause}')


class Mutator:
    """Draws mutations of one record's content."""

    def __init__(self, draw):
        self.draw = draw

    def content(self, good):
        """Return the content of a record, mutated."""
        ways = (self.cut, self.flip, self.insert, self.field, self.field, self.field, self.encode)
        return self.draw.choice(ways)(good)

    def cut(self, good):
        # Cut to nothing it would drop its key, which everybody can read.
        return good[: self.draw.randrange(1, len(good))]

    def flip(self, good):
        changed = bytearray(good)
        for _ in range(self.draw.randint(1, 4)):
            changed[self.draw.randrange(len(changed))] = self.draw.randrange(256)
        return bytes(changed)

    def insert(self, good):
        at = self.draw.randrange(len(good))
        more = self.draw.choice((b'\x00', b'\xff', b'"', b'[[[', DEEP, b'9' * 5000, b'NaN', b','))
        return good[:at] + more + good[at:]

    def encode(self, good):
        return good.decode().encode(self.draw.choice(('utf-16', 'utf-32', 'cp500')))

    def field(self, good):
        """Change one value, at any depth, to one of another type or size."""
        document = json.loads(good)
        holders = [document]
        for holder in holders:
            inner = holder.values() if isinstance(holder, dict) else holder
            holders.extend(value for value in inner if isinstance(value, dict | list))
        holder = self.draw.choice([holder for holder in holders if holder] or [document])
        if not holder:
            return b'[]'
        place = self.draw.choice(list(holder) if isinstance(holder, dict) else range(len(holder)))
        if self.draw.random() < 0.15:
            del holder[place]
        elif self.draw.random() < 0.1:
            holder[place] = '@deep@'
        else:
            holder[place] = self.draw.choice(VALUES)
        return json.dumps(document).encode().replace(b'"@deep@"', DEEP)


def follow(topic, folder, reader, offset):
    """Read once, from ``offset`` or a snapshot, and return the follower."""
    follower = Follower('raw', topic, folder, reader.clock, None, 0.0, lambda: 0.0)
    follower._offset = offset

    curio.run(follower._step)
    return follower


class Fuzz:
    """Plays cases one after the other; ``seed`` draws all of them."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.mutator = Mutator(self.draw)
        self.findings = Findings()

    def play(self, cases):
        """Play that many cases and return what went wrong."""
        kinds = (
            self.runners,
            self.runners,
            self.configuration,
            self.cell_records,
            self.cell_records,
            self.frames,
            self.pages,
            self.raw_reads,
            self.views,
        )
        for number in range(cases):
            kind = kinds[number % len(kinds)]
            self.findings.played += 1
            try:
                with bounded():
                    kind()
            except Exception as error:
                self.findings.note(kind.__name__, f'{type(error).__name__} {error}'[:120])
        return self.findings

    def step(self, topic, folder, reader, *records):
        """Let a follower read these records and check that it has read all of them."""
        topic, raw = raw_topic(topic)
        raw.frames = list(records)
        follower = follow(topic, folder, reader, 0)
        assert follower.offset == len(records), f'offset {follower.offset}'

    def runners(self):
        reader = Reader()
        bad = self.mutator.content(PLAIN)
        if self.draw.random() < 0.3:
            bad_key = b'i-1'
        else:
            bad_key = b'i-3'
        self.step(
            'keyed.servers',
            reader.runners,
            reader,
            frame(b'i-1', PLAIN),
            frame(bad_key, bad),
            frame(b'i-2', PLAIN.replace(b':7000', b':7001')),
        )
        known = reader.runners.registration_by_id
        assert {'i-1', 'i-2'} <= known.keys(), 'a neighbour is not known'
        for registration in known.values():
            check_registration(registration)
        small = SmallCell(())
        small.cell.update_runners(known, START)

    def configuration(self):
        reader = Reader()
        good = json.dumps(CONFIGURATION).encode()
        self.step(
            'keyed.op',
            reader.configuration,
            reader,
            frame(b'config', good),
            frame(b'config', self.mutator.content(good)),
        )
        assert reader.configuration.current is not None, 'the older version is not in force'
        assert reader.configuration.current.version >= 3
        reader.configuration.current.find_queue('h', '/urgent/x')

    def cell_records(self):
        reader = Reader()
        records = {key.encode(): encode(fact) for key, fact in GOOD_CELL.items()}
        bad_key = self.draw.choice(list(records))
        bad = frame(bad_key, self.mutator.content(records[bad_key]))
        good = [frame(key, content) for key, content in records.items()]
        first = self.draw.random() < 0.5
        self.step(
            'keyed.cell',
            reader.jobs,
            reader,
            *([] if first else good),
            bad,
            *([frame(key, records[key]) for key in records if key != bad_key] if first else []),
            frame(b'j/00000000000000aa', encode(SUBMISSION_PREFIX)),
        )
        book = reader.jobs.book
        assert book.find('00000000000000aa') is not None, 'a neighbour is not known'
        assert book.find(JOB) is not None, 'the job is not known'
        cell = Cell(9, 3.0)
        for job in (JOB, '00000000000000aa'):
            booked = book.find(job)
            if booked.submission is not None and not getattr(booked, 'unreadable', False):
                cell.update_job(booked, START, START)
        for run in cell.job_by_id.values():
            run.ready_steps(START)
            run.progress(9, START)
        assert book.owner is None or 0 <= book.owner.epoch < 2**53, 'the owner has a wild epoch'
        for member in book.member_by_host.values():
            assert 0 < member.port < 65536, 'a member has a wild port'

    def frames(self):
        reader = Reader()
        bad = self.draw.choice(list(BAD_FRAMES.values()))
        self.step(
            'keyed.servers',
            reader.runners,
            reader,
            frame(b'i-1', PLAIN),
            bad,
            frame(b'i-2', PLAIN.replace(b':7000', b':7001')),
        )
        assert {'i-1', 'i-2'} == reader.runners.registration_by_id.keys()

    def pages(self):
        """One item of a page, or the page itself, is mutated."""
        reader = Reader()
        topic, raw = raw_topic()
        good = page([('i-1', PLAIN), ('i-2', PLAIN.replace(b':7000', b':7001'))])
        document = json.loads(good)
        if self.draw.random() < 0.6:
            item = dict(document['items'][0], key='i-3')
            item[self.draw.choice(list(item))] = self.draw.choice(VALUES)
            document['items'].insert(self.draw.randrange(3), item)
            raw.pages = [json.dumps(document).encode()]
            follow(topic, reader.runners, reader, None)
            assert {'i-1', 'i-2'} <= reader.runners.registration_by_id.keys(), 'a neighbour'
            return
        raw.pages = [self.mutator.content(good), good, good]
        try:
            follow(topic, reader.runners, reader, None)
        except StoreError:
            follow(topic, reader.runners, reader, None)

    def raw_reads(self):
        """A whole answer is cut or altered: what was whole in it counts, the rest is read again."""
        reader = Reader()
        topic, raw = raw_topic()
        raw.frames = [frame(f'i-{number}'.encode(), PLAIN) for number in range(4)]
        if self.draw.random() < 0.5:
            raw.cut = self.draw.randrange(len(b''.join(raw.frames)) + 16)
        else:
            joined = self.mutator.flip(b''.join(raw.frames))
            raw.frames = [joined, b'', b'', b'']
        try:
            follower = follow(topic, reader.runners, reader, 0)
        except StoreError:
            return
        if raw.cut:
            assert follower.offset == len(reader.runners.registration_by_id), 'a part was taken'
            assert follower.offset < 4, 'a record that was cut is not read again'

    def views(self):
        """What a runner lists: whatever is not read must not count as gone or acknowledged."""
        bad = self.mutator.content(encode(GOOD_VIEW))
        try:
            view = decode_view(bad)
        except RunnerError:
            return
        assert view.clock >= 0
        for ended in view.ended:
            assert 0 < ended.number < 2**53, 'a wild number hides the ends behind it'


def check_registration(registration):
    """Check that nothing was taken at its word that no runner can be."""
    if not getattr(registration, 'usable', True):
        return
    assert 0 < registration.port < 65536, f'port {registration.port}'
    assert 0 < len(registration.address) < 254, 'the address is too long'
    assert registration.address.isascii() and '\x00' not in registration.address, 'the address'
    assert registration.service, 'no service'
    room = registration.capacity
    for amount in (room.cpu, room.memory_mb, room.gpu):
        assert 0 <= amount < 2**40, 'a wild capacity'
    remaining = registration.remaining
    assert remaining is None or 0 <= remaining < 1e9, 'wild time left'
