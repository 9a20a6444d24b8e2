"""Connections to upstreams that accept only the bytes of the answer that they wait for."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp
from aiohttp.connector import Connection

from apricotvale.http_client import StrictConnection, make_connector
from apricotvale.platform import names
from apricotvale.requests.answer_syntax import find_fields

CONNECT_TIMEOUT_S = 0.5
# TCP_USER_TIMEOUT: the kernel closes a connection if sent data is unacknowledged for this long.
USER_TIMEOUT_MS = 1_500
# An answer is read this far ahead of its caller.
READ_BYTES = 64 * 1024
# Interim responses (status 1xx) before the answer of a request.
MAX_INTERIM_RESPONSES = 8
FIRST_FINAL_STATUS = 200
# Fields of answers of which the first one would be believed.
SINGLE_FIELDS = find_fields(
    *(
        name.lower().encode()
        for name in (
            names.REQUEST_ID,
            names.SERVER_STAMP,
            names.SERVER_LIMIT,
            names.SERVER_LEAVING,
            names.WEIGHT_VERSIONS,
            names.NOT_EXECUTED,
        )
    )
)


def make_socket(address: tuple) -> socket.socket:
    """Create a socket that detects an unresponsive peer even if the connection is not reset."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class UpstreamConnection(StrictConnection):
    """A connection to an upstream.

    `confirmed` is the incarnation that is known to be at the other end, empty if none is.
    `was_reset` states whether the connection ended with a reset. A response without a length ends
    when its connection closes, and aiohttp treats a reset as that end.
    """

    single_fields = SINGLE_FIELDS
    confirmed = ""
    was_reset = False
    interim_responses = 0

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer of a new request."""
        self.interim_responses = 0
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a parsed response; fail after too many interim ones."""
        message, _ = data
        if message.code < FIRST_FINAL_STATUS:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                self.reject(f"more than {MAX_INTERIM_RESPONSES} interim responses")
                return
        super().feed_data(data, size)

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

    @property
    def is_malformed(self) -> bool:
        """Return whether the bytes of the answer have turned out to be malformed."""
        return self.protocol is not None and self.protocol.is_malformed

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
    connector = make_connector(
        UpstreamConnection,
        names.REQUEST_ID,
        limit=0,
        socket_factory=make_socket,
        force_close=not keep,
    )
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
