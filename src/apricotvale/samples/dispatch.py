"""Which samples of a step to generate next, when to repeat stragglers and when to stop.

Sans-I/O: the step's owner asks `next_slots` and `stragglers`, tells what began and ended, and
stops what `outdated` names.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from apricotvale.samples.ledger import StepSpec

STRAGGLER_FACTOR = 2.0
STRAGGLER_QUANTILE = 0.9
STRAGGLER_MIN_DONE = 0.5
REPEAT_SHARE = 0.05
KEPT_DURATIONS = 512


@frozen
class Attempt:
    """One generation of a slot."""

    name: str
    slot: int
    upstream: str
    started_at: float
    version: int


def staleness_handicap(
    newest: int, slots: int, idle_weight: int, staleness_weight: int
) -> Callable[[int], float]:
    """Return how many requests in flight an engine's version counts for when samples are placed.

    A version behind the newest counts for the slots of an engine, scaled by the share of
    `staleness_weight`: at 0 only load matters, at 1 a free engine one version behind is as good
    as a full one that is up to date.
    """
    share = staleness_weight / max(1, idle_weight + staleness_weight)
    return lambda version: max(0, newest - version) * slots * share


@define
class StepPlan:
    """The owner's view of a step.

    :param spec: the step.
    :param version: the trainer's version.
    :param open_slots: slots that wait for a sample.
    """

    spec: StepSpec
    version: int
    open_slots: deque[int]
    running: dict[str, Attempt] = field(factory=dict)
    filled: set[int] = field(factory=set)
    durations: deque[float] = field(factory=lambda: deque(maxlen=KEPT_DURATIONS))
    repeats: int = 0
    counter: itertools.count[int] = field(factory=itertools.count)

    def next_slot(self) -> int | None:
        """Take the next slot to generate; samples of one prompt follow one another."""
        while self.open_slots:
            slot = self.open_slots.popleft()
            if slot not in self.filled:
                return slot
        return None

    def begin(self, slot: int, name: str, upstream: str, version: int, now: float) -> Attempt:
        """Note that an attempt started on an upstream that serves `version`."""
        attempt = Attempt(name, slot, upstream, now, version)
        self.running[name] = attempt
        return attempt

    def end(self, attempt: Attempt, made: bool, now: float) -> None:
        """Note that an attempt ended; a failed slot is open again, before the others."""
        self.running.pop(attempt.name, None)
        if made:
            self.durations.append(now - attempt.started_at)
        elif attempt.slot not in self.filled and not self.is_running(attempt.slot):
            self.open_slots.appendleft(attempt.slot)

    def is_running(self, slot: int) -> bool:
        """Return whether some attempt at a slot runs."""
        return any(attempt.slot == slot for attempt in self.running.values())

    def note_filled(self, taken: list[int], dropped: list[int]) -> None:
        """Note which fills the ledger took; what it dropped is open unless it was filled."""
        self.filled.update(taken)
        for slot in dropped:
            if slot not in self.filled and not self.is_running(slot):
                self.open_slots.append(slot)

    def reopen(self, open_slots: list[int]) -> None:
        """Take the ledger's list of open slots after some were opened again."""
        self.filled.difference_update(open_slots)
        running = {attempt.slot for attempt in self.running.values()}
        self.open_slots = deque(slot for slot in open_slots if slot not in running)

    def twins(self, slot: int) -> list[Attempt]:
        """Return the attempts at a slot that still run."""
        return [attempt for attempt in self.running.values() if attempt.slot == slot]

    def outdated(self) -> list[Attempt]:
        """Return the attempts that would be too stale on arrival."""
        oldest = self.version - self.spec.staleness_bound
        return [attempt for attempt in self.running.values() if attempt.version < oldest]

    def slow_after(self) -> float | None:
        """Return the age in seconds at which an attempt counts as a straggler."""
        if len(self.durations) < STRAGGLER_MIN_DONE * min(self.spec.slots, KEPT_DURATIONS):
            return None
        ordered = sorted(self.durations)
        return ordered[int(len(ordered) * STRAGGLER_QUANTILE)] * STRAGGLER_FACTOR

    def stragglers(self, now: float) -> list[Attempt]:
        """Return attempts to repeat elsewhere: slow ones, once nothing else waits.

        The number of repeats is bounded as a share of the step.
        """
        allowed = max(1, int(self.spec.slots * REPEAT_SHARE)) - self.repeats
        slow_after = self.slow_after()
        if self.open_slots or slow_after is None or allowed <= 0:
            return []
        slow = [
            attempt
            for attempt in self.running.values()
            if now - attempt.started_at > slow_after and len(self.twins(attempt.slot)) == 1
        ]
        slow.sort(key=lambda attempt: attempt.started_at)
        return slow[:allowed]
