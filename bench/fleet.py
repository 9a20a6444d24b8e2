"""Costs of jobs, results, upstreams and heartbeats at a control replica."""

from __future__ import annotations

import time
import tracemalloc

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import Entry, EntryKind
from apricotvale.discovery import Standing, Upstream
from apricotvale.fleet import calls
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Item, ItemState, Job, Result

# The system is designed for steps of 2,048 samples. A prompt of 271 tokens is about 1 KB of text,
# a sample 2 KB.
ITEMS_PER_JOB = 256
PROMPT = b"p" * 1_024
SAMPLE = b"s" * 2_048
UPSTREAMS = 1_000
JOBS = 30


def make_job(index: int) -> Job:
    items = tuple(
        Item(f"i-{index}-{item}", "/run/", {"Model": "m"}, PROMPT, 512, 256, f"g-{item // 4}")
        for item in range(ITEMS_PER_JOB)
    )
    return Job(f"j-{index}", "desk.example", "/run/", items, index, "m", 1, 16)


def make_upstream(index: int) -> Upstream:
    address = f"10.0.{index // 250}.{index % 250}:80"
    return Upstream(f"e-{index}", 1, 1, "lm", address, "a", 8, Standing.READY, "v1", {"m": 3})


def measure_commands(commands: list[c.Command]) -> dict[str, float]:
    """Return the log, memory and snapshot bytes and the processor times per command."""
    state = FleetState()
    entries = [
        Entry(index + 1, 1, index, EntryKind.COMMAND, encode(command, c.Command))
        for index, command in enumerate(commands)
    ]
    tracemalloc.start()
    for entry in entries:
        state.apply(entry)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    timed_state = FleetState()
    started = time.process_time()
    for entry in entries:
        timed_state.apply(entry)
    apply_s = time.process_time() - started
    started = time.process_time()
    content = state.dump()
    dump_s = time.process_time() - started
    count = len(commands)
    return {
        "log_bytes": round(sum(len(entry.payload) for entry in entries) / count),
        "memory_bytes": round(memory_bytes / count),
        "apply_us": round(apply_s / count * 1e6, 1),
        "snapshot_bytes": round(len(content) / count),
        "dump_us": round(dump_s / count * 1e6, 1),
    }


def measure_heartbeat_us() -> float:
    """Return the processor time of a heartbeat without changes, excluding the HTTP server."""
    state = FleetState()
    for index in range(UPSTREAMS):
        state.execute(c.Announce(make_upstream(index)), index + 1)
    bodies = [
        encode(calls.Heartbeat(make_upstream(index)), calls.FleetRequest)
        for index in range(UPSTREAMS)
    ]
    started = time.process_time()
    for body in bodies:
        announced = decode(body, calls.FleetRequest).upstream
        assert state.registry.is_current(announced)
        assert not state.registry.is_change(announced)
    return round((time.process_time() - started) / UPSTREAMS * 1e6, 1)


def measure_fleet() -> dict[str, object]:
    """Return all costs; those of jobs are for jobs of `ITEMS_PER_JOB` items."""
    jobs = [c.AcceptJob(make_job(index)) for index in range(JOBS)]
    results = [
        c.ListResult(f"j-{index}", Result(f"i-{index}-{item}", ItemState.COMPLETED, SAMPLE))
        for index in range(JOBS)
        for item in range(ITEMS_PER_JOB)
    ]
    jobs_and_results = measure_commands([*jobs, *results])
    return {
        "items_a_job": ITEMS_PER_JOB,
        "job": measure_commands(jobs),
        "job_and_results": jobs_and_results,
        "upstream": measure_commands(
            [c.Announce(make_upstream(index)) for index in range(UPSTREAMS)]
        ),
        "heartbeat_us": measure_heartbeat_us(),
    }
