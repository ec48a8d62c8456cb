"""The server of an entry host for the messages of its peers."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from dandelionreel.cell.clients import ClientApi
from dandelionreel.cell.membership import (
    ConfigurationExchange,
    DocumentServer,
    Election,
    LocalAdvisor,
)
from dandelionreel.kernel import Clock, Journal
from dandelionreel.peers import (
    AdviceWanted,
    ConfigurationDocumentWanted,
    ConfigurationWanted,
    Forward,
    Frame,
    Message,
    OwnerAsked,
    OwnerFailing,
    PeerClocks,
    PeerServer,
    TrafficCounter,
)
from dandelionreel.platform import Address

OwnerQueryHandler = Callable[[Frame], Awaitable[Message]]


async def start_peer_server(
    stack: AsyncExitStack,
    address: Address,
    client_api: ClientApi,
    election: Election,
    advisor: LocalAdvisor,
    exchange: ConfigurationExchange,
    documents: DocumentServer,
    answer_owner_query: OwnerQueryHandler,
    clock: Clock,
    journal: Journal,
) -> PeerServer:
    """Answer peers at an address until the stack closes; return the server.

    ``answer_owner_query`` replies whether this host acts as the owner, or could.
    """
    peers = PeerServer(election.incarnation, clock, PeerClocks(), journal, TrafficCounter())
    handlers = (
        (Forward, client_api.handle_forwarded_request),
        (OwnerFailing, election.handle_successor_request),
        (OwnerAsked, answer_owner_query),
        (AdviceWanted, advisor.answer_advice_request),
        (ConfigurationWanted, exchange.answer_query),
        (ConfigurationDocumentWanted, documents.answer_request),
    )
    for kind, handler in handlers:
        peers.add_handler(kind, handler)
    await peers.start(stack, address.host, address.port)
    return peers
