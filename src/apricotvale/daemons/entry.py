"""The entry daemon: HTTP API for callers and trainers, with routing, limits and retries."""

from __future__ import annotations

import asyncio
import json
import random
import time
import uuid
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web
from attrs import evolve

from apricotvale import clock, events, metrics
from apricotvale.control.calls import SyncReply
from apricotvale.crashes.sidecar_evidence import ROSTER_SIGNS
from apricotvale.daemons import headers as h
from apricotvale.daemons.claiming import ClaimRunner
from apricotvale.daemons.crash_guard import CrashGuard
from apricotvale.daemons.dispatch import Dispatcher, MemberAnswer
from apricotvale.daemons.http_server import HttpServer
from apricotvale.daemons.in_flight import InFlight, OutOfTimeError
from apricotvale.daemons.link import ControlClient, ControlLink
from apricotvale.daemons.runtime import TaskGroup, health_routes, wait_until_stopped
from apricotvale.daemons.steps import StepRunner
from apricotvale.daemons.streams import STREAM_END
from apricotvale.daemons.supervision import Supervision
from apricotvale.daemons.trainers import trainer_routes
from apricotvale.daemons.upstreams import Answer, OpenStream, SidecarRequest, Upstreams
from apricotvale.exceptions import BadInputError, bad_input
from apricotvale.membership.roster import Kind, Member, RosterView, Standing
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.calls import Call
from apricotvale.requests.retries import RetryBudget
from apricotvale.requests.routing import Router, subset
from apricotvale.samples.store import Payload, PayloadStore
from apricotvale.settings.loader import parse_deployment
from apricotvale.settings.routing import Routing
from apricotvale.settings.schema import (
    Deployment,
    IslandPolicy,
    ProcessSettings,
    Route,
    TrafficClass,
)

REQUEST_ID = web.RequestKey("request_id", str)
# Whether the head of the answer has been sent.
IS_ANSWERED = web.RequestKey("is_answered", bool)
PAYLOAD_STORE_BYTES = 256 * 1024 * 1024
MAX_TOKENS = 1_000_000
DEFAULT_MAX_TOKENS = 16
STEP_OWNERSHIP_TIMEOUT_S = 3.0
SCORE_TIMEOUT_S = 5.0
# Time for sending the answers to requests that are given up.
LAST_ANSWERS_S = 0.2
STOPPING_DETAIL = "the entry stops"
AFFINITY_PREFIX_CHARS = 256


class Entry:
    """An entry process: serves the HTTP API and forwards requests to sidecars.

    :param settings: settings of the process.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self.metrics = metrics.Metrics(settings.statsd, settings.name)
        self.view = RosterView()
        self.router = Router(settings.site, Routing(), random.Random(self.incarnation))
        self.upstreams = Upstreams(self.router, self.current_revision)
        self.link = ControlLink(
            settings.control, self.describe, self.current_revision, self.on_reply
        )
        self.link.known_steps = lambda: list(self.runners)
        self.guard = CrashGuard(
            settings.name,
            self.view,
            self.upstreams,
            self.link.call_briefly,
            lambda: self.link.is_fresh,
            ROSTER_SIGNS,
            # A sidecar remains when its upstream ends; the upstream is sound once it is back.
            self.router.succeed,
        )
        self.link.suspects_position = lambda: self.guard.known.position
        self.control = ControlClient(settings.control)
        self.dispatcher = Dispatcher(
            self.view,
            self.router,
            self.upstreams,
            RetryBudget(10),
            self.metrics,
            self.link.request_sync,
        )
        self.claim_runner = ClaimRunner(
            self.control, self.dispatcher, settings.name, lambda: self.link.is_fresh
        )
        self.payloads = PayloadStore(PAYLOAD_STORE_BYTES)
        self.scores: dict[str, float] = {}
        self.runners: dict[str, StepRunner] = {}
        self.fill_events: dict[str, asyncio.Event] = {}
        self.candidate_cache: dict[tuple[Kind, str], tuple[int, list[Member]]] = {}
        self.deployment: Deployment | None = None
        self.revision = 0
        self.draining = False
        # Whether the entry has left the roster, so that it accepts no more work.
        self.has_left = False
        self.in_flight = InFlight()
        self.tasks = TaskGroup()

    # Lifecycle

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then drain the requests in flight."""
        async with (
            self.upstreams,
            HttpServer(self.make_app(), self.settings.listen) as server,
            self.tasks,
            self.guard.tasks,
        ):
            events.emit(events.STARTED, listen=self.settings.listen)
            sync_task = self.tasks.start(self.link.run())
            await wait_until_stopped(
                stop, sync_task, self.tasks.start(self.upstreams.run_heartbeats())
            )
            self.draining = True
            drain_ms = self.deployment.limits.drain_ms if self.deployment else 0
            self.in_flight.finish_by(clock.now() + drain_ms / 1000)
            sync_task.cancel()
            await self.link.leave()
            self.has_left = True
            await server.drain(self.in_flight.answer_by + LAST_ANSWERS_S)
        self.link.close()
        self.control.close()
        events.emit(events.STOPPED)

    def make_app(self) -> web.Application:
        """Return the HTTP application with the health, caller and trainer routes."""
        app = web.Application(client_max_size=64 * 1024 * 1024, middlewares=[self.middleware])
        app.add_routes(health_routes(self.is_ready))
        app.add_routes(
            [
                web.post("/v1/completions", self.on_completion),
                web.post("/v1/chat/completions", self.on_completion),
                web.route("*", "/services/{service}{path:/.*}", self.on_service),
            ]
        )
        app.add_routes(trainer_routes(self))
        app.on_response_prepare.append(self.on_answer)
        return app

    async def on_answer(self, request: web.Request, response: web.StreamResponse) -> None:
        """Note that an answer begins; while the entry stops, its connection is closed after it."""
        request[IS_ANSWERED] = True
        if self.draining:
            response.headers["Connection"] = "close"
            response.force_close()

    def is_ready(self) -> bool:
        """Return whether a confirmed configuration is in force and the entry is not draining."""
        return self.deployment is not None and not self.draining

    # Exchange with control

    def describe(self) -> Member:
        """Return the member record that is announced to control."""
        return Member(
            name=self.settings.name,
            incarnation=self.incarnation,
            kind=Kind.ENTRY,
            address=self.settings.advertise or self.settings.listen,
            site=self.settings.site,
            standing=Standing.DRAINING if self.draining else Standing.SERVING,
            is_leaving=self.draining,
        )

    def current_revision(self) -> int:
        """Return the configuration revision in force."""
        return self.revision

    def on_reply(self, reply: SyncReply) -> None:
        """Apply the roster, crashes, a newer configuration and step ownership of a sync reply."""
        self.view.apply(reply.roster)
        self.guard.on_news(reply.suspects)
        self.router.forget_departed({m.incarnation for m in self.view.members.values()})
        if reply.document is not None and reply.revision > self.revision:
            overlay = reply.document.overlays.get(self.settings.site)
            self.apply(
                parse_deployment(reply.document.base, overlay, self.settings.site),
                reply.revision,
            )
            self.link.request_sync()
        self.apply_step_ownership(reply)

    def apply(self, deployment: Deployment, revision: int) -> None:
        """Put a configuration in force: routing, retry budget and timing of syncs with control.

        :param deployment: the parsed configuration.
        :param revision: number of the configuration revision.
        """
        first = self.deployment is None
        self.deployment = deployment
        self.revision = revision
        self.router.settings = deployment.routing
        self.candidate_cache.clear()
        self.dispatcher.budget.percent = deployment.limits.retry_budget_percent
        self.link.sync_ms = deployment.control.sync_ms
        self.link.lease_ms = deployment.control.lease_ms
        events.emit(events.CONFIG_IN_FORCE, revision=revision)
        if first:
            events.emit(events.READY)

    def apply_step_ownership(self, reply: SyncReply) -> None:
        """Start runners for owned steps; stop runners whose ownership has timed out."""
        for ownership in reply.steps:
            key = f"{ownership.trainer}/{ownership.step}"
            if key not in self.runners and ownership.spec is not None:
                self.start_runner(
                    StepRunner(self, ownership.spec, ownership.version, ownership.open_slots)
                )
            if key in self.runners:
                self.runners[key].apply_ownership(ownership)
        cutoff = time.monotonic() - STEP_OWNERSHIP_TIMEOUT_S
        for key, runner in list(self.runners.items()):
            if runner.owned_at < cutoff:
                self.stop_runner(key)

    def start_runner(self, runner: StepRunner) -> None:
        """Start a step runner unless one with the same key is running."""
        if runner.key not in self.runners:
            self.runners[runner.key] = runner
            runner.task = self.tasks.start(runner.run())

    def stop_runner(self, key: str) -> None:
        """Cancel the runner of a step, if there is one."""
        runner = self.runners.pop(key, None)
        self.fill_events.pop(key, None)
        if runner is not None and runner.task is not None:
            runner.task.cancel()

    def notify_filled(self, key: str) -> None:
        """Wake the pulls that are waiting for samples of a step."""
        event = self.fill_events.pop(key, None)
        if event is not None:
            event.set()

    def fill_event(self, key: str) -> asyncio.Event:
        """Return the event that is set when a slot of the step is filled next."""
        return self.fill_events.setdefault(key, asyncio.Event())

    # Handling common to all requests

    @web.middleware
    async def middleware(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Count the request, refuse it if the entry cannot serve, and map errors to refusals."""
        request[REQUEST_ID] = request.headers.get(h.REQUEST_ID) or uuid.uuid4().hex
        if request.path in ("/healthz", "/readyz"):
            return await handler(request)
        refusal = self.check_available()
        if refusal is not None:
            if h.IDEMPOTENCY_KEY in request.headers:
                refusal = evolve(refusal, ran=Ran.UNKNOWN)
            return self.refuse(request, refusal)
        started = time.monotonic()
        try:
            with self.in_flight.count():
                return await self.handle_in_time(request, handler)
        except web.HTTPException as error:
            return self.refuse(request, http_refusal(error))
        except BadInputError as error:
            return self.refuse(request, not_run(Reason.BAD_REQUEST, str(error)))
        except asyncio.CancelledError:
            events.emit(events.CANCELLED, request=request[REQUEST_ID], why="caller disconnected")
            raise
        finally:
            self.metrics.timing(metrics.REQUEST_MS, (time.monotonic() - started) * 1000)

    async def handle_in_time(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Handle a request; answer that its outcome is unknown if the entry stops before its end.

        An answer that has begun breaks off, so that it cannot be taken for a whole one.
        """
        try:
            async with self.in_flight.limit():
                return await handler(request)
        except OutOfTimeError:
            events.emit(events.CANCELLED, request=request[REQUEST_ID], why=STOPPING_DETAIL)
            if not request.get(IS_ANSWERED):
                return self.refuse(request, unknown(Reason.OUTCOME_UNKNOWN, STOPPING_DETAIL))
            if request.transport is not None:
                request.transport.abort()
            raise

    def request_id(self, request: web.Request) -> str:
        """Return the id of a request: the caller's `X-Request-Id`, or a generated one."""
        return request[REQUEST_ID]

    def check_available(self) -> Refusal | None:
        """Return a refusal if the entry cannot serve, otherwise None."""
        if self.has_left:
            return not_run(Reason.DRAINING, STOPPING_DETAIL, 0.0)
        if self.deployment is None:
            return not_run(
                Reason.NOT_READY, "no confirmed configuration received from control", 1.0
            )
        island = self.deployment.control.island
        if not self.link.is_fresh and island is IslandPolicy.REFUSE:
            return not_run(Reason.ISLAND, "no confirmation from control within the lease", 1.0)
        return None

    def refuse(self, request: web.Request, refusal: Refusal) -> web.Response:
        """Log and count a refusal, and return its problem response."""
        events.emit(
            events.REFUSED,
            request=request[REQUEST_ID],
            reason=refusal.reason,
            ran=refusal.ran,
            detail=refusal.detail,
        )
        self.metrics.count(f"{metrics.REFUSALS}.{refusal.reason}")
        response_headers = {h.REQUEST_ID: request[REQUEST_ID], h.RAN: refusal.ran.value}
        if refusal.retry_after_s is not None:
            response_headers[h.RETRY_AFTER] = str(max(1, round(refusal.retry_after_s)))
        return web.json_response(
            refusal.problem(request[REQUEST_ID]),
            status=refusal.status,
            headers=response_headers,
            content_type=h.PROBLEM_TYPE,
        )

    def deadline_of(self, request: web.Request, default_ms: int) -> float:
        """Return a request's deadline on the monotonic clock, in seconds.

        :param default_ms: time allowed if the request has no `X-Deadline-Ms`.
        :raises BadInputError: if `X-Deadline-Ms` is not a number.
        """
        with bad_input():
            remaining_ms = float(request.headers.get(h.DEADLINE_MS, default_ms))
        return time.monotonic() + remaining_ms / 1000

    async def read_body(self, request: web.Request) -> bytes | Refusal:
        """Return the body, or a refusal if it exceeds `limits.max_body_bytes`."""
        assert self.deployment is not None
        limit = self.deployment.limits.max_body_bytes
        if (request.content_length or 0) > limit:
            return not_run(
                Reason.BODY_TOO_LARGE,
                f"request body of {request.content_length} bytes exceeds {limit} bytes",
            )
        body = await request.read()
        if len(body) > limit:
            return not_run(
                Reason.BODY_TOO_LARGE,
                f"request body of {len(body)} bytes exceeds {limit} bytes",
            )
        return body

    def answer(self, request: web.Request, result: Answer, member: str) -> web.Response:
        """Return the response for a complete answer of an upstream."""
        response_headers = {
            h.REQUEST_ID: request[REQUEST_ID],
            h.UPSTREAM: member,
            h.RAN: Ran.RAN.value,
            "Content-Type": result.content_type,
        }
        return web.Response(status=result.status, body=result.body, headers=response_headers)

    def supervise(
        self, request: SidecarRequest, method: str, host: str, target: str
    ) -> Supervision:
        """Return the context in which a caller's request is sent.

        :param host: service or model that is called.
        :param target: path and query as the caller sent them.
        """
        deadline = clock.now() + request.deadline - time.monotonic()
        call = Call(method, target, host, request.request_id, request.body, deadline, caller="")
        return self.guard.supervise(call)

    # Completions

    def engines_for(self, model: str) -> list[Member]:
        """Return the engines that serve a model, limited to this entry's subset."""
        return self.candidates(Kind.ENGINE, model, lambda member: model in member.models)

    def candidates(self, kind: Kind, name: str, matches: Callable[[Member], bool]) -> list[Member]:
        """Return this entry's subset of the serving members that match.

        The result is cached until the roster view changes.

        :param name: model or service name, part of the cache key.
        :param matches: predicate on a member.
        """
        changes, cached = self.candidate_cache.get((kind, name), (-1, []))
        if changes == self.view.changes:
            return cached
        serving = [
            member
            for member in sorted(self.view.members.values(), key=lambda member: member.name)
            if member.kind is kind and member.standing is Standing.SERVING and matches(member)
        ]
        chosen = subset(serving, self.settings.name, self.router.settings.subset)
        self.candidate_cache[kind, name] = (self.view.changes, chosen)
        return chosen

    async def on_completion(self, request: web.Request) -> web.StreamResponse:
        """Handle an interactive completion or chat completion."""
        assert self.deployment is not None
        body = await self.read_body(request)
        if isinstance(body, Refusal):
            return self.refuse(request, body)
        with bad_input():
            completion = read_completion(body, request.path.endswith("/chat/completions"))
        model = completion["model"]
        if not any(model in pool.models for pool in self.deployment.pools.values()):
            return self.refuse(request, not_run(Reason.UNKNOWN_MODEL, model))
        sidecar_request = SidecarRequest(
            "/v1/completions",
            json.dumps(completion).encode(),
            request[REQUEST_ID],
            TrafficClass.INTERACTIVE,
            self.deadline_of(request, self.deployment.limits.request_timeout_ms),
            stream=completion["stream"],
        )
        affinity = completion["prompt"][:AFFINITY_PREFIX_CHARS]
        with self.supervise(sidecar_request, "POST", model, request.path) as supervision:
            result = await self.dispatcher.send(
                lambda: self.engines_for(model),
                sidecar_request,
                supervision,
                repeatable=True,
                affinity=affinity,
            )
            if isinstance(result, MemberAnswer) and isinstance(result.answer, OpenStream):
                return await self.relay(
                    request, result, result.answer, sidecar_request.deadline, supervision
                )
        if isinstance(result, Refusal):
            return self.refuse(request, result)
        assert isinstance(result.answer, Answer)
        return self.answer(request, result.answer, result.member.name)

    async def relay(
        self,
        request: web.Request,
        result: MemberAnswer,
        stream: OpenStream,
        deadline: float,
        supervision: Supervision,
    ) -> web.StreamResponse:
        """Relay a stream to the caller.

        If the stream ends without its end marker, the caller's connection is aborted, so that a
        truncated stream cannot be taken for a complete one.

        :param supervision: learns whether the stream was complete, or its upstream lost.
        """
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                h.REQUEST_ID: request[REQUEST_ID],
                h.UPSTREAM: result.member.name,
            }
        )
        tail = b""
        is_reading = False
        try:
            await response.prepare(request)
            async with asyncio.timeout(deadline - time.monotonic()):
                is_reading = True
                async for chunk in stream.response.content.iter_any():
                    tail = (tail + chunk)[-len(STREAM_END) :]
                    is_reading = False
                    await response.write(chunk)
                    is_reading = True
        except TimeoutError:
            tail, is_reading = b"", False
        except (aiohttp.ClientError, ConnectionError):
            tail = b""
        finally:
            stream.response.close()
            self.upstreams.end_stream(result.member)
        if tail == STREAM_END:
            supervision.finish_copy(answered=True)
        elif is_reading:
            await supervision.on_loss(result.member, result.sent_at)
        if tail != STREAM_END:
            events.emit(events.STREAM_CUT, request=request[REQUEST_ID], upstream=result.member.name)
            if request.transport is not None:
                request.transport.abort()
            return response
        await response.write_eof()
        return response

    # Plain services

    def replicas_of(self, service: str) -> list[Member]:
        """Return the replicas of a plain service, limited to this entry's subset."""
        return self.candidates(Kind.SERVICE, service, lambda member: member.group == service)

    async def on_service(self, request: web.Request) -> web.StreamResponse:
        """Handle a call to a plain service."""
        assert self.deployment is not None
        name, path = request.match_info["service"], request.match_info["path"]
        service = self.deployment.services.get(name)
        if service is None:
            return self.refuse(request, not_run(Reason.UNKNOWN_SERVICE, name))
        route = find_route(service.routes, path, request.method)
        if route is None:
            return self.refuse(request, not_run(Reason.UNKNOWN_ROUTE, f"{request.method} {path}"))
        body = await self.read_body(request)
        if isinstance(body, Refusal):
            return self.refuse(request, body)
        sidecar_request = self.service_request(request, route, path, body)
        target = sidecar_request.path
        with self.supervise(sidecar_request, request.method, name, target) as supervision:
            if not route.idempotent:
                return await self.run_once(request, name, sidecar_request, supervision)
            result = await self.dispatcher.send(
                lambda: self.replicas_of(name),
                sidecar_request,
                supervision,
                repeatable=True,
                hedge_after_s=route.hedge_after_ms / 1000,
            )
        if isinstance(result, Refusal):
            return self.refuse(request, result)
        assert isinstance(result.answer, Answer)
        return self.answer(request, result.answer, result.member.name)

    def service_request(
        self, request: web.Request, route: Route, path: str, body: bytes
    ) -> SidecarRequest:
        """Return the request that is sent to a service's sidecar."""
        query = f"?{request.query_string}" if request.query_string else ""
        content_type = request.headers.get("Content-Type", "application/octet-stream")
        return SidecarRequest(
            f"/call{path}{query}",
            body,
            request[REQUEST_ID],
            route.traffic_class,
            self.deadline_of(request, route.timeout_ms),
            {"X-Method": request.method, "Content-Type": content_type},
        )

    async def run_once(
        self,
        request: web.Request,
        service: str,
        sidecar_request: SidecarRequest,
        supervision: Supervision,
    ) -> web.StreamResponse:
        """Run a non-idempotent call at most once.

        Without an idempotency key from the caller, each call gets a key of its own, so a resend
        counts as a new request.
        """
        assert self.deployment is not None
        key_suffix = request.headers.get(h.IDEMPOTENCY_KEY) or f"once-{uuid.uuid4().hex}"
        control = self.deployment.control
        result = await self.claim_runner.run(
            f"{service}:{key_suffix}",
            sidecar_request,
            lambda: self.replicas_of(service),
            control.claims,
            control.claim_window_ms,
            resendable=h.IDEMPOTENCY_KEY in request.headers,
            supervision=supervision,
        )
        if isinstance(result, Refusal):
            return self.refuse(request, result)
        return self.answer(request, result, service)

    # Scores

    async def score(self, trainer: str, payload: Payload) -> float | None:
        """Return a sample's score, or None if the trainer has no scorer or it does not answer.

        Scores are cached by attempt.
        """
        assert self.deployment is not None
        settings = self.deployment.trainers.get(trainer)
        if settings is None or not settings.scorer:
            return None
        if payload.attempt in self.scores:
            return self.scores[payload.attempt]
        sidecar_request = SidecarRequest(
            "/call/score",
            json.dumps({"text": payload.text}).encode(),
            uuid.uuid4().hex,
            TrafficClass.BACKGROUND,
            time.monotonic() + SCORE_TIMEOUT_S,
            {"X-Method": "POST", "Content-Type": "application/json"},
        )
        # Scores belong to samples, which are owed to a trainer, so that they are never stopped.
        deadline = clock.now() + SCORE_TIMEOUT_S
        call = Call("POST", "/score", settings.scorer, sidecar_request.request_id, b"", deadline)
        with self.guard.supervise(call) as supervision:
            result = await self.dispatcher.send(
                lambda: self.replicas_of(settings.scorer),
                sidecar_request,
                supervision,
                repeatable=True,
            )
        if isinstance(result, Refusal) or not isinstance(result.answer, Answer):
            return None
        score = float(json.loads(result.answer.body)["score"])
        self.scores[payload.attempt] = score
        return score


def find_route(routes: list[Route], path: str, method: str) -> Route | None:
    """Return the route with the longest matching path prefix, or None."""
    matching = [
        route
        for route in routes
        if method in route.methods
        and (path == route.path or path.startswith(route.path.rstrip("/") + "/"))
    ]
    return max(matching, key=lambda route: len(route.path), default=None)


def read_completion(body: bytes, chat: bool) -> dict[str, Any]:
    """Parse a caller's completion request into the form that sidecars accept.

    :param chat: whether the body is a chat completion.
    """
    document = json.loads(body)
    return {
        "model": str(document["model"]),
        "prompt": read_prompt(document, chat),
        "max_tokens": read_max_tokens(document),
        "stream": bool(document.get("stream", False)),
        "chat": chat,
    }


def read_prompt(document: dict[str, Any], chat: bool) -> str:
    """Return the prompt of a completion, or the joined messages of a chat.

    :raises TypeError: if the prompt is not a string.
    """
    if not chat:
        prompt = document["prompt"]
        if not isinstance(prompt, str):
            raise TypeError(f"prompt must be a string, got {type(prompt).__name__}")
        return prompt
    return "\n".join(f"{message['role']}: {message['content']}" for message in document["messages"])


def read_max_tokens(document: dict[str, Any]) -> int:
    """Return `max_tokens` of a request, or its default.

    :raises ValueError: if it is not an integer within the limits.
    """
    count = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not isinstance(count, int) or not 1 <= count <= MAX_TOKENS:
        raise ValueError(f"max_tokens must be an integer between 1 and {MAX_TOKENS}")
    return count


def http_refusal(error: web.HTTPException) -> Refusal:
    """Return the refusal for an error raised by aiohttp."""
    if error.status == 413:
        return not_run(Reason.BODY_TOO_LARGE)
    if error.status in (404, 405):
        return not_run(Reason.UNKNOWN_ROUTE, error.reason)
    if error.status < 500:
        return not_run(Reason.BAD_REQUEST, error.reason)
    return unknown(Reason.UPSTREAM_LOST, error.reason)
