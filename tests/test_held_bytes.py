"""Bytes held for callers and upstreams are bounded, and callers that read nothing are cut."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import Counter
from contextlib import asynccontextmanager

import pytest

from apricotvale import events
from apricotvale.daemons import delivery
from apricotvale.platform import names
from apricotvale.requests.held_bytes import (
    BYTES_PER_MIB,
    ByteBudget,
    Hold,
    UpstreamBytes,
    held_limit,
)
from tests.platform_site import HOST, Site

ANSWER_TIMEOUT_S = 3.0


# Pure


def test_a_quarter_of_the_memory_is_for_held_bytes():
    assert held_limit(160) == 40 * BYTES_PER_MIB
    assert held_limit(0) == 0


def test_claims_beyond_the_bound_are_refused_until_others_are_released():
    budget = ByteBudget(100)
    with Hold(budget) as first:
        assert first.claim(70)
        with Hold(budget) as second:
            assert not second.claim(31)
            assert second.claim(30)
            assert budget.held == 100
        assert budget.held == 70
    assert budget.held == 0


def test_an_answer_is_counted_beyond_the_bound_and_keeps_new_requests_out():
    """Guards against an answer that is lost, or not counted, because it does not fit."""
    budget = ByteBudget(100)
    with Hold(budget) as answered:
        answered.claim(90)
        answered.resize(150)
        with Hold(budget) as new:
            assert not new.claim(0)
    assert budget.held == 0


def test_an_error_releases_the_bytes():
    budget = ByteBudget(100)
    with pytest.raises(ConnectionError), Hold(budget) as hold:
        hold.claim(50)
        raise ConnectionError
    assert budget.held == 0


def test_a_limit_of_0_refuses_nothing():
    assert Hold(ByteBudget()).claim(10**12)
    sent = UpstreamBytes()
    sent.begin("a", 10**12)
    assert sent.fits("a", 10**12)


def test_bytes_in_flight_are_bounded_by_upstream():
    sent = UpstreamBytes(100)
    sent.begin("a", 60)
    assert not sent.fits("a", 41)
    assert sent.fits("a", 40) and sent.fits("b", 41)
    sent.end("a", 60)
    assert sent.fits("a", 41)
    assert sent.in_flight == {}


def test_a_request_over_the_upstreams_bound_is_sent_alone():
    """Guards against a request that no upstream ever gets."""
    sent = UpstreamBytes(100)
    assert sent.fits("a", 500)
    sent.begin("a", 500)
    assert not sent.fits("a", 1)


# Over sockets


@asynccontextmanager
async def running_site(folder, memory_mb):
    async with Site(folder, memory_mb=memory_mb) as site:
        await site.wait_until_ready()
        # Without further heartbeats the upstreams count as silent after 1.75 s.
        site.keep_sending_heartbeats()
        yield site


@pytest.fixture
def emitted(monkeypatch):
    """Return the list to which each emitted event is appended, with its fields."""
    found, emit = [], events.emit

    def record(kind, **fields):
        found.append((kind, fields))
        emit(kind, **fields)

    monkeypatch.setattr(events, "emit", record)
    return found


def fields_of(emitted, kind):
    return [fields for other, fields in emitted if other is kind]


def head(request_id, *fields):
    lines = [f"POST /fees/{request_id} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{names.REQUEST_ID}: {request_id}", f"{names.DEADLINE_MS}: 1500", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@asynccontextmanager
async def connection(site, receive_bytes=None):
    """Open a connection to the entry, with a receive buffer of a given size."""
    host, port = site.url.removeprefix("http://").split(":")
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=receive_bytes or 65_536)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def read_head(reader):
    """Return the status and the header fields of an answer."""
    data = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), ANSWER_TIMEOUT_S)
    first, *lines = data.decode().rstrip().split("\r\n")
    return int(first.split()[1]), {n: v.strip() for n, _, v in (x.partition(":") for x in lines)}


async def post(site, request_id, body):
    fields = {"Host": HOST, names.REQUEST_ID: request_id, names.DEADLINE_MS: "1500"}
    url = f"{site.url}/fees/{request_id}"
    async with site.session.post(url, headers=fields, data=body) as response:
        return request_id, response.status, response.headers, await response.read()


async def watch_maximum(measure, seen):
    """Record the maximum of a measure until cancelled."""
    while True:
        seen.append(max(measure(), *seen[-1:]) if seen else measure())
        await asyncio.sleep(0.002)


async def wait_for(condition, timeout_s=ANSWER_TIMEOUT_S):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


async def test_many_large_bodies_at_once_stay_within_the_bound(tmp_path):
    """Guards against memory that grows with the number of callers."""
    async with running_site(tmp_path, 8) as site:
        for desk in site.desks:
            desk.behaviour = "slow"
        seen = []
        watch = asyncio.create_task(watch_maximum(lambda: site.entry.held.held, seen))
        answers = await asyncio.gather(*(post(site, f"r-{n}", b"x" * 300_000) for n in range(30)))
        watch.cancel()
        counts = Counter(status for _, status, _, _ in answers)
        assert set(counts) == {200, 503} and counts[200] >= 2
        assert 900_000 < seen[-1] <= held_limit(8)
        reached = {r.headers["request-id"] for desk in site.desks for r in desk.requests}
        for request_id, status, headers, body in answers:
            if status == 503:
                assert 0 < float(headers["Retry-After"]) < 1
                assert json.loads(body)["ran"] == "not_run"
                assert request_id not in reached
        await wait_for(lambda: site.entry.held.held == 0)
        assert not site.entry.forwarder.sent.in_flight


async def test_a_stated_length_without_room_is_refused_before_the_body_is_read(tmp_path, emitted):
    """Guards against an entry that reads a body only to refuse it."""
    async with running_site(tmp_path, 4) as site:
        async with connection(site) as (_, first), connection(site) as (reader, second):
            first.write(head("r-1", "Content-Length: 900000"))
            await wait_for(lambda: site.entry.held.held == 900_000)
            second.write(head("r-2", "Content-Length: 200000"))
            status, headers = await read_head(reader)
            assert status == 503 and 0.5 <= float(headers["Retry-After"]) <= 0.75
            assert site.entry.held.held == 900_000
        (fields,) = fields_of(emitted, events.BYTES_REFUSED)
        assert (fields["request"], fields["bytes"]) == ("r-2", 200_000)
        await wait_for(lambda: site.entry.held.held == 0)
        assert (await site.request("/fees/1"))[0] == 200


async def test_a_body_without_a_stated_length_is_refused_when_it_exceeds_the_room(tmp_path):
    async with running_site(tmp_path, 4) as site:
        async with connection(site) as (_, first), connection(site) as (reader, second):
            first.write(head("r-1", "Content-Length: 900000"))
            await wait_for(lambda: site.entry.held.held == 900_000)
            second.write(head("r-2", "Transfer-Encoding: chunked"))
            second.write(b"61a80\r\n" + b"x" * 400_000)
            status, _ = await read_head(reader)
            assert status == 503
        await wait_for(lambda: site.entry.held.held == 0)


async def test_a_body_that_stalls_gives_its_room_back(tmp_path, monkeypatch):
    """Guards against callers that state a length, send nothing, and keep all others out."""
    monkeypatch.setattr(delivery, "BODY_STALL_S", 0.3)
    async with running_site(tmp_path, 4) as site, connection(site) as (reader, writer):
        writer.write(head("r-1", "Content-Length: 900000"))
        status, _ = await read_head(reader)
        assert status == 503
        await wait_for(lambda: site.entry.held.held == 0)


async def test_a_caller_that_reads_nothing_is_cut(tmp_path, emitted):
    """Guards against answers that are held for as long as a caller keeps its connection."""
    async with running_site(tmp_path, 64) as site:
        site.desks[0].body = site.desks[1].body = b"x" * 10_000_000
        async with connection(site, 16_384) as (_, writer):
            started = asyncio.get_running_loop().time()
            writer.write(head("r-1", "Content-Length: 1") + b"x")
            await wait_for(lambda: site.entry.held.held == 10_000_000)
            writer.transport.pause_reading()
            await wait_for(lambda: fields_of(emitted, events.CALLER_CUT), 9.0)
            took_s = asyncio.get_running_loop().time() - started
            await wait_for(lambda: site.entry.held.held == 0)
        (fields,) = fields_of(emitted, events.CALLER_CUT)
        assert fields["request"] == "r-1"
        assert 1_000_000 < fields["held_bytes"] <= fields["unread_bytes"] <= 10_010_000
        assert 5.0 <= took_s < 7.5


async def test_a_slow_but_steady_reader_gets_its_whole_answer(tmp_path, emitted, monkeypatch):
    """Guards against a cut of callers whose reading the process does not see in its own buffer.

    The kernel takes more from that buffer only after about a third of its own was read, which takes
    longer here than a caller may read nothing.
    """
    monkeypatch.setattr(delivery, "CHECK_INTERVAL_S", 0.03)
    async with running_site(tmp_path, 64) as site:
        site.desks[0].body = site.desks[1].body = b"x" * 7_000_000
        async with connection(site, 65_536) as (reader, writer):
            writer.write(head("r-1", "Content-Length: 1") + b"x")
            status, headers = await read_head(reader)
            assert (status, headers["Content-Length"]) == (200, "7000000")
            left = 7_000_000
            while left:
                chunk = await asyncio.wait_for(reader.read(65_536), ANSWER_TIMEOUT_S)
                assert chunk, left
                left -= len(chunk)
                await asyncio.sleep(0.05)
        await wait_for(lambda: site.entry.held.held == 0)
    assert fields_of(emitted, events.CALLER_CUT) == []


async def test_unread_answers_keep_new_requests_out_until_they_are_cut(tmp_path, monkeypatch):
    monkeypatch.setattr(delivery, "CHECK_INTERVAL_S", 0.1)
    async with running_site(tmp_path, 64) as site:
        site.desks[0].body = site.desks[1].body = b"x" * 7_500_000
        async with connection(site, 16_384) as (_, first), connection(site, 16_384) as (_, second):
            for number, writer in enumerate((first, second)):
                writer.write(head(f"r-{number}", "Content-Length: 1") + b"x")
                writer.transport.pause_reading()
            await wait_for(lambda: site.entry.held.held == 15_000_000)
            async with connection(site) as (_, third):
                third.write(head("r-3", "Content-Length: 900000"))
                await wait_for(lambda: site.entry.held.held == 15_900_000)
                _, status, headers, _ = await post(site, "r-4", b"x" * 900_000)
                assert status == 503 and "Retry-After" in headers
            await wait_for(lambda: site.entry.held.held == 0)
        site.desks[0].body = site.desks[1].body = None
        assert (await site.request("/fees/1", "r-5"))[0] == 200


async def test_an_answer_over_the_bound_is_not_read_to_its_end(tmp_path):
    async with running_site(tmp_path, 4) as site:
        site.desks[0].body = site.desks[1].body = b"x" * 3_000_000
        _, status, _, _ = await post(site, "r-1", b"x")
        assert status == 502
        await wait_for(lambda: site.entry.held.held == 0)


async def test_bytes_in_flight_to_a_slow_upstream_are_bounded(tmp_path, emitted):
    """Guards against an upstream that crashes by the requests that it has not read yet."""
    async with running_site(tmp_path, 8) as site:
        for desk in site.desks:
            desk.read_s = 0.3
        sent = site.entry.forwarder.sent
        assert sent.limit == 131_072
        seen = []
        measure = lambda: max(sent.in_flight.values(), default=0)  # noqa: E731
        watch = asyncio.create_task(watch_maximum(measure, seen))
        answers = await asyncio.gather(*(post(site, f"r-{n}", b"x" * 60_000) for n in range(20)))
        watch.cancel()
        assert seen[-1] == 120_000
        counts = Counter(status for _, status, _, _ in answers)
        assert set(counts) == {200, 503} and counts[200] >= 2
        assert all("Retry-After" in headers for _, s, headers, _ in answers if s == 503)
        assert fields_of(emitted, events.UPSTREAM_BYTES_FULL)
        assert not sent.in_flight
        assert (await post(site, "after", b"x" * 60_000))[1] == 200


async def test_without_a_known_memory_nothing_is_bounded(tmp_path, emitted):
    async with running_site(tmp_path, 0) as site:
        for desk in site.desks:
            desk.body = b"x" * 2_000_000
        answers = await asyncio.gather(*(post(site, f"r-{n}", b"x" * 500_000) for n in range(8)))
        assert {status for _, status, _, _ in answers} == {200}
        assert site.entry.held.held == 0 and not site.entry.held.limit
        assert fields_of(emitted, events.BYTES_REFUSED) == []
