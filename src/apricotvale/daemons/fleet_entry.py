"""The entry of a fleet: routes callers' requests straight to upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from apricotvale import clock, events, metrics
from apricotvale.daemons.fleet_link import FleetLink
from apricotvale.daemons.forwarder import Forwarder
from apricotvale.daemons.link import ATTEMPT_S
from apricotvale.daemons.runtime import TaskGroup, until_stopped, wait_event
from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.requests.calls import Answer, Call, UpstreamClient
from apricotvale.routes import Limits, Route, RouteTable
from apricotvale.settings.fleet import FleetSettings

NOT_READY_RETRY_S = 0.5
# Control elects a leader within about half a second after a loss of all replicas.
FIRST_TABLE_S = 1.0
CONTROL_CALL_S = 2.5
# The balancer asks once a second and takes an entry out after two misses; until then it sends new
# connections.
ROTATION_S = 3.2
# Left of the time to stop for closing connections.
STOP_MARGIN_S = 0.7


class FleetEntry:
    """One entry: the table and the upstreams it knows, and the requests it works on."""

    def __init__(
        self,
        settings: FleetSettings,
        client: UpstreamClient,
        parse_table: Callable[[bytes], RouteTable],
    ) -> None:
        self.settings = settings
        self.link = FleetLink(settings.contact_addresses(), parse_table)
        self.forwarder = Forwarder(settings.site, self.link.view, client)
        self.stopping = False
        self.active = 0
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def is_ready(self) -> bool:
        """Return whether a table is in force and the entry is not leaving."""
        return self.link.table is not None and not self.stopping

    @property
    def limits(self) -> Limits:
        """Return what callers may send."""
        return self.link.table.limits if self.link.table else Limits()

    def take_settings(self, settings: FleetSettings) -> None:
        """Take settings that were read again; only the contacts change while the entry runs."""
        self.link.take_contacts(settings.contact_addresses())

    @contextmanager
    def working(self) -> Iterator[None]:
        """Count a request in flight."""
        self.active += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.active -= 1
            if not self.active:
                self.idle.set()

    async def wait_for_table(self) -> None:
        """Wait a moment for the first table after a start: it mostly comes within it."""
        if self.link.table is None:
            await wait_event(self.link.has_table, FIRST_TABLE_S)

    def match(self, host: str, path: str) -> Route | Refusal:
        """Return the route of a request, or why there is none."""
        if self.link.table is None:
            return not_run(Reason.NOT_READY, "no table is in force yet", NOT_READY_RETRY_S)
        route = self.link.table.match(host, path)
        return route or not_run(Reason.UNKNOWN_ROUTE, "no route has this host and path")

    async def forward(self, route: Route, call: Call, arrived: float) -> Answer | Refusal:
        """Return the final answer to a request, and log it."""
        try:
            result = await self.forwarder.forward(route, call)
        except asyncio.CancelledError:
            events.emit(events.CANCELLED, request=call.request_id, why="the caller has gone")
            raise
        took_s = clock.now() - arrived
        outcome = result.reason if isinstance(result, Refusal) else str(result.status)
        metrics.REQUESTS_TOTAL.labels(outcome).inc()
        metrics.REQUEST_SECONDS.observe(took_s)
        events.emit(
            events.ANSWERED,
            request=call.request_id,
            route=route.name,
            table=self.link.table.version if self.link.table else 0,
            status=result.status,
            took_ms=round(took_s * 1000),
        )
        return result

    async def call_control(self, request: Any, request_id: str, wait_s: float = 0.0) -> Any:
        """Return the leader's reply to a call, or a refusal."""
        deadline = clock.now() + CONTROL_CALL_S + wait_s
        reply = await self.link.call(request, deadline, ATTEMPT_S + wait_s)
        if isinstance(reply, Refusal):
            events.emit(
                events.REFUSED,
                request=request_id,
                call=type(request).__name__,
                reason=reply.reason,
            )
        return reply

    async def run(self, stop: asyncio.Event) -> None:
        """Watch control until told to stop, then serve on until the balancer has noticed."""
        async with TaskGroup() as tasks:
            await until_stopped(stop, tasks.start(self.link.run()))
            self.stopping = True
            await asyncio.sleep(ROTATION_S)

    async def finish_requests(self) -> None:
        """Wait for the requests in flight within the time to stop."""
        left_s = self.settings.stop_s - ROTATION_S - STOP_MARGIN_S
        if not await wait_event(self.idle, left_s):
            events.emit(events.CANCELLED, why="time to stop is over", active=self.active)

    def close(self) -> None:
        """Close the connections to control."""
        self.link.close()
