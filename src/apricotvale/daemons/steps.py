"""Runs a step at the entry that owns it: dispatches samples and commits their fills."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import aiohttp

from apricotvale import events
from apricotvale.control import commands as c
from apricotvale.control.calls import StepOwnership
from apricotvale.daemons.runtime import TaskGroup, wait_event
from apricotvale.daemons.upstreams import Answer, SidecarRequest
from apricotvale.hashing import hash32, hash64
from apricotvale.membership.roster import Kind, Member, Standing
from apricotvale.outcomes import Refusal
from apricotvale.requests.routing import Choice
from apricotvale.samples.dispatch import Attempt, StepPlan, staleness_cost
from apricotvale.samples.ledger import Fill, SlotsFilled, StepSpec
from apricotvale.samples.store import Payload
from apricotvale.settings.schema import TrafficClass

DISPATCH_INTERVAL_S = 0.1
RETRY_DELAY_S = 0.1
FILL_TIMEOUT_S = 10.0
EXTRA_ATTEMPTS_PER_ENGINE = 2


class StepRunner:
    """Runs one step until it is closed, done or owned by another entry.

    :param entry: the entry that owns the step.
    :param version: the trainer's weight version.
    :param open_slots: slots of the step without a sample.

    `owned_at` is the monotonic time at which control last confirmed the ownership.
    """

    def __init__(self, entry: Any, spec: StepSpec, version: int, open_slots: list[int]) -> None:
        self.entry = entry
        self.spec = spec
        self.plan = StepPlan(spec, version, deque(open_slots))
        self.reopened_count = 0
        self.owned_at = time.monotonic()
        self.attempt_tasks: dict[str, asyncio.Task[Any]] = {}
        self.fills: list[Fill] = []
        self.wake = asyncio.Event()
        self.fills_queued = asyncio.Event()
        self.task: asyncio.Task[Any] | None = None

    @property
    def key(self) -> str:
        """Return the step's key, unique within the entry."""
        return f"{self.spec.trainer}/{self.spec.step}"

    def apply_ownership(self, ownership: StepOwnership) -> None:
        """Apply control's current state of the step."""
        self.owned_at = time.monotonic()
        self.set_version(ownership.version)
        if ownership.reopened > self.reopened_count:
            self.reopened_count = ownership.reopened
            self.plan.reopen(ownership.open_slots)
        self.wake.set()

    def set_version(self, version: int) -> None:
        """Raise the trainer's version and cancel attempts that would exceed the staleness bound."""
        self.plan.version = max(self.plan.version, version)
        for attempt in self.plan.stale_attempts():
            self.stop(attempt, "sample would exceed the staleness bound")
        self.wake.set()

    def stop(self, attempt: Attempt, why: str) -> None:
        """Cancel an attempt, and log the reason."""
        task = self.attempt_tasks.get(attempt.name)
        if task is not None:
            events.emit(events.SAMPLE_STOPPED, attempt=attempt.name, why=why)
            task.cancel()

    async def run(self) -> None:
        """Dispatch samples and commit fills until cancelled."""
        async with TaskGroup() as tasks:
            tasks.start(self.commit_fills())
            while True:
                self.dispatch(tasks)
                await wait_event(self.wake, DISPATCH_INTERVAL_S)
                self.wake.clear()

    # Dispatch

    def engines(self) -> list[Member]:
        """Return the serving engines whose version is within the staleness bound."""
        trainer = self.entry.deployment.trainers.get(self.spec.trainer)
        if trainer is None:
            return []
        oldest = self.plan.version - self.spec.staleness_bound
        return [
            member
            for member in self.entry.view.members.values()
            if member.kind is Kind.ENGINE
            and member.group == trainer.pool
            and member.standing is Standing.SERVING
            and member.models.get(trainer.model, -1) >= oldest
        ]

    def capacity(self, engines: list[Member]) -> int:
        """Return the trainer's share of the engines, in concurrent samples.

        Slots reserved for interactive requests are left out, and EXTRA_ATTEMPTS_PER_ENGINE are
        added per engine.
        """
        deployment = self.entry.deployment
        trainer = deployment.trainers[self.spec.trainer]
        slots = deployment.pools[trainer.pool].slots
        reserve = deployment.limits.interactive_reserve_percent
        per_engine = max(1, slots - -(-slots * reserve // 100)) + EXTRA_ATTEMPTS_PER_ENGINE
        active_trainers = {runner.spec.trainer for runner in self.entry.runners.values()}
        shares = [
            other.share
            for name, other in deployment.trainers.items()
            if name in active_trainers and other.pool == trainer.pool
        ]
        return max(1, per_engine * len(engines) * trainer.share // max(1, sum(shares)))

    def dispatch(self, tasks: TaskGroup) -> None:
        """Start attempts at open slots up to the capacity, then repeat stragglers."""
        if self.entry.deployment is None or not self.entry.link.is_fresh:
            return
        engines = self.engines()
        if not engines:
            return
        capacity = self.capacity(engines)
        while len(self.attempt_tasks) < capacity:
            slot = self.plan.next_slot()
            if slot is None:
                break
            if not self.start(tasks, slot, engines, set(), "next open slot"):
                self.plan.open_slots.appendleft(slot)
                return
        for straggler in self.plan.stragglers(time.monotonic()):
            excluded = {m.incarnation for m in engines if m.name == straggler.upstream}
            if self.start(tasks, straggler.slot, engines, excluded, "straggler"):
                self.plan.repeats += 1
                events.emit(events.STRAGGLER, attempt=straggler.name, upstream=straggler.upstream)

    def start(
        self, tasks: TaskGroup, slot: int, engines: list[Member], excluded: set[str], why: str
    ) -> bool:
        """Start an attempt on an engine; return whether one was found.

        :param excluded: incarnations that must not run it.
        """
        prompt = self.spec.prompts[slot // self.spec.group_size]
        affinity = f"{hash64(prompt):016x}"
        choice = self.entry.router.choose(
            engines, time.monotonic(), affinity, excluded, self.extra_cost(engines)
        )
        if not isinstance(choice, Choice):
            return False
        member = choice.member
        name = f"{self.key}/{slot}/{self.entry.incarnation[:8]}-{next(self.plan.counter)}"
        version = member.models[self.entry.deployment.trainers[self.spec.trainer].model]
        now = time.monotonic()
        attempt = self.plan.begin(slot, name, member.name, version, now)
        events.emit(
            events.SAMPLE_PLACED,
            attempt=name,
            upstream=member.name,
            why=f"{why}, {choice.reason}",
            candidates=choice.candidates,
            costs={item.name: item.cost for item in choice.considered},
        )
        self.attempt_tasks[name] = tasks.start(self.generate(attempt, member, prompt))
        return True

    def extra_cost(self, engines: list[Member]) -> Callable[[Member], float]:
        """Return the function from an engine to its extra routing cost for older weights."""
        deployment = self.entry.deployment
        trainer = deployment.trainers[self.spec.trainer]
        objective = deployment.objective
        version_cost = staleness_cost(
            max(engine.models[trainer.model] for engine in engines),
            deployment.pools[trainer.pool].slots,
            objective.idle_weight,
            objective.staleness_weight,
        )
        return lambda member: version_cost(member.models[trainer.model])

    async def generate(self, attempt: Attempt, member: Member, prompt: str) -> None:
        """Run an attempt on an engine and queue its fill."""
        succeeded = False
        try:
            answer = await self.entry.upstreams.send(member, self.build_request(attempt, prompt))
            if isinstance(answer, Answer):
                payload = Payload.from_json(json.loads(answer.body))
                succeeded = payload.attempt == attempt.name
                if succeeded:
                    duration_s = time.monotonic() - attempt.started_at
                    self.entry.router.observe(member, duration_s, payload.tokens)
                    await self.store_payload(attempt, member, payload)
            if isinstance(answer, Refusal):
                self.entry.dispatcher.handle_refusal(member, answer)
                events.emit(events.SAMPLE_FAILED, attempt=attempt.name, reason=answer.reason)
                await asyncio.sleep(RETRY_DELAY_S)
        finally:
            self.attempt_tasks.pop(attempt.name, None)
            self.plan.end(attempt, succeeded, time.monotonic())
            self.wake.set()

    def build_request(self, attempt: Attempt, prompt: str) -> SidecarRequest:
        """Build the request for an attempt."""
        trainer = self.entry.deployment.trainers[self.spec.trainer]
        body = {
            "attempt": attempt.name,
            "model": trainer.model,
            "prompt": prompt,
            "max_tokens": self.spec.max_tokens,
            "seed": self.seed(attempt.slot),
        }
        timeout_s = self.entry.deployment.limits.sample_timeout_ms / 1000
        return SidecarRequest(
            "/samples",
            json.dumps(body).encode(),
            attempt.name,
            TrafficClass.SAMPLE,
            time.monotonic() + timeout_s,
        )

    def seed(self, slot: int) -> int:
        """Return the sampling seed of a slot, equal for all attempts at it."""
        return hash32(f"{self.key}/{slot}")

    async def store_payload(self, attempt: Attempt, member: Member, payload: Payload) -> None:
        """Store a payload, request its score, and queue its fill."""
        self.entry.payloads.add(payload)
        await self.entry.score(self.spec.trainer, payload)
        fill = Fill(attempt.slot, payload.attempt, member.name, payload.segments, payload.tokens)
        self.fills.append(fill)
        self.fills_queued.set()

    async def commit_fills(self) -> None:
        """Commit queued fills in batches; retry a batch whose commit was not confirmed."""
        while True:
            await self.fills_queued.wait()
            self.fills_queued.clear()
            batch, self.fills = self.fills, []
            if not batch:
                continue
            command = c.FillSlots(self.spec.trainer, self.spec.step, batch)
            deadline = time.monotonic() + FILL_TIMEOUT_S
            result = await self.entry.control.propose(command, deadline)
            if not isinstance(result, SlotsFilled):
                self.fills = batch + self.fills
                self.fills_queued.set()
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self.plan.record_fill_result(result.taken, result.dropped)
            for slot in result.taken:
                events.emit(events.SAMPLE_FILLED, step=self.key, slot=slot)
                for duplicate in self.plan.running_attempts(slot):
                    self.stop(duplicate, "another attempt filled the slot")
            self.entry.notify_filled(self.key)
            self.wake.set()


async def fetch_payload(
    session: aiohttp.ClientSession, member: Member, attempt: str, timeout_s: float
) -> Payload | None:
    """Fetch a payload from the sidecar that stores it; return None on any failure."""
    url = f"http://{member.address}/samples/{attempt.replace('/', '%2F')}"
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.get(url, timeout=timeout) as response:
            if response.status != 200:
                return None
            return Payload.from_json(await response.json())
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
        return None
