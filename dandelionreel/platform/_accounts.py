"""Decodes the client accounts in the operator's configuration, each row on its own.

An invalid row does not affect other rows: its valid fields are used, and the account
directory lists the problems.
"""

from collections.abc import Sequence
from typing import Annotated, Any

import msgspec

from dandelionreel.accounts import Account, AccountDirectory, digest_key
from dandelionreel.cell.model import Demand, UnreadableError, decode_json

Accounts = AccountDirectory[Demand]

#: Means "no limit": more than any cell has. JSON numbers are exact up to here.
UNLIMITED = 9_007_199_254_740_992
MAX_WEIGHT = 1e9
MAX_NAME_LENGTH = 255

Amount = Annotated[int, msgspec.Meta(ge=0, lt=UNLIMITED)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=MAX_WEIGHT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Key = Annotated[str, msgspec.Meta(min_length=1)]


class _MaximumFields(msgspec.Struct, frozen=True):
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _TenantRow(msgspec.Struct, frozen=True):
    name: Name
    api_keys: tuple[Key, ...] = ()
    weight: Weight = 1
    maximum: _MaximumFields | None = None


_TENANT_DECODER = msgspec.json.Decoder(_TenantRow)
_ANY_DECODER = msgspec.json.Decoder()


class AccountDecoder:
    """Decodes account rows; rows unchanged since the previous version are not decoded again."""

    def __init__(self) -> None:
        """Create a decoder that has seen no version yet."""
        self._account_by_row: dict[bytes, tuple[Account[Demand] | None, tuple[str, ...]]] = {}
        self._previous: Accounts | None = None

    def decode(self, rows: Sequence[msgspec.Raw]) -> Accounts:
        """Return the accounts and the problems found in the rows."""
        account_by_row = {}
        accounts = []
        problems: list[str] = []
        for row in rows:
            content = bytes(row)
            decoded = self._account_by_row.get(content) or _decode_row(content)
            account_by_row[content] = decoded
            account, row_problems = decoded
            problems.extend(row_problems)
            if account is not None:
                accounts.append(account)
        self._account_by_row = account_by_row
        directory = AccountDirectory(accounts, self._previous)
        directory.problems.extend(problems)
        self._previous = directory
        return directory


def _decode_row(content: bytes) -> tuple[Account[Demand] | None, tuple[str, ...]]:
    """Return a row's account and its problems; no message contains an API key."""
    try:
        return _to_account(decode_json(_TENANT_DECODER, content)), ()
    except UnreadableError:
        return _decode_fields(content)


def _decode_fields(content: bytes) -> tuple[Account[Demand] | None, tuple[str, ...]]:
    """Decode the valid fields of a row one by one."""
    try:
        fields = decode_json(_ANY_DECODER, content)
        name = msgspec.convert(fields.get('name') if isinstance(fields, dict) else None, Name)
    except ValueError:
        return None, ('an account without a valid name was ignored',)
    row_problems: list[str] = []
    weight = _convert_field(fields, 'weight', Weight, 1.0)
    if weight is None:
        row_problems.append(f'account {name!r} has an invalid weight; using 1')
    maximum = _convert_field(fields, 'maximum', _MaximumFields, _MaximumFields())
    if maximum is None:
        row_problems.append(f'account {name!r} has an invalid maximum; using no limit')
    raw_keys = fields.get('api_keys', [])
    keys = (
        tuple(key for key in raw_keys if isinstance(key, str) and key) if _is_list(raw_keys) else ()
    )
    if not _is_list(raw_keys) or len(keys) != len(raw_keys):
        row_problems.append(f'account {name!r} has invalid keys; using the others')
    tenant = _TenantRow(name, keys, weight or 1.0, maximum or _MaximumFields())
    return _to_account(tenant), tuple(row_problems)


def _is_list(raw_keys: Any) -> bool:
    return isinstance(raw_keys, list)


def _convert_field(fields: dict[str, Any], name: str, field_type: Any, default: Any) -> Any:
    """Return a field, its default if it is missing, or ``None`` if it is invalid."""
    if name not in fields:
        return default
    try:
        return msgspec.convert(fields[name], field_type)
    except ValueError:
        return None


def _to_account(tenant: _TenantRow) -> Account[Demand]:
    digests = frozenset(digest_key(key) for key in tenant.api_keys)
    return Account(tenant.name, tenant.weight, _to_quota(tenant.maximum), digests)


def _to_quota(maximum: _MaximumFields | None) -> Demand | None:
    """Return the quota: an amount of 0 means no limit, and ``None`` means no quota."""
    if maximum is None or maximum == _MaximumFields():
        return None
    return Demand(
        maximum.cpu or UNLIMITED,
        maximum.mem_mb or UNLIMITED,
        maximum.gpu or UNLIMITED,
    )
