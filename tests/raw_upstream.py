"""An upstream that answers with scripted raw bytes, one script for each request."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path

from attrs import define, field

from apricotvale.discovery import Standing, Upstream

MIB = 1024 * 1024


def answer(body=b"body", request_id="r-1", status="200 OK", extra=""):
    """Return the bytes of a valid answer."""
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nServer-Stamp: s\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def endless(writer, head, chunk=b"x" * 65536):
    """Send a head and then the same bytes until the peer closes."""
    writer.write(head)
    while True:
        writer.write(chunk)
        await writer.drain()


@define
class RawUpstream:
    """A server whose connections run `script(reader, writer)` for each request head.

    :param script: coroutine function that answers one request.
    :param connections: number of connections accepted.
    :param heads: the request heads received, each with its connection's number.
    """

    script: object
    connections: int = 0
    heads: list = field(factory=list)
    closed: int = 0
    server: asyncio.Server | None = None
    tasks: set = field(factory=set)

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.connections += 1
        number = self.connections
        try:
            while True:
                self.heads.append((number, await reader.readuntil(b"\r\n\r\n")))
                await self.script(reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            self.closed += 1
        finally:
            self.tasks.discard(task)
            with suppress(RuntimeError):
                writer.close()

    @property
    def upstream(self):
        host, port = self.server.sockets[0].getsockname()[:2]
        return Upstream("i-1", 0, 1, "lm", f"{host}:{port}", "a", 8, Standing.READY)


def resident_bytes():
    """Return the memory that this process holds now."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no VmRSS in the process's status")


async def peak_growth(work):
    """Run a coroutine; return its result and the largest growth of this process's memory."""
    before = peak = resident_bytes()
    task = asyncio.ensure_future(work)
    while not task.done():
        await asyncio.wait({task}, timeout=0.01)
        peak = max(peak, resident_bytes())
    return task.result(), peak - before
