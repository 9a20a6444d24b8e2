"""A small deployment of the project's own programs on loopback addresses."""

from __future__ import annotations

import asyncio
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

ROOT = Path(__file__).resolve().parents[2]
ZONES = ["gent-a", "gent-b", "gent-c"]
GRACE_S = 8.0


class Unable(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.path = Path(path)
        self.started = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self, *summary):
        self.path.write_text("\n".join([*summary, "", *self.lines]) + "\n")


class Process:
    """One process of the deployment, with a loopback address of its own."""

    def __init__(self, site, name, role, ip, zone):
        self.site, self.name, self.role, self.ip, self.zone = site, name, role, ip, zone
        self.folder = site.folder / name
        self.folder.mkdir()
        self.founds = True
        self.child = None
        if role == "control":
            (self.folder / "data").mkdir()

    def settings(self):
        site = self.site
        values = {"name": self.name, "site": self.zone, "ip": self.ip}
        values["contacts"] = [f"{p.ip}:{site.interface_port}" for p in site.controls]
        values |= {"founds": self.founds, "internal_port": site.internal_port}
        values |= {"failures": 1, "memory_mb": 300, "heartbeat_ms": 1200, "lease_ms": 3000}
        values |= {"retention_s": 120, "stop_s": 8}
        values["metrics"] = f"{self.ip}:{site.metrics_port}"
        if self.role == "entry":
            values["requests"] = f"{self.ip}:{site.request_port}"
            values["readiness"] = f"{self.ip}:{site.readiness_port}"
        else:
            values["interface"] = f"{self.ip}:{site.interface_port}"
            values["data_folder"] = str(self.folder / "data")
        return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

    def start(self):
        (self.folder / "settings.toml").write_text(self.settings())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "APRICOTVALE_BOOT": str(self.folder / "settings.toml"),
        }
        with open(self.folder / "log", "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "deploy/start.py", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.site.record.note(f"process {self.name} starts")

    def signal(self, number):
        self.site.record.note(f"process {self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def lose_power(self):
        """End at once; the disk stays as it is, and the process is no first one any more."""
        self.signal(signal.SIGKILL)
        self.child.wait()
        self.founds = False

    def lose_disk(self):
        """End at once, and lose all files of the disk."""
        self.lose_power()
        shutil.rmtree(self.folder / "data")
        (self.folder / "data").mkdir()
        self.site.record.note(f"process {self.name} has lost its disk")

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def end(self):
        if self.is_running():
            self.child.kill()
        if self.child is not None:
            self.child.wait()


class Deployment:
    """Control replicas and entries as processes; a context manager that ends them all."""

    def __init__(self, record, entries=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.version = 0
        third = random.randrange(16, 240)
        self.subnet = f"127.{random.randrange(16, 240)}.{third}"
        ports = self.free_ports(6)
        self.internal_port, self.interface_port, self.request_port = ports[:3]
        self.readiness_port, self.metrics_port, self.upstream_port = ports[3:]
        self.controls, self.entries = [], []
        for number, zone in enumerate(ZONES):
            ip = f"{self.subnet}.{number + 2}"
            self.controls.append(Process(self, f"storage-{zone}-1", "control", ip, zone))
        for number in range(entries):
            zone = ZONES[number % len(ZONES)]
            ip = f"{self.subnet}.{number + 10}"
            name = f"edge-{zone}-{number + 1}"
            self.entries.append(Process(self, name, "entry", ip, zone))
        # Control replicas that are added later; they are no contacts.
        self.added = []
        self.next_upstream = 50
        self.config = None

    def free_ports(self, count):
        found = []
        while len(found) < count:
            port = random.randrange(20_000, 31_000)
            if port in found:
                continue
            try:
                for last in (*range(2, 8), *range(10, 16), *range(50, 80)):
                    with socket.socket() as probe:
                        probe.bind((f"{self.subnet}.{last}", port))
            except OSError:
                continue
            found.append(port)
        return found

    def add_control(self, zone):
        """Return a further control replica on an empty disk, which is not started yet."""
        ip = f"{self.subnet}.{len(self.controls) + len(self.added) + 2}"
        process = Process(self, f"storage-{zone}-2", "control", ip, zone)
        process.founds = False
        self.added.append(process)
        return process

    def upstream_address(self):
        self.next_upstream += 1
        return f"{self.subnet}.{self.next_upstream}", self.upstream_port

    async def __aenter__(self):
        for process in [*self.controls, *self.entries]:
            process.start()
        return self

    async def __aexit__(self, *exc_info):
        for process in [*self.controls, *self.added, *self.entries]:
            process.end()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for process in [*self.controls, *self.added, *self.entries]:
                shutil.copy(process.folder / "log", Path(kept) / f"{process.name}.log")
        shutil.rmtree(self.folder, ignore_errors=True)

    async def put_config(self, config, timeout_s=20.0):
        """Send a configuration until it is acknowledged, to any control replica."""
        self.version += 1
        config = {"version": self.version, **config}
        body = json.dumps(config).encode()
        deadline = time.monotonic() + timeout_s
        turn = 0
        while time.monotonic() < deadline:
            control = self.controls[turn % len(self.controls)]
            turn += 1
            status = await self.call(control, "PUT", "/api/config", body)
            if status == 200:
                self.record.note(f"configuration {self.version} acknowledged by {control.name}")
                return
            if status is not None and 400 <= status < 500:
                raise Unable(f"configuration refused with {status}")
            await asyncio.sleep(0.1)
        raise Unable("no acknowledgement of the configuration")

    async def call(self, control, method, path, body=b"", timeout_s=1.0):
        """Return the status of a call to a control replica, None without a response."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(control.ip, self.interface_port)
                try:
                    head = f"{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                    head += "Content-Type: application/json\r\n"
                    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                    line = await reader.readline()
                    return int(line.split()[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, IndexError, ValueError):
            return None

    async def read_config(self, control, timeout_s=1.0):
        """Return the version that a control replica answers a read with, None for none."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(control.ip, self.interface_port)
                try:
                    head = "GET /api/config HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n"
                    writer.write(head.encode())
                    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
                    if b" 200 " not in head.split(b"\r\n")[0]:
                        return None
                    return json.loads(body)["version"]
                finally:
                    writer.close()
        except (OSError, TimeoutError, ValueError, IndexError):
            return None

    async def wait_ready(self, timeout_s=20.0):
        """Wait until all entries answer their readiness check with 200."""
        deadline = time.monotonic() + timeout_s
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > deadline:
                    raise Unable(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, entry):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(entry.ip, self.readiness_port)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


def run_case(main):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")

    async def bounded():
        async with asyncio.timeout(115):
            return await main(record, trouble)

    try:
        broken, summary = asyncio.run(bounded())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    verdict = "BROKEN" if broken else "held"
    record.write(f"disruption: {'on' if trouble else 'off'}; rule: {verdict}", *summary)
    print(verdict, *summary, sep="\n")
    sys.exit(1 if broken else 0)
