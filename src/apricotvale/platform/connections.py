"""Connections to upstreams that accept only the bytes of the answer that they wait for."""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from apricotvale import events, metrics

CONNECT_TIMEOUT_S = 0.5
# TCP_USER_TIMEOUT: the kernel closes a connection if sent data is unacknowledged for this long.
USER_TIMEOUT_MS = 1_500
# An answer is read this far ahead of its caller.
READ_BYTES = 64 * 1024
# Interim responses (status 1xx) before the answer of a request.
MAX_INTERIM_RESPONSES = 8
FIRST_FINAL_STATUS = 200


def make_socket(address: tuple) -> socket.socket:
    """Create a socket that detects an unresponsive peer even if the connection is not reset."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class UpstreamConnection(ResponseHandler):
    """A connection that carries one answer for each request.

    aiohttp would return a response that arrives between two requests as the answer to the later
    one. This class closes the connection instead, so that the next request uses a new one.

    `confirmed` is the incarnation that is known to be at the other end, empty if none is.
    `was_reset` states whether the connection ended with a reset. A response without a length ends
    when its connection closes, and aiohttp treats a reset as that end.
    """

    confirmed = ""
    was_reset = False
    # Whether the head of the current request's answer has arrived.
    has_answer = False
    interim_responses = 0

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer of a new request."""
        self.has_answer = False
        self.interim_responses = 0
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a parsed response; fail after too many interim ones."""
        message, _ = data
        if message.code >= FIRST_FINAL_STATUS:
            self.has_answer = True
        else:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                self.fail(f"more than {MAX_INTERIM_RESPONSES} interim responses")
                return
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; close the connection if no request waits for them.

        aiohttp calls this without bytes when it continues after a pause.
        """
        if data and self.is_answered():
            self.fail(f"{len(data)} bytes that belong to no request")
            return
        super().data_received(data)
        if self.is_answered() and self.has_partial_response():
            self.fail("the beginning of a response that belongs to no request")

    def is_answered(self) -> bool:
        """Return whether the whole answer of the current request has arrived."""
        return self.has_answer and (self._payload is None or self._payload.is_eof())

    def has_partial_response(self) -> bool:
        """Return whether the beginning of a further response followed the answer."""
        if self._parser is None:
            return False
        # Each request has a parser of its own; this one has no more bytes to parse.
        parser, self._parser = self._parser, None
        try:
            return parser.feed_eof() is not None
        except Exception as error:
            events.emit(events.UPSTREAM_BYTES_REJECTED, why=repr(error))
            return True

    def fail(self, why: str) -> None:
        """Close the connection and log why."""
        metrics.UPSTREAM_BYTES_REJECTED.inc()
        events.emit(events.UPSTREAM_BYTES_REJECTED, why=why)
        if self.has_answer:
            # The answer itself is valid, and may not have been read yet.
            self.force_close()
        else:
            self.set_exception(aiohttp.ClientPayloadError(why))
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection ended with an error."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class UpstreamResponse(aiohttp.ClientResponse):
    """A response that can close its connection after the connection was released.

    aiohttp releases a connection for the next request as soon as a response has ended, which may be
    before the response is looked at.
    """

    protocol: UpstreamConnection | None = None

    async def start(self, connection: Connection) -> UpstreamResponse:
        """Start to process the response."""
        if isinstance(connection.protocol, UpstreamConnection):
            self.protocol = connection.protocol
        await super().start(connection)
        return self

    def close_connection(self) -> None:
        """Close the connection, so that no request uses it again."""
        self.close()
        if self.protocol is not None and self.protocol.transport is not None:
            self.protocol.transport.close()


def make_session(skip_auto_headers: tuple[str, ...], keep: bool) -> aiohttp.ClientSession:
    """Create a session with connections and responses of the classes above.

    :param skip_auto_headers: header fields that aiohttp must not add by itself.
    :param keep: whether connections are used for more than one request.
    """
    connector = aiohttp.TCPConnector(limit=0, socket_factory=make_socket, force_close=not keep)
    loop = asyncio.get_running_loop()
    connector._factory = partial(UpstreamConnection, loop)  # type: ignore[assignment]
    session = aiohttp.ClientSession(
        connector=connector,
        response_class=UpstreamResponse,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        read_bufsize=READ_BYTES,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=skip_auto_headers,
    )
    # aiohttp would itself retry a request with an idempotent method, bypassing the retry rules.
    session._retry_connection = False
    return session
