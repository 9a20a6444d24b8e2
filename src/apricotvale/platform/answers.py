"""Reads the answers of upstreams within bounds, and decides whether they are valid."""

from __future__ import annotations

import io
import math

import aiohttp

from apricotvale import events, metrics
from apricotvale.http_client import MalformedAnswerError
from apricotvale.limits.types import StatedLimit
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.platform import names
from apricotvale.platform.connections import UpstreamConnection, UpstreamResponse
from apricotvale.requests.calls import Answer
from apricotvale.requests.held_bytes import ByteBudget, Hold

BYTES_PER_MIB = 1024 * 1024
# Bounds of bodies by what the answer is. An answer to a caller is bounded by the process's memory
# where that is known.
MAX_ANSWER_BYTES = 64 * BYTES_PER_MIB
# A report lists the models and the runs of one engine.
MAX_REPORT_BYTES = BYTES_PER_MIB
# Only the status of the answer to an order, or of an answer in place of a stream, is used.
MAX_STATUS_BYTES = 64 * 1024
MISDIRECTED_STATUS = 421


class OversizedAnswerError(Exception):
    """An upstream's answer exceeds its bound."""


GARBLED_ERRORS = (
    MalformedAnswerError,
    aiohttp.ClientResponseError,
    ValueError,
    OversizedAnswerError,
)


def answers_request(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether a response carries this request's id and not that of another request."""
    return response.headers.get(names.REQUEST_ID) == request_id


def concerns_upstream(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether what a response states about its upstream may be believed.

    An answer to another request may be a late copy, and a misdirected request is answered by
    another upstream at the address. A head whose body is malformed says nothing either.
    """
    if isinstance(response, UpstreamResponse) and response.is_malformed:
        return False
    return answers_request(response, request_id) and response.status != MISDIRECTED_STATUS


def says_leaving(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether the upstream states that it leaves."""
    is_marked = response.headers.get(names.SERVER_LEAVING) == "1"
    return is_marked and concerns_upstream(response, request_id)


def stated_limit(response: aiohttp.ClientResponse, request_id: str) -> StatedLimit | None:
    """Return what an answer says about the upstream's limit, None if it says nothing.

    That there is no limit is taken from a signed answer only.
    """
    if not concerns_upstream(response, request_id):
        return None
    text = response.headers.get(names.SERVER_LIMIT)
    if text is None:
        return StatedLimit(None) if names.SERVER_STAMP in response.headers else None
    try:
        rate = float(text)
    except ValueError:
        rate = math.nan
    if math.isfinite(rate) and rate >= 0:
        return StatedLimit(rate)
    events.emit(
        events.INPUT_REJECTED,
        request=request_id,
        error=f"{names.SERVER_LIMIT} is no rate: {text[:80]!r}",
    )
    return None


async def read_body(
    response: aiohttp.ClientResponse, held: ByteBudget, max_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Read a body, counting its bytes as they arrive, or at once if its length is stated.

    :param held: counts the bytes while they are read.
    :param max_bytes: bound of the body alone.
    :raises OversizedAnswerError: if the body exceeds its bound or the process's; the connection is
        then closed.
    """
    body = io.BytesIO()
    stated_bytes = 0 if response.method == "HEAD" else response.content_length or 0
    with Hold(held) as hold:
        hold.resize(stated_bytes)
        check_body(response, hold, max_bytes)
        async for chunk in response.content.iter_any():
            body.write(chunk)
            if body.tell() > hold.size:
                hold.resize(body.tell())
            check_body(response, hold, max_bytes)
        # Unlike the join of a list of chunks, this makes no copy.
        return body.getvalue()


def check_body(response: aiohttp.ClientResponse, hold: Hold, max_bytes: int) -> None:
    """Check that the counted bytes of a body are within the bounds.

    :raises OversizedAnswerError: if they are not; the connection is then closed.
    """
    held = hold.budget
    if hold.size <= max_bytes and not held.is_exceeded_by(hold.size):
        return
    response.close()
    metrics.UPSTREAM_BYTES_REJECTED.inc()
    why = "the body of an answer exceeds its bound"
    events.emit(
        events.UPSTREAM_BYTES_REJECTED,
        why=why,
        bytes=hold.size,
        limit=max_bytes,
        held_bytes=held.held,
        held_limit=held.limit,
    )
    raise OversizedAnswerError(f"{why}: {hold.size} bytes")


async def read_answer(
    response: aiohttp.ClientResponse,
    request_id: str,
    held: ByteBudget,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> Answer | Refusal:
    """Read a complete response; return a refusal if it is not a valid answer to the request.

    A response that does not carry the request's id states nothing about the request, not even that
    it did not run: it may be a late copy of an earlier answer. Its connection is closed, as the
    next response there would be one too late as well. That a request did not run is believed once
    the whole answer is valid.

    :param held: counts the bytes of the answer while it is read.
    :param max_bytes: bound of the body.
    :raises OversizedAnswerError: if the body exceeds its bound.
    """
    if not answers_request(response, request_id):
        if isinstance(response, UpstreamResponse):
            response.close_connection()
        return unknown(Reason.UPSTREAM_GARBLED, "the answer does not carry the request's id")
    connection = response.connection
    protocol = connection.protocol if connection else None
    body = await read_body(response, held, max_bytes)
    if isinstance(protocol, UpstreamConnection) and protocol.was_reset:
        return unknown(
            Reason.UPSTREAM_LOST, "the connection was reset before the end of the answer"
        )
    if response.status == MISDIRECTED_STATUS:
        return not_run(Reason.WRONG_INCARNATION, "the address now belongs to another upstream")
    if names.NOT_EXECUTED in response.headers:
        return not_run(Reason.OVERLOADED, f"status {response.status}")
    signature = response.headers.get(names.SERVER_STAMP, "")
    succeeded = 200 <= response.status < 300
    if succeeded and (not signature or "Content-Encoding" in response.headers):
        return unknown(
            Reason.UPSTREAM_GARBLED,
            "a successful answer has no signature or has a content encoding",
        )
    return Answer(response.status, body, end_to_end_headers(response), signature)


def end_to_end_headers(response: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    """Return the header fields of an answer that are passed on to the caller."""
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in names.HOP_BY_HOP
    )


def is_stream(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether a response is the successful, signed answer to a request, without encoding."""
    return (
        response.status == 200
        and answers_request(response, request_id)
        and bool(response.headers.get(names.SERVER_STAMP))
        and "Content-Encoding" not in response.headers
        and names.NOT_EXECUTED not in response.headers
    )


def refusal_from_error(error: Exception) -> Refusal:
    """Convert an exception to a refusal.

    The request counts as not run only if the connection could not be established, so that it was
    never sent.
    """
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return not_run(Reason.UPSTREAM_UNREACHABLE, repr(error))
    if isinstance(error, TimeoutError):
        return Refusal(Reason.DEADLINE_EXPIRED, Ran.UNKNOWN, repr(error))
    if isinstance(error, GARBLED_ERRORS):
        return unknown(Reason.UPSTREAM_GARBLED, repr(error))
    return unknown(Reason.UPSTREAM_LOST, repr(error))
