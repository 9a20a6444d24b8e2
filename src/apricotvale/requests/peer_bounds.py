"""Bounds on what the peers of a process's HTTP connections make it hold.

One `PeerBounds` is shared by all listeners of a process. The module does no I/O. A limit of 0 means
that there is no bound.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum, auto

from attrs import define, field, frozen

from apricotvale.requests.held_bytes import BYTES_PER_MIB, ByteBudget

# Share of the descriptors for the connections that a process accepts. A request may need one more
# to its upstream; the rest is for files, peers and control.
CONNECTIONS_SHARE = 0.4
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
    :param head_timeout_s: time from the first byte of a head to its last, in seconds.
    :param idle_timeout_s: time without a byte before a request, in seconds.
    """

    head_bytes: int = 65_536
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


class Phase(IntEnum):
    """What a connection waits for.

    The members are integers since those are hashed faster, some times for each request.
    """

    FIRST_REQUEST = auto()
    HEAD = auto()
    NEXT_REQUEST = auto()
    BODY = auto()
    REFUSED_BODY = auto()
    ANSWER = auto()


# Connections that are closed to make room for others, the first phase first. None of their requests
# has run. A body that still arrives counts as waiting after a while without a byte.
RECLAIMED_PHASES = (
    Phase.REFUSED_BODY,
    Phase.FIRST_REQUEST,
    Phase.HEAD,
    Phase.NEXT_REQUEST,
    Phase.BODY,
)
MIN_BODY_WAIT_S = 1.0
MAX_STEP_S = 1.0
NEVER = float("inf")


@define(eq=False)
class ConnectionState:
    """What a process knows of one connection.

    :param close: closes the connection; called to make room for another one.
    :param since: when it entered its phase, or received the last byte of a body, in seconds.
    :param deadline: when the phase ends by force, in seconds.
    :param head_cost: memory counted for the head that is received or worked on, in bytes.
    """

    close: Callable[[str], None]
    phase: Phase = Phase.FIRST_REQUEST
    since: float = 0.0
    deadline: float = NEVER
    head_cost: int = 0


@define(eq=False)
class PeerBounds:
    """The connections of a process, and the memory that they take.

    Load pattern: clients open many connections, and send nothing, half a head or large heads on
    them. The connection that has waited longest is closed in favour of a new one.

    :param max_connections: bound on the connections open at the same time.
    :param heads: memory for heads of requests, from their first byte until their answer is sent.
    :param held: bytes of bodies and answers.
    :param open_connections: number of connections that are open.
    :param now: the time of all phases and deadlines, in seconds; see `advance`.
    :param next_turn_at: when the next body of many small chunks may be parsed, on `clock.now`.
    """

    max_connections: int = 0
    heads: ByteBudget = field(factory=ByteBudget)
    held: ByteBudget = field(factory=ByteBudget)
    now: float = 0.0
    advanced_at: float = 0.0
    open_connections: int = 0
    next_turn_at: float = 0.0
    waiting: dict[Phase, dict[ConnectionState, None]] = field(
        init=False, factory=lambda: {phase: {} for phase in Phase}
    )

    def advance(self, at: float) -> None:
        """Advance `now`, but by `MAX_STEP_S` at most.

        The listeners call this more often. While they do not, the process is suspended, and no peer
        can make progress.

        :param at: the monotonic clock, in seconds.
        """
        self.now += min(max(0.0, at - self.advanced_at), MAX_STEP_S)
        self.advanced_at = at

    def admit(self, connection: ConnectionState, idle_timeout_s: float) -> bool:
        """Count a new connection; return False if all others are at work on a request."""
        if self.max_connections and self.open_connections >= self.max_connections:
            longest = self.longest_waiting()
            if longest is None:
                return False
            self.remove(longest)
            longest.close("room for another connection")
        self.waiting[connection.phase][connection] = None
        self.open_connections += 1
        self.enter(connection, Phase.FIRST_REQUEST, idle_timeout_s)
        return True

    def enter(self, connection: ConnectionState, phase: Phase, timeout_s: float) -> None:
        """Note that a connection begins a phase; it is the last to be closed of those in it.

        :param timeout_s: time after which the phase ends by force, in seconds.
        """
        if self.waiting[connection.phase].pop(connection, True) is None:
            self.waiting[phase][connection] = None
        connection.phase = phase
        connection.since = self.now
        connection.deadline = self.now + timeout_s

    def remove(self, connection: ConnectionState) -> None:
        """Stop counting a connection."""
        if self.waiting[connection.phase].pop(connection, True) is None:
            self.open_connections -= 1
        self.release_head(connection)

    def longest_waiting(self) -> ConnectionState | None:
        """Return the connection to close for another one, None if there is none."""
        for phase in RECLAIMED_PHASES:
            for connection in self.waiting[phase]:
                waits_s = self.now - connection.since
                if phase is not Phase.BODY or waits_s >= MIN_BODY_WAIT_S:
                    return connection
                break
        return None

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


def make_bounds(memory_mb: float, max_fds: int, held: ByteBudget) -> PeerBounds:
    """Return the bounds of a process.

    :param memory_mb: memory of its VM in MiB, 0 if unknown.
    :param max_fds: descriptors that it may have open, 0 if unknown.
    :param held: counts the bytes of bodies and answers.
    """
    heads = ByteBudget(int(memory_mb * BYTES_PER_MIB * HEADS_SHARE))
    return PeerBounds(int(max_fds * CONNECTIONS_SHARE), heads, held)
