"""The HTTP server of the daemons, with bounds on what its clients make a process hold."""

from __future__ import annotations

import asyncio
import logging
import resource
import traceback
from collections.abc import Callable

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from apricotvale import clock, events
from apricotvale.daemons.http_connections import READ_BYTES
from apricotvale.daemons.listener import Listener
from apricotvale.requests.held_bytes import ByteBudget
from apricotvale.requests.peer_bounds import ConnectionLimits, PeerBounds, make_bounds

SHUTDOWN_TIMEOUT_S = 1.0
# The bounds of the connections apply before these limits of the HTTP library, whose defaults reject
# heads that are within the bounds. A line has at least four bytes.
MAX_LINE_BYTES = 1024 * 1024
MAX_LINES = MAX_LINE_BYTES // 4
IDLE_TIMEOUT_S = 24 * 3600.0
# Connections that wait to be accepted. All may be accepted before one is closed for another.
BACKLOG = 128
BACKLOG_SHARE = 1 / 4
DEFAULT_LIMITS = ConnectionLimits()
# A connection that has waited for a request for this long is closed by a drain. A new one is likely
# to bring its first request before.
DRAINED_WAIT_S = 0.5
DRAIN_INTERVAL_S = 0.05
MAX_TRACEBACK_CHARS = 2_000


class EventHandler(logging.Handler):
    """Writes the records of the HTTP server as log events.

    The output of events is bounded and does not wait for a reader, unlike that of `logging`.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        if record.exc_info:
            text = "".join(traceback.format_exception(*record.exc_info))[-MAX_TRACEBACK_CHARS:]
            events.emit(events.TASK_FAILED, error=f"{record.getMessage()}: {text}")
        else:
            events.emit(events.INPUT_REJECTED, what="http", error=record.getMessage())


def remove_request_text(record: logging.LogRecord) -> bool:
    """Remove the text of a malformed request from a log record; drop records that say nothing new.

    The errors of the HTTP parser quote header lines, and these may hold a customer's key. Their
    tracebacks refer to the bytes received and to themselves, so that these bytes would stay until
    the next full garbage collection.
    """
    error = record.exc_info[1] if record.exc_info else None
    if isinstance(error, HttpProcessingError):
        record.msg = f"{record.getMessage()}: {type(error).__name__}, status {error.code}"
        record.args, record.exc_info = (), None
        error.__traceback__ = None
    # A request that ended with such an exception has got its answer.
    is_answer = isinstance(error, web.HTTPException)
    return record.levelno >= logging.WARNING and not is_answer


HTTP_LOGGER = logging.getLogger("apricotvale.http")
# The server logs some errors of the parser as such records.
HTTP_LOGGER.setLevel(logging.DEBUG)
HTTP_LOGGER.addFilter(remove_request_text)
HTTP_LOGGER.addHandler(EventHandler())


class HttpServer:
    """Serves an aiohttp application on one address, as a context manager.

    :param address: `host:port` to listen on.
    :param decode_bodies: whether bodies with a content encoding are decoded; must be False for
        bodies that are forwarded.
    :param bounds: bounds that the listeners of the process share; those on descriptors alone by
        default.
    :param limits: returns the limits on a connection that are in force.
    """

    def __init__(
        self,
        app: web.Application,
        address: str,
        decode_bodies: bool = True,
        bounds: PeerBounds | None = None,
        limits: Callable[[], ConnectionLimits] = lambda: DEFAULT_LIMITS,
    ) -> None:
        self.address = address
        self.bounds = bounds or make_bounds(0.0, open_files_limit(), ByteBudget())
        self.limits = limits
        self.runner = web.AppRunner(
            app,
            logger=HTTP_LOGGER,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_LINES,
            read_bufsize=READ_BYTES,
            auto_decompress=decode_bodies,
        )
        self.listener: Listener | None = None
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> HttpServer:
        host, _, port = self.address.rpartition(":")
        await self.runner.setup()
        assert self.runner.server is not None
        self.listener = Listener(self.runner.server, self.bounds, self.limits)
        await self.listener.__aenter__()
        backlog = BACKLOG
        if self.bounds.max_connections:
            backlog = min(BACKLOG, max(1, int(self.bounds.max_connections * BACKLOG_SHARE)))
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.listener, host, int(port), backlog=backlog)
        return self

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def drain(self, deadline: float) -> None:
        """Stop accepting, close connections that wait for a request, and wait for the others.

        Without this, callers that use their connections again keep a stopping process at work until
        its end, which cuts off the last requests. When it returns, no further request is read.

        :param deadline: when requests are waited for no longer, on `clock.now`.
        """
        await self.stop_accepting()
        if self.listener is None:
            return
        self.listener.is_draining = True
        while self.listener.close_waiting(DRAINED_WAIT_S) and clock.now() < deadline:
            await asyncio.sleep(DRAIN_INTERVAL_S)
        left = self.listener.close_waiting(0.0)
        if left:
            events.emit(events.CANCELLED, why="drain deadline exceeded", active=left)

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stop_accepting()
        await self.runner.cleanup()
        if self.listener is not None:
            await self.listener.__aexit__(*exc_info)


def open_files_limit(stated: int = 0) -> int:
    """Return the descriptors that the process may have open, 0 if there is no limit.

    :param stated: the number that its settings state, 0 if unknown.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [limit for limit in (stated, soft) if limit > 0]
    return min(limits, default=0)
