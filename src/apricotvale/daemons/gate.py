"""The sidecar's gate: admission with the waiting and the waking that it needs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.requests.admission import Admission, Queued, Started, Ticket
from apricotvale.settings.schema import TrafficClass


class Gate:
    """Owns the admission state of one upstream."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.waiting: dict[Ticket, asyncio.Future[bool]] = {}
        self.preempt: dict[Ticket, Callable[[], None]] = {}
        self.draining = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def enter(
        self, traffic_class: TrafficClass, deadline: float, on_preempt: Callable[[], None]
    ) -> Ticket | Refusal:
        """Wait for a slot.

        :param traffic_class: class of the request.
        :param deadline: on the monotonic clock, in seconds.
        :param on_preempt: called when a sample must stop for other work.
        """
        if self.draining:
            return not_run(Reason.DRAINING, "the upstream is leaving", 0.0)
        verdict = self.admission.arrive(traffic_class, deadline, time.monotonic())
        if isinstance(verdict, Refusal):
            return verdict
        ticket = verdict.ticket
        self.idle.clear()
        self.preempt[ticket] = on_preempt
        if isinstance(verdict, Started) and verdict.preempted is not None:
            self.stop(verdict.preempted)
        if isinstance(verdict, Queued) and not await self.wait(ticket):
            self.leave(ticket)
            return not_run(Reason.OVERLOADED, "no slot in time", self.admission.queue_s)
        return ticket

    async def wait(self, ticket: Ticket) -> bool:
        """Return whether the ticket got a slot before it is given up."""
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = future
        try:
            timeout = self.admission.wait_until(ticket) - time.monotonic()
            async with asyncio.timeout(max(0.0, timeout)):
                return await future
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            self.leave(ticket)
            raise
        finally:
            self.waiting.pop(ticket, None)

    def stop(self, ticket: Ticket) -> None:
        """Tell a sample that it lost its slot."""
        on_preempt = self.preempt.pop(ticket, None)
        if on_preempt is not None:
            on_preempt()

    def leave(self, ticket: Ticket) -> None:
        """Give a slot back and wake those who start now."""
        self.preempt.pop(ticket, None)
        for started in self.admission.release(ticket, time.monotonic()):
            future = self.waiting.get(started)
            if future is not None and not future.done():
                future.set_result(True)
        if not self.admission.running and not self.admission.queued:
            self.idle.set()
