"""Slots of plain services for reward calls, which share them with callers' requests."""

from __future__ import annotations

import asyncio
import heapq
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

from attrs import define, field

from apricotvale.discovery import Upstream

# While requests at the service are refused for lack of a slot, callers need more than one slot of
# each upstream.
MAX_SHARE_WHILE_FULL = 0.5

# Reward calls of groups that the trainer waits for come first, then those that are due first.
Order = tuple[bool, float]


def reward_limit(upstreams: Sequence[Upstream], is_short: bool) -> int:
    """Return how many reward calls may be in flight at a service.

    Load pattern: a step ends with a burst of reward calls, while callers send few requests that are
    due within a fraction of a second. Each upstream keeps a slot for them. Half of the slots, which
    reward calls had before, held complete outputs back for seconds on a service with 18 slots.

    :param upstreams: the ready upstreams of the service.
    :param is_short: whether requests were refused there for lack of a slot a moment ago.
    """
    slots = sum(upstream.capacity for upstream in upstreams)
    limit = int(slots * MAX_SHARE_WHILE_FULL) if is_short else slots - len(upstreams)
    return max(1, limit)


@define
class RewardSlots:
    """Reward calls that wait for a slot, and the number of those in flight, by service.

    :param limit: returns how many calls may be in flight at a service now.
    """

    limit: Callable[[str], int]
    in_flight: Counter[str] = field(factory=Counter)
    waiting: dict[str, list[tuple[Order, int, asyncio.Future[None]]]] = field(factory=dict)
    tickets: int = 0

    @asynccontextmanager
    async def hold(self, service: str, order: Order) -> AsyncIterator[None]:
        """Wait for a slot and hold it while the context is open."""
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.tickets += 1
        heapq.heappush(self.waiting.setdefault(service, []), (order, self.tickets, granted))
        self.grant(service)
        try:
            await granted
            yield
        finally:
            if granted.done() and not granted.cancelled():
                self.in_flight[service] -= 1
            self.grant(service)

    def grant(self, service: str) -> None:
        """Grant the free slots of a service to the calls that wait, in their order."""
        queue = self.waiting.get(service)
        while queue and self.in_flight[service] < self.limit(service):
            _, _, granted = heapq.heappop(queue)
            if not granted.done():
                self.in_flight[service] += 1
                granted.set_result(None)

    def grant_all(self) -> None:
        """Grant slots that became free without the end of a reward call."""
        for service in self.waiting:
            self.grant(service)
