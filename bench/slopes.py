"""Measures the unit costs from which docs/CAPACITY.md is calculated.

`python -m bench.slopes` writes bench/figures/slopes.json. Processor times depend on the machine;
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
from apricotvale.settings.routing import Routing
from bench import fleet
from scripts.demo import ROOT, System
from scripts.ports import free_address
from tests.operations import apply_config
from tests.replicas import TIMING, Replicas

RESULTS_FILE = Path(__file__).parent / "figures" / "slopes.json"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_us_per_call(function, count: int) -> float:
    """Return the processor time per call in microseconds, the best of three rounds."""
    best = float("inf")
    for _ in range(3):
        started = time.process_time()
        for _ in range(count):
            function()
        best = min(best, time.process_time() - started)
    return round(best / count * 1e6, 2)


def make_member(index: int) -> Member:
    return Member(
        f"lm-pool-{index}",
        f"{index:032x}",
        Kind.ENGINE,
        f"10.0.{index // 250}.{index % 250}:8080",
        f"domain-{index % 5}",
        "lm-pool",
        {"call-summary": 3, "callback-script": 4},
        True,
    )


def make_entry(index: int, command) -> Entry:
    return Entry(index, 1, index, EntryKind.COMMAND, encode(command, c.Command))


def measure_routing() -> dict:
    """Measure the time of a routing decision by the number of candidates."""
    results = {}
    for count in (5, 63, 630):
        router = Router("domain-0", Routing(), random.Random(1))
        members = [make_member(index) for index in range(count)]
        results[str(count)] = cpu_us_per_call(lambda r=router, m=members: r.choose(m, 1.0), 2000)
    members = [make_member(index) for index in range(630)]
    router = Router("domain-0", Routing(), random.Random(1))
    results["630 with affinity"] = cpu_us_per_call(
        lambda: router.choose(members, 1.0, "prompt"), 200
    )
    return results


def measure_messages() -> dict:
    """Measure the size and codec time of control messages."""
    text = (ROOT / "examples/terugbel/base.toml").read_text()
    sync = calls.Sync(make_member(1), 100, 3, 3, False, 1000)
    unchanged = calls.SyncReply(RosterDelta(100), "control-1", confirmed=True)
    one_member = calls.SyncReply(RosterDelta(101, [make_member(2)]), "control-1", confirmed=True)
    configuration = calls.SyncReply(
        RosterDelta(100), "control-1", 4, ConfigDocument(text), confirmed=True
    )
    all_members = calls.SyncReply(
        RosterDelta(100, [make_member(index) for index in range(1050)], full=True), "control-1"
    )
    results = {}
    for name, message, kind in (
        ("sync", sync, calls.CallRequest),
        ("idle reply", unchanged, calls.CallReply),
        ("reply with one member", one_member, calls.CallReply),
        ("reply with a configuration", configuration, calls.CallReply),
        ("reply with 1050 members", all_members, calls.CallReply),
    ):
        data = encode(message, kind)
        count = 20 if len(data) > 50_000 else 1000
        results[name] = {
            "bytes": len(data),
            "encode_us": cpu_us_per_call(lambda m=message, k=kind: encode(m, k), count),
            "decode_us": cpu_us_per_call(lambda d=data, k=kind: decode(d, k), count),
        }
    return results


def measure_state() -> dict:
    """Measure apply time, memory, snapshot and log bytes by the kind of state."""
    outcome = Outcome(200, "application/json", b"x" * 256)

    def make_claim(index):
        claim = Claim(f"key-{index}", "d" * 32, "queue-app-1", "i" * 32, 1, f"entry-1/{index}")
        return c.MakeClaim(claim, 10**6, 10**9)

    def make_outcomes(index):
        return c.RecordOutcomes([OutcomeRecord(f"key-{index}", 1, outcome)])

    def make_announcement(index):
        return c.Announce([make_member(index)])

    def make_sample(index):
        if index == 0:
            spec = StepSpec("t", 0, ["p" * 512] * 256, 8, 1, 512, False)
            return c.OpenStep(spec, "entry-1", "i" * 32, 10**9)
        fill = Fill(index - 1, f"t/0/{index}/abc", "lm-pool-1", [Segment(0, 3), Segment(9, 4)], 500)
        return c.FillSlots("t", 0, [fill])

    results = {}
    for name, make_command, count in (
        ("member", make_announcement, 1000),
        ("claim", make_claim, 2000),
        ("sample", make_sample, 2000),
    ):
        control_state = ControlState()
        entries = [make_entry(index + 1, make_command(index)) for index in range(count)]
        tracemalloc.start()
        started = time.process_time()
        for entry in entries:
            control_state.apply(entry)
        apply_us = (time.process_time() - started) / count * 1e6
        memory_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.process_time()
        content = control_state.dump()
        dump_s = time.process_time() - started
        results[name] = {
            "apply_us_traced": round(apply_us, 1),
            "memory_bytes": round(memory_bytes / count),
            "snapshot_bytes": round(len(content) / count),
            "dump_us": round(dump_s / count * 1e6, 2),
            "log_bytes": round(sum(len(entry.payload) for entry in entries) / count),
        }
    results["outcome"] = {"log_bytes": len(make_entry(1, make_outcomes(1)).payload)}
    view = RosterView()
    tracemalloc.start()
    delta = decode(
        encode(
            RosterDelta(5, [make_member(index) for index in range(1050)], full=True), RosterDelta
        ),
        RosterDelta,
    )
    view.apply(delta)
    results["view_member_bytes"] = round(tracemalloc.get_traced_memory()[0] / 1050)
    tracemalloc.stop()
    return results


def measure_commits() -> dict:
    """Compare group commit with one sync per entry, on the same disk."""
    payload = b"x" * 200
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        disk = FolderDisk(Path(folder))
        storage = Storage(disk, "bench")
        started = time.perf_counter()
        for index in range(200):
            storage.append([EntriesRecord([Entry(index + 1, 1, 0, EntryKind.COMMAND, payload)])])
        single_s = (time.perf_counter() - started) / 200
        started = time.perf_counter()
        for batch in range(20):
            entries = [
                Entry(200 + batch * 256 + index + 1, 1, 0, EntryKind.COMMAND, payload)
                for index in range(256)
            ]
            storage.append([EntriesRecord(entries)])
        grouped_s = (time.perf_counter() - started) / (20 * 256)
        # Loads 5,320 entries: 200 single ones and 20 batches of 256.
        started = time.perf_counter()
        Storage(disk, "bench")
        load_s = time.perf_counter() - started
    return {
        "single_us": round(single_s * 1e6, 1),
        "grouped_us": round(grouped_s * 1e6, 1),
        "ratio": round(single_s / grouped_s, 1),
        "load_us_an_entry": round(load_s / 5320 * 1e6, 2),
    }


async def send_requests(
    url: str, count: int, workers: int, body: bytes | None = None
) -> HdrHistogram:
    """Send requests from closed-loop workers; return the latencies in microseconds."""
    latency = HdrHistogram(1, 60_000_000, 3)
    remaining = iter(range(count))

    async def run_worker(session):
        for _ in remaining:
            started = time.perf_counter()
            method = "POST" if body else "GET"
            async with session.request(method, url, data=body) as response:
                await response.read()
                if response.status != 200:
                    raise SystemExit(f"{url} answered {response.status}")
            latency.record_value(int((time.perf_counter() - started) * 1e6))

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await asyncio.gather(*(run_worker(session) for _ in range(workers)))
    return latency


def measure_requests(
    system: System, names: list[str], url: str, count: int, body: bytes | None = None
):
    """Return the latency, and the processor time per request of each named process."""
    before = {name: cpu_s(system.processes[name].pid) for name in names}
    started = time.perf_counter()
    latency = asyncio.run(send_requests(url, count, 8, body))
    elapsed_s = time.perf_counter() - started
    return {
        "requests_per_s": round(count / elapsed_s),
        "p50_us": latency.get_value_at_percentile(50),
        "p99_us": latency.get_value_at_percentile(99),
        "cpu_us": {
            name: round((cpu_s(system.processes[name].pid) - before[name]) / count * 1e6)
            for name in names
        },
    }


def measure_daemons() -> dict:
    """Measure the daemons under load and idle, and the bare proxy for comparison."""
    results: dict = {}
    with tempfile.TemporaryDirectory() as folder:
        system = System("terugbel", Path(folder))
        system.start_control()
        system.start_service("service", 1, "gent-a", "queue-app")
        system.start_engine(1, "gent-a", "lm-pool", ["call-summary", "callback-script"], "")
        system.start_member("entry", "entry-1", "gent-a", {})
        base = system.example / "base.toml"
        system.run("config", "apply", str(base), "--control", system.control)
        system.wait_ready(list(system.addresses))
        target = system.run_count_urls[0].removeprefix("http://").removesuffix("/runs")
        proxy = free_address()
        system.processes["proxy"] = subprocess.Popen(
            [sys.executable, "-m", "bench.proxy", proxy, target], cwd=ROOT
        )
        time.sleep(1.5)
        entry = f"http://{system.addresses['entry-1']}"
        system.processes["service"] = system.processes["queue-app-standin-1"]
        results["bare proxy"] = measure_requests(
            system, ["proxy", "service"], f"http://{proxy}/queues", 4000
        )
        path = f"{entry}/services/queue-app/queues"
        names = ["entry-1", "queue-app-1", "service"]
        results["entry and sidecar"] = measure_requests(system, names, path, 4000)
        prompt = {"model": "call-summary", "prompt": "p", "max_tokens": 128}
        names = ["entry-1", "lm-pool-1", "engine-1"]
        url = f"{entry}/v1/completions"
        for stream in (False, True):
            body = json.dumps({**prompt, "stream": stream}).encode()
            name = "128 tokens streamed" if stream else "128 tokens whole"
            results[name] = measure_requests(system, names, url, 100, body)
        results["idle"] = measure_idle(system)
        system.processes["proxy"].terminate()
        system.stop()
    proxy_us = results["bare proxy"]["cpu_us"]["proxy"]
    product_us = results["entry and sidecar"]["cpu_us"]
    results["ratio_to_bare_proxy"] = round(
        (product_us["entry-1"] + product_us["queue-app-1"]) / proxy_us, 2
    )
    return results


def measure_idle(system: System, seconds: float = 10.0) -> dict:
    """Return the share of a core and the memory of each process without load."""
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


async def measure_members(system: System, count: int) -> dict:
    """Measure the leader with members that only sync, then during a configuration change."""
    links, tasks = [], []
    in_force = {}

    def make_link(index):
        name = f"member-{index}"

        def on_reply(reply):
            if reply.document is not None:
                in_force[name] = reply.revision

        member = Member(name, f"{index:032x}", Kind.SERVICE, "10.0.0.1:1", "gent-a", "queue-app")
        link = ControlLink(
            system.control.split(","), lambda: member, lambda: in_force.get(name, 0), on_reply
        )
        link.sync_ms = 1000
        return link

    for index in range(count):
        links.append(make_link(index))
        tasks.append(asyncio.create_task(links[-1].run()))
        await asyncio.sleep(0.01)
    await asyncio.gather(*(link.confirmed.wait() for link in links))
    client = ControlClient(system.control.split(","))
    leader = (await client.call(calls.Query("group"), time.monotonic() + 10)).leader
    pid = system.processes[leader].pid
    await asyncio.sleep(2.0)
    before = cpu_s(pid)
    await asyncio.sleep(8.0)
    core_share = (cpu_s(pid) - before) / 8.0
    base = (system.example / "base.toml").read_text()
    revision = max(in_force.values())
    before, started = cpu_s(pid), time.monotonic()
    command = c.ApplyConfig("bench", revision, ConfigDocument(base + "# changed\n"), "bench")
    await client.propose(command, started + 10)
    while min(in_force.values()) <= revision:
        await asyncio.sleep(0.005)
    in_force_s = time.monotonic() - started
    await asyncio.sleep(0.5)
    change_cpu_s = cpu_s(pid) - before - core_share * (time.monotonic() - started)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    client.close()
    return {
        "leader_core_percent": round(core_share * 100, 2),
        "change_in_force_everywhere_s": round(in_force_s, 3),
        "leader_cpu_ms_a_change": round(change_cpu_s * 1000),
        "leader_memory_mb": round(memory_mb(pid), 1),
    }


def measure_member_counts() -> dict:
    """Measure the leader's cost by the number of members."""
    results = {}
    for count in (10, 100, 300):
        with tempfile.TemporaryDirectory() as folder:
            system = System("terugbel", Path(folder))
            system.start_control()
            base = system.example / "base.toml"
            system.run("config", "apply", str(base), "--control", system.control)
            results[str(count)] = asyncio.run(measure_members(system, count))
            system.stop()
    return results


def measure_failover() -> dict:
    """Measure the time from a leader's crash to the next accepted write.

    Runs in virtual time over 30 seeds; `p99` is the longest of the 30 times.
    """
    failover_times = []
    for seed in range(30):
        group = Replicas(seed=seed)
        group.run_until(lambda g=group: g.leader() is not None)
        group.run(0.5 + seed * 0.013)
        started = group.now
        group.crash(group.leader(), down_s=30.0)
        call = group.call(apply_config("op", 0, "text"))
        group.run_until(lambda c=call: c.result is not None)
        failover_times.append((call.finished - started) / TIMING.election_timeout_s)
    failover_times.sort()
    return {
        "unit": "election timeouts",
        "p50": round(failover_times[len(failover_times) // 2], 2),
        "p99": round(failover_times[-1], 2),
    }


def main() -> None:
    events.configure("bench", level="CRITICAL")
    parts = {
        "routing_us": measure_routing,
        "messages": measure_messages,
        "state": measure_state,
        "commits": measure_commits,
        "live": measure_daemons,
        "watchers": measure_member_counts,
        "failover": measure_failover,
        "fleet": fleet.measure_fleet,
    }
    results = json.loads(RESULTS_FILE.read_text()) if RESULTS_FILE.exists() else {}
    for name in sys.argv[1:] or parts:
        results[name] = parts[name]()
    RESULTS_FILE.write_text(json.dumps(results, indent=2) + "\n")
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
