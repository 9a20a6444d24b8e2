"""The text of a stream is joined from two runs if the first run breaks off in its first event."""

import asyncio
from collections import Counter

from lab.client import Client
from lab.deployment import Deployment, run_case
from lab.engine import abort, chunk, event, handle_management, parse_events, pause, stream_head
from lab.upstream import Upstream

EVENTS = 5
EVENT_S = 0.02
CALLERS = 10
STREAMS_EACH = 80
# Share of a faulty replica's answers that break off; the site's disruption allows 0.03.
CUT_SHARE = 0.02

CONFIG = {
    "routes": [
        {
            "name": "r-scripts",
            "hostname": "desk.example",
            "path_prefix": "/scripts/",
            "type": "streaming",
            "resumable": True,
            "timeout_ms": 10000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": "lm-pool",
            "max_attempts": 3,
        }
    ],
    "services": [
        {
            "name": "lm-pool",
            "health_path": "/healthz",
            "max_connections": 140,
            "engine": {"capacity": 8, "kv_capacity_tokens": 67574, "models": [{"name": "m"}]},
        }
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432},
}


def text(request, number):
    return f"{request} piece {number} of the text"


class Engine:
    """A model replica; a faulty one breaks off some of its answers in their first event."""

    def __init__(self, faulty):
        self.faulty = faulty
        self.answers = self.cuts = 0

    async def handle(self, upstream, request, reader, writer, channel):
        if await handle_management(upstream, request, writer):
            return
        upstream.run(request)
        self.answers += 1
        first = int(request.headers.get("last-event-id", "-1")) + 1
        writer.write(stream_head(upstream, request))
        for number in range(first, EVENTS):
            await pause(EVENT_S)
            data = event(number, text(request.target, number))
            if number == first and self.faulty and self.cuts < CUT_SHARE * self.answers:
                self.cuts += 1
                upstream.site.record.note(f"replica {upstream.name} breaks off {request.id}")
                writer.write(chunk(data[: len(data) // 2]))
                await writer.drain()
                await pause(EVENT_S)
                abort(writer)
                return
            writer.write(chunk(data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def main(record, trouble):
    statuses, broken = Counter(), []
    models = [{"name": "m", "version": 1, "adapters": []}]
    async with Deployment(record) as site:
        engines = [Engine(trouble), Engine(False)]
        upstreams = [
            Upstream(site, f"lm-pool-{n}", "lm-pool", engine.handle, capacity=8, models=models)
            for n, engine in enumerate(engines, 1)
        ]
        async with upstreams[0], upstreams[1]:
            await site.put_config(CONFIG)
            await site.wait_ready()
            for upstream in upstreams:
                await upstream.acknowledged.wait()
            await asyncio.sleep(2.0)

            async def calls(number):
                client = Client(site, site.entries[number % len(site.entries)])
                for turn in range(STREAMS_EACH):
                    path = f"/scripts/{number}-{turn}"
                    request_id, response = await client.send(path, b"prompt", budget_ms=8000)
                    statuses[response.status if response.complete else "broken off"] += 1
                    if response.status != 200 or not response.complete:
                        continue
                    found = parse_events(response.body)
                    wanted = [(n, text(path, n)) for n in range(EVENTS)]
                    if found != wanted:
                        broken.append(request_id)
                        record.note(f"stream {request_id} has other pieces: {found}")

            await asyncio.gather(*(calls(n) for n in range(CALLERS)))
    summary = [
        f"streams {CALLERS * STREAMS_EACH}, answers {dict(statuses)}",
        f"answers of the faulty replica {engines[0].answers}, broken off {engines[0].cuts}",
        f"ORDER: {len(broken)} complete streams with other pieces than their run's: {broken}",
    ]
    return bool(broken), summary


if __name__ == "__main__":
    run_case(main)
