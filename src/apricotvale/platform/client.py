"""HTTP client of the platform's upstreams, an implementation of `UpstreamClient`."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from functools import partial

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from apricotvale import clock
from apricotvale.discovery import Upstream
from apricotvale.exceptions import ApricotvaleError, TruncatedStreamError
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.platform import names, wire
from apricotvale.requests.calls import Answer, Call, RunRequest
from apricotvale.requests.held_bytes import ByteBudget, Hold
from apricotvale.weights.orders import EngineReport, LoadOrder, OrderOutcome

CONNECT_TIMEOUT_S = 0.5
# An engine sends the response header with the weight version together with the first event, which
# queueing or a weight load may delay.
FIRST_EVENT_TIMEOUT_S = 2.5
CONTROL_CALL_TIMEOUT_S = 1.0
# TCP_USER_TIMEOUT: the kernel closes a connection if sent data is unacknowledged for this long.
USER_TIMEOUT_MS = 1_500
ORDER_OUTCOME_BY_STATUS = {
    202: OrderOutcome.STARTED,
    200: OrderOutcome.HOLDS_ALREADY,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED_OFF,
}
MISDIRECTED_STATUS = 421
PRIORITY_KEY = names.REQUEST_PRIORITY.lower()
# Header fields that aiohttp would add to a request by itself.
AUTOMATIC_FIELDS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def make_socket(address: tuple) -> socket.socket:
    """Create a socket that detects an unresponsive peer even if the connection is not reset."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class ResetRecordingHandler(ResponseHandler):
    """A connection that records whether it was reset.

    A response without a length ends when its connection closes, and aiohttp treats a reset as that
    end. The record tells a complete body from a truncated one.
    """

    was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection ended with an error."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


def make_handler(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    """Create the protocol object of a new connection."""
    return ResetRecordingHandler(loop)


class PlatformClient:
    """HTTP client that keeps connections to upstreams open and reuses them."""

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession
        self.held = ByteBudget()

    async def __aenter__(self) -> PlatformClient:
        connector = aiohttp.TCPConnector(limit=0, socket_factory=make_socket)
        connector._factory = partial(make_handler, asyncio.get_running_loop())
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self.session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=AUTOMATIC_FIELDS,
        )
        # aiohttp would itself retry a request with an idempotent method, bypassing the retry rules.
        self.session._retry_connection = False
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()

    async def call(self, upstream: Upstream, call: Call) -> Answer | Refusal:
        """Send a request and return the complete answer, or why there is none."""
        is_leaving = False
        result: Answer | Refusal
        left_s = call.deadline - clock.now()
        if left_s <= 0:
            return not_run(Reason.DEADLINE_EXPIRED)
        headers = [
            *with_customer(call.headers, call.customer),
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
                is_leaving = says_leaving(response)
                result = await read_answer(response, call.request_id, self.held)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            result = refusal_from_error(error)
        return attrs.evolve(result, is_leaving=is_leaving) if is_leaving else result

    @asynccontextmanager
    async def run(
        self, upstream: Upstream, request: RunRequest
    ) -> AsyncIterator[PlatformRun | Answer | Refusal]:
        """Open the event stream of a run.

        Yields the stream, or the answer or refusal in its place. Leaving the context before the end
        of the stream closes the connection, and the engine then stops the run.
        """
        headers = {
            **dict(with_customer(request.headers.items(), request.customer)),
            "Host": request.host,
            names.REQUEST_ID: request.request_id,
            names.EXPECT_INSTANCE: upstream.upstream_id,
        }
        if request.resume_after is not None:
            headers[names.LAST_EVENT_ID] = str(request.resume_after)
        if request.priority is not None:
            for name in [name for name in headers if name.lower() == PRIORITY_KEY]:
                del headers[name]
            headers[names.REQUEST_PRIORITY] = str(request.priority)
        response = None
        result: PlatformRun | Answer | Refusal
        try:
            try:
                async with asyncio.timeout(FIRST_EVENT_TIMEOUT_S):
                    response = await self.session.post(
                        target_url(upstream, request.target),
                        data=request.body or None,
                        headers=headers,
                        allow_redirects=False,
                    )
                    if response.status == 200 and answers_request(response, request.request_id):
                        result = PlatformRun(response)
                    else:
                        result = await read_answer(response, request.request_id)
            except (aiohttp.ClientError, OSError, ValueError) as error:
                result = refusal_from_error(error)
            if response is not None and says_leaving(response):
                result = with_leaving(result)
            yield result
        finally:
            if response is not None:
                response.close()

    async def report(self, upstream: Upstream) -> EngineReport | Refusal:
        """Read an engine's report: its models, whether it is busy and its count of orders."""
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
        """Order an engine to load a version; return the outcome."""
        body = json.dumps(wire.format_order(order)).encode()
        answer = await self.control_call(upstream, "POST", names.ORDER_PATH, body)
        if isinstance(answer, Refusal):
            return answer
        return ORDER_OUTCOME_BY_STATUS.get(answer.status, OrderOutcome.REJECTED)

    async def control_call(
        self, upstream: Upstream, method: str, path: str, body: bytes
    ) -> Answer | Refusal:
        """Call a management path of the upstream; its answer needs no request id or signature."""
        headers = {names.EXPECT_INSTANCE: upstream.upstream_id}
        if body:
            headers["Content-Type"] = "application/json"
        try:
            async with (
                asyncio.timeout(CONTROL_CALL_TIMEOUT_S),
                self.session.request(
                    method, target_url(upstream, path), data=body or None, headers=headers
                ) as response,
            ):
                return Answer(response.status, await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return refusal_from_error(error)


class PlatformRun:
    """The open event stream of a run.

    `version` is the weight version under which the run began, 0 if the engine states none.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.version = int(response.headers.get(names.WEIGHT_VERSIONS, "0"))
        self.is_leaving = says_leaving(response)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the stream's bytes.

        :raises TruncatedStreamError: if the connection fails or the stream has no end mark.
        """
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise TruncatedStreamError(repr(error)) from error
        if not delimits_body(self.response):
            raise TruncatedStreamError(
                "the stream has neither chunked encoding nor a content length to mark its end"
            )


def with_customer(
    headers: Iterable[tuple[str, str]], customer: str | None
) -> list[tuple[str, str]]:
    """Return header fields that name a customer and hold no key, as described in `Call.customer`.

    What the caller sent in these fields is dropped, so that it cannot pose as another customer.
    """
    if customer is None:
        return list(headers)
    kept = [(name, value) for name, value in headers if name.lower() not in names.CUSTOMER_FIELDS]
    return [*kept, (names.TENANT, customer)] if customer else kept


def target_url(upstream: Upstream, target: str) -> URL:
    """Return the URL of a target at an upstream, without normalizing its path and query."""
    return URL(f"http://{upstream.address}{target}", encoded=True)


def answers_request(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether a response carries this request's id and not that of another request."""
    return response.headers.get(names.REQUEST_ID) == request_id


def says_leaving(response: aiohttp.ClientResponse) -> bool:
    """Return whether the upstream states that it leaves.

    The statement of a misdirected request's answer concerns another upstream at the address.
    """
    return (
        response.headers.get(names.SERVER_LEAVING) == "1" and response.status != MISDIRECTED_STATUS
    )


def with_leaving(result: PlatformRun | Answer | Refusal) -> PlatformRun | Answer | Refusal:
    """Return the result of an upstream that leaves; a stream states it by itself."""
    return result if isinstance(result, PlatformRun) else attrs.evolve(result, is_leaving=True)


def delimits_body(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response delimits its body by chunked encoding or a content length."""
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers


async def read_body(response: aiohttp.ClientResponse, held: ByteBudget) -> bytes:
    """Read a body, counting its bytes as they arrive.

    :raises ValueError: if the body alone exceeds the bound.
    """
    if not held.limit:
        return await response.read()
    chunks = []
    with Hold(held) as hold:
        async for chunk in response.content.iter_any():
            chunks.append(chunk)
            hold.resize(hold.size + len(chunk))
            if hold.size > held.limit:
                response.close()
                raise ValueError(f"the answer has more than {held.limit} bytes")
        return b"".join(chunks)


async def read_answer(
    response: aiohttp.ClientResponse, request_id: str, held: ByteBudget | None = None
) -> Answer | Refusal:
    """Read a complete response; return a refusal if it is not a valid answer to the request.

    :param held: counts the bytes of the answer while it is read.
    """
    if response.status == MISDIRECTED_STATUS:
        return not_run(Reason.WRONG_INCARNATION, "the address now belongs to another upstream")
    if names.NOT_EXECUTED in response.headers:
        return not_run(Reason.OVERLOADED, f"status {response.status}")
    if not answers_request(response, request_id):
        response.close()
        return unknown(Reason.UPSTREAM_GARBLED, "the answer carries the id of another request")
    connection = response.connection
    protocol = connection.protocol if connection else None
    body = await read_body(response, held or ByteBudget())
    if isinstance(protocol, ResetRecordingHandler) and protocol.was_reset:
        return unknown(
            Reason.UPSTREAM_LOST, "the connection was reset before the end of the answer"
        )
    signature = response.headers.get(names.SERVER_STAMP, "")
    succeeded = 200 <= response.status < 300
    if succeeded and (not signature or "Content-Encoding" in response.headers):
        return unknown(
            Reason.UPSTREAM_GARBLED,
            "a successful answer has no signature or has a content encoding",
        )
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in names.HOP_BY_HOP
    )
    return Answer(response.status, body, headers, signature)


def refusal_from_error(error: Exception) -> Refusal:
    """Convert an exception to a refusal.

    The request counts as not run only if the connection could not be established, so that it was
    never sent.
    """
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return not_run(Reason.UPSTREAM_UNREACHABLE, repr(error))
    if isinstance(error, TimeoutError):
        return Refusal(Reason.DEADLINE_EXPIRED, Ran.UNKNOWN, repr(error))
    if isinstance(error, aiohttp.ClientResponseError | ValueError):
        return unknown(Reason.UPSTREAM_GARBLED, repr(error))
    return unknown(Reason.UPSTREAM_LOST, repr(error))
