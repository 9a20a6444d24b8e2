"""An acceptance test of a running system through its public interfaces.

A trial runs trainers, interactive and background callers, resent requests, the drain of an
upstream and a configuration change at the same time, and checks each reply against the guarantees
of docs/guarantees.md.
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
from apricotvale.http_client import make_connector
from apricotvale.membership.roster import Kind
from apricotvale.outcomes import Refusal
from apricotvale.settings.loader import parse_deployment
from apricotvale.settings.schema import Deployment, TrafficClass
from apricotvale.standins.engine import token_text

CALL_TIMEOUT_S = 20.0
DRAIN_GRACE_S = 3.0
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.2
MAX_LATENCY_MS = 120_000
IN_FORCE_LIMIT_S = 3.0
MAX_NOTES = 10
DEFAULT_QUEUE_LENGTH = 64


@frozen
class TrialPlan:
    """Settings of a trial.

    :param entries: base URLs of the entries.
    :param control: addresses of the control replicas.
    :param audits: URLs at which the plain services report how often each request body was run.
    :param steps: number of steps per trainer.
    :param prompts: number of prompts per step.
    :param max_tokens: maximum tokens per sample.
    :param train_s: training time per step, in seconds.
    :param call_every_s: delay between two calls of one caller, in seconds.
    :param drain: upstream to drain after half of the steps; empty for none.
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
    """Results of a trial; the counters `samples_duplicated` to `config_not_in_force` must be 0.

    The `slots_` counters are for non-idempotent requests with an idempotency key.
    """

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

    def violations(self) -> list[str]:
        """Return the names of the counters of violated guarantees that are not 0."""
        counters = (
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
        return [name for name in counters if getattr(self, name)]

    def to_json(self) -> dict[str, Any]:
        """Return the report as a JSON document."""
        return {**asdict(self), "broken": self.violations()}


@frozen
class CallResult:
    """The final reply to a call and the number of attempts."""

    status: int
    ran: str
    upstream: str
    body: Any
    attempts: int


class Trial:
    """A run of a trial.

    :param plan: what to do.
    :param on_progress: receives a line of text for each milestone.
    """

    def __init__(self, plan: TrialPlan, on_progress: Callable[[str], None]) -> None:
        self.plan = plan
        self.on_progress = on_progress
        self.report = TrialReport()
        self.control = ControlClient(plan.control)
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, 3)
        self.running_trainers = 0
        self.idle_s = 0.0
        self.trainer_s = 0.0
        self.staleness: list[int] = []
        self.drained_at: float | None = None
        self.session: aiohttp.ClientSession
        self.call_counter = itertools.count()
        self.replies_by_key: dict[str, list[str]] = {}

    async def run(self) -> TrialReport:
        """Run the trial and return its report."""
        started = time.monotonic()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        connector = make_connector()
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as self.session:
            deployment = await self.deployment()
            trainers = list(deployment.trainers.items())
            self.running_trainers = len(trainers)
            tasks = [
                self.run_trainer(name, settings.staleness_bound) for name, settings in trainers
            ]
            tasks += self.caller_tasks(deployment)
            tasks += [self.change_config(), self.drain_upstream()]
            await asyncio.gather(*tasks)
            await self.audit()
        self.control.close()
        self.complete_report(time.monotonic() - started)
        return self.report

    def complete_report(self, duration_s: float) -> None:
        """Fill in the figures that need the whole trial.

        :param duration_s: duration of the trial, in seconds.
        """
        report = self.report
        report.seconds = round(duration_s, 2)
        report.interactive_p50_ms = float(self.latency.get_value_at_percentile(50))
        report.interactive_p99_ms = float(self.latency.get_value_at_percentile(99))
        report.trainer_idle_share = round(self.idle_s / max(self.trainer_s, 1e-9), 4)
        if self.staleness:
            report.staleness_mean = round(sum(self.staleness) / len(self.staleness), 3)
        report.weight_versions_seen = sorted(set(report.weight_versions_seen))

    async def query(self, topic: str) -> calls.Report:
        """Return the control leader's report on a topic."""
        reply = await self.control.call(calls.Query(topic), time.monotonic() + CALL_TIMEOUT_S)
        if isinstance(reply, Refusal):
            raise UnreachableError(reply.detail)
        return reply

    async def deployment(self) -> Deployment:
        """Return the deployment of the current configuration, without overlays."""
        report = await self.query("config")
        if report.document is None:
            raise UnreachableError("no configuration is applied")
        return parse_deployment(report.document.base, None, "")

    def add_note(self, text: str) -> None:
        """Add a note on a failure; notes beyond `MAX_NOTES` are dropped."""
        if len(self.report.notes) < MAX_NOTES:
            self.report.notes.append(text)

    # Trainers

    async def run_trainer(self, name: str, staleness_bound: int) -> None:
        """Run a trainer: publish a version, then generate, train and publish for each step."""
        started = time.monotonic()
        try:
            async with TrainerClient(name, self.plan.entries) as client:
                await client.publish(client.version + 1)
                # Greater than the step numbers of earlier trials.
                first = int(time.time())
                for step in range(first, first + self.plan.steps):
                    await self.run_step(client, step, staleness_bound)
        finally:
            self.trainer_s += time.monotonic() - started
            self.running_trainers -= 1

    async def run_step(self, client: TrainerClient, step: int, staleness_bound: int) -> None:
        """Open a step, receive and check its samples, train on them and publish a version."""
        prompts = [
            f"{client.trainer} step {step} prompt {number}" for number in range(self.plan.prompts)
        ]
        waiting_since = time.monotonic()
        try:
            version = await client.open_step(step, prompts, max_tokens=self.plan.max_tokens)
            seen: set[int] = set()
            async for sample in client.samples(step):
                self.check_sample(sample, seen, client.version, staleness_bound)
            await client.close_step(step)
        except ApricotvaleError as error:
            self.report.steps_failed += 1
            self.add_note(f"{client.trainer} step {step}: {error.format_message()}")
            return
        self.idle_s += time.monotonic() - waiting_since
        self.report.steps_completed += 1
        self.on_progress(
            f"{client.trainer}: step {step} has {len(seen)} samples at version {version}"
        )
        await asyncio.sleep(self.plan.train_s)
        await client.publish(client.version + 1)

    def check_sample(
        self, sample: Sample, seen: set[int], version: int, staleness_bound: int
    ) -> None:
        """Check a sample against the guarantees.

        :param seen: slots of the step received so far; the sample's slot is added.
        :param version: the trainer's current version.
        :param staleness_bound: largest permitted staleness, in versions.
        """
        report = self.report
        report.samples_delivered += 1
        if sample.slot in seen:
            report.samples_duplicated += 1
            self.add_note(f"slot {sample.slot} of step {sample.step} was delivered twice")
        seen.add(sample.slot)
        complete = len(sample.text.split()) == sample.tokens
        if not sample.segments or sample.segments[0][0] != 0 or not complete:
            report.samples_unattributed += 1
            return
        report.weight_versions_seen += [segment_version for _, segment_version in sample.segments]
        staleness = version - sample.oldest_version
        self.staleness.append(max(0, staleness))
        if staleness > staleness_bound:
            report.samples_stale += 1
            self.add_note(
                f"slot {sample.slot} of step {sample.step} is {staleness} versions old; "
                f"the bound is {staleness_bound}"
            )

    # Callers

    def caller_tasks(self, deployment: Deployment) -> list[Any]:
        """Return a coroutine for each caller: one per model and per route, except scorers."""
        tasks = [
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
                    tasks.append(self.call_reads(path, interactive))
                else:
                    tasks.append(self.call_keyed(path))
        return tasks

    async def wait_for_next_call(self) -> bool:
        """Wait until the next call is due; return whether trainers still run."""
        await asyncio.sleep(self.plan.call_every_s)
        return self.running_trainers > 0

    async def call_entry(
        self, method: str, path: str, offset: int = 0, **options: Any
    ) -> CallResult:
        """Send a call, and retry it at the next entry until the status is 200.

        This acts as a load balancer and a caller with retries: failed connections and replies
        with another status are retried, up to `MAX_ATTEMPTS` attempts in total.
        """
        start = next(self.call_counter)
        result = CallResult(0, "unknown", "", None, 0)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            base = self.plan.entries[(start + offset + attempt) % len(self.plan.entries)]
            try:
                async with self.session.request(method, base + path, **options) as response:
                    ran = response.headers.get(h.RAN, "")
                    upstream = response.headers.get(h.UPSTREAM, "")
                    body = await response.json(content_type=None)
                    result = CallResult(response.status, ran, upstream, body, attempt)
                    if response.status == 200:
                        return result
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                result = CallResult(0, "unknown", "", repr(error), attempt)
            await asyncio.sleep(RETRY_DELAY_S)
        return result

    def count_work_after_drain(self, result: CallResult, sent_at: float) -> None:
        """Count a call that the drained upstream ran, if sent after `DRAIN_GRACE_S`."""
        drained_at = self.drained_at
        if drained_at is not None and result.upstream == self.plan.drain:
            self.report.work_after_leave += sent_at > drained_at + DRAIN_GRACE_S

    def record_call(self, result: CallResult, sent_at: float, interactive: bool) -> bool:
        """Record the result of a call; return whether it succeeded."""
        report = self.report
        self.count_work_after_drain(result, sent_at)
        if interactive:
            report.interactive_retried += result.attempts > 1
        if result.status != 200:
            report.interactive_failed += interactive
            report.background_lost += not interactive
            self.add_note(f"call failed: {result.status} {result.body}")
            return False
        report.interactive_ok += interactive
        report.background_ok += not interactive
        if interactive:
            latency_ms = int((time.monotonic() - sent_at) * 1000)
            self.latency.record_value(max(1, min(MAX_LATENCY_MS, latency_ms)))
        return True

    async def call_completions(self, model: str) -> None:
        """Request completions; check that each is complete and belongs to its prompt."""
        while await self.wait_for_next_call():
            prompt = f"interactive {uuid.uuid4().hex}"
            body = {"model": model, "prompt": prompt, "max_tokens": 8}
            sent_at = time.monotonic()
            result = await self.call_entry("POST", "/v1/completions", json=body)
            if self.record_call(result, sent_at, interactive=True):
                expected = "".join(token_text(prompt, index) for index in range(8))
                answer = result.body["choices"][0]["text"]
                self.report.answers_garbled += answer != expected

    async def call_reads(self, path: str, interactive: bool) -> None:
        """Call an idempotent route; check that each reply echoes its own request."""
        while await self.wait_for_next_call():
            mark = uuid.uuid4().hex
            sent_at = time.monotonic()
            result = await self.call_entry("GET", f"{path}?mark={mark}")
            if self.record_call(result, sent_at, interactive):
                self.report.answers_garbled += result.body["query"].get("mark") != mark

    async def call_keyed(self, path: str) -> None:
        """Send non-idempotent requests with keys; resend every third through another entry."""
        while await self.wait_for_next_call():
            key = uuid.uuid4().hex
            tasks = [self.post_keyed(path, key, 0)]
            if next(self.call_counter) % 3 == 0:
                tasks.append(self.post_keyed(path, key, 1))
                self.report.slots_resent += 1
            results = await asyncio.gather(*tasks)
            self.replies_by_key[key] = [
                "ran" if result.status == 200 else result.ran for result in results
            ]
            self.report.slots_logged += any(result.status == 200 for result in results)
            if all(result.status != 200 for result in results):
                self.report.slots_unknown += 1

    async def post_keyed(self, path: str, key: str, offset: int) -> CallResult:
        """Send a non-idempotent request with an idempotency key."""
        fields = {h.IDEMPOTENCY_KEY: key}
        return await self.call_entry("POST", path, offset, data=key, headers=fields)

    async def audit(self) -> None:
        """Compare the number of runs of each keyed request with the replies to it."""
        runs: dict[str, int] = {}
        for url in self.plan.audits:
            async with self.session.get(url) as response:
                for key, run_count in (await response.json())["runs"].items():
                    runs[key] = runs.get(key, 0) + run_count
        for key, replies in self.replies_by_key.items():
            self.report.slots_doubled += runs.get(key, 0) > 1
            all_not_run = all(reply == "not_run" for reply in replies)
            self.report.slots_wrongly_not_run += all_not_run and runs.get(key, 0) > 0

    # Operators

    async def wait_until_half_done(self) -> None:
        """Wait until half of the steps are completed or no trainer runs any more."""
        total = self.plan.steps * max(1, self.running_trainers)
        while self.running_trainers and self.report.steps_completed < total / 2:
            await asyncio.sleep(0.1)

    async def change_config(self) -> None:
        """Apply a change under load and measure the time until it is in force everywhere."""
        await self.wait_until_half_done()
        report = await self.query("config")
        assert report.document is not None
        base = report.document.base
        changed = increment_queue_length(base)
        document = ConfigDocument(changed, report.document.overlays)
        command = c.ApplyConfig(uuid.uuid4().hex, report.revision, document, "trial")
        started = time.monotonic()
        result = await self.control.propose(command, started + CALL_TIMEOUT_S)
        if not isinstance(result, ConfigApplied):
            raise RejectedError({"type": "conflict", "detail": str(result)})
        while time.monotonic() < started + CALL_TIMEOUT_S:
            force = (await self.query("force")).force
            if all(member.revision >= result.revision for member in force):
                self.report.config_in_force_everywhere_s = round(time.monotonic() - started, 3)
                break
            await asyncio.sleep(0.02)
        elapsed_s = self.report.config_in_force_everywhere_s
        self.report.config_not_in_force += not 0 <= elapsed_s <= IN_FORCE_LIMIT_S
        self.on_progress(f"revision {result.revision} in force everywhere after {elapsed_s} s")

    async def drain_upstream(self) -> None:
        """Drain the upstream of the plan, if there is one."""
        if not self.plan.drain:
            return
        await self.wait_until_half_done()
        members = (await self.query("members")).members
        matches = [m for m in members if m.name == self.plan.drain and m.kind is not Kind.ENTRY]
        if not matches:
            self.add_note(f"upstream {self.plan.drain} is not a member; nothing was drained")
            return
        async with self.session.post(f"http://{matches[0].address}/drain") as response:
            await response.read()
        self.drained_at = time.monotonic()
        self.on_progress(f"{self.plan.drain} is draining")


def increment_queue_length(base: str) -> str:
    """Return a base file with `queue_length` raised by 1, a harmless change."""
    lines = base.splitlines()
    other_lines = [line for line in lines if not line.startswith("queue_length")]
    current = tomllib.loads(base).get("limits", {}).get("queue_length", DEFAULT_QUEUE_LENGTH)
    setting = f"queue_length = {current + 1}"
    if "[limits]" in other_lines:
        other_lines.insert(other_lines.index("[limits]") + 1, setting)
    else:
        other_lines += ["[limits]", setting]
    return "\n".join(other_lines) + "\n"
