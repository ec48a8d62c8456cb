"""What runners write about themselves in the store."""

from typing import Annotated, Literal

import msgspec

from dandelionreel.cell.model import (
    Demand,
    Reason,
    Registration,
    UnreadableError,
    decode_json,
    incarnation_id,
)
from dandelionreel.platform._settings import SettingsError, parse_address

MILLISECONDS = 1000
#: More than any machine has of anything; a larger amount is a mistake, and would let
#: every task fit.
MAX_AMOUNT = 2_147_483_648
#: Milliseconds for which a draining runner may say that it stays: a day.
MAX_REMAINING_MS = 86_400_000
MAX_NAME_LENGTH = 255

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
#: Milliseconds are whole and exact up to here in JSON.
JSON_INTEGER_LIMIT = 9_007_199_254_740_992
#: The Unix millisecond at which a runner's process started.
StartMilliseconds = Annotated[int, msgspec.Meta(ge=1, lt=JSON_INTEGER_LIMIT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


class _Capacity(msgspec.Struct, frozen=True):
    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class _Entry(msgspec.Struct, frozen=True):
    """All that a runner's entry holds; what is not used here is checked all the same.

    An entry with one field missing or wrong was written by something that is no
    runner, and its other fields are worth no more.
    """

    service: Name
    address: Name
    zone: Name
    version: str
    slots: Amount
    state: Literal['ready', 'draining']
    cold_left_ms: NonNegative
    sequence: int
    capacity: _Capacity
    labels: tuple[str, ...]
    #: The start of the process that wrote the entry.
    born: StartMilliseconds | msgspec.UnsetType = msgspec.UNSET
    remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_REMAINING_MS)] | None = None


_DECODER = msgspec.json.Decoder(_Entry)


def decode_registration(runner: str, content: bytes) -> Registration:
    """Return the registration under a runner's id; raises ``UnreadableError``."""
    entry = decode_json(_DECODER, content)
    try:
        address = parse_address(entry.address)
    except SettingsError as error:
        raise UnreadableError(Reason.RANGE, f'{error}') from error
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
        remaining=None if remaining is None else remaining / MILLISECONDS,
        incarnation=incarnation,
    )
