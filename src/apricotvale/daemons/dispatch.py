"""Routing, retries and hedging of requests within their deadline and the retry budget."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from apricotvale import events, metrics
from apricotvale.daemons.upstreams import Answer, OpenStream, SidecarRequest, Upstreams
from apricotvale.membership.roster import Member, RosterView
from apricotvale.outcomes import Ran, Reason, Refusal
from apricotvale.requests.retries import RetryBudget
from apricotvale.requests.routing import Choice, Router
from apricotvale.settings.schema import TrafficClass

MAX_BACKGROUND_ATTEMPTS = 4
BACKOFF_BASE_S = 0.1
NON_RETRYABLE_REASONS = (Reason.DEADLINE_EXPIRED, Reason.BAD_REQUEST, Reason.KEY_REUSED)


@frozen
class MemberAnswer:
    """An answer with the member that sent it."""

    member: Member
    answer: Answer | OpenStream


@define
class Dispatcher:
    """Routes and retries the requests of one entry.

    :param on_old_revision: called when an upstream refuses a request because the entry's
        configuration or roster view is out of date.
    """

    view: RosterView
    router: Router
    upstreams: Upstreams
    budget: RetryBudget
    metrics: metrics.Metrics
    on_old_revision: Callable[[], None] = field(default=lambda: None)

    def choose(
        self, candidates: list[Member], request: SidecarRequest, affinity: str, tried: set[str]
    ) -> Choice | Refusal:
        """Choose an upstream and log the choice; return a refusal if none is available.

        :param affinity: prompt prefix for affinity routing, or empty.
        :param tried: incarnations to leave out.
        """
        choice = self.router.choose(candidates, time.monotonic(), affinity, tried)
        if isinstance(choice, Choice):
            events.emit(
                events.ROUTED,
                request=request.request_id,
                upstream=choice.member.name,
                why=choice.reason,
                candidates=choice.candidates,
                costs={item.name: item.cost for item in choice.considered},
            )
        return choice

    async def send(
        self,
        candidates: Callable[[], list[Member]],
        request: SidecarRequest,
        repeatable: bool,
        affinity: str = "",
        hedge_after_s: float = 0.0,
    ) -> MemberAnswer | Refusal:
        """Send a request, retrying until it is answered or cannot be retried.

        :param candidates: returns the currently eligible members.
        :param repeatable: whether the request may be sent again after an unknown outcome.
        :param affinity: prompt prefix for affinity routing, or empty.
        :param hedge_after_s: delay before a hedged copy is sent, in seconds; 0 disables hedging.
        """
        self.budget.record_request(time.monotonic())
        self.metrics.count(metrics.REQUESTS)
        tried: set[str] = set()
        last: Refusal | None = None
        for attempt in range(1, len(self.view.members) + MAX_BACKGROUND_ATTEMPTS):
            choice = self.choose(candidates(), request, affinity, tried)
            if isinstance(choice, Refusal):
                if not await self.back_off(request, attempt, tried):
                    return last or choice
                last = last or choice
                tried.clear()
                continue
            tried.add(choice.member.incarnation)
            result = await self.send_hedged(
                choice.member, candidates, request, hedge_after_s, tried
            )
            if isinstance(result, MemberAnswer):
                return result
            last = result
            self.handle_refusal(choice.member, result)
            if not self.may_retry(request, result, repeatable):
                return result
        return last or Refusal(Reason.NO_UPSTREAM, Ran.NOT_RUN)

    async def back_off(self, request: SidecarRequest, attempt: int, tried: set[str]) -> bool:
        """Back off until an upstream may be available; return whether to try again.

        Only background requests wait. The number of attempts, the deadline and the retry budget
        limit the wait.
        """
        if (
            request.traffic_class is not TrafficClass.BACKGROUND
            or attempt >= MAX_BACKGROUND_ATTEMPTS
        ):
            return False
        wait_s = BACKOFF_BASE_S * 2**attempt
        if time.monotonic() + wait_s >= request.deadline or not self.budget.try_spend():
            return False
        await asyncio.sleep(wait_s)
        return True

    def may_retry(self, request: SidecarRequest, refusal: Refusal, repeatable: bool) -> bool:
        """Return whether a failed request is sent to another upstream.

        A retry is charged to the retry budget, unless the upstream refused because it drains.
        """
        if refusal.reason in NON_RETRYABLE_REASONS or time.monotonic() >= request.deadline:
            return False
        if refusal.ran is not Ran.NOT_RUN and not repeatable:
            return False
        if refusal.reason is not Reason.DRAINING and not self.budget.try_spend():
            return False
        self.metrics.count(metrics.RETRIES)
        events.emit(
            events.RETRIED, request=request.request_id, after=refusal.reason, ran=refusal.ran
        )
        return True

    def handle_refusal(self, member: Member, refusal: Refusal) -> None:
        """Update the roster view from a refusal, or request a sync if the entry is out of date."""
        if refusal.reason is Reason.DRAINING:
            self.view.mark_draining(member.name, member.incarnation)
        elif refusal.reason in (Reason.OLD_REVISION, Reason.WRONG_INCARNATION):
            self.on_old_revision()

    async def send_hedged(
        self,
        member: Member,
        candidates: Callable[[], list[Member]],
        request: SidecarRequest,
        hedge_after_s: float,
        tried: set[str],
    ) -> MemberAnswer | Refusal:
        """Send a request, and a hedged copy to another upstream if the first is slow."""
        if not hedge_after_s:
            return await self.send_once(member, request)
        first = asyncio.ensure_future(self.send_once(member, request))
        try:
            done, _ = await asyncio.wait({first}, timeout=hedge_after_s)
            choice = None if done else self.choose(candidates(), request, "", tried)
            if not isinstance(choice, Choice) or not self.budget.try_spend():
                return await await_or_cancel(first)
            tried.add(choice.member.incarnation)
            self.metrics.count(metrics.HEDGES)
            events.emit(events.HEDGED, request=request.request_id, upstream=choice.member.name)
            return await self.first_answer(first, choice.member, request)
        finally:
            first.cancel()

    async def first_answer(
        self, first: asyncio.Future[Any], member: Member, request: SidecarRequest
    ) -> MemberAnswer | Refusal:
        """Send the hedged copy and return the first answer, or the last refusal.

        The other copy is cancelled.
        """
        second = asyncio.ensure_future(self.send_once(member, request))
        pending: set[asyncio.Future[Any]] = {first, second}
        result: MemberAnswer | Refusal | None = None
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for future in done:
                    result = future.result()
                    if isinstance(result, MemberAnswer):
                        return result
            return result or Refusal(Reason.UPSTREAM_LOST, Ran.UNKNOWN)
        finally:
            second.cancel()

    async def send_once(self, member: Member, request: SidecarRequest) -> MemberAnswer | Refusal:
        """Send a request to one member, without retries."""
        result = await self.upstreams.send(member, request)
        return result if isinstance(result, Refusal) else MemberAnswer(member, result)


async def await_or_cancel(future: asyncio.Future[Any]) -> Any:
    """Return a future's result; cancel the future if the caller is cancelled."""
    try:
        return await future
    finally:
        future.cancel()
