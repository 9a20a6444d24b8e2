"""Reward calls share the slots of plain services with callers' requests."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale.daemons.reward_slots import RewardSlots, reward_limit
from apricotvale.discovery import Standing, Upstream


def upstreams(count, capacity=6):
    return [
        Upstream(f"d-{n}", 1, 1, "desk", f"x:{n}", "a", capacity, Standing.READY)
        for n in range(count)
    ]


def test_each_upstream_keeps_a_slot_for_callers():
    """Guards against reward calls that take every slot, and against most slots lying idle."""
    assert reward_limit(upstreams(3), False) == 15
    assert reward_limit(upstreams(3), True) == 9
    assert reward_limit(upstreams(1, 1), False) == 1
    assert reward_limit([], False) == 1


async def run_burst(slots, calls):
    """Start calls while all slots are taken; return the numbers in the order in which they ran."""
    ran, most = [], 0

    async def call(number, order):
        nonlocal most
        async with slots.hold("desk", order):
            most = max(most, slots.in_flight["desk"])
            ran.append(number)
            await asyncio.sleep(0)

    async with slots.hold("desk", (False, 0.0)):
        tasks = [asyncio.create_task(call(n, order)) for n, order in enumerate(calls)]
        await asyncio.sleep(0)
    await asyncio.gather(*tasks)
    assert slots.in_flight["desk"] == 0
    return ran, most


async def test_calls_of_wanted_groups_that_are_due_first_get_the_next_slot():
    """Load pattern: a burst at the end of several steps; the last reward completes the step."""
    slots = RewardSlots(lambda service: 1)
    ran, most = await run_burst(slots, [(True, 1.0), (False, 9.0), (False, 5.0), (False, 9.0)])
    assert ran == [2, 1, 3, 0]
    assert most == 1


async def test_a_burst_uses_all_slots_but_no_more():
    """Load pattern: a hundred reward calls at once."""
    slots = RewardSlots(lambda service: 15)
    ran, most = await run_burst(slots, [(False, float(n)) for n in range(100)])
    assert ran == list(range(100))
    assert most == 15


@pytest.mark.parametrize("granted", [False, True])
async def test_a_cancelled_call_leaves_its_slot_to_the_next(granted):
    """Guards against slots that are lost when a job ends while its reward calls wait or run."""
    slots = RewardSlots(lambda service: 1)

    async def call():
        async with slots.hold("desk", (False, 1.0)):
            await asyncio.sleep(10)

    async with slots.hold("desk", (False, 0.0)):
        task = asyncio.create_task(call())
        await asyncio.sleep(0)
        if not granted:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    if granted:
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    async with asyncio.timeout(1.0), slots.hold("desk", (False, 2.0)):
        assert slots.in_flight["desk"] == 1


async def test_slots_that_become_free_otherwise_are_granted():
    """Guards against calls that wait although an upstream joined or a shortage ended."""
    limit = 0
    slots = RewardSlots(lambda service: limit)
    entered = asyncio.Event()

    async def call():
        async with slots.hold("desk", (False, 1.0)):
            entered.set()

    task = asyncio.create_task(call())
    await asyncio.sleep(0)
    assert not entered.is_set()
    limit = 1
    slots.grant_all()
    await task
    assert entered.is_set()
