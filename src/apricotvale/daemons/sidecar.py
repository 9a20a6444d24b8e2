"""The sidecar daemon: the proxy in front of one upstream.

Every request to the upstream passes through its sidecar, which controls admission, attaches weight
versions, checks fencing tokens and drains.
"""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from typing import Any

import aiohttp
from aiohttp import web

from apricotvale import events, metrics
from apricotvale.control.calls import SyncReply
from apricotvale.daemons import headers as h
from apricotvale.daemons.gate import AdmissionGate
from apricotvale.daemons.http_server import HttpServer
from apricotvale.daemons.link import ControlLink
from apricotvale.daemons.orders import OrderRunner
from apricotvale.daemons.reachability import accepts_connections
from apricotvale.daemons.runtime import (
    TaskGroup,
    health_routes,
    wait_event,
    wait_until_stopped,
)
from apricotvale.daemons.streams import (
    SAMPLE_COALESCE_INTERVAL_S,
    STREAM_END,
    GeneratedTokens,
    TokenParser,
    completion_answer,
    completion_chunk,
    sse,
    token_batches,
)
from apricotvale.exceptions import MalformedResponseError, TruncatedStreamError
from apricotvale.http_client import MalformedAnswerError, make_connector
from apricotvale.membership.roster import Kind, Member, Standing
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.admission import PRIORITY_BY_CLASS, Admission, Ticket
from apricotvale.requests.claims import Outcome, OutcomeRecord
from apricotvale.requests.tokens import TokenPhase, TokenTable
from apricotvale.samples.store import Payload, PayloadStore
from apricotvale.settings.loader import parse_deployment
from apricotvale.settings.schema import Deployment, ProcessSettings, TrafficClass

POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 1.0
MAX_POLL_FAILURES = 2
CONNECT_TIMEOUT_S = 0.5
MAX_RECORDED_BODY_BYTES = 64 * 1024
PAYLOAD_STORE_BYTES = 64 * 1024 * 1024
RESOLVE_POLL_INTERVAL_S = 0.02
RESOLVE_GRACE_S = 0.2
HOP_BY_HOP_HEADERS = {"content-length", "transfer-encoding", "connection", "host"}


class Sidecar:
    """A sidecar process.

    :param settings: settings of the process; `upstream` is required.
    :raises ValueError: if no upstream is configured.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        if settings.upstream is None:
            raise ValueError(f"sidecar {settings.name!r} has no upstream configured")
        self.settings = settings
        self.upstream = settings.upstream
        self.metrics = metrics.Metrics(settings.statsd, settings.name)
        self.incarnation = uuid.uuid4().hex
        self.instance = ""
        self.models: dict[str, int] = {}
        self.alive = False
        self.poll_failures = 0
        self.deployment: Deployment | None = None
        self.revision = 0
        self.revision_since = 0.0
        self.gate = AdmissionGate(Admission(1, 0, 0, 0.0))
        self.tokens = TokenTable(1, 1.0)
        self.payloads = PayloadStore(PAYLOAD_STORE_BYTES)
        self.link = ControlLink(
            settings.control, self.describe, self.current_revision, self.on_reply
        )
        self.orders = OrderRunner(self)
        self.draining = False
        self.session: aiohttp.ClientSession
        self.unpooled_session: aiohttp.ClientSession

    # Lifecycle

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then drain."""
        connector = make_connector(limit=0)
        unpooled = make_connector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=None)
        async with (
            aiohttp.ClientSession(connector=connector, timeout=timeout) as self.session,
            aiohttp.ClientSession(connector=unpooled, timeout=timeout) as self.unpooled_session,
            HttpServer(self.make_app(), self.settings.listen) as server,
            TaskGroup() as tasks,
        ):
            # aiohttp would itself send a request with an idempotent method again, after its first
            # send may have run, and the refusal of the second would pass for that of the request.
            self.session._retry_connection = self.unpooled_session._retry_connection = False
            events.emit(events.STARTED, listen=self.settings.listen)
            await self.poll_upstream()
            sync_task = tasks.start(self.link.run())
            poll_task = tasks.start(self.watch_upstream())
            await wait_until_stopped(stop, sync_task, poll_task, tasks.start(self.orders.run()))
            await self.drain()
            sync_task.cancel()
            await self.link.leave()
            await server.stop_accepting()
        self.link.close()
        events.emit(events.STOPPED)

    async def drain(self) -> None:
        """Refuse new requests, announce the drain, and wait for running ones.

        The wait is limited to `limits.drain_ms`.
        """
        self.draining = True
        self.gate.draining = True
        self.link.request_sync()
        drain_ms = self.deployment.limits.drain_ms if self.deployment else 0
        if not await wait_event(self.gate.idle, drain_ms / 1000):
            events.emit(
                events.CANCELLED, why="drain deadline exceeded", active=self.gate.admission.active
            )

    def make_app(self) -> web.Application:
        """Return the HTTP application with the health, request and sample routes."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.add_routes(health_routes(lambda: self.alive and not self.draining))
        app.add_routes(
            [
                web.post("/v1/completions", self.on_completion),
                web.post("/call/{path:.*}", self.on_service_call),
                web.post("/claims/resolve", self.on_resolve),
                web.post("/samples", self.on_sample),
                web.get("/samples/{attempt}", self.on_payload),
                web.post("/samples/release", self.on_release),
                web.post("/drain", self.on_drain),
                web.get("/upstream", self.on_upstream),
            ]
        )
        return app

    # Exchange with control

    def describe(self) -> Member:
        """Return the member record that is announced to control."""
        unavailable = self.draining or not self.alive
        return Member(
            name=self.settings.name,
            incarnation=self.incarnation,
            kind=Kind.ENGINE if self.upstream.pool else Kind.SERVICE,
            address=self.settings.advertise or self.settings.listen,
            site=self.settings.site,
            group=self.upstream.pool or self.upstream.service,
            models=dict(self.models),
            checks_fencing=self.upstream.checks_fencing,
            standing=Standing.DRAINING if unavailable else Standing.SERVING,
            is_leaving=self.draining,
        )

    def current_revision(self) -> int:
        """Return the configuration revision in force."""
        return self.revision

    def on_reply(self, reply: SyncReply) -> None:
        """Apply a newer configuration and the load orders of a sync reply."""
        if reply.document is not None and reply.revision > self.revision:
            overlay = reply.document.overlays.get(self.settings.site)
            deployment = parse_deployment(reply.document.base, overlay, self.settings.site)
            self.apply(deployment, reply.revision)
            self.link.request_sync()
        self.orders.queue_grants(reply)

    def apply(self, deployment: Deployment, revision: int) -> None:
        """Put a configuration in force: admission, claim tokens and timing of syncs with control.

        :param deployment: the parsed configuration.
        :param revision: number of the configuration revision.
        """
        self.deployment = deployment
        self.revision = revision
        self.revision_since = time.monotonic()
        limits = deployment.limits
        pool = deployment.pools.get(self.upstream.pool)
        service = deployment.services.get(self.upstream.service)
        admission = self.gate.admission
        admission.slots = pool.slots if pool else service.slots if service else 0
        admission.reserve_percent = limits.interactive_reserve_percent
        admission.queue_length = limits.queue_length
        admission.queue_s = limits.queue_ms / 1000
        self.tokens.limit = deployment.control.claims
        self.tokens.window_s = deployment.control.claim_window_ms / 1000
        self.link.sync_ms = deployment.control.sync_ms
        self.link.lease_ms = deployment.control.lease_ms
        events.emit(events.CONFIG_IN_FORCE, revision=revision)

    # State of the upstream

    async def watch_upstream(self) -> None:
        """Poll the upstream and sync with control when its state changes."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            previous = (self.alive, dict(self.models), self.incarnation)
            await self.poll_upstream()
            if (self.alive, self.models, self.incarnation) != previous:
                self.link.request_sync()

    async def poll_upstream(self) -> None:
        """Query the state of the upstream once.

        A refused connection or a status other than 200 marks the upstream down at once, other
        errors after `MAX_POLL_FAILURES` failed polls in a row.
        """
        path = "/v1/state" if self.upstream.pool else "/healthz"
        url = f"http://{self.upstream.address}{path}"
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S), self.session.get(url) as response:
                body = await response.read()
                if self.upstream.pool:
                    self.update_state(json.loads(body))
                self.alive = response.status == 200
                self.poll_failures = 0
        except aiohttp.ClientConnectorError:
            self.alive = False
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
            self.poll_failures += 1
            self.alive = self.alive and self.poll_failures < MAX_POLL_FAILURES

    async def on_upstream(self, request: web.Request) -> web.Response:
        """Check whether the upstream accepts connections, for an entry that lost a request there.

        An upstream that refuses them gets no new requests from now on. Nothing is known about the
        upstream of another incarnation of this sidecar.
        """
        accepts = None
        if request.headers.get(h.INCARNATION) == self.incarnation:
            accepts = await accepts_connections(self.upstream.address, CONNECT_TIMEOUT_S)
            if accepts is False and self.alive:
                self.alive = False
                self.link.request_sync()
        return web.json_response({"accepts": accepts})

    def update_state(self, state: dict[str, Any]) -> None:
        """Update the versions and the instance id from the engine's state report.

        A changed instance id means that the engine was restarted: the member becomes a new
        incarnation.
        """
        instance = str(state["instance"])
        if self.instance and instance != self.instance:
            self.incarnation = uuid.uuid4().hex
        self.instance = instance
        self.models = {str(name): int(version) for name, version in state["models"].items()}

    # Admission of all requests

    def check(self, request: web.Request) -> Refusal | float:
        """Check whether a request can be served; return its deadline or a refusal as not run."""
        if self.draining or not self.alive:
            return not_run(Reason.DRAINING, "the upstream is draining or down", 0.0)
        if request.headers.get(h.INCARNATION, self.incarnation) != self.incarnation:
            return not_run(Reason.WRONG_INCARNATION, "the request names another incarnation")
        if self.deployment is None:
            return not_run(Reason.NOT_READY, "no confirmed configuration received from control")
        try:
            revision = int(request.headers.get(h.REVISION, "0"))
            remaining_s = float(request.headers.get(h.DEADLINE_MS, "0")) / 1000
        except ValueError:
            return not_run(Reason.BAD_REQUEST, f"{h.REVISION} or {h.DEADLINE_MS} is not a number")
        grace_s = self.deployment.control.revision_grace_ms / 1000
        now = time.monotonic()
        if revision < self.revision and now > self.revision_since + grace_s:
            return not_run(Reason.OLD_REVISION, str(self.revision))
        if remaining_s <= 0:
            return not_run(Reason.DEADLINE_EXPIRED)
        return now + remaining_s

    def load_header(self) -> str:
        """Return the number of running and queued requests, as the value of the load header."""
        return str(self.gate.admission.active + self.gate.admission.queued)

    def refuse(self, request: web.Request, refusal: Refusal) -> web.Response:
        """Log and count a refusal, and return its problem response."""
        request_id = request.headers.get(h.REQUEST_ID, "")
        events.emit(events.REFUSED, request=request_id, reason=refusal.reason, ran=refusal.ran)
        self.metrics.count(f"{metrics.REFUSALS}.{refusal.reason}")
        fields = {h.RAN: refusal.ran.value, h.REQUEST_ID: request_id, h.LOAD: self.load_header()}
        return web.json_response(
            refusal.problem(request_id),
            status=refusal.status,
            headers=fields,
            content_type=h.PROBLEM_TYPE,
        )

    async def admit(
        self, request: web.Request, traffic_class: TrafficClass
    ) -> tuple[Ticket, float] | Refusal:
        """Check a request that is not a sample and wait for a slot.

        Such a request is never preempted, so its preemption callback does nothing.

        :return: the ticket of the slot and the request's deadline, or a refusal.
        """
        deadline = self.check(request)
        if isinstance(deadline, Refusal):
            return deadline
        ticket = await self.gate.acquire(traffic_class, deadline, lambda: None)
        if isinstance(ticket, Refusal):
            return ticket
        return ticket, deadline

    # Completions

    def engine_body(self, body: dict[str, Any], traffic_class: TrafficClass) -> dict[str, Any]:
        """Return the JSON body of the completion request to the engine."""
        return {
            "model": body["model"],
            "prompt": body["prompt"],
            "max_tokens": body["max_tokens"],
            "request_id": body.get("request_id", ""),
            "seed": body.get("seed"),
            "resume_at": body.get("resume_at", 0),
            "priority": PRIORITY_BY_CLASS[traffic_class],
        }

    def post_engine(self, body: dict[str, Any]) -> Any:
        """Start a completion at the engine."""
        url = f"http://{self.upstream.address}/v1/completions"
        return self.session.post(url, json=body)

    async def on_completion(self, request: web.Request) -> web.StreamResponse:
        """Handle a completion, streamed or complete."""
        traffic_class = TrafficClass(request.headers.get(h.TRAFFIC_CLASS, "interactive"))
        admitted = await self.admit(request, traffic_class)
        if isinstance(admitted, Refusal):
            return self.refuse(request, admitted)
        ticket, deadline = admitted
        try:
            body = await request.json()
            async with asyncio.timeout(deadline - time.monotonic()):
                return await self.complete(request, body, self.engine_body(body, traffic_class))
        except aiohttp.ClientConnectorError:
            return self.refuse(request, not_run(Reason.UPSTREAM_UNREACHABLE))
        except TimeoutError:
            return self.refuse(request, unknown(Reason.DEADLINE_EXPIRED))
        except MalformedResponseError as error:
            return self.refuse(request, unknown(Reason.UPSTREAM_GARBLED, str(error)))
        except (aiohttp.ClientError, TruncatedStreamError, ConnectionError) as error:
            return self.refuse(request, unknown(Reason.UPSTREAM_LOST, repr(error)))
        finally:
            self.gate.release(ticket)

    async def complete(
        self, request: web.Request, body: dict[str, Any], engine_body: dict[str, Any]
    ) -> web.StreamResponse:
        """Run a completion at the engine; an error after a stream has begun aborts the stream."""
        request_id = request.headers.get(h.REQUEST_ID, "")
        chat = bool(body.get("chat"))
        generated = GeneratedTokens()
        response: web.StreamResponse | None = None
        async with self.post_engine(engine_body) as upstream:
            if upstream.status != 200:
                raise MalformedResponseError(f"the engine answered with status {upstream.status}")
            try:
                async for tokens in token_batches(upstream, TokenParser()):
                    generated.add(tokens)
                    if body.get("stream"):
                        response = response or await self.begin_stream(request)
                        text = "".join(token.text for token in tokens)
                        chunk = completion_chunk(request_id, chat, text, tokens[-1].version, None)
                        await response.write(sse(chunk))
            except (
                MalformedResponseError,
                TruncatedStreamError,
                aiohttp.ClientError,
                TimeoutError,
            ):
                if response is not None:
                    return self.abort_stream(request, response)
                raise
        if response is None:
            answer = completion_answer(request_id, chat, body["model"], generated)
            fields = {h.REQUEST_ID: request_id, h.LOAD: self.load_header()}
            return web.json_response(answer, headers=fields)
        version = generated.segments[-1].version
        final = completion_chunk(request_id, chat, "", version, "stop")
        final["usage"] = {"completion_tokens": generated.token_count}
        await response.write(sse(final) + STREAM_END)
        await response.write_eof()
        return response

    async def begin_stream(self, request: web.Request) -> web.StreamResponse:
        """Send the headers of a streamed answer."""
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                h.REQUEST_ID: request.headers.get(h.REQUEST_ID, ""),
                h.LOAD: self.load_header(),
            }
        )
        await response.prepare(request)
        return response

    def abort_stream(
        self, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Abort the connection, so that a truncated stream cannot be taken for a complete one."""
        events.emit(events.STREAM_CUT, request=request.headers.get(h.REQUEST_ID, ""))
        if request.transport is not None:
            request.transport.abort()
        return response

    # Plain services

    async def on_service_call(self, request: web.Request) -> web.StreamResponse:
        """Forward a call to the plain service, at most once if it carries a claim token."""
        token = request.headers.get(h.TOKEN, "")
        traffic_class = TrafficClass(request.headers.get(h.TRAFFIC_CLASS, "interactive"))
        body = await request.read()
        admitted = await self.admit(request, traffic_class)
        if isinstance(admitted, Refusal):
            return self.refuse_token(request, token, admitted)
        ticket, deadline = admitted
        try:
            if token:
                refusal = self.tokens.begin(token, time.monotonic())
                if refusal is not None:
                    return self.refuse(request, refusal)
                work = asyncio.ensure_future(self.call_with_token(request, body, token, deadline))
                outcome = await asyncio.shield(work)
            else:
                outcome = await self.call_service(request, body, deadline, self.session)
        finally:
            self.gate.release(ticket)
        if isinstance(outcome, Refusal):
            return self.refuse(request, outcome)
        return self.outcome_response(request, outcome)

    def refuse_token(self, request: web.Request, token: str, refusal: Refusal) -> web.Response:
        """Refuse a request and close its token, so that a resend with the token is not run either.

        If the token was received before, its state decides the refusal.
        """
        if token:
            prior_refusal = self.tokens.prior_refusal(token)
            self.tokens.close_unstarted(token, time.monotonic())
            refusal = prior_refusal or refusal
        return self.refuse(request, refusal)

    async def call_with_token(
        self, request: web.Request, body: bytes, token: str, deadline: float
    ) -> Outcome | Refusal:
        """Run a call under its token, and record and report the outcome.

        The caller shields this from cancellation, so the outcome is recorded even if the request
        is cancelled.
        """
        try:
            outcome = await self.call_service(request, body, deadline, self.unpooled_session)
        except BaseException:
            self.tokens.mark_lost(token)
            raise
        key, _, attempt = token.rpartition("/")
        if isinstance(outcome, Outcome):
            self.tokens.finish(token, outcome)
            if len(outcome.body) <= MAX_RECORDED_BODY_BYTES:
                self.link.outcomes.append(OutcomeRecord(key, int(attempt), outcome))
        elif outcome.ran is Ran.NOT_RUN:
            self.tokens.close_unsent(token)
        else:
            self.tokens.mark_lost(token)
            self.link.outcomes.append(OutcomeRecord(key, int(attempt), None))
        return outcome

    async def call_service(
        self,
        request: web.Request,
        body: bytes,
        deadline: float,
        session: aiohttp.ClientSession,
    ) -> Outcome | Refusal:
        """Send a call to the service and return its complete answer."""
        method = request.headers.get("X-Method", "POST")
        query = f"?{request.query_string}" if request.query_string else ""
        url = f"http://{self.upstream.address}/{request.match_info['path']}{query}"
        forwarded_headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS and not name.startswith("X-")
        }
        try:
            async with (
                asyncio.timeout(deadline - time.monotonic()),
                session.request(
                    method, url, data=body, headers=forwarded_headers, allow_redirects=False
                ) as answer,
            ):
                content = await answer.read()
                return Outcome(answer.status, answer.headers.get("Content-Type", ""), content)
        except aiohttp.ClientConnectorError:
            return not_run(Reason.UPSTREAM_UNREACHABLE)
        except TimeoutError:
            return unknown(
                Reason.DEADLINE_EXPIRED, "the service did not answer before the deadline"
            )
        except (aiohttp.ClientResponseError, MalformedAnswerError) as error:
            return unknown(Reason.UPSTREAM_GARBLED, repr(error))
        except (aiohttp.ClientError, ConnectionError) as error:
            return unknown(Reason.UPSTREAM_LOST, repr(error))

    def outcome_response(self, request: web.Request, outcome: Outcome) -> web.Response:
        """Return the response for a service's answer."""
        fields = {
            h.REQUEST_ID: request.headers.get(h.REQUEST_ID, ""),
            h.LOAD: self.load_header(),
            h.RAN: Ran.RAN.value,
            "Content-Type": outcome.content_type or "application/octet-stream",
        }
        return web.Response(status=outcome.status, body=outcome.body, headers=fields)

    async def on_resolve(self, request: web.Request) -> web.Response:
        """Return the outcome of a token, waiting while it runs.

        A token that does not arrive within `RESOLVE_GRACE_S` is tombstoned: a request that arrives
        with it later is refused.
        """
        token = request.headers.get(h.TOKEN, "")
        if request.headers.get(h.INCARNATION) != self.incarnation:
            return self.refuse(
                request,
                unknown(
                    Reason.OUTCOME_UNKNOWN,
                    "the token belongs to another incarnation",
                ),
            )
        deadline = time.monotonic() + float(request.headers.get(h.DEADLINE_MS, "0")) / 1000
        grace_end = min(deadline, time.monotonic() + RESOLVE_GRACE_S)
        while token not in self.tokens.records and time.monotonic() < grace_end:
            await asyncio.sleep(RESOLVE_POLL_INTERVAL_S)
        known = token in self.tokens.records
        record = self.tokens.resolve(token, time.monotonic())
        if not known:
            events.emit(events.TOKEN_TOMBSTONED, token=token)
        while record.phase is TokenPhase.RUNNING and time.monotonic() < deadline:
            await asyncio.sleep(RESOLVE_POLL_INTERVAL_S)
        if record.phase is TokenPhase.DONE and record.outcome is not None:
            return self.outcome_response(request, record.outcome)
        if record.phase is TokenPhase.CLOSED:
            return self.refuse(request, not_run(Reason.TOMBSTONED))
        return self.refuse(request, unknown(Reason.OUTCOME_UNKNOWN, record.phase.value))

    # Samples

    async def on_sample(self, request: web.Request) -> web.StreamResponse:
        """Generate one sample, resuming after preemption by other requests."""
        deadline = self.check(request)
        if isinstance(deadline, Refusal):
            return self.refuse(request, deadline)
        body = await request.json()
        generated = GeneratedTokens()
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                refusal = await self.generate(body, generated, deadline)
        except TimeoutError:
            refusal = unknown(Reason.DEADLINE_EXPIRED)
        except aiohttp.ClientConnectorError:
            refusal = not_run(Reason.UPSTREAM_UNREACHABLE)
        except MalformedResponseError as error:
            refusal = unknown(Reason.UPSTREAM_GARBLED, str(error))
        except (aiohttp.ClientError, TruncatedStreamError, ConnectionError) as error:
            refusal = unknown(Reason.UPSTREAM_LOST, repr(error))
        if refusal is not None:
            return self.refuse(request, refusal)
        payload = Payload(
            body["attempt"], generated.text, generated.token_count, list(generated.segments)
        )
        self.payloads.add(payload)
        fields = {
            h.REQUEST_ID: request.headers.get(h.REQUEST_ID, ""),
            h.LOAD: self.load_header(),
        }
        return web.json_response(payload.to_json(), headers=fields)

    async def generate(
        self, body: dict[str, Any], generated: GeneratedTokens, deadline: float
    ) -> Refusal | None:
        """Generate to the end marker; after each preemption, wait for a slot and resume.

        :param body: the sample request.
        :param generated: receives the tokens, and keeps them across preemptions.
        :return: a refusal if no slot was granted, otherwise None.
        """
        while True:
            preempted = asyncio.Event()
            ticket = await self.gate.acquire(TrafficClass.SAMPLE, deadline, preempted.set)
            if isinstance(ticket, Refusal):
                return ticket
            try:
                work = asyncio.ensure_future(self.generate_remaining(body, generated))
                stop = asyncio.ensure_future(preempted.wait())
                try:
                    await asyncio.wait({work, stop}, return_when=asyncio.FIRST_COMPLETED)
                    if work.done():
                        work.result()
                        return None
                finally:
                    stop.cancel()
                    work.cancel()
                    await asyncio.gather(work, stop, return_exceptions=True)
            finally:
                self.gate.release(ticket)
            events.emit(events.PREEMPTED, attempt=body["attempt"], tokens=generated.token_count)

    async def generate_remaining(self, body: dict[str, Any], generated: GeneratedTokens) -> None:
        """Generate the tokens that are still missing."""
        engine_body = self.engine_body(body, TrafficClass.SAMPLE)
        engine_body["resume_at"] = generated.token_count
        parser = TokenParser(expected_first=generated.token_count)
        async with self.post_engine(engine_body) as upstream:
            if upstream.status != 200:
                raise MalformedResponseError(f"the engine answered with status {upstream.status}")
            async for tokens in token_batches(upstream, parser, SAMPLE_COALESCE_INTERVAL_S):
                generated.add(tokens)

    async def on_payload(self, request: web.Request) -> web.Response:
        """Return a stored sample, or 404; samples are stored until the trainer releases them."""
        payload = self.payloads.get(request.match_info["attempt"])
        if payload is None:
            return web.Response(status=404)
        return web.json_response(payload.to_json())

    async def on_release(self, request: web.Request) -> web.Response:
        """Remove samples that their trainer has received."""
        for attempt in await request.json():
            self.payloads.remove(attempt)
        return web.Response(status=204)

    async def on_drain(self, request: web.Request) -> web.Response:
        """Start a drain at the request of an operator; the process runs until it is stopped."""
        self.draining = True
        self.gate.draining = True
        self.link.request_sync()
        events.emit(events.STOPPING, why="operator")
        return web.json_response({"draining": True, "active": self.gate.admission.active})
