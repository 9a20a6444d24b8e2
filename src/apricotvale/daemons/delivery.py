"""Reads requests and sends answers within a bound on the bytes that a process holds for them."""

from __future__ import annotations

import array
import asyncio
import fcntl
import io
import random
import termios
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext

from aiohttp import web
from attrs import define, field

from apricotvale import clock, events, metrics
from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.requests.held_bytes import ByteBudget, Hold, parsed_cost

# A caller that reads nothing during this many checks in a row is disconnected. Checks are counted
# instead of time, since time also passes while this process is suspended and no caller can read.
CHECK_INTERVAL_S = 0.5
MAX_UNREAD_CHECKS = 10
# A body that brings no byte for this long is refused, since it keeps room from others.
BODY_STALL_S = 5.0
# Answers up to this size never fill a connection's empty send buffer (64 KiB), so that sending them
# does not wait for the caller.
SMALL_BYTES = 32 * 1024
# A large answer is sent in parts, so that only one of them is copied at a time.
PART_BYTES = 64 * 1024
FLUSH_INTERVAL_S = 0.02
RETRY_AFTER_S = 0.5
# A caller has this long to read before it can be disconnected to make room.
MIN_READ_S = 1.0
# Bytes that a stream whose caller reads slowly holds besides those in the send buffer: what was
# received from its upstream meanwhile.
STREAM_AHEAD_BYTES = 384 * 1024

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@define(eq=False)
class Reader:
    """A caller that has not read its whole answer.

    :param hold: counts the bytes held for it.
    :param began_at: when its answer began, on `clock.now`.
    :param sent_bytes: bytes handed to its connection.
    :param left_bytes: bytes of its answer that are not.
    """

    request: web.Request
    transport: asyncio.Transport
    hold: Hold
    began_at: float = field(factory=clock.now)
    sent_bytes: int = 0
    left_bytes: int = 0

    def send(self, size: int) -> None:
        """Note that bytes of the answer are handed to the connection."""
        self.sent_bytes += size
        self.left_bytes -= size

    def unread_bytes(self) -> int:
        """Return the bytes of the answer that the caller has not acknowledged."""
        return self.left_bytes + unread_bytes(self.transport)

    def rate(self, now: float) -> float:
        """Return the bytes a second that the caller has read."""
        read_bytes = self.sent_bytes - unread_bytes(self.transport)
        return read_bytes / max(now - self.began_at, MIN_READ_S)

    def cut(self, why: str, request_id: str) -> None:
        """Disconnect the caller."""
        metrics.CALLERS_CUT.inc()
        events.emit(
            events.CALLER_CUT,
            request=request_id,
            why=why,
            held_bytes=self.left_bytes + self.transport.get_write_buffer_size(),
            unread_bytes=self.unread_bytes(),
            limit=self.hold.budget.limit,
        )
        self.hold.resize(0)
        self.transport.abort()


@define(eq=False)
class Delivery:
    """The answers that a process sends, and the bodies that it reads.

    Load pattern: many callers read large answers slowly. While more bytes are held than the bound,
    the slowest of them are disconnected, so that new requests are served. Their requests have run,
    which a closed connection does not deny.

    :param held: counts the bytes.
    :param request_id_field: name of the header field with the id of a request, for the log.
    :param count_in_flight: counts a request as in flight while its answer is sent.
    """

    held: ByteBudget
    request_id_field: str
    count_in_flight: Callable[[], AbstractContextManager[None]] = nullcontext
    readers: dict[Reader, None] = field(factory=dict)

    def request_id(self, request: web.Request) -> str:
        """Return the id of a request, empty if it has none."""
        return request.headers.get(self.request_id_field, "")

    @web.middleware
    async def hold_bytes(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Count the bytes of a request, and then of its answer until it is sent."""
        with Hold(self.held) as hold:
            request[HOLD_KEY] = hold
            request[DELIVERY_KEY] = self
            response = await handler(request)
            body = response.body if isinstance(response, web.Response) else None
            if isinstance(body, bytes | bytearray) and request.method != "HEAD":
                hold.resize(len(body))
                transport = request.transport
                if transport is not None and (
                    len(body) > SMALL_BYTES or transport.get_write_buffer_size()
                ):
                    with self.count_in_flight():
                        return await self.deliver(request, response, body, transport)
            return response

    async def deliver(
        self,
        request: web.Request,
        response: web.StreamResponse,
        body: bytes | bytearray,
        transport: asyncio.Transport,
    ) -> web.StreamResponse:
        """Send a response and return once the process holds none of its bytes."""
        answer = web.StreamResponse(status=response.status, headers=response.headers)
        answer.content_length = len(body)
        if response.keep_alive is False:
            answer.force_close()
        with self.reading(request, transport, request[HOLD_KEY]) as reader:
            reader.left_bytes = len(body)
            watch = asyncio.create_task(self.cut_idle_reader(reader))
            try:
                await answer.prepare(request)
                rest = memoryview(body)
                while rest:
                    part, rest = rest[:PART_BYTES], rest[PART_BYTES:]
                    reader.send(len(part))
                    await answer.write(part)
                await answer.write_eof()
                while transport.get_write_buffer_size() and not transport.is_closing():
                    await asyncio.sleep(FLUSH_INTERVAL_S)
            except ConnectionError:
                # The caller has disconnected; the server handles this like an error of its own
                # sending.
                pass
            finally:
                watch.cancel()
        return answer

    @contextmanager
    def reading(
        self, request: web.Request, transport: asyncio.Transport, hold: Hold
    ) -> Iterator[Reader]:
        """Count a caller among those that read an answer while the context is open."""
        reader = Reader(request, transport, hold)
        self.readers[reader] = None
        self.make_room()
        try:
            yield reader
        finally:
            del self.readers[reader]

    def make_room(self, size: int = 0) -> None:
        """Disconnect the slowest callers until some more bytes fit, or none is left."""
        if self.held.fits(size):
            return
        now = clock.now()
        candidates = [
            reader
            for reader in self.readers
            if reader.hold.size and now - reader.began_at >= MIN_READ_S
        ]
        for reader in sorted(candidates, key=lambda reader: reader.rate(now)):
            if self.held.fits(size):
                return
            reader.cut("room for other requests", self.request_id(reader.request))

    async def cut_idle_reader(self, reader: Reader) -> None:
        """Disconnect a caller that reads nothing for `MAX_UNREAD_CHECKS` checks."""
        unread, idle_checks = -1, 0
        while idle_checks < MAX_UNREAD_CHECKS:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_unread = reader.unread_bytes()
            idle_checks = idle_checks + 1 if now_unread and now_unread == unread else 0
            unread = now_unread
        reader.cut("nothing read for too long", self.request_id(reader.request))

    def refuse(self, request: web.Request, hold: Hold, size: int, detail: str) -> Refusal:
        """Return the refusal of a request for want of room, and log it.

        The delay is lengthened at random by up to a half, so that callers do not return together.
        """
        metrics.BYTES_REFUSED.labels("entry").inc()
        events.emit(
            events.BYTES_REFUSED,
            request=self.request_id(request),
            why=detail,
            bytes=hold.size + size,
            held_bytes=hold.budget.held,
            limit=hold.budget.limit,
        )
        return not_run(Reason.OVERLOADED, detail, RETRY_AFTER_S * random.uniform(1.0, 1.5))


HOLD_KEY = web.RequestKey("hold", Hold)
DELIVERY_KEY = web.RequestKey("delivery", Delivery)


def kernel_bytes(transport: asyncio.Transport, query: int) -> int:
    """Return how many bytes the kernel holds for a connection, 0 if that is not known.

    :param query: `ioctl` request that asks for the bytes of one direction.
    """
    count = array.array("i", [0])
    connection = transport.get_extra_info("socket")
    try:
        fcntl.ioctl(connection.fileno(), query, count)
    except (OSError, AttributeError, ValueError):
        return 0
    return count[0]


def received_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer has sent and the process has not read."""
    return kernel_bytes(transport, termios.FIONREAD)


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer has not acknowledged, in the process and in the kernel.

    The kernel accepts more bytes only in large steps, so that the process's buffer alone would make
    a slow reader look idle.
    """
    return transport.get_write_buffer_size() + kernel_bytes(transport, termios.TIOCOUTQ)


@contextmanager
def sending_stream(request: web.Request) -> Iterator[Callable[[bytes], None]]:
    """Count what a stream holds for a caller that reads slowly.

    The context yields a function that is called with each chunk before it is written.
    """
    delivery = request.get(DELIVERY_KEY)
    transport = request.transport
    if delivery is None or transport is None:
        yield lambda chunk: None
        return
    with (
        Hold(delivery.held) as hold,
        delivery.reading(request, transport, hold) as reader,
    ):

        def count_chunk(chunk: bytes) -> None:
            """Count a chunk; disconnect the slowest callers if that is too much."""
            reader.sent_bytes += len(chunk)
            unsent = transport.get_write_buffer_size() + len(chunk)
            hold.resize(2 * unsent + STREAM_AHEAD_BYTES if unsent > SMALL_BYTES else 0)
            delivery.make_room()

        yield count_chunk


def claim_bytes(request: web.Request, size: int) -> Refusal | None:
    """Count bytes of a request's body; return a refusal if the process has no room for them."""
    hold, delivery = request.get(HOLD_KEY), request.get(DELIVERY_KEY)
    if hold is None or delivery is None:
        return None
    delivery.make_room(size)
    if hold.claim(size):
        return None
    return delivery.refuse(request, hold, size, "too many bytes of other requests are held")


def claim_parsed(request: web.Request, document: bytes) -> Refusal | None:
    """Count the values of a JSON document; refuse it if there is no room to parse it."""
    hold = request.get(HOLD_KEY)
    cost = parsed_cost(document)
    if hold is not None and 0 < hold.budget.limit < cost:
        detail = f"the document has too many values for a process with {hold.budget.limit} bytes"
        return not_run(Reason.BODY_TOO_LARGE, detail)
    return claim_bytes(request, cost)


async def read_body(request: web.Request, max_bytes: int, deadline: float) -> bytes | Refusal:
    """Read a request's body; refuse it if it is too large or there is no room for it.

    A body with a stated length is refused before it is read.

    :param deadline: when the request can no longer be answered in time, on `clock.now`; a body that
        is not whole by then is refused.
    """
    stated_bytes = request.content_length or 0
    if stated_bytes > max_bytes:
        detail = f"the body has {stated_bytes} bytes, the limit is {max_bytes}"
        return not_run(Reason.BODY_TOO_LARGE, detail)
    refusal = claim_bytes(request, stated_bytes)
    if refusal is not None:
        return refusal
    body = io.BytesIO()
    while chunk := await read_chunk(request, deadline):
        if isinstance(chunk, Refusal):
            return chunk
        body.write(chunk)
        if body.tell() > max_bytes:
            return not_run(Reason.BODY_TOO_LARGE, f"the body has more than {max_bytes} bytes")
        if not stated_bytes:
            refusal = claim_bytes(request, len(chunk))
            if refusal is not None:
                return refusal
    # Unlike `bytes` of a byte array, this makes no copy.
    return body.getvalue()


async def read_chunk(request: web.Request, deadline: float) -> bytes | Refusal:
    """Return the next bytes of a body, empty at its end; refuse a body that brings none.

    :param deadline: when the whole body is refused, on `clock.now`.
    """
    hold, delivery = request.get(HOLD_KEY), request.get(DELIVERY_KEY)
    left_s = max(0.0, deadline - clock.now())
    # Without a bound on held bytes, a stalled body keeps no room from other requests.
    wait_s = left_s if hold is None else min(left_s, BODY_STALL_S)
    try:
        async with asyncio.timeout(wait_s):
            return await request.content.readany()
    except TimeoutError:
        if hold is not None and delivery is not None and left_s > BODY_STALL_S:
            return delivery.refuse(request, hold, 0, "the body brought no bytes for too long")
        detail = "the body was not complete by the request's deadline"
        request_id = delivery.request_id(request) if delivery is not None else None
        events.emit(events.INPUT_REJECTED, request=request_id, path=request.path, error=detail)
        return not_run(Reason.DEADLINE_EXPIRED, detail)
