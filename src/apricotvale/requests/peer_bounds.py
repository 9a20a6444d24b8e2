"""Bounds on what the peers of a process's HTTP connections make it hold.

The module does no I/O.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

# Bytes on the wire for each byte of a chunked body. Chunks of one byte need six.
CHUNK_OVERHEAD = 8
MAX_CHUNK_EXTRA = 4 * 1024


@frozen
class ConnectionLimits:
    """Limits on the peer of one connection.

    :param head_bytes: bound of a request line and its header fields, in bytes.
    """

    head_bytes: int = 65_536


class Phase(Enum):
    """What a connection waits for."""

    FIRST_REQUEST = "first request"
    HEAD = "rest of a head"
    NEXT_REQUEST = "next request"
    BODY = "rest of a body"
    REFUSED_BODY = "rest of a body that is ignored"
    ANSWER = "answer"
