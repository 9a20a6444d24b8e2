"""Bounds on the bytes that an entry holds for callers and that it has sent to each upstream.

The module does no I/O. A limit of 0 means that there is no bound.
"""

from __future__ import annotations

from collections import Counter
from types import TracebackType

from attrs import define, field

BYTES_PER_MIB = 1024 * 1024
# Share of the process's memory for request bodies and answers. The rest is for the interpreter, the
# connections' buffers, and the copies that reading and sending a body make for a short time.
HELD_SHARE = 1 / 4
# Share of the held bytes that may be in flight to one upstream. 20 entries with 160 to 440 MiB of
# memory then have at most 50 to 140 MiB in flight to it.
UPSTREAM_SHARE = 1 / 16
# Answers are read on beyond the bound up to this multiple of it, since their requests have run.
# Then all but small ones are given up, so that large answers cannot exhaust the memory together.
ANSWERS_FACTOR = 1.5
SMALL_ANSWER_BYTES = 64 * 1024
# Memory that a value of a JSON document takes once it is parsed, besides the bytes of its text. A
# value is counted by the comma or bracket before it.
VALUE_COST = 96


@define
class ByteBudget:
    """The bytes that a process holds, and their bound.

    Load pattern: many large bodies arrive at once, or many callers read large answers slowly. New
    requests are refused while their bytes do not fit. The answer of a request that has run is
    counted but not refused.
    """

    limit: int = 0
    held: int = 0

    def fits(self, size: int) -> bool:
        """Return whether more bytes fit within the bound."""
        return not self.limit or self.held + size <= self.limit

    def is_exceeded_by(self, size: int) -> bool:
        """Return whether an answer of which this many bytes are counted has to be given up.

        Load pattern: upstreams send answers without an end, one or many at a time, or many callers
        ask for large ones at once.
        """
        if not self.limit:
            return False
        is_crowded = self.held > ANSWERS_FACTOR * self.limit
        return size > self.limit or (is_crowded and size > SMALL_ANSWER_BYTES)


@define
class Hold:
    """The bytes that a budget counts for one request, released at the end of the context."""

    budget: ByteBudget
    size: int = 0

    def claim(self, size: int) -> bool:
        """Count more bytes if they fit; return whether they do."""
        if not self.budget.fits(size):
            return False
        self.resize(self.size + size)
        return True

    def resize(self, size: int) -> None:
        """Set the number of bytes, also beyond the bound."""
        self.budget.held += size - self.size
        self.size = size

    def __enter__(self) -> Hold:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.resize(0)


@define
class UpstreamBytes:
    """The request bytes in flight to each upstream, by incarnation, and their bound.

    Load pattern: an upstream reads slowly, or works for long on large requests. It holds all of
    them in its memory until it has answered.
    """

    limit: int = 0
    in_flight: Counter[str] = field(factory=Counter)

    def fits(self, incarnation: str, size: int) -> bool:
        """Return whether a request fits; one always does if no other bytes are in flight."""
        sent = self.in_flight.get(incarnation, 0)
        return not self.limit or not sent or sent + size <= self.limit

    def begin(self, incarnation: str, size: int) -> None:
        """Count a request that is sent."""
        if size:
            self.in_flight[incarnation] += size

    def end(self, incarnation: str, size: int) -> None:
        """Count a request that has ended."""
        if size:
            self.in_flight[incarnation] -= size
            if not self.in_flight[incarnation]:
                del self.in_flight[incarnation]


def parsed_cost(document: bytes) -> int:
    """Return the memory that the values of a JSON document take at most once they are parsed."""
    return VALUE_COST * sum(document.count(mark) for mark in (b",", b"[", b"{"))


def held_limit(memory_mb: float) -> int:
    """Return the bound on held bytes for a memory in MiB; 0 if the memory is unknown."""
    return int(memory_mb * BYTES_PER_MIB * HELD_SHARE)
