"""What jobs, results and heartbeats cost a control replica, against how many there are."""

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

# A step of letter 1 is 2,048 samples; a prompt of 271 tokens is about 1 KB of text, a sample 2 KB.
ITEMS = 256
PROMPT = b"p" * 1_024
SAMPLE = b"s" * 2_048
UPSTREAMS = 1_000
ENTRIES = 30


def job(at: int) -> Job:
    items = tuple(
        Item(f"i-{at}-{n}", "/run/", {"Model": "m"}, PROMPT, 512, 256, f"g-{n // 4}")
        for n in range(ITEMS)
    )
    return Job(f"j-{at}", "desk.example", "/run/", items, at, "m", 1, 16)


def upstream(at: int) -> Upstream:
    place = f"10.0.{at // 250}.{at % 250}:80"
    return Upstream(f"e-{at}", 1, 1, "lm", place, "a", 8, Standing.READY, "v1", {"m": 3})


def cost(commands: list[c.Command]) -> dict[str, float]:
    """Return bytes in the log and in memory, and processor time, of one command of each kind."""
    machine = FleetState()
    entries = [
        Entry(at + 1, 1, at, EntryKind.COMMAND, encode(command, c.Command))
        for at, command in enumerate(commands)
    ]
    tracemalloc.start()
    for entry in entries:
        machine.apply(entry)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    again = FleetState()
    started = time.process_time()
    for entry in entries:
        again.apply(entry)
    taken = time.process_time() - started
    started = time.process_time()
    content = machine.dump()
    dumped = time.process_time() - started
    count = len(commands)
    return {
        "log_bytes": round(sum(len(entry.payload) for entry in entries) / count),
        "memory_bytes": round(held / count),
        "apply_us": round(taken / count * 1e6, 1),
        "snapshot_bytes": round(len(content) / count),
        "dump_us": round(dumped / count * 1e6, 1),
    }


def heartbeat_us() -> float:
    """Return the processor time of one heartbeat that says nothing new, without the HTTP server."""
    machine = FleetState()
    for at in range(UPSTREAMS):
        machine.execute(c.Announce(upstream(at)), at + 1)
    said = [encode(calls.Heartbeat(upstream(at)), calls.FleetRequest) for at in range(UPSTREAMS)]
    started = time.process_time()
    for body in said:
        heard = decode(body, calls.FleetRequest).upstream
        assert machine.registry.is_current(heard)
        assert not machine.registry.is_news(heard)
    return round((time.process_time() - started) / UPSTREAMS * 1e6, 1)


def figures() -> dict[str, object]:
    """Return all of them; those of a job are for one with `ITEMS` items."""
    accepted = [c.AcceptJob(job(at)) for at in range(ENTRIES)]
    listed = [
        c.ListResult(f"j-{at}", Result(f"i-{at}-{n}", ItemState.COMPLETED, SAMPLE))
        for at in range(ENTRIES)
        for n in range(ITEMS)
    ]
    both = cost([*accepted, *listed])
    return {
        "items_a_job": ITEMS,
        "job": cost(accepted),
        "job_and_results": both,
        "upstream": cost([c.Announce(upstream(at)) for at in range(UPSTREAMS)]),
        "heartbeat_us": heartbeat_us(),
    }
