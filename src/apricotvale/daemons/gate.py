"""Admission to an upstream: waits for slots and signals preemption."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.requests.admission import Admission, Queued, Started, Ticket
from apricotvale.settings.schema import TrafficClass


class AdmissionGate:
    """Grants the slots of one upstream to requests.

    :param admission: admission state, which decides who runs, waits or is preempted.
    """

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.waiting: dict[Ticket, asyncio.Future[bool]] = {}
        self.preempt_callbacks: dict[Ticket, Callable[[], None]] = {}
        self.draining = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def acquire(
        self, traffic_class: TrafficClass, deadline: float, on_preempt: Callable[[], None]
    ) -> Ticket | Refusal:
        """Wait for a slot and return its ticket, or a refusal.

        :param traffic_class: class of the request.
        :param deadline: on the monotonic clock, in seconds.
        :param on_preempt: called when the request, a sample, loses its slot to another request.
        """
        if self.draining:
            return not_run(Reason.DRAINING, "the upstream is draining", 0.0)
        decision = self.admission.admit(traffic_class, deadline, time.monotonic())
        if isinstance(decision, Refusal):
            return decision
        ticket = decision.ticket
        self.idle.clear()
        self.preempt_callbacks[ticket] = on_preempt
        if isinstance(decision, Started) and decision.preempted is not None:
            self.notify_preempted(decision.preempted)
        if isinstance(decision, Queued) and not await self.wait_for_slot(ticket):
            self.release(ticket)
            return not_run(
                Reason.OVERLOADED,
                "no slot became free before the queue limit or the deadline",
                self.admission.queue_s,
            )
        return ticket

    async def wait_for_slot(self, ticket: Ticket) -> bool:
        """Wait until the ticket gets a slot or its wait limit passes; return whether it got one."""
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = future
        try:
            timeout = self.admission.queue_deadline(ticket) - time.monotonic()
            async with asyncio.timeout(max(0.0, timeout)):
                return await future
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            self.release(ticket)
            raise
        finally:
            self.waiting.pop(ticket, None)

    def notify_preempted(self, ticket: Ticket) -> None:
        """Call the preemption callback of a sample that lost its slot."""
        on_preempt = self.preempt_callbacks.pop(ticket, None)
        if on_preempt is not None:
            on_preempt()

    def release(self, ticket: Ticket) -> None:
        """Release a slot, or leave the queue, and wake the requests that start in its place."""
        self.preempt_callbacks.pop(ticket, None)
        for started in self.admission.release(ticket, time.monotonic()):
            future = self.waiting.get(started)
            if future is not None and not future.done():
                future.set_result(True)
        if not self.admission.running and not self.admission.queued:
            self.idle.set()
