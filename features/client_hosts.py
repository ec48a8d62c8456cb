"""Hosts that answer clients and reach the store over links of their own, without processes."""

import curio
import msgspec

from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.model import Configuration, Service, StoreError
from dandelionreel.cell.store import ConfigurationProjection, GroupWriter
from dandelionreel.http import Request
from dandelionreel.kernel import SystemClock, Verdict
from features.cell_parts import QUEUES
from features.client_parts import make_client_api
from features.store_parts import LONG_TIMEOUT, Host, SilentPeerLinks, journal, make_dispatcher
from standins import MemoryTopic

JOB = '0123456789abcdef'
TARGET = f'/urgent/{JOB}'
HEADERS = (('host', 'h'), ('x-deadline-ms', '1500'))
BODY = msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1, 'cpu': 1000}]})


class HostTopic(MemoryTopic):
    """The topic as one host reaches it; its appends are refused while ``down`` is set."""

    def __init__(self, topic):
        super().__init__()
        self.topic = topic

    async def append(self, records, timeout, fence=None, expected_end=None):
        """Append to the shared topic."""
        if self.down and not self.faults:
            raise StoreError('refused', Verdict.NOT_RUN)
        self.topic.faults.extend(self.faults)
        self.faults.clear()
        return await self.topic.append(records, timeout, fence, expected_end)

    async def read(self, offset, wait, max_bytes):
        """Read the shared topic."""
        return await self.topic.read(offset, wait, max_bytes)

    async def snapshot(self):
        """Return the snapshot of the shared topic."""
        return await self.topic.snapshot()


class ClientHost:
    """A host with its client API, whose peers do not answer."""

    def __init__(self, name, topic):
        self.topic = HostTopic(topic)
        self.host = Host(name, self.topic)
        self.dispatcher = None
        self.writer = GroupWriter(self.topic, SystemClock(), journal())
        configuration = ConfigurationProjection(None, journal())
        configuration.current = Configuration(1, QUEUES, (Service('desk', False, False),), 9999)
        state = self.host.projection.state
        self.api = make_client_api(
            configuration,
            self.host.projection,
            self.host.follower,
            self.writer,
            Relay(name, state, SilentPeerLinks(), SystemClock(), journal()),
            get_dispatcher=lambda: self.dispatcher,
        )

    async def start(self):
        """Read the topic and append."""
        await curio.spawn(self.host.follower.run, daemon=True)
        await curio.spawn(self.writer.run, daemon=True)

    async def own(self):
        """Become the owner."""
        term = await self.host.claim(LONG_TIMEOUT)
        self.dispatcher = make_dispatcher(
            self.host, term, self.topic, SystemClock(), links=SilentPeerLinks()
        )
        await curio.spawn(self.dispatcher.run, daemon=True)

    async def request(self, method):
        """Send a client's request about the job."""
        body = BODY if method == 'POST' else b''
        return await self.api.handle(Request(method, TARGET, HEADERS, body))

    def stored_state(self):
        """Return the state of the job that clients are shown, ``None`` if it is unknown."""
        stored = self.host.projection.state.find_job(JOB)
        return None if stored is None else stored.state
