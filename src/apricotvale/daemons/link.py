"""A process's link to control: its lease, what it learns by it, and the calls it makes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from apricotvale import events
from apricotvale.control import calls
from apricotvale.control import commands as c
from apricotvale.daemons.rpc import CONTROL, Interface, RpcClient
from apricotvale.membership.roster import Member
from apricotvale.outcomes import RETRY_AFTER_S, Reason, Refusal, not_run

ATTEMPT_S = 1.0
RETRY_S = 0.03
SYNC_MARGIN_S = 1.0
LEAVE_S = 2.0


class ControlClient:
    """Calls to whichever control replica leads. Calls are repeated, so commands must allow it."""

    def __init__(self, addresses: list[str], interface: Interface = CONTROL) -> None:
        self.addresses = list(addresses)
        self.interface = interface
        self.clients: dict[str, RpcClient] = {}
        self.current = addresses[0]

    async def call(
        self, request: Any, deadline: float, attempt_s: float = ATTEMPT_S
    ) -> Any | Refusal:
        """Return the reply of the leader, or a refusal when the deadline passes without one.

        :param request: one of `calls.CallRequest`.
        :param deadline: on the monotonic clock, in seconds.
        :param attempt_s: longest wait for one replica.
        """
        while True:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return not_run(Reason.NO_QUORUM, "no control leader answers", RETRY_AFTER_S)
            try:
                reply = await self.client(self.current).call(request, min(remaining, attempt_s))
            except asyncio.CancelledError:
                raise
            except Exception:
                self.drop(self.current)
                self.current = self.after(self.current)
                await asyncio.sleep(min(RETRY_S, max(0.0, remaining)))
                continue
            if isinstance(reply, calls.Redirect):
                self.current = reply.address or self.after(self.current)
                await asyncio.sleep(RETRY_S)
            elif not isinstance(reply, calls.Unconfirmed):
                return reply

    def now(self) -> float:
        """Return the clock by which the deadlines of calls are kept."""
        return time.monotonic()

    async def propose(self, command: Any, deadline: float) -> Any | Refusal:
        """Commit a command; return its result or a refusal."""
        reply = await self.call(calls.Propose(command), deadline)
        if isinstance(reply, calls.Committed):
            return reply.result
        if isinstance(reply, calls.Invalid):
            return not_run(Reason.BAD_REQUEST, "; ".join(reply.problems))
        return reply

    def client(self, address: str) -> RpcClient:
        """Return the connection to an address."""
        if address not in self.clients:
            self.clients[address] = RpcClient(address, self.interface)
        return self.clients[address]

    def drop(self, address: str) -> None:
        """Close a connection that failed."""
        held = self.clients.pop(address, None)
        if held is not None:
            held.close()

    def after(self, address: str) -> str:
        """Return the address to try after one that did not help."""
        if address not in self.addresses:
            return self.addresses[0]
        return self.addresses[(self.addresses.index(address) + 1) % len(self.addresses)]

    def close(self) -> None:
        """Close all connections."""
        for address in list(self.clients):
            self.drop(address)


class ControlLink:
    """The sync loop of a member.

    :param client: calls to control; the loop has connections of its own.
    :param describe: returns what the member is at the moment.
    :param in_force: returns the revision in force.
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
        self.describe = describe
        self.in_force = in_force
        self.on_reply = on_reply
        self.position = 0
        self.seen = 0
        self.known_steps: Callable[[], list[str]] = list
        self.outcomes: list[c.OutcomeRecord] = []
        self.failures: list[c.LoadFailure] = []
        self.poked = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.confirmed = asyncio.Event()
        self.sync_ms = 200
        self.lease_ms = 3_000

    @property
    def is_fresh(self) -> bool:
        """Return whether control confirmed the view within the lease."""
        return time.monotonic() < self.confirmed_at + self.lease_ms / 1000

    def poke(self) -> None:
        """Sync at once, as the member has news."""
        self.poked.set()

    async def run(self) -> None:
        """Sync until cancelled."""
        was_fresh = False
        while True:
            self.poked.clear()
            reply = await self.sync_or_poke()
            if isinstance(reply, calls.SyncReply):
                self.take(reply)
            if self.is_fresh != was_fresh:
                was_fresh = self.is_fresh
                events.emit(events.CONTROL_FOUND if was_fresh else events.CONTROL_LOST)

    async def sync_or_poke(self) -> Any:
        """Return the reply to a sync, or None if the member has news in the meantime."""
        sync = asyncio.ensure_future(self.sync(self.sync_ms))
        poke = asyncio.ensure_future(self.poked.wait())
        try:
            await asyncio.wait({sync, poke}, return_when=asyncio.FIRST_COMPLETED)
            return sync.result() if sync.done() else None
        finally:
            poke.cancel()
            if not sync.done():
                sync.cancel()
                await asyncio.gather(sync, return_exceptions=True)

    async def sync(self, wait_ms: int, leaving: bool = False) -> Any:
        """Send one sync; statements that were not confirmed are sent again with the next."""
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
        )
        attempt_s = wait_ms / 1000 + SYNC_MARGIN_S
        reply = await self.client.call(request, time.monotonic() + attempt_s * 2, attempt_s)
        if isinstance(reply, calls.SyncReply):
            del self.outcomes[: len(outcomes)]
            del self.failures[: len(failures)]
        return reply

    def take(self, reply: calls.SyncReply) -> None:
        """Note a reply and hand it on."""
        self.confirmed_at = time.monotonic()
        self.position = max(self.position, reply.roster.position)
        self.seen = reply.interest
        self.on_reply(reply)
        self.confirmed.set()

    async def leave(self) -> None:
        """Tell control that the member leaves."""
        try:
            async with asyncio.timeout(LEAVE_S):
                await self.sync(0, leaving=True)
        except TimeoutError:
            events.emit(events.CONTROL_LOST)

    def close(self) -> None:
        """Close the connections."""
        self.client.close()
