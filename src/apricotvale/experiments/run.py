"""Simulates a scenario under a policy: trainer steps and concurrent interactive calls."""

from __future__ import annotations

import itertools
import random
from collections import deque
from functools import partial
from statistics import mean

from attrs import define, field, frozen

from apricotvale.experiments.model import Clock, EngineModel, SimulatedEngine, SimulatedRequest
from apricotvale.experiments.policies import Policy
from apricotvale.hashing import hash64
from apricotvale.outcomes import Refusal
from apricotvale.requests.routing import Router
from apricotvale.samples.dispatch import Attempt, StepPlan, staleness_cost
from apricotvale.samples.ledger import StepSpec
from apricotvale.settings.routing import Routing
from apricotvale.settings.schema import TrafficClass

QUEUED_SAMPLES_PER_ENGINE = 2
DISPATCH_INTERVAL_S = 0.1
INTERACTIVE_TOKENS = 16
LENGTH_PARETO_SHAPE = 1.6
MIN_LENGTH_SHARE = 0.1
MAX_VIRTUAL_TIME_S = 100_000.0


@frozen
class Scenario:
    """A load and the faults in it.

    :param model: properties of the engines.
    :param prompts: number of prompts per step.
    :param group_size: samples per prompt.
    :param max_tokens: maximum tokens per sample.
    :param steps: number of trainer steps.
    :param train_s: training time per step, in seconds.
    :param calls_per_s: interactive calls per second.
    :param slow_engines: number of engines that run at a third of the speed.
    :param crash_at_s: seconds into the second step at which an engine crashes; 0 for never.
    :param swaps: whether loads of new weights pause the engines in each step.
    :param samples: whether samples are generated; otherwise only calls are made.
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
    crash_at_s: float = 0.0
    swaps: bool = False
    samples: bool = True


@define
class RunResult:
    """Measurements of a run.

    :param step_s: durations of the steps.
    :param lower_bound_s: lower bounds of the durations of the steps.
    :param idle_share: share of the time that the trainer waited for samples.
    :param staleness: versions that each sample was behind the trainer.
    :param wasted_share: share of the generated tokens that no sample or call used.
    :param interactive_latency_s: latencies of the interactive calls.
    :param interactive_failed: interactive calls that failed.
    """

    step_s: list[float] = field(factory=list)
    lower_bound_s: list[float] = field(factory=list)
    idle_share: float = 0.0
    staleness: list[int] = field(factory=list)
    wasted_share: float = 0.0
    interactive_latency_s: list[float] = field(factory=list)
    interactive_failed: int = 0


class Run:
    """A seeded run of a scenario under a policy."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.rng = random.Random(seed)
        self.length_rng = random.Random(seed + 1)
        self.clock = Clock()
        self.engines = {
            f"engine-{index}": SimulatedEngine(
                f"engine-{index}",
                scenario.model,
                self.clock,
                policy.reserve_percent,
                policy.preempts,
            )
            for index in range(scenario.model.engines)
        }
        for engine in list(self.engines.values())[: scenario.slow_engines]:
            engine.slowdown = 3.0
        self.router = Router("domain", Routing(), random.Random(seed + 2))
        self.result = RunResult()
        self.counter = itertools.count()
        self.version = 0
        self.useful_tokens = 0.0
        self.plan: StepPlan | None = None
        self.requests: dict[str, tuple[SimulatedEngine, SimulatedRequest]] = {}
        self.finished = False

    def execute(self) -> RunResult:
        """Run the scenario to its end and return the measurements."""
        self.clock.schedule(0.0, self.start_call)
        idle_s = busy_s = 0.0
        for step in range(self.scenario.steps):
            started = self.clock.now
            if self.scenario.samples:
                self.run_step(step)
                elapsed_s = self.clock.now - started
                self.result.step_s.append(elapsed_s)
                idle_s += elapsed_s
            self.train()
            busy_s += self.scenario.train_s
        self.finished = True
        self.result.idle_share = idle_s / (idle_s + busy_s)
        generated = sum(engine.total_tokens for engine in self.engines.values())
        self.result.wasted_share = max(0.0, 1 - self.useful_tokens / max(1.0, generated))
        return self.result

    def train(self) -> None:
        """Simulate the training time, then publish a version to the engines.

        With `swaps` the engines load it one after another, 2 s apart.
        """
        done = []
        self.clock.schedule(self.scenario.train_s, lambda: done.append(True))
        self.clock.run(lambda: bool(done), MAX_VIRTUAL_TIME_S)
        self.version += 1
        if not self.scenario.swaps:
            for engine in self.engines.values():
                engine.version = self.version
        else:
            for index, engine in enumerate(self.engines.values()):
                self.clock.schedule(index * 2.0, partial(self.swap, engine, self.version))

    def swap(self, engine: SimulatedEngine, version: int) -> None:
        """Load a version; all running sequences of the engine pause for 1 s."""
        engine.version = max(engine.version, version)
        for request in [
            request
            for request in engine.requests.values()
            if request.ticket and request.ticket.running
        ]:
            engine.update_progress(request)
            epoch = request.epoch
            remaining_s = 1.0 + (request.tokens - request.generated_tokens) * request.token_s
            request.resumed_at = self.clock.now + 1.0
            self.clock.schedule(remaining_s, partial(engine.complete, request, epoch))

    # Samples

    def run_step(self, step: int) -> None:
        """Generate the samples of a step; cancel what still runs when all slots are filled."""
        scenario = self.scenario
        prompts = [f"{step}/{index}" for index in range(scenario.prompts)]
        spec = StepSpec("t", step, prompts, scenario.group_size, 2, scenario.max_tokens, False)
        lengths = [self.sample_length() for _ in range(spec.slots)]
        self.result.lower_bound_s.append(self.step_lower_bound(lengths))
        self.plan = plan = StepPlan(spec, self.version, deque(range(spec.slots)))
        if scenario.crash_at_s and step == 1:
            self.clock.schedule(scenario.crash_at_s, self.crash_engine)
        self.dispatch(plan, lengths)
        self.clock.run(lambda: len(plan.filled) == spec.slots, MAX_VIRTUAL_TIME_S)
        for engine, request in list(self.requests.values()):
            engine.cancel(request)
        self.requests.clear()
        self.plan = None

    def sample_length(self) -> int:
        """Return a heavy-tailed sample length in tokens."""
        max_tokens = self.scenario.max_tokens
        draw = self.length_rng.paretovariate(LENGTH_PARETO_SHAPE) * MIN_LENGTH_SHARE
        return max(1, min(max_tokens, int(max_tokens * draw)))

    def step_lower_bound(self, lengths: list[int]) -> float:
        """Return a lower bound of a step's duration, without other load, in seconds.

        It is the total work over the total capacity or the time of the longest sample alone,
        whichever is greater.
        """
        model = self.scenario.model
        slow_engines = self.scenario.slow_engines
        speed = (model.engines - slow_engines) + slow_engines / 3.0
        step_s = model.step_s * (1 + model.batch_slowdown)
        return max(sum(lengths) * step_s / (speed * model.slots), max(lengths) * model.step_s)

    def dispatch(self, plan: StepPlan, lengths: list[int]) -> None:
        """Send open slots to the engines and repeat stragglers, until the step is complete."""
        if self.plan is not plan:
            return
        engines = [engine for engine in self.engines.values() if not engine.crashed]
        per_engine = engines[0].admission.sample_slots() + QUEUED_SAMPLES_PER_ENGINE
        while len(plan.running) < per_engine * len(engines):
            slot = plan.next_slot()
            if slot is None:
                break
            self.send_sample(plan, slot, lengths, set())
        if self.policy.repeats:
            for straggler in plan.stragglers(self.clock.now):
                self.send_sample(plan, straggler.slot, lengths, {straggler.upstream})
                plan.repeats += 1
        self.clock.schedule(DISPATCH_INTERVAL_S, lambda: self.dispatch(plan, lengths))

    def send_sample(
        self, plan: StepPlan, slot: int, lengths: list[int], excluded: set[str]
    ) -> None:
        """Send one sample to an engine."""
        prompt = plan.spec.prompts[slot // plan.spec.group_size]
        engine = self.choose(prompt, excluded, is_sample=True)
        if engine is None:
            return
        name = f"{slot}/{next(plan.counter)}"
        attempt = plan.begin(slot, name, engine.name, engine.version, self.clock.now)
        member = engine.member
        self.router.begin(member)

        def on_end(completed: bool) -> None:
            self.router.end(member)
            self.requests.pop(name, None)
            plan.end(attempt, completed, self.clock.now)
            if completed:
                elapsed_s = self.clock.now - attempt.started_at
                self.router.observe(member, elapsed_s, lengths[slot])
                self.fill_slot(plan, attempt, lengths[slot])

        request = SimulatedRequest(TrafficClass.SAMPLE, prompt, lengths[slot], on_end)
        self.requests[name] = (engine, request)
        engine.submit(request)

    def fill_slot(self, plan: StepPlan, attempt: Attempt, tokens: int) -> None:
        """Fill a slot and cancel the other attempts at it."""
        if attempt.slot in plan.filled:
            return
        plan.record_fill_result([attempt.slot], [])
        self.useful_tokens += tokens
        self.result.staleness.append(max(0, plan.version - attempt.version))
        for other in plan.running_attempts(attempt.slot):
            engine, request = self.requests.pop(other.name)
            engine.cancel(request)
            self.router.end(engine.member)
            plan.running.pop(other.name, None)

    def crash_engine(self) -> None:
        """Crash the last engine."""
        list(self.engines.values())[-1].crash()

    # Engine choice

    def choose(
        self, prompt: str, excluded: set[str], is_sample: bool = False
    ) -> SimulatedEngine | None:
        """Choose an engine by the policy; return None if none is available."""
        engines = [
            engine
            for engine in self.engines.values()
            if not engine.crashed and engine.name not in excluded
        ]
        if not engines:
            return None
        match self.policy.choice:
            case "random":
                return self.rng.choice(engines)
            case "round robin":
                return engines[next(self.counter) % len(engines)]
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
        version_cost = staleness_cost(
            max(engine.version for engine in engines),
            self.scenario.model.slots,
            self.policy.idle_weight,
            self.policy.staleness_weight if is_sample else 0,
        )
        choice = self.router.choose(
            members, self.clock.now, affinity, extra_cost=lambda m: version_cost(m.models["m"])
        )
        assert not isinstance(choice, Refusal)
        return self.engines[choice.member.name]

    # Interactive calls

    def start_call(self) -> None:
        """Send an interactive call and schedule the next."""
        if self.finished:
            return
        self.clock.schedule(self.rng.expovariate(self.scenario.calls_per_s), self.start_call)
        self.send_call(f"call {next(self.counter)}", self.clock.now, 0)

    def send_call(self, prompt: str, started: float, retries: int) -> None:
        """Send a call; retry it, three times at most, if its engine refuses it or crashes."""
        engine = self.choose(prompt, set())
        if engine is None or retries > 3:
            self.result.interactive_failed += 1
            return
        member = engine.member
        self.router.begin(member)

        def on_end(completed: bool) -> None:
            self.router.end(member)
            if completed:
                self.useful_tokens += INTERACTIVE_TOKENS
                self.result.interactive_latency_s.append(self.clock.now - started)
            else:
                self.send_call(prompt, started, retries + 1)

        traffic_class = TrafficClass.INTERACTIVE if self.policy.priority else TrafficClass.SAMPLE
        engine.submit(SimulatedRequest(traffic_class, prompt, INTERACTIVE_TOKENS, on_end))


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of the values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0.0


def summarise(results: list[RunResult], baselines: list[RunResult]) -> dict[str, float]:
    """Return the figures of a policy over several seeds.

    :param results: runs with samples.
    :param baselines: runs of the same seeds without samples.
    """
    ratios = [
        elapsed_s / lower_bound_s
        for result in results
        for elapsed_s, lower_bound_s in zip(result.step_s, result.lower_bound_s, strict=True)
    ]
    calls = [latency_s for result in results for latency_s in result.interactive_latency_s]
    baseline_calls = [
        latency_s for result in baselines for latency_s in result.interactive_latency_s
    ]
    p99, baseline_p99 = quantile(calls, 0.99), quantile(baseline_calls, 0.99)
    return {
        "step_ratio_mean": round(mean(ratios), 3),
        "step_ratio_max": round(max(ratios), 3),
        "step_p50_s": round(quantile([s for o in results for s in o.step_s], 0.5), 2),
        "step_p99_s": round(quantile([s for o in results for s in o.step_s], 0.99), 2),
        "idle_share": round(mean(result.idle_share for result in results), 4),
        "staleness_mean": round(mean(s for o in results for s in o.staleness), 3),
        "staleness_max": max(s for o in results for s in o.staleness),
        "wasted_share": round(mean(result.wasted_share for result in results), 4),
        "call_p50_s": round(quantile(calls, 0.5), 3),
        "call_p99_s": round(p99, 3),
        "call_p999_s": round(quantile(calls, 0.999), 3),
        "call_p99_ratio": round(p99 / baseline_p99, 3),
        "calls_failed": sum(result.interactive_failed for result in results),
    }
