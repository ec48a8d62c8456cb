"""Seeded fuzzing of the code that reads records which other writers may have written.

Each case is a batch of valid records and one that was mutated from a valid one. Only the mutated
record may be lost: no error reaches the follower, the offset advances, and the records before
and after it are known.
"""

import json
import random
import signal
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, field
from ipaddress import IPv4Address

import curio
import msgspec

from dandelionreel.backing import HostEntry, HttpHostList
from dandelionreel.cell.decisions import Cell
from dandelionreel.cell.model import RunnerError, StoreError
from dandelionreel.cell.store._follower import Follower
from dandelionreel.kernel import Endpoint
from dandelionreel.platform._views import decode_view
from features.cell_parts import SmallCell
from features.entry_parts import (
    BAD_FRAMES,
    CONFIGURATION,
    DEEP_JSON,
    JOB,
    START,
    SUBMISSION,
    VALID_CELL_RECORDS,
    VALID_ENTRY,
    HostProjections,
    encode,
    encode_page,
    encode_record,
    make_raw_topic,
)

WRONG_VALUES = (
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
    'runner.example:7000',
    '127.1:7000',
    '[::1]:7000',
    '\ud800',
    '\x00',
    'ready',
    [],
    [[]],
    {},
    {'a': {}},
)
#: Keys of a mutated entry: of a known runner, of an unknown one, and such that no runner has.
MUTATED_KEYS = (b'i-1', b'i-3', b'i-3', 'i\xfc'.encode(), b'i 3', b'i\n3', b'i\x00')
VALID_ENTRY_BYTES = json.dumps(VALID_ENTRY).encode()
GOOD_VIEW = {
    'clock_ms': 482113,
    'running': [[f'{JOB}.0.0.0', 4001, 'ab', 41, 2000], [f'{JOB}.0.0.1', 4002, '', 0]],
    'finished': [[58, f'{JOB}.0.0.9', 1, 'done', ''], [59, f'{JOB}.0.0.8', 2, 'failed', '']],
}


#: Maximum processor time of one case.
CASE_SECONDS = 1.0


class CaseTimeoutError(Exception):
    """The processing of one record takes too long."""


@contextmanager
def limit_cpu_time():
    """Raise ``CaseTimeoutError`` in a case that takes longer than a host may be blocked."""

    def raise_timeout(number, frame):
        raise CaseTimeoutError(f'it takes over {CASE_SECONDS} s')

    previous_handler = signal.signal(signal.SIGVTALRM, raise_timeout)
    signal.setitimer(signal.ITIMER_VIRTUAL, CASE_SECONDS)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, previous_handler)


@dataclass
class FuzzResults:
    """The number of cases that were run, and the failures by what was mutated."""

    run_count: int = 0
    failures: list[str] = field(default_factory=list)
    failure_count_by_kind: Counter = field(default_factory=Counter)

    def add_failure(self, kind, cause):
        self.failure_count_by_kind[kind] += 1
        self.failures.append(f'{kind}: {cause}')


class Mutator:
    """Draws random mutations of a record's content."""

    def __init__(self, draw):
        self.draw = draw

    def content(self, good):
        """Return the mutated content of a record."""
        possible_mutations = (
            self.cut,
            self.flip,
            self.insert,
            self.field,
            self.field,
            self.field,
            self.encode,
        )
        return self.draw.choice(possible_mutations)(good)

    def cut(self, good):
        # Empty content would be a valid removal of the key.
        return good[: self.draw.randrange(1, len(good))]

    def flip(self, good):
        changed = bytearray(good)
        for _ in range(self.draw.randint(1, 4)):
            changed[self.draw.randrange(len(changed))] = self.draw.randrange(256)
        return bytes(changed)

    def insert(self, good):
        at = self.draw.randrange(len(good))
        inserted = self.draw.choice(
            (b'\x00', b'\xff', b'"', b'[[[', DEEP_JSON, b'9' * 5000, b'NaN', b',')
        )
        return good[:at] + inserted + good[at:]

    def encode(self, good):
        return good.decode().encode(self.draw.choice(('utf-16', 'utf-32', 'cp500')))

    def field(self, good):
        """Replace one value, at any depth, by one of another type or size."""
        document = json.loads(good)
        containers = [document]
        for container in containers:
            inner = container.values() if isinstance(container, dict) else container
            containers.extend(value for value in inner if isinstance(value, dict | list))
        container = self.draw.choice(
            [container for container in containers if container] or [document]
        )
        if not container:
            return b'[]'
        position = self.draw.choice(
            list(container) if isinstance(container, dict) else range(len(container))
        )
        if self.draw.random() < 0.15:
            del container[position]
        elif self.draw.random() < 0.1:
            container[position] = '@deep@'
        else:
            container[position] = self.draw.choice(WRONG_VALUES)
        return json.dumps(document).encode().replace(b'"@deep@"', DEEP_JSON)


def read_once(topic, projection, projections, offset):
    """Read once, from ``offset`` or a snapshot for ``None``, and return the follower."""
    follower = Follower('raw', topic, projection, projections.clock, None, 0.0, lambda: 0.0)
    follower._offset = offset

    curio.run(follower._read_snapshot_or_batch)
    return follower


class Fuzz:
    """Runs cases one after the other, all drawn by ``seed``."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.mutator = Mutator(self.draw)
        self.results = FuzzResults()

    def run_cases(self, cases):
        """Run that many cases and return the results."""
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
            self.host_lists,
        )
        for number in range(cases):
            kind = kinds[number % len(kinds)]
            self.results.run_count += 1
            try:
                with limit_cpu_time():
                    kind()
            except Exception as error:
                self.results.add_failure(kind.__name__, f'{type(error).__name__} {error}'[:120])
        return self.results

    def read_records(self, topic, projection, projections, *records):
        """Let a follower read these records and check that it has read all of them."""
        topic, raw = make_raw_topic(topic)
        raw.frames = list(records)
        follower = read_once(topic, projection, projections, 0)
        assert follower.offset == len(records), f'offset {follower.offset}'

    def runners(self):
        projections = HostProjections()
        mutated = self.mutator.content(VALID_ENTRY_BYTES)
        if self.draw.random() < 0.1:
            mutated = VALID_ENTRY_BYTES
        mutated_key = self.draw.choice(MUTATED_KEYS)
        self.read_records(
            'keyed.servers',
            projections.runners,
            projections,
            encode_record(b'i-1', VALID_ENTRY_BYTES),
            encode_record(mutated_key, mutated),
            encode_record(b'i-2', VALID_ENTRY_BYTES.replace(b':7000', b':7001')),
        )
        known = projections.runners.registration_by_id
        assert {'i-1', 'i-2'} <= known.keys(), 'a valid record beside the mutated one is not known'
        for registration in known.values():
            check_registration(registration)
        small_cell = SmallCell(())
        small_cell.cell.update_runners(known, START)

    def configuration(self):
        projections = HostProjections()
        good = json.dumps(CONFIGURATION).encode()
        self.read_records(
            'keyed.op',
            projections.configuration,
            projections,
            encode_record(b'config', good),
            encode_record(b'config', self.mutator.content(good)),
        )
        assert projections.configuration.current is not None, 'the older version is not in force'
        assert projections.configuration.current.version >= 3
        projections.configuration.current.find_queue('h', '/urgent/x')

    def cell_records(self):
        projections = HostProjections()
        records = {
            key.encode(): encode(record_content)
            for key, record_content in VALID_CELL_RECORDS.items()
        }
        mutated_key = self.draw.choice(list(records))
        mutated = encode_record(mutated_key, self.mutator.content(records[mutated_key]))
        good = [encode_record(key, content) for key, content in records.items()]
        first = self.draw.random() < 0.5
        self.read_records(
            'keyed.cell',
            projections.cell,
            projections,
            *([] if first else good),
            mutated,
            *(
                [encode_record(key, records[key]) for key in records if key != mutated_key]
                if first
                else []
            ),
            encode_record(b'j/00000000000000aa', encode(SUBMISSION)),
        )
        cell_state = projections.cell.state
        assert cell_state.find_job('00000000000000aa') is not None, (
            'a valid record beside the mutated one is not known'
        )
        assert cell_state.find_job(JOB) is not None, 'the job is not known'
        cell = Cell(9, 3.0)
        for job in (JOB, '00000000000000aa'):
            stored_job = cell_state.find_job(job)
            if stored_job.submission is not None and not getattr(stored_job, 'unreadable', False):
                cell.update_job(stored_job, START, START)
        for run in cell.job_by_id.values():
            run.ready_steps(START)
            run.progress(9, START)
        assert cell_state.owner is None or 0 <= cell_state.owner.epoch < 2**53, (
            'the epoch of the owner is out of range'
        )
        for member in cell_state.member_by_host.values():
            assert 0 < member.port < 65536, 'the port of a member is out of range'

    def host_lists(self):
        """One entry of the host list, which is between two valid ones, is mutated."""
        hosts = HttpHostList(Endpoint('127.0.0.1', 1), 1.0)
        rows = [
            msgspec.json.encode(HostEntry(name, 'worker', 'z', '10.0.0.1', 7000, slots=1))
            for name in ('w1', 'w2', 'w3')
        ]
        rows[1] = self.mutator.field(rows[1])
        hosts._decode_hosts(b'{"hosts":[%b]}' % b','.join(rows))
        names = [host.name for host in hosts._last_hosts]
        assert {'w1', 'w3'} <= set(names), f'a valid entry was lost: {names}'
        for host in hosts._last_hosts:
            assert str(IPv4Address(host.address)) == host.address, 'the address'
            assert 0 <= host.port < 65536 and 0 <= host.slots < 2**31, 'the port or the slots'

    def frames(self):
        projections = HostProjections()
        mutated = self.draw.choice(list(BAD_FRAMES.values()))
        self.read_records(
            'keyed.servers',
            projections.runners,
            projections,
            encode_record(b'i-1', VALID_ENTRY_BYTES),
            mutated,
            encode_record(b'i-2', VALID_ENTRY_BYTES.replace(b':7000', b':7001')),
        )
        assert {'i-1', 'i-2'} == projections.runners.registration_by_id.keys()

    def pages(self):
        """One item of a page, or the page itself, is mutated."""
        projections = HostProjections()
        topic, raw = make_raw_topic()
        good = encode_page(
            [('i-1', VALID_ENTRY_BYTES), ('i-2', VALID_ENTRY_BYTES.replace(b':7000', b':7001'))]
        )
        document = json.loads(good)
        if self.draw.random() < 0.6:
            item = dict(document['items'][0], key='i-3')
            item[self.draw.choice(list(item))] = self.draw.choice(WRONG_VALUES)
            document['items'].insert(self.draw.randrange(3), item)
            raw.pages = [json.dumps(document).encode()]
            read_once(topic, projections.runners, projections, None)
            assert {'i-1', 'i-2'} <= projections.runners.registration_by_id.keys(), (
                'a valid item was lost'
            )
            return
        raw.pages = [self.mutator.content(good), good, good]
        try:
            read_once(topic, projections.runners, projections, None)
        except StoreError:
            read_once(topic, projections.runners, projections, None)

    def raw_reads(self):
        """A whole answer is cut or altered: only its complete records are read, the rest later."""
        projections = HostProjections()
        topic, raw = make_raw_topic()
        raw.frames = [
            encode_record(f'i-{number}'.encode(), VALID_ENTRY_BYTES) for number in range(4)
        ]
        if self.draw.random() < 0.5:
            raw.cut = self.draw.randrange(len(b''.join(raw.frames)) + 16)
        else:
            joined = self.mutator.flip(b''.join(raw.frames))
            raw.frames = [joined, b'', b'', b'']
        try:
            follower = read_once(topic, projections.runners, projections, 0)
        except StoreError:
            return
        if raw.cut:
            assert follower.offset == len(projections.runners.registration_by_id), (
                'an incomplete record was read'
            )
            assert follower.offset < 4, 'a record that was cut is not read again'

    def views(self):
        """A runner's list: what cannot be read must not count as gone or acknowledged."""
        mutated = self.mutator.content(encode(GOOD_VIEW))
        try:
            view = decode_view(mutated)
        except RunnerError:
            return
        assert view.clock >= 0
        for ended in view.ended:
            assert 0 < ended.number < 2**53, (
                'the number of an end is out of range and hides later ends'
            )


def check_registration(registration):
    """Check that no impossible values of a runner were accepted."""
    if not getattr(registration, 'usable', True):
        return
    assert 0 < registration.port < 65536, f'port {registration.port}'
    assert str(IPv4Address(registration.address)) == registration.address, 'the address'
    assert registration.runner.isascii() and registration.runner.isprintable(), 'the id'
    assert ' ' not in registration.runner, 'the id has a space'
    assert registration.service, 'no service'
    capacity = registration.capacity
    for amount in (capacity.cpu, capacity.memory_mb, capacity.gpu):
        assert 0 <= amount < 2**40, 'the capacity is out of range'
    remaining = registration.remaining
    assert remaining is None or 0 <= remaining < 1e9, 'the remaining time is out of range'
