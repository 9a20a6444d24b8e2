"""A small deployment of real processes on loopback addresses, with an operator and a trainer.

Only the standard library is used. The control replicas and entries are started with the commands of
the deploy file.
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
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "ficu95.example"
# The bounds and settings are those of the sheet of `tbv-callback`.
GRACE_S = 8.0
HEARTBEAT_S = 1.2
RUN_LIMIT_S = 112.0


class CannotRunError(Exception):
    """The case could not be played."""


def free_port(hosts):
    """Return a port that is free at all of the given addresses."""
    for _ in range(200):
        port = random.randint(20_000, 32_000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return port
    raise CannotRunError("no free port")


class Answer:
    """The answer to an HTTP request."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


async def read_head(reader):
    """Read the head of a message; return its first line and its fields, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raise an error if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data


async def read_answer(reader):
    """Read one whole answer."""
    first, fields = await read_head(reader)
    status = int(first.split(" ")[1])
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    else:
        body = await reader.read()
    return Answer(status, fields, body)


def request_bytes(method, path, fields, body=b""):
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def call(address, method, path, fields=None, body=b"", timeout_s=1.0):
    """Send a request on a new channel; return the answer, None without one in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes(method, path, {"Host": HOST, **(fields or {})}, body))
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Process:
    """One process of the system under test."""

    def __init__(self, deployment, role, settings):
        self.deployment, self.role, self.settings = deployment, role, settings
        self.name, self.ip = settings["name"], settings["ip"]
        self.founds = True
        self.popen = None

    @property
    def folder(self):
        return self.deployment.folder / self.name

    def start(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        values = {**self.settings, "founds": self.founds and self.role == "control"}
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
        (self.folder / "settings.toml").write_text(text)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "APRICOTVALE_BOOT": str(self.folder / "settings.toml"),
        }
        with open(self.folder / "log", "ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "deploy/start.py", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def log_lines(self):
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                yield {"name": "text", "text": line}


class Deployment:
    """Three control replicas and some entries, started as separate processes.

    :param record: path of the record that the case writes.
    """

    def __init__(self, record, entries=1):
        self.began_at = time.monotonic()
        self.record_file = open(record, "w")
        self.folder = Path(tempfile.mkdtemp(prefix="apricotvale-review-"))
        network = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}"
        self.network = network
        control_ips = [f"{network}.{number}" for number in (2, 3, 4)]
        entry_ips = [f"{network}.{11 + number}" for number in range(entries)]
        ips = [*control_ips, *entry_ips]
        ports = set()
        while len(ports) < 4:
            ports.add(free_port(ips))
        self.internal, self.interface, self.requests, self.readiness = sorted(ports)
        shared = {
            "contacts": [f"{ip}:{self.interface}" for ip in control_ips],
            "internal_port": self.internal,
            "failures": 1,
            "heartbeat_ms": round(HEARTBEAT_S * 1000),
            "lease_ms": 3000,
            "retention_s": 120,
            "stop_s": GRACE_S,
            "memory_mb": 300,
        }
        self.controls = []
        for number, ip in enumerate(control_ips):
            own = {"name": f"storage-{number}", "site": f"zone-{number}", "ip": ip}
            own |= {"interface": f"{ip}:{self.interface}"}
            own |= {"data_folder": str(self.folder / f"storage-{number}" / "data")}
            self.controls.append(Process(self, "control", {**own, **shared}))
        self.entries = []
        for number, ip in enumerate(entry_ips):
            own = {"name": f"edge-{number}", "site": f"zone-{number}", "ip": ip}
            own |= {"requests": f"{ip}:{self.requests}", "readiness": f"{ip}:{self.readiness}"}
            self.entries.append(Process(self, "entry", {**own, **shared}))
        self.upstreams = []
        self.named = {}

    @property
    def processes(self):
        return [*self.controls, *self.entries]

    def now(self):
        return time.monotonic() - self.began_at

    def note(self, text):
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    def upstream_ip(self, number):
        return f"{self.network}.{21 + number}"

    async def start(self):
        for process in self.controls:
            (process.folder / "data").mkdir(parents=True, exist_ok=True)
        for process in self.processes:
            process.start()
        self.note(f"started {', '.join(process.name for process in self.processes)}")

    async def wait_ready(self, limit_s=20.0):
        """Wait until all entries say that they are ready."""
        deadline = time.monotonic() + limit_s
        for process in self.entries:
            address = f"{process.ip}:{self.readiness}"
            while True:
                answer = await call(address, "GET", "/api/readyz")
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{process.name} is not ready")
                await asyncio.sleep(0.1)
        self.note("all entries are ready")

    def close(self, keep=False):
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            if process.popen is not None:
                process.popen.wait(10)
        self.record_file.close()
        if keep:
            sys.stderr.write(f"kept {self.folder}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Operator and trainer

    async def order(self, method, path, document, limit_s=20.0):
        """Send an order to control until it has a clear answer, first to a replica at random."""
        body = json.dumps(document).encode()
        deadline = time.monotonic() + limit_s
        controls = random.sample(self.controls, len(self.controls))
        number = 0
        while time.monotonic() < deadline:
            address = f"{controls[number % 3].ip}:{self.interface}"
            number += 1
            fields = {"Content-Type": "application/json"}
            answer = await call(address, method, path, fields, body)
            if answer is not None and answer.status < 500 and answer.status not in (408, 429):
                return answer
            await asyncio.sleep(0.2)
        raise CannotRunError(f"no clear answer to {method} {path}")

    async def put_config(self, document):
        answer = await self.order("PUT", "/api/config", document)
        if answer.status != 200:
            raise CannotRunError(f"the configuration was answered {answer.status}")
        self.note(f"configuration {document['version']} acknowledged")

    async def name_version(self, model, version):
        """Name a version; replicas accept orders for it from the first send on."""
        self.named[model] = max(version, self.named.get(model, 1))
        self.note(f"trainer names version {version} of {model}")
        await self.order("POST", "/api/version-put", {"model": model, "version": version})
        self.note(f"version {version} of {model} acknowledged")

    # Batch submissions

    def entry_address(self, number=0):
        return f"{self.entries[number % len(self.entries)].ip}:{self.requests}"

    async def submit(self, path, lot, document, limit_s=12.0):
        """Submit a batch until it is accepted."""
        body = json.dumps(document).encode()
        deadline = time.monotonic() + limit_s
        number = 0
        while time.monotonic() < deadline:
            fields = {"Request-Id": lot, "Content-Type": "application/json"}
            answer = await call(self.entry_address(number), "POST", path, fields, body, 4.0)
            number += 1
            self.note(f"batch {lot} answered {answer.status if answer else None}")
            if answer is not None and answer.status == 202:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError(f"batch {lot} was not accepted")

    async def read_results(self, lot, count, limit_s):
        """Read the results of a batch until there are `count` or the time is over."""
        results = []
        deadline = time.monotonic() + limit_s
        while len(results) < count and time.monotonic() < deadline:
            path = f"/api/lots/{lot}?after={len(results)}"
            answer = await call(self.entry_address(), "GET", path, {"Wait-Ms": "1000"}, b"", 2.5)
            if answer is None or answer.status != 200:
                await asyncio.sleep(0.3)
                continue
            for result in answer.json()["results"]:
                self.note(f"result {json.dumps(result)}")
                results.append(result)
        return results

    async def end_lot(self, lot):
        await call(self.entry_address(), "DELETE", f"/api/lots/{lot}", {}, b"", 3.0)
        self.note(f"batch {lot} ended")


def make_item(item_id, path, model="m0", group="g1", scorer=None, usage="271,640"):
    prompt, output = usage.split(",")
    document = {
        "id": item_id,
        "path": path,
        "headers": {"Model": model, "Token-Usage": usage, "Prompt-Prefix": f"9c2e41:{prompt}"},
        "body": base64.b64encode(f"prompt of {item_id}".encode()).decode(),
        "tokens": int(prompt) + int(output),
        "group": group,
    }
    if scorer is not None:
        document["scorer"] = scorer
    return document


def make_route(name, prefix, kind, service, **fields):
    document = {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 10000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 3,
    }
    return {**document, **fields}


def make_config(version, routes, engines=(), services=()):
    """Return a configuration.

    :param engines: names of the services of model replicas.
    :param services: names of the plain services.
    """
    listed = []
    for name in engines:
        engine = {"capacity": 8, "kv_capacity_tokens": 67574, "stride": 55}
        engine |= {"models": [{"name": "m0"}]}
        listed.append({"name": name, "health_path": "/healthz", "max_connections": 140})
        listed[-1] |= {"protocol": "h1", "tls_enabled": False, "engine": engine}
    for name in services:
        listed.append({"name": name, "health_path": "/healthz", "max_connections": 110})
        listed[-1] |= {"protocol": "h1", "tls_enabled": False}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 33554432}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": listed, "limits": limits}


def play(case, record, entries=1):
    """Play a case and exit: 1 if it returns breaks of the rule, 0 if none, 2 if it could not run.

    :param case: coroutine function that gets the deployment and whether there is a disruption, and
        returns the breaks of the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    # The processes are ended then too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        deployment = Deployment(record, entries)
    except Exception:
        traceback.print_exc()
        sys.exit(code)

    async def run():
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                return await case(deployment, trouble)
        finally:
            for upstream in deployment.upstreams:
                upstream.stop()

    try:
        deployment.note(f"disruption: {trouble}")
        breaks = asyncio.run(run())
        for text in breaks:
            deployment.note(f"RULE BROKEN: {text}")
        code = 1 if breaks else 0
        if not breaks:
            deployment.note("the rule held")
    except Exception as error:
        deployment.note(f"could not run: {error!r}")
        traceback.print_exc()
    finally:
        deployment.close(keep=bool(os.environ.get("KEEP")))
    print(f"exit {code}; see {os.path.basename(os.path.dirname(record))}/record.txt")
    sys.exit(code)
