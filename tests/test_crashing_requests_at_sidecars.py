"""Requests that end their upstream, on the product's own path of entries and sidecars."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from apricotvale.membership.roster import Standing
from apricotvale.settings.schema import Upstream
from tests.platform_standin import StandIn
from tests.site import Site

DEADLY = b"deadly"
MAX_CRASHES = 3
# Far below the 2 s that callers wait, also on a busy machine.
REFUSED_WITHIN_S = 0.4


@pytest.fixture
def replicas():
    """The number of control replicas."""
    return 1


@pytest.fixture
async def fragile_site(tmp_path, replicas):
    """A site with four plain upstreams that `DEADLY` ends and that come back."""
    async with Site(tmp_path, replicas) as site:
        site.desks, site.desk_sidecars = [], []
        for number in range(4):
            desk = StandIn(f"d-{number}", "desk", deadly={DEADLY})
            site.desks.append(await site.stack.enter_async_context(desk))
            upstream = Upstream(address=desk.address, service="desk")
            site.desk_sidecars.append(site.add_sidecar(desk.upstream_id, upstream))
        await site.wait(lambda: len(site.entry.view.members) == 8)
        site.desk.stop.set()
        await site.wait(lambda: len(site.entry.view.members) == 7)
        yield site


async def test_a_repeated_request_that_crashes_upstreams_is_stopped(fragile_site):
    """Guards against submissions that are each sent as if the ones before had done no harm."""
    deadline = time.monotonic() + 3.0
    while time.monotonic() < deadline:
        url = f"{fragile_site.url}/services/desk/read"
        async with fragile_site.session.get(url, data=DEADLY) as response:
            await response.read()
        await asyncio.sleep(0.2)
    assert sum(len(desk.crashed_by) for desk in fragile_site.desks) <= MAX_CRASHES


def crashes(site):
    """Return the number of upstreams that ended by requests."""
    return sum(len(desk.crashed_by) for desk in site.desks)


def sends(site, body=DEADLY):
    """Return the number of requests with a body that reached upstreams."""
    return sum(r.body == body for desk in site.desks for r in desk.requests)


async def submit(site, url="", body=DEADLY, method="GET", path="read", **headers):
    """Submit a request as a caller does; return its status, its header fields and its document."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    address = f"{url or site.url}/services/desk/{path}"
    async with site.session.request(method, address, data=body, headers=fields) as response:
        content = await response.read()
        is_problem = response.content_type == "application/problem+json"
        return response.status, response.headers, json.loads(content) if is_problem else content


async def repeat_until(site, urls, seconds, pause_s=0.2, **changes):
    """Submit the deadly request at one entry after the other for a time; return the statuses."""
    statuses = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        url = urls[len(statuses) % len(urls)]
        statuses.append((await submit(site, url, **changes))[0])
        await asyncio.sleep(pause_s)
    return statuses


def leader(site, former=None):
    """Return the control replica that leads, None without one."""
    leading = [d for d in site.controls if d is not former and d.replica.leads]
    return leading[0] if leading else None


async def wait_for_record(site, condition, former=None):
    """Wait until the suspects that the leader has recorded meet a condition; return them."""

    def suspects():
        found = leader(site, former)
        return None if found is None else list(found.state.crashes.state.suspects.values())

    def is_met():
        return suspects() is not None and condition(suspects())

    await site.wait(is_met)
    return suspects()


def is_condemned(suspects):
    return len(suspects) == 1 and suspects[0].is_condemned


async def condemn(site):
    """Submit the deadly request until control has it as one that is not sent any more."""
    for _ in range(4):
        await submit(site)
    await wait_for_record(site, is_condemned)


async def assert_stopped(site, urls, seconds=1.0, **changes):
    """Assert that repeats at these entries are refused at once and reach no upstream."""
    sent, statuses, times = sends(site), [], []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for url in urls:
            started = time.monotonic()
            statuses.append((await submit(site, url, **changes))[0])
            times.append(time.monotonic() - started)
        await asyncio.sleep(0.05)
    assert set(statuses) == {503}
    assert sends(site) == sent
    assert max(times) < REFUSED_WITHIN_S


async def wait_until_all_serve(site):
    """Wait until the entry has all four upstreams as serving."""

    def serving():
        members = site.entry.view.members.values()
        return [m for m in members if m.group == "desk" and m.standing is Standing.SERVING]

    await site.wait(lambda: len(serving()) == 4)


async def test_repeats_at_several_entries_are_stopped(fragile_site):
    """Guards against what each entry has to learn by crashes of its own."""
    urls = [fragile_site.url, *[(await fragile_site.add_entry(f"e-{n}"))[1] for n in (2, 3)]]
    await repeat_until(fragile_site, urls, 3.0)
    assert crashes(fragile_site) <= MAX_CRASHES
    await assert_stopped(fragile_site, urls)


async def test_copies_in_flight_at_several_entries_end_few_upstreams(fragile_site):
    """Guards against copies that each end an upstream before any process knows of the first."""
    urls = [fragile_site.url, *[(await fragile_site.add_entry(f"e-{n}"))[1] for n in (2, 3)]]
    for number, desk in enumerate(fragile_site.desks):
        desk.crash_s = 0.2 + 0.3 * number
    # The deadline leaves time for three trials, one after the other.
    copies = [submit(fragile_site, urls[n % 3], X_Deadline_Ms="8000") for n in range(9)]
    await asyncio.gather(*copies)
    # Copies that were cancelled on their way may still arrive.
    await asyncio.sleep(0.3)
    assert crashes(fragile_site) <= MAX_CRASHES
    await assert_stopped(fragile_site, urls)


async def test_an_entry_that_starts_later_knows(fragile_site):
    """Guards against knowledge that ends with the process that has it."""
    await condemn(fragile_site)
    _, url = await fragile_site.add_entry("e-2")
    await assert_stopped(fragile_site, [url])


@pytest.mark.parametrize("replicas", [3], ids="{} replicas".format)
async def test_a_new_leader_knows(fragile_site):
    """Guards against knowledge that only the former leader has."""
    await condemn(fragile_site)
    first = leader(fragile_site)
    _, task = fragile_site.controls.pop(first)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    fragile_site.daemons = [pair for pair in fragile_site.daemons if pair[1] is not task]
    await wait_for_record(fragile_site, is_condemned, first)
    _, url = await fragile_site.add_entry("e-2")
    await assert_stopped(fragile_site, [fragile_site.url, url])


async def test_an_entry_without_control_stops_it_by_itself(fragile_site):
    """Guards against knowledge that depends on a connection to control."""
    for stop, task in fragile_site.controls.values():
        stop.set()
        await task
    await fragile_site.wait(lambda: not fragile_site.entry.link.is_fresh)
    statuses = await repeat_until(fragile_site, [fragile_site.url], 4.0)
    assert 1 <= crashes(fragile_site) <= MAX_CRASHES
    assert set(statuses) <= {502, 503}


async def test_a_stopped_request_is_refused_at_once_and_truthfully(fragile_site):
    """Guards against refusals that wait, that hide whether the request ran, or lie about when."""
    status, _, document = await submit(fragile_site)
    assert (status, document["ran"]) == (502, "unknown")
    await condemn(fragile_site)
    sent, started = sends(fragile_site), time.monotonic()
    status, headers, document = await submit(fragile_site)
    assert time.monotonic() - started < REFUSED_WITHIN_S and sends(fragile_site) == sent
    assert (status, document["ran"]) == (503, "not_run")
    assert document["type"].endswith("crashes_upstreams")
    assert 500 < float(headers["Retry-After"]) <= 600


async def test_the_record_ends_when_the_refusal_said(fragile_site, monkeypatch):
    """Guards against a request that is refused for good, or that may not come back when told."""
    monkeypatch.setattr("apricotvale.daemons.crash_control.KEEP_S", 2.5)
    await condemn(fragile_site)
    _, headers, _ = await submit(fragile_site)
    for desk in fragile_site.desks:
        desk.deadly = set()
    await asyncio.sleep(float(headers["Retry-After"]) + 0.6)
    assert (await submit(fragile_site))[0] == 200
    await wait_for_record(fragile_site, lambda suspects: not suspects)


@pytest.mark.parametrize("changes", [{"path": "read/y"}, {"body": b"other"}], ids=str)
async def test_another_request_is_served_as_before(fragile_site, changes):
    """Guards against a request that is taken for another one."""
    await condemn(fragile_site)
    for desk in fragile_site.desks:
        desk.deadly = set()
    await wait_until_all_serve(fragile_site)
    assert (await submit(fragile_site, **changes))[0] == 200


async def test_requests_beside_it_are_served(fragile_site):
    """Guards against neighbours that lose their attempts, or their right to be sent."""
    for desk in fragile_site.desks:
        desk.behaviour, desk.slow_s, desk.crash_s = "slow", 0.2, 0.15
    neighbours = [submit(fragile_site, body=b"neighbour %d" % n) for n in range(8)]
    answers = await asyncio.gather(submit(fragile_site), *neighbours)
    assert [status for status, *_ in answers[1:]] == [200] * 8
    assert 1 <= crashes(fragile_site) <= MAX_CRASHES
    await condemn(fragile_site)


async def test_two_such_requests_at_once_are_both_found(fragile_site):
    """Guards against one that passes for the neighbour of the other."""
    other = b"also deadly"
    for desk in fragile_site.desks:
        desk.deadly.add(other)
    urls = [fragile_site.url]
    await asyncio.gather(
        *(repeat_until(fragile_site, urls, 6.0, 0.1, body=body) for body in (DEADLY, other))
    )
    assert crashes(fragile_site) <= 2 * MAX_CRASHES
    found = await wait_for_record(fragile_site, lambda suspects: len(suspects) == 2)
    assert all(suspect.is_condemned for suspect in found)


async def test_an_answer_clears_a_request(fragile_site):
    """Guards against ends of upstreams that add up over answered submissions of a request."""
    for desk in fragile_site.desks:
        desk.behaviour = "slow"
    for _ in range(4):
        await wait_until_all_serve(fragile_site)
        before = [sum(r.body == b"other" for r in desk.requests) for desk in fragile_site.desks]
        request = asyncio.create_task(submit(fragile_site, body=b"other"))
        await asyncio.sleep(0.15)
        for desk, count in zip(fragile_site.desks, before, strict=True):
            if sum(r.body == b"other" for r in desk.requests) > count:
                desk.crash()
        assert (await request)[0] == 200
        await wait_for_record(fragile_site, lambda suspects: not suspects)


async def test_connections_that_close_are_no_crash(fragile_site):
    """Guards against requests that are suspected because an upstream closes its connections."""
    for desk in fragile_site.desks:
        desk.behaviour = "reset"
    assert (await submit(fragile_site, body=b"other"))[0] == 502
    for desk in fragile_site.desks:
        desk.behaviour = "good"
    await fragile_site.wait(
        lambda: all(sidecar.alive for sidecar in fragile_site.desk_sidecars),
    )
    await wait_until_all_serve(fragile_site)
    assert (await submit(fragile_site, body=b"other"))[0] == 200
    assert fragile_site.entry.guard.known.is_empty


async def test_a_planned_end_is_no_crash(fragile_site):
    """Guards against requests that are blamed for the end of an upstream that leaves."""
    for desk in fragile_site.desks:
        desk.behaviour = "slow"
    request = asyncio.create_task(submit(fragile_site, body=b"other"))
    await asyncio.sleep(0.1)
    desk = next(d for d in fragile_site.desks if any(r.body == b"other" for r in d.requests))
    fragile_site.desk_sidecars[fragile_site.desks.index(desk)].stop.set()
    await fragile_site.wait(lambda: fragile_site.entry.view.members[desk.upstream_id].is_leaving)
    desk.crash()
    assert (await request)[0] == 200
    assert fragile_site.entry.guard.known.is_empty


@pytest.mark.parametrize("keyed", [False, True], ids=["without key", "with key"])
async def test_a_request_that_runs_once_is_stopped(fragile_site, keyed):
    """Guards against a repeat of a request that may not run twice, by the same path."""
    statuses = []
    for number in range(4):
        key = {"Idempotency_Key": f"k-{number}"} if keyed else {}
        sent = await submit(fragile_site, method="POST", path="slots", **key)
        statuses.append(sent[0])
    assert statuses == [502, 502, 502, 503] and crashes(fragile_site) == MAX_CRASHES
    if keyed:
        # A resend of one that has run is told so, also while the request is stopped.
        resent = await submit(fragile_site, method="POST", path="slots", Idempotency_Key="k-0")
        assert resent[2]["ran"] == "unknown"
    assert crashes(fragile_site) == MAX_CRASHES


async def test_upstreams_that_are_back_serve_others_at_once(fragile_site):
    """Guards against an upstream that is avoided for what a request did to it."""
    for desk in fragile_site.desks:
        desk.behaviour, desk.slow_s, desk.crash_s = "slow", 0.2, 0.15
    others = [submit(fragile_site, body=b"before %d" % n) for n in range(24)]
    await asyncio.gather(submit(fragile_site), *others)
    await condemn(fragile_site)
    for desk in fragile_site.desks:
        desk.behaviour = "good"
    await wait_until_all_serve(fragile_site)
    statuses = [(await submit(fragile_site, body=b"o-%d" % n))[0] for n in range(40)]
    assert set(statuses) == {200}
    served = [sum(r.body.startswith(b"o-") for r in d.requests) for d in fragile_site.desks]
    assert min(served) > 0


async def test_a_caller_that_leaves_does_not_keep_the_trial(fragile_site):
    """Guards against a trial that is kept by a submission whose caller is gone."""
    for desk in fragile_site.desks:
        desk.behaviour = "slow"
    first = asyncio.create_task(submit(fragile_site, body=b"other"))
    await asyncio.sleep(0.15)
    next(d for d in fragile_site.desks if any(r.body == b"other" for r in d.requests)).crash()
    await asyncio.sleep(0.15)
    first.cancel()
    for desk in fragile_site.desks:
        desk.behaviour = "good"
    started = time.monotonic()
    assert (await submit(fragile_site, body=b"other"))[0] == 200
    assert time.monotonic() - started < 0.9
