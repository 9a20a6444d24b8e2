"""Slots of plain services for reward calls, which share them with callers' requests."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

from attrs import define, field

from apricotvale import clock
from apricotvale.discovery import Upstream
from apricotvale.requests.routing import Pace

# While requests at the service are refused for lack of a slot, callers need more than one slot of
# each upstream.
MAX_SHARE_WHILE_FULL = 0.5

# Sort key of a reward call: whether its group is late, whether the trainer waits for other groups,
# the items that its group still needs, and when they are due.
Order = tuple[bool, bool, int, float]


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
    """Reward calls that wait for a slot, and those in flight, by service.

    The order of the waiting calls is evaluated whenever a slot becomes free, since groups become
    late or nearly complete while they wait.

    :param limit: returns how many calls may be in flight at a service now.
    :param times: time that calls to a service take.
    """

    limit: Callable[[str], int]
    in_flight: Counter[str] = field(factory=Counter)
    waiting: dict[str, list[tuple[Callable[[], Order], asyncio.Future[None]]]] = field(factory=dict)
    times: dict[str, Pace] = field(factory=dict)

    @asynccontextmanager
    async def hold(self, service: str, order: Callable[[], Order]) -> AsyncIterator[None]:
        """Wait for a slot and hold it while the context is open.

        :param order: returns the place of the call among those that wait.
        """
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(service, []).append((order, granted))
        self.grant(service)
        try:
            await granted
            started_at = clock.now()
            yield
            self.times.setdefault(service, Pace()).add(clock.now() - started_at, 1)
        finally:
            if granted.done() and not granted.cancelled():
                self.in_flight[service] -= 1
            self.grant(service)

    def grant(self, service: str) -> None:
        """Grant the free slots of a service to the calls that wait, in their order."""
        queue = self.waiting.get(service, [])
        while queue and self.in_flight[service] < self.limit(service):
            position = min(range(len(queue)), key=lambda place: queue[place][0]())
            _, granted = queue.pop(position)
            if not granted.done():
                self.in_flight[service] += 1
                granted.set_result(None)

    def grant_all(self) -> None:
        """Grant slots that became free without the end of a reward call."""
        for service in self.waiting:
            self.grant(service)

    def rate(self) -> float:
        """Return how many reward calls can be answered in a second, infinite if it is unknown.

        Of several services, the slowest counts.
        """
        rates = [
            self.limit(service) / pace.seconds_per_token
            for service, pace in self.times.items()
            if pace.seconds_per_token
        ]
        return min(rates, default=float("inf"))
