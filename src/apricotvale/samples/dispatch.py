"""The dispatch policy of a step: the next sample, repeats of stragglers, stale attempts.

The policy does no I/O. The step's owner starts what `next_slot` and `stragglers` return, reports
the start and end of each attempt, and cancels what `stale_attempts` returns.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from apricotvale.samples.ledger import StepSpec

STRAGGLER_FACTOR = 2.0
STRAGGLER_QUANTILE = 0.9
STRAGGLER_MIN_DONE_SHARE = 0.5
MAX_REPEAT_SHARE = 0.05
MAX_DURATIONS = 512


@frozen
class Attempt:
    """One attempt to generate the sample of a slot.

    :param started_at: monotonic time in seconds.
    :param version: weight version of the engine at the start.
    """

    name: str
    slot: int
    upstream: str
    started_at: float
    version: int


def staleness_cost(
    newest: int, slots: int, idle_weight: int, staleness_weight: int
) -> Callable[[int], float]:
    """Return a function from an engine's weight version to its extra cost in requests in flight.

    Each version behind the newest costs as much as all slots of an engine, scaled by the share of
    `staleness_weight` in the sum of the weights. At a share of 0 only load matters; at 1 an idle
    engine one version behind ranks equal to a fully loaded one with the newest version.
    """
    share = staleness_weight / max(1, idle_weight + staleness_weight)
    return lambda version: max(0, newest - version) * slots * share


@define
class StepPlan:
    """The dispatch state of a step at its owner.

    :param version: the trainer's current weight version.
    :param open_slots: slots without a sample or a running attempt, in dispatch order.
    :param running: running attempts by name.
    :param durations: seconds that recent successful attempts took.
    :param repeats: number of stragglers that were repeated.
    """

    spec: StepSpec
    version: int
    open_slots: deque[int]
    running: dict[str, Attempt] = field(factory=dict)
    filled: set[int] = field(factory=set)
    durations: deque[float] = field(factory=lambda: deque(maxlen=MAX_DURATIONS))
    repeats: int = 0
    counter: itertools.count[int] = field(factory=itertools.count)

    def next_slot(self) -> int | None:
        """Remove and return the next open slot, or None; slots of one prompt are adjacent."""
        while self.open_slots:
            slot = self.open_slots.popleft()
            if slot not in self.filled:
                return slot
        return None

    def begin(self, slot: int, name: str, upstream: str, version: int, now: float) -> Attempt:
        """Record the start of an attempt on an upstream that serves `version`."""
        attempt = Attempt(name, slot, upstream, now, version)
        self.running[name] = attempt
        return attempt

    def end(self, attempt: Attempt, succeeded: bool, now: float) -> None:
        """Record the end of an attempt; after a failure its slot is the next to dispatch."""
        self.running.pop(attempt.name, None)
        if succeeded:
            self.durations.append(now - attempt.started_at)
        elif attempt.slot not in self.filled and not self.is_running(attempt.slot):
            self.open_slots.appendleft(attempt.slot)

    def is_running(self, slot: int) -> bool:
        """Return whether an attempt at a slot is running."""
        return any(attempt.slot == slot for attempt in self.running.values())

    def record_fill_result(self, taken: list[int], dropped: list[int]) -> None:
        """Record the ledger's result; dropped slots reopen unless they are filled or running."""
        self.filled.update(taken)
        for slot in dropped:
            if slot not in self.filled and not self.is_running(slot):
                self.open_slots.append(slot)

    def reopen(self, open_slots: list[int]) -> None:
        """Replace the open slots with the ledger's, after it has reopened some."""
        self.filled.difference_update(open_slots)
        running = {attempt.slot for attempt in self.running.values()}
        self.open_slots = deque(slot for slot in open_slots if slot not in running)

    def running_attempts(self, slot: int) -> list[Attempt]:
        """Return the running attempts at a slot."""
        return [attempt for attempt in self.running.values() if attempt.slot == slot]

    def stale_attempts(self) -> list[Attempt]:
        """Return running attempts whose samples would exceed the staleness bound."""
        oldest = self.version - self.spec.staleness_bound
        return [attempt for attempt in self.running.values() if attempt.version < oldest]

    def straggler_age_s(self) -> float | None:
        """Return the age in seconds above which an attempt is a straggler.

        It is STRAGGLER_FACTOR times the STRAGGLER_QUANTILE of recent durations. It is None until
        STRAGGLER_MIN_DONE_SHARE of the slots, or of MAX_DURATIONS in a larger step, have finished.
        """
        if len(self.durations) < STRAGGLER_MIN_DONE_SHARE * min(self.spec.slots, MAX_DURATIONS):
            return None
        ordered = sorted(self.durations)
        return ordered[int(len(ordered) * STRAGGLER_QUANTILE)] * STRAGGLER_FACTOR

    def stragglers(self, now: float) -> list[Attempt]:
        """Return the slow attempts to repeat on other engines, oldest first.

        Repeats start once no slot is open, and are limited to MAX_REPEAT_SHARE of the step's slots.
        """
        allowed = max(1, int(self.spec.slots * MAX_REPEAT_SHARE)) - self.repeats
        min_age_s = self.straggler_age_s()
        if self.open_slots or min_age_s is None or allowed <= 0:
            return []
        slow = [
            attempt
            for attempt in self.running.values()
            if now - attempt.started_at > min_age_s
            and len(self.running_attempts(attempt.slot)) == 1
        ]
        slow.sort(key=lambda attempt: attempt.started_at)
        return slow[:allowed]
