"""Text that goes into messages."""

MAX_CHARACTERS = 64


def clip(text: str) -> str:
    """Return the start of a text that a caller sent, short enough for one line."""
    return text[:MAX_CHARACTERS]
