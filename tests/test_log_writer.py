"""Log lines are bounded in number and never wait for their reader."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest

from apricotvale.log_writer import BURST_LINES, LINES_PER_S, MAX_BUFFER_BYTES, LineWriter


class Sink:
    """A descriptor's reader, and a clock."""

    def __init__(self):
        self.now = 0.0
        self.data = bytearray()
        self.room = 10**9

    def write(self, descriptor, data):
        if self.room <= 0:
            raise BlockingIOError
        taken = min(self.room, len(data))
        self.room -= taken
        self.data += data[:taken]
        return taken

    def lines(self):
        return self.data.decode().splitlines()


@pytest.fixture
def sink():
    return Sink()


@pytest.fixture
def writer(sink):
    return LineWriter(1, lambda: sink.now, lambda count: f"dropped {count}", sink.write)


def test_a_burst_is_bounded_and_says_what_was_dropped(sink, writer):
    for number in range(10_000):
        writer.write(f"line {number}")
    assert len(sink.lines()) == BURST_LINES
    sink.now = 1.0
    writer.write("after")
    assert sink.lines()[-2:] == [f"dropped {10_000 - int(BURST_LINES)}", "after"]
    for _ in range(10_000):
        writer.write("more")
    assert len(sink.lines()) <= BURST_LINES + LINES_PER_S + 2


def test_urgent_lines_are_not_crowded_out(sink, writer):
    for _ in range(10_000):
        writer.write("line")
    writer.write("lost control", urgent=True)
    assert sink.lines()[-1] == "lost control"


def test_a_reader_that_stops_costs_lines_but_no_waiting(sink, writer):
    sink.room = 100
    for number in range(700):
        writer.write(f"{number:01000d}")
    assert len(writer.buffer) <= MAX_BUFFER_BYTES
    assert writer.dropped_total > 0
    sink.room = 10**9
    sink.now = 10.0
    writer.write("back")
    lines = sink.lines()
    assert lines[-1] == "back" and lines[-2].startswith("dropped")
    assert all(len(line) == 1000 for line in lines[:-2])


def test_a_full_pipe_does_not_block():
    reader, descriptor = os.pipe()
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor, lambda: 0.0, str)
    for _ in range(700):
        writer.write("x" * 1000)
    assert writer.dropped_total > 0
    os.close(reader)
    writer.write("nobody reads")
    os.close(descriptor)


def test_a_process_tells_of_every_line_it_dropped():
    script = (
        "import time\n"
        "from apricotvale import events\n"
        "from apricotvale.log_writer import configure_bounded\n"
        "configure_bounded('edge-1')\n"
        "for _ in range(20000): events.emit(events.ROUTED, request='r')\n"
        "time.sleep(0.1)\n"
        "events.emit(events.ROUTED, request='last')\n"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, check=True)
    lines = [json.loads(line) for line in done.stdout.splitlines()]
    told = [line["count"] for line in lines if line["name"] == "lines-dropped"]
    assert lines[-1]["request"] == "last" and lines[-1]["process"] == "edge-1"
    assert told and sum(told) + len(lines) - len(told) == 20_001
