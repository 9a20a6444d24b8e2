"""The operators', trainers' and upstreams' side, on each control replica."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from apricotvale import clock, events
from apricotvale.daemons.fleet_control import FleetControl
from apricotvale.exceptions import BadInputError
from apricotvale.fleet import calls
from apricotvale.platform import names, wire

MAX_BODY_BYTES = 32 * 1024 * 1024
# Callers ask the next replica after a second.
CALL_S = 0.9
CHANGE_S = 3.0


class ControlInterface:
    """Handlers of the calls to control."""

    def __init__(self, control: FleetControl) -> None:
        self.control = control

    def make_app(self) -> web.Application:
        """Return the application on the interface's address."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_put(names.CONFIG_PATH, self.on_put_config)
        app.router.add_get(names.CONFIG_PATH, self.on_get_config)
        app.router.add_put(names.REPLICA_PATH, self.on_heartbeat)
        app.router.add_delete(names.REPLICA_PATH, self.on_leave)
        app.router.add_post(names.VERSION_PATH, self.on_version)
        app.router.add_post(names.RETIRE_PATH, self.on_retire)
        app.router.add_get(names.RETIRE_PATH, self.on_retirement)
        return app

    async def on_put_config(self, request: web.Request) -> web.Response:
        """Store a table after checking it."""
        body = await request.read()
        try:
            table = wire.parse_table(body)
        except BadInputError as error:
            return rejected("config", error)
        call = calls.PutTable(table.version, body)
        return await self.answer(call, CHANGE_S)

    async def on_get_config(self, request: web.Request) -> web.Response:
        """Return the newest table."""
        reply = await self.control.call(calls.ReadTable(), clock.now() + CALL_S)
        if isinstance(reply, calls.TableRead) and reply.version:
            return web.Response(body=reply.document, content_type="application/json")
        return web.Response(status=503)

    async def on_heartbeat(self, request: web.Request) -> web.Response:
        """Take an upstream's heartbeat."""
        try:
            upstream = wire.parse_heartbeat(request.match_info["id"], await request.read())
        except BadInputError as error:
            return rejected("heartbeat", error, upstream=request.match_info["id"])
        return await self.answer(calls.Heartbeat(upstream), CALL_S)

    async def on_leave(self, request: web.Request) -> web.Response:
        """Remove an upstream."""
        return await self.answer(calls.Leave(request.match_info["id"]), CALL_S)

    async def on_version(self, request: web.Request) -> web.Response:
        """Note a model's newest version."""
        try:
            call = wire.parse_version(await request.read())
        except BadInputError as error:
            return rejected("version", error)
        return await self.answer(call, CALL_S)

    async def on_retire(self, request: web.Request) -> web.Response:
        """Begin to empty a replica."""
        return await self.answer(calls.Retire(request.match_info["name"]), CALL_S)

    async def on_retirement(self, request: web.Request) -> web.Response:
        """Return how far a retirement is."""
        call = calls.ReadRetirement(request.match_info["name"])
        reply = await self.control.call(call, clock.now() + CALL_S)
        if isinstance(reply, calls.RetirementRead):
            return web.json_response({"state": "completed" if reply.completed else "active"})
        return status_response(reply)

    async def answer(self, call: Any, timeout_s: float) -> web.Response:
        """Make a call and answer by its outcome alone."""
        return status_response(await self.control.call(call, clock.now() + timeout_s))


def status_response(reply: Any) -> web.Response:
    """Return the answer to a call that returns nothing but its outcome."""
    if isinstance(reply, calls.Accepted):
        return web.json_response({})
    if isinstance(reply, calls.NotFound):
        return web.Response(status=404)
    if isinstance(reply, calls.TooFewLeft):
        return web.Response(status=409)
    return web.Response(status=503)


def rejected(what: str, error: BadInputError, **fields: Any) -> web.Response:
    """Log and answer input that cannot be read."""
    events.emit(events.INPUT_REJECTED, what=what, error=error.format_message(), **fields)
    return web.json_response({"error": error.format_message()}, status=400)
