"""HTTP connections whose peers are bounded in what they send and how long they take."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from aiohttp import web

from apricotvale import events, metrics
from apricotvale.daemons.delivery import received_bytes, unread_bytes
from apricotvale.daemons.parse_turns import has_many_chunks
from apricotvale.requests.peer_bounds import (
    CHUNK_OVERHEAD,
    MAX_CHUNK_EXTRA,
    NEVER,
    ConnectionState,
    Phase,
    head_cost,
)

if TYPE_CHECKING:
    from apricotvale.daemons.listener import Listener

# Bytes that are read at a time, from all connections into the same buffer. Less is read where the
# bytes may have to be held.
READ_BYTES = 64 * 1024
SHORT_READ_BYTES = 16 * 1024
# Bytes of a next request with which a connection is not read any further.
AHEAD_BYTES = 4 * 1024
# A body that brings no byte for this long is given up.
BODY_STALL_S = 10.0
# Time that the peer of a closed connection has to read the end of its answer.
CLOSE_TIMEOUT_S = 5.0
HEAD_END = b"\r\n\r\n"
WAITING_PHASES = (Phase.FIRST_REQUEST, Phase.NEXT_REQUEST)
BODY_PHASES = (Phase.BODY, Phase.REFUSED_BODY)

HEAD_TOO_LARGE = b"431 Request Header Fields Too Large"
HEAD_TOO_SLOW = b"408 Request Timeout"
NO_ROOM = b"503 Service Unavailable"
NO_ROOM_FIELDS = b"Retry-After: 0.500\r\n"


def ignore(why: str) -> None:
    """Do nothing, as the connection is closed already."""


class HttpConnection(asyncio.BufferedProtocol):
    """Passes the bytes of a connection on to the HTTP server, one request at a time.

    The server gets the head of a request, its body, and nothing more until the answer is sent. What
    a peer may send in each of these phases is bounded here, before it is parsed.
    """

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.bounds = listener.bounds
        # The protocol of the HTTP server, which gets the events of the transport from this one.
        self.http = listener.server()
        self.state = ConnectionState(self.drop)
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.head_bytes = 0
        # The last bytes of a part of a head, whose end may lie across two parts.
        self.head_tail = b""
        # The same of a next head whose beginning the server got with the end of a chunked body.
        self.next_head_tail = b""
        # Bytes after the current head or request.
        self.ahead = b""
        # The request that the server works on, and whether its answer is sent.
        self.request: web.BaseRequest | None = None
        self.is_answered = False
        # Bytes of the body that are still to come; None if it has no stated length.
        self.body_left: int | None = 0
        self.body_bytes = 0
        self.is_closing = False
        # Bytes that the peer of a closed connection had left to read.
        self.unread_bytes = 0

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; close it if there is no room for another one."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.bounds.admit(self.state, self.listener.limits().idle_timeout_s):
            self.drop("no room for another connection")
            return
        self.listener.connections[self.http] = self
        self.http.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the next bytes are read."""
        buffer = self.listener.buffer
        has_length = self.state.phase is Phase.BODY and self.body_left is not None
        return buffer if has_length else buffer[:SHORT_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were read."""
        self.receive(bytes(self.listener.buffer[:nbytes]))
        if len(self.ahead) >= AHEAD_BYTES:
            self.transport.pause_reading()

    def eof_received(self) -> None:
        """Close the connection: the server takes the end of a peer's bytes for its end."""
        self.http.eof_received()

    def pause_writing(self) -> None:
        """Let the server wait until the peer has read more."""
        self.http.pause_writing()

    def resume_writing(self) -> None:
        """Let the server write again."""
        self.http.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection."""
        self.is_closing = True
        self.listener.turns.discard(self)
        self.bounds.remove(self.state)
        # Without this reference to itself, the connection is freed before a garbage collection.
        self.state.close = ignore
        if self.listener.connections.pop(self.http, None) is not None:
            self.http.connection_lost(exc)

    # Received bytes

    def receive(self, data: bytes) -> None:
        """Pass bytes on as far as the current phase allows, and hold the rest."""
        while data and not self.is_closing:
            if self.state.phase in BODY_PHASES:
                if self.must_wait(data):
                    self.hold_chunks(data)
                    return
                data = self.receive_body(data)
            elif self.state.phase is Phase.ANSWER:
                self.ahead += data
                return
            else:
                data = self.receive_head(data)

    def receive_head(self, data: bytes) -> bytes:
        """Pass on a part of a head; return the bytes after its end."""
        limits = self.listener.limits()
        if self.state.phase is not Phase.HEAD:
            self.head_bytes = 0
            self.head_tail, self.next_head_tail = self.next_head_tail, b""
            self.bounds.enter(self.state, Phase.HEAD, limits.head_timeout_s)
        if not self.head_tail:
            # Empty lines before a request are ignored.
            part = data.lstrip(b"\r\n")
            self.head_bytes += len(data) - len(part)
            data = part
        end = (self.head_tail + data).find(HEAD_END)
        size = len(data) if end < 0 else end + len(HEAD_END) - len(self.head_tail)
        part, rest = data[:size], data[size:]
        self.head_bytes += len(part)
        if self.head_bytes > limits.head_bytes:
            self.refuse(HEAD_TOO_LARGE, b"", f"a head of more than {limits.head_bytes} bytes")
            return b""
        if not self.bounds.claim_head(self.state, head_cost(part)):
            self.refuse(NO_ROOM, NO_ROOM_FIELDS, "no room for another head")
            return b""
        self.head_tail = (self.head_tail + part)[1 - len(HEAD_END) :]
        if part:
            self.http.data_received(part)
        if self.has_server_answer():
            # The server calls `on_request`, or rejects the head and closes the connection.
            self.bounds.enter(self.state, Phase.ANSWER, limits.head_timeout_s)
        return rest

    def has_server_answer(self) -> bool:
        """Return whether the server has a request to answer, or bytes to reject as malformed."""
        # Nothing public tells that the server has rejected a part of a head or a body.
        return bool(self.http._messages)

    def must_wait(self, data: bytes) -> bool:
        """Return whether bytes of a body are parsed when the connection has its turn."""
        if self.body_left is not None:
            return False
        return self in self.listener.turns.waiting or has_many_chunks(data)

    def hold_chunks(self, data: bytes) -> None:
        """Hold bytes of a chunked body until the connection has its turn, and read no further."""
        self.ahead += data
        self.transport.pause_reading()
        self.bounds.enter(self.state, self.state.phase, NEVER)
        self.listener.turns.add(self)

    def parse_held_chunks(self) -> None:
        """Pass on the bytes that waited for a turn, and read on."""
        data, self.ahead = self.ahead, b""
        self.receive_body(data)
        is_held = self in self.listener.turns.waiting or len(self.ahead) >= AHEAD_BYTES
        # The server pauses the transport too, until its buffer of the body is read.
        if not (self.is_closing or is_held or self.http._reading_paused):
            self.transport.resume_reading()

    def receive_body(self, data: bytes) -> bytes:
        """Pass on a part of a body; return the bytes after its end."""
        assert self.request is not None
        part = data if self.body_left is None else data[: self.body_left]
        self.http.data_received(part)
        self.body_bytes += len(part)
        if self.body_left is not None:
            self.body_left -= len(part)
        elif self.request.content.is_eof():
            self.body_left = 0
            self.next_head_tail = b"" if part.endswith(HEAD_END) else part[1 - len(HEAD_END) :]
        elif self.has_server_answer():
            # The server rejects the body only after the request, which would wait for its rest.
            self.request.content.set_exception(web.HTTPBadRequest(text="malformed body\n"))
        else:
            # Extensions of chunks and trailers are no part of the body.
            extra = self.body_bytes - self.request.content.total_bytes * CHUNK_OVERHEAD
            if extra > MAX_CHUNK_EXTRA:
                self.drop("a chunked body with too many other bytes")
        if self.body_left == 0:
            self.bounds.enter(self.state, Phase.ANSWER, NEVER)
            if self.is_answered:
                self.finish_request()
        else:
            self.bounds.enter(self.state, self.state.phase, BODY_STALL_S)
        return data[len(part) :]

    # Requests

    def on_request(self, request: web.BaseRequest) -> None:
        """Begin a request whose head the server has parsed."""
        self.request, self.is_answered = request, False
        self.body_bytes = 0
        content = request.content
        self.body_left = 0 if content.is_eof() else request.content_length
        if self.body_left:
            self.body_left -= content.total_bytes
        if self.body_left == 0:
            self.bounds.enter(self.state, Phase.ANSWER, NEVER)
        else:
            self.bounds.enter(self.state, Phase.BODY, BODY_STALL_S)
        task = asyncio.current_task()
        assert task is not None
        task.add_done_callback(self.on_answered)
        self.receive_ahead()

    def on_answered(self, task: asyncio.Task[Any]) -> None:
        """Go on to the next request once an answer is sent and the body is received.

        The server ignores the rest of a body, and closes the connection if that takes long.
        """
        self.is_answered = True
        if self.body_left == 0:
            self.finish_request()
        else:
            self.bounds.enter(self.state, Phase.REFUSED_BODY, BODY_STALL_S)

    def finish_request(self) -> None:
        """Wait for the next request, or begin the one that is here already."""
        if self.is_closing or self.transport.is_closing():
            self.begin_closing()
            return
        self.request = None
        if self.listener.is_draining:
            self.transport.close()
            self.begin_closing()
            return
        self.bounds.release_head(self.state)
        idle_timeout_s = self.listener.limits().idle_timeout_s
        self.bounds.enter(self.state, Phase.NEXT_REQUEST, idle_timeout_s)
        self.receive_ahead()

    def receive_ahead(self) -> None:
        """Process the bytes that were held."""
        data, self.ahead = self.ahead, b""
        self.receive(data)
        if len(data) >= AHEAD_BYTES > len(self.ahead) and not self.is_closing:
            self.transport.resume_reading()

    # Ends

    def close_if_waiting(self, wait_s: float) -> bool:
        """Close the connection if it has waited for a request for some time; return whether.

        Bytes that have arrived and are not read yet are the beginning of a request.
        """
        is_waiting = self.state.phase in WAITING_PHASES or (
            not wait_s and self.state.phase is Phase.HEAD
        )
        if not is_waiting or self.bounds.now - self.state.since < wait_s:
            return False
        if wait_s and received_bytes(self.transport):
            return False
        self.transport.close()
        self.begin_closing()
        return True

    def check_deadline(self) -> None:
        """End the current phase if its deadline has passed."""
        if self.transport.is_closing():
            self.begin_closing()
        if self.is_closing:
            self.note_reading()
        if self.bounds.now < self.state.deadline:
            return
        if self.is_closing:
            self.transport.abort()
        elif self.state.phase is Phase.HEAD:
            self.refuse(HEAD_TOO_SLOW, b"", "a head that was not whole in time")
        else:
            self.drop("no bytes in time")

    def refuse(self, status: bytes, fields: bytes, why: str) -> None:
        """Refuse a request that the server has not got as a whole, and close the connection.

        It is read no more. It is kept until the peer has had time to read the answer, which a
        reset would discard.
        """
        self.note_closed(why)
        fields += b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        self.transport.write(b"HTTP/1.1 " + status + b"\r\n" + fields)
        self.transport.write_eof()
        self.transport.pause_reading()
        self.begin_closing()

    def drop(self, why: str) -> None:
        """Close the connection at once, without an answer, and free what the server holds of it."""
        self.note_closed(why)
        self.begin_closing()
        if self.listener.connections.pop(self.http, None) is not None:
            self.http.connection_lost(ConnectionAbortedError(why))
        self.transport.abort()

    def begin_closing(self) -> None:
        """Ignore what still arrives, and let the peer read the end of its answer for a while."""
        if not self.is_closing:
            self.is_closing = True
            self.ahead = b""
            self.listener.turns.discard(self)
            self.bounds.release_head(self.state)
            self.bounds.enter(self.state, Phase.REFUSED_BODY, CLOSE_TIMEOUT_S)

    def note_reading(self) -> None:
        """Give the peer of a closed connection more time while it reads."""
        unread = unread_bytes(self.transport)
        if unread != self.unread_bytes:
            self.unread_bytes = unread
            self.bounds.enter(self.state, Phase.REFUSED_BODY, CLOSE_TIMEOUT_S)

    def note_closed(self, why: str) -> None:
        """Count and log a connection that is closed by force."""
        metrics.CONNECTIONS_CLOSED.inc()
        events.emit(
            events.CONNECTION_CLOSED,
            why=why,
            phase=self.state.phase.name.lower(),
            head_bytes=self.head_bytes,
            heads_held=self.bounds.heads.held,
            open=self.bounds.open_connections,
        )
