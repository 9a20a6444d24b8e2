"""Malformed HTTP requests and requests over the route table's limits, sent to a real entry."""

from __future__ import annotations

import asyncio
import gzip

import pytest

from apricotvale.platform import names
from tests.platform_site import HOST, table

ANSWER_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384


def request_head(*fields, path="/fees/1", method="POST"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{names.REQUEST_ID}: r-1"]
    lines += [f"{names.DEADLINE_MS}: 1500", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send(site, data):
    """Send bytes on a new connection; return the status and the response headers."""
    host, port = site.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        status_line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
        response_headers = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), ANSWER_TIMEOUT_S)
    finally:
        writer.close()
    return int(status_line.split()[1]), response_headers


def received_requests(site):
    return sum(len(desk.requests) for desk in site.desks)


async def check_still_serving(site):
    """Check that the entry still serves other requests."""
    status, _, _ = await site.request("/fees/after")
    assert status == 200


TWO_LENGTHS = request_head("Content-Length: 1", "Content-Length: 5") + b"xxxxx"
LENGTH_AND_CHUNKS = request_head("Content-Length: 3", "Transfer-Encoding: chunked") + b"0\r\n\r\n"
NEGATIVE_LENGTH = request_head("Content-Length: -1")
NON_NUMERIC_LENGTH = request_head("Content-Length: five") + b"xxxxx"
BAD_CHUNK = request_head("Transfer-Encoding: chunked") + b"zz\r\nxx\r\n0\r\n\r\n"
CHUNK_WITHOUT_END = request_head("Transfer-Encoding: chunked") + b"2\r\nxxyy\r\n0\r\n\r\n"
UNKNOWN_CODING = request_head("Transfer-Encoding: squeeze") + b"xx"
NO_VERSION = b"GET /fees/1\r\n\r\n"
SPACE_IN_NAME = request_head("Bad Name: 1")
FOLDED_FIELD = request_head("Folded: 1\r\n 2")
NO_HOST = b"GET /fees/1 HTTP/1.1\r\n\r\n"
MALFORMED = {
    "two lengths": TWO_LENGTHS,
    "length and chunks": LENGTH_AND_CHUNKS,
    "negative length": NEGATIVE_LENGTH,
    "length in words": NON_NUMERIC_LENGTH,
    "bad chunk size": BAD_CHUNK,
    "chunk without end": CHUNK_WITHOUT_END,
    "unknown coding": UNKNOWN_CODING,
    "no version": NO_VERSION,
    "space in a name": SPACE_IN_NAME,
    "folded field": FOLDED_FIELD,
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED)
async def test_a_malformed_request_gets_a_4xx_and_is_not_forwarded(site, data):
    status, _ = await send(site, data)
    assert 400 <= status < 500
    assert received_requests(site) == 0
    await check_still_serving(site)


async def test_a_request_without_a_host_has_no_route(site):
    status, _ = await send(site, NO_HOST)
    assert 400 <= status < 500
    assert received_requests(site) == 0


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_body_over_the_limit_is_refused(site, chunked):
    body = b"x" * (MAX_BODY_BYTES + 1)
    if chunked:
        data = request_head("Transfer-Encoding: chunked") + b"%x\r\n%s\r\n0\r\n\r\n" % (
            len(body),
            body,
        )
    else:
        data = request_head(f"Content-Length: {len(body)}") + body
    status, _ = await send(site, data)
    assert status == 413
    assert received_requests(site) == 0
    await check_still_serving(site)


async def test_a_content_length_over_the_limit_is_refused_before_the_body_arrives(site):
    status, _ = await send(site, request_head(f"Content-Length: {MAX_BODY_BYTES + 1}"))
    assert status == 413


async def test_a_body_at_the_limit_is_served(site):
    status, _ = await send(
        site, request_head(f"Content-Length: {MAX_BODY_BYTES}") + b"x" * MAX_BODY_BYTES
    )
    assert status == 200


async def test_header_fields_over_the_limit_are_refused(site):
    status, _ = await send(
        site, request_head(f"Long: {'x' * MAX_HEADER_BYTES}", "Content-Length: 0")
    )
    assert status == 431
    assert received_requests(site) == 0
    await check_still_serving(site)


async def test_header_fields_under_the_limit_are_served(site):
    status, _ = await send(
        site, request_head(f"Long: {'x' * (MAX_HEADER_BYTES - 1_000)}", "Content-Length: 0")
    )
    assert status == 200


async def test_an_encoded_body_is_forwarded_unchanged(site):
    body = gzip.compress(b"text " * 50)
    data = request_head("Content-Encoding: gzip", f"Content-Length: {len(body)}") + body
    status, _ = await send(site, data)
    assert status == 200
    received = [request for desk in site.desks for request in desk.requests]
    assert [request.body for request in received] == [body]


async def test_a_new_route_table_changes_the_limit(site):
    assert await site.put_table(table(2, limits={"max_body_bytes": 10})) == 200
    await site.wait_until(
        lambda: send(site, request_head("Content-Length: 11") + b"x" * 11), lambda r: r[0] == 413
    )


NOT_UNICODE = {
    "field": request_head("X-Own: a", "Content-Length: 0").replace(b"X-Own: a", b"X-Own: \xff"),
    "request id": request_head("Content-Length: 0").replace(b"r-1", b"r-\xff"),
    "path": request_head("Content-Length: 0").replace(b"/fees/1", b"/fees/\xff"),
}


@pytest.mark.parametrize("data", NOT_UNICODE.values(), ids=NOT_UNICODE)
async def test_a_request_that_is_not_unicode_gets_a_4xx_and_harms_no_upstream(site, data):
    """Guards against a caller whose requests make every upstream look as if it failed."""
    for _ in range(5):
        status, _ = await send(site, data)
        assert status == 400
    assert received_requests(site) == 0
    await check_still_serving(site)


@pytest.mark.parametrize("fields", [["Content-Length: 50"], ["Transfer-Encoding: chunked"]])
async def test_a_body_that_never_ends_is_refused_at_the_deadline(site, fields):
    """Guards against an upload of a byte now and then that is waited for without an end."""
    host, port = site.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))

    async def send_bytes():
        chunk = b"x" if "50" in fields[0] else b"1\r\nx\r\n"
        for _ in range(40):
            writer.write(chunk)
            await asyncio.sleep(0.1)

    head = request_head(*fields).replace(b"1500", b"400")
    started = asyncio.get_running_loop().time()
    writer.write(head)
    sender = asyncio.create_task(send_bytes())
    status_line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
    took_s = asyncio.get_running_loop().time() - started
    sender.cancel()
    writer.close()
    assert int(status_line.split()[1]) == 503
    assert took_s < 1.0
    assert received_requests(site) == 0
    await check_still_serving(site)
