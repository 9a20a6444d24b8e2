"""Sends the copies of one submission of a request until it has a final answer."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from attrs import define, field

from apricotvale import clock, events
from apricotvale.crashes.evidence import Target
from apricotvale.daemons.supervision import WITHOUT_TRIAL_DETAIL, Supervision, TrialState
from apricotvale.outcomes import Reason, Refusal
from apricotvale.requests.calls import Call

# A second copy that was not sent, as all slots were taken, is considered again after this time.
FULL_PAUSE_S = 0.2


class RetryState(Protocol):
    """Retry state of a submission, updated with the results of its copies.

    :param in_flight: number of copies in flight.
    :param hedge_at: time from which a second copy may be sent while one is in flight.
    """

    in_flight: int
    hedge_at: float

    @property
    def name(self) -> str:
        """Return the name used in logs."""

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""

    @property
    def can_have_run(self) -> bool:
        """Return whether a copy has run, may have run or may still run."""

    def may_send(self, now: float) -> bool:
        """Return whether a copy may be sent now."""

    def begin(self, incarnation: str, now: float) -> None:
        """Record that a copy is sent."""

    def withdraw(self, incarnation: str, sent_at: float) -> None:
        """Record that a copy in flight was cancelled and may be sent again."""

    def finish(self, result: Any, sent_at: float) -> Any:
        """Record the result of a copy; return the answer if it is final, else None."""

    def refuse(self, reason: Reason, detail: str) -> None:
        """Record why no further copy is sent."""


class Sender(Protocol):
    """Chooses what a submission is sent to, and sends to it."""

    def choose(self, request: Any, call: Call, now: float) -> Any:
        """Choose and log the target of the next copy; return None if none is left."""

    def choose_for_trial(self, request: Any, call: Call, incarnation: str) -> Any:
        """Return and log the target of a trial, None if it accepts no work any more."""

    def trial_candidates(self, request: Any, call: Call, now: float) -> list[str]:
        """Return the incarnations at which a request may be tried, the preferred one first."""

    def is_full(self, request: Any, call: Call, now: float) -> bool:
        """Return whether there is no room for a second copy."""

    async def send(self, target: Any, call: Call) -> Any:
        """Send a copy and return its result."""

    def finish_copy(self, supervision: Supervision, result: Any) -> None:
        """Tell the supervision that a copy has its result."""

    def final_result(self, request: Any, call: Call, now: float) -> Any:
        """Return the result of a submission whose copies gave no final answer."""


@define(eq=False)
class Copy:
    """A copy of a request that was sent to an upstream.

    :param is_over: whether its result is known; its task may still look for the cause of a loss.
    """

    upstream: Target
    sent_at: float
    task: asyncio.Task[Any] = field(init=False)
    is_over: bool = False


@define(eq=False)
class Submission:
    """A submission that is being forwarded; a context manager that cancels its copies.

    :param forwarder: chooses upstreams and sends to them.
    :param request: retry state.
    :param supervision: what is known against the request, and its trial.
    :param copies: copies in flight.
    """

    forwarder: Sender
    call: Call
    request: RetryState
    supervision: Supervision
    copies: list[Copy] = field(factory=list)

    async def __aenter__(self) -> Submission:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for copy in self.copies:
            copy.task.cancel()

    async def run(self) -> Any:
        """Return the final answer or refusal."""
        request, supervision = self.request, self.supervision
        while True:
            now = clock.now()
            suspicion = supervision.suspicion(now)
            if suspicion is not None and suspicion.is_condemned:
                return supervision.stop(suspicion, request.can_have_run, request.name, now)
            if suspicion is not None:
                self.prepare_trial(now)
            if self.send_next(suspicion is not None, now):
                continue
            if now >= self.call.deadline or not (self.copies or supervision.is_waiting):
                if supervision.trial is TrialState.REFUSED:
                    request.refuse(Reason.NO_QUORUM, WITHOUT_TRIAL_DETAIL)
                return self.forwarder.final_result(request, self.call, now)
            await self.wait_for_change(now)
            answer = self.take_results()
            if answer is not None:
                return answer

    def send_next(self, is_suspected: bool, now: float) -> bool:
        """Send the next copy if there may be one; return whether to look for another one.

        If the upstream of a trial accepts no work any more, another trial is asked for.
        """
        request, supervision = self.request, self.supervision
        if (
            request.may_send(now)
            and request.in_flight
            and self.forwarder.is_full(request, self.call, now)
        ):
            request.hedge_at = now + FULL_PAUSE_S
        if not request.may_send(now):
            return False
        if not supervision.may_send(request.in_flight, now):
            # A request under suspicion has no second copies.
            request.hedge_at = float("inf")
            return False
        if supervision.upstream:
            upstream = self.forwarder.choose_for_trial(request, self.call, supervision.upstream)
        else:
            upstream = self.forwarder.choose(request, self.call, now)
        if upstream is None:
            had_trial = bool(supervision.upstream)
            supervision.give_back()
            request.hedge_at = float("inf")
            return had_trial
        request.begin(upstream.incarnation, now)
        copy = Copy(upstream, now)
        copy.task = asyncio.create_task(self.run_copy(copy))
        self.copies.append(copy)
        return True

    async def run_copy(self, copy: Copy) -> Any:
        """Send a copy and return its result; see to it that the end of its upstream is known."""
        result = await self.forwarder.send(copy.upstream, self.call)
        copy.is_over = True
        if isinstance(result, Refusal) and result.reason is Reason.UPSTREAM_LOST:
            await self.supervision.on_loss(copy.upstream, copy.sent_at)
        return result

    async def wait_for_change(self, now: float) -> None:
        """Wait for a result, for news about the request, or until a second copy may be sent."""
        hedge_at = self.request.hedge_at if self.copies else float("inf")
        waits: list[asyncio.Future[Any]] = [copy.task for copy in self.copies]
        await asyncio.wait(
            [self.supervision.changed, *waits],
            timeout=max(0.0, min(self.call.deadline, hedge_at) - now),
            return_when=asyncio.FIRST_COMPLETED,
        )
        self.supervision.rearm()

    def take_results(self) -> Any:
        """Record the results of the copies that are done; return the final answer if any."""
        for copy in [copy for copy in self.copies if copy.task.done()]:
            self.copies.remove(copy)
            result = copy.task.result()
            self.forwarder.finish_copy(self.supervision, result)
            answer = self.request.finish(result, copy.sent_at)
            if answer is not None:
                return answer
        return None

    # Requests under suspicion

    def prepare_trial(self, now: float) -> None:
        """Bring a submission of a request under suspicion to at most one copy, with a trial.

        A copy that was in flight before the suspicion goes on as the trial if no other submission
        has it. Otherwise it is withdrawn and sent again later, unless it may run only once: its
        caller could not be told whether it has run.
        """
        supervision = self.supervision
        in_flight = [copy for copy in self.copies if not copy.is_over]
        is_denied = supervision.trial is TrialState.DENIED
        if self.request.repeatable:
            kept = 0 if is_denied else 1
            for copy in in_flight[kept:]:
                self.withdraw(copy)
            in_flight = in_flight[:kept]
        elif in_flight and is_denied:
            supervision.trial = TrialState.EXEMPT
        if not supervision.needs_trial(now):
            return
        if in_flight:
            supervision.ask([in_flight[0].upstream.incarnation], has_copy=True)
        elif not self.copies and self.request.may_send(now):
            candidates = self.forwarder.trial_candidates(self.request, self.call, now)
            if candidates:
                supervision.ask(candidates, has_copy=False)

    def withdraw(self, copy: Copy) -> None:
        """Cancel a copy in flight, which closes its connection."""
        copy.task.cancel()
        self.copies.remove(copy)
        self.request.withdraw(copy.upstream.incarnation, copy.sent_at)
        events.emit(
            events.COPY_WITHDRAWN,
            request=self.call.request_id,
            identity=self.call.identity,
            upstream=copy.upstream.incarnation,
        )
