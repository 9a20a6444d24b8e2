"""Runs a scenario under a policy: steps of a trainer beside interactive calls."""

from __future__ import annotations

import itertools
import random
from collections import deque
from functools import partial
from statistics import mean

from attrs import define, field, frozen

from apricotvale.experiments.model import Clock, EngineModel, FakeEngine, Job
from apricotvale.experiments.policies import Policy
from apricotvale.hashing import hash64
from apricotvale.outcomes import Refusal
from apricotvale.requests.routing import Router
from apricotvale.samples.dispatch import Attempt, StepPlan, staleness_handicap
from apricotvale.samples.ledger import StepSpec
from apricotvale.settings.schema import Routing, TrafficClass

EXTRA_PER_ENGINE = 2
TICK_S = 0.1
INTERACTIVE_TOKENS = 16
LENGTH_SHAPE = 1.6
LENGTH_SHARE = 0.1
MOST_S = 100_000.0


@frozen
class Scenario:
    """A load and what goes wrong.

    :param prompts: prompts in a step.
    :param group_size: samples of a prompt.
    :param max_tokens: longest sample.
    :param steps: steps of the trainer.
    :param train_s: time that the trainer works on a step.
    :param calls_per_s: interactive calls a second.
    :param slow_engines: engines that run at a third of the speed.
    :param lose_at_s: time into the second step at which an engine is lost; 0 is never.
    :param swaps: whether new weights interrupt the engines in each step.
    """

    name: str
    model: EngineModel = EngineModel()
    prompts: int = 64
    group_size: int = 4
    max_tokens: int = 512
    steps: int = 4
    train_s: float = 10.0
    calls_per_s: float = 4.0
    slow_engines: int = 0
    lose_at_s: float = 0.0
    swaps: bool = False
    samples: bool = True


@define
class Outcome:
    """What a run measured."""

    step_s: list[float] = field(factory=list)
    bound_s: list[float] = field(factory=list)
    idle_share: float = 0.0
    staleness: list[int] = field(factory=list)
    wasted_share: float = 0.0
    interactive_s: list[float] = field(factory=list)
    interactive_failed: int = 0


class Run:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.rng = random.Random(seed)
        self.lengths = random.Random(seed + 1)
        self.clock = Clock()
        self.engines = {
            f"engine-{at}": FakeEngine(
                f"engine-{at}",
                scenario.model,
                self.clock,
                policy.reserve_percent,
                policy.preempts,
            )
            for at in range(scenario.model.engines)
        }
        for engine in list(self.engines.values())[: scenario.slow_engines]:
            engine.slowness = 3.0
        self.router = Router("domain", Routing(), random.Random(seed + 2))
        self.outcome = Outcome()
        self.turn = itertools.count()
        self.version = 0
        self.useful = 0.0
        self.plan: StepPlan | None = None
        self.jobs: dict[str, tuple[FakeEngine, Job]] = {}
        self.over = False

    def execute(self) -> Outcome:
        """Run the scenario to its end."""
        self.clock.after(0.0, self.call)
        idle = busy = 0.0
        for step in range(self.scenario.steps):
            started = self.clock.now
            if self.scenario.samples:
                self.run_step(step)
                taken = self.clock.now - started
                self.outcome.step_s.append(taken)
                idle += taken
            self.train()
            busy += self.scenario.train_s
        self.over = True
        self.outcome.idle_share = idle / (idle + busy)
        generated = sum(engine.generated for engine in self.engines.values())
        self.outcome.wasted_share = max(0.0, 1 - self.useful / max(1.0, generated))
        return self.outcome

    def train(self) -> None:
        """Let the trainer work, and publish."""
        done = []
        self.clock.after(self.scenario.train_s, lambda: done.append(True))
        self.clock.run(lambda: bool(done), MOST_S)
        self.version += 1
        if not self.scenario.swaps:
            for engine in self.engines.values():
                engine.version = self.version
        else:
            for at, engine in enumerate(self.engines.values()):
                self.clock.after(at * 2.0, partial(self.swap, engine, self.version))

    def swap(self, engine: FakeEngine, version: int) -> None:
        """Load a version: all sequences of the engine pause for a second."""
        engine.version = max(engine.version, version)
        for job in [job for job in engine.jobs.values() if job.ticket and job.ticket.running]:
            engine.progress(job)
            epoch = job.epoch
            left_s = 1.0 + (job.tokens - job.done) * job.rate_s
            job.resumed_at = self.clock.now + 1.0
            self.clock.after(left_s, partial(engine.finish, job, epoch))

    # -- samples

    def run_step(self, step: int) -> None:
        """Generate one step."""
        scenario = self.scenario
        prompts = [f"{step}/{at}" for at in range(scenario.prompts)]
        spec = StepSpec("t", step, prompts, scenario.group_size, 2, scenario.max_tokens, False)
        lengths = [self.length() for _ in range(spec.slots)]
        self.outcome.bound_s.append(self.bound(lengths))
        self.plan = plan = StepPlan(spec, self.version, deque(range(spec.slots)))
        if scenario.lose_at_s and step == 1:
            self.clock.after(scenario.lose_at_s, self.lose_engine)
        self.dispatch(plan, lengths)
        self.clock.run(lambda: len(plan.filled) == spec.slots, MOST_S)
        for engine, job in list(self.jobs.values()):
            engine.cancel(job)
        self.jobs.clear()
        self.plan = None

    def length(self) -> int:
        """Return a heavy-tailed length."""
        most = self.scenario.max_tokens
        draw = self.lengths.paretovariate(LENGTH_SHAPE) * LENGTH_SHARE
        return max(1, min(most, int(most * draw)))

    def bound(self, lengths: list[int]) -> float:
        """Return the least time of a step with perfect knowledge and nothing else to do.

        Total work over total capacity, or the longest sample alone, whichever is more.
        """
        model = self.scenario.model
        slow = self.scenario.slow_engines
        speed = (model.engines - slow) + slow / 3.0
        step_s = model.step_s * (1 + model.batch_cost)
        return max(sum(lengths) * step_s / (speed * model.slots), max(lengths) * model.step_s)

    def dispatch(self, plan: StepPlan, lengths: list[int]) -> None:
        """Keep the engines supplied until the step is whole."""
        if self.plan is not plan:
            return
        engines = [engine for engine in self.engines.values() if not engine.lost]
        per_engine = engines[0].admission.sample_slots() + EXTRA_PER_ENGINE
        while len(plan.running) < per_engine * len(engines):
            slot = plan.next_slot()
            if slot is None:
                break
            self.place(plan, slot, lengths, set())
        if self.policy.repeats:
            for slow in plan.stragglers(self.clock.now):
                self.place(plan, slow.slot, lengths, {slow.upstream})
                plan.repeats += 1
        self.clock.after(TICK_S, lambda: self.dispatch(plan, lengths))

    def place(self, plan: StepPlan, slot: int, lengths: list[int], excluded: set[str]) -> None:
        """Send one sample to an engine."""
        prompt = plan.spec.prompts[slot // plan.spec.group_size]
        engine = self.choose(prompt, excluded, is_sample=True)
        if engine is None:
            return
        name = f"{slot}/{next(plan.counter)}"
        attempt = plan.begin(slot, name, engine.name, engine.version, self.clock.now)
        member = engine.member
        self.router.begin(member)

        def end(made: bool) -> None:
            self.router.end(member)
            self.jobs.pop(name, None)
            plan.end(attempt, made, self.clock.now)
            if made:
                taken_s = self.clock.now - attempt.started_at
                self.router.observe(member, taken_s, lengths[slot])
                self.fill(plan, attempt, lengths[slot])

        job = Job(TrafficClass.SAMPLE, prompt, lengths[slot], end)
        self.jobs[name] = (engine, job)
        engine.submit(job)

    def fill(self, plan: StepPlan, attempt: Attempt, tokens: int) -> None:
        """Fill a slot and stop its twins."""
        if attempt.slot in plan.filled:
            return
        plan.note_filled([attempt.slot], [])
        self.useful += tokens
        self.outcome.staleness.append(max(0, plan.version - attempt.version))
        for twin in plan.twins(attempt.slot):
            engine, job = self.jobs.pop(twin.name)
            engine.cancel(job)
            self.router.end(engine.member)
            plan.running.pop(twin.name, None)

    def lose_engine(self) -> None:
        """Lose the last engine."""
        list(self.engines.values())[-1].lose()

    # -- choice

    def choose(self, prompt: str, excluded: set[str], is_sample: bool = False) -> FakeEngine | None:
        """Choose an engine by the policy."""
        engines = [
            engine
            for engine in self.engines.values()
            if not engine.lost and engine.name not in excluded
        ]
        if not engines:
            return None
        match self.policy.choice:
            case "random":
                return self.rng.choice(engines)
            case "round robin":
                return engines[next(self.turn) % len(engines)]
            case "least in flight":
                loads = self.router.loads
                return min(
                    engines,
                    key=lambda e: (
                        loads[e.name].in_flight if e.name in loads else 0,
                        self.rng.random(),
                    ),
                )
        affinity = f"{hash64(prompt):x}" if self.policy.affinity else ""
        members = [engine.member for engine in engines]
        by_version = staleness_handicap(
            max(engine.version for engine in engines),
            self.scenario.model.slots,
            self.policy.idle_weight,
            self.policy.staleness_weight if is_sample else 0,
        )
        choice = self.router.choose(
            members, self.clock.now, affinity, handicap=lambda m: by_version(m.models["m"])
        )
        assert not isinstance(choice, Refusal)
        return self.engines[choice.member.name]

    # -- interactive calls

    def call(self) -> None:
        """Make one interactive call and plan the next."""
        if self.over:
            return
        self.clock.after(self.rng.expovariate(self.scenario.calls_per_s), self.call)
        self.ask(f"call {next(self.turn)}", self.clock.now, 0)

    def ask(self, prompt: str, started: float, tries: int) -> None:
        """Send a call, again elsewhere if its engine is lost."""
        engine = self.choose(prompt, set())
        if engine is None or tries > 3:
            self.outcome.interactive_failed += 1
            return
        member = engine.member
        self.router.begin(member)

        def end(made: bool) -> None:
            self.router.end(member)
            if made:
                self.useful += INTERACTIVE_TOKENS
                self.outcome.interactive_s.append(self.clock.now - started)
            else:
                self.ask(prompt, started, tries + 1)

        traffic_class = TrafficClass.INTERACTIVE if self.policy.priority else TrafficClass.SAMPLE
        engine.submit(Job(traffic_class, prompt, INTERACTIVE_TOKENS, end))


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of values, 0 of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def summarise(outcomes: list[Outcome], alone: list[Outcome]) -> dict[str, float]:
    """Return the figures of several seeds; `alone` are runs without samples."""
    ratios = [
        taken / bound
        for outcome in outcomes
        for taken, bound in zip(outcome.step_s, outcome.bound_s, strict=True)
    ]
    calls = [value for outcome in outcomes for value in outcome.interactive_s]
    calls_alone = [value for outcome in alone for value in outcome.interactive_s]
    p99, p99_alone = quantile(calls, 0.99), quantile(calls_alone, 0.99)
    return {
        "step_ratio_mean": round(mean(ratios), 3),
        "step_ratio_max": round(max(ratios), 3),
        "step_p50_s": round(quantile([s for o in outcomes for s in o.step_s], 0.5), 2),
        "step_p99_s": round(quantile([s for o in outcomes for s in o.step_s], 0.99), 2),
        "idle_share": round(mean(outcome.idle_share for outcome in outcomes), 4),
        "staleness_mean": round(mean(s for o in outcomes for s in o.staleness), 3),
        "staleness_max": max(s for o in outcomes for s in o.staleness),
        "wasted_share": round(mean(outcome.wasted_share for outcome in outcomes), 4),
        "call_p50_s": round(quantile(calls, 0.5), 3),
        "call_p99_s": round(p99, 3),
        "call_p999_s": round(quantile(calls, 0.999), 3),
        "call_p99_ratio": round(p99 / p99_alone, 3),
        "calls_failed": sum(outcome.interactive_failed for outcome in outcomes),
    }
