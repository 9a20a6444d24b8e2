"""Test fixture that runs a site in one event loop: control, sidecars, stand-ins and an entry."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack

import aiohttp

from apricotvale.client import TrainerClient
from apricotvale.control import commands as c
from apricotvale.control.configuration import ConfigDocument
from apricotvale.daemons.control import ControlDaemon
from apricotvale.daemons.entry import Entry
from apricotvale.daemons.http_server import HttpServer
from apricotvale.daemons.sidecar import Sidecar
from apricotvale.settings.schema import ProcessSettings, Upstream
from apricotvale.standins.engine import Engine, EngineSpec, make_app
from apricotvale.standins.service import PlainService, make_service_app
from scripts.ports import free_address

READY_TIMEOUT_S = 15.0

BASE = """
name = "test"
region = "r"
failure_domains = ["a"]
[pools.pool]
models = ["m"]
replicas = 2
slots = 4
[services.desk]
replicas = 1
[[services.desk.routes]]
path = "/read"
methods = ["GET"]
idempotent = true
timeout_ms = 2000
[[services.desk.routes]]
path = "/slots"
methods = ["POST"]
idempotent = false
timeout_ms = 2000
[trainers.t]
pool = "pool"
model = "m"
group_size = 2
staleness_bound = 1
[limits]
max_body_bytes = 65536
drain_ms = 5000
[control]
sync_ms = 200
lease_ms = 2000
"""


class Site:
    """Daemons and stand-ins of one site on loopback; control is stopped last.

    :param replicas: number of control replicas.
    """

    def __init__(self, folder, replicas=1):
        self.folder = folder
        self.controls = {}
        self.addresses = [free_address() for _ in range(replicas)]
        self.control = self.addresses[0]
        self.daemons = []
        self.engines = []
        self.sidecars = []
        self.stack = AsyncExitStack()

    async def __aenter__(self):
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        replicas = {f"control-{n}": address for n, address in enumerate(self.addresses)}
        for name, address in replicas.items():
            folder = str(self.folder / name)
            settings = self.settings(name, address, data_folder=folder, replicas=replicas)
            daemon = ControlDaemon(settings)
            self.controls[daemon] = self.start(daemon)
        self.control_daemon = next(iter(self.controls))
        for number in (1, 2):
            await self.add_engine(number)
        self.service = PlainService()
        address = free_address()
        await self.stack.enter_async_context(HttpServer(make_service_app(self.service), address))
        self.desk = self.add_sidecar("desk-1", Upstream(address=address, service="desk"))
        self.entry = Entry(self.settings("entry-1", free_address()))
        self.url = f"http://{self.entry.settings.listen}"
        self.start(self.entry)
        await self.entry.control.propose(
            c.ApplyConfig("first", 0, ConfigDocument(BASE)), time.monotonic() + READY_TIMEOUT_S
        )
        await self.wait(lambda: self.entry.is_ready() and len(self.entry.view.members) == 4)
        return self

    async def __aexit__(self, *exc_info):
        control = list(self.controls.values())
        others = [daemon for daemon in self.daemons if daemon not in control]
        for group in (others, control):
            for stop, _ in group:
                stop.set()
            await asyncio.gather(*(task for _, task in group))
        await self.stack.aclose()

    def settings(self, name, listen, **extra):
        return ProcessSettings(name=name, site="a", listen=listen, control=self.addresses, **extra)

    def start(self, daemon):
        stop = asyncio.Event()
        task = asyncio.create_task(daemon.run(stop))
        self.daemons.append((stop, task))
        return stop, task

    async def add_entry(self, name):
        """Start another entry; return it and its address once it has what the first one has."""
        entry = Entry(self.settings(name, free_address()))
        self.start(entry)
        await self.wait(entry.is_ready)
        return entry, f"http://{entry.settings.listen}"

    async def add_engine(self, number):
        engine = Engine(EngineSpec(("m",), step_s=0.002, slots=4, swap_s=0.0))
        address = free_address()
        await self.stack.enter_async_context(HttpServer(make_app(engine), address))
        self.engines.append(engine)
        self.sidecars.append(
            self.add_sidecar(f"pool-{number}", Upstream(address=address, pool="pool"))
        )

    def add_sidecar(self, name, upstream):
        sidecar = Sidecar(self.settings(name, free_address(), upstream=upstream))
        sidecar.stop, sidecar.task = self.start(sidecar)
        return sidecar

    def control_state(self):
        return self.control_daemon.replica.state

    async def wait(self, condition, seconds=READY_TIMEOUT_S):
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, f"condition not met within {seconds} s"
            await asyncio.sleep(0.01)

    async def post(self, path, body=None, headers=None, **options):
        """Send a POST to the entry; return the status and the JSON document."""
        async with self.session.post(
            self.url + path, json=body, headers=headers, **options
        ) as response:
            return response.status, await response.json(content_type=None)

    async def complete(self, prompt="p", tokens=4, **headers):
        body = {"model": "m", "prompt": prompt, "max_tokens": tokens}
        return await self.post("/v1/completions", body, headers)

    def trainer(self):
        return TrainerClient("t", [self.url], patience_s=20.0)
