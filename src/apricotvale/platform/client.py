"""The platform's upstreams as the product's `UpstreamClient`."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from apricotvale import clock
from apricotvale.discovery import Upstream
from apricotvale.exceptions import ApricotvaleError, StreamCutError
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.platform import names, wire
from apricotvale.requests.calls import Answer, Call, RunRequest
from apricotvale.weights.orders import EngineReport, LoadOrder, OrderOutcome

CONNECT_S = 0.5
# An engine states its version with its first event: a queue or a load may be before it.
FIRST_ANSWER_S = 2.5
CONTROL_CALL_S = 1.0
# A connection whose data is not acknowledged for so long is dead, though nothing was reset.
USER_TIMEOUT_MS = 1_500
ORDER_OUTCOMES = {
    202: OrderOutcome.STARTED,
    200: OrderOutcome.HOLDS_ALREADY,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED_OFF,
}
MISDIRECTED = 421
LIBRARY_FIELDS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def make_socket(address: tuple) -> socket.socket:
    """Return a socket that notices a peer which went silent."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return made


class RecordingHandler(ResponseHandler):
    """A connection that remembers whether it was reset.

    An answer without a length ends with its connection; the library takes a reset for that end.
    """

    was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note how the connection ended."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


def make_handler(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    """Return the protocol of a new connection."""
    return RecordingHandler(loop)


class PlatformClient:
    """Connections to upstreams, kept open and reused."""

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> PlatformClient:
        connector = aiohttp.TCPConnector(limit=0, socket_factory=make_socket)
        connector._factory = partial(make_handler, asyncio.get_running_loop())
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S)
        self.session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=LIBRARY_FIELDS,
        )
        # The library would send an idempotent method again by itself, unseen by the retry rules.
        self.session._retry_connection = False
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()

    async def call(self, upstream: Upstream, call: Call) -> Answer | Refusal:
        """Send a request and return the whole answer."""
        left_s = call.deadline - clock.now()
        if left_s <= 0:
            return not_run(Reason.DEADLINE_EXPIRED)
        headers = [
            *call.headers,
            ("Host", call.host),
            (names.REQUEST_ID, call.request_id),
            (names.DEADLINE_MS, str(max(1, int(left_s * 1000)))),
            (names.EXPECT_INSTANCE, upstream.upstream_id),
        ]
        try:
            async with (
                asyncio.timeout(left_s),
                self.session.request(
                    call.method,
                    target_url(upstream, call.target),
                    data=call.body or None,
                    headers=headers,
                    allow_redirects=False,
                ) as response,
            ):
                return await read_answer(response, call.request_id)
        except TimeoutError as error:
            return failure(error)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return failure(error)

    @asynccontextmanager
    async def run(
        self, upstream: Upstream, request: RunRequest
    ) -> AsyncIterator[PlatformRun | Answer | Refusal]:
        """Open a run of an item; leaving the context closes its connection unless it ended."""
        headers = {
            **request.headers,
            "Host": request.host,
            names.REQUEST_ID: request.request_id,
            names.EXPECT_INSTANCE: upstream.upstream_id,
        }
        if request.resume_after is not None:
            headers[names.LAST_EVENT_ID] = str(request.resume_after)
        response = None
        result: PlatformRun | Answer | Refusal
        try:
            try:
                async with asyncio.timeout(FIRST_ANSWER_S):
                    response = await self.session.post(
                        target_url(upstream, request.target),
                        data=request.body or None,
                        headers=headers,
                        allow_redirects=False,
                    )
                    if response.status == 200 and is_for(response, request.request_id):
                        result = PlatformRun(response)
                    else:
                        result = await read_answer(response, request.request_id)
            except (aiohttp.ClientError, OSError, ValueError) as error:
                result = failure(error)
            yield result
        finally:
            if response is not None:
                response.close()

    async def report(self, upstream: Upstream) -> EngineReport | Refusal:
        """Read an engine's state."""
        answer = await self.control_call(upstream, "GET", names.REPORT_PATH, b"")
        if isinstance(answer, Refusal):
            return answer
        if answer.status != 200:
            return unknown(Reason.UPSTREAM_GARBLED, f"status {answer.status}")
        try:
            return wire.parse_report(answer.body)
        except ApricotvaleError as error:
            return unknown(Reason.UPSTREAM_GARBLED, error.format_message())

    async def order(self, upstream: Upstream, order: LoadOrder) -> OrderOutcome | Refusal:
        """Tell an engine to load a version."""
        body = json.dumps(wire.format_order(order)).encode()
        answer = await self.control_call(upstream, "POST", names.ORDER_PATH, body)
        if isinstance(answer, Refusal):
            return answer
        return ORDER_OUTCOMES.get(answer.status, OrderOutcome.REJECTED)

    async def control_call(
        self, upstream: Upstream, method: str, path: str, body: bytes
    ) -> Answer | Refusal:
        """Send a call about the upstream itself."""
        headers = {names.EXPECT_INSTANCE: upstream.upstream_id}
        if body:
            headers["Content-Type"] = "application/json"
        try:
            async with (
                asyncio.timeout(CONTROL_CALL_S),
                self.session.request(
                    method, target_url(upstream, path), data=body or None, headers=headers
                ) as response,
            ):
                return Answer(response.status, await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return failure(error)


class PlatformRun:
    """An engine's open stream of events."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.version = int(response.headers.get(names.WEIGHT_VERSIONS, "0"))

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the stream's bytes; raise StreamCutError if it ends incomplete."""
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise StreamCutError(repr(error)) from error
        if not states_its_end(self.response):
            raise StreamCutError("nothing marks the end of the stream")


def target_url(upstream: Upstream, target: str) -> URL:
    """Return the URL of a path and query that must not be changed."""
    return URL(f"http://{upstream.address}{target}", encoded=True)


def is_for(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether a response answers this request and not an earlier one."""
    return response.headers.get(names.REQUEST_ID) == request_id


def states_its_end(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response says where its body ends."""
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers


async def read_answer(response: aiohttp.ClientResponse, request_id: str) -> Answer | Refusal:
    """Return a whole answer, or why it is none to this request."""
    if response.status == MISDIRECTED:
        return not_run(Reason.WRONG_INCARNATION, "another upstream has the address")
    if names.NOT_EXECUTED in response.headers:
        return not_run(Reason.OVERLOADED, f"status {response.status}")
    if not is_for(response, request_id):
        response.close()
        return unknown(Reason.UPSTREAM_GARBLED, "the answer is for another request")
    connection = response.connection
    protocol = connection.protocol if connection else None
    body = await response.read()
    if isinstance(protocol, RecordingHandler) and protocol.was_reset:
        return unknown(Reason.UPSTREAM_LOST, "the connection was reset within the answer")
    signature = response.headers.get(names.SERVER_STAMP, "")
    succeeded = 200 <= response.status < 300
    if succeeded and (not signature or "Content-Encoding" in response.headers):
        return unknown(Reason.UPSTREAM_GARBLED, "a success without signature, or encoded")
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in names.HOP_BY_HOP
    )
    return Answer(response.status, body, headers, signature)


def failure(error: Exception) -> Refusal:
    """Return what an exception says of a request: not run only if it never left."""
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return not_run(Reason.UPSTREAM_UNREACHABLE, repr(error))
    if isinstance(error, TimeoutError):
        return Refusal(Reason.DEADLINE_EXPIRED, Ran.UNKNOWN, repr(error))
    if isinstance(error, aiohttp.ClientResponseError | ValueError):
        return unknown(Reason.UPSTREAM_GARBLED, repr(error))
    return unknown(Reason.UPSTREAM_LOST, repr(error))
