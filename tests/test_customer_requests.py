"""Customers and keys over real sockets: requests, items, reward calls and access to jobs."""

from __future__ import annotations

import asyncio
import json
import logging

import pytest
from loguru import logger

from apricotvale.platform import names
from tests.platform_site import HOST, Site, item, job, table

NORTH = {"name": "north", "api_keys": ["key-n1", "key-n2"], "priority": 1}
SOUTH = {"name": "south", "api_keys": ["key-s1"]}
ANSWER_TIMEOUT_S = 3.0


def customer_table(version, tenants=(NORTH, SOUTH), **changes):
    """Return a table with customers and a public route beside the usual ones."""
    document = table(version, **changes)
    status = {**document["routes"][0], "name": "status", "path_prefix": "/status/", "public": True}
    return {**document, "routes": [*document["routes"], status], "tenants": list(tenants)}


async def put_in_force(site, document):
    """Put a table and wait until the entry and every control replica apply it."""
    await site.put_table_until_accepted(document)

    async def versions():
        held = [site.entry.link.table, *(control.runner.table for control in site.controls)]
        return {found.version if found else 0 for found in held}

    await site.wait_until(versions, lambda found: found == {document["version"]})


@pytest.fixture
async def plain_site(tmp_path):
    """A deployment whose table has no customers."""
    async with Site(tmp_path) as site:
        await site.wait_until_ready()
        site.keep_sending_heartbeats()
        yield site


@pytest.fixture
async def site(plain_site):
    await put_in_force(plain_site, customer_table(2))
    return plain_site


def received(standins, prefix="/"):
    """Return the requests that stand-ins received under a path, without those of control."""
    return [
        request
        for standin in standins
        for request in standin.requests
        if request.target.startswith(prefix) and not request.target.startswith("/api/")
    ]


def values(request, name):
    return [value for field, value in request.fields if field == name.lower()]


async def send(site, method, path, key=None, document=None, **fields):
    """Send a request of a caller; return the status and the body."""
    headers = {"Host": HOST, names.DEADLINE_MS: "1500", **fields}
    if key is not None:
        headers[names.API_KEY] = key
    data = None if document is None else json.dumps(document).encode()
    async with site.session.request(
        method, site.url + path, headers=headers, data=data
    ) as response:
        return response.status, await response.read()


async def submit(site, job_id, document, key=None, path="/drafts/jobs"):
    status, _ = await send(site, "POST", path, key, document, **{names.REQUEST_ID: job_id})
    return status


async def read(site, job_id, key=None, wait_ms=0):
    """Return the status of a read of a job, and its results by item."""
    fields = {names.WAIT_MS: str(wait_ms)}
    status, body = await send(site, "GET", f"/api/lots/{job_id}?after=0", key, **fields)
    return status, {r["id"]: r for r in json.loads(body)["results"]} if status == 200 else {}


async def all_results(site, job_id, count, key=None):
    _, results = await site.wait_until(
        lambda: read(site, job_id, key, wait_ms=300), lambda r: r[0] == 200 and len(r[1]) >= count
    )
    return results


def slow_down(site):
    """Make runs so long that they last until `speed_up`, unless a job is ended."""
    for engine in site.engines:
        engine.behaviour = "full"


def speed_up(site):
    for engine in site.engines:
        engine.behaviour = "stream"


# Requests


@pytest.mark.parametrize("key", [None, "", "wrong", "key-n", "KEY-N1", "key-n1,key-n2", "north"])
async def test_a_missing_or_unknown_key_is_refused_and_nothing_runs(site, key):
    status, body = await send(site, "POST", "/fees/1", key, {}, **{names.REQUEST_ID: "r-1"})
    assert status == 401
    assert json.loads(body)["ran"] == "not_run"
    assert not key or key.encode() not in body
    assert await submit(site, "j-1", job(item("i-1")), key) == 401
    assert received(site.desks) == received(site.engines) == []


async def send_raw(site, *lines):
    """Send lines on a new connection; return the status of each answer until it closes."""
    host, port = site.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
        status_line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
    finally:
        writer.close()
    return int(status_line.split()[1])


def head(*fields, path="/fees/1"):
    return (f"POST {path} HTTP/1.1", f"Host: {HOST}", f"{names.REQUEST_ID}: r-1", *fields)


async def test_an_unknown_key_is_refused_before_the_body_arrives(site):
    """Otherwise a caller without a key makes the entry hold its bodies."""
    assert await send_raw(site, *head("X-Api-Key: wrong", "Content-Length: 900000")) == 401


async def test_a_request_with_two_keys_is_refused(site):
    """Two parties on the way could each pick another one of the keys."""
    fields = ("X-Api-Key: key-n1", "X-Api-Key: key-s1", "Content-Length: 0")
    assert await send_raw(site, *head(*fields)) == 401
    assert received(site.desks) == []


async def test_the_name_of_the_field_has_no_case(site):
    assert await send_raw(site, *head("x-api-KEY:  key-n1 ", "Content-Length: 0")) == 200


@pytest.mark.parametrize("answer_s", [0.0, 0.15])
async def test_an_upstream_gets_the_name_of_the_customer_and_no_key(site, answer_s):
    """A caller must not be able to pose as another customer.

    A request that is not answered within 0.1 s, half of its objective, has a second copy.
    """
    for desk in site.desks:
        desk.read_s = answer_s
    fields = ("X-Api-Key: key-s1", "Tenant: north", "tenant: north", "TENANT: x", "Kept: 1")
    assert await send_raw(site, *head(*fields, "Content-Length: 0")) == 200
    assert (await send(site, "GET", "/fees/2", "key-n2", **{names.REQUEST_ID: "r-2"}))[0] == 200
    copies = received(site.desks)
    assert len(copies) >= (3 if answer_s else 2)
    by_target = {request.target: request for request in copies}
    assert len(by_target) == 2
    first, second = (by_target[target] for target in sorted(by_target))
    assert values(first, "Kept") == ["1"]
    for copy in copies:
        customer = "south" if copy.target == first.target else "north"
        assert values(copy, "Tenant") == [customer]
        assert values(copy, "X-Api-Key") == []
        assert "key-" not in repr(copy)


@pytest.mark.parametrize("key", [None, "wrong", "key-n1"])
async def test_a_public_route_needs_no_key_and_names_no_customer(site, key):
    fields = {names.REQUEST_ID: "r-1", "Tenant": "north"}
    assert (await send(site, "POST", "/status/1", key, {}, **fields))[0] == 200
    (request,) = received(site.desks)
    assert values(request, "Tenant") == values(request, "X-Api-Key") == []


async def test_a_request_without_a_route_gets_404_with_and_without_a_key(site):
    """Guards against 401 for a public route that was just removed: the caller sent no key."""
    assert (await send(site, "GET", "/novel/1"))[0] == 404
    assert (await send(site, "GET", "/novel/1", "key-n1"))[0] == 404


async def test_an_empty_list_of_customers_admits_public_routes_only(site):
    await put_in_force(site, customer_table(3, tenants=()))
    fields = {names.REQUEST_ID: "r-1"}
    assert (await send(site, "POST", "/fees/1", "key-n1", {}, **fields))[0] == 401
    assert (await send(site, "POST", "/fees/1", None, {}, **fields))[0] == 401
    assert (await send(site, "POST", "/status/1", None, {}, **fields))[0] == 200
    assert await submit(site, "j-1", job(item("i-1")), "key-n1") == 401


async def test_a_table_without_the_field_needs_no_key_and_passes_the_fields(plain_site):
    site = plain_site
    fields = {names.REQUEST_ID: "r-1", "Tenant": "any"}
    assert (await send(site, "POST", "/fees/1", "any-key", {}, **fields))[0] == 200
    (request,) = received(site.desks)
    assert (values(request, "Tenant"), values(request, "X-Api-Key")) == (["any"], ["any-key"])
    labelled = {**item("i-1"), "headers": {"Model": "m", "Tenant": "any", "X-Api-Key": "any-key"}}
    assert await submit(site, "j-1", job(labelled)) == 202
    assert (await all_results(site, "j-1", 1))["i-1"]["state"] == "completed"
    (run,) = received(site.engines)
    assert (values(run, "Tenant"), values(run, "X-Api-Key")) == (["any"], ["any-key"])
    (reward,) = received(site.desks, "/fees/i-1")
    assert values(reward, "Tenant") == []
    assert (await send(site, "DELETE", "/api/lots/j-1", "any-key"))[0] == 200


@pytest.mark.parametrize(
    "body",
    [
        json.dumps(customer_table(9, tenants=(NORTH, {**SOUTH, "api_keys": ["key-n1"]}))).encode(),
        json.dumps(customer_table(9, tenants=(NORTH, NORTH))).encode(),
        json.dumps({**table(9), "tenants": {"north": ["key-n1"]}}).encode(),
        json.dumps({**table(9), "tenants": None}).encode(),
        json.dumps(customer_table(9)).encode().replace(b"south", b"\xff"),
    ],
)
async def test_an_invalid_list_is_rejected_without_showing_a_key(site, body):
    status, answer = await site.control_call("PUT", names.CONFIG_PATH, body=body, at=1)
    assert status == 400 and b"key-" not in answer
    assert (await send(site, "GET", "/fees/1", "key-n1", **{names.REQUEST_ID: "r-1"}))[0] == 200


async def test_a_new_table_admits_moves_and_removes_keys(site):
    """Requests in progress are not affected; the table at their arrival has decided."""

    async def tenant_of(key, request_id):
        fields = {names.REQUEST_ID: request_id}
        status, _ = await send(site, "GET", f"/fees/{request_id}", key, **fields)
        found = received(site.desks, f"/fees/{request_id}")
        return status, values(found[0], "Tenant") if found else None

    assert await tenant_of("key-new", "r-1") == (401, None)
    for desk in site.desks:
        desk.behaviour = "slow"
    in_progress = asyncio.create_task(tenant_of("key-n2", "r-2"))
    await asyncio.sleep(0.1)
    moved = [
        {"name": "north", "api_keys": ["key-n1", "key-new"]},
        {"name": "south", "api_keys": ["key-n2"]},
    ]
    await put_in_force(site, customer_table(3, tenants=moved))
    for desk in site.desks:
        desk.behaviour = "good"
    assert not in_progress.done()
    assert await tenant_of("key-new", "r-3") == (200, ["north"])
    assert await tenant_of("key-n2", "r-4") == (200, ["south"])
    assert await tenant_of("key-s1", "r-5") == (401, None)
    assert await in_progress == (200, ["north"])


async def test_an_entry_without_a_table_answers_503(tmp_path):
    """It can't tell whether a key is needed, so it must admit nobody."""
    async with Site(tmp_path) as site:
        requests = [
            ("POST", "/fees/1"),
            ("GET", "/api/lots/j-1"),
            ("GET", "/api/items/j-1?id=i-1"),
            ("DELETE", "/api/lots/j-1"),
        ]
        answers = await asyncio.gather(
            *(send(site, method, path, "key-n1") for method, path in requests)
        )
        assert [status for status, _ in answers] == [503] * 4
        assert all(json.loads(body)["title"] == "not ready" for _, body in answers)


async def test_a_read_of_a_job_waits_for_the_first_table(tmp_path):
    async with Site(tmp_path) as site:

        async def leaders():
            return [control for control in site.controls if control.replica.leads]

        await site.wait_until(leaders, bool)
        reading = asyncio.create_task(send(site, "GET", "/api/lots/j-1", "wrong"))
        await asyncio.sleep(0.1)
        assert await site.put_table(customer_table(1)) == 200
        assert (await reading)[0] == 401


async def test_an_entry_that_is_cut_off_keeps_its_last_table(site):
    for control, task in zip(site.controls, site.tasks, strict=False):
        task.cancel()
        control.stopping = True
    await asyncio.sleep(0.3)
    fields = {names.REQUEST_ID: "r-1"}
    assert (await send(site, "POST", "/fees/1", "key-n1", {}, **fields))[0] == 200
    assert (await send(site, "POST", "/fees/1", "wrong", {}, **fields))[0] == 401
    assert (await send(site, "GET", "/api/lots/j-1", "wrong"))[0] == 401


# Items and reward calls


async def test_items_and_reward_calls_carry_the_customer_of_their_job(site):
    labelled = {**item("i-1"), "headers": {"Model": "m", "tenant": "south", "x-api-key": "key-n1"}}
    assert await submit(site, "j-1", job(labelled), "key-n1") == 202
    assert (await all_results(site, "j-1", 1, "key-n1"))["i-1"]["state"] == "completed"
    (run,) = received(site.engines)
    (reward,) = received(site.desks, "/fees/i-1")
    assert values(run, "Tenant") == values(reward, "Tenant") == ["north"]
    assert values(run, "X-Api-Key") == values(reward, "X-Api-Key") == []
    assert values(run, "Model") == ["m"]


async def test_a_reward_call_on_a_public_route_names_no_customer(site):
    scored = item("i-1")
    scored["scorer"]["path"] = "/status/i-1"
    assert await submit(site, "j-1", job(scored), "key-n1") == 202
    assert (await all_results(site, "j-1", 1, "key-n1"))["i-1"]["score"] == "stamp-s-i-1"
    (run,) = received(site.engines)
    (reward,) = received(site.desks, "/status/i-1")
    assert (values(run, "Tenant"), values(reward, "Tenant")) == (["north"], [])


async def test_a_public_route_accepts_jobs_without_a_customer(site):
    """A job that nobody owns is open to every customer, so its results can be read."""
    document = customer_table(3)
    drafts = {**document["routes"][1], "public": True}
    document["routes"][1] = drafts
    await put_in_force(site, document)
    labelled = {**item("i-1", scored=False), "headers": {"Model": "m", "Tenant": "south"}}
    assert await submit(site, "j-1", job(labelled)) == 202
    assert (await all_results(site, "j-1", 1, "key-n1"))["i-1"]["state"] == "completed"
    assert (await read(site, "j-1"))[0] == 401
    (run,) = received(site.engines)
    assert values(run, "Tenant") == []
    # With a key, the job is its customer's also on a public route.
    assert await submit(site, "j-2", job(item("i-2")), "key-n1") == 202
    assert (await read(site, "j-2", "key-s1"))[0] == 404
    assert (await read(site, "j-2", "key-n2"))[0] == 200
    assert await submit(site, "j-2", job(item("i-3"))) == 409


# Access to jobs


async def test_the_job_of_another_customer_does_not_exist(site):
    slow_down(site)
    assert await submit(site, "j-1", job(item("i-1")), "key-n1") == 202
    for key, expected in (("key-s1", 404), ("wrong", 401), (None, 401)):
        for method, path in (
            ("GET", "/api/lots/{}"),
            ("GET", "/api/items/{}?id=i-1"),
            ("DELETE", "/api/lots/{}"),
        ):
            answers = [await send(site, method, path.format(name), key) for name in ("j-1", "j-9")]
            assert [status for status, _ in answers] == [expected] * 2
        # The answers are the same as for a job id that is not in use.
        assert answers[0][1].replace(b"j-1", b"j-9") == answers[1][1]
    speed_up(site)
    assert (await all_results(site, "j-1", 1, "key-n1"))["i-1"]["state"] == "completed"


async def test_a_submission_under_the_id_of_anothers_job_is_refused_and_runs_nothing(site):
    assert await submit(site, "j-1", job(item("i-1")), "key-n1") == 202
    fields = {names.REQUEST_ID: "j-1"}
    status, body = await send(
        site, "POST", "/drafts/jobs", "key-s1", job(item("i-2"), item("i-1")), **fields
    )
    assert status == 409 and json.loads(body)["ran"] == "not_run"
    assert await submit(site, "j-1", job(item("i-3")), "wrong") == 401
    assert sorted(await all_results(site, "j-1", 1, "key-n1")) == ["i-1"]
    await asyncio.sleep(0.2)
    assert [run.target for run in received(site.engines)] == ["/drafts/i-1"]
    assert await submit(site, "j-1", job(item("i-2")), "key-s1") == 409


async def test_of_two_customers_that_submit_one_id_at_once_one_gets_the_job(site):
    """Both submissions may be on the way to the log before either is known."""
    for number in range(5):
        job_id = f"j-{number}"
        keys = ["key-n1", "key-s1"] * 3
        statuses = await asyncio.gather(
            *(submit(site, job_id, job(item(f"{job_id}-{key}")), key) for key in keys)
        )
        by_key = {key: {s for k, s in zip(keys, statuses, strict=True) if k == key} for key in keys}
        assert sorted(map(sorted, by_key.values())) == [[202], [409]]
        (winner,) = [key for key, found in by_key.items() if found == {202}]
        (loser,) = set(keys) - {winner}
        assert list(await all_results(site, job_id, 1, winner)) == [f"{job_id}-{winner}"]
        assert (await read(site, job_id, loser))[0] == 404
    assert len(received(site.engines)) == 5


async def test_another_key_of_the_customer_gives_access(site):
    slow_down(site)
    assert await submit(site, "j-1", job(item("i-1")), "key-n1") == 202
    assert await submit(site, "j-1", job(item("i-1")), "key-n2") == 202
    assert await send(site, "GET", "/api/items/j-1?id=i-1", "key-n2") == (200, b"prompt")
    speed_up(site)
    assert list(await all_results(site, "j-1", 1, "key-n2")) == ["i-1"]
    assert (await send(site, "DELETE", "/api/lots/j-1", "key-n2"))[0] == 200
    assert (await read(site, "j-1", "key-n2"))[0] == 200
    assert len(received(site.engines, "/drafts/i-1")) >= 1


@pytest.mark.parametrize("with_customer", [True, False])
async def test_a_job_runs_on_when_its_key_or_customer_is_removed(site, with_customer):
    slow_down(site)
    assert await submit(site, "j-1", job(item("i-1")), "key-n1") == 202
    rest = ({**NORTH, "api_keys": ["key-n2"]}, SOUTH) if with_customer else (SOUTH,)
    await put_in_force(site, customer_table(3, tenants=rest))
    for engine in site.engines:
        engine.requests.clear()
    speed_up(site)

    async def rewards():
        return received(site.desks, "/fees/i-1")

    (reward,) = await site.wait_until(rewards, bool)
    runs = received(site.engines)
    assert {tuple(values(request, "Tenant")) for request in [*runs, reward]} == {("north",)}
    assert (await read(site, "j-1", "key-n1"))[0] == 401
    assert (await read(site, "j-1", "key-s1"))[0] == 404
    if with_customer:
        assert (await all_results(site, "j-1", 1, "key-n2"))["i-1"]["state"] == "completed"
    # Once the customer is back, so are its jobs.
    await put_in_force(site, customer_table(4))
    assert (await all_results(site, "j-1", 1, "key-n1"))["i-1"]["state"] == "completed"


async def test_a_moved_key_gives_access_to_the_jobs_of_its_new_customer_only(site):
    assert await submit(site, "j-1", job(item("i-1")), "key-n2") == 202
    assert await submit(site, "j-2", job(item("i-2")), "key-s1") == 202
    moved = ({**NORTH, "api_keys": ["key-n1"]}, {**SOUTH, "api_keys": ["key-s1", "key-n2"]})
    await put_in_force(site, customer_table(3, tenants=moved))
    assert (await read(site, "j-1", "key-n2"))[0] == 404
    assert await submit(site, "j-1", job(item("i-1")), "key-n2") == 409
    assert list(await all_results(site, "j-2", 1, "key-n2")) == ["i-2"]
    assert list(await all_results(site, "j-1", 1, "key-n1")) == ["i-1"]


async def test_a_job_from_before_the_customers_stays_accessible(plain_site):
    """Output that is ready is delivered, and its trainer has no other job id to ask for."""
    site = plain_site
    slow_down(site)
    labelled = {**item("i-1"), "headers": {"Model": "m", "Tenant": "north", "X-Api-Key": "key-n1"}}
    assert await submit(site, "j-1", job(labelled)) == 202
    await put_in_force(site, customer_table(2))
    for engine in site.engines:
        engine.requests.clear()
    speed_up(site)
    assert list(await all_results(site, "j-1", 1, "key-s1")) == ["i-1"]
    assert await submit(site, "j-1", job(labelled), "key-s1") == 202
    assert (await read(site, "j-1"))[0] == 401
    runs = received(site.engines)
    assert runs and not any(values(run, "Tenant") + values(run, "X-Api-Key") for run in runs)


async def test_the_owner_of_a_job_survives_the_loss_of_the_leader(site):
    slow_down(site)
    assert await submit(site, "j-1", job(item("i-1")), "key-n1") == 202
    leader = next(at for at, control in enumerate(site.controls) if control.replica.leads)
    site.tasks[leader].cancel()

    async def submit_again():
        return await submit(site, "j-1", job(item("i-1")), "key-n2")

    # Without a leader the status is 504: the submission may or may not have been accepted.
    assert await site.wait_until(submit_again, lambda status: status != 504) == 202
    assert (await send(site, "DELETE", "/api/lots/j-1", "key-s1"))[0] == 404
    assert (await read(site, "j-1", "key-s1"))[0] == 404
    assert await submit(site, "j-1", job(item("i-2")), "key-s1") == 409
    for engine in site.engines:
        engine.requests.clear()
    speed_up(site)
    assert list(await all_results(site, "j-1", 1, "key-n1")) == ["i-1"]
    runs = received(site.engines)
    assert runs and all(values(run, "Tenant") == ["north"] for run in runs)


# Logs


async def test_no_key_is_logged(site, caplog):
    caplog.set_level(logging.DEBUG)
    lines = []
    sink = logger.add(lambda message: lines.append(str(message.record["extra"])), level=0)
    try:
        secrets = ["key-n1", "key-s1", "wrong-key"]
        for number, key in enumerate(secrets):
            fields = {names.REQUEST_ID: f"r-{number}"}
            await send(site, "POST", "/fees/1", key, {}, **fields)
            await send(site, "POST", "/status/1", key, {}, **fields)
            await submit(site, "j-1", job(item("i-1")), key)
            await read(site, "j-1", key)
        await put_in_force(site, customer_table(3))
        shared = customer_table(4, tenants=(NORTH, {**SOUTH, "api_keys": ["key-n1"]}))
        assert await site.put_table(shared) == 400
        body = json.dumps(customer_table(5)).encode().replace(b"south", b"\xff")
        assert (await site.control_call("PUT", names.CONFIG_PATH, body=body))[0] == 400
        # The HTTP library names the offending line of a malformed request.
        assert await send_raw(site, *head("X-Api-Key: key-n1\x01", "Content-Length: 0")) == 400
        assert await send_raw(site, *head("X-Api-Key: key-n1", "Content-Length: key-s1")) == 400
    finally:
        logger.remove(sink)
    text = "\n".join(lines) + caplog.text
    assert "key-rejected" in text and "job-denied" in text
    assert [secret for secret in secrets if secret in text] == []
