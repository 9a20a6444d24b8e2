"""Shared runtime of the daemons: event loop, signals, background tasks and health endpoints."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import uvloop
from aiohttp import web

from apricotvale import events


class TaskGroup:
    """Background tasks that are cancelled with their owner; an error in a task is logged."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a background task and return the task."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Remove a completed task and log its error."""
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


async def wait_until_stopped(stop: asyncio.Event, *required: asyncio.Task[Any]) -> None:
    """Wait until `stop` is set or a required task has ended.

    A daemon that continued without a required task would appear healthy while part of its work is
    not done.

    :param stop: set when the process is to shut down.
    :param required: tasks that must run as long as the daemon does.
    """
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait({stopped, *required}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    events.emit(events.STOPPING, told=stop.is_set())


async def wait_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event with a time-out; return whether it was set.

    `asyncio.wait_for` of Python 3.11 loses a cancellation that coincides with the event; this
    function does not.
    """
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await event.wait()
    except TimeoutError:
        return False
    return True


def health_routes(is_ready: Callable[[], bool]) -> list[web.RouteDef]:
    """Return the routes `/healthz` (liveness) and `/readyz` (readiness, 503 if not ready)."""

    async def healthz(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(request: web.Request) -> web.Response:
        ready = is_ready()
        return web.Response(
            text="ready\n" if ready else "not ready\n", status=200 if ready else 503
        )

    return [web.get("/healthz", healthz), web.get("/readyz", readyz)]


def stop_event() -> asyncio.Event:
    """Install handlers for SIGTERM and SIGINT; return the event that they set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, event.set)
    return event


def install_reload_handler(reload: Callable[[], None]) -> None:
    """Install a SIGHUP handler, with which operators ask to reload the settings.

    A process may block the signal until then, so that one that comes during the start is kept.
    """
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])


def run(main: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    :param main: called with the event that these signals set.
    """

    async def body() -> None:
        await main(stop_event())

    uvloop.run(body())
