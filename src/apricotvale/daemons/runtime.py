"""What all daemons share: the event loop, signals, background tasks and health endpoints."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import uvloop
from aiohttp import web

from apricotvale import events

KEEPALIVE_S = 30.0
# What the HTTP parser bears, in bytes; the limits in force are smaller and are checked above it.
MAX_HEADER_BYTES = 65_536
SHUTDOWN_S = 1.0


class TaskGroup:
    """Background tasks that end with their owner; an error in one is logged."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: asyncio.Task[Any]) -> None:
        """Forget a task and log its error."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            events.emit(events.TASK_FAILED, error=repr(task.exception()))

    async def __aenter__(self) -> TaskGroup:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def until_stopped(stop: asyncio.Event, *needed: asyncio.Task[Any]) -> None:
    """Wait until told to stop, or until a task that the daemon cannot do without has ended.

    A daemon that went on without it would look alive and leave a part of its work undone.

    :param stop: set when the process is to end.
    :param needed: tasks that run as long as the daemon does.
    """
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait({stopped, *needed}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    events.emit(events.STOPPING, told=stop.is_set())


class HttpServer:
    """An aiohttp application on one address, as a context manager.

    :param decode_bodies: whether encoded bodies are decoded; one who forwards them must not.
    """

    def __init__(self, app: web.Application, address: str, decode_bodies: bool = True) -> None:
        self.address = address
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=SHUTDOWN_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=decode_bodies,
        )
        self.site: web.TCPSite | None = None

    async def __aenter__(self) -> HttpServer:
        host, _, port = self.address.rpartition(":")
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, host, int(port))
        await self.site.start()
        return self

    async def stop_accepting(self) -> None:
        """Close the listening socket and leave open connections alone."""
        if self.site is not None:
            await self.site.stop()
            self.site = None

    async def __aexit__(self, *exc_info: object) -> None:
        await self.runner.cleanup()


async def wait_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event for a limited time; return whether it came.

    `asyncio.wait_for` of Python 3.11 loses a cancellation that meets the event; this does not.
    """
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await event.wait()
    except TimeoutError:
        return False
    return True


def health_routes(is_ready: Callable[[], bool]) -> list[web.RouteDef]:
    """Return `/healthz` and `/readyz`."""

    async def healthz(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(request: web.Request) -> web.Response:
        ready = is_ready()
        return web.Response(
            text="ready\n" if ready else "not ready\n", status=200 if ready else 503
        )

    return [web.get("/healthz", healthz), web.get("/readyz", readyz)]


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


def on_reload(reload: Callable[[], None]) -> None:
    """Call a function at each SIGHUP, by which operators say that the settings changed."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


def run(main: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Run a daemon until it is told to stop."""

    async def body() -> None:
        await main(stop_event())

    uvloop.run(body())
