"""A completion that ends the engines that run it, complete or streamed, is stopped."""

from __future__ import annotations

import asyncio
import json
import socket
import uuid

import aiohttp
import pytest
from aiohttp import web

from apricotvale.daemons.http_server import HttpServer
from apricotvale.settings.schema import Upstream
from apricotvale.standins.engine import Engine, EngineSpec, make_app
from scripts.ports import free_address
from tests.site import Site

DEADLY = "deadly"
MAX_CRASHES = 3
CRASH_S = 0.1
RESTART_S = 0.5


class FragileEngine:
    """An engine that a prompt ends while it runs, and that comes back as another instance."""

    def __init__(self):
        self.engine = Engine(EngineSpec(("m",), step_s=0.002, slots=4, swap_s=0.0))
        self.address = free_address()
        self.crashes = 0
        self.tasks = set()

    async def start(self):
        app = make_app(self.engine)
        app.middlewares.append(self.middleware)
        self.server = HttpServer(app, self.address)
        await self.server.__aenter__()

    @web.middleware
    async def middleware(self, request, handler):
        if request.path == "/v1/completions" and (await request.json())["prompt"] == DEADLY:
            self.tasks.add(asyncio.create_task(self.crash(request)))
        return await handler(request)

    async def crash(self, request):
        await asyncio.sleep(CRASH_S)
        if request.transport is None or request.transport.is_closing():
            return
        self.crashes += 1
        await self.server.stop_accepting()
        with socket.socket() as holder:
            # Keeps the port from other processes, and refuses connections.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            host, _, port = self.address.rpartition(":")
            holder.bind((host, int(port)))
            for connection in list(self.server.runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await self.server.__aexit__()
            await asyncio.sleep(RESTART_S)
        self.engine.instance = uuid.uuid4().hex
        await self.start()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.server.__aexit__()


@pytest.fixture
async def fragile_site(tmp_path):
    """A site whose four engines `DEADLY` ends."""
    async with Site(tmp_path) as site:
        site.fragile = [FragileEngine() for _ in range(4)]
        for number, engine in enumerate(site.fragile):
            await engine.start()
            site.stack.push_async_callback(engine.stop)
            site.add_sidecar(f"f-{number}", Upstream(address=engine.address, pool="pool"))
        for sidecar in site.sidecars:
            sidecar.stop.set()

        def names():
            members = site.entry.view.members.values()
            return {member.name for member in members if member.models}

        await site.wait(lambda: names() == {f"f-{number}" for number in range(4)})
        yield site


async def submit(site, prompt, stream):
    """Submit a completion; return its status, or "cut" if the stream broke off."""
    body = {"model": "m", "prompt": prompt, "max_tokens": 400, "stream": stream}
    async with site.session.post(f"{site.url}/v1/completions", json=body) as response:
        try:
            content = await response.read()
        except aiohttp.ClientError:
            return "cut"
        if response.status != 200:
            assert json.loads(content)["ran"] == (
                "not_run" if response.status == 503 else "unknown"
            )
        return response.status


@pytest.mark.parametrize("stream", [False, True], ids=["complete", "streamed"])
async def test_a_repeated_completion_that_crashes_engines_is_stopped(fragile_site, stream):
    """Guards against engines that end one by one under a completion that is sent again."""
    statuses = [await submit(fragile_site, DEADLY, stream) for _ in range(6)]
    assert sum(engine.crashes for engine in fragile_site.fragile) <= MAX_CRASHES
    assert statuses[-1] == 503 and 200 not in statuses
    assert await submit(fragile_site, "another", stream) == 200
