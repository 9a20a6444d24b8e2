"""Hash functions that, unlike `hash()`, give the same result in every process."""

from __future__ import annotations

import xxhash


def hash64(text: str) -> int:
    """Return the 64-bit XXH3 hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash32(text: str) -> int:
    """Return the XXH32 hash of a text."""
    return xxhash.xxh32_intdigest(text.encode())


def digest(data: bytes) -> str:
    """Return the 128-bit XXH3 hash of the data in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(data)
