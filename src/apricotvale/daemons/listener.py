"""Listening sockets of a process, and the deadlines and turns of their connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
from attrs import define, field

from apricotvale import clock
from apricotvale.daemons.http_connections import READ_BYTES, HttpConnection
from apricotvale.daemons.parse_turns import ParseTurns
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.requests.peer_bounds import ConnectionLimits, PeerBounds

CHECK_INTERVAL_S = 0.5


@define(eq=False)
class Listener:
    """The connections of one listening socket.

    :param server: the HTTP server, which would otherwise be the protocol factory of the socket.
    :param bounds: bounds that the listeners of a process share.
    :param limits: returns the limits in force.
    :param is_draining: whether a connection is closed after its current request.
    """

    server: web.Server
    bounds: PeerBounds
    limits: Callable[[], ConnectionLimits]
    is_draining: bool = False
    buffer: memoryview = field(factory=lambda: memoryview(bytearray(READ_BYTES)))
    connections: dict[Any, HttpConnection] = field(factory=dict)
    turns: ParseTurns = field(init=False)
    tasks: TaskGroup = field(factory=TaskGroup)

    def __attrs_post_init__(self) -> None:
        self.turns = ParseTurns(self.bounds)

    def __call__(self) -> HttpConnection:
        """Return the protocol of a new connection."""
        return HttpConnection(self)

    async def __aenter__(self) -> Listener:
        await self.tasks.__aenter__()
        # The server calls this for each request whose head it has parsed.
        handle = self.server.request_handler

        async def handle_request(request: web.BaseRequest) -> web.StreamResponse:
            connection = self.connections.get(request.protocol)
            if connection is not None:
                connection.on_request(request)
            return await handle(request)

        self.server.request_handler = handle_request
        self.bounds.advance(clock.now())
        self.tasks.start(self.check_deadlines())
        self.tasks.start(self.turns.run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.tasks.__aexit__(*exc_info)

    async def check_deadlines(self) -> None:
        """End the phases of connections whose deadline has passed."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.bounds.advance(clock.now())
            for connection in list(self.connections.values()):
                connection.check_deadline()

    def close_waiting(self, wait_s: float) -> int:
        """Close the connections that wait for a request; return how many others are open.

        :param wait_s: time for which a connection must have waited, in seconds; with 0, the
            beginning of a request does not keep a connection open either.
        """
        self.bounds.advance(clock.now())
        left = 0
        for connection in list(self.connections.values()):
            if not connection.is_closing:
                left += not connection.close_if_waiting(wait_s)
        return left
