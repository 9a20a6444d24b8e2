"""A killed leader is replaced before the election timeout."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale.consensus.messages import PeerBatch
from apricotvale.control.calls import CONTROL
from apricotvale.daemons.peers import PeerLink
from apricotvale.daemons.rpc_server import ControlService, make_server
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetState
from scripts.ports import free_port
from tests.platform_site import item, job
from tests.replicas import Injector, Replicas
from tests.test_limits import find_leader


@pytest.fixture(params=range(4))
def group(request):
    group = Replicas(
        seed=request.param, injector=Injector(), make_state=FleetState, command=c.Command
    )
    assert group.run_until(lambda: group.leader() is not None)
    group.run(0.5)
    return group


def followers(group, leader):
    return [host for host in group.hosts.values() if host is not leader]


def test_followers_elect_at_once_when_the_leaders_process_is_gone(group):
    """Guards against a second without a leader after each kill of its process.

    The bound is below the shortest wait of an election by time-out, 1.1 election timeouts.
    """
    leader = group.leader()
    leader_id, election_timeout_s = leader.node.data_id, leader.node.timing.election_timeout_s
    group.crash(leader, down_s=1000.0)
    started = group.now
    for host in followers(group, leader):
        host.node.on_leader_down(leader_id, group.now)
    assert group.run_until(lambda: group.leader() not in (None, leader))
    assert group.now - started < election_timeout_s


def test_one_follower_with_a_false_notice_does_not_disturb_a_leader(group):
    """Guards against elections by a follower that alone takes the leader to be gone."""
    leader = group.leader()
    term = leader.node.term
    followers(group, leader)[0].node.on_leader_down(leader.node.data_id, group.now)
    group.run(3.0)
    assert group.leader() is leader
    assert leader.node.term == term


def test_a_notice_about_a_former_leader_has_no_effect(group):
    """Guards against elections caused by the restart of a replica that no longer leads."""
    leader = group.leader()
    follower = followers(group, leader)[0]
    election_at = follower.node.election_at
    follower.node.on_leader_down("another", group.now)
    assert not follower.node.leader_is_down
    assert follower.node.election_at == election_at


async def test_a_link_reports_a_peer_that_no_longer_listens():
    """Guards against waiting for the next message to notice that a peer's process has ended."""
    port = free_port("127.0.0.1")

    async def on_call(request):
        return request

    server = make_server(ControlService(on_call, lambda batch: None, CONTROL))
    make_protocol, protocols = server._protocol_factory, []

    def recording_factory():
        protocols.append(make_protocol())
        return protocols[-1]

    server._protocol_factory = recording_factory
    await server.start("127.0.0.1", port)
    refused = asyncio.Event()
    link = PeerLink(f"127.0.0.1:{port}", CONTROL, lambda address: refused.set())
    sender = asyncio.create_task(link.run())
    try:
        await link.client.send(PeerBatch([]), 1.0)
        assert not refused.is_set()
        server.close()
        protocols[0].connection._transport.abort()
        async with asyncio.timeout(0.5):
            await refused.wait()
    finally:
        sender.cancel()
        link.client.close()


async def test_a_leader_that_stood_still_sends_no_items_once_it_is_replaced(site, monkeypatch):
    """Guards against an item that runs twice, or after its job was ended at the next leader."""
    leader = await find_leader(site)
    select_engine = leader.runner.select_engine

    def select_engine_and_stand_still(*args):
        monkeypatch.undo()
        engine = select_engine(*args)
        for peer in leader.replica.node.progress.values():
            peer.heard_at = float("-inf")
        return engine

    monkeypatch.setattr(leader.runner, "select_engine", select_engine_and_stand_still)
    assert await site.submit("j-1", job(item("i-1"))) == 202
    assert (await site.all_results("j-1", 1))["i-1"]["state"] == "completed"
    runs = [request.headers.get("request-id") for e in site.engines for request in e.requests]
    assert runs.count("i-1") == 1
