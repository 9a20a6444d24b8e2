"""The replicated ledger of samples, which delivers each slot of a step exactly once.

A slot is open, filled, handed over at a position, or acknowledged. The first committed attempt
fills it. Staleness is checked against the trainer's version when the hand-over entry is applied,
so that the check is ordered with the trainer's own publications.
"""

from __future__ import annotations

from attrs import define, evolve, field, frozen


@frozen
class Segment:
    """The tokens from `first_token` up to the next segment, which `version` generated."""

    first_token: int
    version: int


@frozen
class StepSpec:
    """A step that a trainer requests.

    :param step: step number, which increases with each step of a trainer.
    :param whole_groups: whether samples are handed over in complete groups only.
    :param expires_at_ms: time at which the step is deleted, 0 until it is opened.
    """

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
        """Return the number of samples in the step."""
        return len(self.prompts) * self.group_size


@frozen
class Fill:
    """A finished attempt: the sidecar that holds its payload and the versions that generated it."""

    slot: int
    attempt: str
    sidecar: str
    segments: list[Segment]
    tokens: int

    @property
    def oldest_version(self) -> int:
        """Return the oldest version that generated a part of the sample."""
        return min(segment.version for segment in self.segments)


@frozen
class Handed:
    """A delivered position; without a fill it is void and the trainer skips it."""

    position: int
    fill: Fill | None


@frozen
class StepOpened:
    """The step is open; `version` is the trainer's current version."""

    version: int


@frozen
class StepRejected:
    """The step number is not above the last one, or the step is open with other content."""

    last_step: int


@frozen
class SlotsFilled:
    """The slots whose fills were accepted, and those whose fills were duplicate or stale."""

    taken: list[int]
    dropped: list[int]


@frozen
class Delivery:
    """The answer to a pull.

    :param handed: positions that are handed over and not acknowledged.
    :param next_position: cursor that acknowledges all of them.
    :param version: the trainer's current version.
    :param open_slots: samples of the step that are not handed over yet.
    """

    handed: list[Handed]
    next_position: int
    version: int
    open_slots: int
    done: bool


@frozen
class PullRejected:
    """The pull is outdated, its cursor is out of range, or no such step is open.

    :param known: whether the step is open.
    :param pull: number of the last pull that was answered.
    """

    known: bool
    pull: int


@define
class StepState:
    """A step in progress.

    :param filled: samples to hand over, by slot.
    :param handed: positions handed over and not acknowledged, from `first_position` on.
    :param acknowledged: number of samples that the trainer acknowledged.
    :param delivered: slots of these samples.
    :param reopened: number of times that a slot was reopened.
    """

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
    """A trainer's published version and its open steps, by step number."""

    version: int = 0
    steps: dict[str, StepState] = field(factory=dict)
    last_step: int = -1


@define
class LedgerState:
    """The state of all trainers, by name."""

    trainers: dict[str, TrainerState] = field(factory=dict)


class Ledger:
    """Applies ledger commands to the state.

    `changes` counts the changes that members must learn of; an increase ends their long polls.
    """

    def __init__(self, state: LedgerState | None = None) -> None:
        self.state = state or LedgerState()
        self.changes = 0

    def trainer(self, name: str) -> TrainerState:
        """Return a trainer's state, which is created on first use."""
        return self.state.trainers.setdefault(name, TrainerState())

    def step(self, trainer: str, step: int) -> StepState | None:
        """Return an open step, or None."""
        return self.trainer(trainer).steps.get(str(step))

    def publish(self, trainer: str, version: int) -> int:
        """Raise a trainer's version, reopen stale slots, and return the version in force."""
        state = self.trainer(trainer)
        state.version = max(state.version, version)
        self.changes += 1
        for step in state.steps.values():
            self.reopen_stale(step, state.version)
        return state.version

    def open_step(self, spec: StepSpec, owner: str, incarnation: str) -> StepOpened | StepRejected:
        """Open a step; repeating the same request is idempotent."""
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
        """Change a step's owner if the current incarnation is the expected one.

        Return whether the given incarnation owns the step afterwards.
        """
        state = self.step(trainer, step)
        if state is None:
            return False
        if state.owner_incarnation == expected:
            state.owner = owner
            state.owner_incarnation = incarnation
            self.changes += 1
        return state.owner_incarnation == incarnation

    def fill(self, trainer: str, step: int, fills: list[Fill]) -> SlotsFilled:
        """Fill open slots; duplicate and stale samples are dropped."""
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
        """Return whether a slot is open, or already filled by this attempt."""
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
        """Drop filled samples that exceed the staleness bound, which reopens their slots."""
        for slot, fill in list(state.filled.items()):
            if not self.is_fresh(state, fill, version):
                del state.filled[slot]
                self.count_reopened(state)

    def hand_over(
        self, trainer: str, step: int, cursor: int, pull: int, max_handed: int, lost: list[str]
    ) -> Delivery | PullRejected:
        """Acknowledge the positions below a cursor and hand over further samples.

        :param cursor: first position that the trainer has not received.
        :param pull: number of the pull; pulls older than the last one are rejected.
        :param max_handed: maximum number of positions handed over and not acknowledged.
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
        self.reopen_lost(state, set(lost))
        self.reopen_stale(state, version)
        while len(state.handed) < max_handed:
            fill = self.next_ready(state)
            if fill is None:
                break
            del state.filled[str(fill.slot)]
            position = state.first_position + len(state.handed)
            state.handed.append(Handed(position, fill))
        return self.build_delivery(state, version)

    def build_delivery(self, state: StepState, version: int) -> Delivery:
        """Build the answer to a pull from the state of its step."""
        handed_count = sum(1 for handed in state.handed if handed.fill is not None)
        open_slots = state.spec.slots - state.acknowledged - handed_count
        next_position = state.first_position + len(state.handed)
        return Delivery(list(state.handed), next_position, version, open_slots, state.is_done())

    def acknowledge(self, state: StepState, cursor: int) -> None:
        """Record that the trainer has received all positions below the cursor."""
        count = cursor - state.first_position
        for handed in state.handed[:count]:
            if handed.fill is not None:
                state.acknowledged += 1
                state.delivered.append(handed.fill.slot)
        del state.handed[:count]
        state.first_position = cursor

    def void_unusable(self, state: StepState, version: int, lost: set[str]) -> None:
        """Void handed positions with a stale sample or a lost payload, which reopens the slots."""
        for index, handed in enumerate(state.handed):
            fill = handed.fill
            if fill is None:
                continue
            if fill.attempt in lost or not self.is_fresh(state, fill, version):
                state.handed[index] = Handed(handed.position, None)
                self.count_reopened(state)

    def reopen_lost(self, state: StepState, lost: set[str]) -> None:
        """Drop filled samples whose payload is lost, which reopens their slots."""
        for slot, fill in list(state.filled.items()):
            if fill.attempt in lost:
                del state.filled[slot]
                self.count_reopened(state)

    def count_reopened(self, state: StepState) -> None:
        """Count a reopened slot, so that control notifies the step's owner."""
        state.reopened += 1
        self.changes += 1

    def next_ready(self, state: StepState) -> Fill | None:
        """Return the next sample to hand over; with `whole_groups`, only of a complete group."""
        for fill in state.filled.values():
            if not state.spec.whole_groups or self.is_group_complete(state, fill.slot):
                return fill
        return None

    def is_group_complete(self, state: StepState, slot: int) -> bool:
        """Return whether all samples of a slot's group are filled, handed over or acknowledged."""
        first = slot - slot % state.spec.group_size
        handed_slots = {handed.fill.slot for handed in state.handed if handed.fill is not None}
        return all(
            str(member) in state.filled or member in handed_slots or member in state.delivered
            for member in range(first, first + state.spec.group_size)
        )

    def close(self, trainer: str, step: int) -> bool:
        """Delete a step; return whether it was open."""
        self.changes += 1
        return self.trainer(trainer).steps.pop(str(step), None) is not None

    def expire(self, now_ms: int) -> list[tuple[str, int]]:
        """Delete steps whose deadline has passed; return their trainers and numbers."""
        expired = []
        for name, trainer in self.state.trainers.items():
            for key, step in list(trainer.steps.items()):
                if step.spec.expires_at_ms <= now_ms:
                    del trainer.steps[key]
                    expired.append((name, int(key)))
        return expired

    def open_slots(self, state: StepState) -> list[int]:
        """Return the slots without a sample."""
        taken = {handed.fill.slot for handed in state.handed if handed.fill is not None}
        taken.update(state.delivered)
        taken.update(int(slot) for slot in state.filled)
        return [slot for slot in range(state.spec.slots) if slot not in taken]
