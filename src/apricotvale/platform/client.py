"""HTTP client of the platform's upstreams, an implementation of `UpstreamClient`."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import aiohttp
import attrs
from yarl import URL

from apricotvale import clock, events
from apricotvale.daemons.reachability import accepts_connections
from apricotvale.discovery import Upstream
from apricotvale.exceptions import ApricotvaleError, TruncatedStreamError
from apricotvale.numerals import parse_number
from apricotvale.outcomes import Reason, Refusal, not_run, unknown
from apricotvale.platform import names, wire
from apricotvale.platform.answers import (
    MAX_REPORT_BYTES,
    MAX_STATUS_BYTES,
    OversizedAnswerError,
    answers_request,
    end_to_end_headers,
    is_stream,
    read_answer,
    read_body,
    refusal_from_error,
    says_leaving,
    stated_limit,
)
from apricotvale.platform.connections import (
    CONNECT_TIMEOUT_S,
    UpstreamConnection,
    UpstreamResponse,
    make_session,
)
from apricotvale.platform.wire import FIELD_NAME, FIELD_VALUE, TARGET
from apricotvale.requests.calls import Answer, Call, RunRequest
from apricotvale.requests.held_bytes import ByteBudget
from apricotvale.weights.messages import EngineReport, LoadOrder, OrderOutcome

# An engine sends the response header with the weight version together with the first event, which
# queueing or a weight load may delay.
FIRST_EVENT_TIMEOUT_S = 2.5
CONTROL_CALL_TIMEOUT_S = 1.0
ORDER_OUTCOME_BY_STATUS = {
    202: OrderOutcome.STARTED,
    200: OrderOutcome.HOLDS_ALREADY,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED_OFF,
}
PRIORITY_KEY = names.REQUEST_PRIORITY.lower()
# Header fields of an item that would change the framing or the identity of its run's request.
FRAMING_FIELDS = names.HOP_BY_HOP - {names.DEADLINE_MS.lower()}
# Header fields that aiohttp would add to a request by itself.
AUTOMATIC_FIELDS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class PlatformClient:
    """HTTP client that keeps connections to upstreams open and reuses them."""

    resume_field = names.LAST_EVENT_ID

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession
        self.report_session: aiohttp.ClientSession
        self.order_session: aiohttp.ClientSession
        self.held = ByteBudget()

    async def __aenter__(self) -> PlatformClient:
        self.session = make_session(AUTOMATIC_FIELDS, keep=True)
        # The answers of management calls carry no request id, so that no connection serves two
        # kinds of calls. Each order has a connection of its own: it cannot receive the answer of
        # another one. A copy of an earlier report is harmless, since orders state how many orders
        # the engine has accepted.
        self.report_session = make_session(AUTOMATIC_FIELDS, keep=True)
        self.order_session = make_session(AUTOMATIC_FIELDS, keep=False)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()
        await self.report_session.close()
        await self.order_session.close()

    async def call(self, upstream: Upstream, call: Call) -> Answer | Refusal:
        """Send a request and return the complete answer, or why there is none."""
        left_s = call.deadline - clock.now()
        if left_s <= 0:
            return not_run(Reason.DEADLINE_EXPIRED)
        response = None
        result: Answer | Refusal
        headers = call_headers(upstream, call, left_s)
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
                result = await read_answer(response, call.request_id, self.held)
        except (aiohttp.ClientError, OSError, ValueError, OversizedAnswerError) as error:
            result = unsendable(headers, call.target) or refusal_from_error(error)
        return with_statements(result, response, call.request_id)

    async def open_stream(
        self, upstream: Upstream, call: Call
    ) -> PlatformStream | Answer | Refusal:
        """Send a request and return its open event stream, or the answer or refusal in its place.

        The caller closes the stream.
        """
        left_s = call.deadline - clock.now()
        if left_s <= 0:
            return not_run(Reason.DEADLINE_EXPIRED)
        response = None
        result: PlatformStream | Answer | Refusal | None = None
        headers = call_headers(upstream, call, left_s)
        try:
            async with asyncio.timeout(left_s):
                response = await self.session.request(
                    call.method,
                    target_url(upstream, call.target),
                    data=call.body or None,
                    headers=headers,
                    allow_redirects=False,
                )
                if is_stream(response, call.request_id):
                    stream = PlatformStream(response, call.request_id)
                    stream.is_confirmed = await self.is_from(upstream, response)
                    # From here on the caller closes the response.
                    result = stream
                else:
                    result = await read_answer(response, call.request_id, self.held)
        except (aiohttp.ClientError, OSError, ValueError, OversizedAnswerError) as error:
            result = unsendable(headers, call.target) or refusal_from_error(error)
        finally:
            if response is not None and not isinstance(result, PlatformStream):
                response.close()
        if isinstance(result, PlatformStream):
            return result
        return with_statements(result, response, call.request_id)

    async def is_from(self, upstream: Upstream, response: aiohttp.ClientResponse) -> bool:
        """Return whether a response comes from an incarnation, and not from a later one.

        An upstream may start again under its id and address, with other software, before control
        knows. Its report names the start; as it was fetched after the head of the response, an
        incarnation that it names has sent the head too. A connection leads to one incarnation, so
        that one report is enough for all of its responses.
        """
        if not upstream.born_ms:
            # Each start has an id of its own, which the request states.
            return True
        connection = response.connection
        protocol = connection.protocol if connection else None
        if isinstance(protocol, UpstreamConnection) and protocol.confirmed == upstream.incarnation:
            return True
        report = await self.report(upstream)
        is_confirmed = isinstance(report, EngineReport) and report.born_ms == upstream.born_ms
        if not is_confirmed:
            events.emit(
                events.INCARNATION_UNCONFIRMED,
                upstream=upstream.incarnation,
                software=upstream.software,
                report=report.detail if isinstance(report, Refusal) else report.born_ms,
            )
        elif isinstance(protocol, UpstreamConnection):
            protocol.confirmed = upstream.incarnation
        return is_confirmed

    async def accepts_connections(self, upstream: Upstream) -> bool | None:
        """Return whether the upstream's address accepts connections, None if that is not known."""
        return await accepts_connections(upstream.address, CONNECT_TIMEOUT_S)

    @asynccontextmanager
    async def run(
        self, upstream: Upstream, request: RunRequest
    ) -> AsyncIterator[PlatformRun | Answer | Refusal]:
        """Open the event stream of a run.

        Yields the stream, or the answer or refusal in its place. Leaving the context before the end
        of the stream closes the connection, and the engine then stops the run.
        """
        own = with_customer(request.headers.items(), request.customer)
        headers = {
            **{name: value for name, value in own if name.lower() not in FRAMING_FIELDS},
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
                        result = PlatformRun(response, request.request_id)
                        result.is_confirmed = await self.is_from(upstream, response)
                    else:
                        result = await read_answer(
                            response, request.request_id, self.held, MAX_STATUS_BYTES
                        )
            except (aiohttp.ClientError, OSError, ValueError, OversizedAnswerError) as error:
                result = unsendable(headers.items(), request.target) or refusal_from_error(error)
            if not isinstance(result, PlatformRun):
                result = with_statements(result, response, request.request_id)
            yield result
        finally:
            if response is not None:
                response.close()

    async def report(self, upstream: Upstream) -> EngineReport | Refusal:
        """Read an engine's report: its models, whether it is busy and its count of orders."""
        answer = await self.control_call(
            self.report_session, upstream, "GET", names.REPORT_PATH, b"", MAX_REPORT_BYTES
        )
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
        answer = await self.control_call(
            self.order_session, upstream, "POST", names.ORDER_PATH, body, MAX_STATUS_BYTES
        )
        if isinstance(answer, Refusal):
            return answer
        return ORDER_OUTCOME_BY_STATUS.get(answer.status, OrderOutcome.REJECTED)

    async def control_call(
        self,
        session: aiohttp.ClientSession,
        upstream: Upstream,
        method: str,
        path: str,
        body: bytes,
        max_bytes: int,
    ) -> Answer | Refusal:
        """Call a management path of the upstream; its answer has no request id or signature.

        :param session: provides connections for calls of this kind only.
        :param max_bytes: bound of the answer's body.
        """
        headers = {names.EXPECT_INSTANCE: upstream.upstream_id}
        if body:
            headers["Content-Type"] = "application/json"
        try:
            async with (
                asyncio.timeout(CONTROL_CALL_TIMEOUT_S),
                session.request(
                    method,
                    target_url(upstream, path),
                    data=body or None,
                    headers=headers,
                    allow_redirects=False,
                ) as response,
            ):
                connection = response.connection
                protocol = connection.protocol if connection else None
                content = await read_body(response, self.held, max_bytes)
                if isinstance(protocol, UpstreamConnection) and protocol.was_reset:
                    return unknown(Reason.UPSTREAM_LOST, "the connection was reset")
                if names.REQUEST_ID in response.headers:
                    if isinstance(response, UpstreamResponse):
                        response.close_connection()
                    return unknown(
                        Reason.UPSTREAM_GARBLED, "the answer carries the id of another request"
                    )
                return Answer(response.status, content)
        except (aiohttp.ClientError, OSError, ValueError, OversizedAnswerError) as error:
            return refusal_from_error(error)


class PlatformRun:
    """The open event stream of a run.

    `version` is the weight version under which the run began, 0 if the engine states none.

    :raises ValueError: if the engine states a version that is no number of a valid size.
    """

    is_confirmed = True

    def __init__(self, response: aiohttp.ClientResponse, request_id: str) -> None:
        self.response = response
        self.version = parse_number(response.headers.get(names.WEIGHT_VERSIONS, "0"))
        self.is_leaving = says_leaving(response, request_id)
        self.limit = stated_limit(response, request_id)

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


class PlatformStream(PlatformRun):
    """The open event stream of a caller's request."""

    def __init__(self, response: aiohttp.ClientResponse, request_id: str) -> None:
        super().__init__(response, request_id)
        self.status = response.status
        self.headers = end_to_end_headers(response)

    def close(self) -> None:
        """Close the connection unless the stream has ended, so that the upstream stops."""
        self.response.close()


def call_headers(upstream: Upstream, call: Call, left_s: float) -> list[tuple[str, str]]:
    """Return the header fields of a caller's request to an upstream.

    :param left_s: time until its deadline, in seconds.
    """
    return [
        *with_customer(call.headers, call.customer),
        ("Host", call.host),
        (names.REQUEST_ID, call.request_id),
        (names.DEADLINE_MS, str(max(1, int(left_s * 1000)))),
        (names.EXPECT_INSTANCE, upstream.upstream_id),
    ]


def unsendable(headers: Iterable[tuple[str, str]], target: str) -> Refusal | None:
    """Return the refusal of a request that HTTP cannot express, None if it can be sent.

    The HTTP library raises an error for it before it writes anything.
    """
    for name, value in headers:
        if not FIELD_NAME.fullmatch(name) or not FIELD_VALUE.fullmatch(value):
            detail = f"the header field {ascii(name)} of the request cannot be sent"
            return not_run(Reason.BAD_REQUEST, detail)
    if not TARGET.fullmatch(target):
        return not_run(Reason.BAD_REQUEST, "the target of the request cannot be sent")
    return None


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


def with_statements(
    result: Answer | Refusal, response: aiohttp.ClientResponse | None, request_id: str
) -> Answer | Refusal:
    """Return a result with what the head of its answer, if any, states about the upstream."""
    if response is None:
        return result
    is_leaving = says_leaving(response, request_id)
    limit = stated_limit(response, request_id)
    if not is_leaving and limit is None:
        return result
    return attrs.evolve(result, is_leaving=is_leaving, limit=limit)


def delimits_body(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response delimits its body by chunked encoding or a content length."""
    return "Transfer-Encoding" in response.headers or "Content-Length" in response.headers
