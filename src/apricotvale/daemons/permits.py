"""Where processes get the permits to send requests to upstreams with a limit."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

from apricotvale import clock, events, metrics
from apricotvale.discovery import RegistryView, Upstream
from apricotvale.fleet import calls
from apricotvale.limits.permits import (
    CONTROL_PAUSE_S,
    MIN_RATE,
    HeldPermits,
    Issue,
    PermitIssuer,
)

# Time limit of a call for permits. Callers of an entry wait for it.
ISSUE_TIMEOUT_S = 0.25
# A refused request is not told to come back later than this.
MAX_RETRY_S = 5.0


class PermitSource(Protocol):
    """Permits of a process. An upstream without a known limit needs none."""

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the time until a request may be sent, 0 if that may be possible now."""

    def retry_after_s(self, upstreams: Sequence[Upstream], now: float) -> float:
        """Return when a request that was refused for lack of permits may come back."""

    async def acquire(self, upstream: Upstream, request_id: str) -> bool:
        """Take a permit for a request that is sent at once; return False if there is none."""


class EntryPermits:
    """Permits of an entry, asked of the control leader when a request needs one.

    An entry that cannot reach control uses its even part of each limit.

    :param name: name of this process.
    :param view: the known upstreams with their limits.
    :param ask: sends a call to the control leader by a deadline on `clock.now`; returns the reply.
    """

    def __init__(
        self, name: str, view: RegistryView, ask: Callable[[Any, float], Awaitable[Any]]
    ) -> None:
        self.name = name
        self.view = view
        self.ask = ask
        self.held: dict[str, HeldPermits] = {}
        self.locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.lost_until = float("-inf")
        self.line_at: dict[str, float] = {}

    def rate_of(self, upstream: Upstream) -> float | None:
        """Return the limit of an upstream, None without one."""
        return self.view.limits.rate_of(upstream.incarnation)

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the time until a request may be sent, 0 if that may be possible now."""
        held = self.held.get(upstream.incarnation)
        if held is None or self.rate_of(upstream) is None:
            return 0.0
        return held.wait_s(now)

    def retry_after_s(self, upstreams: Sequence[Upstream], now: float) -> float:
        """Return when a refused request may come back: each at the time of a permit of its own.

        Load pattern: many requests are refused between two permits. All but one of those that come
        back together would be refused again.
        """
        rate = 0.0
        for upstream in upstreams:
            sharers = self.held.get(upstream.incarnation, HeldPermits()).sharers or 1
            rate += max(self.rate_of(upstream) or 0.0, MIN_RATE) / sharers
        service = upstreams[0].service
        first_at = now + min(self.wait_s(upstream, now) for upstream in upstreams)
        last_at = self.line_at.get(service, float("-inf"))
        self.line_at[service] = min(now + MAX_RETRY_S, max(first_at, last_at + 1 / rate))
        return self.line_at[service] - now

    async def acquire(self, upstream: Upstream, request_id: str) -> bool:
        """Take a permit for a request that is sent at once; return False if there is none."""
        rate = self.rate_of(upstream)
        if rate is None:
            return True
        if upstream.incarnation not in self.held:
            self.forget()
        held = self.held.setdefault(upstream.incarnation, HeldPermits())
        # One call at a time: those that wait use what it brings, or are refused with it.
        async with self.locks[upstream.incarnation]:
            granted = await self.take_or_draw(upstream, held, rate)
        metrics.PERMITS.labels("granted" if granted else "refused").inc()
        if not granted:
            now = clock.now()
            events.emit(
                events.PERMIT_REFUSED,
                request=request_id,
                upstream=upstream.incarnation,
                service=upstream.service,
                rate=rate,
                sharers=held.sharers,
                wait_ms=round(held.wait_s(now) * 1000),
                control=now >= self.lost_until,
            )
        return granted

    async def take_or_draw(self, upstream: Upstream, held: HeldPermits, rate: float) -> bool:
        """Take a permit that is held, or draw one from control; return False without one."""
        now = clock.now()
        if held.take(now):
            return True
        if held.wait_s(now) > 0:
            return False
        if now < self.lost_until:
            return held.take_own(rate, now)
        request = calls.DrawPermits(
            upstream.upstream_id, upstream.born_ms, rate, held.wanted(now), self.name
        )
        reply = await self.ask(request, now + ISSUE_TIMEOUT_S)
        now = clock.now()
        if not isinstance(reply, calls.PermitsDrawn):
            self.lost_until = now + CONTROL_PAUSE_S
            return held.take_own(rate, now)
        held.receive(Issue(reply.granted, reply.wait_s, reply.sharers), now)
        return held.take(now)

    def forget(self) -> None:
        """Drop the permits of upstreams that are gone or whose limit has ended."""
        for incarnation in list(self.held):
            if self.view.limits.rate_of(incarnation) is None:
                del self.held[incarnation]
                self.locks.pop(incarnation, None)


class LeaderPermits:
    """Permits of the control leader, which issues them, for its own runs and reward calls.

    :param view: the known upstreams with their limits.
    """

    def __init__(self, view: RegistryView, issuer: PermitIssuer) -> None:
        self.view = view
        self.issuer = issuer

    def rate_of(self, upstream: Upstream) -> float | None:
        """Return the limit of an upstream, None without one."""
        return self.view.limits.rate_of(upstream.incarnation)

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the time until a request may be sent, 0 if that may be possible now."""
        rate = self.rate_of(upstream)
        if rate is None:
            return 0.0
        return self.issuer.bucket(upstream.incarnation, rate, now).wait_s(now, True)

    def retry_after_s(self, upstreams: Sequence[Upstream], now: float) -> float:
        """Return when a call that was refused for lack of permits may be repeated."""
        return min(self.wait_s(upstream, now) for upstream in upstreams)

    def take(self, upstream: Upstream, now: float) -> bool:
        """Take a permit for a run or a reward call; return False if there is none."""
        rate = self.rate_of(upstream)
        if rate is None:
            return True
        bucket = self.issuer.bucket(upstream.incarnation, rate, now)
        granted = bucket.take(1, now, is_background=True) > 0
        metrics.PERMITS.labels("granted" if granted else "refused").inc()
        return granted

    async def acquire(self, upstream: Upstream, request_id: str) -> bool:
        """Take a permit for a request that is sent at once; return False if there is none."""
        now = clock.now()
        if self.take(upstream, now):
            return True
        events.emit(
            events.PERMIT_REFUSED,
            request=request_id,
            upstream=upstream.incarnation,
            service=upstream.service,
            rate=self.rate_of(upstream),
            sharers=self.issuer.count_sharers(now),
            wait_ms=round(self.wait_s(upstream, now) * 1000),
            control=True,
        )
        return False

    def closed(self, now: float) -> set[str]:
        """Return the incarnations for which there is no permit now."""
        return {
            incarnation
            for incarnation, known in self.view.limits.by_incarnation.items()
            if known.rate is not None
            and self.issuer.bucket(incarnation, known.rate, now).wait_s(now, True) > 0
        }

    def issue(self, request: calls.DrawPermits, now: float) -> Issue:
        """Issue permits to an entry; of two rates that are known, the lower one holds."""
        incarnation = f"{request.upstream_id}@{request.born_ms}"
        known = self.view.limits.rate_of(incarnation)
        rate = request.rate if known is None else min(known, request.rate)
        return self.issuer.issue(incarnation, rate, request.count, request.process, now)
