"""HTTP interface of a control replica for operators, trainers and upstreams."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from apricotvale import clock, events
from apricotvale.daemons import delivery
from apricotvale.daemons.fleet_control import FleetControl
from apricotvale.exceptions import BadInputError
from apricotvale.fleet import calls
from apricotvale.outcomes import Reason, Refusal
from apricotvale.platform import names, wire
from apricotvale.requests.held_bytes import ByteBudget

MAX_BODY_BYTES = 32 * 1024 * 1024
# Heartbeats, and versions of weights.
MAX_REPORT_BYTES = 1024 * 1024
BODY_TIMEOUT_S = 60.0
# Callers try the next replica after one second.
CALL_TIMEOUT_S = 0.9
CONFIG_TIMEOUT_S = 3.0


class ControlInterface:
    """HTTP handlers of a control replica.

    :param held: counts the bytes of bodies and answers; without a bound by default.
    """

    def __init__(self, control: FleetControl, held: ByteBudget | None = None) -> None:
        self.control = control
        self.delivery = delivery.Delivery(held or ByteBudget(), names.REQUEST_ID)

    def make_app(self) -> web.Application:
        """Create the application to serve on the interface address."""
        app = web.Application(middlewares=[self.delivery.hold_bytes])
        app.router.add_put(names.CONFIG_PATH, self.on_put_config)
        app.router.add_get(names.CONFIG_PATH, self.on_get_config)
        app.router.add_put(names.REPLICA_PATH, self.on_heartbeat)
        app.router.add_delete(names.REPLICA_PATH, self.on_leave)
        app.router.add_post(names.VERSION_PATH, self.on_version)
        app.router.add_post(names.RETIRE_PATH, self.on_retire)
        app.router.add_get(names.RETIRE_PATH, self.on_retirement)
        return app

    async def on_put_config(self, request: web.Request) -> web.Response:
        """Validate and store a route table."""
        body = await read_document(request, MAX_BODY_BYTES)
        if isinstance(body, web.Response):
            return body
        try:
            table = wire.parse_table(body)
        except BadInputError as error:
            return rejection_response("config", error)
        call = calls.PutTable(table.version, body)
        return await self.answer(call, CONFIG_TIMEOUT_S)

    async def on_get_config(self, request: web.Request) -> web.Response:
        """Return the newest route table; status 503 if there is none."""
        reply = await self.control.call(calls.ReadTable(), clock.now() + CALL_TIMEOUT_S)
        if isinstance(reply, calls.TableRead) and reply.version:
            return web.Response(body=reply.document, content_type="application/json")
        return web.Response(status=503)

    async def on_heartbeat(self, request: web.Request) -> web.Response:
        """Record an upstream's heartbeat."""
        body = await read_document(request, MAX_REPORT_BYTES)
        if isinstance(body, web.Response):
            return body
        try:
            upstream = wire.parse_heartbeat(request.match_info["id"], body)
        except BadInputError as error:
            return rejection_response("heartbeat", error, upstream=request.match_info["id"])
        reply = await self.control.call(calls.Heartbeat(upstream), clock.now() + CALL_TIMEOUT_S)
        if isinstance(reply, calls.HeartbeatRejected):
            return rejection_response(
                "heartbeat", BadInputError(reply.why), upstream=upstream.incarnation
            )
        return status_response(reply)

    async def on_leave(self, request: web.Request) -> web.Response:
        """Remove an upstream from the registry at its own request."""
        return await self.answer(calls.Leave(request.match_info["id"]), CALL_TIMEOUT_S)

    async def on_version(self, request: web.Request) -> web.Response:
        """Publish a model's newest weight version."""
        body = await read_document(request, MAX_REPORT_BYTES)
        if isinstance(body, web.Response):
            return body
        try:
            call = wire.parse_version(body)
        except BadInputError as error:
            return rejection_response("version", error)
        return await self.answer(call, CALL_TIMEOUT_S)

    async def on_retire(self, request: web.Request) -> web.Response:
        """Start retiring a replica."""
        return await self.answer(calls.Retire(request.match_info["name"]), CALL_TIMEOUT_S)

    async def on_retirement(self, request: web.Request) -> web.Response:
        """Return whether a retirement is active or completed."""
        call = calls.ReadRetirement(request.match_info["name"])
        reply = await self.control.call(call, clock.now() + CALL_TIMEOUT_S)
        if isinstance(reply, calls.RetirementRead):
            return web.json_response({"state": "completed" if reply.completed else "active"})
        return status_response(reply)

    async def answer(self, call: Any, timeout_s: float) -> web.Response:
        """Make a call to control and return the status for its outcome."""
        return status_response(await self.control.call(call, clock.now() + timeout_s))


async def read_document(request: web.Request, max_bytes: int) -> bytes | web.Response:
    """Read a JSON document; return a response with status 413 or 503 if there is no room for it."""
    body = await delivery.read_body(request, max_bytes, clock.now() + BODY_TIMEOUT_S)
    refusal = body if isinstance(body, Refusal) else delivery.claim_parsed(request, body)
    if refusal is None:
        assert isinstance(body, bytes)
        return body
    too_large = refusal.reason is Reason.BODY_TOO_LARGE
    return web.json_response({"error": refusal.detail}, status=413 if too_large else 503)


def status_response(reply: Any) -> web.Response:
    """Return the HTTP response for a reply that carries no data."""
    if isinstance(reply, calls.Accepted):
        return web.json_response({})
    if isinstance(reply, calls.NotFound):
        return web.Response(status=404)
    if isinstance(reply, calls.TooFewLeft):
        return web.Response(status=409)
    return web.Response(status=503)


def rejection_response(what: str, error: BadInputError, **fields: Any) -> web.Response:
    """Log invalid input and return a response with status 400.

    :param what: the kind of input.
    :param fields: further fields of the log event.
    """
    events.emit(events.INPUT_REJECTED, what=what, error=error.format_message(), **fields)
    return web.json_response({"error": error.format_message()}, status=400)
