"""A simulated trainer's step on committed state, with faults at numbered injection points."""

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
from tests.world import EntryCrash, FakeSite

RESULT_HELD = "held"
SLOTS = 4
STALENESS_BOUND = 1
MAX_ROUNDS = 40
FAULTS = (
    "call lost",
    "answer lost",
    "entry crash",
    "payloads lost",
    "version published",
    "pull delayed",
    "duplicate attempt",
    "late duplicate",
)


@define
class FakeInterface(TrainerInterface):
    """The trainers' interface of an entry, with the payloads of a simulated sidecar."""

    entry: object
    payloads: dict = field(factory=dict)

    def __attrs_pre_init__(self):
        pass

    async def find_payload(self, fill):
        return self.payloads.get(fill.attempt)

    async def propose(self, request, command):
        return await self.entry.control.propose(command, 0.0)


@define
class StepSite(FakeSite):
    """A simulated trainer, its step and the engines' weight version."""

    engine_version: int = 0
    trainer_version: int = 0
    payloads: dict = field(factory=dict)
    received_slots: list = field(factory=list)
    attempts: int = 0
    pulls: int = 0
    violations: list = field(factory=list)
    delayed_pulls: list = field(factory=list)
    delayed_fills: list = field(factory=list)

    def create_interface(self):
        """Create the interface of an entry without state of earlier pulls."""
        entry = SimpleNamespace(
            control=self,
            link=SimpleNamespace(is_fresh=True),
            fill_event=lambda key: asyncio.Event(),
        )
        return FakeInterface(entry, self.payloads)

    async def inject_fault(self, kind):
        """Count an injection point; inject the faults that are not specific to a call."""
        fault = await self.next_fault(kind)
        if fault == "payloads lost":
            self.payloads.clear()
        if fault == "version published":
            self.trainer_version += 1
            self.engine_version = self.trainer_version
            self.commit(c.Publish("t", "m", self.trainer_version))
        return fault

    async def propose(self, command, deadline):
        fault = await self.inject_fault("control")
        if fault == "call lost":
            return not_run(Reason.NO_QUORUM)
        result = self.commit(command)
        # An entry that gets no answer repeats the command, so that it is committed twice.
        return self.commit(command) if fault == "answer lost" else result

    def generate(self, slot):
        """Generate one sample, with a change of weights in its middle unless at version 0."""
        self.attempts += 1
        name = f"attempt-{self.attempts}"
        segments = [Segment(0, max(0, self.engine_version - 1)), Segment(2, self.engine_version)]
        self.payloads[name] = Payload(name, f"slot {slot}", 4, segments)
        return Fill(slot, name, "one", segments, 4)

    async def fill_open_slots(self):
        """Generate samples for the open slots, as the step's owner does."""
        state = self.state.ledger.step("t", 0)
        for slot in self.state.ledger.open_slots(state):
            fills = [self.generate(slot)]
            fault = await self.inject_fault("generate")
            if fault == "duplicate attempt":
                fills.append(self.generate(slot))
            if fault == "late duplicate":
                self.delayed_fills.append(self.generate(slot))
            await self.propose(c.FillSlots("t", 0, fills), 0.0)

    async def pull(self, cursor):
        """Send a pull as the trainer's client does; return the answer, None if it is lost."""
        self.pulls += 1
        pull = Pull("t", 0, cursor, self.pulls, 2, 0.0)
        fault = await self.inject_fault("pull")
        if fault == "pull delayed":
            self.delayed_pulls.append(pull)
            return None
        answer = await self.create_interface().pull(None, pull)
        if fault in ("answer lost", "call lost"):
            return None
        return answer

    def receive(self, answer):
        """Receive an answer as the trainer does, and check its staleness."""
        for item in answer.delivery.handed:
            if item.fill is None:
                continue
            payload = answer.payloads[item.fill.attempt]
            oldest = min(segment.version for segment in payload.segments)
            if self.trainer_version - oldest > STALENESS_BOUND:
                self.violations.append(
                    f"slot {item.fill.slot} is {self.trainer_version - oldest} versions stale"
                )
            self.received_slots.append(item.fill.slot)

    async def run(self):
        """Run the step until it is done or the rounds are used up."""
        spec = StepSpec("t", 0, ["p", "q"], 2, STALENESS_BOUND, 4, False)
        self.commit(c.OpenStep(spec, "entry", "i", 10_000_000))
        cursor = 0
        for _ in range(MAX_ROUNDS):
            try:
                await self.fill_open_slots()
                answer = await self.pull(cursor)
            except EntryCrash:
                continue
            for pull in self.delayed_pulls:
                with suppress(EntryCrash):
                    await self.create_interface().pull(None, pull)
            self.delayed_pulls.clear()
            self.commit(c.FillSlots("t", 0, self.delayed_fills))
            self.delayed_fills.clear()
            if not isinstance(answer, PullResult):
                assert answer is None or isinstance(answer, Refusal)
                continue
            self.receive(answer)
            cursor = answer.delivery.next_position
            if answer.delivery.done:
                return
        self.violations.append(f"step not done after {MAX_ROUNDS} rounds")


def run_step(faults, site_class=StepSite):
    """Run a step with faults by injection point.

    Return the site and RESULT_HELD or the violation.
    """
    site = site_class(dict(faults))
    asyncio.run(site.run())
    if site.violations:
        return site, site.violations[0]
    if sorted(site.received_slots) != list(range(SLOTS)):
        return site, f"trainer received slots {sorted(site.received_slots)}"
    return site, RESULT_HELD


def single_faults():
    site, result = run_step([])
    assert result == RESULT_HELD, result
    return [(at, fault) for at in range(len(site.injection_points)) for fault in FAULTS]


def pairs_of_faults():
    for first in single_faults():
        site, _ = run_step([first])
        for at in range(first[0] + 1, len(site.injection_points)):
            for fault in FAULTS:
                yield first, (at, fault)
