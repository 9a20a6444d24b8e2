"""An output goes on only at the software version that began it, whatever interrupts its runs."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale.daemons import job_runner
from tests.platform_site import item, job, table

ITEMS = 8
EVENTS = 12


@pytest.fixture
async def versions(site):
    """A deployment with two engines of different software that write their version into events."""
    for engine, software in zip(site.engines, ("v1", "v2"), strict=True):
        engine.software = software
        engine.born += 1
        engine.marks_events, engine.events, engine.event_s = True, EVENTS, 0.05
    await site.send_heartbeats()
    return site


def joined(results):
    """Return the outputs that events of several versions make up."""
    outputs = {name: result["output"].split("\n") for name, result in results.items()}
    return {
        name: lines
        for name, lines in outputs.items()
        if len({line.partition(".")[0] for line in lines}) > 1
    }


def assert_whole(results):
    assert len(results) == ITEMS
    assert {result["state"] for result in results.values()} == {"completed"}
    assert joined(results) == {}
    for result in results.values():
        numbers = [int(line.partition(".")[2]) for line in result["output"].split("\n")]
        assert numbers == list(range(EVENTS))


async def submit(site):
    items = [item(f"i-{number}", f"g{number // 4}", scored=False) for number in range(ITEMS)]
    await site.submit_until_accepted("j-1", job(*items))


async def lose_leader(site):
    """End the leader's process; runs of the next leader begin with what was saved."""
    for control, task in zip(site.controls, site.tasks, strict=False):
        if control.replica.leads:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return


async def gone_for_good(site):
    site.engines[0].restart_s = 3600.0
    site.engines[0].crash()


async def back_with_other_versions(site):
    """Restart both engines at once under their ids and addresses; each has the other's version."""
    first, second = site.engines
    first.next_software, second.next_software = second.software, first.software
    for engine in site.engines:
        engine.restart_s = 0.05
        engine.crash()


async def back_while_the_leader_is_lost(site):
    await back_with_other_versions(site)
    await lose_leader(site)


async def cut_while_the_leader_is_lost(site):
    for engine in site.engines:
        engine.cut_after = 5
    await lose_leader(site)


@pytest.mark.parametrize(
    "fault",
    [gone_for_good, back_with_other_versions, back_while_the_leader_is_lost, lose_leader],
)
async def test_an_output_is_not_joined_from_two_versions(versions, monkeypatch, fault):
    """Guards against outputs of which another software version generated the rest."""
    monkeypatch.setattr(job_runner, "SAVE_MIN_AGE_S", 0.05)
    await submit(versions)
    await asyncio.sleep(0.4)
    await fault(versions)
    assert_whole(await versions.all_results("j-1", ITEMS))


@pytest.mark.parametrize("fault", [None, cut_while_the_leader_is_lost])
async def test_a_cut_output_goes_on_at_its_version(versions, monkeypatch, fault):
    """Guards against cut runs that an engine of another version resumes."""
    monkeypatch.setattr(job_runner, "SAVE_MIN_AGE_S", 0.05)
    if fault is None:
        for engine in versions.engines:
            engine.cut_after = 5
    await submit(versions)
    if fault is not None:
        await asyncio.sleep(0.4)
        await fault(versions)
    assert_whole(await versions.all_results("j-1", ITEMS))
    resumed = [r for e in versions.engines for r in e.requests if "last-event-id" in r.headers]
    assert resumed


@pytest.mark.parametrize("behaviour", ["full", "failing", "reset"])
async def test_an_output_begins_anew_if_its_version_runs_nothing(versions, behaviour):
    """Guards against an output that waits without end for an engine that accepts work and fails."""
    await submit(versions)
    await asyncio.sleep(0.3)
    first = versions.engines[0]
    for writer in list(first.writers):
        writer.close()
    first.behaviour = behaviour
    results = await versions.all_results("j-1", ITEMS)
    if behaviour == "failing":
        # An item that has got `max_attempts` server errors is abandoned.
        results = {name: r for name, r in results.items() if r["state"] == "completed"}
        assert joined(results) == {}
    else:
        assert_whole(results)


async def test_an_output_of_an_unknown_version_begins_anew(versions):
    """Guards against two engines that state no version, which may have different ones."""
    for engine, mark in zip(versions.engines, ("a", "b"), strict=True):
        engine.software, engine.mark = "", mark
    for engine in versions.engines:
        engine.born += 1
    await versions.send_heartbeats()
    await submit(versions)
    await asyncio.sleep(0.1)
    versions.engines[0].restart_s = 3600.0
    versions.engines[0].crash()
    assert_whole(await versions.all_results("j-1", ITEMS))


async def test_an_output_of_one_weight_version_begins_whole_at_the_next(versions):
    """Guards against an output without its beginning, where no second weight version is allowed."""
    document = table(2)
    document["routes"][1]["single_version"] = True
    await versions.put_table_until_accepted(document)
    for engine in versions.engines:
        engine.software = "v1"
        engine.born += 1
        engine.cut_after = 5
    await versions.send_heartbeats()
    await submit(versions)
    await asyncio.sleep(0.4)
    for engine in versions.engines:
        engine.models, engine.cut_after = {"m": 2}, None
    assert_whole(await versions.all_results("j-1", ITEMS))
