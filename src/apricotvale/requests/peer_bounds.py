"""Bounds on what the peers of a process's HTTP connections make it hold.

One `PeerBounds` is shared by all listeners of a process. The module does no I/O. A limit of 0 means
that there is no bound.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from attrs import define, field, frozen

from apricotvale.requests.held_bytes import BYTES_PER_MIB, ByteBudget

# Share of the process's memory for the heads of requests, and the part of it that is left to heads
# of up to `SMALL_HEAD_COST`, so that large ones do not keep others out.
HEADS_SHARE = 1 / 8
SMALL_HEADS_PART = 1 / 2
SMALL_HEAD_COST = 32 * 1024
# Memory that a header line takes once it is parsed and copied for the upstream, besides its bytes.
LINE_COST = 512
BYTE_COST = 2
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


@define(eq=False)
class ConnectionState:
    """What a process knows of one connection.

    :param close: closes the connection; called to make room for another one.
    :param head_cost: memory counted for the head that is received or worked on, in bytes.
    """

    close: Callable[[str], None]
    phase: Phase = Phase.FIRST_REQUEST
    head_cost: int = 0


@define(eq=False)
class PeerBounds:
    """The connections of a process, and the memory that they take.

    Load pattern: clients send large heads, or parts of them, on many connections.

    :param heads: memory for heads of requests, from their first byte until their answer is sent.
    :param held: bytes of bodies and answers.
    """

    heads: ByteBudget = field(factory=ByteBudget)
    held: ByteBudget = field(factory=ByteBudget)
    waiting: dict[Phase, dict[ConnectionState, None]] = field(
        init=False, factory=lambda: {phase: {} for phase in Phase}
    )

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open."""
        return sum(map(len, self.waiting.values()))

    def admit(self, connection: ConnectionState) -> None:
        """Count a new connection."""
        self.waiting[connection.phase][connection] = None

    def enter(self, connection: ConnectionState, phase: Phase) -> None:
        """Note that a connection begins a phase; it is the last to be closed of those in it."""
        if self.waiting[connection.phase].pop(connection, True) is None:
            self.waiting[phase][connection] = None
        connection.phase = phase

    def remove(self, connection: ConnectionState) -> None:
        """Stop counting a connection."""
        self.waiting[connection.phase].pop(connection, None)
        self.release_head(connection)

    def claim_head(self, connection: ConnectionState, cost: int) -> bool:
        """Count the memory of a part of a head; return False if there is no room for it.

        Heads that are not whole make room, the oldest first.
        """
        total = connection.head_cost + cost
        limit = self.heads.limit
        if total > SMALL_HEAD_COST:
            limit = int(limit * (1 - SMALL_HEADS_PART))
        while self.heads.limit and self.heads.held + cost > limit:
            oldest = next((c for c in self.waiting[Phase.HEAD] if c is not connection), None)
            if oldest is None:
                return False
            self.remove(oldest)
            oldest.close("room for another head")
        self.heads.held += cost
        connection.head_cost = total
        return True

    def release_head(self, connection: ConnectionState) -> None:
        """Stop counting the memory of a head."""
        self.heads.held -= connection.head_cost
        connection.head_cost = 0


def head_cost(part: bytes) -> int:
    """Return the memory that a part of a head takes once it is parsed, in bytes."""
    return len(part) * BYTE_COST + part.count(b"\n") * LINE_COST


def make_bounds(memory_mb: float, held: ByteBudget) -> PeerBounds:
    """Return the bounds of a process.

    :param memory_mb: memory of its VM in MiB, 0 if unknown.
    :param held: counts the bytes of bodies and answers.
    """
    return PeerBounds(ByteBudget(int(memory_mb * BYTES_PER_MIB * HEADS_SHARE)), held)
