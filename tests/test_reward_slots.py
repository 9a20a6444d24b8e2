"""Reward calls share the slots of plain services with callers' requests."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale.daemons.reward_slots import RewardSlots, reward_limit
from apricotvale.discovery import Standing, Upstream
from apricotvale.jobs.contention import count_rewards_as_work
from apricotvale.jobs.overload import overload_ratio, reward_ratio
from apricotvale.jobs.planning import LATE_S, GroupWork, Prospect, Room, plan_groups


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


def order(is_late=False, is_spare=False, left=1, due_at=0.0):
    return lambda: (is_late, is_spare, left, due_at)


async def run_burst(slots, calls):
    """Start calls while all slots are taken; return the numbers in the order in which they ran."""
    ran, most = [], 0

    async def call(number, place):
        nonlocal most
        async with slots.hold("desk", place):
            most = max(most, slots.in_flight["desk"])
            ran.append(number)
            await asyncio.sleep(0)

    async with slots.hold("desk", order()):
        tasks = [asyncio.create_task(call(n, place)) for n, place in enumerate(calls)]
        await asyncio.sleep(0)
    await asyncio.gather(*tasks)
    assert slots.in_flight["desk"] == 0
    return ran, most


async def test_groups_that_can_be_complete_in_time_get_the_next_slot():
    """Load pattern: more complete outputs than can be scored, some of them already late."""
    slots = RewardSlots(lambda service: 1)
    places = [order(is_late=True), order(is_spare=True), order(left=3), order(left=2, due_at=9.0)]
    ran, most = await run_burst(slots, [*places, order(left=2, due_at=5.0)])
    assert ran == [4, 3, 2, 1, 0]
    assert most == 1


async def test_a_call_whose_group_becomes_late_gives_way():
    """Guards against an order that is fixed when a call begins to wait."""
    late = False
    slots = RewardSlots(lambda service: 1)
    ran, _ = await run_burst(slots, [order(), lambda: (late, False, 0, 0.0)])
    assert ran == [1, 0]
    late = True
    ran, _ = await run_burst(slots, [order(), lambda: (late, False, 0, 0.0)])
    assert ran == [0, 1]


async def test_the_rate_follows_from_the_slots_and_the_time_of_calls():
    """Guards against plans for more groups than can be scored."""
    slots = RewardSlots(lambda service: 5)
    assert slots.rate() == float("inf")
    async with slots.hold("desk", order()):
        await asyncio.sleep(0.05)
    assert 50 <= slots.rate() <= 100


async def test_a_burst_uses_all_slots_but_no_more():
    """Load pattern: a hundred reward calls at once."""
    slots = RewardSlots(lambda service: 15)
    ran, most = await run_burst(slots, [order(due_at=float(n)) for n in range(100)])
    assert ran == list(range(100))
    assert most == 15


@pytest.mark.parametrize("granted", [False, True])
async def test_a_cancelled_call_leaves_its_slot_to_the_next(granted):
    """Guards against slots that are lost when a job ends while its reward calls wait or run."""
    slots = RewardSlots(lambda service: 1)

    async def call():
        async with slots.hold("desk", order()):
            await asyncio.sleep(10)

    async with slots.hold("desk", order()):
        task = asyncio.create_task(call())
        await asyncio.sleep(0)
        if not granted:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    if granted:
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    async with asyncio.timeout(1.0), slots.hold("desk", order()):
        assert slots.in_flight["desk"] == 1


async def test_slots_that_become_free_otherwise_are_granted():
    """Guards against calls that wait although an upstream joined or a shortage ended."""
    limit = 0
    slots = RewardSlots(lambda service: limit)
    entered = asyncio.Event()

    async def call():
        async with slots.hold("desk", order()):
            entered.set()

    task = asyncio.create_task(call())
    await asyncio.sleep(0)
    assert not entered.is_set()
    limit = 1
    slots.grant_all()
    await task
    assert entered.is_set()


def test_the_plan_selects_no_more_groups_than_can_be_scored():
    """Load pattern: most upstreams of the reward service are gone while the engines have room.

    Guards against engines that fill up with outputs which then wait for reward calls, so that every
    group is late.
    """
    groups = [
        GroupWork("j", f"g-{n}", 0, ("", "m"), 7.5, 12.0, 4.0, 4.0, 0.5, reward_calls=8)
        for n in range(12)
    ]
    room = Room(60, (), rewards_per_s=8.0)
    assert overload_ratio(groups, room, 0.0) < 0.2
    assert reward_ratio(groups, room, 0.0) > 1.5
    count_rewards_as_work(groups, room)
    plan = plan_groups(groups, {"j": 12}, room, {}, 0.0)
    in_time = [entry for entry in plan if entry.prospect is Prospect.IN_TIME]
    assert len(in_time) == int((7.5 + LATE_S) * 8.0 / 8)


def test_unknown_times_of_reward_calls_limit_nothing():
    """Guards against plans that change before the first reward call has ended."""
    groups = [GroupWork("j", "g", 0, ("", "m"), 7.5, 12.0, 4.0, 4.0, 0.5, reward_calls=8)]
    assert reward_ratio(groups, Room(60), 0.0) == 0.0
