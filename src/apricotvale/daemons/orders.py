"""Executes load orders on the sidecar's engine, each with a fencing token."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from apricotvale import events
from apricotvale.control.calls import SyncReply
from apricotvale.weights.rollout import Fence, Grant, LoadFailure


class OrderRunner:
    """Executes load grants, one at a time.

    After a start no grant is executed until control has confirmed the newest fencing token, and
    none is executed while the view of the cluster is older than its lease.
    """

    def __init__(self, sidecar: Any) -> None:
        self.sidecar = sidecar
        self.newest_fence: Fence | None = None
        self.queue: asyncio.Queue[Grant] = asyncio.Queue()

    def queue_grants(self, reply: SyncReply) -> None:
        """Queue the grants whose fencing token is greater than that of all earlier ones."""
        if not reply.confirmed:
            return
        if self.newest_fence is None:
            self.newest_fence = Fence()
        for grant in reply.grants:
            if grant.fence > self.newest_fence:
                self.newest_fence = grant.fence
                self.queue.put_nowait(grant)

    def may_run(self, grant: Grant) -> bool:
        """Return whether a grant is valid: newest token, fresh view and this incarnation."""
        is_newest = self.newest_fence is not None and grant.fence >= self.newest_fence
        return (
            is_newest
            and self.sidecar.link.is_fresh
            and grant.incarnation == self.sidecar.incarnation
        )

    async def run(self) -> None:
        """Execute queued grants until cancelled."""
        while True:
            grant = await self.queue.get()
            if not self.may_run(grant):
                events.emit(events.ORDER_REFUSED, fence=str(grant.fence), version=grant.version)
                continue
            failure = await self.load(grant)
            if failure:
                self.sidecar.link.failures.append(
                    LoadFailure(
                        grant.upstream, grant.incarnation, grant.model, grant.version, failure
                    )
                )
            await self.sidecar.poll_upstream()
            self.sidecar.link.request_sync()

    async def load(self, grant: Grant) -> str:
        """Send one load order to the engine; return the error, empty on success."""
        url = f"http://{self.sidecar.upstream.address}/v1/orders/load"
        body = {
            "model": grant.model,
            "version": grant.version,
            "fence": [grant.fence.term, grant.fence.index],
        }
        timeout_s = self.sidecar.deployment.weights.load_timeout_ms / 1000
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.sidecar.session.post(url, json=body) as response,
            ):
                await response.read()
                return "" if response.status == 200 else f"status {response.status}"
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            return repr(error)
