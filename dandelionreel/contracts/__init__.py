"""Customer contracts: the document, its publication, and each zone's share of a quota."""

from dandelionreel.contracts._contract_projection import (
    ContractProjection,
    PendingProposal,
    ProposalOutcome,
)
from dandelionreel.contracts._document import (
    TASK_CLASSES,
    Amounts,
    ClassTerms,
    Contract,
    ContractError,
    RequestTerms,
    intersect_contracts,
    load_contract,
)
from dandelionreel.contracts._publisher import ContractPublisher, encode_contract
from dandelionreel.contracts._records import (
    Aborted,
    ContractRecord,
    Proposed,
    Restated,
    ShareMoved,
    ShareWanted,
    Staged,
    ZoneShare,
)
from dandelionreel.contracts._terms import require_contract

__all__ = (
    'TASK_CLASSES',
    'Aborted',
    'Amounts',
    'ClassTerms',
    'Contract',
    'ContractError',
    'ContractProjection',
    'ContractPublisher',
    'ContractRecord',
    'PendingProposal',
    'ProposalOutcome',
    'Proposed',
    'RequestTerms',
    'Restated',
    'ShareMoved',
    'ShareWanted',
    'Staged',
    'ZoneShare',
    'encode_contract',
    'intersect_contracts',
    'load_contract',
    'require_contract',
)
