"""Connections of HTTP clients that accept an answer only if it has a single reading."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from apricotvale import events, metrics
from apricotvale.requests.answer_syntax import (
    FRAMING,
    AnswerSyntax,
    AnswerSyntaxError,
    may_begin_answer,
)

# Requests that a connection serves; it is closed after them, as it remembers their ids.
MAX_REQUESTS = 512


class MalformedAnswerError(aiohttp.ClientPayloadError):
    """The peer sent bytes that are no answer in HTTP/1.1."""


class StrictConnection(ResponseHandler):
    """A connection that carries one answer for each request, checked before it is parsed.

    aiohttp parses answers leniently, and returns a response that arrives between two requests as
    the answer to the later one. This class closes the connection in both cases.

    `single_fields` finds the fields that an answer may have once.
    """

    single_fields = FRAMING
    # Checks the answer to the current request; None before the first request.
    syntax: AnswerSyntax | None = None
    # Whether the current answer is malformed, and whether the connection is closed for its bytes.
    is_malformed = False
    is_rejected = False
    # The body of the current answer.
    body: Any = None
    # Hashes of the ids of the requests that were sent on the connection.
    sent_ids: set[int] | None = None

    def claim_id(self, request_id: str) -> bool:
        """Note that a request with this id is sent; return whether it is the first one here.

        Ids with the same hash count as one.
        """
        if self.sent_ids is None:
            self.sent_ids = set()
        known = len(self.sent_ids)
        self.sent_ids.add(hash(request_id))
        return len(self.sent_ids) > known

    @property
    def is_used_up(self) -> bool:
        """Return whether the connection has served as many requests as it may."""
        return self.sent_ids is not None and len(self.sent_ids) >= MAX_REQUESTS

    def set_response_params(self, *, skip_payload: bool = False, **params: Any) -> None:
        """Prepare for the answer of a new request."""
        self.syntax = AnswerSyntax(self.single_fields, has_body=not skip_payload)
        self.body = None
        super().set_response_params(skip_payload=skip_payload, **params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a parsed response."""
        _, self.body = data
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Check and parse bytes of an answer; close the connection after any others.

        aiohttp calls this without bytes when it continues after a pause.
        """
        if not data:
            super().data_received(data)
            return
        if self.is_rejected:
            return
        if self.syntax is None:
            self.fail(f"{len(data)} bytes that belong to no request")
            return
        try:
            size = self.syntax.feed(data)
        except AnswerSyntaxError as error:
            self.reject(str(error))
            return
        is_longer = size < len(data)
        if is_longer and size and not may_begin_answer(data[size:]):
            # The body is longer than its stated length.
            self.reject("bytes behind the end of an answer that begin no other one")
            return
        if size:
            super().data_received(data[:size])
        if self._exception is not None and not self.is_rejected:
            # aiohttp does not tell the reader of a body that its parser has failed.
            self.reject(f"the parser refused them: {type(self._exception).__name__}")
        elif is_longer:
            self.fail(f"{len(data) - size} bytes that belong to no request")

    def reject(self, why: str) -> None:
        """Close the connection; the current answer fails, also if its body is being read."""
        self.is_malformed = True
        error = MalformedAnswerError(why)
        if self.body is not None and not self.body.is_eof():
            self.body.set_exception(error)
        self.set_exception(error)
        self.close_and_log(why)

    def fail(self, why: str) -> None:
        """Close the connection after bytes that are no part of the current answer."""
        if self.syntax is not None and self.syntax.has_head:
            # The answer itself is valid, and may not have been read yet.
            self.force_close()
        else:
            self.set_exception(MalformedAnswerError(why))
        self.close_and_log(why)

    def close_and_log(self, why: str) -> None:
        """Close the transport, and log why."""
        self.is_rejected = True
        metrics.UPSTREAM_BYTES_REJECTED.inc()
        peer = self.transport.get_extra_info("peername") if self.transport else None
        events.emit(events.UPSTREAM_BYTES_REJECTED, why=why, peer=format_peer(peer))
        if self.transport is not None:
            self.transport.close()


def format_peer(peer: Any) -> str:
    """Return the address of a connection's peer as host:port, empty if it is not known."""
    return f"{peer[0]}:{peer[1]}" if isinstance(peer, tuple) else ""


class StrictConnector(aiohttp.TCPConnector):
    """A connector that sends requests with the same id on different connections.

    Load pattern: a peer sends a second copy of an answer, late, on a connection that is in use
    again. Its id tells it from the answer that is expected there, unless a retry or a later batch
    has given the same id to the new request.

    :param id_field: header field that an answer repeats from its request; empty if none is.
    """

    def __init__(self, id_field: str, **options: Any) -> None:
        super().__init__(**options)
        self.id_field = id_field

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection on which no request with the id of this one was sent.

        Idle connections that have carried the id are closed. If they were kept, requests that all
        have the same id would add to the open connections without end.
        """
        request_id = req.headers.get(self.id_field) if self.id_field else None
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if request_id is None or not isinstance(protocol, StrictConnection):
                return connection
            if not protocol.is_used_up and protocol.claim_id(request_id):
                return connection
            connection.close()


def make_connector(
    connection_class: type[StrictConnection] = StrictConnection,
    id_field: str = "",
    **options: Any,
) -> aiohttp.TCPConnector:
    """Create a connector whose connections check what they receive.

    :param id_field: header field that an answer repeats from its request; requests with the same
        value go out on different connections. Empty if there is none.
    :param options: options of `aiohttp.TCPConnector`.
    """
    connector = StrictConnector(id_field, **options)
    loop = asyncio.get_running_loop()
    connector._factory = partial(connection_class, loop)  # type: ignore[assignment]
    return connector
