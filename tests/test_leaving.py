"""Upstreams that state in an answer that they leave get no new work, whatever they say later."""

from __future__ import annotations

import asyncio

import pytest
from attrs import evolve

from apricotvale import events
from apricotvale.codec import decode, encode
from apricotvale.discovery import Registry, RegistryState, RegistryView, Standing, Upstream
from apricotvale.fleet import calls
from tests.platform_site import item, job, table

FIRST = Upstream("i-1", 1000, 1, "desk", "10.0.0.1:80", "szeged", 6, Standing.READY)
RESTARTED = evolve(FIRST, born_ms=2000)


@pytest.fixture
def registry():
    registry = Registry(RegistryState())
    assert registry.announce(FIRST, 1)
    return registry


def test_a_later_ready_heartbeat_does_not_undo_the_mark(registry):
    assert registry.mark_leaving("i-1", 1000, 2)
    assert registry.state.upstreams["i-1"].standing is Standing.DRAINING
    assert not registry.is_change(evolve(FIRST, sequence=2))
    assert registry.announce(evolve(FIRST, sequence=3, capacity=9), 3)
    assert registry.state.upstreams["i-1"].capacity == 9
    assert registry.state.upstreams["i-1"].standing is Standing.DRAINING


def test_a_repeated_mark_is_no_change(registry):
    assert registry.mark_leaving("i-1", 1000, 2)
    assert not registry.mark_leaving("i-1", 1000, 3)
    assert registry.state.position == 2


def test_a_mark_of_another_incarnation_has_no_effect(registry):
    assert registry.announce(RESTARTED, 2)
    assert not registry.mark_leaving("i-1", 1000, 3)
    assert not registry.mark_leaving("i-9", 1000, 3)
    assert registry.state.upstreams["i-1"].standing is Standing.READY


def test_a_restart_under_the_same_id_is_not_marked(registry):
    registry.mark_leaving("i-1", 1000, 2)
    assert registry.announce(RESTARTED, 3)
    assert registry.state.upstreams["i-1"].standing is Standing.READY
    assert registry.state.leaving == {}


def test_the_mark_survives_a_silence(registry):
    """Guards against a marked upstream that becomes ready when its heartbeats come back."""
    registry.mark_leaving("i-1", 1000, 2)
    assert registry.mark_silent("i-1", 1000, 1, 3)
    assert registry.announce(evolve(FIRST, sequence=2), 4)
    assert registry.state.upstreams["i-1"].standing is Standing.DRAINING


def test_a_departure_removes_the_mark(registry):
    registry.mark_leaving("i-1", 1000, 2)
    assert registry.depart("i-1", 3)
    assert registry.state.leaving == {}


def test_a_registry_of_the_former_build_is_read(registry):
    content = encode(registry.state, RegistryState)
    assert b"leaving" not in content
    assert decode(content, RegistryState) == registry.state


def test_the_mark_is_in_the_snapshot(registry):
    registry.mark_leaving("i-1", 1000, 2)
    restored = Registry(decode(encode(registry.state, RegistryState), RegistryState))
    assert not restored.is_change(evolve(FIRST, sequence=2))


def test_a_marked_upstream_is_not_ready_in_the_view(registry):
    view = RegistryView()
    view.apply(registry.since(-1))
    assert view.mark_leaving(FIRST.incarnation)
    assert not view.mark_leaving(FIRST.incarnation)
    assert view.ready("desk") == []
    registry.announce(evolve(FIRST, sequence=2, capacity=7), 2)
    view.apply(registry.since(view.position))
    assert view.ready("desk") == []
    view.apply(registry.since(-1))
    assert view.ready("desk") == []


def test_the_view_forgets_the_mark_with_the_incarnation(registry):
    view = RegistryView()
    view.apply(registry.since(-1))
    view.mark_leaving(FIRST.incarnation)
    registry.announce(RESTARTED, 2)
    view.apply(registry.since(view.position))
    assert view.ready("desk") == [RESTARTED]
    assert view.leaving == set()
    assert view.holds(RESTARTED) and not view.holds(FIRST)


# Over sockets


def standing(site, entry, upstream_id):
    return entry.link.view.upstreams[upstream_id].standing


def leader(site):
    return next(control for control in site.controls if control.replica.leads)


async def leave_by_answer(site, desk):
    """Send requests until the desk has answered one that says that it leaves."""
    desk.leaving = True
    statuses = []
    for number in range(50):
        status, headers, _ = await site.request(f"/fees/{number}", f"l-{number}")
        if headers.get("Server-Leaving") == "1":
            return
        statuses.append(status)
    requests = {each.upstream_id: len(each.requests) for each in site.desks}
    standings = {
        each.upstream_id: standing(site, site.entry, each.upstream_id) for each in site.desks
    }
    raise AssertionError(f"the desk answered no request: {statuses}, {requests}, {standings}")


async def test_an_answer_that_says_leaving_stops_new_requests_at_once(site):
    """Guards against an entry that waits for control or for a heartbeat, and against hedges."""
    desk = site.desks[0]
    await leave_by_answer(site, desk)
    count = len(desk.requests)
    answers = await asyncio.gather(*(site.request("/fees/x", f"n-{n}") for n in range(40)))
    assert {status for status, _, _ in answers} == {200}
    assert len(desk.requests) == count


@pytest.mark.parametrize("behaviour", ["full", "failing", "unsigned", "truncated"])
async def test_an_answer_that_is_not_passed_on_marks_its_upstream_too(site, behaviour):
    """Guards against a mark that only successful answers set."""
    desk = site.desks[0]
    desk.behaviour, desk.leaving = behaviour, True
    for number in range(20):
        status, _, _ = await site.request("/fees/x", f"r-{number}")
        assert status == 200
    assert len(desk.requests) == 1


async def test_the_last_upstream_gets_no_request_either(site):
    for desk in site.desks:
        desk.leaving = True
    for number in range(10):
        await site.request("/fees/x", f"l-{number}")
    counts = [len(desk.requests) for desk in site.desks]
    assert sum(counts) == 2
    status, headers, _ = await site.request("/fees/x", "after")
    assert status == 503 and "Retry-After" in headers
    assert [len(desk.requests) for desk in site.desks] == counts


async def test_another_entry_stops_within_half_a_second(site):
    second, second_url = await site.start_second_entry()
    desk = site.desks[0]
    await leave_by_answer(site, desk)
    await asyncio.sleep(0.5)
    assert standing(site, second, "d-0") is Standing.DRAINING
    count = len(desk.requests)
    site.url = second_url
    for number in range(20):
        status, _, _ = await site.request("/fees/x", f"s-{number}")
        assert status == 200
    assert len(desk.requests) == count


async def test_ready_heartbeats_do_not_undo_the_mark_but_a_restart_does(site):
    desk, other = site.desks
    await leave_by_answer(site, desk)
    for _ in range(3):
        assert await site.send_heartbeat(desk) == 200
    await asyncio.sleep(0.3)
    assert standing(site, site.entry, "d-0") is Standing.DRAINING
    desk.leaving, desk.born = False, 2
    assert await site.send_heartbeat(desk) == 200

    async def state():
        return standing(site, site.entry, "d-0")

    await site.wait_until(state, lambda found: found is Standing.READY)
    assert site.entry.link.view.leaving == set()
    count, other.behaviour = len(desk.requests), "full"
    status, _, _ = await site.request("/fees/x", "after")
    assert (status, len(desk.requests)) == (200, count + 1)


async def test_requests_in_progress_at_a_leaving_upstream_finish(site):
    """Guards against a mark that cancels or repeats what the upstream still works on."""
    desk, other = site.desks
    await site.put_table(table(2, routes=[{**table(2)["routes"][0], "target_latency_ms": 0}]))
    other.behaviour, desk.behaviour = "full", "slow"
    await asyncio.sleep(0.3)
    running = asyncio.create_task(site.request("/fees/x", "long"))
    await asyncio.sleep(0.1)
    site.entry.leaving.on_leaving(site.entry.link.view.upstreams["d-0"])
    status, _, body = await running
    assert (status, body) == (200, b"body of long")
    assert sum(r.headers["request-id"] == "long" for r in desk.requests) == 1


async def test_items_go_to_no_engine_that_says_leaving(site):
    """Guards against the leader's own choice of engines, and against cancelled runs."""
    engine, other = site.engines
    engine.leaving = True
    assert await site.submit("j-1", job(*(item(f"i-{n}") for n in range(8)))) == 202
    await site.all_results("j-1", 8)
    count = len(engine.requests)
    assert engine.aborted_connections == 0
    assert await site.submit("j-2", job(*(item(f"k-{n}") for n in range(8)))) == 202
    results = await site.all_results("j-2", 8)
    assert {result["state"] for result in results.values()} == {"completed"}
    assert count > 0 and len(engine.requests) == count
    assert leader(site).state.registry.state.upstreams["e-0"].standing is Standing.DRAINING


async def test_the_leader_does_not_wait_for_its_own_report(site, monkeypatch):
    """Guards against items that are placed at a leaving engine until the mark is committed."""
    placed, emit = [], events.emit

    def record(kind, **fields):
        if kind is events.ITEM_PLACED:
            placed.append(fields["upstream"])
        emit(kind, **fields)

    monkeypatch.setattr(events, "emit", record)

    async def lose(request, deadline):
        return calls.Unconfirmed("cut off")

    leader(site).leaving.report = lose
    engine = site.engines[0]
    engine.leaving = True
    assert await site.submit("j-1", job(*(item(f"i-{n}") for n in range(8)))) == 202
    await site.all_results("j-1", 8)
    count = len(engine.requests)
    placed.clear()
    assert await site.submit("j-2", job(*(item(f"k-{n}") for n in range(8)))) == 202
    await site.all_results("j-2", 8)
    assert placed == ["e-1@1"] * 8
    assert leader(site).state.registry.state.upstreams["e-0"].standing is Standing.READY
    assert count > 0 and len(engine.requests) == count


async def test_reward_calls_go_to_no_desk_that_says_leaving(site):
    desk = site.desks[0]
    await leave_by_answer(site, desk)
    count = len(desk.requests)
    await asyncio.sleep(0.3)
    assert await site.submit("j-1", job(*(item(f"i-{n}") for n in range(6)))) == 202
    results = await site.all_results("j-1", 6)
    assert {result["state"] for result in results.values()} == {"completed"}
    assert len(desk.requests) == count


async def test_the_mark_holds_while_control_is_out_of_reach(site, monkeypatch):
    """Guards against a mark that depends on control, and against a report that is not repeated."""
    call, reports = site.entry.leaving.report, []

    async def lose(request, deadline):
        reports.append(request)
        await asyncio.sleep(0.05)
        return calls.Unconfirmed("cut off")

    site.entry.leaving.report = lose
    desk = site.desks[0]
    await leave_by_answer(site, desk)
    count = len(desk.requests)
    await asyncio.sleep(1.2)
    for number in range(10):
        status, _, _ = await site.request("/fees/x", f"n-{number}")
        assert status == 200
    assert len(desk.requests) == count
    assert reports == [calls.ReportLeaving("d-0", 1)] * 3
    site.entry.leaving.report = call

    async def state():
        return standing(site, site.entry, "d-0")

    await site.wait_until(state, lambda found: found is Standing.DRAINING, 1.5)
    await asyncio.sleep(0.6)
    assert not site.entry.leaving.tasks.tasks


async def test_the_mark_survives_a_change_of_leader(site):
    """Guards against a mark that only the former leader knew."""
    desk = site.desks[0]
    await leave_by_answer(site, desk)

    async def reported():
        return not site.entry.leaving.tasks.tasks

    # Without a pending report, the entry does not tell the next leader.
    await site.wait_until(reported, bool)
    first = leader(site)
    assert first.state.registry.is_leaving("d-0", 1)
    site.tasks[site.controls.index(first)].cancel()

    async def found():
        return [
            control
            for control in site.controls
            if control.replica.leads
            and control.replica.node.term_start_index <= control.replica.node.applied_index
        ]

    (second,) = await site.wait_until(found, lambda leaders: leaders and first not in leaders)
    assert second.state.registry.is_leaving("d-0", 1)
