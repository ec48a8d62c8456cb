"""Shortening of texts for log lines and error messages."""

MAX_CHARACTERS = 64


def clip_text(text: str) -> str:
    """Return the first ``MAX_CHARACTERS`` characters of a text from outside."""
    return text[:MAX_CHARACTERS]
