"""Processes of a small deployment, and crowds of clients that press them.

All connections are on loopback addresses. A crowd sends a bounded number of bytes for a bounded
time, and is gone when its function returns or its context is left.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import subprocess
import sys
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

import aiohttp
from attrs import define, field

from scripts.ports import free_address, free_port
from tests.platform_site import HOST, table
from tests.platform_standin import StandIn

ROOT = Path(__file__).resolve().parent.parent
MIB = 1024 * 1024
START_TIMEOUT_S = 20.0
HEARTBEAT_S = 0.5
# Time for which a crowd presses, and attempts of an ordinary client afterwards.
PRESS_S = 8.0
ATTEMPTS = 5
ATTEMPT_S = 3.0
PAUSE_S = 0.5


def limit_descriptors(max_fds):
    """Return a function that limits the descriptors of a child process; None without a limit."""
    if not max_fds:
        return None
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))


@define
class Process:
    """A process of the deployment.

    :param max_fds: descriptors that it may have open; 0 for the limit of the tests.
    :param errors_are_read: whether its error output goes to the log, or to a pipe that is not read.
    """

    role: str
    folder: Path
    settings: dict
    max_fds: int = 0
    errors_are_read: bool = True
    child: subprocess.Popen | None = None

    def start(self):
        self.folder.mkdir()
        lines = [f"{key} = {json.dumps(value)}\n" for key, value in self.settings.items()]
        path = self.folder / "settings.toml"
        path.write_text("".join(lines))
        environment = {"PATH": os.environ["PATH"], "APRICOTVALE_BOOT": str(path)}
        with open(self.folder / "log", "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "deploy/start.py", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log if self.errors_are_read else subprocess.PIPE,
                preexec_fn=limit_descriptors(self.max_fds),
            )

    def is_running(self):
        return self.child.poll() is None

    def peak_bytes(self):
        """Return the largest resident memory that the process has had."""
        for line in Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise AssertionError("the process has ended")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def end(self):
        if self.child is not None:
            self.child.kill()
            self.child.wait()


@define
class Deployment:
    """One control replica and one entry as processes, with an upstream of each kind.

    The service `desk` answers, and `lm` streams. `peak_fds` is the largest number of descriptors
    that the process under test was seen with.

    :param memory_mb: memory that the settings of both processes state.
    :param max_fds: descriptors that the entry may have open; 0 for the limit of the tests.
    """

    folder: Path
    memory_mb: int
    max_fds: int = 0
    stack: AsyncExitStack = field(factory=AsyncExitStack)
    desk: StandIn = field(factory=lambda: StandIn("d-0", "desk"))
    engine: StandIn = field(factory=lambda: StandIn("e-0", "lm", "stream", models={"m": 1}))
    sequence: int = 0
    peak_fds: int = 0

    def __attrs_post_init__(self):
        interface = free_address("127.0.0.2")
        shared = {
            "site": "a",
            "contacts": [interface],
            "internal_port": free_port("0.0.0.0"),
            "memory_mb": self.memory_mb,
            "failures": 0,
            "lease_ms": 300,
            "heartbeat_ms": round(HEARTBEAT_S * 1000),
        }
        self.addresses = {
            "requests": free_address(),
            "readiness": free_address(),
            "metrics": free_address(),
            "interface": interface,
        }
        control = {
            "name": "storage-1",
            "ip": "127.0.0.2",
            "founds": True,
            "interface": interface,
            "data_folder": str(self.folder / "data"),
        }
        entry = {"name": "edge-1", "ip": "127.0.0.1"}
        entry |= {name: self.addresses[name] for name in ("requests", "readiness", "metrics")}
        self.control = Process("control", self.folder / "control", shared | control)
        self.entry = Process("entry", self.folder / "entry", shared | entry, self.max_fds)

    addresses: dict = field(init=False)
    control: Process = field(init=False)
    entry: Process = field(init=False)

    def process_at(self, listener):
        return self.control if listener == "interface" else self.entry

    async def __aenter__(self):
        await self.stack.__aenter__()
        for process in (self.control, self.entry):
            self.stack.callback(process.end)
            process.start()
        for standin in (self.desk, self.engine):
            await self.stack.enter_async_context(standin)
        session = await self.stack.enter_async_context(aiohttp.ClientSession())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.put_table(session, 1):
                await asyncio.sleep(0.1)
            while not await self.send_heartbeats(session):
                await asyncio.sleep(0.1)
            for listener in self.addresses:
                while not await self.is_answered(listener):
                    await asyncio.sleep(0.1)
        for repeated in (self.repeat_heartbeats(session), self.count_descriptors()):
            task = asyncio.create_task(repeated)
            self.stack.push_async_callback(asyncio.wait, [task])
            self.stack.callback(task.cancel)
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.__aexit__(*exc_info)

    # Calls of the operator and of upstreams

    async def put(self, session, path, document):
        url = f"http://{self.addresses['interface']}{path}"
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_S)
        with suppress(aiohttp.ClientError, TimeoutError):
            async with session.put(url, json=document, timeout=timeout) as response:
                return response.status == 200
        return False

    async def put_table(self, session, version, padding=0):
        """Put a table; the padding makes it larger by about as many bytes."""
        document = table(version, limits={})
        document["routes"] += [
            {
                "name": "streams",
                "hostname": HOST,
                "path_prefix": "/streams/",
                "type": "streaming",
                "timeout_ms": 60000,
                "service": "lm",
                "max_attempts": 1,
            }
        ]
        document["routes"][0]["timeout_ms"] = 20000
        if padding:
            document["padding"] = "x" * padding
        return await self.put(session, "/api/config", document)

    async def send_heartbeats(self, session):
        self.sequence += 1
        sent = [
            await self.put(session, f"/api/replicas/{s.upstream_id}", s.heartbeat(self.sequence))
            for s in (self.desk, self.engine)
        ]
        return all(sent)

    async def repeat_heartbeats(self, session):
        while True:
            await self.send_heartbeats(session)
            await asyncio.sleep(HEARTBEAT_S)

    async def count_descriptors(self):
        while self.entry.is_running():
            self.peak_fds = max(self.peak_fds, self.entry.descriptors())
            await asyncio.sleep(0.02)

    async def run_job(self, job_id, document):
        """Submit a job; return the bytes of the page with all its results."""
        base = f"http://{self.addresses['requests']}"
        fields = {"Host": HOST, "Request-Id": job_id}
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            aiohttp.ClientSession(headers=fields) as session,
        ):
            async with session.post(f"{base}/drafts/jobs", json=document) as response:
                assert response.status == 202, await response.text()
            while True:
                async with session.get(f"{base}/api/lots/{job_id}?after=0") as response:
                    page = await response.read()
                    if response.status == 200 and json.loads(page)["next"] == len(
                        document["items"]
                    ):
                        return len(page)
                await asyncio.sleep(0.1)

    # An ordinary client

    async def is_answered(self, listener):
        """Return whether one request on a new connection is answered with status 200."""
        paths = {
            "requests": "/fees/x",
            "readiness": "/api/readyz",
            "metrics": "/metrics",
            "interface": "/api/config",
        }
        status = await self.request_once(listener, f"GET {paths[listener]} HTTP/1.1", [])
        return status == 200

    async def request_once(self, listener, line, fields):
        """Return the status of a request on a new connection, 0 without an answer."""
        lines = [line, f"Host: {HOST}", "Request-Id: ordinary", "Deadline-Ms: 1500", *fields]
        try:
            async with asyncio.timeout(ATTEMPT_S):
                reader, writer = await connect(self.addresses[listener])
                try:
                    writer.write("\r\n".join([*lines, "", ""]).encode())
                    status = (await reader.readuntil(b"\r\n")).split()[1]
                    return int(status)
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, EOFError, IndexError, asyncio.LimitOverrunError):
            return 0

    async def check(self, listener):
        """Check the process under test, and that one ordinary request is answered.

        As an ordinary client does, the request comes again after a failure, a few times.
        """
        process = self.process_at(listener)
        assert process.is_running(), f"ended with status {process.child.returncode}"
        answered = False
        for _ in range(ATTEMPTS):
            answered = answered or await self.is_answered(listener)
            if not answered:
                await asyncio.sleep(PAUSE_S)
        assert process.is_running(), f"ended with status {process.child.returncode}"
        peak_mb = process.peak_bytes() / MIB
        print(f"peak memory {peak_mb:.0f} MiB, descriptors of the entry {self.peak_fds}")
        assert peak_mb < self.memory_mb
        if self.max_fds:
            assert self.peak_fds < self.max_fds
        assert answered


async def connect(address, receive_bytes=0):
    """Open a connection.

    :param receive_bytes: bytes that the client takes in without reading; 0 for the default.
    """
    host, _, port = address.rpartition(":")
    if not receive_bytes:
        return await asyncio.open_connection(host, int(port))
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=receive_bytes)


async def send_endlessly(address, first, more, total, connects=100):
    """Send bytes on one connection after the other until `total` bytes are sent."""
    sent = 0
    for _ in range(connects):
        with suppress(OSError):
            reader, writer = await connect(address)
            try:
                writer.write(first)
                while sent < total and not reader.at_eof():
                    writer.write(more)
                    sent += len(more)
                    await writer.drain()
                    await asyncio.sleep(0)
            finally:
                writer.transport.abort()
        if sent >= total:
            return


async def press(clients):
    """Run clients until they are done, `PRESS_S` at most."""
    tasks = [asyncio.create_task(client) for client in clients]
    _, pending = await asyncio.wait(tasks, timeout=PRESS_S)
    for task in pending:
        task.cancel()
    await asyncio.wait(tasks)
    for task in tasks:
        if not task.cancelled():
            task.result()


@asynccontextmanager
async def held_open(address, count, payload, read_bytes=0):
    """Hold connections open that have sent the same bytes, until the context is left.

    :param read_bytes: what each reads twice a second; 0 for nothing.
    """
    writers = []

    async def hold():
        with suppress(OSError):
            reader, writer = await connect(address, read_bytes * 2)
            writers.append(writer)
            writer.write(payload)
            while read_bytes:
                await asyncio.sleep(PAUSE_S)
                await reader.read(read_bytes)
            await writer.drain()

    tasks = [asyncio.create_task(hold()) for _ in range(count)]
    await asyncio.wait(tasks, timeout=PRESS_S)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        for writer in writers:
            writer.transport.abort()
        await asyncio.wait(tasks)
