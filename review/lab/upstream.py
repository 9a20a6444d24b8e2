"""A stand-in for a replica of a plain service: raw bytes on a socket, and status reports."""

from __future__ import annotations

import asyncio
import json
import secrets
import time


class Request:
    """A request as it was read."""

    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.headers = {name.lower(): value for name, value in fields}
        self.id = self.headers.get("request-id", "")


async def read_request(reader):
    """Read one request; return None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    headers = {name.lower(): value for name, value in fields}
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int(await reader.readline(), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, fields, body)


def answer(status, request_id, body=b"", **fields):
    """Return the bytes of an answer; a name in `fields` has underscores for hyphens."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Upstream:
    """A replica. `handle(request, reader, writer, channel)` answers one request.

    `runs` holds the id of each request that it began to run, with the time.
    """

    def __init__(self, site, name, service, handle, zone="gent-a", capacity=6, models=None):
        self.site, self.name, self.service, self.handle = site, name, service, handle
        self.zone, self.capacity, self.models = zone, capacity, models
        self.id = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.ip, self.port = site.upstream_address()
        self.state, self.software, self.sequence = "ready", "v1", 0
        self.busy = 0
        self.runs = []
        self.server = None
        self.tasks = set()
        self.reporting = None
        self.acknowledged = asyncio.Event()
        self.channels = 0

    async def __aenter__(self):
        await self.listen()
        self.reporting = asyncio.create_task(self.report())
        return self

    async def __aexit__(self, *exc_info):
        self.reporting.cancel()
        self.stop_listening()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def stop_listening(self):
        """End as a process does: all channels close."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    def run(self, request):
        """Note that a request begins to run."""
        self.runs.append((request.id, time.monotonic()))
        self.site.record.note(f"replica {self.name} runs {request.id}")

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.channels += 1
        channel = {"number": self.channels}
        try:
            while (request := await read_request(reader)) is not None:
                expected = request.headers.get("expect-instance", self.id)
                if expected != self.id:
                    writer.write(answer("421 Misdirected Request", request.id))
                elif request.target == "/healthz":
                    writer.write(answer("200 OK", request.id, Replica_Id=self.id))
                else:
                    await self.handle(self, request, reader, writer, channel)
                await writer.drain()
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def document(self):
        self.sequence += 1
        document = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": self.software,
            "capacity": self.capacity,
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self.born,
            "sequence": self.sequence,
        }
        if self.models is not None:
            document["stage"] = "both"
            document["models"] = self.models
        return document

    async def send_report(self):
        """Send one status report, to one control replica after the other until it has an ack."""
        body = json.dumps(self.document()).encode()
        for control in self.site.controls * 2:
            status = await self.site.call(control, "PUT", f"/api/replicas/{self.id}", body)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.05)
        return False

    async def report(self):
        while True:
            if await self.send_report():
                self.acknowledged.set()
            await asyncio.sleep(1.2)

    def stamp(self):
        return f"{self.name}.{secrets.token_hex(6)}"
