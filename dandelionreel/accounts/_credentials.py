"""API keys: reading them from requests, and the digest by which they are looked up."""

import hashlib
import re
from collections.abc import Iterable

AUTHORIZATION = 'authorization'
#: As in RFC 6750: the scheme in any case, spaces, and a key without spaces in it.
BEARER_PATTERN = re.compile('(?i:bearer) +([!-~]{1,1024})')


def digest_key(key: str) -> bytes:
    """Return the digest of an API key.

    Keys are looked up by digest, so that the duration of a lookup reveals nothing about them.
    """
    return hashlib.sha256(key.encode()).digest()


def read_key_digest(headers: Iterable[tuple[str, str]]) -> bytes | None:
    """Return the digest of the key in a request's authorization header.

    Returns ``None`` alike for no header, several headers, another scheme and a malformed key.
    """
    headers_found = [text for name, text in headers if name == AUTHORIZATION]
    if len(headers_found) != 1:
        return None
    match = BEARER_PATTERN.fullmatch(headers_found[0])
    return None if match is None else digest_key(match.group(1))
