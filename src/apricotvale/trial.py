"""A trial of a running system through its public interfaces, and what it found.

The trial trains, calls, resends, drains an upstream and changes the configuration at the same
time, and checks each answer against the promises of docs/guarantees.md.
"""

from __future__ import annotations

import asyncio
import itertools
import time
import tomllib
import uuid
from collections.abc import Callable
from typing import Any

import aiohttp
from attrs import asdict, define, field, frozen
from hdrh.histogram import HdrHistogram

from apricotvale.client import Sample, TrainerClient
from apricotvale.control import calls
from apricotvale.control import commands as c
from apricotvale.control.configuration import ConfigApplied, ConfigDocument
from apricotvale.daemons import headers as h
from apricotvale.daemons.link import ControlClient
from apricotvale.exceptions import ApricotvaleError, RejectedError, UnreachableError
from apricotvale.membership.roster import Kind
from apricotvale.outcomes import Refusal
from apricotvale.settings import parse_deployment
from apricotvale.settings.schema import Deployment, TrafficClass
from apricotvale.standins.engine import token_text

CALL_S = 20.0
LEAVE_GRACE_S = 3.0
CALL_TRIES = 5
RETRY_PAUSE_S = 0.2
MAX_LATENCY_MS = 120_000
IN_FORCE_TARGET_S = 3.0
CHECKS_SHOWN = 10
QUEUE_LENGTH = 64


@frozen
class TrialPlan:
    """What a trial does.

    :param entries: base URLs of the entries.
    :param control: addresses of the control replicas.
    :param audits: URLs where the plain services tell how often each body ran.
    :param steps: steps of each trainer.
    :param prompts: prompts in a step.
    :param max_tokens: longest sample.
    :param train_s: time that a trainer works on a step, in seconds.
    :param call_every_s: pause between two calls of one caller, in seconds.
    :param drain: upstream to drain half-way; empty is none.
    """

    entries: list[str]
    control: list[str]
    audits: list[str] = field(factory=list)
    steps: int = 4
    prompts: int = 16
    max_tokens: int = 64
    train_s: float = 1.0
    call_every_s: float = 0.05
    drain: str = ""


@define
class TrialReport:
    """What a trial recorded; the last block must all be 0."""

    steps_completed: int = 0
    samples_delivered: int = 0
    interactive_ok: int = 0
    interactive_retried: int = 0
    interactive_p50_ms: float = 0.0
    interactive_p99_ms: float = 0.0
    background_ok: int = 0
    slots_logged: int = 0
    slots_resent: int = 0
    slots_unknown: int = 0
    config_in_force_everywhere_s: float = -1.0
    trainer_idle_share: float = 0.0
    staleness_mean: float = 0.0
    weight_versions_seen: list[int] = field(factory=list)
    seconds: float = 0.0

    samples_duplicated: int = 0
    samples_stale: int = 0
    samples_unattributed: int = 0
    interactive_failed: int = 0
    background_lost: int = 0
    answers_garbled: int = 0
    slots_doubled: int = 0
    slots_wrongly_not_run: int = 0
    work_after_leave: int = 0
    steps_failed: int = 0
    config_not_in_force: int = 0
    notes: list[str] = field(factory=list)

    def broken(self) -> list[str]:
        """Return the promises that were broken."""
        checked = (
            "samples_duplicated",
            "samples_stale",
            "samples_unattributed",
            "interactive_failed",
            "background_lost",
            "answers_garbled",
            "slots_doubled",
            "slots_wrongly_not_run",
            "work_after_leave",
            "steps_failed",
            "config_not_in_force",
        )
        return [name for name in checked if getattr(self, name)]

    def to_json(self) -> dict[str, Any]:
        """Return the report as a JSON document."""
        return {**asdict(self), "broken": self.broken()}


@frozen
class CallResult:
    """What a caller got: the final answer and how often it asked."""

    status: int
    ran: str
    upstream: str
    body: Any
    tries: int


class Trial:
    """A trial in progress."""

    def __init__(self, plan: TrialPlan, say: Callable[[str], None]) -> None:
        self.plan = plan
        self.say = say
        self.report = TrialReport()
        self.control = ControlClient(plan.control)
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, 3)
        self.trainers_left = 0
        self.idle_s = 0.0
        self.trainer_s = 0.0
        self.staleness: list[int] = []
        self.left_at: float | None = None
        self.session: aiohttp.ClientSession
        self.turn = itertools.count()
        self.logged: dict[str, list[str]] = {}

    async def run(self) -> TrialReport:
        """Run the trial and return its report."""
        started = time.monotonic()
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        async with aiohttp.ClientSession(timeout=timeout) as self.session:
            deployment = await self.deployment()
            trainers = list(deployment.trainers.items())
            self.trainers_left = len(trainers)
            work = [self.train(name, settings.staleness_bound) for name, settings in trainers]
            work += self.callers(deployment)
            work += [self.change_config(), self.leave()]
            await asyncio.gather(*work)
            await self.audit()
        self.control.close()
        self.finish(time.monotonic() - started)
        return self.report

    def finish(self, seconds: float) -> None:
        """Fill in what is computed from the whole trial."""
        report = self.report
        report.seconds = round(seconds, 2)
        report.interactive_p50_ms = float(self.latency.get_value_at_percentile(50))
        report.interactive_p99_ms = float(self.latency.get_value_at_percentile(99))
        report.trainer_idle_share = round(self.idle_s / max(self.trainer_s, 1e-9), 4)
        if self.staleness:
            report.staleness_mean = round(sum(self.staleness) / len(self.staleness), 3)
        report.weight_versions_seen = sorted(set(report.weight_versions_seen))

    async def query(self, topic: str) -> calls.Report:
        """Return a report of control."""
        reply = await self.control.call(calls.Query(topic), time.monotonic() + CALL_S)
        if isinstance(reply, Refusal):
            raise UnreachableError(reply.detail)
        return reply

    async def deployment(self) -> Deployment:
        """Return the deployment in force."""
        report = await self.query("config")
        if report.document is None:
            raise UnreachableError("no configuration is applied")
        return parse_deployment(report.document.base, None, "")

    def note(self, text: str) -> None:
        """Keep a line on something that went wrong."""
        if len(self.report.notes) < CHECKS_SHOWN:
            self.report.notes.append(text)

    # -- trainers

    async def train(self, name: str, bound: int) -> None:
        """Train: publish, open the next step, take its samples, work on them."""
        started = time.monotonic()
        try:
            async with TrainerClient(name, self.plan.entries) as client:
                await client.publish(client.version + 1)
                first = int(time.time())
                for step in range(first, first + self.plan.steps):
                    await self.train_step(client, step, bound)
        finally:
            self.trainer_s += time.monotonic() - started
            self.trainers_left -= 1

    async def train_step(self, client: TrainerClient, step: int, bound: int) -> None:
        """Run one step."""
        prompts = [f"{client.trainer} step {step} prompt {at}" for at in range(self.plan.prompts)]
        waiting_since = time.monotonic()
        try:
            version = await client.open_step(step, prompts, max_tokens=self.plan.max_tokens)
            seen: set[int] = set()
            async for sample in client.samples(step):
                self.check_sample(sample, seen, client.version, bound)
            await client.close_step(step)
        except ApricotvaleError as error:
            self.report.steps_failed += 1
            self.note(f"{client.trainer} step {step}: {error.format_message()}")
            return
        self.idle_s += time.monotonic() - waiting_since
        self.report.steps_completed += 1
        self.say(f"{client.trainer}: step {step} has {len(seen)} samples at version {version}")
        await asyncio.sleep(self.plan.train_s)
        await client.publish(client.version + 1)

    def check_sample(self, sample: Sample, seen: set[int], version: int, bound: int) -> None:
        """Check one sample against the promises."""
        report = self.report
        report.samples_delivered += 1
        if sample.slot in seen:
            report.samples_duplicated += 1
            self.note(f"slot {sample.slot} of step {sample.step} came twice")
        seen.add(sample.slot)
        whole = len(sample.text.split()) == sample.tokens
        if not sample.segments or sample.segments[0][0] != 0 or not whole:
            report.samples_unattributed += 1
            return
        report.weight_versions_seen += [made_by for _, made_by in sample.segments]
        age = version - sample.oldest_version
        self.staleness.append(max(0, age))
        if age > bound:
            report.samples_stale += 1
            self.note(f"slot {sample.slot} of step {sample.step} is {age} versions old")

    # -- callers

    def callers(self, deployment: Deployment) -> list[Any]:
        """Return the callers' work."""
        work = [
            self.call_completions(model)
            for pool in deployment.pools.values()
            for model in pool.models
        ]
        scorers = {trainer.scorer for trainer in deployment.trainers.values()}
        for name, service in deployment.services.items():
            for route in service.routes:
                if name in scorers:
                    continue
                path = f"/services/{name}{route.path}"
                if route.idempotent:
                    interactive = route.traffic_class is TrafficClass.INTERACTIVE
                    work.append(self.call_reads(path, interactive))
                else:
                    work.append(self.call_slots(path))
        return work

    async def pause(self) -> bool:
        """Wait until the next call; return whether the trial goes on."""
        await asyncio.sleep(self.plan.call_every_s)
        return self.trainers_left > 0

    async def ask(self, method: str, path: str, offset: int = 0, **options: Any) -> CallResult:
        """Send a call as a balancer and a patient caller would.

        A connection that fails goes to the next entry; a refusal that did not run is repeated.
        """
        first = next(self.turn)
        last = CallResult(0, "unknown", "", None, 0)
        for attempt in range(1, CALL_TRIES + 1):
            base = self.plan.entries[(first + offset + attempt) % len(self.plan.entries)]
            try:
                async with self.session.request(method, base + path, **options) as response:
                    ran = response.headers.get(h.RAN, "")
                    upstream = response.headers.get(h.UPSTREAM, "")
                    body = await response.json(content_type=None)
                    last = CallResult(response.status, ran, upstream, body, attempt)
                    if response.status == 200:
                        return last
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                last = CallResult(0, "unknown", "", repr(error), attempt)
            await asyncio.sleep(RETRY_PAUSE_S)
        return last

    def note_leaver(self, result: CallResult, sent_at: float) -> None:
        """Count work that an upstream got after it left."""
        left_at = self.left_at
        if left_at is not None and result.upstream == self.plan.drain:
            self.report.work_after_leave += sent_at > left_at + LEAVE_GRACE_S

    def count(self, result: CallResult, sent_at: float, interactive: bool) -> bool:
        """Count a call; return whether it was answered."""
        report = self.report
        self.note_leaver(result, sent_at)
        if interactive:
            report.interactive_retried += result.tries > 1
        if result.status != 200:
            report.interactive_failed += interactive
            report.background_lost += not interactive
            self.note(f"call failed: {result.status} {result.body}")
            return False
        report.interactive_ok += interactive
        report.background_ok += not interactive
        if interactive:
            latency_ms = int((time.monotonic() - sent_at) * 1000)
            self.latency.record_value(max(1, min(MAX_LATENCY_MS, latency_ms)))
        return True

    async def call_completions(self, model: str) -> None:
        """Ask for completions, and check that each is whole and the caller's own."""
        while await self.pause():
            prompt = f"interactive {uuid.uuid4().hex}"
            body = {"model": model, "prompt": prompt, "max_tokens": 8}
            sent_at = time.monotonic()
            result = await self.ask("POST", "/v1/completions", json=body)
            if self.count(result, sent_at, interactive=True):
                expected = "".join(token_text(prompt, index) for index in range(8))
                answer = result.body["choices"][0]["text"]
                self.report.answers_garbled += answer != expected

    async def call_reads(self, path: str, interactive: bool) -> None:
        """Call an idempotent route."""
        while await self.pause():
            mark = uuid.uuid4().hex
            sent_at = time.monotonic()
            result = await self.ask("GET", f"{path}?mark={mark}")
            if self.count(result, sent_at, interactive):
                self.report.answers_garbled += result.body["query"].get("mark") != mark

    async def call_slots(self, path: str) -> None:
        """Log slots under a key; every third one is sent again through another entry."""
        while await self.pause():
            key = uuid.uuid4().hex
            tasks = [self.ask_slot(path, key, 0)]
            if next(self.turn) % 3 == 0:
                tasks.append(self.ask_slot(path, key, 1))
                self.report.slots_resent += 1
            results = await asyncio.gather(*tasks)
            self.logged[key] = ["ran" if result.status == 200 else result.ran for result in results]
            self.report.slots_logged += any(result.status == 200 for result in results)
            if all(result.status != 200 for result in results):
                self.report.slots_unknown += 1

    async def ask_slot(self, path: str, key: str, offset: int) -> CallResult:
        """Send one non-idempotent request."""
        fields = {h.IDEMPOTENCY_KEY: key}
        return await self.ask("POST", path, offset, data=key, headers=fields)

    async def audit(self) -> None:
        """Compare how often each slot ran with what callers were told."""
        runs: dict[str, int] = {}
        for url in self.plan.audits:
            async with self.session.get(url) as response:
                for key, count in (await response.json())["runs"].items():
                    runs[key] = runs.get(key, 0) + count
        for key, told in self.logged.items():
            self.report.slots_doubled += runs.get(key, 0) > 1
            all_not_run = all(answer == "not_run" for answer in told)
            self.report.slots_wrongly_not_run += all_not_run and runs.get(key, 0) > 0

    # -- operators

    async def half_way(self) -> None:
        """Wait until half of the steps are done, or the trainers have ended."""
        total = self.plan.steps * max(1, self.trainers_left)
        while self.trainers_left and self.report.steps_completed < total / 2:
            await asyncio.sleep(0.1)

    async def change_config(self) -> None:
        """Apply one change under load and time it until it is in force everywhere."""
        await self.half_way()
        report = await self.query("config")
        assert report.document is not None
        base = report.document.base
        changed = bump_limit(base)
        document = ConfigDocument(changed, report.document.overlays)
        command = c.ApplyConfig(uuid.uuid4().hex, report.revision, document, "trial")
        started = time.monotonic()
        result = await self.control.propose(command, started + CALL_S)
        if not isinstance(result, ConfigApplied):
            raise RejectedError({"type": "conflict", "detail": str(result)})
        while time.monotonic() < started + CALL_S:
            force = (await self.query("force")).force
            if all(member.revision >= result.revision for member in force):
                self.report.config_in_force_everywhere_s = round(time.monotonic() - started, 3)
                break
            await asyncio.sleep(0.02)
        taken_s = self.report.config_in_force_everywhere_s
        self.report.config_not_in_force += not 0 <= taken_s <= IN_FORCE_TARGET_S
        self.say(f"revision {result.revision} in force everywhere after {taken_s} s")

    async def leave(self) -> None:
        """Drain one upstream."""
        if not self.plan.drain:
            return
        await self.half_way()
        members = (await self.query("members")).members
        found = [m for m in members if m.name == self.plan.drain and m.kind is not Kind.ENTRY]
        if not found:
            self.note(f"no upstream {self.plan.drain} to drain")
            return
        async with self.session.post(f"http://{found[0].address}/drain") as response:
            await response.read()
        self.left_at = time.monotonic()
        self.say(f"{self.plan.drain} drains")


def bump_limit(base: str) -> str:
    """Return a base file with one harmless limit changed."""
    lines = base.splitlines()
    kept = [line for line in lines if not line.startswith("queue_length")]
    current = tomllib.loads(base).get("limits", {}).get("queue_length", QUEUE_LENGTH)
    setting = f"queue_length = {current + 1}"
    if "[limits]" in kept:
        kept.insert(kept.index("[limits]") + 1, setting)
    else:
        kept += ["[limits]", setting]
    return "\n".join(kept) + "\n"
