"""Decodes JSON from outside into checked types, with one error for all that may be wrong."""

from typing import TypeVar

import msgspec

Document = TypeVar('Document')


class JsonError(ValueError):
    """The bytes are not JSON of the expected type."""


def decode_json(content: bytes, document_type: type[Document]) -> Document:
    """Decode JSON; raises ``JsonError``.

    The decoder raises ``RecursionError`` for deep nesting, which is no ``MsgspecError``.
    """
    try:
        return msgspec.json.decode(content, type=document_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise JsonError(f'{error}') from error
