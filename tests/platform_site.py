"""A whole deployment in one process: control replicas, an entry and stand-in upstreams."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
from contextlib import AsyncExitStack, suppress

import aiohttp
from attrs import define, field

from apricotvale.daemons.fleet_control import FleetControl
from apricotvale.daemons.fleet_entry import FleetEntry
from apricotvale.daemons.http_server import HttpServer
from apricotvale.platform import names, wire
from apricotvale.platform.client import PlatformClient
from apricotvale.platform.infrastructure import InfrastructureClient
from apricotvale.platform.interface import ControlInterface
from apricotvale.platform.requests import RequestInterface
from apricotvale.settings.fleet import FleetSettings
from scripts.ports import free_address, free_port
from tests.platform_standin import StandIn

HOST = "desk.example"
READY_TIMEOUT_S = 10.0
HEARTBEAT_S = 0.5


def table(version, **changes):
    document = {
        "version": version,
        "routes": [
            {
                "name": "fees",
                "hostname": HOST,
                "path_prefix": "/fees/",
                "type": "safe",
                "timeout_ms": 1500,
                "target_latency_ms": 200,
                "service": "desk",
                "max_attempts": 4,
            },
            {
                "name": "drafts",
                "hostname": HOST,
                "path_prefix": "/drafts/",
                "type": "rollout",
                "timeout_ms": 10000,
                "service": "lm",
                "max_attempts": 3,
                "keep_s": 40,
            },
        ],
        "services": [
            {"name": "desk", "health_path": "/healthz"},
            {"name": "lm", "engine": {"models": [{"name": "m"}]}},
        ],
        "limits": {"max_body_bytes": 1_000_000},
    }
    return {**document, **changes}


def item(name, group="g1", scored=True):
    document = {
        "id": name,
        "path": f"/drafts/{name}",
        "headers": {"Model": "m"},
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": 100,
        "group": group,
    }
    if scored:
        body = base64.b64encode(b"text").decode()
        scorer = {"id": f"s-{name}", "hostname": HOST, "path": f"/fees/{name}", "body": body}
        document["scorer"] = scorer
    return document


def job(*items, step=0, min_version=1):
    return {"items": items, "step": step, "model": "m", "min_version": min_version}


@define
class Site:
    """A running deployment, with methods for the HTTP calls that the platform makes.

    The parameter `at` of these methods is the number of the control replica to call. `memory_mb` is
    the memory that the settings of the entry state.

    :param usage: settings of usage reports, the same for all processes.
    """

    folder: object
    usage: dict = field(factory=dict)
    stack: AsyncExitStack = field(factory=AsyncExitStack)
    controls: list = field(factory=list)
    interfaces: list = field(factory=list)
    tasks: list = field(factory=list)
    desks: list = field(factory=list)
    engines: list = field(factory=list)
    sequences: dict = field(factory=dict)
    states: dict = field(factory=dict)
    entry: FleetEntry | None = None
    url: str = ""
    readiness: str = ""
    session: aiohttp.ClientSession | None = None
    memory_mb: float = 0.0

    async def __aenter__(self):
        await self.stack.__aenter__()
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        hosts = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
        port = free_port("0.0.0.0")
        contacts = [f"{host}:1" for host in hosts]
        for number, host in enumerate(hosts):
            await self.start_control(f"storage-{number}", host, port, contacts)
        await self.start_entry(port, contacts)
        for number in range(2):
            self.desks.append(await self.standin(f"d-{number}", "desk"))
            self.engines.append(await self.standin(f"e-{number}", "lm", {"m": 1}))
        return self

    async def __aexit__(self, *exc_info):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.stack.__aexit__(*exc_info)

    async def start_control(self, name, host, port, contacts):
        settings = FleetSettings(
            name=name,
            site="a",
            ip=host,
            contacts=contacts,
            founds=True,
            internal_port=port,
            interface=free_address(host),
            data_folder=str(self.folder / name),
            lease_ms=300,
            heartbeat_ms=round(HEARTBEAT_S * 1000),
            **self.usage,
        )
        client = await self.stack.enter_async_context(PlatformClient())
        infrastructure = InfrastructureClient(settings.infrastructure) if self.usage else None
        control = FleetControl(
            settings, client, wire.parse_table, names.EVENT_VERSION_FIELD, infrastructure
        )
        app = ControlInterface(control).make_app()
        await self.stack.enter_async_context(HttpServer(app, settings.interface))
        self.controls.append(control)
        self.interfaces.append(f"http://{settings.interface}")
        self.tasks.append(asyncio.create_task(control.run(asyncio.Event())))

    async def start_entry(self, port, contacts):
        address = free_address()
        ready = free_address()
        settings = FleetSettings(
            name="edge-1",
            site="a",
            ip="127.0.0.1",
            contacts=contacts,
            internal_port=port,
            memory_mb=self.memory_mb,
            **self.usage,
        )
        client = await self.stack.enter_async_context(PlatformClient())
        self.entry = FleetEntry(settings, client, wire.parse_table)
        interface = RequestInterface(self.entry)
        await self.stack.enter_async_context(interface.make_server(address))
        await self.stack.enter_async_context(HttpServer(interface.make_readiness_app(), ready))
        self.url, self.readiness = f"http://{address}", f"http://{ready}{names.READY_PATH}"
        self.tasks.append(asyncio.create_task(self.entry.run(asyncio.Event())))

    async def add_desks(self, count):
        """Start further upstreams of the plain service, and wait until the entry has them."""
        for _ in range(count):
            self.desks.append(await self.standin(f"d-{len(self.desks)}", "desk"))
        await self.send_heartbeats()

        async def known():
            return len(self.entry.link.view.upstreams)

        upstreams = len(self.desks) + len(self.engines)
        await self.wait_until(known, lambda found: found == upstreams)

    async def start_second_entry(self):
        """Start another entry; return it and its address once it has the table and all upstreams.

        The entry that calls go to by default stays the same.
        """
        first, url, readiness = self.entry, self.url, self.readiness
        await self.start_entry(first.settings.internal_port, first.settings.contacts)
        second, second_url = self.entry, self.url
        self.entry, self.url, self.readiness = first, url, readiness

        upstreams = len(self.desks) + len(self.engines)

        async def state():
            return len(second.link.view.upstreams), second.link.table is not None

        await self.wait_until(state, lambda found: found == (upstreams, True))
        return second, second_url

    async def wait_until_entry_is_ready(self):
        """Wait until the entry has the table and all upstreams."""
        upstreams = len(self.desks) + len(self.engines)

        async def state():
            return len(self.entry.link.view.upstreams), self.entry.link.table is not None

        await self.wait_until(state, lambda found: found == (upstreams, True))

    async def standin(self, name, service, models=None):
        behaviour = "stream" if service == "lm" else "good"
        standin = StandIn(name, service, behaviour, models=models or {})
        return await self.stack.enter_async_context(standin)

    # Calls of operators, trainers and upstreams

    async def control_call(self, method, path, document=None, body=None, at=0):
        data = body if body is not None else json.dumps(document).encode()
        url = self.interfaces[at] + path
        async with self.session.request(method, url, data=data) as response:
            return response.status, await response.read()

    async def wait_until(self, call, condition, timeout_s=READY_TIMEOUT_S):
        """Repeat a call until its result meets a condition; return that result.

        The test fails if this takes longer than `timeout_s`.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        while True:
            self.check_tasks()
            result = await call()
            if condition(result):
                return result
            assert asyncio.get_running_loop().time() < deadline, result
            await asyncio.sleep(0.05)

    def check_tasks(self):
        """Raise the exception of a process that has ended unexpectedly."""
        for task in self.tasks:
            if task.done() and not task.cancelled():
                task.result()

    async def put_table(self, document, at=0):
        return (await self.control_call("PUT", names.CONFIG_PATH, document, at=at))[0]

    async def put_table_until_accepted(self, document):
        """Put a table again until it is accepted, as operators do while there is no leader."""
        await self.wait_until(lambda: self.put_table(document), lambda status: status == 200)

    async def send_heartbeat(self, standin, state="ready", at=0):
        sequence = self.sequences[standin.upstream_id] = (
            self.sequences.get(standin.upstream_id, 0) + 1
        )
        self.states[standin.upstream_id] = state
        path = f"/api/replicas/{standin.upstream_id}"
        document = standin.heartbeat(sequence, state)
        return (await self.control_call("PUT", path, document, at=at))[0]

    async def send_heartbeats(self):
        """Register all upstreams.

        A control replica answers 503 while the group elects a leader. Senders on the platform then
        call the next replica.
        """
        replicas = itertools.cycle(range(len(self.controls)))
        for standin in [*self.desks, *self.engines]:
            await self.wait_until(
                lambda standin=standin: self.send_heartbeat(standin, at=next(replicas)),
                lambda status: status == 200,
            )

    def keep_sending_heartbeats(self):
        """Repeat the last heartbeats of all upstreams, as they do on the platform."""

        async def repeat():
            while True:
                await asyncio.sleep(HEARTBEAT_S)
                for standin in [*self.desks, *self.engines]:
                    if standin.is_down:
                        continue
                    at = next((n for n, c in enumerate(self.controls) if c.replica.leads), 0)
                    with suppress(aiohttp.ClientError):
                        state = self.states.get(standin.upstream_id, "ready")
                        await self.send_heartbeat(standin, state, at)

        self.tasks.append(asyncio.create_task(repeat()))

    async def wait_until_ready(self, version=1):
        """Put a table, register all upstreams and wait until the entry has both."""
        await self.put_table_until_accepted(table(version))
        await self.send_heartbeats()

        async def entry_state():
            return len(self.entry.link.view.upstreams), self.entry.link.table is not None

        await self.wait_until(entry_state, lambda found: found == (4, True))

    # Calls of callers

    async def request(
        self, path, request_id="r-1", method="POST", host=HOST, url="", body=b"x", **headers
    ):
        extra = {name.replace("_", "-"): value for name, value in headers.items()}
        fields = {"Host": host, names.REQUEST_ID: request_id, names.DEADLINE_MS: "1500", **extra}
        async with self.session.request(
            method, (url or self.url) + path, headers=fields, data=body
        ) as response:
            return response.status, response.headers, await response.read()

    async def submit(self, job_id, document):
        fields = {"Host": HOST, names.REQUEST_ID: job_id}
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        async with self.session.post(
            self.url + "/drafts/jobs", headers=fields, data=body
        ) as response:
            return response.status

    async def submit_until_accepted(self, job_id, document):
        """Submit a job again until it is accepted, as trainers do while there is no leader."""
        await self.wait_until(
            lambda: self.submit(job_id, document), lambda status: status in (200, 202)
        )

    async def results(self, job_id, after=0, wait_ms=0):
        fields = {"Host": HOST, names.WAIT_MS: str(wait_ms)}
        url = f"{self.url}/api/lots/{job_id}?after={after}"
        async with self.session.get(url, headers=fields) as response:
            return response.status, await response.json() if response.status == 200 else None

    async def all_results(self, job_id, count):
        async def read():
            return await self.results(job_id, wait_ms=300)

        _, document = await self.wait_until(read, lambda r: r[0] == 200 and r[1]["next"] >= count)
        return {result["id"]: result for result in document["results"]}
