"""Numbers that arrive as text, within the range that messages and commands can hold."""

from __future__ import annotations

# The largest integer of the encoding, which is MessagePack.
MAX_NUMBER = 2**63 - 1
MAX_DIGITS = len(str(MAX_NUMBER))


def parse_number(text: str) -> int:
    """Parse a non-negative decimal integer that a command can hold.

    :raises ValueError: if the text is anything else.
    """
    if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
        number = int(text)
        if number <= MAX_NUMBER:
            return number
    raise ValueError(f"{text[:MAX_DIGITS]!r} is not an integer from 0 to {MAX_NUMBER}")
