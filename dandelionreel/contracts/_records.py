"""Records of contract publication and of quota shares, in the cell's log stream."""

from msgspec import Struct

from dandelionreel.contracts._document import Contract


class Proposed(Struct, frozen=True, tag='proposed'):
    """Proposes a version of a contract.

    Valid if the version ``replaces`` is in force and no other proposal for the
    customer is pending. ``zones`` are all zones of the cell: the first version
    of a contract divides its quota equally among them.
    """

    contract: Contract
    replaces: int
    nonce: str
    author: str
    zones: tuple[str, ...]


class Staged(Struct, frozen=True, tag='staged'):
    """A member enforces the stricter limits of the version in force and the proposed one."""

    customer: str
    nonce: str
    member: str


class Aborted(Struct, frozen=True, tag='aborted'):
    """Aborts a proposal; ignored if all members had staged it before."""

    customer: str
    nonce: str
    reason: str


class ZoneShare(Struct, frozen=True):
    """The fraction of a customer's quota that a zone may use, 0 to 1."""

    zone: str
    share: float


class Restated(Struct, frozen=True, tag='stated'):
    """A contract in force, written again before its earlier records expire."""

    contract: Contract
    shares: tuple[ZoneShare, ...]


class ShareWanted(Struct, frozen=True, tag='share_wanted'):
    """A zone's waiting jobs need ``share`` more of the quota than the zone holds."""

    customer: str
    zone: str
    share: float


class ShareMoved(Struct, frozen=True, tag='share_moved'):
    """Moves a share between zones; ``taker`` may use it once it has read this record."""

    customer: str
    giver: str
    taker: str
    share: float


ContractRecord = Proposed | Staged | Aborted | Restated | ShareWanted | ShareMoved
