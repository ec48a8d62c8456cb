"""Invalid records by name, and a store that answers with prepared bytes."""

import base64
import io
import json
import struct
from collections import Counter

import msgspec

from dandelionreel.cell.model import (
    AdvicePolicy,
    Demand,
    JobSpec,
    JobState,
    Step,
    Submission,
    UnreadableLog,
)
from dandelionreel.cell.model._records import (
    Cancellation,
    DoneTasks,
    FailedRun,
    Member,
    Owner,
    Progress,
    RunnersInUse,
)
from dandelionreel.cell.store._projections import CellProjection, ConfigurationProjection
from dandelionreel.cell.store._runner_projection import RunnerProjection
from dandelionreel.http import Response
from dandelionreel.kernel import Journal, ManualClock, Part
from dandelionreel.platform import Address, JsonRecordCodec, StoreTopic

LENGTH = struct.Struct('>I')
DEEP_JSON = b'[' * 5000 + b']' * 5000
START = 1000.0
JOB = '0123456789abcdef'

VALID_ENTRY = {
    'service': 'desk',
    'address': '10.0.0.1:7000',
    'zone': 'north',
    'version': '1.2',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'sequence': 5,
    'capacity': {'cpu': 32000, 'mem_mb': 65536, 'gpu': 0},
    'labels': ['a', 'r-1'],
}
ADVICE = AdvicePolicy(0.005, 0.0001, 2.0)
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'urgent',
            'host': 'h',
            'path_prefix': '/urgent/',
            'service': 'desk',
            'timeout_ms': 3000,
            'target_latency_ms': 250,
            'priority': 0,
            'max_attempts': 2,
            'slack_factor': 1.5,
            'advice': {'decision_ms': 5, 'period_ms': 0.1, 'valid_ms': 2000},
        }
    ],
    'services': [{'name': 'desk', 'enforces_capacity': False}],
    'limits': {'max_body_bytes': 9999},
}
SUBMISSION = Submission(
    'urgent',
    'desk',
    990.0,
    JobSpec('payload', (Step(2, Demand(2000, 100, 0), 0.5), Step(1, Demand(), 1.0, (0,)))),
)
PROGRESS = Progress(
    4, JobState.RUNNING, (DoneTasks(0, 0, '1'),), (FailedRun(0, 0, 1, 4001),), runners=('i-1',)
)
OWNER = Owner(4, 'entry-1', 'entry-1/0a', 7)
RUNNERS_IN_USE = RunnersInUse(4, ('i-1', 'i-2'))
MEMBER = Member('north', '10.0.1.1', 7810, 'entry-1/0a', 1.0)

VALID_CELL_RECORDS = {
    f'j/{JOB}': SUBMISSION,
    f'e/{JOB}': PROGRESS,
    f'c/{JOB}': Cancellation(995.0),
    'owner': OWNER,
    'runners': RUNNERS_IN_USE,
    'm/entry-1': MEMBER,
}


def make_entry(**fields):
    """Return a runner's entry as bytes, with fields replaced, or left out for ``None``."""
    changed = {**VALID_ENTRY, **fields}
    kept = {name: value for name, value in changed.items() if value is not None}
    return json.dumps(kept).encode()


def make_entry_with_capacity(**fields):
    return make_entry(capacity={**VALID_ENTRY['capacity'], **fields})


BAD_ENTRIES = {
    'without a service': make_entry(service=None),
    'without an address': make_entry(address=None),
    'without a zone': make_entry(zone=None),
    'without a state': make_entry(state=None),
    'without a capacity': make_entry(capacity=None),
    'a service that is a number': make_entry(service=7),
    'a state that is a list': make_entry(state=['ready']),
    'labels that are not a list': make_entry(labels='a'),
    'a capacity that is text': make_entry(capacity='32000'),
    'an empty service': make_entry(service=''),
    'a service that is not configured': make_entry(service='elsewhere'),
    'an unknown state': make_entry(state='resting'),
    'a capacity below zero': make_entry_with_capacity(cpu=-1),
    'memory below zero': make_entry_with_capacity(mem_mb=-1),
    'a capacity of 400 digits': make_entry_with_capacity(cpu=int('9' * 400)),
    'a capacity with a fraction': make_entry_with_capacity(cpu=1.5),
    'port 0': make_entry(address='10.0.0.1:0'),
    'port 99999': make_entry(address='10.0.0.1:99999'),
    'a port of non-ASCII digits': make_entry(address='10.0.0.1:\u0667\u0668'),
    'a port of superscript digits': make_entry(address='10.0.0.1:\u00b2'),
    'an address without a port': make_entry(address='10.0.0.1'),
    'an address of 300 characters': make_entry(address='a' * 300 + ':7000'),
    'an address that is a name': make_entry(address='runner.example:7000'),
    'an address of three numbers': make_entry(address='10.0.1:7000'),
    'an IPv6 address': make_entry(address='[::1]:7000'),
    'an address with a zero byte': make_entry(address='10.0.0\x00.1:7000'),
    'a negative remaining time': make_entry(state='draining', remaining_ms=-5),
    'a null document': b'null',
    'a list': b'[]',
    'a number': b'7',
    'invalid JSON': b'ready',
    'truncated': make_entry()[:-9],
    'two JSON values': make_entry() + make_entry(),
    'nested deeply': DEEP_JSON,
    'nested deeply in a field': make_entry(labels=None)[:-1] + b',"more":' + DEEP_JSON + b'}',
    'bytes that are not UTF-8': b'\xff\xfe\x00\x01',
    'UTF-16 text': make_entry().decode().encode('utf-16'),
    'a field that is not UTF-8': make_entry(zone='north').replace(b'north', b'n\xffrth'),
    'an unpaired surrogate': make_entry().replace(b'north', b'\\ud800'),
}


def encode_record(key, content):
    """Return a record in the encoding of the store; the key is bytes."""
    raw = bytes([len(key)]) + key + content
    return LENGTH.pack(len(raw)) + raw


#: Records without a valid key, each with its length prefix.
BAD_FRAMES = {
    'an empty record': LENGTH.pack(0),
    'a record of one byte': LENGTH.pack(1) + b'\x00',
    'an empty key': encode_record(b'', make_entry()),
    'a key that is not UTF-8': encode_record(b'\xff\xfe', make_entry()),
    'a key longer than its record': LENGTH.pack(4) + b'\x09abc',
}


class RawStore:
    """The connection of a topic to a store that answers with prepared bytes."""

    def __init__(self):
        self.frames = []
        self.pages = []
        #: Bytes that are cut off the end of a read's answer.
        self.cut = 0

    async def exchange(self, request, timeout, stall_timeout=None):
        """Answer the request for a page of newest records, or a read."""
        if request.path == '/v1/log-newest':
            return Response(200, (), self.pages.pop(0))
        offset = int(request.query_by_name['from'])
        body = struct.pack('>QQ', len(self.frames), 0) + b''.join(self.frames[offset:])
        return Response(200, (), body[: len(body) - self.cut])

    async def close(self):
        """Nothing is open."""


def encode_page(rows, end=0, has_more=False):
    """Return a page of newest records; a row is a key and its content, or already JSON."""
    items = []
    for row in rows:
        if isinstance(row, tuple):
            key, content = row
            row = {'key': key, 'value': base64.b64encode(content).decode(), 'offset': 0}
        items.append(row)
    return json.dumps({'items': items, 'has_more': has_more, 'end': end}).encode()


def make_raw_topic(name='keyed.servers'):
    """Return a topic, and the raw store that answers it."""
    topic = StoreTopic(name, Address('127.0.0.1', 1))
    topic._read_channel = RawStore()
    return topic, topic._read_channel


class ListJournal(Journal):
    """A journal that appends its lines to a list."""

    def __init__(self, lines):
        super().__init__(io.StringIO(), 'test')
        self._lines = lines

    def log(self, part, sentence, **fields):
        """Append one line."""
        self._lines.append({'part': part.value, 'text': sentence, **fields})


class HostProjections:
    """The three projections of one host, with a manual clock and a captured log."""

    def __init__(self):
        self.clock = ManualClock(START)
        #: The logged lines: the fields and the text of each.
        self.lines = []
        #: Unreadable records by topic and reason.
        self.unreadable = Counter()
        journal = ListJournal(self.lines)
        codec = JsonRecordCodec()
        self.configuration = ConfigurationProjection(
            codec, journal, self.make_unreadable_log('operator', Part.CONTRACTS, journal)
        )
        self.runners = RunnerProjection(
            codec,
            self.clock,
            journal,
            self.configuration.has_service,
            self.make_unreadable_log('runners', Part.WORKERS, journal),
        )
        self.cell = CellProjection(
            self.clock, journal, self.make_unreadable_log('cell', Part.LOG, journal)
        )

    def make_unreadable_log(self, topic, part, journal):
        return UnreadableLog(topic, part, self.clock, journal, self.count_unreadable)

    def count_unreadable(self, topic, reason):
        """Count an unreadable record, as the metrics do."""
        self.unreadable[topic, reason] += 1

    def lines_of(self, runner):
        """Return the lines with a field that is the runner's id."""
        return [line for line in self.lines if runner in line.values()]


def encode(record_content):
    return msgspec.json.encode(record_content)
