"""A process's link to control: calls to the leader and the sync loop that renews its lease."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from apricotvale import clock, events
from apricotvale.control import calls
from apricotvale.control import commands as c
from apricotvale.control.calls import CONTROL
from apricotvale.daemons.leader_client import LeaderClient
from apricotvale.membership.roster import Member
from apricotvale.outcomes import Reason, Refusal, not_run

SYNC_MARGIN_S = 1.0
LEAVE_TIMEOUT_S = 2.0


class ControlClient(LeaderClient):
    """Client of the control replicas that keep the configuration.

    :param addresses: addresses of the control replicas.
    """

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(addresses, CONTROL)

    async def propose(self, command: Any, deadline: float) -> Any | Refusal:
        """Commit a command; return its result or a refusal.

        :param deadline: on the monotonic clock, in seconds.
        """
        reply = await self.call(calls.Propose(command), deadline)
        if isinstance(reply, calls.Committed):
            return reply.result
        if isinstance(reply, calls.Invalid):
            return not_run(Reason.BAD_REQUEST, "; ".join(reply.problems))
        return reply


class ControlLink:
    """The sync loop of a member, with connections of its own.

    :param addresses: addresses of the control replicas.
    :param describe: returns the `Member` to announce.
    :param in_force: returns the configuration revision in force.
    :param on_reply: called with each `SyncReply`.
    """

    def __init__(
        self,
        addresses: list[str],
        describe: Callable[[], Member],
        in_force: Callable[[], int],
        on_reply: Callable[[calls.SyncReply], None],
    ) -> None:
        self.client = ControlClient(addresses)
        # Calls with short time limits, which close their connection when they expire.
        self.brief_client = ControlClient(addresses)
        self.describe = describe
        self.in_force = in_force
        self.on_reply = on_reply
        self.position = 0
        self.seen = 0
        self.known_steps: Callable[[], list[str]] = list
        self.suspects_position: Callable[[], int] = lambda: -1
        self.outcomes: list[c.OutcomeRecord] = []
        self.failures: list[c.LoadFailure] = []
        self.sync_requested = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.confirmed = asyncio.Event()
        self.sync_ms = 200
        self.lease_ms = 3_000

    @property
    def is_fresh(self) -> bool:
        """Whether control has confirmed the view within the lease."""
        return time.monotonic() < self.confirmed_at + self.lease_ms / 1000

    async def call_briefly(self, request: Any, deadline: float) -> Any | Refusal:
        """Return the leader's reply to a call with a short time limit, or a refusal.

        :param deadline: on `clock.now`, in seconds.
        """
        self.brief_client.current_address = self.client.current_address
        client_deadline = self.brief_client.now() + deadline - clock.now()
        return await self.brief_client.call(request, client_deadline)

    def request_sync(self) -> None:
        """Start the next sync immediately, after a change of the member's state."""
        self.sync_requested.set()

    async def run(self) -> None:
        """Sync until cancelled, and log when control is lost or found."""
        was_fresh = False
        while True:
            self.sync_requested.clear()
            reply = await self.sync_unless_interrupted()
            if isinstance(reply, calls.SyncReply):
                self.handle_reply(reply)
            if self.is_fresh != was_fresh:
                was_fresh = self.is_fresh
                events.emit(events.CONTROL_FOUND if was_fresh else events.CONTROL_LOST)

    async def sync_unless_interrupted(self) -> Any:
        """Return the reply to a sync, or None if `request_sync` interrupts it."""
        sync = asyncio.ensure_future(self.sync(self.sync_ms))
        requested = asyncio.ensure_future(self.sync_requested.wait())
        try:
            await asyncio.wait({sync, requested}, return_when=asyncio.FIRST_COMPLETED)
            return sync.result() if sync.done() else None
        finally:
            requested.cancel()
            if not sync.done():
                sync.cancel()
                await asyncio.gather(sync, return_exceptions=True)

    async def sync(self, wait_ms: int, leaving: bool = False) -> Any:
        """Send one sync; unconfirmed outcomes and failures are sent again with the next one."""
        outcomes, failures = list(self.outcomes), list(self.failures)
        request = calls.Sync(
            member=self.describe(),
            position=self.position,
            revision=self.in_force(),
            in_force=self.in_force(),
            confirm=not self.is_fresh,
            wait_ms=wait_ms,
            outcomes=outcomes,
            failures=failures,
            leaving=leaving,
            seen=self.seen,
            known_steps=self.known_steps(),
            suspects_position=self.suspects_position(),
        )
        attempt_timeout_s = wait_ms / 1000 + SYNC_MARGIN_S
        reply = await self.client.call(
            request, time.monotonic() + attempt_timeout_s * 2, attempt_timeout_s
        )
        if isinstance(reply, calls.SyncReply):
            del self.outcomes[: len(outcomes)]
            del self.failures[: len(failures)]
        return reply

    def handle_reply(self, reply: calls.SyncReply) -> None:
        """Record a reply and pass it to `on_reply`."""
        self.confirmed_at = time.monotonic()
        self.position = max(self.position, reply.roster.position)
        self.seen = reply.interest
        self.on_reply(reply)
        self.confirmed.set()

    async def leave(self) -> None:
        """Tell control that the member leaves; wait at most `LEAVE_TIMEOUT_S` for the reply."""
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self.sync(0, leaving=True)
        except TimeoutError:
            events.emit(events.CONTROL_LOST)

    def close(self) -> None:
        """Close the connections."""
        self.client.close()
        self.brief_client.close()
