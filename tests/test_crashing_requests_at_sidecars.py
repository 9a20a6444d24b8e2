"""Requests that end their upstream, on the product's own path of entries and sidecars."""

from __future__ import annotations

import asyncio
import time

import pytest

from apricotvale.settings.schema import Upstream
from tests.platform_standin import StandIn
from tests.site import Site

DEADLY = b"deadly"
MAX_CRASHES = 3


@pytest.fixture
async def fragile_site(tmp_path):
    """A site with four plain upstreams that `DEADLY` ends and that come back."""
    async with Site(tmp_path) as site:
        site.desks = []
        for number in range(4):
            desk = StandIn(f"d-{number}", "desk", deadly={DEADLY})
            site.desks.append(await site.stack.enter_async_context(desk))
            site.add_sidecar(desk.upstream_id, Upstream(address=desk.address, service="desk"))
        await site.wait(lambda: len(site.entry.view.members) == 8)
        site.desk.stop.set()
        await site.wait(lambda: len(site.entry.view.members) == 7)
        yield site


async def test_a_repeated_request_that_crashes_upstreams_is_stopped(fragile_site):
    """Guards against submissions that are each sent as if the ones before had done no harm."""
    deadline = time.monotonic() + 3.0
    while time.monotonic() < deadline:
        url = f"{fragile_site.url}/services/desk/read"
        async with fragile_site.session.get(url, data=DEADLY) as response:
            await response.read()
        await asyncio.sleep(0.2)
    assert sum(len(desk.crashed_by) for desk in fragile_site.desks) <= MAX_CRASHES
