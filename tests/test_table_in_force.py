"""Which route table is in force: invalid tables, tables sent again, and entries that lack one."""

from __future__ import annotations

import asyncio
import copy
import json

import pytest

from apricotvale import clock
from apricotvale.daemons.fleet_control import FleetControl
from apricotvale.fleet import calls, commands
from apricotvale.platform import names
from tests.platform_site import HOST, READY_TIMEOUT_S, item, job, table

BODY = json.dumps(table(9)).encode()
# A watch ends after 1.6 s without a reply; the rest is room for a busy machine.
MAX_SILENT_S = 6.0
ROUTE_TIMEOUT_MS = 300
# Room for a busy machine, below the other time limits that could end these requests.
MAX_ANSWER_S = 1.8


def changed_route(**changes):
    """Return a table whose first route is changed."""
    document = copy.deepcopy(table(9))
    document["routes"][0].update(changes)
    return document


def with_route(**changes):
    """Return a table with one more route, which is like the first."""
    document = table(9)
    document["routes"].append({**document["routes"][0], "name": "more", **changes})
    return document


def weighted(*weights):
    document = changed_route(backends=[{"service": "desk", "weight": weight} for weight in weights])
    del document["routes"][0]["service"]
    return document


def without(section, field):
    document = table(9)
    document[section] = [{k: v for k, v in e.items() if k != field} for e in document[section]]
    return document


TENANTS = [{"name": name, "api_keys": ["k"], "priority": 1} for name in ("one", "other")]
INVALID = {
    **{f"cut short at {size}": BODY[:size] for size in (0, 1, len(BODY) // 2, len(BODY) - 1)},
    "unknown service": changed_route(service="nobody"),
    "unknown service with weight 0": changed_route(
        backends=[{"service": "desk", "weight": 1}, {"service": "nobody", "weight": 0}]
    ),
    "unknown service on a further route": with_route(path_prefix="/new/", service="nobody"),
    "same place": with_route(),
    "same place in capitals": with_route(hostname=HOST.upper()),
    "no weight": weighted(0, 0),
    "no backends": weighted(),
    "negative weight": weighted(-1, 2),
    "no time-out": changed_route(timeout_ms=0),
    "no time-out, as a fraction": changed_route(timeout_ms=0.0),
    "negative time-out": changed_route(timeout_ms=-1),
    "time-out missing": without("routes", "timeout_ms"),
    "service missing": without("routes", "service"),
    "no routes": {k: v for k, v in table(9).items() if k != "routes"},
    "no services": {k: v for k, v in table(9).items() if k != "services"},
    "no version": {k: v for k, v in table(9).items() if k != "version"},
    "version as text": table("9"),
    "shared key": table(9, tenants=TENANTS),
}


@pytest.mark.parametrize("at", range(3))
async def test_invalid_tables_are_refused_and_not_in_force(site, at):
    """Guards against an invalid table that is acknowledged, read back or obeyed."""
    for name, document in INVALID.items():
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        status, _ = await site.control_call("PUT", names.CONFIG_PATH, body=body, at=at)
        assert status == 400, name
    status, body = await site.control_call("GET", names.CONFIG_PATH, at=at)
    assert (status, json.loads(body)) == (200, table(1))
    assert await site.put_table(table(2), at=at) == 200
    await site.wait_until(table_of(site), lambda version: version == 2)


async def test_a_body_that_ends_early_is_not_stored(site):
    """Guards against a table that a lost connection has cut."""
    host, port = site.interfaces[0].removeprefix("http://").split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    head = f"PUT {names.CONFIG_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(BODY) + 9}\r\n\r\n"
    writer.write(head.encode() + BODY)
    await writer.drain()
    writer.close()
    await writer.wait_closed()
    assert await site.put_table(table(2)) == 200
    _, body = await site.control_call("GET", names.CONFIG_PATH)
    assert json.loads(body) == table(2)


def table_of(site):
    async def version():
        return site.entry.link.table.version

    return version


async def test_two_contents_of_one_version_leave_one_in_force(site):
    """Guards against replicas or entries that differ on a version that two operators sent."""
    contents = [with_route(path_prefix=f"/by-{name}/") for name in ("one", "other")]
    for version in range(10, 20):
        sent = [{**content, "version": version} for content in contents]
        statuses = await asyncio.gather(
            *(site.put_table(document, at=(version + n) % 3) for n, document in enumerate(sent))
        )
        assert statuses == [200, 200]
        read = [(await site.control_call("GET", names.CONFIG_PATH, at=at))[1] for at in range(3)]
        assert read[0] == read[1] == read[2]
        assert json.loads(read[0]) in sent
        await site.wait_until(table_of(site), lambda found, version=version: found == version)
        prefixes = {route.prefix for route in site.entry.link.table.routes}
        assert json.loads(read[0])["routes"][-1]["path_prefix"] in prefixes


@pytest.mark.parametrize("at", range(3))
async def test_an_acknowledged_table_that_is_sent_again_is_acknowledged_again(site, at):
    for version in (2, 5, 9):
        assert [await site.put_table(table(version), at=at) for _ in range(3)] == [200] * 3
        assert await site.put_table(table(version - 1), at=at) == 200
        _, body = await site.control_call("GET", names.CONFIG_PATH, at=at)
        assert json.loads(body) == table(version)


async def test_a_leader_that_has_not_applied_what_its_predecessor_committed_confirms_no_table(
    site, monkeypatch
):
    """Guards against a 404 for a route that a former leader has acknowledged."""
    leader = next(control for control in site.controls if control.replica.leads)
    node = leader.replica.node
    watch = calls.Watch(leader.state.registry.state.position - 1, 1, confirm=False, wait_ms=200)
    assert isinstance(await leader.on_call(watch), calls.WatchReply)
    monkeypatch.setattr(node, "term_start_index", node.log.last_index + 1)
    waiting = asyncio.create_task(leader.on_call(watch))
    await asyncio.sleep(0.5)
    assert not waiting.done()
    await leader.commit(commands.ForgetJob("no job"))
    async with asyncio.timeout(READY_TIMEOUT_S):
        assert isinstance(await waiting, calls.WatchReply)


# Entries and replicas that lose a connection or their peers


@pytest.mark.parametrize("silent", ["watch_client", "call_client"])
async def test_an_entry_whose_connection_to_control_goes_silent_gets_the_next_table(site, silent):
    """Guards against a watch that waits on a connection that is open at one end only."""
    link = site.entry.link
    await link.call(calls.ReadTable(), clock.now() + READY_TIMEOUT_S)
    client = getattr(link, silent)
    client.clients[client.current_address].channel.transport.pause_reading()
    await site.put_table_until_accepted(table(2))
    await site.wait_until(table_of(site), lambda version: version == 2, MAX_SILENT_S)


async def test_a_leader_that_is_cut_off_from_its_peers_serves_no_older_table(site, monkeypatch):
    """Guards against an older table that is read or obeyed where a former leader is in reach."""
    at, leader = next((n, c) for n, c in enumerate(site.controls) if c.replica.leads)
    others = [n for n in range(3) if n != at]
    monkeypatch.setattr(leader.replica, "send_messages", lambda messages: None)
    monkeypatch.setattr(leader.replica, "receive_batch", lambda batch: None)

    async def put():
        return await site.put_table(table(2), at=others[0])

    await site.wait_until(put, lambda status: status == 200)
    for _ in range(20):
        status, body = await site.control_call("GET", names.CONFIG_PATH, at=at)
        assert status == 503 or json.loads(body) == table(2)
        await asyncio.sleep(0.05)
    await site.wait_until(table_of(site), lambda version: version == 2, MAX_SILENT_S)


# Requests beyond the time-out of their route


async def test_a_request_without_a_deadline_is_answered_at_its_routes_time_out(site):
    for desk in site.desks:
        desk.behaviour = "silent"
    await site.put_table_until_accepted(
        {**changed_route(timeout_ms=ROUTE_TIMEOUT_MS), "version": 2}
    )
    await site.wait_until(table_of(site), lambda version: version == 2)
    async with asyncio.timeout(MAX_ANSWER_S):
        status, _, _ = await site.request("/fees/1", Deadline_Ms="9000")
    assert status == 504


async def test_a_submission_that_control_does_not_answer_ends_at_its_routes_time_out(
    site, monkeypatch
):
    """Guards against submissions that are held beyond the time that their route allows."""
    document = table(2)
    document["routes"][1]["timeout_ms"] = ROUTE_TIMEOUT_MS
    await site.put_table_until_accepted(document)
    await site.wait_until(table_of(site), lambda version: version == 2)

    async def never_reply(self, request):
        await asyncio.Event().wait()

    monkeypatch.setattr(FleetControl, "on_submit", never_reply)
    async with asyncio.timeout(MAX_ANSWER_S):
        assert await site.submit("j-1", job(item("i-1"))) == 504
