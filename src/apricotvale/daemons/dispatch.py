"""Routing, retries and hedging of requests within their deadline and the retry budget."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from attrs import define, field, frozen

from apricotvale import clock, events, metrics
from apricotvale.daemons.submission import Submission
from apricotvale.daemons.supervision import Supervision
from apricotvale.daemons.upstreams import Answer, OpenStream, SidecarRequest, Upstreams
from apricotvale.membership.roster import Member, RosterView
from apricotvale.outcomes import Ran, Reason, Refusal
from apricotvale.requests.calls import Call
from apricotvale.requests.dispatching import DispatchedRequest
from apricotvale.requests.retries import RetryBudget
from apricotvale.requests.routing import Choice, Router
from apricotvale.settings.schema import TrafficClass

MAX_BACKGROUND_ATTEMPTS = 4
BACKOFF_BASE_S = 0.1
NON_RETRYABLE_REASONS = (Reason.DEADLINE_EXPIRED, Reason.BAD_REQUEST, Reason.KEY_REUSED)


@frozen
class MemberAnswer:
    """An answer with the member that sent it.

    :param sent_at: when the copy was sent, on `clock.now`, in seconds.
    """

    member: Member
    answer: Answer | OpenStream
    sent_at: float


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

    def rank(self, candidates: list[Member], affinity: str, tried: set[str]) -> list[str] | Refusal:
        """Return the incarnations to which a request may be sent, the preferred one first."""
        now = time.monotonic()
        choice = self.router.choose(candidates, now, affinity, tried)
        if isinstance(choice, Refusal):
            return choice
        return self.router.rank(choice.member, candidates, now, tried)

    async def send(
        self,
        candidates: Callable[[], list[Member]],
        request: SidecarRequest,
        supervision: Supervision,
        repeatable: bool,
        affinity: str = "",
        hedge_after_s: float = 0.0,
    ) -> MemberAnswer | Refusal:
        """Send a request, retrying until it is answered or cannot be retried.

        :param candidates: returns the currently eligible members.
        :param supervision: what is known against the request, and its trial. A stream that is
            returned is still under it.
        :param repeatable: whether the request may be sent again after an unknown outcome.
        :param affinity: prompt prefix for affinity routing, or empty.
        :param hedge_after_s: delay before a hedged copy is sent, in seconds; 0 disables hedging.
        """
        self.budget.record_request(time.monotonic())
        self.metrics.count(metrics.REQUESTS)
        call = supervision.call

        def may_retry(refusal: Refusal) -> bool:
            is_suspected = supervision.suspicion(clock.now()) is not None
            return self.may_retry(request, refusal, repeatable, is_suspected)

        state = DispatchedRequest(
            call.host,
            call.deadline,
            repeatable,
            self.budget,
            may_retry,
            len(self.view.members) + MAX_BACKGROUND_ATTEMPTS - 1,
            hedge_after_s,
        )
        with MemberSender(self, candidates, request, affinity) as sender:
            while True:
                async with Submission(sender, call, state, supervision) as submission:
                    result = await submission.run()
                has_answer = isinstance(result, MemberAnswer)
                if has_answer or not state.is_exhausted:
                    break
                if not await self.back_off(request, state.rounds + 1):
                    break
                state.start_over()
            sender.keep(result)
            return result

    async def back_off(self, request: SidecarRequest, attempt: int) -> bool:
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

    def may_retry(
        self, request: SidecarRequest, refusal: Refusal, repeatable: bool, is_suspected: bool
    ) -> bool:
        """Return whether a failed request is sent to another upstream.

        A retry is charged to the retry budget, unless the upstream refused because it drains, or
        the request is under suspicion: its trials are bounded, and a request that was only beside
        the one that ended the upstream loses none.
        """
        if refusal.reason in NON_RETRYABLE_REASONS or time.monotonic() >= request.deadline:
            return False
        if refusal.ran is not Ran.NOT_RUN and not repeatable:
            return False
        is_free = refusal.reason is Reason.DRAINING or is_suspected
        if not is_free and not self.budget.try_spend():
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


@define
class MemberSender:
    """Sends the copies of one request to sidecars; closes the streams that are not kept."""

    dispatcher: Dispatcher
    candidates: Callable[[], list[Member]]
    request: SidecarRequest
    affinity: str
    opened: list[MemberAnswer] = field(factory=list)

    def __enter__(self) -> MemberSender:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for result in self.opened:
            assert isinstance(result.answer, OpenStream)
            result.answer.response.close()
            self.dispatcher.upstreams.end_stream(result.member)

    def keep(self, result: MemberAnswer | Refusal) -> None:
        """Leave the stream of a result to the caller."""
        self.opened = [other for other in self.opened if other is not result]

    def choose(self, request: DispatchedRequest, call: Call, now: float) -> Member | None:
        """Choose and log the member for the next copy; return None if none is left."""
        affinity = "" if request.in_flight else self.affinity
        choice = self.dispatcher.choose(self.candidates(), self.request, affinity, request.tried)
        if isinstance(choice, Refusal):
            if not request.in_flight:
                request.exhaust(choice)
            return None
        if request.in_flight:
            self.dispatcher.metrics.count(metrics.HEDGES)
            events.emit(events.HEDGED, request=self.request.request_id, upstream=choice.member.name)
        return choice.member

    def choose_for_trial(
        self, request: DispatchedRequest, call: Call, incarnation: str
    ) -> Member | None:
        """Return and log the member of a trial, None if it serves no more."""
        found = [m for m in self.candidates() if m.incarnation == incarnation]
        choice = self.dispatcher.choose(found, self.request, "", set())
        return None if isinstance(choice, Refusal) else choice.member

    def trial_candidates(self, request: DispatchedRequest, call: Call, now: float) -> list[str]:
        """Return the incarnations at which a request may be tried, the preferred one first."""
        found = self.dispatcher.rank(self.candidates(), self.affinity, request.tried)
        if isinstance(found, Refusal):
            request.exhaust(found)
            return []
        return found

    def is_full(self, request: DispatchedRequest, call: Call, now: float) -> bool:
        """Return False: sidecars queue requests."""
        return False

    async def send(self, target: Member, call: Call) -> MemberAnswer | Refusal:
        """Send a copy to a member."""
        sent_at = clock.now()
        result = await self.dispatcher.upstreams.send(target, self.request)
        if isinstance(result, Refusal):
            self.dispatcher.handle_refusal(target, result)
            return result
        answer = MemberAnswer(target, result, sent_at)
        if isinstance(result, OpenStream):
            self.opened.append(answer)
        return answer

    def finish_copy(self, supervision: Supervision, result: MemberAnswer | Refusal) -> None:
        """Tell the supervision that a copy has its result; a stream has it at its end."""
        if isinstance(result, Refusal):
            supervision.finish_copy(False)
        elif isinstance(result.answer, Answer):
            supervision.finish_copy(True)

    def final_result(self, request: DispatchedRequest, call: Call, now: float) -> Refusal:
        """Return the refusal of a request whose copies gave no answer."""
        return request.final_result(now)
