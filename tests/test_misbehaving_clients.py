"""Clients that send or hold too much end no process and keep no other client from its answer.

Each test starts processes of its own and presses one of them with a crowd. Checked are that the
process lives, that its memory and descriptors stay within its limits, and that an ordinary request
is answered afterwards.
"""

from __future__ import annotations

import itertools

import aiohttp
import pytest

from tests.client_crowds import Deployment, held_open, press, send_endlessly
from tests.platform_site import HOST, item, job

pytestmark = pytest.mark.crowd

MEMORY_MB = 160
MAX_FDS = 150
CROWD = 60
LARGE_CROWD = 250
# More connections than the process may have descriptors.
SILENT_CROWD = 200
BYTES_PER_CLIENT = 16 * 1024 * 1024
ANSWER_BYTES = 4 * 1024 * 1024
READ_BYTES = 1024

GET = f"GET /fees/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: crowd\r\n".encode()
POST = GET.replace(b"GET", b"POST")
STREAM = POST.replace(b"/fees/", b"/streams/")
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
FILL = b"a" * 65_536
SHORT_LINES = b"a:b\r\n" * 13_000
# First bytes of a connection, and those that are repeated without an end.
ENDLESS = {
    "header-line": (GET + b"X-Field: ", FILL),
    "request-target": (b"GET /", FILL),
    "field-name": (GET, FILL),
    "short-lines": (GET, SHORT_LINES),
    "long-lines": (GET, b"a: " + b"b" * 60_000 + b"\r\n"),
    "no-request": (b"", b"\x00\xff" * 32_768),
    "empty-lines": (b"", b"\r\n" * 32_768),
    "empty-lines-without-CR": (b"", b"\n" * 65_536),
    "chunk-extension": (CHUNKED + b"1;", FILL),
    "trailers": (CHUNKED + b"0\r\n", SHORT_LINES),
    "one-byte-chunks": (CHUNKED, b"1\r\na\r\n" * 10_000),
    "after-a-refusal": (POST + b"Content-Length: 999999999999\r\n\r\n", FILL),
    "after-an-answer-that-closes": (GET + b"Connection: close\r\n\r\n", FILL),
    "after-an-upgrade": (GET + b"Upgrade: websocket\r\nConnection: Upgrade\r\n\r\n", FILL),
    "requests-ahead": (b"", (GET + b"\r\n") * 600),
}


@pytest.fixture
async def deployment(tmp_path):
    async with Deployment(tmp_path, MEMORY_MB) as deployment:
        yield deployment


@pytest.fixture
async def few_descriptors(tmp_path):
    async with Deployment(tmp_path, MEMORY_MB, MAX_FDS) as deployment:
        yield deployment


def head_of(size, lines):
    """Return header fields of a total size in bytes and a number of lines."""
    each, rest = divmod(size, lines)
    return b"".join(
        b"a:" + b"b" * (each + (rest if number == 0 else 0) - 4) + b"\r\n"
        for number in range(lines)
    )


@pytest.mark.parametrize("kind", ENDLESS)
async def test_bytes_without_an_end_at_the_requests_of_an_entry(deployment, kind):
    address = deployment.addresses["requests"]
    await press(send_endlessly(address, *ENDLESS[kind], BYTES_PER_CLIENT) for _ in range(CROWD))
    await deployment.check("requests")


@pytest.mark.parametrize("listener", ["readiness", "metrics", "interface"])
async def test_bytes_without_an_end_at_another_listener(deployment, listener):
    address = deployment.addresses[listener]
    kinds = itertools.islice(itertools.cycle(ENDLESS.values()), CROWD)
    await press(send_endlessly(address, *kind, BYTES_PER_CLIENT) for kind in kinds)
    await deployment.check(listener)


async def test_malformed_requests_while_nobody_reads_the_error_output(tmp_path):
    """Guards against a process that waits until its log is read."""
    deployment = Deployment(tmp_path, MEMORY_MB)
    deployment.entry.errors_are_read = False
    async with deployment:
        address = deployment.addresses["requests"]
        malformed = GET + b"no colon\r\n\r\n"
        await press(send_endlessly(address, malformed, b"x", 10_000) for _ in range(CROWD))
        await deployment.check("requests")


HELD = {
    "heads-over-the-limit": (CROWD, GET + (b"a: " + b"b" * 60_000 + b"\r\n") * 25),
    "heads-of-short-lines": (LARGE_CROWD, GET + head_of(16_000, 3_200)),
    "heads-without-a-body": (
        LARGE_CROWD,
        POST + head_of(16_000, 3_200) + b"Content-Length: 9\r\n\r\n",
    ),
    "heads-in-one-byte-chunks": (LARGE_CROWD, CHUNKED + b"1\r\na\r\n" * 20_000),
    "cut-bodies": (LARGE_CROWD, POST + b"Content-Length: 9000000\r\n\r\n" + FILL * 16),
}


@pytest.mark.parametrize("kind", HELD)
async def test_requests_that_stop_short_at_an_entry(deployment, kind):
    async with held_open(deployment.addresses["requests"], *HELD[kind]):
        await deployment.check("requests")


async def test_bodies_that_stop_short_at_control(deployment):
    head = f"PUT /api/config HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 9000000\r\n\r\n"
    payload = head.encode() + FILL * 120
    async with held_open(deployment.addresses["interface"], CROWD, payload):
        await deployment.check("interface")


async def test_large_answers_that_are_read_slowly(deployment):
    deployment.desk.body = b"x" * ANSWER_BYTES
    async with held_open(deployment.addresses["requests"], CROWD, GET + b"\r\n", READ_BYTES):
        await deployment.check("requests")


async def test_requests_for_large_answers_ahead_of_the_first_one(deployment):
    deployment.desk.body = b"x" * ANSWER_BYTES
    payload = (GET + b"\r\n") * 30
    async with held_open(deployment.addresses["requests"], CROWD, payload, READ_BYTES):
        await deployment.check("requests")


async def test_large_streams_that_are_read_slowly(deployment):
    engine = deployment.engine
    engine.events, engine.event_s = 3_300, 0.0
    engine.marks_events, engine.mark = True, "x" * 1_000
    payload = STREAM + b"Content-Length: 0\r\n\r\n"
    async with held_open(deployment.addresses["requests"], LARGE_CROWD, payload, READ_BYTES):
        await deployment.check("requests")


async def test_a_large_configuration_that_is_read_slowly(deployment):
    # Control returns a configuration as it was put, with fields that it does not know.
    async with aiohttp.ClientSession() as session:
        assert await deployment.put_table(session, 2, 1_000_000)
    payload = (f"GET /api/config HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()) * 30
    async with held_open(deployment.addresses["interface"], LARGE_CROWD, payload, READ_BYTES):
        await deployment.check("interface")


async def test_pages_of_results_that_are_read_slowly(deployment):
    deployment.engine.events, deployment.engine.event_s = 75, 0.0
    deployment.engine.marks_events, deployment.engine.mark = True, "x" * 1_000
    items = [item(f"i-{number}", scored=False) for number in range(10)]
    assert await deployment.run_job("j-1", job(*items)) > 700_000
    payload = f"GET /api/lots/j-1?after=0 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * 30
    async with held_open(deployment.addresses["requests"], LARGE_CROWD, payload, READ_BYTES):
        await deployment.check("requests")
        await deployment.check("interface")


@pytest.mark.parametrize("listener", ["requests", "interface"])
async def test_a_document_of_many_small_values(deployment, listener):
    """Guards against a body inside its limit that is many times larger once it is parsed."""
    document = b'{"items":[' + b"[]," * 10_000_000 + b"[]]}"
    line = "PUT /api/config" if listener == "interface" else "POST /drafts/jobs"
    head = f"{line} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: crowd\r\n"
    head += f"Content-Length: {len(document)}\r\n\r\n"
    async with held_open(deployment.addresses[listener], 2, head.encode() + document):
        await deployment.check(listener)


SILENT = {
    "nothing": b"",
    "half-a-head": GET,
    "a-request-that-was-answered": GET + b"\r\n",
    "a-head-without-its-body": POST + b"Content-Length: 9\r\n\r\n",
}


@pytest.mark.parametrize("kind", SILENT)
async def test_silent_connections_at_the_requests_of_an_entry(few_descriptors, kind):
    address = few_descriptors.addresses["requests"]
    async with held_open(address, SILENT_CROWD, SILENT[kind]):
        await few_descriptors.check("requests")


@pytest.mark.parametrize("listener", ["readiness", "metrics"])
async def test_silent_connections_at_another_listener(few_descriptors, listener):
    async with held_open(few_descriptors.addresses[listener], SILENT_CROWD, b""):
        await few_descriptors.check(listener)
        await few_descriptors.check("requests")


async def test_heads_inside_the_limit_are_served_in_any_number_of_lines(deployment):
    for size, lines in [(14_890, 200), (15_500, 1), (15_890, 400), (16_000, 3_200)]:
        fields = head_of(size, lines).decode().removesuffix("\r\n")
        assert await deployment.request_once("requests", "GET /fees/x HTTP/1.1", [fields]) == 200
