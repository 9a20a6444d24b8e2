"""Requests that break the rules of HTTP or the table's limits, at a real entry's socket."""

from __future__ import annotations

import asyncio
import gzip

import pytest

from apricotvale.platform import names
from tests.platform_site import HOST, Site, table

ANSWER_S = 3.0
MAX_BODY = 1_000_000
MAX_HEADERS = 16_384


@pytest.fixture
async def site(tmp_path):
    async with Site(tmp_path) as site:
        await site.settle()
        yield site


def head(*fields, path="/fees/1", method="POST"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{names.REQUEST_ID}: r-1"]
    lines += [f"{names.DEADLINE_MS}: 1500", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send(site, data):
    """Send bytes on a connection of their own; return the status and what came with it."""
    host, port = site.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        status_line = await asyncio.wait_for(reader.readline(), ANSWER_S)
        rest = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), ANSWER_S)
    finally:
        writer.close()
    return int(status_line.split()[1]), rest


def arrivals(site):
    return sum(len(desk.seen) for desk in site.desks)


async def check_unhurt(site):
    """Check that the entry goes on serving others."""
    status, _, _ = await site.request("/fees/after")
    assert status == 200


TWO_LENGTHS = head("Content-Length: 1", "Content-Length: 5") + b"xxxxx"
LENGTH_AND_CHUNKS = head("Content-Length: 3", "Transfer-Encoding: chunked") + b"0\r\n\r\n"
NEGATIVE_LENGTH = head("Content-Length: -1")
WORDY_LENGTH = head("Content-Length: five") + b"xxxxx"
BAD_CHUNK = head("Transfer-Encoding: chunked") + b"zz\r\nxx\r\n0\r\n\r\n"
CHUNK_WITHOUT_END = head("Transfer-Encoding: chunked") + b"2\r\nxxyy\r\n0\r\n\r\n"
UNKNOWN_CODING = head("Transfer-Encoding: squeeze") + b"xx"
NO_VERSION = b"GET /fees/1\r\n\r\n"
SPACE_IN_NAME = head("Bad Name: 1")
FOLDED_FIELD = head("Folded: 1\r\n 2")
NO_HOST = b"GET /fees/1 HTTP/1.1\r\n\r\n"
MALFORMED = {
    "two lengths": TWO_LENGTHS,
    "length and chunks": LENGTH_AND_CHUNKS,
    "negative length": NEGATIVE_LENGTH,
    "length in words": WORDY_LENGTH,
    "bad chunk size": BAD_CHUNK,
    "chunk without end": CHUNK_WITHOUT_END,
    "unknown coding": UNKNOWN_CODING,
    "no version": NO_VERSION,
    "space in a name": SPACE_IN_NAME,
    "folded field": FOLDED_FIELD,
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED)
async def test_a_malformed_request_gets_a_clear_4xx_and_reaches_nobody(site, data):
    status, _ = await send(site, data)
    assert 400 <= status < 500
    assert arrivals(site) == 0
    await check_unhurt(site)


async def test_a_request_without_a_host_has_no_route(site):
    status, _ = await send(site, NO_HOST)
    assert 400 <= status < 500
    assert arrivals(site) == 0


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_body_over_the_tables_limit_is_refused(site, chunked):
    body = b"x" * (MAX_BODY + 1)
    if chunked:
        data = head("Transfer-Encoding: chunked") + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        data = head(f"Content-Length: {len(body)}") + body
    status, _ = await send(site, data)
    assert status == 413
    assert arrivals(site) == 0
    await check_unhurt(site)


async def test_a_length_over_the_limit_is_refused_before_the_body_comes(site):
    status, _ = await send(site, head(f"Content-Length: {MAX_BODY + 1}"))
    assert status == 413


async def test_a_body_at_the_limit_is_served(site):
    status, _ = await send(site, head(f"Content-Length: {MAX_BODY}") + b"x" * MAX_BODY)
    assert status == 200


async def test_header_fields_over_the_tables_limit_are_refused(site):
    status, _ = await send(site, head(f"Long: {'x' * MAX_HEADERS}", "Content-Length: 0"))
    assert status == 431
    assert arrivals(site) == 0
    await check_unhurt(site)


async def test_header_fields_under_the_limit_are_served(site):
    status, _ = await send(site, head(f"Long: {'x' * (MAX_HEADERS - 1_000)}", "Content-Length: 0"))
    assert status == 200


async def test_an_encoded_body_reaches_the_upstream_as_it_was_sent(site):
    body = gzip.compress(b"text " * 50)
    data = head("Content-Encoding: gzip", f"Content-Length: {len(body)}") + body
    status, _ = await send(site, data)
    assert status == 200
    received = [request for desk in site.desks for request in desk.seen]
    assert [request.body for request in received] == [body]


async def test_the_tables_limit_changes_with_the_table(site):
    assert await site.put_table(table(2, limits={"max_body_bytes": 10})) == 200
    await site.until(
        lambda: send(site, head("Content-Length: 11") + b"x" * 11), lambda r: r[0] == 413
    )
