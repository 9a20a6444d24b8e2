"""Log lines to a file descriptor, at a bounded rate and without ever waiting for it."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from typing import Any

from attrs import define, field
from loguru import logger

from apricotvale import events, metrics

# A line costs about 20 us, so this is at most 1% of a core.
LINES_PER_S = 400.0
BURST_LINES = 800.0
# What a reader that does not keep up may leave behind before lines are dropped.
MAX_BUFFER_BYTES = 256 * 1024


@define
class Allowance:
    """Lines that may be written, refilled with time.

    :param now: returns the time in seconds.
    """

    now: Callable[[], float]
    rate: float = LINES_PER_S
    burst: float = BURST_LINES
    left: float = BURST_LINES
    refilled_at: float = 0.0

    def take(self) -> bool:
        """Take one line; return whether there was one left."""
        now = self.now()
        self.left = min(self.burst, self.left + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


@define
class LineWriter:
    """Writes lines to a descriptor that does not block, and counts those it drops.

    :param now: returns the time in seconds.
    :param write: writes bytes to a descriptor and returns how many it took.
    :param dropped_line: returns the line that tells how many were dropped.
    """

    descriptor: int
    now: Callable[[], float]
    dropped_line: Callable[[int], str]
    write_bytes: Callable[[int, bytes], int] = os.write
    allowance: Allowance = field(init=False)
    urgent_allowance: Allowance = field(init=False)
    buffer: bytearray = field(factory=bytearray, init=False)
    dropped: int = field(default=0, init=False)
    dropped_total: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.allowance = Allowance(self.now)
        self.urgent_allowance = Allowance(self.now)

    def write(self, line: str, urgent: bool = False) -> None:
        """Write a line, or drop it when there are too many; urgent ones are counted apart."""
        allowance = self.urgent_allowance if urgent else self.allowance
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if len(self.buffer) + len(data) > MAX_BUFFER_BYTES or not allowance.take():
            self.dropped += 1
            self.dropped_total += 1
            self.flush()
            return
        if self.dropped:
            self.buffer += self.dropped_line(self.dropped).encode() + b"\n"
            self.dropped = 0
        self.buffer += data
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes without blocking."""
        while self.buffer:
            try:
                written = self.write_bytes(self.descriptor, bytes(self.buffer))
            except (BlockingIOError, BrokenPipeError):
                return
            del self.buffer[:written]


def configure_bounded(process: str, level: str = "INFO") -> None:
    """Send JSON log lines to standard output, at a bounded rate and without blocking.

    :param process: name put on each line.
    :param level: least severe level that is written.
    """

    def dropped_line(count: int) -> str:
        metrics.LOG_LINES_DROPPED.inc(count)
        fields = {
            "event": events.LINES_DROPPED.number,
            "name": events.LINES_DROPPED.name,
            "count": count,
        }
        return json.dumps({"level": events.LINES_DROPPED.level, "process": process, **fields})

    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor, time.monotonic, dropped_line)

    def write(message: Any) -> None:
        urgent = message.record["level"].no >= logger.level("WARNING").no
        writer.write(events.json_line(message, process), urgent)

    logger.remove()
    logger.add(write, level=level, format="{message}")
