"""The entry: callers' and trainers' HTTP interface, with routing, limits and retries."""

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

from apricotvale import events, metrics
from apricotvale.control.calls import SyncReply
from apricotvale.daemons import headers as h
from apricotvale.daemons.claiming import Claimant
from apricotvale.daemons.dispatch import Dispatcher, Sent
from apricotvale.daemons.link import ControlClient, ControlLink
from apricotvale.daemons.runtime import (
    HttpServer,
    TaskGroup,
    health_routes,
    until_stopped,
    wait_event,
)
from apricotvale.daemons.steps import StepRunner
from apricotvale.daemons.streams import STREAM_END
from apricotvale.daemons.trainers import trainer_routes
from apricotvale.daemons.upstreams import Answer, OpenStream, Outbound, Upstreams
from apricotvale.exceptions import BadInputError, bad_input
from apricotvale.membership.roster import Kind, Member, RosterView, Standing
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.retries import RetryBudget
from apricotvale.requests.routing import Router, subset
from apricotvale.samples.store import Payload, PayloadStore
from apricotvale.settings import (
    Deployment,
    ProcessSettings,
    Route,
    TrafficClass,
    parse_deployment,
)
from apricotvale.settings.schema import IslandPolicy, Routing

REQUEST_ID = web.RequestKey("request_id", str)
PAYLOAD_BYTES = 256 * 1024 * 1024
MAX_TOKENS = 1_000_000
DEFAULT_MAX_TOKENS = 16
DISOWNED_S = 3.0
SCORE_TIMEOUT_S = 5.0
AFFINITY_PREFIX = 256


class Entry:
    """One entry as a process."""

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self.metrics = metrics.Metrics(settings.statsd, settings.name)
        self.view = RosterView()
        self.router = Router(settings.site, Routing(), random.Random(self.incarnation))
        self.upstreams = Upstreams(self.router, self.in_force)
        self.link = ControlLink(settings.control, self.describe, self.in_force, self.on_reply)
        self.link.known_steps = lambda: list(self.runners)
        self.control = ControlClient(settings.control)
        self.dispatcher = Dispatcher(
            self.view, self.router, self.upstreams, RetryBudget(10), self.metrics, self.link.poke
        )
        self.claimant = Claimant(
            self.control, self.dispatcher, settings.name, lambda: self.link.is_fresh
        )
        self.payloads = PayloadStore(PAYLOAD_BYTES)
        self.scores: dict[str, float] = {}
        self.runners: dict[str, StepRunner] = {}
        self.fill_events: dict[str, asyncio.Event] = {}
        self.found: dict[tuple[Kind, str], tuple[int, list[Member]]] = {}
        self.deployment: Deployment | None = None
        self.revision = 0
        self.draining = False
        self.active = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.tasks = TaskGroup()

    # -- life

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop, then finish what is in flight."""
        async with (
            self.upstreams,
            HttpServer(self.make_app(), self.settings.listen) as server,
            self.tasks,
        ):
            events.emit(events.STARTED, listen=self.settings.listen)
            sync_task = self.tasks.start(self.link.run())
            await until_stopped(stop, sync_task, self.tasks.start(self.upstreams.watch()))
            self.draining = True
            sync_task.cancel()
            await self.link.leave()
            await server.stop_accepting()
            await self.finish_requests()
        self.link.close()
        self.control.close()
        events.emit(events.STOPPED)

    async def finish_requests(self) -> None:
        """Wait for the requests in flight, within the drain deadline."""
        drain_ms = self.deployment.limits.drain_ms if self.deployment else 0
        if not await wait_event(self.idle, drain_ms / 1000):
            events.emit(events.CANCELLED, why="drain deadline", active=self.active)

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
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
        return app

    def is_ready(self) -> bool:
        """Return whether a confirmed configuration is in force and the entry is not leaving."""
        return self.deployment is not None and not self.draining

    # -- what control knows and says

    def describe(self) -> Member:
        """Return the member as it announces itself."""
        return Member(
            name=self.settings.name,
            incarnation=self.incarnation,
            kind=Kind.ENTRY,
            address=self.settings.advertise or self.settings.listen,
            site=self.settings.site,
            standing=Standing.DRAINING if self.draining else Standing.SERVING,
        )

    def in_force(self) -> int:
        """Return the configuration revision in force."""
        return self.revision

    def on_reply(self, reply: SyncReply) -> None:
        """Take members, a newer configuration and owned steps."""
        self.view.apply(reply.roster)
        self.router.forget_departed({m.incarnation for m in self.view.members.values()})
        if reply.document is not None and reply.revision > self.revision:
            overlay = reply.document.overlays.get(self.settings.site)
            self.apply(
                parse_deployment(reply.document.base, overlay, self.settings.site),
                reply.revision,
            )
            self.link.poke()
        self.take_steps(reply)

    def apply(self, deployment: Deployment, revision: int) -> None:
        """Put a configuration in force."""
        first = self.deployment is None
        self.deployment = deployment
        self.revision = revision
        self.router.settings = deployment.routing
        self.found.clear()
        self.dispatcher.budget.percent = deployment.limits.retry_budget_percent
        self.link.sync_ms = deployment.control.sync_ms
        self.link.lease_ms = deployment.control.lease_ms
        events.emit(events.CONFIG_IN_FORCE, revision=revision)
        if first:
            events.emit(events.READY)

    def take_steps(self, reply: SyncReply) -> None:
        """Start runners for steps that are ours and stop those that have long not been."""
        for ownership in reply.steps:
            key = f"{ownership.trainer}/{ownership.step}"
            if key not in self.runners and ownership.spec is not None:
                self.start_runner(
                    StepRunner(self, ownership.spec, ownership.version, ownership.open_slots)
                )
            if key in self.runners:
                self.runners[key].take(ownership)
        horizon = time.monotonic() - DISOWNED_S
        for key, runner in list(self.runners.items()):
            if runner.owned_at < horizon:
                self.stop_runner(key)

    def start_runner(self, runner: StepRunner) -> None:
        """Run a step."""
        if runner.key not in self.runners:
            self.runners[runner.key] = runner
            runner.task = self.tasks.start(runner.run())

    def stop_runner(self, key: str) -> None:
        """Stop a step."""
        runner = self.runners.pop(key, None)
        self.fill_events.pop(key, None)
        if runner is not None and runner.task is not None:
            runner.task.cancel()

    def filled(self, key: str) -> None:
        """Wake the pulls that wait for samples of a step."""
        event = self.fill_events.pop(key, None)
        if event is not None:
            event.set()

    def fill_event(self, key: str) -> asyncio.Event:
        """Return an event that is set by the step's next fill."""
        return self.fill_events.setdefault(key, asyncio.Event())

    # -- every request

    @web.middleware
    async def middleware(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Count a request, refuse it if the entry does not serve, and answer bad input."""
        request[REQUEST_ID] = request.headers.get(h.REQUEST_ID) or uuid.uuid4().hex
        if request.path in ("/healthz", "/readyz"):
            return await handler(request)
        refusal = self.refuse_early()
        if refusal is not None:
            if h.IDEMPOTENCY_KEY in request.headers:
                refusal = evolve(refusal, ran=Ran.UNKNOWN)
            return self.refuse(request, refusal)
        self.active += 1
        self.idle.clear()
        started = time.monotonic()
        try:
            return await handler(request)
        except web.HTTPException as error:
            return self.refuse(request, http_refusal(error))
        except BadInputError as error:
            return self.refuse(request, not_run(Reason.BAD_REQUEST, str(error)))
        except asyncio.CancelledError:
            events.emit(events.CANCELLED, request=request[REQUEST_ID], why="the caller went away")
            raise
        finally:
            self.metrics.timing(metrics.REQUEST_MS, (time.monotonic() - started) * 1000)
            self.active -= 1
            if not self.active:
                self.idle.set()

    def request_id(self, request: web.Request) -> str:
        """Return the id of a request, the caller's if it brought one."""
        return request[REQUEST_ID]

    def refuse_early(self) -> Refusal | None:
        """Return why the entry does not serve now."""
        if self.deployment is None:
            return not_run(Reason.NOT_READY, "no confirmed configuration yet", 1.0)
        island = self.deployment.control.island
        if not self.link.is_fresh and island is IslandPolicy.REFUSE:
            return not_run(Reason.ISLAND, "cut off from control", 1.0)
        return None

    def refuse(self, request: web.Request, refusal: Refusal) -> web.Response:
        """Return the answer for a refusal."""
        events.emit(
            events.REFUSED,
            request=request[REQUEST_ID],
            reason=refusal.reason,
            ran=refusal.ran,
            detail=refusal.detail,
        )
        self.metrics.count(f"{metrics.REFUSALS}.{refusal.reason}")
        fields = {h.REQUEST_ID: request[REQUEST_ID], h.RAN: refusal.ran.value}
        if refusal.retry_after_s is not None:
            fields[h.RETRY_AFTER] = str(max(1, round(refusal.retry_after_s)))
        return web.json_response(
            refusal.problem(request[REQUEST_ID]),
            status=refusal.status,
            headers=fields,
            content_type=h.PROBLEM_TYPE,
        )

    def deadline_of(self, request: web.Request, default_ms: int) -> float:
        """Return a request's deadline on the monotonic clock."""
        with bad_input():
            remaining_ms = float(request.headers.get(h.DEADLINE_MS, default_ms))
        return time.monotonic() + remaining_ms / 1000

    async def read_body(self, request: web.Request) -> bytes | Refusal:
        """Return the body, or a refusal of one that is too long."""
        assert self.deployment is not None
        most = self.deployment.limits.max_body_bytes
        if (request.content_length or 0) > most:
            return not_run(Reason.BODY_TOO_LARGE, f"at most {most} bytes")
        body = await request.read()
        if len(body) > most:
            return not_run(Reason.BODY_TOO_LARGE, f"at most {most} bytes")
        return body

    def answer(self, request: web.Request, sent: Answer, member: str) -> web.Response:
        """Return an upstream's whole answer."""
        fields = {
            h.REQUEST_ID: request[REQUEST_ID],
            h.UPSTREAM: member,
            h.RAN: Ran.RAN.value,
            "Content-Type": sent.content_type,
        }
        return web.Response(status=sent.status, body=sent.body, headers=fields)

    # -- completions

    def engines_for(self, model: str) -> list[Member]:
        """Return the engines that serve a model, as far as this entry uses them."""
        return self.candidates(Kind.ENGINE, model, lambda member: model in member.models)

    def candidates(self, kind: Kind, name: str, fits: Callable[[Member], bool]) -> list[Member]:
        """Return the serving members of a kind that fit, found anew when the view changed."""
        changes, found = self.found.get((kind, name), (-1, []))
        if changes == self.view.changes:
            return found
        serving = [
            member
            for member in sorted(self.view.members.values(), key=lambda member: member.name)
            if member.kind is kind and member.standing is Standing.SERVING and fits(member)
        ]
        chosen = subset(serving, self.settings.name, self.router.settings.subset)
        self.found[kind, name] = (self.view.changes, chosen)
        return chosen

    async def on_completion(self, request: web.Request) -> web.StreamResponse:
        """Answer an interactive completion."""
        assert self.deployment is not None
        body = await self.read_body(request)
        if isinstance(body, Refusal):
            return self.refuse(request, body)
        with bad_input():
            asked = read_completion(body, request.path.endswith("/chat/completions"))
        model = asked["model"]
        if not any(model in pool.models for pool in self.deployment.pools.values()):
            return self.refuse(request, not_run(Reason.UNKNOWN_MODEL, model))
        outbound = Outbound(
            "/v1/completions",
            json.dumps(asked).encode(),
            request[REQUEST_ID],
            TrafficClass.INTERACTIVE,
            self.deadline_of(request, self.deployment.limits.request_timeout_ms),
            stream=asked["stream"],
        )
        affinity = asked["prompt"][:AFFINITY_PREFIX]
        sent = await self.dispatcher.send(
            lambda: self.engines_for(model), outbound, repeatable=True, affinity=affinity
        )
        if isinstance(sent, Refusal):
            return self.refuse(request, sent)
        if isinstance(sent.answer, OpenStream):
            return await self.relay(request, sent, sent.answer, outbound.deadline)
        return self.answer(request, sent.answer, sent.member.name)

    async def relay(
        self, request: web.Request, sent: Sent, stream: OpenStream, deadline: float
    ) -> web.StreamResponse:
        """Pass a stream on; one that ends without its marker is cut at the caller too."""
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                h.REQUEST_ID: request[REQUEST_ID],
                h.UPSTREAM: sent.member.name,
            }
        )
        tail = b""
        try:
            await response.prepare(request)
            async with asyncio.timeout(deadline - time.monotonic()):
                async for chunk in stream.response.content.iter_any():
                    tail = (tail + chunk)[-len(STREAM_END) :]
                    await response.write(chunk)
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            tail = b""
        finally:
            stream.response.close()
            self.upstreams.end_stream(sent.member)
        if tail != STREAM_END:
            events.emit(events.STREAM_CUT, request=request[REQUEST_ID], upstream=sent.member.name)
            if request.transport is not None:
                request.transport.abort()
            return response
        await response.write_eof()
        return response

    # -- plain services

    def replicas_of(self, service: str) -> list[Member]:
        """Return the replicas of a plain service, as far as this entry uses them."""
        return self.candidates(Kind.SERVICE, service, lambda member: member.group == service)

    async def on_service(self, request: web.Request) -> web.StreamResponse:
        """Answer a call to a plain service."""
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
        outbound = self.service_request(request, route, path, body)
        if not route.idempotent:
            return await self.run_once(request, name, outbound)
        sent = await self.dispatcher.send(
            lambda: self.replicas_of(name),
            outbound,
            repeatable=True,
            hedge_after_s=route.hedge_after_ms / 1000,
        )
        if isinstance(sent, Refusal):
            return self.refuse(request, sent)
        assert isinstance(sent.answer, Answer)
        return self.answer(request, sent.answer, sent.member.name)

    def service_request(
        self, request: web.Request, route: Route, path: str, body: bytes
    ) -> Outbound:
        """Return the request to a service's sidecar."""
        query = f"?{request.query_string}" if request.query_string else ""
        content_type = request.headers.get("Content-Type", "application/octet-stream")
        return Outbound(
            f"/call{path}{query}",
            body,
            request[REQUEST_ID],
            route.traffic_class,
            self.deadline_of(request, route.timeout_ms),
            {"X-Method": request.method, "Content-Type": content_type},
        )

    async def run_once(
        self, request: web.Request, service: str, outbound: Outbound
    ) -> web.StreamResponse:
        """Run a non-idempotent call at most once; without the caller's key a resend is new."""
        assert self.deployment is not None
        given = request.headers.get(h.IDEMPOTENCY_KEY) or f"once-{uuid.uuid4().hex}"
        control = self.deployment.control
        result = await self.claimant.run(
            f"{service}:{given}",
            outbound,
            lambda: self.replicas_of(service),
            control.claims,
            control.claim_window_ms,
            resendable=h.IDEMPOTENCY_KEY in request.headers,
        )
        if isinstance(result, Refusal):
            return self.refuse(request, result)
        return self.answer(request, result, service)

    # -- scores

    async def score(self, trainer: str, payload: Payload) -> float | None:
        """Return a sample's score where the trainer has a scorer, asking it once."""
        assert self.deployment is not None
        settings = self.deployment.trainers.get(trainer)
        if settings is None or not settings.scorer:
            return None
        if payload.attempt in self.scores:
            return self.scores[payload.attempt]
        outbound = Outbound(
            "/call/score",
            json.dumps({"text": payload.text}).encode(),
            uuid.uuid4().hex,
            TrafficClass.BACKGROUND,
            time.monotonic() + SCORE_TIMEOUT_S,
            {"X-Method": "POST", "Content-Type": "application/json"},
        )
        sent = await self.dispatcher.send(
            lambda: self.replicas_of(settings.scorer), outbound, repeatable=True
        )
        if isinstance(sent, Refusal) or not isinstance(sent.answer, Answer):
            return None
        score = float(json.loads(sent.answer.body)["score"])
        self.scores[payload.attempt] = score
        return score


def find_route(routes: list[Route], path: str, method: str) -> Route | None:
    """Return the route of a call: the longest path that begins it."""
    fitting = [
        route
        for route in routes
        if method in route.methods
        and (path == route.path or path.startswith(route.path.rstrip("/") + "/"))
    ]
    return max(fitting, key=lambda route: len(route.path), default=None)


def read_completion(body: bytes, chat: bool) -> dict[str, Any]:
    """Return a caller's completion request as sidecars take it."""
    document = json.loads(body)
    return {
        "model": str(document["model"]),
        "prompt": prompt_of(document, chat),
        "max_tokens": checked_tokens(document),
        "stream": bool(document.get("stream", False)),
        "chat": chat,
    }


def prompt_of(document: dict[str, Any], chat: bool) -> str:
    """Return the prompt of a completion, or of a chat's messages."""
    if not chat:
        prompt = document["prompt"]
        if not isinstance(prompt, str):
            raise TypeError("prompt must be a string")
        return prompt
    return "\n".join(f"{message['role']}: {message['content']}" for message in document["messages"])


def checked_tokens(document: dict[str, Any]) -> int:
    """Return the number of tokens asked for."""
    count = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not isinstance(count, int) or not 1 <= count <= MAX_TOKENS:
        raise ValueError(f"max_tokens must be between 1 and {MAX_TOKENS}")
    return count


def http_refusal(error: web.HTTPException) -> Refusal:
    """Return the refusal for an error of the HTTP layer."""
    if error.status == 413:
        return not_run(Reason.BODY_TOO_LARGE)
    if error.status in (404, 405):
        return not_run(Reason.UNKNOWN_ROUTE, error.reason)
    if error.status < 500:
        return not_run(Reason.BAD_REQUEST, error.reason)
    return unknown(Reason.UPSTREAM_LOST, error.reason)
