"""Records of contract publication, as they stand in the cell's stream."""

from msgspec import Struct

from dandelionreel.contracts._document import Contract


class Proposed(Struct, frozen=True, tag='proposed'):
    """A new version; valid when ``replaces`` is in force and nothing is pending.

    ``zones`` are all zones of the cell: a first version divides its quota
    among them.
    """

    contract: Contract
    replaces: int
    nonce: str
    author: str
    zones: tuple[str, ...]


class Staged(Struct, frozen=True, tag='staged'):
    """A member has checked the proposal and enforces the stricter terms."""

    customer: str
    nonce: str
    member: str


class Aborted(Struct, frozen=True, tag='aborted'):
    """The proposal is withdrawn, unless all had staged it before."""

    customer: str
    nonce: str
    reason: str


class ZoneShare(Struct, frozen=True):
    """The part of a customer's quota that a zone may use."""

    zone: str
    share: float


class Restated(Struct, frozen=True, tag='stated'):
    """A contract in force, written again before its records expire."""

    contract: Contract
    shares: tuple[ZoneShare, ...]


class ShareWanted(Struct, frozen=True, tag='share_wanted'):
    """A zone has work for more than its part of a quota."""

    customer: str
    zone: str
    share: float


class ShareMoved(Struct, frozen=True, tag='share_moved'):
    """A zone gives a part up; the taker has it once it reads this."""

    customer: str
    giver: str
    taker: str
    share: float


ContractRecord = Proposed | Staged | Aborted | Restated | ShareWanted | ShareMoved
