"""Status reports of another writer, with fields missing, name the addresses of replicas."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit3"))

from deployment import call, make_config, make_item, make_route, play  # noqa: E402
from upstreams import Engine  # noqa: E402

# A run of 56 events takes 2 s. Five replicas of 8 slots run the items in two or three waves.
EVENTS, EVENT_S = 56, 0.036
ENGINES = 5
ITEMS = 64
# The time budget of the sheet, and the time at no replica that breaks the rule.
BUDGET_S = 12.0
AT_NO_REPLICA_S = 5.0


async def send_foreign_reports(deployment, engines):
    """Send one report about each replica's address, under another id and with fields missing."""
    for number, engine in enumerate(engines):
        report = {
            "service": engine.service,
            "address": engine.address,
            "zone": "zone-0",
            "capacity": 8,
            "state": "ready",
            "sequence": 1,
            "born": round(time.time() * 1000),
        }
        control = deployment.controls[number % 3]
        answer = await call(
            f"{control.ip}:{deployment.interface}",
            "PUT",
            f"/api/replicas/inventory-{number}",
            {"Content-Type": "application/json"},
            json.dumps(report).encode(),
        )
        status = answer.status if answer else None
        deployment.note(f"report of another writer {json.dumps(report)} answered {status}")


async def case(deployment, trouble):
    await deployment.start()
    fields = {"run_deadline_ms": 7500, "keep_s": 40}
    route = make_route("drafts", "/drafts/", "rollout", "lm-pool", **fields)
    await deployment.put_config(make_config(1, [route], engines=["lm-pool"]))
    await deployment.wait_ready()
    engines = [Engine(deployment, f"i-{n}", "lm-pool", EVENTS, EVENT_S) for n in range(ENGINES)]
    for engine in engines:
        await engine.start()
    await asyncio.sleep(2.5)
    items = [
        make_item(f"e5b2907c14da6f{n:02}", f"/drafts/{n}/91c4", group=f"g{n // 4}")
        for n in range(ITEMS)
    ]
    batch = {"step": 0, "model": "m0", "min_version": 1, "target_groups": 14, "items": items}
    submitted_at = time.monotonic()
    await deployment.submit("/drafts/7c41e0", "7c41e09b52d6a3f8", batch)
    await asyncio.sleep(0.5)
    if trouble:
        await send_foreign_reports(deployment, engines)
    left_s = submitted_at + BUDGET_S - time.monotonic()
    results = await deployment.read_results("7c41e09b52d6a3f8", ITEMS, left_s)
    ended_at = time.monotonic()
    for engine in engines:
        deployment.note(
            f"{engine.upstream_id}: {engine.acknowledged} of {engine.heartbeats} status reports "
            "acknowledged"
        )
    deployment.note(f"{len(results)} of {ITEMS} results at the end of the step's time")
    listed = {result["id"] for result in results}
    begun = {name for engine in engines for name in engine.begun}
    finished = {name for engine in engines for name in engine.finished}
    last_left = max((at for engine in engines for at in engine.left_at), default=submitted_at)
    idle_s = ended_at - last_left
    lost = [item["id"] for item in items if item["id"] not in listed | begun | finished]
    deployment.note(f"{len(begun)} items were at a replica; none was for the last {idle_s:.1f} s")
    if lost and begun and idle_s >= AT_NO_REPLICA_S:
        return [
            f"LOST: the step ran out of time while {len(lost)} items, which no replica has "
            f"finished, had been at no replica; the replicas were idle for {idle_s:.1f} s"
        ]
    if len(results) < ITEMS:
        return [f"LOST: only {len(results)} results came"]
    return []


play(case, FOLDER / "record.txt")
