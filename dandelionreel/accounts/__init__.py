"""Client accounts: API keys, quotas and fair shares, as both interfaces of the product use them."""

from dandelionreel.accounts._account import Account, Caller
from dandelionreel.accounts._amounts import Amounts
from dandelionreel.accounts._credentials import AUTHORIZATION, digest_key, read_key_digest
from dandelionreel.accounts._directory import AccountDirectory
from dandelionreel.accounts._usage import AccountUsage, weighted_share, within_quota

__all__ = (
    'AUTHORIZATION',
    'Account',
    'AccountDirectory',
    'Amounts',
    'Caller',
    'AccountUsage',
    'digest_key',
    'read_key_digest',
    'weighted_share',
    'within_quota',
)
