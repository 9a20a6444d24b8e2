"""Admission at one upstream: slots by traffic class, a bounded queue, room for interactive work.

Sans-I/O: the owner calls `arrive`, `release` and `expire` and acts on what they return.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.settings.schema import TrafficClass

PRIORITY = {TrafficClass.INTERACTIVE: 0, TrafficClass.BACKGROUND: 1, TrafficClass.SAMPLE: 2}


@define(eq=False)
class Ticket:
    """A request at an upstream, waiting or running."""

    traffic_class: TrafficClass
    deadline: float
    arrived_at: float
    running: bool = False


@frozen
class Started:
    """The request runs now; `preempted` names a sample that must make room for it."""

    ticket: Ticket
    preempted: Ticket | None = None


@frozen
class Queued:
    """The request waits for a slot."""

    ticket: Ticket


@define
class Admission:
    """Slots and queues of one upstream.

    :param slots: requests that run at once.
    :param reserve_percent: share of the slots that samples may not use.
    :param queue_length: requests that wait at most.
    :param queue_s: longest wait, in seconds.
    :param preempts: whether other work stops samples when no slot is free.
    """

    slots: int
    reserve_percent: int
    queue_length: int
    queue_s: float
    preempts: bool = True
    running: list[Ticket] = field(factory=list)
    queues: dict[TrafficClass, deque[Ticket]] = field(
        factory=lambda: {traffic_class: deque() for traffic_class in PRIORITY}
    )

    @property
    def active(self) -> int:
        """Return how many requests run."""
        return len(self.running)

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self.queues.values())

    def sample_slots(self) -> int:
        """Return how many slots samples may use; one at least, if there are two or more."""
        reserved = -(-self.slots * self.reserve_percent // 100)
        return max(1, self.slots - reserved)

    def has_slot(self, traffic_class: TrafficClass) -> bool:
        """Return whether a request of a class may start now."""
        if self.active >= self.slots:
            return False
        if traffic_class is not TrafficClass.SAMPLE:
            return True
        samples = sum(1 for t in self.running if t.traffic_class is TrafficClass.SAMPLE)
        return samples < self.sample_slots()

    def arrive(
        self, traffic_class: TrafficClass, deadline: float, now: float
    ) -> Started | Queued | Refusal:
        """Start a request, queue it, or refuse it early."""
        if deadline <= now:
            return not_run(Reason.DEADLINE_EXPIRED)
        ticket = Ticket(traffic_class, deadline, now)
        if self.has_slot(traffic_class) and not self.queues[traffic_class]:
            return self.start(ticket)
        if traffic_class is not TrafficClass.SAMPLE and self.preempts:
            victim = self.youngest_sample()
            if victim is not None:
                self.running.remove(victim)
                victim.running = False
                started = self.start(ticket)
                return Started(started.ticket, victim)
        if self.queued >= self.queue_length:
            return not_run(Reason.OVERLOADED, "the queue is full", self.queue_s)
        self.queues[traffic_class].append(ticket)
        return Queued(ticket)

    def start(self, ticket: Ticket) -> Started:
        """Give a request a slot."""
        ticket.running = True
        self.running.append(ticket)
        return Started(ticket)

    def youngest_sample(self) -> Ticket | None:
        """Return the running sample that has the least work to lose."""
        samples = [t for t in self.running if t.traffic_class is TrafficClass.SAMPLE]
        return max(samples, key=lambda t: t.arrived_at, default=None)

    def release(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Take a request out, running or waiting; return those that start now."""
        if ticket in self.running:
            self.running.remove(ticket)
            ticket.running = False
        elif ticket in self.queues[ticket.traffic_class]:
            self.queues[ticket.traffic_class].remove(ticket)
        return self.start_waiting(now)

    def start_waiting(self, now: float) -> list[Ticket]:
        """Start waiting requests in order of priority; those past their deadline are skipped."""
        started = []
        for traffic_class, queue in self.queues.items():
            while queue and self.has_slot(traffic_class):
                ticket = queue.popleft()
                if ticket.deadline > now:
                    started.append(self.start(ticket).ticket)
        return started

    def wait_until(self, ticket: Ticket) -> float:
        """Return when a waiting request is given up."""
        if ticket.traffic_class is TrafficClass.SAMPLE:
            return ticket.deadline
        return min(ticket.deadline, ticket.arrived_at + self.queue_s)
