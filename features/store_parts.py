"""A host that reads a topic and may claim the cell, and owners, without processes."""

import io

import curio

from dandelionreel.cell.membership._election import Election, Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.owner._dependencies import DispatcherDependencies
from dandelionreel.cell.owner._dispatcher import Dispatcher
from dandelionreel.cell.owner._owner_context import OwnerContext, zero_runner_list_age
from dandelionreel.cell.store._follower import Follower
from dandelionreel.cell.store._projections import CellProjection, ConfigurationProjection
from dandelionreel.cell.store._runner_projection import RunnerProjection
from dandelionreel.kernel import Journal, SystemClock, Verdict
from dandelionreel.peers import Frame, PeerError
from features.cell_parts import make_registration
from standins import MemoryTopic

#: Seconds that no step of these scenarios takes on any machine.
LONG_TIMEOUT = 30
#: Factor by which a lease may last longer than granted, as the runner's clock may be 2% slow.
DRIFT = 1.02


async def until(done):
    """Wait until ``done()`` is true."""
    while not done():
        await curio.sleep(0.01)


def journal():
    return Journal(io.StringIO(), 'test')


class Host:
    """A host that reads a topic and may claim the cell."""

    def __init__(self, name, topic, clock=None):
        self.clock = clock or SystemClock()
        self.projection = CellProjection(self.clock, journal())
        self.follower = Follower(
            'cell', topic, self.projection, self.clock, journal(), 0.02, lambda: 0.0
        )
        #: The owner's reply when a peer queries whether it acts; ``None`` for no reply.
        self.owner_reply = None
        self.election = Election(
            topic, self.follower, self.projection, f'{name}/1', self.request, self.clock, journal()
        )

    async def request(self, member, message, timeout):
        """Answer in place of a peer."""
        if self.owner_reply is None:
            raise PeerError('no answer', Verdict.UNKNOWN)
        return Frame(1, 'peer', 0.0, 0.0, self.owner_reply)

    async def own(self):
        """Read the topic, and return the term once the cell is owned."""
        await curio.spawn(self.follower.run, daemon=True)
        return await self.claim(LONG_TIMEOUT)

    async def claim(self, seconds):
        """Return the term, ``None`` if the cell was not claimed in time."""
        return await curio.ignore_after(seconds, self.election.wait_for_term, lambda: True)


def make_owner_context(
    cell, clock, topic=None, make_runner=make_registration, get_runner_list_age=zero_runner_list_age
):
    """Return the context of an owner of epoch 1 that has no predecessor."""
    return OwnerContext(
        Term(1, 'me/1', WriterFence(1, 1), None, False, False),
        cell,
        topic or MemoryTopic(),
        make_runner,
        10.0,
        clock,
        journal(),
        get_runner_list_age,
    )


def make_dispatcher(
    host, term, topic, clock, make_runner=make_registration, runners=None, links=None, **settings
):
    """Return the dispatcher of a host in ``term``, by default without runners.

    ``settings`` are further fields of its dependencies.
    """
    dependencies = DispatcherDependencies(
        topic=topic,
        follower=host.follower,
        jobs=host.projection,
        runners=runners or RunnerProjection(None, clock, journal()),
        configuration=ConfigurationProjection(None, journal()),
        election=host.election,
        links=links,
        advisor=None,
        make_runner=make_runner,
        clock=clock,
        journal=journal(),
        host='me',
        gang_timeout=3.0,
        max_lease=10.0,
        status_retention=120,
        **settings,
    )
    return Dispatcher(dependencies, term)


class SilentPeerLinks:
    """Peer links on which no peer answers; ``request_count`` counts the requests."""

    def __init__(self):
        self.request_count = 0

    async def request(self, member, message, timeout):
        self.request_count += 1
        raise PeerError('no answer in time', Verdict.NOT_RUN)
