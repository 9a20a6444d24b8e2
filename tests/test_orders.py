"""Tests of fencing of load orders, and of refusals by processes without a valid lease."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import pytest
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from apricotvale.control import calls
from apricotvale.control import commands as c
from apricotvale.control.calls import SyncReply
from apricotvale.control.configuration import ConfigDocument
from apricotvale.daemons.orders import OrderRunner
from apricotvale.daemons.rpc import RpcClient
from apricotvale.membership.roster import RosterDelta
from apricotvale.standins.engine import Engine, EngineSpec
from apricotvale.weights.rollout import Fence, Grant
from tests.site import BASE, Site


def grant(index, term=1, version=1, incarnation="i"):
    return Grant("e", incarnation, "m", version, Fence(term, index), 10**15)


def reply(*grants, confirmed=True):
    return SyncReply(RosterDelta(1), "c", grants=list(grants), confirmed=confirmed)


@pytest.fixture
def runner():
    link = SimpleNamespace(is_fresh=True)
    return OrderRunner(SimpleNamespace(link=link, incarnation="i"))


def test_no_order_runs_before_control_confirmed_the_fence(runner):
    runner.queue_grants(reply(grant(5), confirmed=False))
    assert runner.queue.empty() and not runner.may_run(grant(5))


@pytest.mark.parametrize("older", [grant(4), grant(9, term=0)])
def test_an_order_with_an_older_fence_is_not_queued(runner, older):
    runner.queue_grants(reply(grant(5)))
    runner.queue_grants(reply(older))
    assert runner.queue.qsize() == 1
    assert not runner.may_run(older)


def test_a_repeated_order_is_queued_once(runner):
    runner.queue_grants(reply(grant(5)))
    runner.queue_grants(reply(grant(5)))
    assert runner.queue.qsize() == 1


def test_a_queued_order_is_refused_after_a_newer_one_arrived(runner):
    runner.queue_grants(reply(grant(5)))
    runner.queue_grants(reply(grant(6, version=2)))
    assert not runner.may_run(runner.queue.get_nowait())
    assert runner.may_run(runner.queue.get_nowait())


def test_no_order_runs_without_a_fresh_view(runner):
    runner.queue_grants(reply(grant(5)))
    runner.sidecar.link.is_fresh = False
    assert not runner.may_run(grant(5))


def test_an_order_for_another_incarnation_is_refused(runner):
    runner.queue_grants(reply(grant(5, incarnation="other")))
    assert not runner.may_run(grant(5, incarnation="other"))


async def test_an_engine_that_checks_fencing_refuses_an_older_fence():
    engine = Engine(EngineSpec(("m",), checks_fencing=True, swap_s=0.0))
    assert (await engine.load("m", 2, (1, 6))).status == 200
    assert (await engine.load("m", 1, (1, 5))).status == 409
    assert engine.versions["m"] == 2


async def test_all_engines_load_the_version_after_a_failed_load(tmp_path):
    async with Site(tmp_path) as site:
        site.engines[0].faults.fail_loads = 1
        async with site.trainer() as trainer:
            await trainer.publish(1)
            await site.wait(lambda: all(engine.versions["m"] == 1 for engine in site.engines))
        members = site.control_state().roster.state.members
        await site.wait(
            lambda: all(members[name].models == {"m": 1} for name in ("pool-1", "pool-2"))
        )


async def isolate_entry(site, island):
    """Set the island policy, stop control and wait until the entry's lease has expired."""
    base = BASE + f'island = "{island}"\n'
    command = c.ApplyConfig("island", 1, ConfigDocument(base))
    await site.entry.control.propose(command, time.monotonic() + 10)
    await site.wait(lambda: site.entry.revision == 2)
    stop, task = site.daemons.pop(0)
    stop.set()
    await task
    await site.wait(lambda: not site.entry.link.is_fresh)


@pytest.mark.parametrize(("island", "status"), [("serve", 200), ("refuse", 503)])
async def test_interactive_traffic_of_an_island_follows_its_setting(tmp_path, island, status):
    async with Site(tmp_path) as site:
        await isolate_entry(site, island)
        found, answer = await site.complete()
        assert found == status
        assert status == 200 or answer["ran"] == "not_run"


@pytest.mark.parametrize(
    ("fields", "ran"), [({}, "not_run"), ({"Idempotency-Key": "k"}, "unknown")]
)
async def test_without_control_a_slot_is_refused_immediately(tmp_path, fields, ran):
    async with Site(tmp_path) as site:
        await isolate_entry(site, "serve")
        started = time.monotonic()
        status, problem = await site.post("/services/desk/slots", {"id": 1}, fields)
        assert time.monotonic() - started < 1.0
        assert (status, problem["ran"]) == (503, ran)
        assert problem["retry_after_s"] > 0
        assert site.service.runs == {}


async def test_an_island_delivers_no_samples(tmp_path):
    async with Site(tmp_path) as site:
        async with site.trainer() as trainer:
            await trainer.open_step(1, ["p"], max_tokens=4)
            await isolate_entry(site, "serve")
            body = {"cursor": 0, "pull": 1, "wait_ms": 0}
            status, problem = await site.post("/trainers/t/steps/1/pull", body)
        assert (status, problem["ran"]) == (503, "not_run")
        await asyncio.sleep(0)


async def test_a_stopped_control_replica_renews_no_lease_on_an_open_connection(tmp_path):
    async with Site(tmp_path) as site:
        client = RpcClient(site.control, calls.CONTROL)
        member = site.control_state().roster.state.members[site.entry.settings.name]
        sync = calls.Sync(member, 0, 1, 1, False, 0)
        assert isinstance(await client.call(sync, 5.0), calls.SyncReply)
        stop, task = site.daemons.pop(0)
        stop.set()
        await task
        try:
            reply = await client.call(sync, 1.0)
        except (OSError, TimeoutError, GRPCError, ProtocolError, StreamTerminatedError):
            reply = None
        finally:
            client.close()
        assert not isinstance(reply, calls.SyncReply)
