"""Answers of upstreams that are cut, garbled, late or somebody else's never pass for good ones."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale import clock
from apricotvale.discovery import Standing, Upstream
from apricotvale.exceptions import StreamCutError
from apricotvale.outcomes import Ran, Reason, Refusal
from apricotvale.platform.client import PlatformClient
from apricotvale.requests.calls import Answer, Call, RunRequest
from apricotvale.weights.orders import LoadMode, LoadOrder, OrderOutcome
from tests.platform_standin import StandIn


@pytest.fixture
async def client():
    async with PlatformClient() as client:
        yield client


@pytest.fixture
async def standin():
    async with StandIn("i-1", "desk") as standin:
        yield standin


def upstream_of(standin, upstream_id="i-1"):
    return Upstream(upstream_id, 1, 1, "desk", standin.address, "a", 8, Standing.READY)


def call_of(request_id="r-1", timeout_s=1.0):
    headers = (("X-Own", "kept"), ("Accept", "text/plain"))
    return Call(
        "POST", "/a%2fb?c=%20d", "h.example", request_id, b"x=1", clock.now() + timeout_s, headers
    )


async def test_a_request_goes_on_unchanged(client, standin):
    answer = await client.call(upstream_of(standin), call_of())
    assert (answer.status, answer.body, answer.signature) == (200, b"body of r-1", "stamp-r-1")
    (seen,) = standin.seen
    assert (seen.method, seen.target, seen.body) == ("POST", "/a%2fb?c=%20d", b"x=1")
    assert (seen.headers["host"], seen.headers["x-own"]) == ("h.example", "kept")
    assert seen.headers["request-id"] == "r-1"
    assert seen.headers["expect-instance"] == "i-1"
    assert 0 < int(seen.headers["deadline-ms"]) <= 1000
    assert "accept-encoding" not in seen.headers and "user-agent" not in seen.headers


@pytest.mark.parametrize(
    ("behaviour", "reason", "ran"),
    [
        ("full", Reason.OVERLOADED, Ran.NOT_RUN),
        ("truncated", Reason.UPSTREAM_LOST, Ran.UNKNOWN),
        ("reset", Reason.UPSTREAM_LOST, Ran.UNKNOWN),
        ("reset without length", Reason.UPSTREAM_LOST, Ran.UNKNOWN),
        ("other request", Reason.UPSTREAM_GARBLED, Ran.UNKNOWN),
        ("unsigned", Reason.UPSTREAM_GARBLED, Ran.UNKNOWN),
        ("encoded", Reason.UPSTREAM_GARBLED, Ran.UNKNOWN),
        ("garbage", Reason.UPSTREAM_GARBLED, Ran.UNKNOWN),
        ("silent", Reason.DEADLINE_EXPIRED, Ran.UNKNOWN),
    ],
)
async def test_what_is_no_answer_is_a_typed_failure(client, standin, behaviour, reason, ran):
    standin.behaviour = behaviour
    result = await client.call(upstream_of(standin), call_of(timeout_s=0.2))
    assert isinstance(result, Refusal)
    assert (result.reason, result.ran) == (reason, ran)


async def test_an_answer_that_ends_with_its_connection_is_whole(client, standin):
    standin.behaviour = "until close"
    answer = await client.call(upstream_of(standin), call_of())
    assert answer.body == b"body of r-1"


async def test_an_extra_answer_is_never_given_to_the_next_request(client, standin):
    standin.behaviour = "extra answer"
    for number in range(5):
        answer = await client.call(upstream_of(standin), call_of(f"r-{number}"))
        if isinstance(answer, Answer):
            assert answer.body == f"body of r-{number}".encode()
        else:
            assert answer.ran is Ran.UNKNOWN


async def test_another_upstream_at_the_address_did_not_run_it(client, standin):
    result = await client.call(upstream_of(standin, "i-2"), call_of())
    assert (result.reason, result.ran) == (Reason.WRONG_INCARNATION, Ran.NOT_RUN)


async def test_a_port_without_listener_did_not_run_it(client):
    async with StandIn("i-1", "desk") as gone:
        upstream = upstream_of(gone)
    result = await client.call(upstream, call_of())
    assert (result.reason, result.ran) == (Reason.UPSTREAM_UNREACHABLE, Ran.NOT_RUN)


async def test_a_cancelled_request_closes_its_connection(client, standin):
    standin.behaviour = "slow"
    task = asyncio.create_task(client.call(upstream_of(standin), call_of()))
    await asyncio.sleep(0.05)
    task.cancel()
    await asyncio.sleep(0.05)
    assert [reader.at_eof() for reader in standin.readers] == [True]


async def test_connections_are_reused(client, standin):
    for number in range(4):
        await client.call(upstream_of(standin), call_of(f"r-{number}"))
    assert len(standin.writers) == 1


# -- runs of items


def run_of(resume_after=None):
    return RunRequest("/run", "h.example", "i-9", b"prompt", {"Model": "m"}, resume_after)


async def read(client, standin, request):
    async with client.run(upstream_of(standin), request) as stream:
        return stream.version, b"".join([chunk async for chunk in stream.chunks()])


async def test_a_run_is_a_stream_with_its_version(client, standin):
    standin.behaviour, standin.models = "stream", {"m": 4}
    version, data = await read(client, standin, run_of())
    assert version == 4
    assert data.count(b"\n\n") == 5 and data.startswith(b"id: 0\ndata: e0\n\n")


async def test_a_run_goes_on_behind_an_event(client, standin):
    standin.behaviour = "stream"
    _, data = await read(client, standin, run_of(2))
    assert data == b"id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
    assert standin.seen[0].headers["last-event-id"] == "2"


async def test_a_cut_run_is_an_error(client, standin):
    standin.behaviour = "cut stream"
    with pytest.raises(StreamCutError):
        await read(client, standin, run_of())


@pytest.mark.parametrize("behaviour", ["full", "reset", "garbage", "other request"])
async def test_a_run_that_does_not_begin_is_a_refusal(client, standin, behaviour):
    standin.behaviour = behaviour
    async with client.run(upstream_of(standin), run_of()) as result:
        assert isinstance(result, Refusal)


async def test_leaving_a_run_stops_it(client, standin):
    standin.behaviour, standin.events, standin.event_s = "stream", 1000, 0.01
    async with client.run(upstream_of(standin), run_of()) as stream:
        await anext(stream.chunks())
    await asyncio.sleep(0.1)
    assert not standin.writers


# -- orders


async def test_an_order_is_taken_once_under_its_condition(client, standin):
    standin.models = {"m": 1}
    upstream = upstream_of(standin)
    report = await client.report(upstream)
    order = LoadOrder("m", 2, LoadMode.CONTINUE, "storage-1", 5, report.orders)
    assert await client.order(upstream, order) is OrderOutcome.STARTED
    assert await client.order(upstream, order) is OrderOutcome.BUSY
    older = LoadOrder("m", 3, LoadMode.CONTINUE, "storage-1", 4, 1)
    assert await client.order(upstream, older) is OrderOutcome.FENCED_OFF
    assert (await client.report(upstream)).models == {"m": 2}
