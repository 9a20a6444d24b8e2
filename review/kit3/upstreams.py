"""Stand-ins of upstreams that follow the users' pages: model replicas and plain services."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import time
from contextlib import suppress

from deployment import HEARTBEAT_S, call, read_head

REPORT_LAG_S = 0.2
LOAD_S = 0.9


class Upstream:
    """One replica: its channels, its registration, and the requests that it gets.

    :param service: name of its service.
    """

    def __init__(self, deployment, upstream_id, service, capacity):
        self.deployment = deployment
        self.upstream_id, self.service, self.capacity = upstream_id, service, capacity
        deployment.upstreams.append(self)
        self.ip = deployment.upstream_ip(len(deployment.upstreams))
        self.born = round(time.time() * 1000)
        self.heartbeats = self.acknowledged = 0
        self.server = self.beating = None
        self.port = 0
        self.writers = set()
        self.tasks = set()
        self.state = "ready"
        self.running = 0

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def note(self, text):
        self.deployment.note(f"{self.upstream_id}: {text}")

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.send_heartbeat()
        self.beating = asyncio.create_task(self.beat())

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self):
        if self.beating is not None:
            self.beating.cancel()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    # Registration

    def description(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-0",
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "sequence": self.heartbeats,
            "born": self.born,
        }

    async def send_heartbeat(self):
        self.heartbeats += 1
        body = json.dumps(self.description()).encode()
        controls = random.sample(self.deployment.controls, 3)
        for process in controls:
            address = f"{process.ip}:{self.deployment.interface}"
            fields = {"Content-Type": "application/json"}
            path = f"/api/replicas/{self.upstream_id}"
            answer = await call(address, "PUT", path, fields, body)
            if answer is not None and 200 <= answer.status < 300:
                self.acknowledged += 1
                return True
        return False

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))
            await self.send_heartbeat()

    # Channels

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, fields = await read_head(reader)
                method, path, _ = first.split(" ")
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                if not await self.on_request(method, path, fields, body, writer):
                    break
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            with suppress(OSError):
                writer.close()

    def send(self, writer, status, fields, body=b""):
        lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in fields.items())]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    def is_other(self, fields):
        return fields.get("expect-instance") not in (None, self.upstream_id)

    async def on_request(self, method, path, fields, body, writer):
        """Answer a request; return whether the channel stays open."""
        echo = {"Request-Id": fields.get("request-id", "")}
        if self.is_other(fields):
            self.send(writer, 421, {**echo, "Not-Executed": "1"})
        elif self.running >= self.capacity:
            self.send(writer, 503, {**echo, "Not-Executed": "1"})
        else:
            self.running += 1
            try:
                return await self.run(path, fields, body, writer)
            finally:
                self.running -= 1
        await writer.drain()
        return True

    async def run(self, path, fields, body, writer):
        raise NotImplementedError


class PlainService(Upstream):
    """A replica of a plain service.

    :param work_s: time that a request takes.
    """

    def __init__(self, deployment, upstream_id, service, work_s, capacity=6):
        super().__init__(deployment, upstream_id, service, capacity)
        self.work_s = work_s
        self.served = []

    async def run(self, path, fields, body, writer):
        request_id = fields.get("request-id", "")
        self.note(f"runs {request_id} {path}")
        self.served.append((time.monotonic(), request_id, path))
        await asyncio.sleep(self.work_s)
        stamp = f"{self.upstream_id}.{len(self.served)}.{request_id}"
        self.send(writer, 200, {"Request-Id": request_id, "Server-Stamp": stamp}, b"answer")
        await writer.drain()
        return True


class Engine(Upstream):
    """A model replica with one model, `m0`.

    :param events: number of events of a run.
    :param event_s: time for each event.
    """

    def __init__(self, deployment, upstream_id, service, events, event_s, capacity=8):
        super().__init__(deployment, upstream_id, service, capacity)
        self.events, self.event_s = events, event_s
        self.version = 1
        self.busy = False
        # A load to which running requests have to come to an end.
        self.is_draining_runs = False
        self.is_loading = False
        self.orders = 0
        self.fence = 0
        self.history = []
        self.remember()
        # Items by id: events made, with the version of each; and which runs began and were whole.
        self.made = {}
        self.begun = set()
        self.finished = set()
        self.left_at = []

    def description(self):
        models = [{"name": "m0", "version": self.version, "adapters": []}]
        return {**super().description(), "models": models}

    def remember(self):
        report = {
            "stage": "both",
            "models": [{"name": "m0", "version": self.version, "adapters": []}],
            "busy": self.busy,
            "sequence": self.orders,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 67574,
            "handles": 0,
            "born": self.born,
        }
        self.history.append((time.monotonic(), report))

    def lagging_report(self):
        until = time.monotonic() - REPORT_LAG_S
        past = [report for at, report in self.history if at <= until]
        return past[-1] if past else self.history[0][1]

    async def on_request(self, method, path, fields, body, writer):
        if path == "/api/report":
            text = json.dumps(self.lagging_report()).encode()
            self.send(writer, 200, {"Content-Type": "application/json"}, text)
        elif path == "/api/order":
            return await self.on_order(fields, json.loads(body), writer)
        else:
            return await super().on_request(method, path, fields, body, writer)
        await writer.drain()
        return True

    # Orders

    async def on_order(self, fields, order, writer):
        status = 421 if self.is_other(fields) else self.accept_order(order)
        self.note(f"order {json.dumps(order)} answered {status}")
        self.send(writer, status, {})
        await writer.drain()
        return True

    def accept_order(self, order):
        """Check an order and begin to carry it out; return the status of the answer."""
        model, version = order.get("model"), order.get("version")
        named = self.deployment.named.get(model, 1)
        if "holder" not in order or "fencing_token" not in order or not 1 <= version <= named:
            return 400
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        if order.get("precondition", self.orders) != self.orders or self.busy:
            return 409
        if version == self.version:
            return 200
        self.orders += 1
        self.busy = True
        self.remember()
        self.spawn(self.load(version, order["mode"]))
        return 202

    async def load(self, version, mode):
        if mode == "hold":
            self.is_draining_runs = True
            while self.running:
                await asyncio.sleep(0.01)
            self.is_draining_runs = False
        self.is_loading = True
        await asyncio.sleep(LOAD_S)
        self.is_loading, self.busy = False, False
        self.version = version
        self.remember()
        self.note(f"holds version {version} now, loaded with mode {mode}")

    # Runs

    async def run(self, path, fields, body, writer):
        request_id = fields.get("request-id", "")
        if self.is_draining_runs or self.is_loading:
            self.send(writer, 503, {"Request-Id": request_id, "Not-Executed": "1"})
            await writer.drain()
            return True
        self.begun.add(request_id)
        try:
            return await self.stream(path, fields, writer, request_id)
        finally:
            self.left_at.append(time.monotonic())

    async def stream(self, path, fields, writer, request_id):
        """Send the events of a run that are still missing."""
        start = int(fields.get("last-event-id", "0")) + 1
        version = self.version
        self.note(f"runs {request_id} {path} from event {start} under version {version}")
        stamp = f"{self.upstream_id}.{request_id}"
        await asyncio.sleep(0.02)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"Request-Id: {request_id}", f"Server-Stamp: {stamp}"]
        lines += [f"Weight-Versions: {version}", *self.framing(), "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(start, self.length_of(request_id) + 1):
            await asyncio.sleep(self.event_s)
            while self.is_loading:
                await asyncio.sleep(0.01)
            if writer.transport.is_closing():
                self.note(f"run {request_id} dropped before event {number}")
                return False
            event = f"id: {number}\ndata: {request_id}.{number}\n\n"
            if self.version != version:
                version = self.version
                event = f"weight-versions: {version}\n{event}"
            self.made.setdefault(request_id, []).append((number, version))
            self.send_piece(writer, event.encode())
            await writer.drain()
        self.note(f"run {request_id} complete")
        self.finished.add(request_id)
        return await self.finish(writer)

    def length_of(self, request_id):
        """Return the number of events of a run."""
        return self.events

    def framing(self):
        return ["Transfer-Encoding: chunked"]

    def send_piece(self, writer, data):
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def finish(self, writer):
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    # Crashes

    async def crash(self, down_s):
        """End with all channels; be back after a while under the same id, with the same version."""
        self.note("crashes")
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.born = round(time.time() * 1000)
        self.heartbeats = self.orders = self.fence = 0
        self.busy = self.is_loading = self.is_draining_runs = False
        self.history = []
        self.remember()
        self.note(f"is back under its id with version {self.version}")
        await self.start()
