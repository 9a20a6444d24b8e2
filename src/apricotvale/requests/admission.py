"""Admission control at one upstream: slots per traffic class and a bounded queue.

A share of the slots is reserved for traffic other than samples. The module does no I/O: the
caller invokes `admit` and `release` and acts on the returned values.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.settings.schema import TrafficClass

# Values of the `priority` field sent to engines. Queued requests start in the order of the keys.
PRIORITY_BY_CLASS = {
    TrafficClass.INTERACTIVE: 0,
    TrafficClass.BACKGROUND: 1,
    TrafficClass.SAMPLE: 2,
}


@define(eq=False)
class Ticket:
    """A request admitted to an upstream, queued or running.

    :param deadline: monotonic time in seconds; the request does not start after it.
    :param arrived_at: monotonic time in seconds.
    """

    traffic_class: TrafficClass
    deadline: float
    arrived_at: float
    running: bool = False


@frozen
class Started:
    """The request starts now; `preempted` is the sample that must stop to free its slot."""

    ticket: Ticket
    preempted: Ticket | None = None


@frozen
class Queued:
    """The request waits for a slot."""

    ticket: Ticket


@define
class Admission:
    """Slots and queues of one upstream.

    :param slots: maximum number of concurrent requests.
    :param reserve_percent: share of the slots that samples may not use.
    :param queue_length: maximum number of queued requests.
    :param queue_s: maximum time in the queue, in seconds; samples wait until their deadline.
    :param preempts: whether other traffic preempts samples when no slot is free.
    """

    slots: int
    reserve_percent: int
    queue_length: int
    queue_s: float
    preempts: bool = True
    running: list[Ticket] = field(factory=list)
    queues: dict[TrafficClass, deque[Ticket]] = field(
        factory=lambda: {traffic_class: deque() for traffic_class in PRIORITY_BY_CLASS}
    )

    @property
    def active(self) -> int:
        """Return the number of running requests."""
        return len(self.running)

    @property
    def queued(self) -> int:
        """Return the number of queued requests in all classes."""
        return sum(len(queue) for queue in self.queues.values())

    def sample_slots(self) -> int:
        """Return the number of slots that samples may use, at least one.

        The reserve is rounded up to whole slots.
        """
        reserved = -(-self.slots * self.reserve_percent // 100)
        return max(1, self.slots - reserved)

    def has_slot(self, traffic_class: TrafficClass) -> bool:
        """Return whether a request of a traffic class can start without waiting."""
        if self.active >= self.slots:
            return False
        if traffic_class is not TrafficClass.SAMPLE:
            return True
        samples = sum(1 for t in self.running if t.traffic_class is TrafficClass.SAMPLE)
        return samples < self.sample_slots()

    def admit(
        self, traffic_class: TrafficClass, deadline: float, now: float
    ) -> Started | Queued | Refusal:
        """Start a request, queue it, or refuse it.

        A request other than a sample can preempt the most recently arrived sample if no slot
        is free. A request past its deadline, or one that finds the queue full, is refused at once.

        :param deadline: monotonic time in seconds, like `now`.
        """
        if deadline <= now:
            return not_run(Reason.DEADLINE_EXPIRED)
        ticket = Ticket(traffic_class, deadline, now)
        if self.has_slot(traffic_class) and not self.queues[traffic_class]:
            return self.start(ticket)
        if traffic_class is not TrafficClass.SAMPLE and self.preempts:
            preempted = self.youngest_sample()
            if preempted is not None:
                self.running.remove(preempted)
                preempted.running = False
                started = self.start(ticket)
                return Started(started.ticket, preempted)
        if self.queued >= self.queue_length:
            return not_run(
                Reason.OVERLOADED,
                f"admission queue is full ({self.queue_length} requests)",
                self.queue_s,
            )
        self.queues[traffic_class].append(ticket)
        return Queued(ticket)

    def start(self, ticket: Ticket) -> Started:
        """Assign a slot to a request."""
        ticket.running = True
        self.running.append(ticket)
        return Started(ticket)

    def youngest_sample(self) -> Ticket | None:
        """Return the most recently arrived running sample, which has the least work to lose."""
        samples = [t for t in self.running if t.traffic_class is TrafficClass.SAMPLE]
        return max(samples, key=lambda t: t.arrived_at, default=None)

    def release(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Remove a running or queued request; return the queued requests that start now."""
        if ticket in self.running:
            self.running.remove(ticket)
            ticket.running = False
        elif ticket in self.queues[ticket.traffic_class]:
            self.queues[ticket.traffic_class].remove(ticket)
        return self.start_queued(now)

    def start_queued(self, now: float) -> list[Ticket]:
        """Start queued requests in order of priority, dropping those past their deadline."""
        started = []
        for traffic_class, queue in self.queues.items():
            while queue and self.has_slot(traffic_class):
                ticket = queue.popleft()
                if ticket.deadline > now:
                    started.append(self.start(ticket).ticket)
        return started

    def queue_deadline(self, ticket: Ticket) -> float:
        """Return the time at which a queued request times out."""
        if ticket.traffic_class is TrafficClass.SAMPLE:
            return ticket.deadline
        return min(ticket.deadline, ticket.arrived_at + self.queue_s)
