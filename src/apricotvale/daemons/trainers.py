"""The HTTP interface for trainers: steps, pulls, acknowledgements and weight versions."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from aiohttp import web
from attrs import frozen

from apricotvale import events
from apricotvale.control import commands as c
from apricotvale.daemons import headers as h
from apricotvale.daemons.runtime import wait_event
from apricotvale.daemons.steps import fetch_payload
from apricotvale.exceptions import bad_input
from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.samples.ledger import (
    Delivery,
    Fill,
    Handed,
    PullRejected,
    StepOpened,
    StepRejected,
    StepSpec,
)
from apricotvale.samples.store import Payload
from apricotvale.settings.schema import Trainer

DEFAULT_CALL_TIMEOUT_MS = 10_000
MAX_PULL_SAMPLES = 512
MAX_WAIT_MS = 10_000
POLL_INTERVAL_S = 0.2
FETCH_TIMEOUT_S = 1.0
MAX_FETCH_ATTEMPTS = 2
MAX_LOST_ROUNDS = 16
DEFAULT_STEP_TIMEOUT_MS = 1_200_000


@frozen
class Pull:
    """A pull request of a trainer.

    :param cursor: first position that the trainer has not received; earlier ones are acknowledged.
    :param number: number of the pull within its step.
    :param max_samples: maximum number of samples to hand over.
    :param wait_until: monotonic time until which the pull waits for samples.
    """

    trainer: str
    step: int
    cursor: int
    number: int
    max_samples: int
    wait_until: float


@frozen
class PullResult:
    """The result of a pull: the delivery and the payloads of its samples by attempt."""

    delivery: Delivery
    payloads: dict[str, Payload]


class TrainerInterface:
    """Handles the trainers' requests at one entry."""

    def __init__(self, entry: Any) -> None:
        self.entry = entry

    def find_settings(self, request: web.Request) -> Trainer | Refusal:
        """Return the settings of the trainer named in the request's path."""
        name = request.match_info["trainer"]
        settings = self.entry.deployment.trainers.get(name)
        return settings or not_run(Reason.UNKNOWN_TRAINER, name)

    async def propose(self, request: web.Request, command: Any) -> Any:
        """Commit a command before the request's deadline."""
        deadline = self.entry.deadline_of(request, DEFAULT_CALL_TIMEOUT_MS)
        return await self.entry.control.propose(command, deadline)

    async def on_open(self, request: web.Request) -> web.Response:
        """Open a step."""
        settings = self.find_settings(request)
        body = await self.entry.read_body(request)
        if isinstance(settings, Refusal) or isinstance(body, Refusal):
            refusal = settings if isinstance(settings, Refusal) else body
            return self.entry.refuse(request, refusal)
        with bad_input():
            document = json.loads(body)
            spec, window_ms = read_spec(request.match_info["trainer"], settings, document)
        entry = self.entry
        command = c.OpenStep(spec, entry.settings.name, entry.incarnation, window_ms)
        result = await self.propose(request, command)
        if isinstance(result, StepRejected):
            detail = f"step {spec.step} rejected: the last step is {result.last_step}"
            return entry.refuse(request, not_run(Reason.BAD_REQUEST, detail))
        if not isinstance(result, StepOpened):
            return entry.refuse(request, result)
        events.emit(events.STEP_OPENED, trainer=spec.trainer, step=spec.step, slots=spec.slots)
        entry.link.request_sync()
        return self.reply(request, {"step": spec.step, "version": result.version})

    def reply(self, request: web.Request, document: dict[str, Any]) -> web.Response:
        """Build a JSON response that carries the request's id."""
        return web.json_response(document, headers={h.REQUEST_ID: self.entry.request_id(request)})

    async def on_pull(self, request: web.Request) -> web.Response:
        """Acknowledge positions below the cursor and deliver samples."""
        settings = self.find_settings(request)
        if isinstance(settings, Refusal):
            return self.entry.refuse(request, settings)
        body = await request.read()
        with bad_input():
            pull = read_pull(request.match_info["trainer"], request.match_info["step"], body)
        pull_result = await self.pull(request, pull)
        if isinstance(pull_result, Refusal):
            return self.entry.refuse(request, pull_result)
        return self.reply(request, await self.build_document(pull, pull_result))

    async def pull(self, request: web.Request, pull: Pull) -> PullResult | Refusal:
        """Hand over samples; wait for one until `wait_until` if none is ready.

        Attempts whose payloads are lost are reported to the ledger, which reopens their slots.
        """
        key = f"{pull.trainer}/{pull.step}"
        lost: list[str] = []
        lost_rounds = 0
        while True:
            if not self.entry.link.is_fresh:
                return not_run(
                    Reason.NO_QUORUM,
                    "control has not confirmed the cluster view within its lease",
                    1.0,
                )
            event = self.entry.fill_event(key)
            command = c.HandOver(
                pull.trainer, pull.step, pull.cursor, pull.number, pull.max_samples, lost
            )
            result = await self.propose(request, command)
            if isinstance(result, Refusal):
                return result
            if isinstance(result, PullRejected):
                reason = Reason.STALE_PULL if result.known else Reason.UNKNOWN_STEP
                return not_run(
                    reason, f"pull {pull.number} rejected: the last pull is {result.pull}"
                )
            payloads, lost = await self.collect_payloads(result.handed)
            lost_rounds += bool(lost)
            if lost_rounds > MAX_LOST_ROUNDS:
                return not_run(
                    Reason.UPSTREAM_LOST,
                    f"payloads were lost in {lost_rounds} rounds of this pull",
                    1.0,
                )
            if lost:
                continue
            may_wait = time.monotonic() < pull.wait_until
            if payloads or result.done or not may_wait:
                return PullResult(result, payloads)
            await wait_event(event, min(POLL_INTERVAL_S, pull.wait_until - time.monotonic()))

    async def collect_payloads(self, handed: list[Handed]) -> tuple[dict[str, Payload], list[str]]:
        """Return the payloads of handed samples, and the attempts whose payloads are lost."""
        fills = [item.fill for item in handed if item.fill is not None]
        found = await asyncio.gather(*(self.find_payload(fill) for fill in fills))
        payloads = {payload.attempt: payload for payload in found if payload is not None}
        lost = [fill.attempt for fill in fills if fill.attempt not in payloads]
        return payloads, lost

    async def find_payload(self, fill: Fill) -> Payload | None:
        """Return a payload from memory or its sidecar, None if neither has it."""
        held = self.entry.payloads.get(fill.attempt)
        if held is not None:
            return held
        for _ in range(MAX_FETCH_ATTEMPTS):
            member = self.entry.view.members.get(fill.sidecar)
            if member is None:
                return None
            session = self.entry.upstreams.session
            payload = await fetch_payload(session, member, fill.attempt, FETCH_TIMEOUT_S)
            if payload is not None:
                self.entry.payloads.add(payload)
                return payload
        return None

    async def build_document(self, pull: Pull, pull_result: PullResult) -> dict[str, Any]:
        """Build the JSON document that answers a pull."""
        delivery = pull_result.delivery
        positions = []
        for item in delivery.handed:
            sample = None
            if item.fill is not None:
                payload = pull_result.payloads[item.fill.attempt]
                sample = {**payload.to_json(), "slot": item.fill.slot}
                score = await self.entry.score(pull.trainer, payload)
                if score is not None:
                    sample["score"] = score
            positions.append({"position": item.position, "sample": sample})
        return {
            "pull": pull.number,
            "positions": positions,
            "next": delivery.next_position,
            "version": delivery.version,
            "open": delivery.open_slots,
            "done": delivery.done,
        }

    async def on_close(self, request: web.Request) -> web.Response:
        """Close a step."""
        trainer = request.match_info["trainer"]
        with bad_input():
            step = int(request.match_info["step"])
        result = await self.propose(request, c.CloseStep(trainer, step))
        if isinstance(result, Refusal):
            return self.entry.refuse(request, result)
        self.entry.stop_runner(f"{trainer}/{step}")
        events.emit(events.STEP_CLOSED, trainer=trainer, step=step)
        return self.reply(request, {"closed": True})

    async def on_publish(self, request: web.Request) -> web.Response:
        """Publish a version of the trainer's model."""
        settings = self.find_settings(request)
        if isinstance(settings, Refusal):
            return self.entry.refuse(request, settings)
        trainer = request.match_info["trainer"]
        body = await request.read()
        with bad_input():
            version = int(json.loads(body)["version"])
        result = await self.propose(request, c.Publish(trainer, settings.model, version))
        if not isinstance(result, c.Published):
            return self.entry.refuse(request, result)
        for runner in self.entry.runners.values():
            if runner.spec.trainer == trainer:
                runner.set_version(result.version)
        return self.reply(request, {"version": result.version})


def read_spec(trainer: str, settings: Trainer, body: dict[str, Any]) -> tuple[StepSpec, int]:
    """Parse a request to open a step; return the step and its time limit in milliseconds.

    :raises ValueError: if a value is out of range.
    :raises TypeError: if a prompt is not a string.
    """
    prompts = body["prompts"]
    if not isinstance(prompts, list) or not prompts:
        raise ValueError("prompts must be a non-empty list")
    if not all(isinstance(prompt, str) for prompt in prompts):
        raise TypeError("prompts must be a list of strings")
    spec = StepSpec(
        trainer=trainer,
        step=int(body["step"]),
        prompts=prompts,
        group_size=parse_positive(body.get("group_size", settings.group_size)),
        staleness_bound=int(body.get("staleness_bound", settings.staleness_bound)),
        max_tokens=parse_positive(body.get("max_tokens", 64)),
        whole_groups=bool(body.get("whole_groups", settings.whole_groups)),
    )
    if spec.staleness_bound < 0:
        raise ValueError(f"staleness_bound must not be negative, got {spec.staleness_bound}")
    return spec, parse_positive(body.get("deadline_ms", DEFAULT_STEP_TIMEOUT_MS))


def read_pull(trainer: str, step: str, body: bytes) -> Pull:
    """Parse a pull, and limit its size and waiting time."""
    document = json.loads(body)
    wait_ms = min(int(document.get("wait_ms", 0)), MAX_WAIT_MS)
    max_samples = min(parse_positive(document.get("most", MAX_PULL_SAMPLES)), MAX_PULL_SAMPLES)
    cursor, number = int(document["cursor"]), int(document["pull"])
    wait_until = time.monotonic() + wait_ms / 1000
    return Pull(trainer, int(step), cursor, number, max_samples, wait_until)


def parse_positive(value: Any) -> int:
    """Convert a value to an integer; raise ValueError if it is not positive."""
    number = int(value)
    if number < 1:
        raise ValueError(f"expected a positive number, got {number}")
    return number


def trainer_routes(entry: Any) -> list[web.RouteDef]:
    """Return the HTTP routes of the trainers' interface."""
    handlers = TrainerInterface(entry)
    return [
        web.post("/trainers/{trainer}/steps", handlers.on_open),
        web.post("/trainers/{trainer}/steps/{step}/pull", handlers.on_pull),
        web.post("/trainers/{trainer}/steps/{step}/close", handlers.on_close),
        web.post("/trainers/{trainer}/versions", handlers.on_publish),
    ]
