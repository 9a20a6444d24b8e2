"""Hashes of text, the same in every process."""

from __future__ import annotations

import xxhash


def hash64(text: str) -> int:
    """Return a 64-bit hash."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash32(text: str) -> int:
    """Return a 32-bit hash."""
    return xxhash.xxh32_intdigest(text.encode())


def digest(data: bytes) -> str:
    """Return a 128-bit hash in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(data)
