"""Reads results of jobs from the control replica of the process's own failure domain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import evolve

from apricotvale import clock, events, metrics
from apricotvale.daemons.rpc import RpcClient
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.fleet import calls
from apricotvale.fleet.calls import FLEET
from apricotvale.mechanisms import Mechanism, is_on

CALL_TIMEOUT_S = 0.3
# A replica that failed to give a copy is asked again after this time.
RETRY_S = 2.0


class CopyReader:
    """Completes the leader's replies to reads of results from a nearby copy.

    Load pattern: many callers read the results of the same jobs, also those that other callers have
    read. The leader confirms which results are listed, and a follower in the caller's failure
    domain sends them, so that the outputs do not cross domains once for each reader.

    :param site: failure domain of this process.
    :param addresses: returns the addresses of the control replicas.
    :param leader: returns the address of the replica that leads, as far as it is known.

    `sites` holds the failure domain of each address that has answered, and `retry_at` the time from
    which a replica may be asked again, in seconds on `clock.now`.
    """

    def __init__(
        self, site: str, addresses: Callable[[], list[str]], leader: Callable[[], str]
    ) -> None:
        self.site = site
        self.addresses = addresses
        self.leader = leader
        self.sites: dict[str, str] = {}
        self.retry_at: dict[str, float] = {}
        self.clients: dict[str, RpcClient] = {}
        self.locating: asyncio.Task[None] | None = None
        self.tasks = TaskGroup()

    def find(self, now: float) -> str | None:
        """Return the address of a nearby replica that can send copies, None if there is none.

        There is no need for one if the leader is as near.
        """
        if not is_on(Mechanism.NEAR_COPIES):
            return None
        known = self.addresses()
        due = [a for a in known if a not in self.sites and now >= self.retry_at.get(a, 0.0)]
        if due and (self.locating is None or self.locating.done()):
            self.locating = self.tasks.start(self.locate(due))
        leader = self.leader()
        if self.sites.get(leader) == self.site:
            return None
        for address in known:
            is_due = now >= self.retry_at.get(address, 0.0)
            if address != leader and is_due and self.sites.get(address) == self.site:
                return address
        return None

    async def locate(self, addresses: list[str]) -> None:
        """Ask replicas for their failure domains."""
        for address in addresses:
            reply = await self.call(address, calls.Locate())
            if isinstance(reply, calls.Located):
                self.sites[address] = reply.site
        for address in [a for a in self.sites if a not in self.addresses()]:
            del self.sites[address]

    async def complete(
        self, address: str, request: calls.ReadResults, outline: calls.ResultsOutline
    ) -> calls.ResultsRead | None:
        """Return the results that the leader listed, None if the replica does not have them."""
        count = outline.next_position - outline.start
        copy = calls.ReadCopy(request.job_id, outline.accepted_at, outline.start, count)
        reply = await self.call(address, copy)
        if isinstance(reply, calls.ResultsRead) and len(reply.results) == count:
            metrics.RESULT_COPIES.labels("near").inc()
            return evolve(reply, total=outline.total, next_position=outline.next_position)
        metrics.RESULT_COPIES.labels("missed").inc()
        events.emit(
            events.COPY_MISSED,
            job=request.job_id,
            address=address,
            start=outline.start,
            count=count,
            reply=type(reply).__name__,
        )
        return None

    async def call(self, address: str, request: Any) -> Any | None:
        """Call a replica; return None, and leave it alone for a while, if it does not answer."""
        client = self.clients.get(address)
        if client is None:
            client = self.clients[address] = RpcClient(address, FLEET)
        try:
            return await client.call(request, CALL_TIMEOUT_S)
        except Exception as error:
            self.retry_at[address] = clock.now() + RETRY_S
            events.emit(events.PEER_LOST, address=address, error=repr(error))
            client.close()
            self.clients.pop(address, None)
            return None

    def close(self) -> None:
        """Close the connections."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()
