"""Rate-limited, non-blocking output of log lines to a file descriptor."""

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

# Writing a line takes about 20 us of CPU time, so this rate uses at most 1% of a core.
LINES_PER_S = 400.0
BURST_LINES = 800.0
# Unread output that is buffered for a slow reader before lines are dropped.
MAX_BUFFER_BYTES = 256 * 1024


@define
class TokenBucket:
    """A token bucket that limits the rate of log lines.

    :param now: returns the time in seconds.
    :param rate_per_s: tokens added per second, one for each line.
    :param burst: capacity in tokens.
    """

    now: Callable[[], float]
    rate_per_s: float = LINES_PER_S
    burst: float = BURST_LINES
    tokens: float = BURST_LINES
    refilled_at: float = 0.0

    def take(self) -> bool:
        """Take a token; return whether one was available."""
        now = self.now()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate_per_s)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@define
class LineWriter:
    """Writes lines to a non-blocking descriptor and drops those over the rate or buffer limit.

    :param now: returns the time in seconds.
    :param format_dropped: returns a line that reports a number of dropped lines.
    :param write_bytes: writes to a descriptor and returns the number of bytes written.
    """

    descriptor: int
    now: Callable[[], float]
    format_dropped: Callable[[int], str]
    write_bytes: Callable[[int, bytes], int] = os.write
    bucket: TokenBucket = field(init=False)
    urgent_bucket: TokenBucket = field(init=False)
    buffer: bytearray = field(factory=bytearray, init=False)
    dropped: int = field(default=0, init=False)
    dropped_total: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.bucket = TokenBucket(self.now)
        self.urgent_bucket = TokenBucket(self.now)

    def write(self, line: str, urgent: bool = False) -> None:
        """Write a line, or drop it if a limit is exceeded.

        Urgent lines have a rate limit of their own, so that other lines do not displace them.
        """
        bucket = self.urgent_bucket if urgent else self.bucket
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if len(self.buffer) + len(data) > MAX_BUFFER_BYTES or not bucket.take():
            self.dropped += 1
            self.dropped_total += 1
            self.flush()
            return
        if self.dropped:
            self.buffer += self.format_dropped(self.dropped).encode() + b"\n"
            self.dropped = 0
        self.buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self.buffer:
            try:
                written = self.write_bytes(self.descriptor, bytes(self.buffer))
            except (BlockingIOError, BrokenPipeError):
                return
            del self.buffer[:written]


def configure_bounded(process: str, level: str = "INFO") -> None:
    """Configure rate-limited, non-blocking JSON logging to standard output.

    :param process: process name to add to each line.
    :param level: lowest level that is written.
    """

    def format_dropped(count: int) -> str:
        metrics.LOG_LINES_DROPPED.inc(count)
        fields = {
            "event": events.LINES_DROPPED.number,
            "name": events.LINES_DROPPED.name,
            "count": count,
        }
        return json.dumps({"level": events.LINES_DROPPED.level, "process": process, **fields})

    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor, time.monotonic, format_dropped)

    def write(message: Any) -> None:
        urgent = message.record["level"].no >= logger.level("WARNING").no
        writer.write(events.json_line(message, process), urgent)

    logger.remove()
    logger.add(write, level=level, format="{message}")
