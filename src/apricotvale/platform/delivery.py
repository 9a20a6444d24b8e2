"""Sends answers to callers, counts their bytes until they are sent, and cuts idle readers."""

from __future__ import annotations

import array
import asyncio
import fcntl
import random
import termios
from collections.abc import Awaitable, Callable

from aiohttp import web

from apricotvale import clock, events, metrics
from apricotvale.daemons.fleet_entry import FleetEntry
from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.platform import names
from apricotvale.requests.held_bytes import Hold

# A caller that reads nothing during this many checks in a row is disconnected. Checks are counted
# instead of time, since time also passes while this process is suspended and no caller can read.
CHECK_INTERVAL_S = 0.5
MAX_UNREAD_CHECKS = 10
# A body that brings no byte for this long is refused, since it keeps room from others.
BODY_STALL_S = 5.0
# Answers up to this size never fill a connection's empty send buffer (64 KiB), so that sending them
# does not wait for the caller.
SMALL_BYTES = 32 * 1024
FLUSH_INTERVAL_S = 0.02
RETRY_AFTER_S = 0.5

HOLD_KEY = web.RequestKey("hold", Hold)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_middleware(entry: FleetEntry) -> Callable[..., Awaitable[web.StreamResponse]]:
    """Return the middleware that counts the bytes of a request, and then of its answer."""

    @web.middleware
    async def hold_bytes(request: web.Request, handler: Handler) -> web.StreamResponse:
        with Hold(entry.held) as hold:
            request[HOLD_KEY] = hold
            response = await handler(request)
            body = response.body if isinstance(response, web.Response) else None
            if isinstance(body, bytes | bytearray):
                hold.resize(len(body))
                transport = request.transport
                if transport is not None and (
                    len(body) > SMALL_BYTES or transport.get_write_buffer_size()
                ):
                    with entry.count_in_flight():
                        await deliver(request, response, transport)
        return response

    return hold_bytes


async def deliver(
    request: web.Request, response: web.StreamResponse, transport: asyncio.Transport
) -> None:
    """Send a response and return once the process holds none of its bytes."""
    watch = asyncio.create_task(cut_idle_reader(request, transport))
    try:
        await response.prepare(request)
        await response.write_eof()
        while transport.get_write_buffer_size() and not transport.is_closing():
            await asyncio.sleep(FLUSH_INTERVAL_S)
    except ConnectionError:
        # The caller has disconnected; the server handles this like an error of its own sending.
        return
    finally:
        watch.cancel()


async def cut_idle_reader(request: web.Request, transport: asyncio.Transport) -> None:
    """Disconnect a caller that reads nothing for `MAX_UNREAD_CHECKS` checks."""
    unread, idle_checks = -1, 0
    while idle_checks < MAX_UNREAD_CHECKS:
        await asyncio.sleep(CHECK_INTERVAL_S)
        now_unread = unread_bytes(transport)
        idle_checks = idle_checks + 1 if now_unread and now_unread == unread else 0
        unread = now_unread
    metrics.CALLERS_CUT.inc()
    events.emit(
        events.CALLER_CUT,
        request=request.headers.get(names.REQUEST_ID, ""),
        held_bytes=transport.get_write_buffer_size(),
        unread_bytes=unread,
    )
    transport.abort()


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer has not acknowledged, in the process and in the kernel.

    The kernel accepts more bytes only in large steps, so that the process's buffer alone would make
    a slow reader look idle.
    """
    in_kernel = array.array("i", [0])
    connection = transport.get_extra_info("socket")
    try:
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, in_kernel)
    except (OSError, AttributeError, ValueError):
        in_kernel[0] = 0
    return transport.get_write_buffer_size() + in_kernel[0]


def claim_bytes(request: web.Request, size: int) -> Refusal | None:
    """Count bytes of a request's body; return a refusal if the entry has no room for them."""
    hold = request.get(HOLD_KEY)
    if hold is None or hold.claim(size):
        return None
    return refuse(request, hold, size, "the entry holds too many bytes of other requests")


def refuse(request: web.Request, hold: Hold, size: int, detail: str) -> Refusal:
    """Return the refusal of a request for want of room, and log it.

    The delay is lengthened at random by up to a half, so that callers do not return together.
    """
    metrics.BYTES_REFUSED.labels("entry").inc()
    events.emit(
        events.BYTES_REFUSED,
        request=request.headers.get(names.REQUEST_ID, ""),
        why=detail,
        bytes=hold.size + size,
        held_bytes=hold.budget.held,
        limit=hold.budget.limit,
    )
    return not_run(Reason.OVERLOADED, detail, RETRY_AFTER_S * random.uniform(1.0, 1.5))


async def read_chunk(request: web.Request, deadline: float) -> bytes | Refusal:
    """Return the next bytes of a body, empty at its end; refuse a body that brings none.

    :param deadline: when the whole body is refused, on `clock.now`.
    """
    hold = request.get(HOLD_KEY)
    left_s = max(0.0, deadline - clock.now())
    # Without a bound on held bytes, a stalled body keeps no room from other requests.
    wait_s = left_s if hold is None else min(left_s, BODY_STALL_S)
    try:
        async with asyncio.timeout(wait_s):
            return await request.content.readany()
    except TimeoutError:
        if hold is not None and left_s > BODY_STALL_S:
            return refuse(request, hold, 0, "the body brought no bytes for too long")
        detail = "the body was not complete by the request's deadline"
        events.emit(
            events.INPUT_REJECTED,
            request=request.headers.get(names.REQUEST_ID, ""),
            error=detail,
        )
        return not_run(Reason.DEADLINE_EXPIRED, detail)
