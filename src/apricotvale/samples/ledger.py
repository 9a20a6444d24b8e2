"""The replicated ledger of samples: each slot is filled once and handed over in a cursor's order.

A slot is open, filled, handed at a position, or acknowledged. The first committed attempt fills
it. Hand-over is checked against the trainer's version when the entry is applied, so that the
check is ordered with the trainer's own publications.
"""

from __future__ import annotations

from attrs import define, evolve, field, frozen


@frozen
class Segment:
    """Tokens from `first_token` on were produced by `version`."""

    first_token: int
    version: int


@frozen
class StepSpec:
    """What a trainer asks for; `step` numbers its steps and grows."""

    trainer: str
    step: int
    prompts: list[str]
    group_size: int
    staleness_bound: int
    max_tokens: int
    whole_groups: bool
    expires_at_ms: int = 0

    @property
    def slots(self) -> int:
        """Return how many samples the step has."""
        return len(self.prompts) * self.group_size


@frozen
class Fill:
    """A finished attempt: where its payload is kept and what produced it."""

    slot: int
    attempt: str
    sidecar: str
    segments: list[Segment]
    tokens: int

    @property
    def oldest_version(self) -> int:
        """Return the oldest version that produced a part of the sample."""
        return min(segment.version for segment in self.segments)


@frozen
class Handed:
    """A position of the cursor; without a fill it is void and the trainer skips it."""

    position: int
    fill: Fill | None


@frozen
class StepOpened:
    """The step is open; `version` is the trainer's current version."""

    version: int


@frozen
class StepRejected:
    """The step number is not newer than the trainer's last one, or its content differs."""

    last_step: int


@frozen
class SlotsFilled:
    """Which fills were taken, and which came second or too old."""

    taken: list[int]
    dropped: list[int]


@frozen
class Delivery:
    """An answer to a pull: handed positions, the trainer's version and what is left."""

    handed: list[Handed]
    next_position: int
    version: int
    open_slots: int
    done: bool


@frozen
class PullRejected:
    """The pull is older than one that was already answered, or no such step is open."""

    known: bool
    pull: int


@define
class StepState:
    """A step in progress."""

    spec: StepSpec
    owner: str
    owner_incarnation: str
    filled: dict[str, Fill] = field(factory=dict)
    handed: list[Handed] = field(factory=list)
    first_position: int = 0
    acknowledged: int = 0
    delivered: list[int] = field(factory=list)
    last_pull: int = 0
    reopened: int = 0

    def is_done(self) -> bool:
        """Return whether the trainer has acknowledged every sample."""
        return self.acknowledged == self.spec.slots


@define
class TrainerState:
    """A trainer's version and its steps."""

    version: int = 0
    steps: dict[str, StepState] = field(factory=dict)
    last_step: int = -1


@define
class LedgerState:
    """All trainers."""

    trainers: dict[str, TrainerState] = field(factory=dict)


class Ledger:
    """Rules of the ledger."""

    def __init__(self, state: LedgerState | None = None) -> None:
        self.state = state or LedgerState()
        self.changes = 0

    def trainer(self, name: str) -> TrainerState:
        """Return a trainer's state, new if need be."""
        return self.state.trainers.setdefault(name, TrainerState())

    def step(self, trainer: str, step: int) -> StepState | None:
        """Return an open step."""
        return self.trainer(trainer).steps.get(str(step))

    def publish(self, trainer: str, version: int) -> int:
        """Move a trainer to a version, never back; return the version in force."""
        state = self.trainer(trainer)
        state.version = max(state.version, version)
        self.changes += 1
        for step in state.steps.values():
            self.reopen_stale(step, state.version)
        return state.version

    def open_step(self, spec: StepSpec, owner: str, incarnation: str) -> StepOpened | StepRejected:
        """Open a step; a resend of the same opening is answered alike."""
        state = self.trainer(spec.trainer)
        held = state.steps.get(str(spec.step))
        if held is not None:
            same = evolve(held.spec, expires_at_ms=0) == evolve(spec, expires_at_ms=0)
            return StepOpened(state.version) if same else StepRejected(state.last_step)
        if spec.step <= state.last_step:
            return StepRejected(state.last_step)
        state.last_step = spec.step
        state.steps[str(spec.step)] = StepState(spec, owner, incarnation)
        self.changes += 1
        return StepOpened(state.version)

    def adopt(self, trainer: str, step: int, expected: str, owner: str, incarnation: str) -> bool:
        """Give a step another owner if its owner's incarnation is still the expected one."""
        state = self.step(trainer, step)
        if state is None:
            return False
        if state.owner_incarnation == expected:
            state.owner = owner
            state.owner_incarnation = incarnation
            self.changes += 1
        return state.owner_incarnation == incarnation

    def fill(self, trainer: str, step: int, fills: list[Fill]) -> SlotsFilled:
        """Fill open slots; the second attempt at a slot and what is too old are dropped."""
        state = self.step(trainer, step)
        taken: list[int] = []
        dropped: list[int] = []
        for fill in fills:
            if state is not None and self.is_open(state, fill.slot, fill.attempt):
                fresh = self.is_fresh(state, fill, self.trainer(trainer).version)
            else:
                fresh = False
            if state is None or not fresh:
                dropped.append(fill.slot)
                continue
            taken.append(fill.slot)
            state.filled[str(fill.slot)] = fill
        return SlotsFilled(taken, dropped)

    def is_open(self, state: StepState, slot: int, attempt: str) -> bool:
        """Return whether a slot waits for a sample, or already holds this attempt."""
        if not 0 <= slot < state.spec.slots or slot in state.delivered:
            return False
        held = state.filled.get(str(slot))
        if held is not None:
            return held.attempt == attempt
        return all(h.fill is None or h.fill.slot != slot for h in state.handed)

    def is_fresh(self, state: StepState, fill: Fill, version: int) -> bool:
        """Return whether a sample is within the trainer's staleness bound."""
        return version - fill.oldest_version <= state.spec.staleness_bound

    def reopen_stale(self, state: StepState, version: int) -> None:
        """Drop filled samples that have become too old, so that their slots are open again."""
        for slot, fill in list(state.filled.items()):
            if not self.is_fresh(state, fill, version):
                del state.filled[slot]
                self.note_reopened(state)

    def hand(
        self, trainer: str, step: int, cursor: int, pull: int, most: int, lost: list[str]
    ) -> Delivery | PullRejected:
        """Acknowledge everything below a cursor and hand over what follows.

        :param cursor: first position that the trainer does not have.
        :param pull: number of the pull; an older one than the last is rejected.
        :param most: how many samples to hand over at most.
        :param lost: attempts whose payload could not be fetched.
        """
        state = self.step(trainer, step)
        if state is None:
            return PullRejected(False, 0)
        end = state.first_position + len(state.handed)
        if pull < state.last_pull or cursor < state.first_position or cursor > end:
            return PullRejected(True, state.last_pull)
        version = self.trainer(trainer).version
        state.last_pull = pull
        self.acknowledge(state, cursor)
        self.void_unusable(state, version, set(lost))
        self.drop_lost(state, set(lost))
        self.reopen_stale(state, version)
        while len(state.handed) < most:
            fill = self.next_ready(state)
            if fill is None:
                break
            del state.filled[str(fill.slot)]
            position = state.first_position + len(state.handed)
            state.handed.append(Handed(position, fill))
        return self.delivery(state, version)

    def delivery(self, state: StepState, version: int) -> Delivery:
        """Return the positions that are handed and not acknowledged."""
        in_hand = sum(1 for handed in state.handed if handed.fill is not None)
        open_slots = state.spec.slots - state.acknowledged - in_hand
        next_position = state.first_position + len(state.handed)
        return Delivery(list(state.handed), next_position, version, open_slots, state.is_done())

    def acknowledge(self, state: StepState, cursor: int) -> None:
        """Note that the trainer has everything below the cursor."""
        count = cursor - state.first_position
        for handed in state.handed[:count]:
            if handed.fill is not None:
                state.acknowledged += 1
                state.delivered.append(handed.fill.slot)
        del state.handed[:count]
        state.first_position = cursor

    def void_unusable(self, state: StepState, version: int, lost: set[str]) -> None:
        """Void handed positions that aged or lost their payload; their slots are open again."""
        for at, handed in enumerate(state.handed):
            fill = handed.fill
            if fill is None:
                continue
            if fill.attempt in lost or not self.is_fresh(state, fill, version):
                state.handed[at] = Handed(handed.position, None)
                self.note_reopened(state)

    def drop_lost(self, state: StepState, lost: set[str]) -> None:
        """Open the slots of filled samples whose payload is lost."""
        for slot, fill in list(state.filled.items()):
            if fill.attempt in lost:
                del state.filled[slot]
                self.note_reopened(state)

    def note_reopened(self, state: StepState) -> None:
        """Count a slot that is open again, which the step's owner must learn."""
        state.reopened += 1
        self.changes += 1

    def next_ready(self, state: StepState) -> Fill | None:
        """Return the next sample to hand over: a group at a time if the trainer wants that."""
        for fill in state.filled.values():
            if not state.spec.whole_groups or self.group_complete(state, fill.slot):
                return fill
        return None

    def group_complete(self, state: StepState, slot: int) -> bool:
        """Return whether every sample of a slot's group is filled or already handed."""
        first = slot - slot % state.spec.group_size
        in_hand = {handed.fill.slot for handed in state.handed if handed.fill is not None}
        return all(
            str(member) in state.filled or member in in_hand or member in state.delivered
            for member in range(first, first + state.spec.group_size)
        )

    def close(self, trainer: str, step: int) -> bool:
        """Forget a step."""
        self.changes += 1
        return self.trainer(trainer).steps.pop(str(step), None) is not None

    def expire(self, now_ms: int) -> list[tuple[str, int]]:
        """Forget steps whose deadline has passed; return them."""
        gone = []
        for name, trainer in self.state.trainers.items():
            for key, step in list(trainer.steps.items()):
                if step.spec.expires_at_ms <= now_ms:
                    del trainer.steps[key]
                    gone.append((name, int(key)))
        return gone

    def open_slots(self, state: StepState) -> list[int]:
        """Return the slots that wait for a sample."""
        taken = {handed.fill.slot for handed in state.handed if handed.fill is not None}
        taken.update(state.delivered)
        taken.update(int(slot) for slot in state.filled)
        return [slot for slot in range(state.spec.slots) if slot not in taken]
