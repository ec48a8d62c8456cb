"""API keys: how a request carries one, and the digest by which it is looked up."""

import hashlib
import re
from collections.abc import Iterable

AUTHORIZATION = 'authorization'
#: After RFC 6750: the scheme in any case, spaces, and a key without spaces in it.
BEARER_PATTERN = re.compile('(?i:bearer) +([!-~]{1,1024})')


def digest_key(key: str) -> bytes:
    """Return the digest of an API key.

    Keys are looked up by digest, so that the time of a lookup says nothing about them.
    """
    return hashlib.sha256(key.encode()).digest()


def read_bearer(headers: Iterable[tuple[str, str]]) -> bytes | None:
    """Return the digest of the key that a request carries.

    ``None`` stands for no key, more than one, another scheme and malformed ones alike.
    """
    headers_found = [text for name, text in headers if name == AUTHORIZATION]
    if len(headers_found) != 1:
        return None
    match = BEARER_PATTERN.fullmatch(headers_found[0])
    return None if match is None else digest_key(match.group(1))
