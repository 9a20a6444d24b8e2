"""An entry's link to the fleet's control replicas: watch for changes and forward calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from apricotvale import clock, events
from apricotvale.daemons.leader_client import ATTEMPT_TIMEOUT_S, LeaderClient
from apricotvale.discovery import RegistryView
from apricotvale.exceptions import ApricotvaleError
from apricotvale.fleet import calls
from apricotvale.fleet.calls import FLEET
from apricotvale.outcomes import Refusal
from apricotvale.routes import RouteTable

WATCH_WAIT_MS = 1_000
WATCH_MARGIN_S = 0.6
# If the view has been unconfirmed for this long, the next watch asks for confirmation by a quorum.
MAX_UNCONFIRMED_S = 3.0
# A route that the table lacks may have been added since the view was last confirmed. A watch
# without changes takes `WATCH_WAIT_MS`.
MAX_ROUTES_AGE_S = WATCH_WAIT_MS / 1000 + WATCH_MARGIN_S
RETRY_PAUSE_S = 0.05


class FleetLink:
    """Maintain a view of the fleet's upstreams and route table, and call the leader.

    :param contacts: addresses of control replicas to contact first.
    :param parse_table: decodes the document of a route table.
    """

    def __init__(self, contacts: list[str], parse_table: Callable[[bytes], RouteTable]) -> None:
        self.contacts = contacts
        self.addresses: list[str] = []
        self.parse_table = parse_table
        self.watch_client = LeaderClient(contacts, FLEET)
        self.call_client = LeaderClient(contacts, FLEET)
        # Calls with short time limits, which close their connection when they expire.
        self.brief_client = LeaderClient(contacts, FLEET)
        self.view = RegistryView()
        self.table: RouteTable | None = None
        self.has_table = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.suspects_position = -1
        self.origins_position = 0
        # Called with each reply once its changes are applied to the view.
        self.on_reply: Callable[[calls.WatchReply], None] = lambda reply: None

    @property
    def is_fresh(self) -> bool:
        """Whether control has confirmed the view within the last `MAX_UNCONFIRMED_S` seconds."""
        return clock.now() < self.confirmed_at + MAX_UNCONFIRMED_S

    @property
    def knows_all_routes(self) -> bool:
        """Whether a route that is missing in the table can be taken to be missing in control."""
        return clock.now() < self.confirmed_at + MAX_ROUTES_AGE_S

    async def call(
        self, request: Any, deadline: float, attempt_timeout_s: float = ATTEMPT_TIMEOUT_S
    ) -> Any | Refusal:
        """Return the leader's reply to an idempotent call, or a refusal.

        :param deadline: on `clock.now`, in seconds.
        :param attempt_timeout_s: time limit of the attempt at one replica, in seconds.
        """
        client_deadline = self.call_client.now() + deadline - clock.now()
        return await self.call_client.call(request, client_deadline, attempt_timeout_s)

    async def call_briefly(self, request: Any, deadline: float) -> Any | Refusal:
        """Return the leader's reply to a call with a short time limit, or a refusal.

        :param deadline: on `clock.now`, in seconds.
        """
        self.brief_client.current_address = self.watch_client.current_address
        client_deadline = self.brief_client.now() + deadline - clock.now()
        return await self.brief_client.call(request, client_deadline)

    async def run(self) -> None:
        """Watch for changes until cancelled, and log when control is lost or found."""
        was_fresh = False
        while True:
            version = self.table.version if self.table else 0
            request = calls.Watch(
                self.view.position,
                version,
                not self.is_fresh,
                WATCH_WAIT_MS,
                self.suspects_position,
                self.origins_position,
            )
            attempt_timeout_s = WATCH_WAIT_MS / 1000 + WATCH_MARGIN_S
            deadline = self.watch_client.now() + 2 * attempt_timeout_s
            reply = await self.watch_client.call(request, deadline, attempt_timeout_s)
            if isinstance(reply, calls.WatchReply):
                self.apply_reply(reply)
            else:
                await asyncio.sleep(RETRY_PAUSE_S)
            if self.is_fresh != was_fresh:
                was_fresh = self.is_fresh
                events.emit(
                    events.CONTROL_FOUND if was_fresh else events.CONTROL_LOST,
                    view=self.view.position,
                    table=self.table.version if self.table else 0,
                )

    def apply_reply(self, reply: calls.WatchReply) -> None:
        """Apply the changes of a reply.

        It confirms the view as of when it was sent, not as of now: with little processor time, this
        process reads it late.
        """
        self.confirmed_at = min(clock.now(), self.watch_client.asked_at + reply.held_s)
        if reply.upstreams.upstreams or reply.upstreams.removed or reply.upstreams.full:
            events.emit(
                events.VIEW_CHANGED,
                position=reply.upstreams.position,
                upstreams={u.incarnation: u.standing for u in reply.upstreams.upstreams},
                removed=reply.upstreams.removed,
            )
        self.view.apply(reply.upstreams, clock.now())
        if reply.document:
            self.apply_table(reply.document)
        if reply.suspects is not None:
            self.suspects_position = max(self.suspects_position, reply.suspects.position)
        if reply.origins is not None:
            self.origins_position = max(self.origins_position, reply.origins.position)
        self.on_reply(reply)
        self.addresses = reply.addresses
        self.set_contacts(self.contacts)

    def set_contacts(self, contacts: list[str]) -> None:
        """Set the addresses to call: the replicas last known first, then these contacts."""
        self.contacts = contacts
        addresses = list(dict.fromkeys([*self.addresses, *contacts]))
        self.watch_client.addresses = addresses
        self.call_client.addresses = addresses
        self.brief_client.addresses = addresses

    def apply_table(self, document: bytes) -> None:
        """Put a table in force if it is newer; log one that cannot be decoded."""
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
        """Close the connections to control."""
        self.watch_client.close()
        self.call_client.close()
        self.brief_client.close()
