"""The search of a client for the replica that leads, with servers on real sockets."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from apricotvale.consensus.calls import Redirect
from apricotvale.daemons.leader_client import LeaderClient
from apricotvale.daemons.rpc_server import ControlService, make_server
from apricotvale.fleet import calls
from apricotvale.fleet.calls import FLEET
from scripts.ports import free_address

ATTEMPT_TIMEOUT_S = 0.3
# Enough for each replica to be asked several times.
SEARCH_S = 5.0
# A caller that takes a stream up waits this long for the origin.
FIND_S = 1.7
FIND_ATTEMPT_S = 0.5


@asynccontextmanager
async def serving(on_call):
    """Serve calls as a control replica does; yield its address."""
    server = make_server(ControlService(on_call, lambda batch: None, FLEET))
    address = free_address()
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
    yield address
    server.close()
    await server.wait_closed()


def replying(reply):
    """Return a handler of calls that gives the same reply to each."""

    async def on_call(request):
        return reply

    return on_call


async def never_reply(request):
    await asyncio.Event().wait()


async def read_table(client):
    return await client.call(calls.ReadTable(), client.now() + SEARCH_S, ATTEMPT_TIMEOUT_S)


@pytest.mark.parametrize("on_call", [never_reply, replying(Redirect())])
@pytest.mark.parametrize("stale_replicas", [1, 2])
async def test_a_replica_that_names_a_former_leader_does_not_hide_the_leader(
    on_call, stale_replicas
):
    """Guards against entries that keep an old table: they alternate between two replicas.

    A learner that no leader reaches, or a replica whose disk has failed, goes on naming the leader
    that it followed last.
    """
    async with AsyncExitStack() as stack:
        former = await stack.enter_async_context(serving(on_call))
        stale = [
            await stack.enter_async_context(serving(replying(Redirect(former))))
            for _ in range(stale_replicas)
        ]
        leader = await stack.enter_async_context(serving(replying(calls.TableRead(7, b"t"))))
        client = LeaderClient([former, *stale, leader], FLEET)
        assert await read_table(client) == calls.TableRead(7, b"t")
        client.close()


async def test_a_leader_that_was_silent_once_is_found_by_the_others():
    """Guards against a search that avoids the leader, since one of its replies came late."""
    replies = iter([asyncio.Event().wait()])

    async def late_once(request):
        for late in replies:
            await late
        return calls.TableRead(7, b"t")

    async with AsyncExitStack() as stack:
        leader = await stack.enter_async_context(serving(late_once))
        others = [
            await stack.enter_async_context(serving(replying(Redirect(leader)))) for _ in range(2)
        ]
        client = LeaderClient([leader, *others], FLEET)
        assert await read_table(client) == calls.TableRead(7, b"t")
        client.close()


async def test_a_leader_whose_connection_was_reset_is_asked_again():
    async with AsyncExitStack() as stack:
        leader = await stack.enter_async_context(serving(replying(calls.TableRead(7, b"t"))))
        other = await stack.enter_async_context(serving(replying(Redirect(leader))))
        client = LeaderClient([leader, other], FLEET)
        for _ in range(3):
            assert await read_table(client) == calls.TableRead(7, b"t")
            client.clients[leader].channel.transport.abort()
        client.close()


@pytest.mark.parametrize("former", ["silent", "closed", "names nobody"])
@pytest.mark.parametrize("number", [2, 3, 5, 6, 9, 12])
async def test_calls_that_fail_together_find_the_leader(former, number):
    """Guards against take-ups that are all refused after a leader was lost.

    Each of the calls would move on by one, and all of them together back to the former leader.
    """
    async with AsyncExitStack() as stack:
        leader = await stack.enter_async_context(serving(replying(calls.TableRead(7, b"t"))))
        follower = await stack.enter_async_context(serving(replying(Redirect(leader))))
        if former == "closed":
            first = free_address()
        else:
            handler = never_reply if former == "silent" else replying(Redirect())
            first = await stack.enter_async_context(serving(handler))
        for order in ([first, follower, leader], [leader, first, follower]):
            client = LeaderClient(order, FLEET)
            client.current_address = client.searched_address = first
            deadline = client.now() + FIND_S
            replies = await asyncio.gather(
                *(client.call(calls.ReadTable(), deadline, FIND_ATTEMPT_S) for _ in range(number))
            )
            assert replies == [calls.TableRead(7, b"t")] * number, order
            client.close()
