"""Forwards requests directly to upstreams, with retries, hedging and cancellation."""

from __future__ import annotations

import asyncio
import random

from apricotvale import clock, events, metrics
from apricotvale.discovery import RegistryView, Upstream
from apricotvale.outcomes import Reason, Refusal
from apricotvale.requests.calls import Answer, Call, UpstreamClient
from apricotvale.requests.forwarding import ForwardedRequest
from apricotvale.requests.routing import Router
from apricotvale.routes import Route
from apricotvale.routes.table import choose_services
from apricotvale.settings.schema import Routing

RETRY_AFTER_S = 0.2
UPSTREAM_FAILURES = (Reason.UPSTREAM_UNREACHABLE, Reason.UPSTREAM_LOST, Reason.UPSTREAM_GARBLED)


class Forwarder:
    """Forwards requests according to their routes.

    :param site: failure domain of the process; its upstreams are preferred at equal cost.
    :param view: the known upstreams.
    :param client: HTTP client for upstreams.
    """

    def __init__(self, site: str, view: RegistryView, client: UpstreamClient) -> None:
        self.view = view
        self.client = client
        self.rng = random.Random()
        self.router = Router(site, Routing(), self.rng)

    async def forward(
        self, route: Route, call: Call, request: ForwardedRequest | None = None
    ) -> Answer | Refusal:
        """Forward a request and return its final answer or refusal.

        Cancellation closes the connections of all attempts, so that the upstreams stop working on
        them.

        :param request: the state to use, for a caller that reads it afterwards.
        """
        request = request or ForwardedRequest(route, call.deadline)
        attempts: set[asyncio.Task[Answer | Refusal]] = set()
        sent_at: dict[asyncio.Task[Answer | Refusal], float] = {}
        try:
            while True:
                now = clock.now()
                if request.may_send(now):
                    upstream = self.choose(request, call, now)
                    if upstream is not None:
                        request.begin(upstream.incarnation, now)
                        task = asyncio.create_task(self.send(upstream, call))
                        attempts.add(task)
                        sent_at[task] = now
                        continue
                    request.hedge_at = float("inf")
                if not attempts or now >= call.deadline:
                    return self.final_result(request, call, now)
                wait_s = min(call.deadline, request.hedge_at) - now
                done, attempts = await asyncio.wait(
                    attempts, timeout=max(0.0, wait_s), return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    answer = request.finish(task.result(), sent_at[task])
                    if answer is not None:
                        return answer
        finally:
            for task in attempts:
                task.cancel()

    def choose(self, request: ForwardedRequest, call: Call, now: float) -> Upstream | None:
        """Choose and log the upstream for the next attempt; return None if none is left."""
        for service in choose_services(request.route, self.rng.random):
            candidates = self.view.ready(service)
            if not candidates:
                continue
            choice = self.router.choose(candidates, now, excluded=request.tried)
            if isinstance(choice, Refusal):
                continue
            events.emit(
                events.HEDGED if request.in_flight else events.ROUTED,
                request=call.request_id,
                route=request.route.name,
                upstream=choice.member.incarnation,
                why=choice.reason,
                candidates=choice.candidates,
                view=self.view.position,
                attempt=len(request.tried) + 1,
            )
            return choice.member
        return None

    async def send(self, upstream: Upstream, call: Call) -> Answer | Refusal:
        """Send one attempt, and report its success or failure to the router."""
        started_at = clock.now()
        self.router.begin(upstream)
        try:
            result = await self.client.call(upstream, call)
        finally:
            self.router.end(upstream)
        outcome = result.reason if isinstance(result, Refusal) else str(result.status)
        metrics.ATTEMPTS_TOTAL.labels(outcome).inc()
        if not isinstance(result, Refusal):
            self.router.succeed(upstream)
            self.router.observe(upstream, clock.now() - started_at, 1)
            return result
        events.emit(
            events.ATTEMPT_FAILED,
            request=call.request_id,
            upstream=upstream.incarnation,
            reason=result.reason,
            ran=result.ran,
            detail=result.detail,
        )
        if result.reason in UPSTREAM_FAILURES and self.router.fail(upstream, clock.now()):
            events.emit(events.EJECTED, upstream=upstream.incarnation)
        return result

    def final_result(self, request: ForwardedRequest, call: Call, now: float) -> Answer | Refusal:
        """Return the result of a request whose attempts gave no final answer; log a refusal."""
        result = request.final_result(now, RETRY_AFTER_S)
        if isinstance(result, Refusal):
            events.emit(
                events.REFUSED,
                request=call.request_id,
                route=request.route.name,
                reason=result.reason,
                ran=result.ran,
                attempts=len(request.tried),
                left_ms=round((call.deadline - now) * 1000),
            )
        return result
