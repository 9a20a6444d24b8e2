"""A sidecar sends a caller's request to its upstream once, and says truly whether it has run."""

from __future__ import annotations

import pytest

from apricotvale.settings.schema import Upstream
from tests.platform_standin import StandIn
from tests.site import Site


@pytest.fixture
async def desk_site(tmp_path):
    """A site with one plain upstream, a stand-in."""
    async with Site(tmp_path) as site, StandIn("d-0", "desk", deadly={b"deadly"}) as desk:
        sidecar = site.add_sidecar("d-0", Upstream(address=desk.address, service="desk"))
        site.desk.stop.set()
        await site.wait(lambda: "d-0" in site.entry.view.members)
        await site.wait(lambda: "desk-1" not in site.entry.view.members)
        site.one_desk = desk
        yield site
        sidecar.stop.set()
        await sidecar.task


def sends(site):
    return [r for r in site.one_desk.requests if r.target == "/read"]


async def read(site, body):
    async with site.session.get(f"{site.url}/services/desk/read", data=body) as response:
        return response.status, await response.json(content_type=None)


async def test_a_request_that_ended_its_upstream_is_not_said_not_to_have_run(desk_site):
    """Guards against a client that repeats a GET, and reports the refusal of the second send."""
    _, problem = await read(desk_site, b"deadly")
    assert problem["ran"] == "unknown"
    assert len(sends(desk_site)) == 1


async def test_a_request_whose_connection_closed_is_not_sent_twice(desk_site):
    """Guards against a client that repeats a GET at an upstream that goes on."""
    desk_site.one_desk.behaviour = "reset"
    _, problem = await read(desk_site, b"")
    assert problem["ran"] == "unknown"
    assert len(sends(desk_site)) == 1
