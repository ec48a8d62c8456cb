"""Decodes the entries that runners write about themselves in the store."""

import re
from ipaddress import IPv4Address
from typing import Annotated, Literal

import msgspec

from dandelionreel.cell.model import (
    Demand,
    Registration,
    UnreadableError,
    UnreadableReason,
    decode_json,
    incarnation_id,
)
from dandelionreel.platform._settings import parse_address

MILLISECONDS_PER_SECOND = 1000
#: Limit of a runner's amount of any resource, above that of any machine. A larger amount is an
#: error and would make every task fit.
MAX_AMOUNT = 2_147_483_648
#: Longest time that a draining runner may report as remaining: a day.
MAX_REMAINING_MS = 86_400_000
MAX_NAME_LENGTH = 255
#: Calls to a runner name it in a header, which other characters would make invalid.
RUNNER_PATTERN = re.compile('[!-~]+')

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
#: JSON numbers are exact integers up to here.
JSON_INTEGER_LIMIT = 9_007_199_254_740_992
#: Start time of a runner's process, in milliseconds since the Unix epoch.
StartMilliseconds = Annotated[int, msgspec.Meta(ge=1, lt=JSON_INTEGER_LIMIT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


class _CapacityFields(msgspec.Struct, frozen=True):
    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class _RunnerEntry(msgspec.Struct, frozen=True):
    """The entry of a runner; fields that are not used are checked as well.

    If a field is missing or invalid, the entry was not written by a runner, and its other
    fields cannot be trusted either.
    """

    service: Name
    address: Name
    zone: Name
    version: str
    slots: Amount
    state: Literal['ready', 'draining']
    cold_left_ms: NonNegative
    sequence: int
    capacity: _CapacityFields
    labels: tuple[str, ...]
    #: When the process that wrote the entry started.
    born: StartMilliseconds | msgspec.UnsetType = msgspec.UNSET
    remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_REMAINING_MS)] | None = None


_DECODER = msgspec.json.Decoder(_RunnerEntry)


def decode_registration(runner: str, content: bytes) -> Registration:
    """Decode the entry stored under the id ``runner``; raises ``UnreadableError``."""
    if not RUNNER_PATTERN.fullmatch(runner):
        raise UnreadableError(UnreadableReason.KEY, 'the id is not visible ASCII')
    entry = decode_json(_DECODER, content)
    try:
        address = parse_address(entry.address)
        # Connecting to a name would look it up, which blocks the process.
        IPv4Address(address.host)
    except ValueError as error:
        raise UnreadableError(UnreadableReason.RANGE, f'{error}') from error
    remaining = entry.remaining_ms
    incarnation = None if entry.born is msgspec.UNSET else entry.born
    return Registration(
        runner=incarnation_id(runner, incarnation),
        service=entry.service,
        address=address.host,
        port=address.port,
        zone=entry.zone,
        capacity=Demand(entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu),
        labels=entry.labels,
        draining=entry.state == 'draining',
        remaining=None if remaining is None else remaining / MILLISECONDS_PER_SECOND,
        incarnation=incarnation,
    )
