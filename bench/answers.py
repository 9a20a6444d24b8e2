"""Measures what the check of answers adds to a direct call and to a stream.

`python -m bench.answers` prints the time of a call and of an event of a stream over loopback, with
the check and with aiohttp's own connections. Both alternate in one run; compare times only within
one run.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from contextlib import AsyncExitStack
from functools import partial

from attrs import define, field

from apricotvale import clock
from apricotvale.http_client import StrictConnection
from apricotvale.platform.client import PlatformClient
from apricotvale.platform.connections import UpstreamConnection
from apricotvale.requests.calls import Call
from tests.raw_upstream import RawUpstream, answer

ROUNDS = 40
CALLS = 50
EVENTS = 200
EVENT = b"id: 1\ndata: 0123456789\n\n"
BODY = b"x" * 800


class LenientConnection(UpstreamConnection):
    """A connection that leaves all decisions to aiohttp."""

    def data_received(self, data: bytes) -> None:
        super(StrictConnection, self).data_received(data)


async def send_answer(reader, writer):
    writer.write(answer(BODY, extra="Content-Type: application/json\r\nWeight-Versions: 1\r\n"))


async def send_events(reader, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: s\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for _ in range(EVENTS):
        writer.write(b"%x\r\n" % len(EVENT) + EVENT + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0)
    writer.write(b"0\r\n\r\n")


@define
class Times:
    calls: list[float] = field(factory=list)
    events: list[float] = field(factory=list)


def make_call():
    return Call("POST", "/x", "h", "r-1", BODY, clock.now() + 10.0)


async def measure_calls(client, upstream) -> float:
    began = time.perf_counter()
    for _ in range(CALLS):
        result = await client.call(upstream, make_call())
        assert result.body == BODY
    return (time.perf_counter() - began) / CALLS


async def measure_events(client, upstream) -> float:
    began = time.perf_counter()
    stream = await client.open_stream(upstream, make_call())
    size = sum([len(chunk) async for chunk in stream.chunks()])
    assert size == EVENTS * len(EVENT)
    return (time.perf_counter() - began) / EVENTS


async def run() -> None:
    async with AsyncExitStack() as stack:
        calls = await stack.enter_async_context(RawUpstream(send_answer))
        streams = await stack.enter_async_context(RawUpstream(send_events))
        clients, times = {}, {}
        for name in ("strict", "lenient"):
            client = await stack.enter_async_context(PlatformClient())
            clients[name], times[name] = client, Times()
        connector = clients["lenient"].session.connector
        connector._factory = partial(LenientConnection, asyncio.get_running_loop())
        for _ in range(ROUNDS):
            for name, client in clients.items():
                times[name].calls.append(await measure_calls(client, calls.upstream))
                times[name].events.append(await measure_events(client, streams.upstream))
        for kind in ("calls", "events"):
            strict, lenient = (
                statistics.median(getattr(times[name], kind)) * 1e6 for name in clients
            )
            print(f"{kind}: {strict:.1f} us, {lenient:.1f} without, ratio {strict / lenient:.3f}")


if __name__ == "__main__":
    asyncio.run(run())
