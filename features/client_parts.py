"""Objects that serve a client's call, for scenarios without processes."""

from dandelionreel.accounts import Caller
from dandelionreel.cell.clients._access import AccessControl
from dandelionreel.cell.clients._client_api import ClientApi
from dandelionreel.cell.clients._client_call import ClientCall
from dandelionreel.cell.clients._client_writes import ClientWrites
from dandelionreel.cell.clients._queue_lookup import QueueLookup
from dandelionreel.cell.clients._readiness import LoadBalancerRotation
from dandelionreel.http import Request
from dandelionreel.kernel import SystemClock
from dandelionreel.platform import JsonClientCodec
from features.store_parts import journal

#: Seconds for which a host that knows of a newer configuration uses an older one.
MAX_SECONDS_BEHIND = 1.0


def make_call(method, target, caller=None, relayed=False):
    """Return a call that has just arrived."""
    return ClientCall(Request(method, target), caller or Caller(), 'north', 0.0, relayed)


class ConnectedDetector:
    """A partition detector of a host that is not cut off."""

    is_cut_off = False

    async def check_other_zones(self):
        return False


class ConfirmingExchange:
    """A configuration exchange with peers that have no newer configuration."""

    async def confirm_newest(self):
        return True

    def configuration_age(self):
        return 0.0

    def seconds_behind(self):
        return 0.0

    def record_peer_version(self, version):
        """Ignore a peer's version."""


def make_client_api(
    configuration,
    jobs,
    follower,
    writer,
    relay,
    get_dispatcher=lambda: None,
    exchange=None,
    partition_detector=None,
    rotation=None,
    clock=None,
    max_age=None,
):
    """Return the client API of a host in the zone north."""
    clock = clock or SystemClock()
    codec = JsonClientCodec()
    exchange = exchange or ConfirmingExchange()
    partition_detector = partition_detector or ConnectedDetector()
    rotation = rotation or LoadBalancerRotation()
    return ClientApi(
        'north',
        codec,
        configuration,
        QueueLookup(
            configuration, exchange, MAX_SECONDS_BEHIND, lambda: partition_detector.is_cut_off
        ),
        AccessControl(configuration, exchange, max_age),
        jobs,
        follower,
        ClientWrites(
            codec, follower, writer, relay, get_dispatcher, partition_detector, rotation, clock
        ),
        relay,
        get_dispatcher,
        partition_detector,
        clock,
        journal(),
        lambda method, status, seconds: None,
        lambda account: None,
    )
