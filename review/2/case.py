"""A late second copy of a refusal makes the entry send a request that runs to another replica."""

import asyncio
from collections import Counter

from lab.client import Client
from lab.deployment import Deployment, run_case
from lab.upstream import Upstream, answer

WORK_S = 0.04
QUEUE = 1
CAPACITY = 2
CALLERS = 8
REQUESTS_EACH = 250
# Share of a faulty replica's answers that come twice; the site's disruption allows 0.03.
EXTRA_SHARE = 0.02

CONFIG = {
    "routes": [
        {
            "name": "r-slots",
            "hostname": "desk.example",
            "path_prefix": "/slots/",
            "type": "unsafe",
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": "queue-app",
            "max_attempts": 3,
        }
    ],
    "services": [{"name": "queue-app", "health_path": "/healthz", "max_connections": 110}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432},
}


class Desk:
    """A replica that runs `CAPACITY` requests, queues `QUEUE` more and refuses the rest.

    :param faulty: whether some of its refusals come a second time, when the next answer on the
        channel is expected.
    """

    def __init__(self, faulty):
        self.faulty = faulty
        self.held = 0
        self.answers = self.copies = 0
        self.slots = asyncio.Semaphore(CAPACITY)

    async def handle(self, upstream, request, reader, writer, channel):
        extra = channel.pop("extra", None)
        if extra is not None:
            # The late copy comes where the answer to this request is expected.
            upstream.site.record.note(f"replica {upstream.name} sends a late copy of {extra[0]}")
            writer.write(extra[1])
            await writer.drain()
        self.answers += 1
        if self.held >= CAPACITY + QUEUE:
            refusal = answer(
                "503 Service Unavailable", request.id, Not_Executed="1", Retry_After="0.2"
            )
            writer.write(refusal)
            if self.faulty and self.copies < EXTRA_SHARE * self.answers:
                self.copies += 1
                channel["extra"] = (request.id, refusal)
            return
        self.held += 1
        try:
            async with self.slots:
                upstream.run(request)
                await asyncio.sleep(WORK_S)
            body = f"done {request.id}".encode()
            writer.write(answer("200 OK", request.id, body, Server_Stamp=upstream.stamp()))
        finally:
            self.held -= 1


async def main(record, trouble):
    responses = {}
    async with Deployment(record) as site:
        desks = [Desk(trouble), Desk(False)]
        upstreams = [
            Upstream(site, f"queue-app-{n}", "queue-app", desk.handle, capacity=CAPACITY)
            for n, desk in enumerate(desks, 1)
        ]
        async with upstreams[0], upstreams[1]:
            await site.put_config(CONFIG)
            await site.wait_ready()
            for upstream in upstreams:
                await upstream.acknowledged.wait()
            await asyncio.sleep(2.0)

            async def calls(number):
                client = Client(site, site.entries[number % len(site.entries)])
                for turn in range(REQUESTS_EACH):
                    body = f"slot {number} {turn}".encode()
                    request_id, response = await client.send("/slots/log", body)
                    responses[request_id] = response.status
                    if response.status == 503:
                        await asyncio.sleep(0.03)

            await asyncio.gather(*(calls(n) for n in range(CALLERS)))
            await asyncio.sleep(1.0)
    runs = Counter(rid for upstream in upstreams for rid, _ in upstream.runs)
    twice = [rid for rid, count in runs.items() if count > 1]
    refused = [rid for rid, status in responses.items() if status in (429, 503) and runs[rid]]
    summary = [
        f"requests {len(responses)}, answers {dict(Counter(responses.values()))}",
        f"answers of the faulty replica {desks[0].answers}, late copies {desks[0].copies}",
        f"TWICE: {len(twice)} requests ran more than once: {twice}",
        f"REFUSED: {len(refused)} requests were answered 429 or 503 and ran: {refused}",
    ]
    return bool(refused), summary


if __name__ == "__main__":
    run_case(main)
