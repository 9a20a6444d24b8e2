"""A small deployment of real processes on loopback, with stand-ins for clients, servers and operator.

Only the standard library is used. The processes are started with the commands of the deploy file.
All stand-ins run in the event loop of the script; what they see is written to `record.txt`.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "desk.example"
HEARTBEAT_S = 1.2
READY_S = 25.0


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)

    def quietly(self, text: str) -> None:
        """Write a line to the record alone."""
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")


# HTTP


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = [(n.strip().lower(), v.strip()) for n, _, v in (line.partition(":") for line in lines)]
    return first, dict(fields)


async def read_chunked(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(parts)


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        return await read_chunked(reader)
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def call(address, method, path, fields=(), body=b"", timeout_s=5.0):
    """Send a request on a new channel; return status, header fields and body, None without one."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields)]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            first, answer = await read_head(reader)
            status = int(first.split(" ")[1])
            return status, answer, await read_body(reader, answer)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# Processes


class Process:
    """One machine with one process of the deployment."""

    def __init__(self, site, name, role, ip, founds=True):
        self.site, self.name, self.role, self.ip, self.founds = site, name, role, ip, founds
        self.folder = site.folder / name
        self.folder.mkdir()
        self.child = None
        self.starts = 0

    def settings(self):
        site = self.site
        contacts = [f"{process.ip}:{site.interface_port}" for process in site.controls]
        values = {"name": self.name, "site": site.zone_of(self.name), "ip": self.ip}
        values |= {"contacts": contacts, "founds": self.founds, "internal_port": site.internal_port}
        values |= {"failures": 1, "heartbeat_ms": 1200, "lease_ms": 3000, "retention_s": 120}
        values |= {"stop_s": 8, "memory_mb": site.memory_mb[self.role], "max_fds": 4100}
        values |= {"metrics": f"{self.ip}:{site.metrics_port}"}
        if self.role == "entry":
            values["requests"] = f"{self.ip}:{site.request_port}"
            values["readiness"] = f"{self.ip}:{site.readiness_port}"
        else:
            values["interface"] = f"{self.ip}:{site.interface_port}"
            values["data_folder"] = str(self.folder / "data")
        return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

    def start(self):
        (self.folder / "data").mkdir(exist_ok=True)
        (self.folder / "settings.toml").write_text(self.settings())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["APRICOTVALE_BOOT"] = str(self.folder / "settings.toml")
        with open(self.folder / "log", "ab") as log:
            self.child = subprocess.Popen(
                ["python3", "deploy/start.py", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1

    @property
    def runs(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.runs:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def rss_mb(self):
        """Return the memory that the process uses, 0 if it does not run."""
        try:
            text = Path(f"/proc/{self.child.pid}/status").read_text()
            return int(text.partition("VmRSS:")[2].split()[0]) / 1024
        except (OSError, IndexError, ValueError):
            return 0.0

    def log(self):
        return (self.folder / "log").read_text(errors="replace")


class Site:
    """A deployment with three control replicas and some entries.

    :param memory_mb: memory of the machines by role.
    """

    def __init__(self, record, entries=2, controls=3, memory_mb=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.memory_mb = memory_mb or {"entry": 300, "control": 330}
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        ports = [free_port(self.network) for _ in range(5)]
        self.internal_port, self.interface_port, self.request_port = ports[:3]
        self.readiness_port, self.metrics_port = ports[3:]
        self.controls = []
        self.controls += [self.process(f"storage-{n}", "control", n + 2) for n in range(controls)]
        self.entries = [self.process(f"edge-{n}", "entry", n + 41) for n in range(entries)]
        self.servers = []
        self.tasks = set()
        self.memory_kills = []

    def process(self, name, role, number, founds=True):
        return Process(self, name, role, f"{self.network}.{number}", founds)

    def zone_of(self, name):
        return f"zone-{int(name.rpartition('-')[2]) % 3}"

    async def __aenter__(self):
        for process in [*self.controls, *self.entries]:
            process.start()
        return self

    async def __aexit__(self, *error):
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            await server.close()
        for process in [*self.controls, *self.entries]:
            if process.runs:
                process.signal(signal.SIGCONT)
                process.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        return task

    # The platform

    async def enforce_memory(self):
        """Kill a process that uses more than the memory of its machine, and start it again."""
        while True:
            for process in [*self.controls, *self.entries]:
                used = process.rss_mb()
                if used > self.memory_mb[process.role]:
                    limit = self.memory_mb[process.role]
                    process.kill()
                    self.memory_kills.append((process.name, used))
                    self.record(f"platform kills {process.name}: {used:.0f} MB of {limit} MB")
                    self.spawn(self.restart_later(process))
            await asyncio.sleep(0.02)

    async def restart_later(self, process, after_s=0.5):
        await asyncio.sleep(after_s)
        process.start()

    # The operator and trainers

    async def control_call(self, method, path, document=None, timeout_s=1.0, to=None):
        """Call control, going on to the next machine after a failure; return the last answer."""
        body = b"" if document is None else json.dumps(document).encode()
        fields = [("Host", "control"), ("Content-Type", "application/json")]
        for process in [to] if to else random.sample(self.controls, len(self.controls)):
            address = f"{process.ip}:{self.interface_port}"
            answer = await call(address, method, path, fields, body, timeout_s)
            if answer is not None and answer[0] < 500 and answer[0] not in (408, 429):
                return answer
        return None

    async def until_ok(self, method, path, document, limit_s=READY_S):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            answer = await self.control_call(method, path, document)
            if answer is not None and answer[0] == 200:
                return answer
            await asyncio.sleep(0.2)
        return None

    async def wait_until_ready(self, config):
        """Send the configuration, and wait until all entries are ready and know all servers."""
        if await self.until_ok("PUT", "/api/config", config) is None:
            return False
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            answers = [
                await call(f"{e.ip}:{self.readiness_port}", "GET", "/api/readyz", [("Host", "x")])
                for e in self.entries
            ]
            if all(a is not None and a[0] == 200 for a in answers):
                if all(server.acked for server in self.servers):
                    await asyncio.sleep(1.5)
                    return True
            await asyncio.sleep(0.2)
        return False

    # Clients

    def entry_address(self, number=0):
        return f"{self.entries[number % len(self.entries)].ip}:{self.request_port}"

    async def request(self, path, request_id, number=0, method="POST", body=b"", fields=(), **more):
        head = [("Host", HOST), ("Request-Id", request_id), *fields]
        return await call(self.entry_address(number), method, path, head, body, **more)

    async def submit(self, job_id, document, number=0, timeout_s=5.0):
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        return await self.request("/drafts/jobs", job_id, number, body=body, timeout_s=timeout_s)

    async def results(self, job_id, after=0, number=0, wait_ms=0, timeout_s=4.0):
        path = f"/api/lots/{job_id}?after={after}"
        fields = [("Host", HOST), ("Wait-Ms", str(wait_ms))]
        address = self.entry_address(number)
        answer = await call(address, "GET", path, fields, timeout_s=timeout_s)
        if answer is None or answer[0] != 200:
            return answer and answer[0], None
        return 200, json.loads(answer[2])


def free_port(network):
    while True:
        port = random.randrange(20_000, 32_000)
        try:
            for number in range(2, 60):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{number}", port))
            return port
        except OSError:
            continue


# Servers


class Request:
    """A request as a server got it."""

    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.request_id = fields.get("request-id", "")
        self.got_at = time.monotonic()

    @property
    def budget_s(self):
        """Return the time budget from the receipt on, None without one."""
        text = self.fields.get("deadline-ms", "")
        return int(text) / 1000 if text.isdigit() else None


class Server:
    """A sound replica of a plain service; it stops work at the time budget with its own 504.

    :param work_s: returns the seconds of work for a request.
    """

    def __init__(self, site, server_id, service, number, work_s=lambda request: 0.02, capacity=8):
        self.site, self.server_id, self.service = site, server_id, service
        self.address = f"{site.network}.{number}:{free_port(site.network)}"
        self.work_s, self.capacity = work_s, capacity
        self.state, self.acked, self.sequence = "ready", False, 0
        self.born = int(time.time() * 1000)
        self.version = "v1"
        self.leaving = False
        self.requests = []
        self.answers = []
        self.writers = set()
        self.listener = None
        site.servers.append(self)

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.listener = await asyncio.start_server(self.serve, host, int(port), limit=1 << 22)
        self.beat_task = self.site.spawn(self.beat())
        return self

    async def close(self):
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.close()

    def describe(self):
        return {}

    def heartbeat(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-0",
            "version": self.version,
            "capacity": self.capacity,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            **self.describe(),
        }

    async def beat_once(self):
        path = f"/api/replicas/{self.server_id}"
        answer = await self.site.control_call("PUT", path, self.heartbeat())
        return answer is not None and answer[0] == 200

    async def beat(self):
        while True:
            if self.state:
                self.acked = await self.beat_once() or self.acked
            await asyncio.sleep(HEARTBEAT_S if self.acked else 0.3)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, fields)
                request = Request(method, target, fields, body)
                expected = fields.get("expect-instance", self.server_id)
                if expected != self.server_id:
                    echo = [("Request-Id", request.request_id)]
                    self.send(writer, 421, echo, b"")
                elif target == "/api/report":
                    self.send(writer, 200, [], json.dumps(self.report()).encode())
                elif target == "/api/order":
                    self.send(writer, await self.order(json.loads(body)), [], b"")
                elif not await self.answer(request, reader, writer):
                    return
                await writer.drain()
        except (EOFError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def send(self, writer, status, fields, body):
        lines = [f"HTTP/1.1 {status} Word", *(f"{n}: {v}" for n, v in fields)]
        lines += ["Server-Leaving: 1"] * self.leaving
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)

    def stamp(self, request):
        return f"{self.server_id}.{request.request_id}.{len(self.answers)}"

    async def answer(self, request, reader, writer):
        self.requests.append(request)
        work_s, budget_s = self.work_s(request), request.budget_s
        stops = budget_s is not None and work_s >= budget_s
        await sleep_until(request.got_at + (budget_s if stops else work_s))
        status = 504 if stops else 200
        stamp = self.stamp(request)
        self.answers.append((request.request_id, status, stamp))
        self.site.record.quietly(
            f"{self.server_id} answers {status} to {request.request_id} {request.target} "
            f"after {(time.monotonic() - request.got_at) * 1000:.1f} ms, "
            f"Deadline-Ms {request.fields.get('deadline-ms')}"
        )
        echo = [("Request-Id", request.request_id), ("Server-Stamp", stamp)]
        self.send(writer, status, echo, b"answer of " + request.request_id.encode())
        return True


async def sleep_until(at):
    """Sleep until a time on the monotonic clock, exactly to some tenths of a millisecond."""
    left = at - time.monotonic() - 0.003
    if left > 0:
        await asyncio.sleep(left)
    while time.monotonic() < at:
        await asyncio.sleep(0)


class Engine(Server):
    """A sound model replica: streams of events, versions and orders.

    :param events: number of events of each run; :param event_s: time between events.
    """

    def __init__(self, site, server_id, service, number, models, events=5, event_s=0.02, **more):
        super().__init__(site, server_id, service, number, **more)
        self.models, self.events, self.event_s = dict(models), events, event_s
        self.orders, self.fence, self.busy = 0, 0, False
        # Begin, request id, first event and end of each run, and the ids of finished requests.
        self.runs = []
        self.finished = set()

    def describe(self):
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        return {"stage": "both", "models": models}

    def report(self):
        return {
            **self.describe(),
            "busy": self.busy,
            "sequence": self.orders,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
            "born": self.born,
        }

    async def order(self, order):
        if order["fencing_token"] < self.fence:
            return 412
        if order.get("precondition", self.orders) != self.orders or self.busy:
            return 409
        self.fence = order["fencing_token"]
        self.orders += 1
        self.site.record(f"{self.server_id} loads {order['model']} {order['version']}")
        self.models[order["model"]] = order["version"]
        return 202

    async def answer(self, request, reader, writer):
        self.requests.append(request)
        start = int(request.fields.get("last-event-id", "-1")) + 1
        model = request.fields.get("model", next(iter(self.models)))
        version = self.models[model]
        stamp = self.stamp(request)
        self.runs.append([time.monotonic(), request.request_id, start, None])
        run = self.runs[-1]
        lines = ["HTTP/1.1 200 OK", f"Request-Id: {request.request_id}", f"Server-Stamp: {stamp}"]
        lines += ["Server-Leaving: 1"] * self.leaving
        if start < self.events:
            lines.append(f"Weight-Versions: {version}")
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        try:
            return await self.stream(request, reader, writer, start, model, version)
        finally:
            run[3] = time.monotonic()

    async def stream(self, request, reader, writer, start, model, version):
        for number in range(start, self.events):
            await asyncio.sleep(self.event_s)
            if writer.is_closing() or reader.at_eof():
                return False
            change = b""
            if self.models[model] != version:
                version = self.models[model]
                change = f"weight-versions: {version}\n".encode()
            event = change + f"id: {number}\ndata: {request.request_id}.{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        self.finished.add(request.request_id)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# Documents


def config(version, reward=None, drafts=None, **limits):
    """Return a configuration like that of a small deployment."""
    route = {"hostname": HOST, "priority": 2}
    fees = {"name": "fees", "path_prefix": "/fees/", "type": "safe", "timeout_ms": 1500}
    fees |= {"target_latency_ms": 200, "service": "desk", "max_attempts": 4}
    check = {"name": "check", "path_prefix": "/check/", "type": "safe", "timeout_ms": 3000}
    check |= {"target_latency_ms": 895, "service": "desk", "max_attempts": 4, **(reward or {})}
    log = {"name": "log", "path_prefix": "/log/", "type": "unsafe", "timeout_ms": 1500}
    log |= {"target_latency_ms": 200, "service": "desk", "max_attempts": 2}
    rollout = {"name": "drafts", "path_prefix": "/drafts/", "type": "rollout"}
    rollout |= {"timeout_ms": 10000, "target_latency_ms": 400, "service": "lm"}
    rollout |= {"max_attempts": 3, "keep_s": 40, "run_deadline_ms": 7500, **(drafts or {})}
    engine = {"capacity": 8, "kv_capacity_tokens": 67574, "models": [{"name": "m0"}]}
    return {
        "version": version,
        "routes": [{**route, **r} for r in (fees, check, log, rollout)],
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_connections": 110, "protocol": "h1"},
            {"name": "lm", "health_path": "/healthz", "max_connections": 140, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 33554432,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
    }


def item(name, body=b"prompt", group="g0", scored=True, tokens=100):
    document = {
        "id": name,
        "path": f"/drafts/{name}",
        "headers": {"Model": "m0", "Token-Usage": f"{tokens // 2},{tokens // 2}"},
        "body": base64.b64encode(body).decode(),
        "tokens": tokens,
        "group": group,
    }
    if scored:
        document["scorer"] = {"id": f"s-{name}", "hostname": HOST, "path": f"/check/{name}"}
        document["scorer"]["body"] = base64.b64encode(b"text").decode()
    return document


def job(items, step=0, min_version=1, target_groups=1):
    return {
        "step": step,
        "model": "m0",
        "min_version": min_version,
        "target_groups": target_groups,
        "items": items,
    }


def run_case(play, folder, trouble, limit_s=115.0):
    """Run a case; exit with 1 if the rule was broken, 0 if it held and 2 if it could not run.

    :param play: called with the record and whether to play the disruption; returns a list of
        breaks, None if the case could not run.
    :param trouble: whether to play the disruption.
    """
    record = Record(Path(folder))
    record(f"the disruption is {'on' if trouble else 'off'}")

    async def body():
        async with asyncio.timeout(limit_s):
            return await play(record, trouble)

    try:
        breaks = asyncio.run(body())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        breaks = None
    if breaks is None:
        record("result: not run")
        sys.exit(2)
    for text in breaks:
        record(f"BROKEN {text}")
    record(f"result: {'the rule was broken' if breaks else 'the rule held'}")
    sys.exit(1 if breaks else 0)
