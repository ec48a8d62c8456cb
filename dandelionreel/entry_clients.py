"""Assembles the parts of an entry host that serve clients."""

from collections.abc import Callable
from typing import Any

from dandelionreel.cell.clients import (
    AccessControl,
    ClientApi,
    ClientWrites,
    LoadBalancerRotation,
    QueueLookup,
    Relay,
)
from dandelionreel.cell.membership import ConfigurationExchange, PartitionDetector
from dandelionreel.cell.owner import Dispatcher
from dandelionreel.cell.store import GroupWriter
from dandelionreel.entry_accounts import make_accounts_view
from dandelionreel.entry_metrics import EntryMetrics
from dandelionreel.entry_reads import EntryReads
from dandelionreel.kernel import Clock, Journal
from dandelionreel.platform import HostSettings, JsonClientCodec


def make_client_api(
    settings: HostSettings,
    reads: EntryReads,
    writer: GroupWriter,
    relay: Relay,
    exchange: ConfigurationExchange,
    get_dispatcher: Callable[[], Dispatcher | None],
    partition_detector: PartitionDetector,
    rotation: LoadBalancerRotation,
    clock: Clock,
    journal: Journal,
    metrics: EntryMetrics,
) -> ClientApi:
    """Return the handler of client requests, which counts its answers in ``metrics``."""
    metrics.set_accounts_view(lambda: _make_accounts_view(reads, get_dispatcher(), metrics))
    codec = JsonClientCodec()
    follower = reads.cell_follower
    writes = ClientWrites(
        codec, follower, writer, relay, get_dispatcher, partition_detector, rotation, clock
    )
    return ClientApi(
        settings.zone,
        codec,
        reads.configuration,
        QueueLookup(
            reads.configuration,
            exchange,
            # A host hears of a version in the first half of the deadline.
            settings.configuration_deadline / 2,
            lambda: partition_detector.is_cut_off,
        ),
        AccessControl(reads.configuration, exchange, settings.max_key_age),
        reads.cell,
        follower,
        writes,
        relay,
        get_dispatcher,
        partition_detector,
        clock,
        journal,
        metrics.count_answer,
        metrics.refusals.add,
    )


def _make_accounts_view(
    reads: EntryReads,
    dispatcher: Dispatcher | None,
    metrics: EntryMetrics,
) -> dict[str, Any]:
    return make_accounts_view(
        dispatcher.cell if dispatcher else None,
        reads.configuration.current,
        reads.cell.state,
        metrics.refusals,
    )
