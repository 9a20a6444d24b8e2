"""Log output is rate-limited and never blocks on a slow reader."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest

from apricotvale.log_writer import BURST_LINES, LINES_PER_S, MAX_BUFFER_BYTES, LineWriter


class Sink:
    """A fake descriptor of limited capacity, with a fake clock."""

    def __init__(self):
        self.now = 0.0
        self.data = bytearray()
        self.free_bytes = 10**9

    def write(self, descriptor, data):
        if self.free_bytes <= 0:
            raise BlockingIOError
        written = min(self.free_bytes, len(data))
        self.free_bytes -= written
        self.data += data[:written]
        return written

    def lines(self):
        return self.data.decode().splitlines()


@pytest.fixture
def sink():
    return Sink()


@pytest.fixture
def writer(sink):
    return LineWriter(1, lambda: sink.now, lambda count: f"dropped {count}", sink.write)


def test_burst_is_limited_and_dropped_lines_are_reported(sink, writer):
    for number in range(10_000):
        writer.write(f"line {number}")
    assert len(sink.lines()) == BURST_LINES
    sink.now = 1.0
    writer.write("after")
    assert sink.lines()[-2:] == [f"dropped {10_000 - int(BURST_LINES)}", "after"]
    for _ in range(10_000):
        writer.write("more")
    assert len(sink.lines()) <= BURST_LINES + LINES_PER_S + 2


def test_urgent_lines_have_their_own_limit(sink, writer):
    for _ in range(10_000):
        writer.write("line")
    writer.write("lost control", urgent=True)
    assert sink.lines()[-1] == "lost control"


def test_stalled_reader_causes_drops_without_blocking(sink, writer):
    sink.free_bytes = 100
    for number in range(700):
        writer.write(f"{number:01000d}")
    assert len(writer.buffer) <= MAX_BUFFER_BYTES
    assert writer.dropped_total > 0
    sink.free_bytes = 10**9
    sink.now = 10.0
    writer.write("back")
    lines = sink.lines()
    assert lines[-1] == "back" and lines[-2].startswith("dropped")
    assert all(len(line) == 1000 for line in lines[:-2])


def test_full_pipe_does_not_block():
    reader, descriptor = os.pipe()
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor, lambda: 0.0, str)
    for _ in range(700):
        writer.write("x" * 1000)
    assert writer.dropped_total > 0
    os.close(reader)
    writer.write("no reader")
    os.close(descriptor)


def test_process_reports_every_dropped_line():
    script = (
        "import time\n"
        "from apricotvale import events\n"
        "from apricotvale.log_writer import configure_bounded\n"
        "configure_bounded('edge-1')\n"
        "for _ in range(20000): events.emit(events.ROUTED, request='r')\n"
        "time.sleep(0.1)\n"
        "events.emit(events.ROUTED, request='last')\n"
    )
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, check=True)
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    dropped_counts = [line["count"] for line in lines if line["name"] == "lines-dropped"]
    assert lines[-1]["request"] == "last" and lines[-1]["process"] == "edge-1"
    assert dropped_counts and sum(dropped_counts) + len(lines) - len(dropped_counts) == 20_001
