"""A stream goes on at another software version after the route that it began under was removed."""

import asyncio
import os
import signal
from collections import Counter

from lab.client import Client
from lab.deployment import Deployment, run_case
from lab.engine import chunk, event, handle_management, parse_events, pause, stream_head
from lab.upstream import Upstream

EVENTS = 60
EVENT_S = 0.1
STREAMS = 32
BUDGET_MS = 10_000
# Time for which both routes and both versions stay in force, as in a slow release.
BOTH_S = 66.0
# `config_apply_ms` of the site is 2,000.
IN_FORCE_S = 2.5


def route(name, prefix):
    return {
        "name": name,
        "hostname": "desk.example",
        "path_prefix": prefix,
        "type": "streaming",
        "resumable": True,
        "timeout_ms": 10000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": "lm-pool",
        "max_attempts": 3,
    }


def config(*routes):
    engine = {"capacity": 8, "kv_capacity_tokens": 67574, "models": [{"name": "m"}]}
    service = {"name": "lm-pool", "health_path": "/healthz", "max_connections": 140}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 33554432}
    return {"routes": list(routes), "services": [service | {"engine": engine}], "limits": limits}


SCRIPTS = route("r-scripts", "/scripts/")
LONG_SCRIPTS = route("r-long-scripts", "/scripts/long/")


async def handle(upstream, request, reader, writer, channel):
    """Run a stream; each piece names the software version that made it."""
    if await handle_management(upstream, request, writer):
        return
    upstream.run(request)
    first = int(request.headers.get("last-event-id", "-1")) + 1
    writer.write(stream_head(upstream, request))
    for number in range(first, EVENTS):
        await pause(EVENT_S)
        writer.write(chunk(event(number, f"{upstream.software} piece {number}")))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


def whole_events(body):
    """Return the events of a body that may break off inside an event."""
    end = body.rfind(b"\n\n")
    return parse_events(body[: end + 2]) if end >= 0 else []


async def call(site, entries, path):
    """Send a request for a stream, and take it up at the next entry while its channel breaks."""
    events, begun_by, statuses, entry = [], None, [], 0
    for _ in range(4):
        fields = []
        if events:
            fields = [("Last-Event-Id", events[-1][0]), ("Resumes", begun_by)]
        client = Client(site, entries[entry % len(entries)])
        request_id, response = await client.send(
            path, b"prompt", budget_ms=BUDGET_MS, fields=fields
        )
        statuses.append(response.status if response.complete else "broken off")
        found = whole_events(response.body) if response.status == 200 else []
        if found and not events:
            begun_by = request_id
        events += found
        if response.complete and response.status == 200:
            break
        entry += 1
        await asyncio.sleep(0.1)
    return path, events, statuses


async def main(record, trouble):
    remove = os.environ.get("KEEP_ROUTE") != "1"
    models = [{"name": "m", "version": 1, "adapters": []}]
    async with Deployment(record) as site:
        upstreams = [
            Upstream(site, f"lm-pool-{n}", "lm-pool", handle, capacity=8, models=models)
            for n in range(1, 6)
        ]
        former, newer = upstreams[:2], upstreams[2:]
        for upstream in newer:
            upstream.software = "v2"
        try:
            for upstream in former:
                await upstream.__aenter__()
            await site.put_config(config(SCRIPTS))
            await site.wait_ready()
            await asyncio.sleep(3.0)
            record.note("three replicas of v2 start beside the two of v1")
            for upstream in newer:
                await upstream.__aenter__()
                await upstream.acknowledged.wait()
            await site.put_config(config(SCRIPTS, LONG_SCRIPTS))
            await asyncio.sleep(BOTH_S)
            first, second = site.entries[:2]
            calls = [
                asyncio.create_task(call(site, [first, second], f"/scripts/long/{n}"))
                for n in range(STREAMS)
            ]
            await asyncio.sleep(1.0)
            if remove:
                await site.put_config(config(SCRIPTS))
            await asyncio.sleep(IN_FORCE_S)
            if trouble:
                first.signal(signal.SIGKILL)
            results = await asyncio.gather(*calls)
        finally:
            for upstream in upstreams:
                if upstream.reporting is not None:
                    await upstream.__aexit__()
    mixed, incomplete, versions, statuses = [], 0, Counter(), Counter()
    for path, events, answers in results:
        statuses[tuple(answers)] += 1
        made_by = sorted({data.split()[0] for _, data in events})
        versions["+".join(made_by)] += 1
        incomplete += [number for number, _ in events] != list(range(EVENTS))
        if len(made_by) > 1:
            mixed.append(path)
            turns = [events[0]] + [b for a, b in zip(events, events[1:]) if a[1][:2] != b[1][:2]]
            record.note(f"stream {path} holds events of {made_by}: {turns}")
    summary = [
        f"streams {STREAMS}, answers of their tries {dict(statuses)}, not whole {incomplete}",
        f"streams by the versions that made their events: {dict(versions)}",
        f"ORDER: {len(mixed)} streams hold events of two software versions (two are allowed)",
    ]
    return len(mixed) > 2, summary


if __name__ == "__main__":
    run_case(main)
