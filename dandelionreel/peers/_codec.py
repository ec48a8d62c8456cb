"""Encodes messages as Cap'n Proto frames and decodes them.

Only the serialization of pycapnp is used: its RPC needs an asyncio event loop.
"""

import pathlib
from collections.abc import Callable
from typing import Any

import capnp

from dandelionreel.accounts import Caller
from dandelionreel.backing import Resources
from dandelionreel.http import Headers, Request, Response
from dandelionreel.peers._cell_messages import (
    AdviceGiven,
    AdviceWanted,
    ConfigurationDocument,
    ConfigurationDocumentWanted,
    ConfigurationGiven,
    ConfigurationWanted,
    OwnerAsked,
    OwnerFailing,
)
from dandelionreel.peers._configuration_codec import (
    decode_configuration_given,
    decode_document,
    encode_configuration_given,
    encode_configuration_wanted,
    encode_document,
    encode_document_wanted,
)
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
    ServiceSlots,
    TaskAction,
    TaskReport,
    Unsupported,
    WorkerReport,
)

PROTOCOL_VERSION = 3
MILLISECONDS_PER_SECOND = 1000
#: Upper bound of the size of an unpacked frame, in words per packed byte. Packing compresses
#: runs of zeros.
MAX_UNPACKING_FACTOR = 64

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name('schema.capnp')))


class FrameError(ValueError):
    """The bytes are not a valid frame of this protocol version."""


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded frame, without its length prefix."""
    root = _schema.Frame.new_message(
        version=PROTOCOL_VERSION,
        exchange=frame.exchange,
        sender=frame.sender,
        clock=int(frame.clock * MILLISECONDS_PER_SECOND),
        echo=int(frame.echo * MILLISECONDS_PER_SECOND),
    )
    _ENCODERS[type(frame.message)](root, frame.message)
    return root.to_bytes_packed()


def decode_frame(payload: bytes) -> Frame:
    """Return the decoded frame; raises ``FrameError``."""
    try:
        return _decode_payload(payload)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise FrameError(f'invalid frame: {error}') from error


def _decode_payload(payload: bytes) -> Frame:
    limit = len(payload) * MAX_UNPACKING_FACTOR
    root = _schema.Frame.from_bytes_packed(payload, traversal_limit_in_words=limit)
    if root.version != PROTOCOL_VERSION:
        raise FrameError(
            f'protocol version {root.version}; this daemon supports {PROTOCOL_VERSION}'
        )
    message = _DECODERS[root.which()](root)
    return Frame(
        root.exchange,
        root.sender,
        root.clock / MILLISECONDS_PER_SECOND,
        root.echo / MILLISECONDS_PER_SECOND,
        message,
    )


def _encode_resources(amount: Resources) -> dict[str, float]:
    return {
        'processors': amount.processors,
        'memoryMb': amount.memory_mb,
        'accelerators': amount.accelerators,
    }


def _decode_resources(node: Any) -> Resources:
    return Resources(node.processors, node.memoryMb, node.accelerators)


def _encode_headers(headers: Headers) -> list[dict[str, str]]:
    return [{'name': name, 'content': text} for name, text in headers]


def _decode_headers(nodes: Any) -> Headers:
    return tuple((node.name, node.content) for node in nodes)


def _encode_gossip(gossip: Gossip) -> dict[str, Any]:
    return {
        'view': list(gossip.view),
        'heard': list(gossip.heard),
        'rooms': [
            {'service': entry.service, 'freeSlots': entry.free_slots}
            for entry in gossip.service_slots
        ],
        'leaving': list(gossip.leaving),
        'contracts': gossip.contracts,
        'draining': gossip.draining,
    }


def _decode_gossip(node: Any) -> Gossip:
    return Gossip(
        tuple(node.view),
        tuple(node.heard),
        tuple(ServiceSlots(entry.service, entry.freeSlots) for entry in node.rooms),
        tuple(node.leaving),
        node.contracts,
        node.draining,
    )


def _encode_heartbeat(root: Any, message: Heartbeat) -> None:
    root.init('heartbeat').from_dict(
        {
            'availabilityZone': message.availability_zone,
            **_encode_gossip(message.gossip),
        }
    )


def _decode_heartbeat(root: Any) -> Heartbeat:
    node = root.heartbeat
    return Heartbeat(node.availabilityZone, _decode_gossip(node))


def _encode_heartbeat_answer(root: Any, message: HeartbeatAnswer) -> None:
    root.init('heartbeatAnswer').from_dict(
        {'promise': message.promise, **_encode_gossip(message.gossip)}
    )


def _decode_heartbeat_answer(root: Any) -> HeartbeatAnswer:
    node = root.heartbeatAnswer
    return HeartbeatAnswer(node.promise, _decode_gossip(node))


def _encode_forward(root: Any, message: Forward) -> None:
    request = message.request
    root.init('forward').from_dict(
        {
            'method': request.method,
            'target': request.target,
            'headers': _encode_headers(request.headers),
            'body': request.body,
            'remainingMs': max(0, int(message.remaining * MILLISECONDS_PER_SECOND)),
            'hops': message.hops,
            'attemptedAt': message.attempted_at,
        }
    )
    if message.caller is not None:
        root.forward.init('caller').from_dict(
            {
                'account': message.caller.account,
                'keyDigest': message.caller.key_digest,
                'version': message.caller.version,
            }
        )


def _decode_forward(root: Any) -> Forward:
    node = root.forward
    request = Request(node.method, node.target, _decode_headers(node.headers), bytes(node.body))
    return Forward(
        request,
        node.remainingMs / MILLISECONDS_PER_SECOND,
        node.hops,
        _decode_caller(node),
        node.attemptedAt,
    )


def _decode_caller(node: Any) -> Caller | None:
    if not node._has('caller'):
        return None
    return Caller(node.caller.account, bytes(node.caller.keyDigest), node.caller.version)


def _encode_forward_answer(root: Any, message: ForwardAnswer) -> None:
    root.init('forwardAnswer').from_dict(
        {
            'status': message.response.status,
            'headers': _encode_headers(message.response.headers),
            'body': message.response.body,
            'noRoom': message.no_room,
        }
    )


def _decode_forward_answer(root: Any) -> ForwardAnswer:
    node = root.forwardAnswer
    answer = Response(node.status, _decode_headers(node.headers), bytes(node.body))
    return ForwardAnswer(answer, node.noRoom)


def _encode_place_order(root: Any, message: PlaceOrder) -> None:
    root.init('place').from_dict(
        {
            'dispatchEpoch': message.dispatch_epoch,
            'worker': message.worker,
            'taskId': message.task_id,
            'demand': _encode_resources(message.demand),
            'command': message.command,
            'customer': message.customer,
            'job': message.job,
            'attempt': message.attempt,
            'taskClass': message.task_class,
        }
    )


def _decode_place_order(root: Any) -> PlaceOrder:
    node = root.place
    return PlaceOrder(
        node.dispatchEpoch,
        node.worker,
        node.taskId,
        _decode_resources(node.demand),
        node.command,
        node.customer,
        node.job,
        node.attempt,
        node.taskClass,
    )


def _encode_place_answer(root: Any, message: PlaceAnswer) -> None:
    root.init('placeAnswer').from_dict({'outcome': message.outcome, 'cause': message.cause})


def _decode_place_answer(root: Any) -> PlaceAnswer:
    return PlaceAnswer(root.placeAnswer.outcome, root.placeAnswer.cause)


def _encode_task_action(root: Any, message: TaskAction) -> None:
    root.init('action').from_dict(
        {
            'dispatchEpoch': message.dispatch_epoch,
            'worker': message.worker,
            'taskId': message.task_id,
            'action': message.action,
        }
    )


def _decode_task_action(root: Any) -> TaskAction:
    node = root.action
    return TaskAction(node.dispatchEpoch, node.worker, node.taskId, node.action)


def _encode_task_report(report: TaskReport) -> dict[str, Any]:
    return {
        'id': report.id,
        'job': report.job,
        'attempt': report.attempt,
        'customer': report.customer,
        'taskClass': report.task_class,
        'running': report.running,
        'outcome': report.outcome,
        'demand': _encode_resources(report.demand),
        'used': _encode_resources(report.used),
    }


def _decode_task_report(node: Any) -> TaskReport:
    return TaskReport(
        node.id,
        node.job,
        node.attempt,
        node.customer,
        node.taskClass,
        node.running,
        node.outcome,
        _decode_resources(node.demand),
        _decode_resources(node.used),
    )


def _encode_worker_report(root: Any, message: WorkerReport) -> None:
    root.init('report').from_dict(
        {
            'worker': message.worker,
            'epoch': message.epoch,
            'reachable': message.reachable,
            'room': _encode_resources(message.usable_capacity),
            'tasks': [_encode_task_report(task) for task in message.tasks],
            'silentMs': int(message.unrenewed_seconds * MILLISECONDS_PER_SECOND),
            'remembersMs': int(message.history_seconds * MILLISECONDS_PER_SECOND),
            'asOf': int(message.as_of * MILLISECONDS_PER_SECOND),
            'dispatchEpoch': message.dispatch_epoch,
        }
    )


def _decode_worker_report(root: Any) -> WorkerReport:
    node = root.report
    return WorkerReport(
        node.worker,
        node.epoch,
        node.reachable,
        _decode_resources(node.room),
        tuple(_decode_task_report(task) for task in node.tasks),
        node.silentMs / MILLISECONDS_PER_SECOND,
        node.remembersMs / MILLISECONDS_PER_SECOND,
        node.asOf / MILLISECONDS_PER_SECOND,
        node.dispatchEpoch,
    )


def _encode_contract_state(root: Any, message: ContractState) -> None:
    root.init('contracts').from_dict(
        {'offset': message.offset, 'documents': list(message.documents)}
    )


def _decode_contract_state(root: Any) -> ContractState:
    node = root.contracts
    return ContractState(node.offset, tuple(bytes(text) for text in node.documents))


def _encode_contracts_wanted(root: Any, message: ContractsWanted) -> None:
    root.contractsWanted = None


def _encode_advice_wanted(root: Any, message: AdviceWanted) -> None:
    root.init('advice').from_dict(
        {
            'job': message.job,
            'occurrence': message.occurrence,
            'step': message.step,
            'runners': list(message.runners),
            'patienceMs': int(message.timeout * MILLISECONDS_PER_SECOND),
        }
    )


def _decode_advice_wanted(root: Any) -> AdviceWanted:
    node = root.advice
    return AdviceWanted(
        node.job,
        node.occurrence,
        node.step,
        tuple(node.runners),
        node.patienceMs / MILLISECONDS_PER_SECOND,
    )


def _encode_advice_given(root: Any, message: AdviceGiven) -> None:
    permits = [{'runner': runner, 'ticket': ticket} for runner, ticket in message.permits]
    root.init('advised').from_dict({'answered': message.answered, 'permits': permits})


def _decode_advice_given(root: Any) -> AdviceGiven:
    node = root.advised
    return AdviceGiven(
        node.answered,
        tuple((permit.runner, permit.ticket) for permit in node.permits),
    )


def _encode_owner_failing(root: Any, message: OwnerFailing) -> None:
    root.ownerFailing = message.term


def _encode_owner_asked(root: Any, message: OwnerAsked) -> None:
    root.ownerAsked = message.term


def _encode_done(root: Any, message: Done) -> None:
    root.done = None


def _encode_refused(root: Any, message: Refused) -> None:
    root.refused = message.cause


_ENCODERS: dict[type, Callable[[Any, Any], None]] = {
    Heartbeat: _encode_heartbeat,
    HeartbeatAnswer: _encode_heartbeat_answer,
    Forward: _encode_forward,
    ForwardAnswer: _encode_forward_answer,
    PlaceOrder: _encode_place_order,
    PlaceAnswer: _encode_place_answer,
    TaskAction: _encode_task_action,
    WorkerReport: _encode_worker_report,
    ContractState: _encode_contract_state,
    ContractsWanted: _encode_contracts_wanted,
    AdviceWanted: _encode_advice_wanted,
    AdviceGiven: _encode_advice_given,
    OwnerFailing: _encode_owner_failing,
    OwnerAsked: _encode_owner_asked,
    ConfigurationWanted: encode_configuration_wanted,
    ConfigurationGiven: encode_configuration_given,
    ConfigurationDocumentWanted: encode_document_wanted,
    ConfigurationDocument: encode_document,
    Done: _encode_done,
    Refused: _encode_refused,
}

_DECODERS: dict[str, Callable[[Any], Message]] = {
    'heartbeat': _decode_heartbeat,
    'heartbeatAnswer': _decode_heartbeat_answer,
    'forward': _decode_forward,
    'forwardAnswer': _decode_forward_answer,
    'place': _decode_place_order,
    'placeAnswer': _decode_place_answer,
    'action': _decode_task_action,
    'report': _decode_worker_report,
    'contracts': _decode_contract_state,
    'contractsWanted': lambda root: ContractsWanted(),
    'advice': _decode_advice_wanted,
    'advised': _decode_advice_given,
    'ownerFailing': lambda root: OwnerFailing(root.ownerFailing),
    'ownerAsked': lambda root: OwnerAsked(root.ownerAsked),
    'obsoleteCompletionsTold': lambda root: Unsupported(root.which()),
    'obsoleteCompletionsWanted': lambda root: Unsupported(root.which()),
    'obsoleteCompletionsSeen': lambda root: Unsupported(root.which()),
    'configurationWanted': lambda root: ConfigurationWanted(root.configurationWanted),
    'configuration': decode_configuration_given,
    'configurationDocumentWanted': lambda root: ConfigurationDocumentWanted(
        root.configurationDocumentWanted
    ),
    'configurationDocument': decode_document,
    'done': lambda root: Done(),
    'refused': lambda root: Refused(root.refused),
}
