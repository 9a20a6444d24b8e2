"""The VMs of a soak: real processes with settings files, disks, signals and losses of power."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import time

from attrs import define, field

from tests.soak_disk import ROOT
from tests.soak_links import Links
from tests.soak_power import lose_power, read_held

INTERNAL_PORT = 7720
INTERFACE_PORT = 8166
REQUEST_PORT = 8161
READINESS_PORT = 8167
METRICS_PORT = 9464
CATCH_UP_S = 4.3
# A start takes this long on a machine that is not busy.
START_S = 1.0
RECOVER_S = 12.0
GRACE_S = 8.0
# Numbers of log events of consensus that the timeline leaves out: connections to peers.
UNLOGGED = (507, 508)
READ_ATTEMPTS = 5
SHARED_FIELDS = ("at", "level", "process", "event", "name")


@define
class Vm:
    """One VM with one process.

    :param killed: the process that was killed last.
    :param founds: whether the process may found the group; false once the disk was lost.
    :param lost_until: when the VM counts as caught up after it lost its disk, on the run's clock.
    :param back_at: when the process was started last, or `START_S` before it listened if later.
    :param wanted: whether the process is meant to run, so that its end is a break.
    :param lock: held while a fault is played on the VM.
    """

    site: Site
    name: str
    role: str
    ip: str
    founds: bool
    process: subprocess.Popen | None = None
    killed: subprocess.Popen | None = None
    lost_until: float = 0.0
    back_at: float = 0.0
    wanted: bool = False
    starts: int = 0
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    @property
    def data(self):
        return self.site.folder / self.name / "data"

    @property
    def recorded(self):
        return self.site.folder / self.name / "record"

    @property
    def url(self):
        port = REQUEST_PORT if self.role == "entry" else INTERFACE_PORT
        return f"http://{self.ip}:{port}"

    def settings(self):
        contacts = [f"{vm.ip}:{INTERFACE_PORT}" for vm in self.site.controls]
        values = {"name": self.name, "site": f"zone-{self.name[-1]}", "ip": self.ip}
        values |= {"contacts": contacts, "founds": self.founds, "internal_port": INTERNAL_PORT}
        values |= {"metrics": f"{self.ip}:{METRICS_PORT}", "failures": 1, "memory_mb": 300}
        values |= {"heartbeat_ms": 1200, "lease_ms": 3000, "retention_s": 120, "stop_s": GRACE_S}
        if self.role == "entry":
            values["requests"] = f"{self.ip}:{REQUEST_PORT}"
            values["readiness"] = f"{self.ip}:{READINESS_PORT}"
        else:
            values["interface"] = f"{self.ip}:{INTERFACE_PORT}"
            values["data_folder"] = str(self.data)
        return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

    def start(self):
        folder = self.site.folder / self.name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "settings.toml").write_text(self.settings())
        environment = {"PATH": os.environ["PATH"], "APRICOTVALE_BOOT": f"{folder}/settings.toml"}
        if self.role == "control":
            self.recorded.mkdir(exist_ok=True)
            (self.recorded / "delay").write_text(f"{self.site.sync_s}")
            environment["SOAK_RECORD"] = str(self.recorded)
        if self.site.links:
            environment["SOAK_LINKS"] = json.dumps(self.site.links.hosts_from(self))
        with open(folder / "log", "ab") as log:
            command = [sys.executable, ROOT / "tests" / "soak_disk.py", self.role]
            streams = {"stdin": subprocess.DEVNULL, "stdout": log, "stderr": log}
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, **streams)
        self.starts += 1
        self.site.note(f"{self.name} starts, founds {self.founds}")
        return self.site.now()

    async def start_up(self):
        """Start the process until it listens; start it again if it is killed before."""
        started_at = self.start()
        while True:
            if self.process.poll() is not None:
                started_at = self.start()
            try:
                port = REQUEST_PORT if self.role == "entry" else INTERNAL_PORT
                _, writer = await asyncio.open_connection(self.ip, port)
                writer.close()
                if self.killed is not self.process:
                    break
            except OSError:
                pass
            await asyncio.sleep(0.02)
        self.wanted = True
        if self.site.links:
            await self.site.links.open_to(self)
        self.back_at = max(started_at, self.site.now() - START_S)
        self.site.note(f"{self.name} listens, started at {started_at:.2f}")
        if self.is_lost:
            self.lost_until = self.back_at + CATCH_UP_S

    @property
    def is_lost(self):
        """Whether the VM has not had the time to catch up since it lost its disk."""
        return self.lost_until > self.site.now()

    def extend_loss(self, lasts_s=0.0):
        """Begin the time to catch up again if the VM is disturbed within it.

        :param lasts_s: time for which it is disturbed from now on, in seconds.
        """
        if self.is_lost:
            self.lost_until = max(self.lost_until, self.site.now() + lasts_s + CATCH_UP_S)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.wanted = False
        self.killed = self.process
        self.signal(signal.SIGKILL)
        if self.site.links:
            self.site.links.close_to(self)

    async def wait_for_end(self, limit_s=2.0):
        deadline = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.005)

    def wipe(self):
        """Remove the disk of a process that has ended."""
        self.process.wait(2)
        shutil.rmtree(self.data, ignore_errors=True)
        shutil.rmtree(self.recorded, ignore_errors=True)
        self.founds = False
        self.lost_until = float("inf")
        self.site.note(f"{self.name} has lost its disk")

    def lose_power(self, rng):
        """Take back what the disk of a process that was killed has not synced."""
        self.process.wait(2)
        if self.role == "control" and self.data.exists():
            self.site.note(f"{self.name} lost power: {lose_power(self.data, self.recorded, rng)}")

    def delay_syncs(self, seconds):
        if self.recorded.exists():
            (self.recorded / "delay").write_text(f"{seconds}")


@define
class Site:
    """All VMs of a run.

    :param network: the first three parts of the addresses of all VMs.
    :param sync_s: time that a sync takes, in seconds.
    :param links: proxies between the VMs, None for direct connections.
    :param busy: intervals in which something was disturbed, planned stops apart.
    """

    folder: object
    network: str
    sync_s: float = 0.001
    links: Links | None = None
    vms: list[Vm] = field(factory=list)
    began_at: float = field(factory=time.monotonic)
    began_wall: float = field(factory=time.time)
    notes: list = field(factory=list)
    breaks: list = field(factory=list)
    busy: list = field(factory=list)
    planned: list = field(factory=list)

    def __attrs_post_init__(self):
        for number in range(3):
            self.vms.append(Vm(self, f"c{number}", "control", f"{self.network}.{number + 2}", True))
        for number in range(2):
            self.vms.append(Vm(self, f"e{number}", "entry", f"{self.network}.{number + 11}", True))

        if self.links:
            self.links.add_all(self, INTERNAL_PORT)

    @property
    def controls(self):
        return [vm for vm in self.vms if vm.role == "control"]

    @property
    def entries(self):
        return [vm for vm in self.vms if vm.role == "entry"]

    def now(self):
        return time.monotonic() - self.began_at

    def note(self, text):
        self.notes.append((self.now(), text))

    def fail(self, kind, text):
        self.breaks.append((self.now(), kind, text))
        self.note(f"BREAK {kind}: {text}")

    def disturb(self, planned=False):
        """Begin a disturbance; return it, a pair whose end is to be set."""
        interval = [self.now(), float("inf")]
        (self.planned if planned else self.busy).append(interval)
        return interval

    def was_calm(self, since, planned=True):
        """Return whether nothing was disturbed from `since` on.

        :param planned: whether planned stops and reloads count too.
        """
        intervals = self.busy + (self.planned if planned else [])
        return since > 0 and all(end < since for _, end in intervals)

    def check_ends(self):
        for vm in self.vms:
            if vm.wanted and vm.process.poll() is not None:
                self.fail("ENDED", f"{vm.name} ended by itself with {vm.process.returncode}")
                vm.wanted = False

    def describe_disks(self, why):
        for vm in self.controls:
            self.note(f"{why}: {vm.name} has {self.read_held(vm)}")

    def read_held(self, vm):
        """Return what a VM's disk holds; a folder that cannot be read is a break."""
        for _ in range(READ_ATTEMPTS):
            held = read_held(vm.data, vm.name)
            if not held.problem.startswith("unreadable"):
                return held
            # The process may have replaced files between two reads.
            time.sleep(0.02)
        self.fail("UNREADABLE", f"{vm.name}: {held}")
        return held

    def leader(self):
        """Return the control VM whose log last says that it leads."""
        leading = {}
        for vm in self.controls:
            for at, line in read_log(self, vm):
                if line["name"] == "role-changed" and line["role"] == "leader":
                    leading[vm.name] = at
        return max(leading, key=leading.get, default="")

    def close(self):
        started = [vm for vm in self.vms if vm.process is not None]
        for vm in started:
            vm.kill()
        for vm in started:
            vm.process.wait(5)
        if self.links:
            self.links.close()

    def write_timeline(self):
        """Write the notes, with the main events of the control logs among them."""
        lines = list(self.notes)
        for vm in self.controls:
            former = ""
            for at, line in read_log(self, vm):
                if line["event"] // 100 == 5 and line["event"] not in UNLOGGED:
                    fields = {k: v for k, v in line.items() if k not in SHARED_FIELDS}
                    text = f"    {vm.name} {line['name']} {json.dumps(fields)}"
                    # A replica that finds no leader asks to join several times a second.
                    if text != former:
                        lines.append((at, text))
                    former = text
        lines.sort(key=lambda pair: pair[0])
        text = "".join(f"{at:8.3f} {line}\n" for at, line in lines)
        (self.folder / "timeline").write_text(text)


def read_log(site, vm):
    """Return the events in a VM's log with their times on the run's clock."""
    path = site.folder / vm.name / "log"
    found = []
    for text in path.read_text(errors="replace").splitlines() if path.exists() else []:
        try:
            line = json.loads(text)
            found.append((line["at"] - site.began_wall, line))
        except (ValueError, KeyError, TypeError):
            continue
    return found
