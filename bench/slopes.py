"""Measures the slopes that docs/CAPACITY.md is worked out from.

`python -m bench.slopes` writes bench/figures/slopes.json. Processor times are of this machine;
compare them only within one run.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from apricotvale import events
from apricotvale.codec import decode, encode
from apricotvale.consensus.disk import FolderDisk
from apricotvale.consensus.messages import Entry, EntryKind
from apricotvale.consensus.storage import EntriesRecord, Storage
from apricotvale.control import calls
from apricotvale.control import commands as c
from apricotvale.control.configuration import ConfigDocument
from apricotvale.control.state import ControlState
from apricotvale.daemons.link import ControlClient, ControlLink
from apricotvale.membership.roster import Kind, Member, RosterDelta, RosterView
from apricotvale.requests.claims import Claim, Outcome, OutcomeRecord
from apricotvale.requests.routing import Router
from apricotvale.samples.ledger import Fill, Segment, StepSpec
from apricotvale.settings.schema import Routing
from bench import fleet
from scripts.demo import ROOT, System, address
from tests.operations import apply_config
from tests.replicas import TIMING, Replicas

FIGURES = Path(__file__).parent / "figures" / "slopes.json"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def timed(work, count: int) -> float:
    """Return the processor time of one call in microseconds, the best of three rounds."""
    best = float("inf")
    for _ in range(3):
        started = time.process_time()
        for _ in range(count):
            work()
        best = min(best, time.process_time() - started)
    return round(best / count * 1e6, 2)


def member(at: int) -> Member:
    return Member(
        f"lm-pool-{at}",
        f"{at:032x}",
        Kind.ENGINE,
        f"10.0.{at // 250}.{at % 250}:8080",
        f"domain-{at % 5}",
        "lm-pool",
        {"call-summary": 3, "callback-script": 4},
        True,
    )


def entry_of(index: int, command) -> Entry:
    return Entry(index, 1, index, EntryKind.COMMAND, encode(command, c.Command))


def routing() -> dict:
    """Decision time against the number of candidates."""
    found = {}
    for count in (5, 63, 630):
        router = Router("domain-0", Routing(), random.Random(1))
        members = [member(at) for at in range(count)]
        found[str(count)] = timed(lambda r=router, m=members: r.choose(m, 1.0), 2000)
    members = [member(at) for at in range(630)]
    router = Router("domain-0", Routing(), random.Random(1))
    found["630 with affinity"] = timed(lambda: router.choose(members, 1.0, "prompt"), 200)
    return found


def messages() -> dict:
    """Bytes and codec time of the messages of control."""
    text = (ROOT / "examples/terugbel/base.toml").read_text()
    sync = calls.Sync(member(1), 100, 3, 3, False, 1000)
    idle = calls.SyncReply(RosterDelta(100), "control-1", confirmed=True)
    moved = calls.SyncReply(RosterDelta(101, [member(2)]), "control-1", confirmed=True)
    change = calls.SyncReply(RosterDelta(100), "control-1", 4, ConfigDocument(text), confirmed=True)
    full = calls.SyncReply(
        RosterDelta(100, [member(at) for at in range(1050)], full=True), "control-1"
    )
    found = {}
    for name, message, kind in (
        ("sync", sync, calls.CallRequest),
        ("idle reply", idle, calls.CallReply),
        ("reply with one member", moved, calls.CallReply),
        ("reply with a configuration", change, calls.CallReply),
        ("reply with 1050 members", full, calls.CallReply),
    ):
        data = encode(message, kind)
        count = 20 if len(data) > 50_000 else 1000
        found[name] = {
            "bytes": len(data),
            "encode_us": timed(lambda m=message, k=kind: encode(m, k), count),
            "decode_us": timed(lambda d=data, k=kind: decode(d, k), count),
        }
    return found


def state() -> dict:
    """Apply time, memory and snapshot bytes for each kind of state."""
    outcome = Outcome(200, "application/json", b"x" * 256)

    def claims(at):
        claim = Claim(f"key-{at}", "d" * 32, "queue-app-1", "i" * 32, 1, f"entry-1/{at}")
        return c.MakeClaim(claim, 10**6, 10**9)

    def outcomes(at):
        return c.RecordOutcomes([OutcomeRecord(f"key-{at}", 1, outcome)])

    def members(at):
        return c.Announce([member(at)])

    def samples(at):
        if at == 0:
            spec = StepSpec("t", 0, ["p" * 512] * 256, 8, 1, 512, False)
            return c.OpenStep(spec, "entry-1", "i" * 32, 10**9)
        fill = Fill(at - 1, f"t/0/{at}/abc", "lm-pool-1", [Segment(0, 3), Segment(9, 4)], 500)
        return c.FillSlots("t", 0, [fill])

    found = {}
    for name, make, count in (
        ("member", members, 1000),
        ("claim", claims, 2000),
        ("sample", samples, 2000),
    ):
        machine = ControlState()
        entries = [entry_of(at + 1, make(at)) for at in range(count)]
        tracemalloc.start()
        started = time.process_time()
        for entry in entries:
            machine.apply(entry)
        apply_us = (time.process_time() - started) / count * 1e6
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.process_time()
        content = machine.dump()
        dump_s = time.process_time() - started
        found[name] = {
            "apply_us_traced": round(apply_us, 1),
            "memory_bytes": round(held / count),
            "snapshot_bytes": round(len(content) / count),
            "dump_us": round(dump_s / count * 1e6, 2),
            "log_bytes": round(sum(len(entry.payload) for entry in entries) / count),
        }
    found["outcome"] = {"log_bytes": len(entry_of(1, outcomes(1)).payload)}
    view = RosterView()
    tracemalloc.start()
    delta = decode(
        encode(RosterDelta(5, [member(at) for at in range(1050)], full=True), RosterDelta),
        RosterDelta,
    )
    view.apply(delta)
    found["view_member_bytes"] = round(tracemalloc.get_traced_memory()[0] / 1050)
    tracemalloc.stop()
    return found


def commits() -> dict:
    """Group commit against one sync for each entry, on the same disk."""
    payload = b"x" * 200
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        disk = FolderDisk(Path(folder))
        storage = Storage(disk, "bench")
        started = time.perf_counter()
        for at in range(200):
            storage.append([EntriesRecord([Entry(at + 1, 1, 0, EntryKind.COMMAND, payload)])])
        single = (time.perf_counter() - started) / 200
        started = time.perf_counter()
        for batch in range(20):
            entries = [
                Entry(200 + batch * 256 + at + 1, 1, 0, EntryKind.COMMAND, payload)
                for at in range(256)
            ]
            storage.append([EntriesRecord(entries)])
        grouped = (time.perf_counter() - started) / (20 * 256)
        started = time.perf_counter()
        Storage(disk, "bench")
        load_s = time.perf_counter() - started
    return {
        "single_us": round(single * 1e6, 1),
        "grouped_us": round(grouped * 1e6, 1),
        "ratio": round(single / grouped, 1),
        "load_us_an_entry": round(load_s / 5320 * 1e6, 2),
    }


async def drive(url: str, count: int, workers: int, body: bytes | None = None) -> HdrHistogram:
    """Send requests from workers in closed loops; return latencies in microseconds."""
    latency = HdrHistogram(1, 60_000_000, 3)
    left = iter(range(count))

    async def work(session):
        for _ in left:
            started = time.perf_counter()
            method = "POST" if body else "GET"
            async with session.request(method, url, data=body) as response:
                await response.read()
                if response.status != 200:
                    raise SystemExit(f"{url} answered {response.status}")
            latency.record_value(int((time.perf_counter() - started) * 1e6))

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await asyncio.gather(*(work(session) for _ in range(workers)))
    return latency


def measure(system: System, names: list[str], url: str, count: int, body: bytes | None = None):
    """Return latency and processor time a request of each named process."""
    before = {name: cpu_s(system.processes[name].pid) for name in names}
    started = time.perf_counter()
    latency = asyncio.run(drive(url, count, 8, body))
    elapsed = time.perf_counter() - started
    return {
        "requests_per_s": round(count / elapsed),
        "p50_us": latency.get_value_at_percentile(50),
        "p99_us": latency.get_value_at_percentile(99),
        "cpu_us": {
            name: round((cpu_s(system.processes[name].pid) - before[name]) / count * 1e6)
            for name in names
        },
    }


def live() -> dict:
    """Processor time of the daemons at work and idle, beside the bare proxy."""
    found: dict = {}
    with tempfile.TemporaryDirectory() as folder:
        system = System("terugbel", Path(folder))
        system.start_control()
        system.start_service("service", 1, "gent-a", "queue-app")
        system.start_engine(1, "gent-a", "lm-pool", ["call-summary", "callback-script"], "")
        system.start_member("entry", "entry-1", "gent-a", {})
        base = system.example / "base.toml"
        system.run("config", "apply", str(base), "--control", system.control)
        system.wait_ready(list(system.addresses))
        target = system.audits[0].removeprefix("http://").removesuffix("/runs")
        proxy = address()
        system.processes["proxy"] = subprocess.Popen(
            [sys.executable, "-m", "bench.proxy", proxy, target], cwd=ROOT
        )
        time.sleep(1.5)
        entry = f"http://{system.addresses['entry-1']}"
        system.processes["service"] = system.processes["queue-app-standin-1"]
        found["bare proxy"] = measure(system, ["proxy", "service"], f"http://{proxy}/queues", 4000)
        path = f"{entry}/services/queue-app/queues"
        names = ["entry-1", "queue-app-1", "service"]
        found["entry and sidecar"] = measure(system, names, path, 4000)
        prompt = {"model": "call-summary", "prompt": "p", "max_tokens": 128}
        names = ["entry-1", "lm-pool-1", "engine-1"]
        url = f"{entry}/v1/completions"
        for stream in (False, True):
            body = json.dumps({**prompt, "stream": stream}).encode()
            name = "128 tokens streamed" if stream else "128 tokens whole"
            found[name] = measure(system, names, url, 100, body)
        found["idle"] = idle(system)
        system.processes["proxy"].terminate()
        system.stop()
    hop = found["bare proxy"]["cpu_us"]["proxy"]
    both = found["entry and sidecar"]["cpu_us"]
    found["ratio_to_bare_proxy"] = round((both["entry-1"] + both["queue-app-1"]) / hop, 2)
    return found


def idle(system: System, seconds: float = 10.0) -> dict:
    """Return share of a core and memory of idle processes."""
    names = [*system.replicas, "entry-1", "queue-app-1", "lm-pool-1"]
    before = {name: cpu_s(system.processes[name].pid) for name in names}
    time.sleep(seconds)
    return {
        name: {
            "core_percent": round(
                (cpu_s(system.processes[name].pid) - before[name]) / seconds * 100, 2
            ),
            "memory_mb": round(memory_mb(system.processes[name].pid), 1),
        }
        for name in names
    }


async def watch(system: System, count: int) -> dict:
    """Members that only sync, and a configuration change that reaches them all."""
    links, tasks = [], []
    in_force = {}

    def join(at):
        name = f"member-{at}"

        def on_reply(reply):
            if reply.document is not None:
                in_force[name] = reply.revision

        described = Member(name, f"{at:032x}", Kind.SERVICE, "10.0.0.1:1", "gent-a", "queue-app")
        link = ControlLink(
            system.control.split(","), lambda: described, lambda: in_force.get(name, 0), on_reply
        )
        link.sync_ms = 1000
        return link

    for at in range(count):
        links.append(join(at))
        tasks.append(asyncio.create_task(links[-1].run()))
        await asyncio.sleep(0.01)
    await asyncio.gather(*(link.confirmed.wait() for link in links))
    leader = (
        await ControlClient(system.control.split(",")).call(
            calls.Query("group"), time.monotonic() + 10
        )
    ).leader
    pid = system.processes[leader].pid
    await asyncio.sleep(2.0)
    before = cpu_s(pid)
    await asyncio.sleep(8.0)
    share = (cpu_s(pid) - before) / 8.0
    client = ControlClient(system.control.split(","))
    base = (system.example / "base.toml").read_text()
    revision = max(in_force.values())
    before, started = cpu_s(pid), time.monotonic()
    command = c.ApplyConfig("bench", revision, ConfigDocument(base + "# changed\n"), "bench")
    await client.propose(command, started + 10)
    while min(in_force.values()) <= revision:
        await asyncio.sleep(0.005)
    in_force_s = time.monotonic() - started
    await asyncio.sleep(0.5)
    change_cpu = cpu_s(pid) - before - share * (time.monotonic() - started)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    client.close()
    return {
        "leader_core_percent": round(share * 100, 2),
        "change_in_force_everywhere_s": round(in_force_s, 3),
        "leader_cpu_ms_a_change": round(change_cpu * 1000),
        "leader_memory_mb": round(memory_mb(pid), 1),
    }


def watchers() -> dict:
    """The leader's cost against the number of members."""
    found = {}
    for count in (10, 100, 300):
        with tempfile.TemporaryDirectory() as folder:
            system = System("terugbel", Path(folder))
            system.start_control()
            base = system.example / "base.toml"
            system.run("config", "apply", str(base), "--control", system.control)
            found[str(count)] = asyncio.run(watch(system, count))
            system.stop()
    return found


def failover() -> dict:
    """Time from the leader's crash to the next accepted write, in virtual time, over 30 seeds."""
    taken = []
    for seed in range(30):
        group = Replicas(seed=seed)
        group.run_until(lambda g=group: g.leader() is not None)
        group.run(0.5 + seed * 0.013)
        started = group.now
        group.crash(group.leader(), down_s=30.0)
        call = group.call(apply_config("op", 0, "text"))
        group.run_until(lambda c=call: c.result is not None)
        taken.append((call.finished - started) / TIMING.election_s)
    taken.sort()
    return {
        "unit": "election timeouts",
        "p50": round(taken[len(taken) // 2], 2),
        "p99": round(taken[-1], 2),
    }


def main() -> None:
    events.configure("bench", level="CRITICAL")
    parts = {
        "routing_us": routing,
        "messages": messages,
        "state": state,
        "commits": commits,
        "live": live,
        "watchers": watchers,
        "failover": failover,
        "fleet": fleet.figures,
    }
    found = json.loads(FIGURES.read_text()) if FIGURES.exists() else {}
    for name in sys.argv[1:] or parts:
        found[name] = parts[name]()
    FIGURES.write_text(json.dumps(found, indent=2) + "\n")
    print(json.dumps(found, indent=2))


if __name__ == "__main__":
    main()
