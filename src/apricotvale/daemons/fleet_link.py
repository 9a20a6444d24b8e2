"""An entry's link to the fleet's control replicas: what it learns, and the calls it passes on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from apricotvale import clock, events
from apricotvale.daemons.link import ATTEMPT_S, ControlClient
from apricotvale.daemons.rpc import Interface
from apricotvale.discovery import RegistryView
from apricotvale.exceptions import ApricotvaleError
from apricotvale.fleet import calls
from apricotvale.outcomes import Refusal
from apricotvale.routes import RouteTable

FLEET = Interface("/apricotvale.Fleet/Call", calls.FleetRequest, calls.FleetReply)
WATCH_MS = 1_000
WATCH_MARGIN_S = 0.6
# A view that was not confirmed for this long is confirmed by a quorum before it is used further.
FRESH_S = 3.0
PAUSE_S = 0.05


class FleetLink:
    """Watches the fleet's state.

    :param contacts: addresses of control replicas to begin with.
    :param parse_table: reads a table's document.
    """

    def __init__(self, contacts: list[str], parse_table: Callable[[bytes], RouteTable]) -> None:
        self.contacts = contacts
        self.addresses: list[str] = []
        self.parse_table = parse_table
        self.watcher = ControlClient(contacts, FLEET)
        self.caller = ControlClient(contacts, FLEET)
        self.view = RegistryView()
        self.table: RouteTable | None = None
        self.has_table = asyncio.Event()
        self.confirmed_at = float("-inf")

    @property
    def is_fresh(self) -> bool:
        """Return whether control confirmed the view lately."""
        return clock.now() < self.confirmed_at + FRESH_S

    async def call(
        self, request: Any, deadline: float, attempt_s: float = ATTEMPT_S
    ) -> Any | Refusal:
        """Return the leader's reply to a call that may be repeated, or a refusal.

        :param deadline: on `clock.now`, in seconds.
        :param attempt_s: longest wait for one replica.
        """
        until = self.caller.now() + deadline - clock.now()
        return await self.caller.call(request, until, attempt_s)

    async def run(self) -> None:
        """Watch until cancelled."""
        was_fresh = False
        while True:
            version = self.table.version if self.table else 0
            request = calls.Watch(self.view.position, version, not self.is_fresh, WATCH_MS)
            attempt_s = WATCH_MS / 1000 + WATCH_MARGIN_S
            deadline = self.watcher.now() + 2 * attempt_s
            reply = await self.watcher.call(request, deadline, attempt_s)
            if isinstance(reply, calls.WatchReply):
                self.take(reply)
            else:
                await asyncio.sleep(PAUSE_S)
            if self.is_fresh != was_fresh:
                was_fresh = self.is_fresh
                events.emit(
                    events.CONTROL_FOUND if was_fresh else events.CONTROL_LOST,
                    view=self.view.position,
                    table=self.table.version if self.table else 0,
                )

    def take(self, reply: calls.WatchReply) -> None:
        """Apply what changed."""
        self.confirmed_at = clock.now()
        if reply.upstreams.upstreams or reply.upstreams.removed or reply.upstreams.full:
            events.emit(
                events.VIEW_CHANGED,
                position=reply.upstreams.position,
                upstreams={u.incarnation: u.standing for u in reply.upstreams.upstreams},
                removed=reply.upstreams.removed,
            )
        self.view.apply(reply.upstreams)
        if reply.document:
            self.take_table(reply.document)
        self.addresses = reply.addresses
        self.take_contacts(self.contacts)

    def take_contacts(self, contacts: list[str]) -> None:
        """Ask the replicas last known first, then the contacts of the settings."""
        self.contacts = contacts
        addresses = list(dict.fromkeys([*self.addresses, *contacts]))
        self.watcher.addresses = addresses
        self.caller.addresses = addresses

    def take_table(self, document: bytes) -> None:
        """Put a newer table in force."""
        try:
            table = self.parse_table(document)
        except ApricotvaleError as error:
            events.emit(events.TASK_FAILED, error=error.format_message())
            return
        if self.table is None or table.version > self.table.version:
            self.table = table
            self.has_table.set()
            events.emit(events.CONFIG_IN_FORCE, revision=table.version, routes=len(table.routes))

    def close(self) -> None:
        """Close the connections."""
        self.watcher.close()
        self.caller.close()
