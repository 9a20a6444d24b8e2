"""How old an entry takes its table to be, with a control replica on a real socket."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from apricotvale.daemons import fleet_link
from apricotvale.daemons.fleet_link import FleetLink
from apricotvale.daemons.rpc_server import ControlService, make_server
from apricotvale.discovery import UpstreamDelta
from apricotvale.fleet import calls
from apricotvale.fleet.calls import FLEET
from scripts.ports import free_address

READY_TIMEOUT_S = 20.0
# Below the time limit of a watch.
DELAY_S = 0.8
# Between the two ages of the reply in the tests, with room for a busy machine.
MAX_ROUTES_AGE_S = 0.7
REPLIES = 3


@asynccontextmanager
async def following(reply):
    """Yield the link of an entry to a replica that gives the same reply after `DELAY_S`."""

    async def on_call(request):
        await asyncio.sleep(DELAY_S)
        return reply

    server = make_server(ControlService(on_call, lambda batch: None, FLEET))
    address = free_address()
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
    link = FleetLink([address], lambda document: None)
    task = asyncio.create_task(link.run())
    yield link
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    link.close()
    server.close()
    await server.wait_closed()


@pytest.mark.parametrize(("held_s", "knows"), [(0.0, False), (DELAY_S, True)])
async def test_a_reply_that_comes_late_confirms_what_was_true_when_it_was_sent(
    monkeypatch, held_s, knows
):
    """Guards against a 404 for a route that was added while a reply waited to be read.

    Load pattern: an entry with little processor time reads a reply seconds after it has arrived.
    """
    monkeypatch.setattr(fleet_link, "MAX_ROUTES_AGE_S", MAX_ROUTES_AGE_S)
    found = asyncio.Queue()
    reply = calls.WatchReply(UpstreamDelta(0, False, [], []), 0, held_s=held_s)
    async with following(reply) as link:
        link.on_reply = lambda reply: found.put_nowait(link.knows_all_routes)
        async with asyncio.timeout(READY_TIMEOUT_S):
            answers = [await found.get() for _ in range(REPLIES)]
    # On a busy machine one reply may really be late.
    assert any(answers) is knows
