"""Messages between daemons: length-framed Cap'n Proto over TCP."""

from dandelionreel.peers._codec import (
    PROTOCOL_VERSION,
    FrameError,
    decode_frame,
    encode_frame,
)
from dandelionreel.peers._directory import (
    NEVER_HEARD,
    PeerAddress,
    PeerDirectory,
    PeerState,
)
from dandelionreel.peers._framing import FRAME_BYTES, FrameStream, Traffic
from dandelionreel.peers._link import NEVER, EchoBook, PeerError, PeerLink
from dandelionreel.peers._messages import (
    ContractState,
    ContractsWanted,
    Done,
    Forward,
    ForwardAnswer,
    Frame,
    Gossip,
    Heartbeat,
    HeartbeatAnswer,
    Message,
    PlaceAnswer,
    PlaceOrder,
    Refused,
    ServiceRoom,
    TaskAction,
    TaskReport,
    WorkerReport,
    hash_member,
)
from dandelionreel.peers._server import PeerServer

__all__ = (
    'FRAME_BYTES',
    'NEVER',
    'NEVER_HEARD',
    'PROTOCOL_VERSION',
    'ContractState',
    'ContractsWanted',
    'Done',
    'EchoBook',
    'Forward',
    'ForwardAnswer',
    'Frame',
    'FrameError',
    'FrameStream',
    'Gossip',
    'Heartbeat',
    'HeartbeatAnswer',
    'Message',
    'PeerAddress',
    'PeerDirectory',
    'PeerError',
    'PeerLink',
    'PeerServer',
    'PeerState',
    'PlaceAnswer',
    'PlaceOrder',
    'Refused',
    'ServiceRoom',
    'TaskAction',
    'TaskReport',
    'Traffic',
    'WorkerReport',
    'decode_frame',
    'encode_frame',
    'hash_member',
)
