"""A trainer's step on committed state, under every fault at every crossing."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from types import SimpleNamespace

from attrs import define, field

from apricotvale.control import commands as c
from apricotvale.daemons.trainers import Pull, PullResult, TrainerInterface
from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.samples.ledger import Fill, Segment, StepSpec
from apricotvale.samples.store import Payload
from tests.world import EntryCrash, World

RESULT_HELD = "held"
SLOTS = 4
BOUND = 1
ROUNDS = 40
FAULTS = (
    "call lost",
    "answer lost",
    "entry crash",
    "payloads lost",
    "version published",
    "pull delayed",
    "twin attempt",
    "late twin",
)


@define
class Interface(TrainerInterface):
    """The entry's side of a pull, with payloads kept by one sidecar."""

    entry: object
    payloads: dict = field(factory=dict)

    def __attrs_pre_init__(self):
        pass

    async def find_payload(self, fill):
        return self.payloads.get(fill.attempt)

    async def propose(self, request, command):
        return await self.entry.control.propose(command, 0.0)


@define
class StepWorld(World):
    """A trainer, its step and the engines' version."""

    engine_version: int = 0
    trainer_version: int = 0
    payloads: dict = field(factory=dict)
    taken: list = field(factory=list)
    attempts: int = 0
    pulls: int = 0
    broken: list = field(factory=list)
    old_pulls: list = field(factory=list)
    late_fills: list = field(factory=list)

    def interface(self):
        """Return a fresh entry: it remembers nothing."""
        entry = SimpleNamespace(
            control=self,
            link=SimpleNamespace(is_fresh=True),
            fill_event=lambda key: asyncio.Event(),
        )
        return Interface(entry, self.payloads)

    async def step_fault(self, kind):
        """Count a crossing and show the faults that are not a call's own."""
        fault = await self.cross(kind)
        if fault == "payloads lost":
            self.payloads.clear()
        if fault == "version published":
            self.trainer_version += 1
            self.engine_version = self.trainer_version
            self.commit(c.Publish("t", "m", self.trainer_version))
        return fault

    async def propose(self, command, deadline):
        fault = await self.step_fault("control")
        if fault == "call lost":
            return not_run(Reason.NO_QUORUM)
        result = self.commit(command)
        return self.commit(command) if fault == "answer lost" else result

    def generate(self, slot):
        """Generate one sample in the middle of which the weights may have changed."""
        self.attempts += 1
        name = f"attempt-{self.attempts}"
        segments = [Segment(0, max(0, self.engine_version - 1)), Segment(2, self.engine_version)]
        self.payloads[name] = Payload(name, f"slot {slot}", 4, segments)
        return Fill(slot, name, "one", segments, 4)

    async def fill_open(self):
        """Generate what the ledger says is open, as the step's owner does."""
        state = self.state.ledger.step("t", 0)
        for slot in self.state.ledger.open_slots(state):
            fills = [self.generate(slot)]
            fault = await self.step_fault("generate")
            if fault == "twin attempt":
                fills.append(self.generate(slot))
            if fault == "late twin":
                self.late_fills.append(self.generate(slot))
            await self.propose(c.FillSlots("t", 0, fills), 0.0)

    async def pull(self, cursor):
        """Pull as the trainer's client does; return the answer, None if it is lost."""
        self.pulls += 1
        pull = Pull("t", 0, cursor, self.pulls, 2, 0.0)
        fault = await self.step_fault("pull")
        if fault == "pull delayed":
            self.old_pulls.append(pull)
            return None
        answer = await self.interface().pull(None, pull)
        if fault in ("answer lost", "call lost"):
            return None
        return answer

    def take(self, answer):
        """Take an answer as the trainer does, and check it."""
        for item in answer.delivery.handed:
            if item.fill is None:
                continue
            payload = answer.payloads[item.fill.attempt]
            oldest = min(segment.version for segment in payload.segments)
            if self.trainer_version - oldest > BOUND:
                self.broken.append(f"slot {item.fill.slot} is {self.trainer_version - oldest} old")
            self.taken.append(item.fill.slot)

    async def run(self):
        """Run the step to its end."""
        spec = StepSpec("t", 0, ["p", "q"], 2, BOUND, 4, False)
        self.commit(c.OpenStep(spec, "entry", "i", 10_000_000))
        cursor = 0
        for _ in range(ROUNDS):
            try:
                await self.fill_open()
                answer = await self.pull(cursor)
            except EntryCrash:
                continue
            for pull in self.old_pulls:
                with suppress(EntryCrash):
                    await self.interface().pull(None, pull)
            self.old_pulls.clear()
            self.commit(c.FillSlots("t", 0, self.late_fills))
            self.late_fills.clear()
            if not isinstance(answer, PullResult):
                assert answer is None or isinstance(answer, Refusal)
                continue
            self.take(answer)
            cursor = answer.delivery.next_position
            if answer.delivery.done:
                return
        self.broken.append("the step did not end")


def run_step(faults, world_class=StepWorld):
    """Run a step with faults by crossing; return the world and 'held' or what broke."""
    world = world_class(dict(faults))
    asyncio.run(world.run())
    if world.broken:
        return world, world.broken[0]
    if sorted(world.taken) != list(range(SLOTS)):
        return world, f"the trainer got slots {sorted(world.taken)}"
    return world, RESULT_HELD


def single_faults():
    world, result = run_step([])
    assert result == RESULT_HELD, result
    return [(at, fault) for at in range(len(world.labels)) for fault in FAULTS]


def pairs_of_faults():
    for first in single_faults():
        world, _ = run_step([first])
        for at in range(first[0] + 1, len(world.labels)):
            for fault in FAULTS:
                yield first, (at, fault)
