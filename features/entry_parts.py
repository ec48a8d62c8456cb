"""Records of other writers: bad ones by name, and a store that answers with raw bytes."""

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
from dandelionreel.cell.store._directory import ConfigurationFolder, JobFolder
from dandelionreel.cell.store._runner_list import RunnersFolder
from dandelionreel.http import Answer
from dandelionreel.kernel import Journal, ManualClock, Part
from dandelionreel.platform import Address, JsonRecordCodec, StoreTopic

LENGTH = struct.Struct('>I')
DEEP = b'[' * 5000 + b']' * 5000
START = 1000.0
JOB = '0123456789abcdef'

ENTRY = {
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
SUBMISSION_PREFIX = Submission(
    'urgent',
    'desk',
    990.0,
    JobSpec('payload', (Step(2, Demand(2000, 100, 0), 0.5), Step(1, Demand(), 1.0, (0,)))),
)
PROGRESS_PREFIX = Progress(
    4, JobState.RUNNING, (DoneTasks(0, 0, '1'),), (FailedRun(0, 0, 1, 4001),), runners=('i-1',)
)
OWNER = Owner(4, 'entry-1', 'entry-1/0a', 7)
ATTENDED = RunnersInUse(4, ('i-1', 'i-2'))
MEMBER_PREFIX = Member('north', '10.0.1.1', 7810, 'entry-1/0a', 1.0)

GOOD_CELL = {
    f'j/{JOB}': SUBMISSION_PREFIX,
    f'e/{JOB}': PROGRESS_PREFIX,
    f'c/{JOB}': Cancellation(995.0),
    'owner': OWNER,
    'runners': ATTENDED,
    'm/entry-1': MEMBER_PREFIX,
}


def entry(**fields):
    """Return a runner's entry as bytes, with some fields changed; ``None`` leaves one out."""
    changed = {**ENTRY, **fields}
    kept = {name: value for name, value in changed.items() if value is not None}
    return json.dumps(kept).encode()


def capacity(**fields):
    return entry(capacity={**ENTRY['capacity'], **fields})


BAD_ENTRIES = {
    'without a service': entry(service=None),
    'without an address': entry(address=None),
    'without a zone': entry(zone=None),
    'without a state': entry(state=None),
    'without a capacity': entry(capacity=None),
    'a service that is a number': entry(service=7),
    'a state that is a list': entry(state=['ready']),
    'labels that are no list': entry(labels='a'),
    'a capacity that is text': entry(capacity='32000'),
    'an empty service': entry(service=''),
    'a service that is not named': entry(service='elsewhere'),
    'a state that is not named': entry(state='resting'),
    'a capacity below zero': capacity(cpu=-1),
    'memory below zero': capacity(mem_mb=-1),
    'a capacity of 400 digits': capacity(cpu=int('9' * 400)),
    'a capacity with a fraction': capacity(cpu=1.5),
    'port 0': entry(address='10.0.0.1:0'),
    'port 99999': entry(address='10.0.0.1:99999'),
    'a port of other digits': entry(address='10.0.0.1:\u0667\u0668'),
    'a port of superscripts': entry(address='10.0.0.1:\u00b2'),
    'an address without a port': entry(address='10.0.0.1'),
    'an address of 300 characters': entry(address='a' * 300 + ':7000'),
    'an address with a zero byte': entry(address='10.0.0\x00.1:7000'),
    'time left below zero': entry(state='draining', remaining_ms=-5),
    'nothing but null': b'null',
    'a list': b'[]',
    'a number': b'7',
    'no JSON': b'ready',
    'cut short': entry()[:-9],
    'two values': entry() + entry(),
    'nested deeply': DEEP,
    'nested deeply in a field': entry(labels=None)[:-1] + b',"more":' + DEEP + b'}',
    'bytes that are no text': b'\xff\xfe\x00\x01',
    'text of another encoding': entry().decode().encode('utf-16'),
    'a field that is no text': entry(zone='north').replace(b'north', b'n\xffrth'),
    'half a surrogate pair': entry().replace(b'north', b'\\ud800'),
}


def frame(key, content):
    """Return a record as the store gives it; the key is bytes."""
    raw = bytes([len(key)]) + key + content
    return LENGTH.pack(len(raw)) + raw


#: Records that name no key, each with its length.
BAD_FRAMES = {
    'a record of no bytes': LENGTH.pack(0),
    'a record of one byte': LENGTH.pack(1) + b'\x00',
    'a key of no bytes': frame(b'', entry()),
    'a key that is no text': frame(b'\xff\xfe', entry()),
    'a key longer than its record': LENGTH.pack(4) + b'\x09abc',
}


class RawStore:
    """The connection of a topic to a store that answers with prepared bytes."""

    def __init__(self):
        self.frames = []
        self.pages = []
        #: Bytes that a read's answer ends with, or is cut by.
        self.cut = 0

    async def exchange(self, request, timeout):
        """Answer a page of newest records, or a read."""
        if request.path == '/v1/log-newest':
            return Answer(200, (), self.pages.pop(0))
        offset = int(request.query_by_name['from'])
        body = struct.pack('>QQ', len(self.frames), 0) + b''.join(self.frames[offset:])
        return Answer(200, (), body[: len(body) - self.cut])

    async def close(self):
        """Nothing is open."""


def page(rows, end=0, has_more=False):
    """Return a page of newest records; a row is a key and its content, or already JSON."""
    items = []
    for row in rows:
        if isinstance(row, tuple):
            key, content = row
            row = {'key': key, 'value': base64.b64encode(content).decode(), 'offset': 0}
        items.append(row)
    return json.dumps({'items': items, 'has_more': has_more, 'end': end}).encode()


def raw_topic(name='keyed.servers'):
    """Return a topic, and the raw store that answers it."""
    topic = StoreTopic(name, Address('127.0.0.1', 1))
    topic._reads = RawStore()
    return topic, topic._reads


class ListJournal(Journal):
    """Keeps lines in a list."""

    def __init__(self, lines):
        super().__init__(io.StringIO(), 'test')
        self._lines = lines

    def tell(self, part, sentence, **fields):
        """Keep one line."""
        self._lines.append({'part': part.value, 'text': sentence, **fields})


class Reader:
    """What one host knows: all three folders, with a clock and a log that can be read."""

    def __init__(self):
        self.clock = ManualClock(START)
        #: What the journal was told: fields and text of each line.
        self.lines = []
        #: Unreadable records by topic and reason.
        self.unreadable = Counter()
        journal = ListJournal(self.lines)
        codec = JsonRecordCodec()
        self.configuration = ConfigurationFolder(
            codec, journal, self.watch('operator', Part.CONTRACTS, journal)
        )
        self.runners = RunnersFolder(
            codec,
            self.clock,
            journal,
            self.configuration.names_service,
            self.watch('runners', Part.WORKERS, journal),
        )
        self.jobs = JobFolder(self.clock, journal, self.watch('cell', Part.LOG, journal))

    def watch(self, topic, part, journal):
        return UnreadableLog(topic, part, self.clock, journal, self.note)

    def note(self, topic, reason):
        """Count as the metrics do."""
        self.unreadable[topic, reason] += 1

    def lines_of(self, runner):
        """Return the lines that name a runner."""
        return [line for line in self.lines if runner in line.values()]


def encode(fact):
    return msgspec.json.encode(fact)
