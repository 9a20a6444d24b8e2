"""Forwards requests directly to upstreams, with retries, hedging and cancellation."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

from apricotvale import clock, events, metrics
from apricotvale.daemons.crash_guard import CrashGuard
from apricotvale.daemons.permits import PermitSource
from apricotvale.daemons.submission import Submission
from apricotvale.daemons.supervision import Supervision
from apricotvale.discovery import Origin, RegistryView, Upstream
from apricotvale.outcomes import Ran, Reason, Refusal, not_run
from apricotvale.requests.calls import Answer, Call, EventStream, RunStream, UpstreamClient
from apricotvale.requests.forwarding import ForwardedRequest
from apricotvale.requests.held_bytes import UpstreamBytes
from apricotvale.requests.routing import Choice, Router
from apricotvale.routes import Route
from apricotvale.routes.table import choose_services
from apricotvale.settings.routing import Routing

RETRY_AFTER_S = 0.2
# An upstream that refused a request for lack of a slot counts as full for this long. A second copy
# that was not sent is considered again after this time.
FULL_S = 0.2
# A service counts as short of slots for this long after such a refusal.
SHORTAGE_S = 1.0
UPSTREAM_FAILURES = (Reason.UPSTREAM_UNREACHABLE, Reason.UPSTREAM_LOST, Reason.UPSTREAM_GARBLED)


class Forwarder:
    """Forwards requests according to their routes.

    :param site: failure domain of the process; its upstreams are preferred at equal cost.
    :param view: the known upstreams.
    :param client: HTTP client for upstreams.
    :param on_leaving: called with each upstream that states that it leaves, before its answer is
        passed on.
    :param on_limit: called with each upstream whose limit has changed by one of its answers.
    :param permits: permits to send requests to upstreams with a limit.
    :param guard: finds and stops requests that end upstreams.
    """

    def __init__(
        self,
        site: str,
        view: RegistryView,
        client: UpstreamClient,
        on_leaving: Callable[[Upstream], None],
        on_limit: Callable[[Upstream], None],
        permits: PermitSource,
        guard: CrashGuard,
    ) -> None:
        self.view = view
        self.client = client
        self.on_leaving = on_leaving
        self.on_limit = on_limit
        self.permits = permits
        self.guard = guard
        self.sent = UpstreamBytes()
        self.rng = random.Random()
        self.router = Router(site, Routing(), self.rng)
        self.full_since: dict[str, float] = {}
        self.refused_at: dict[str, float] = {}

    async def forward(
        self, route: Route, call: Call, request: ForwardedRequest | None = None
    ) -> Answer | Refusal:
        """Forward a request and return its final answer or refusal.

        Cancellation closes the connections of all attempts, so that the upstreams stop working on
        them.

        :param request: the state to use, for a caller that reads it afterwards.
        """
        request = request or ForwardedRequest(route, call.deadline)
        with self.guard.supervise(call) as supervision:
            async with Submission(self, call, request, supervision) as submission:
                return await submission.run()

    def trial_candidates(self, request: ForwardedRequest, call: Call, now: float) -> list[str]:
        """Return the incarnations at which a request may be tried, the preferred one first."""
        choice = self.find_choice(request, call, now)
        if choice is None:
            return []
        service = choice.member.service
        others = self.with_room(
            self.within_limits(self.ready_for(service, request), False, now), service, call
        )
        return self.router.rank(choice.member, others, now, request.tried)

    def choose_for_trial(
        self, request: ForwardedRequest, call: Call, incarnation: str
    ) -> Upstream | None:
        """Return and log the upstream of a trial, None if it accepts no work any more."""
        for upstream in self.ready_of(request.route):
            if request.origin not in (None, upstream.origin):
                continue
            if upstream.incarnation == incarnation:
                self.log_choice(request, call, upstream, "trial", 1)
                return upstream
        return None

    def choose(self, request: ForwardedRequest, call: Call, now: float) -> Upstream | None:
        """Choose and log the upstream for the next attempt; return None if none is left."""
        choice = self.find_choice(request, call, now)
        if choice is None:
            return None
        self.log_choice(request, call, choice.member, choice.reason, choice.candidates)
        return choice.member

    def log_choice(
        self,
        request: ForwardedRequest,
        call: Call,
        upstream: Upstream,
        why: str,
        candidates: int,
    ) -> None:
        """Log the upstream that was chosen for the next attempt."""
        events.emit(
            events.HEDGED if request.in_flight else events.ROUTED,
            request=call.request_id,
            route=request.route.name,
            upstream=upstream.incarnation,
            software=upstream.software,
            why=why,
            candidates=candidates,
            view=self.view.position,
            attempt=len(request.tried) + 1,
        )

    def find_choice(
        self, request: ForwardedRequest, call: Call, now: float
    ) -> Choice[Upstream] | None:
        """Return the choice of an upstream for the next attempt, None if none is left."""
        for service in choose_services(request.route, self.rng.random):
            ready = self.ready_for(service, request)
            ready = self.within_limits(ready, bool(request.in_flight), now)
            candidates = self.with_room(ready, service, call)
            if not candidates:
                continue
            unheard = [] if request.tried else self.unheard(candidates, now)
            choice = self.router.choose(unheard or candidates, now, excluded=request.tried)
            if isinstance(choice, Refusal):
                continue
            return choice
        return None

    def ready_for(self, service: str, request: ForwardedRequest) -> list[Upstream]:
        """Return the upstreams of a service that may run a request."""
        ready = self.view.ready(service)
        if request.origin is None:
            return ready
        return [upstream for upstream in ready if upstream.origin == request.origin]

    def ready_at(self, origin: Origin) -> list[Upstream]:
        """Return the upstreams of an origin that accept new work."""
        return [u for u in self.view.ready(origin.service) if u.origin == origin]

    def ready_of(self, route: Route) -> list[Upstream]:
        """Return the upstreams of a route's services that accept new work."""
        return [
            upstream
            for backend in route.backends
            if backend.weight > 0
            for upstream in self.view.ready(backend.service)
        ]

    def within_limits(self, ready: list[Upstream], is_copy: bool, now: float) -> list[Upstream]:
        """Return the upstreams whose limits leave room for a request.

        :param is_copy: whether it is a second copy, which would take another caller's permit.
        """
        limits = self.view.limits
        if not limits.by_incarnation:
            return ready
        return [
            upstream
            for upstream in ready
            if limits.rate_of(upstream.incarnation) is None
            or (not is_copy and not self.permits.wait_s(upstream, now))
        ]

    def unheard(self, candidates: list[Upstream], now: float) -> list[Upstream]:
        """Return the idle upstreams whose limits may have ended without an answer that shows it.

        Load pattern: the requests go to an upstream without a limit that answers sooner, so that
        one that has recovered would stay limited.
        """
        limits = self.view.limits
        if all(limits.rate_of(upstream.incarnation) is not None for upstream in candidates):
            return []
        return [
            upstream
            for upstream in candidates
            if limits.is_unheard(upstream.incarnation, now)
            and not self.router.load_of(upstream).in_flight
            and self.router.is_healthy(upstream, now)
        ]

    def limited_retry_s(self, route: Route, now: float) -> float | None:
        """Return when a request may come back if limits alone leave no room, else None."""
        ready = self.ready_of(route)
        if not ready or self.within_limits(ready, False, now):
            return None
        return self.permits.retry_after_s(ready, now)

    def with_room(self, ready: list[Upstream], service: str, call: Call) -> list[Upstream]:
        """Return the upstreams to which the bytes of a request may be sent now."""
        if not self.sent.limit:
            return ready
        size = len(call.body)
        found = [u for u in ready if self.sent.fits(u.incarnation, size)]
        if ready and not found:
            metrics.BYTES_REFUSED.labels("upstream").inc()
            events.emit(
                events.UPSTREAM_BYTES_FULL,
                request=call.request_id,
                service=service,
                candidates=len(ready),
                bytes=size,
                limit=self.sent.limit,
            )
        return found

    def is_full(self, request: ForwardedRequest, call: Call, now: float) -> bool:
        """Return whether no service of a route has a slot for a second copy, and log it."""
        route = request.route
        candidates = self.ready_of(route)
        if not self.is_service_full(candidates, now):
            return False
        events.emit(
            events.HEDGE_WITHHELD,
            request=call.request_id,
            route=route.name,
            candidates=len(candidates),
            view=self.view.position,
        )
        return True

    def is_service_full(self, candidates: list[Upstream], now: float) -> bool:
        """Return whether all slots of a service are taken, as seen by this process.

        Load pattern: callers fill every slot. Second copies of slow requests would then take slots
        from other callers.
        """
        limits = self.view.limits
        return all(
            limits.rate_of(upstream.incarnation) is not None
            or self.router.load_of(upstream).in_flight >= upstream.capacity
            or now < self.full_since.get(upstream.incarnation, float("-inf")) + FULL_S
            for upstream in candidates
        )

    def refused_recently(self, service: str, now: float) -> bool:
        """Return whether an upstream of a service refused a request for lack of a slot."""
        return now < self.refused_at.get(service, float("-inf")) + SHORTAGE_S

    async def send(
        self,
        upstream: Upstream,
        call: Call,
        send: Callable[[Upstream, Call], Awaitable[Any]] | None = None,
    ) -> Any:
        """Send one attempt, and report its success or failure to the router.

        :param send: sends the request and returns an answer, an open stream or a refusal; by
            default the whole answer is awaited.
        """
        if not await self.permits.acquire(upstream, call.request_id):
            return not_run(Reason.RATE_LIMITED, "the upstream's limit leaves no room")
        if self.is_leaving(upstream):
            # Another answer carried the mark after this upstream was chosen.
            return not_run(Reason.DRAINING, "the upstream leaves")
        size = len(call.body)
        if not self.sent.fits(upstream.incarnation, size):
            # Other requests were sent after this upstream was chosen.
            return not_run(Reason.OVERLOADED, "too many bytes are in flight to the upstream")
        started_at = clock.now()
        self.count_limited(upstream, "request")
        self.router.begin(upstream)
        self.sent.begin(upstream.incarnation, size)
        try:
            result = await (send or self.client.call)(upstream, call)
        finally:
            self.sent.end(upstream.incarnation, size)
            self.router.end(upstream)
        if isinstance(result, Answer | Refusal):
            self.note_statements(upstream, result, started_at)
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
        if result.reason is Reason.OVERLOADED:
            self.full_since[upstream.incarnation] = clock.now()
            self.refused_at[upstream.service] = clock.now()
        if result.reason in UPSTREAM_FAILURES and self.router.fail(upstream, clock.now()):
            events.emit(events.EJECTED, upstream=upstream.incarnation)
        return result

    def finish_copy(self, supervision: Supervision, result: Answer | Refusal) -> None:
        """Tell the supervision that a copy has its result; an answer clears the request."""
        supervision.finish_copy(isinstance(result, Answer))

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether the upstream stated to this process that it leaves."""
        return upstream.incarnation in self.view.leaving

    def count_limited(self, upstream: Upstream, kind: str) -> None:
        """Count a request to an upstream with a known limit."""
        if self.view.limits.rate_of(upstream.incarnation) is not None:
            metrics.LIMITED_SENDS.labels(kind).inc()

    def note_statements(
        self,
        upstream: Upstream,
        result: Answer | RunStream | EventStream | Refusal,
        sent_at: float,
    ) -> None:
        """Record what a result states about its upstream: that it leaves, and its limit.

        :param sent_at: when the request was sent, in monotonic seconds.
        """
        if result.is_leaving:
            self.on_leaving(upstream)
        if result.limit is None:
            return
        known = self.view.limits.rate_of(upstream.incarnation)
        if self.view.limits.record(upstream.incarnation, result.limit, sent_at, clock.now()):
            events.emit(
                events.LIMIT_STATED,
                upstream=upstream.incarnation,
                service=upstream.service,
                rate=result.limit.rate,
                before=known,
                view=self.view.position,
            )
            self.on_limit(upstream)

    def final_result(self, request: ForwardedRequest, call: Call, now: float) -> Answer | Refusal:
        """Return the result of a request whose attempts gave no final answer; log a refusal."""
        result = request.final_result(now, RETRY_AFTER_S)
        if isinstance(result, Refusal) and result.ran is Ran.NOT_RUN:
            retry_after_s = self.limited_retry_s(request.route, now)
            if retry_after_s is not None:
                detail = "the limits of the upstreams leave no room"
                result = not_run(Reason.RATE_LIMITED, detail, retry_after_s)
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
