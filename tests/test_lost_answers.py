"""Answers that are lost after the work ran: nothing runs twice, and nobody is told `not run`."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from apricotvale.platform import names
from tests.platform_site import HOST, item, job, table
from tests.platform_standin import StandIn

UNSAFE_ROUTE = {
    "name": "orders",
    "hostname": HOST,
    "path_prefix": "/orders/",
    "type": "unsafe",
    "timeout_ms": 1500,
    "target_latency_ms": 200,
    "service": "desk",
    "max_attempts": 4,
}
# Statuses that promise that the request has not run and never will.
PROMISES = {408, 421, 429, 503}


async def put_unsafe_route(site):
    document = table(2)
    document["routes"].append(UNSAFE_ROUTE)
    assert await site.put_table(document) == 200

    async def version():
        return site.entry.link.table.version

    await site.wait_until(version, lambda found: found == 2)


def runs(standins, target):
    return sum(request.target == target for s in standins for request in s.requests)


@pytest.mark.parametrize("behaviour", ["reset", "truncated", "garbage", "unsigned", "silent"])
async def test_a_request_that_may_not_repeat_runs_once(site, behaviour):
    """Guards against a second run, and against a promise that there was none."""
    await put_unsafe_route(site)
    for desk in site.desks:
        desk.behaviour = behaviour
    status, _, _ = await site.request("/orders/1", "r-1", Deadline_Ms="600")
    assert status in {502, 504}
    assert runs(site.desks, "/orders/1") == 1


@pytest.mark.parametrize("behaviour", ["reset", "truncated", "garbage"])
async def test_a_request_that_may_repeat_is_never_said_not_to_have_run(site, behaviour):
    for desk in site.desks:
        desk.behaviour = behaviour
    status, _, _ = await site.request("/fees/1", "r-1", Deadline_Ms="600")
    assert status not in PROMISES and status >= 500
    assert 1 <= runs(site.desks, "/fees/1") <= 4


async def test_an_item_whose_reward_s_answer_is_lost_is_scored_and_listed_once(site):
    site.desks[0].behaviour = "reset"
    assert await site.submit("j-1", job(*(item(f"i-{n}") for n in range(4)))) == 202
    results = await site.all_results("j-1", 4)
    assert {result["state"] for result in results.values()} == {"completed"}
    assert all(result["score"] == f"stamp-s-{name}" for name, result in results.items())
    assert all(runs(site.engines, f"/drafts/i-{n}") == 1 for n in range(4))


async def test_a_submission_whose_answer_is_lost_is_accepted_once(site):
    """The caller gives up before the answer and sends the job again, also to a new leader."""
    document = job(*(item(f"i-{n}", scored=False) for n in range(4)))
    first = asyncio.create_task(site.submit("j-1", document))
    await asyncio.sleep(0.01)
    first.cancel()
    assert await site.submit("j-1", document) == 202
    leader = next(control for control in site.controls if control.replica.leads)
    await leader.replica.transfer()
    assert await site.submit("j-1", document) in {202, 504}
    results = await site.all_results("j-1", 4)
    assert len(results) == 4
    _, document = await site.results("j-1")
    assert Counter(result["id"] for result in document["results"]).most_common(1)[0][1] == 1


async def test_an_end_whose_answer_is_lost_can_be_repeated(site):
    for engine in site.engines:
        engine.event_s = 0.2
    assert await site.submit("j-1", job(item("i-1", scored=False))) == 202
    headers = {"Host": HOST}
    url = f"{site.url}{names.RESULTS_PATH.replace('{id}', 'j-1')}"
    for _ in range(2):
        async with site.session.delete(url, headers=headers) as response:
            assert response.status == 200


async def test_an_order_whose_answer_is_lost_is_not_carried_out_twice(site, monkeypatch):
    """The order is repeated with the same precondition, so that the engine takes it once."""
    send, lost = StandIn.send, []

    async def lose_first(engine, writer, status, *arguments, **options):
        if status == 202 and not lost:
            lost.append(engine)
            writer.transport.abort()
            return False
        return await send(engine, writer, status, *arguments, **options)

    monkeypatch.setattr(StandIn, "send", lose_first)
    path, version = names.VERSION_PATH, {"model": "m", "version": 2}
    status, _ = await site.control_call("POST", path, version)
    assert status == 200

    async def held():
        return [e.models["m"] for e in site.engines], len(lost)

    await site.wait_until(held, lambda found: found == ([2, 2], 1))
    await asyncio.sleep(0.8)
    assert [engine.orders for engine in site.engines] == [1, 1]
