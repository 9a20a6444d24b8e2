"""The supervision of one submission: what is known against its request, and its trial."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum
from typing import TYPE_CHECKING, Any, TypeVar

from attrs import define

from apricotvale import clock, events, metrics
from apricotvale.crashes.evidence import Target
from apricotvale.crashes.known import KnownSuspect
from apricotvale.outcomes import Reason, Refusal, crashes_upstreams, not_run
from apricotvale.requests.calls import Call

if TYPE_CHECKING:
    from apricotvale.daemons.crash_guard import CrashGuard


MAX_TRIAL_CANDIDATES = 8
# A caller whose request may be cleared soon comes back after this time.
OUTLAST_RETRY_S = 0.5
WITHOUT_TRIAL_DETAIL = "upstreams ended under this request"

T = TypeVar("T")


class TrialState(Enum):
    """A submission's part in the trials of its request.

    REFUSED: there is none for it in time, so that it cannot be served.
    EXEMPT: it needs none, since control does not suspect the request, or it cannot be withdrawn.
    """

    NONE = "none"
    ASKED = "asked"
    GRANTED = "granted"
    DENIED = "denied"
    REFUSED = "refused"
    EXEMPT = "exempt"


@define(eq=False)
class Supervision:
    """One submission in flight, as a context manager.

    :param changed: done once what is known of the request, or of its trial, has changed.
    :param upstream: incarnation at which a granted trial runs.
    """

    guard: CrashGuard
    call: Call
    changed: asyncio.Future[None]
    trial: TrialState = TrialState.NONE
    upstream: str = ""
    asking: asyncio.Task[None] | None = None
    has_asked: bool = False
    is_answered: bool = False

    def __enter__(self) -> Supervision:
        if self.call.caller is not None:
            self.guard.in_flight.add(self)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.guard.in_flight.discard(self)
        if self.asking is not None:
            self.asking.cancel()
        if self.has_asked:
            self.guard.end_trial(self.call, answered=False)

    def suspicion(self, now: float) -> KnownSuspect | None:
        """Return what is known against the request, None if it is not suspected."""
        return self.guard.suspicion(self.call, now)

    @property
    def is_waiting(self) -> bool:
        """Return whether a call for a trial is under way."""
        return self.trial is TrialState.ASKED

    def has_trial_at(self, upstream: Target) -> bool:
        """Return whether the submission has a trial that runs at an upstream."""
        return self.trial is TrialState.GRANTED and self.upstream == upstream.incarnation

    async def on_loss(self, upstream: Target, sent_at: float) -> None:
        """Look for evidence that the upstream of a copy ended.

        :param sent_at: when the copy was sent, on `clock.now`.
        """
        await self.guard.on_loss(upstream, self, sent_at)

    def notify(self) -> None:
        """Wake the task that forwards the submission."""
        if not self.changed.done():
            self.changed.set_result(None)

    def rearm(self) -> None:
        """Prepare for the next change."""
        if self.changed.done():
            self.changed = asyncio.get_running_loop().create_future()

    def may_send(self, in_flight: int, now: float) -> bool:
        """Return whether a copy may be sent: a request under suspicion needs a trial for one."""
        if self.suspicion(now) is None or self.trial is TrialState.EXEMPT:
            return True
        return self.trial is TrialState.GRANTED and not in_flight

    def needs_trial(self, now: float) -> bool:
        """Return whether a trial is to be asked for."""
        is_open = self.trial in (TrialState.NONE, TrialState.DENIED)
        return is_open and self.suspicion(now) is not None

    def ask(self, candidates: Sequence[str], has_copy: bool) -> None:
        """Ask for a trial.

        :param candidates: incarnations in order of preference.
        :param has_copy: whether a copy is in flight at the only candidate.
        """
        self.trial = TrialState.ASKED
        self.has_asked = True
        work = self.guard.begin_trial(self, list(candidates[:MAX_TRIAL_CANDIDATES]), has_copy)
        self.asking = asyncio.create_task(work)

    def settle(self, trial: TrialState, upstream: str = "") -> None:
        """Set the outcome of a call for a trial."""
        self.trial, self.upstream = trial, upstream
        metrics.TRIALS.labels(trial.value).inc()
        self.notify()

    def finish_copy(self, answered: bool) -> None:
        """Record that a copy has its result; an answer clears the request."""
        self.is_answered = self.is_answered or answered
        if answered:
            self.guard.losses.forget(self.call.identity, self.call.submission)
        if answered and self.suspicion(clock.now()) is not None:
            self.give_back(answered=True)
        elif self.trial in (TrialState.GRANTED, TrialState.EXEMPT):
            self.give_back(answered=False)

    def on_progress(self, sent_at: float) -> None:
        """Clear the request if its stream has outlasted the runs under which upstreams ended.

        Load pattern: many callers follow the same feed when several upstreams end for another
        cause. A request that ends each upstream that runs it would have ended this one too.

        :param sent_at: when the copy whose stream brings bytes now was sent, on `clock.now`.
        """
        now = clock.now()
        suspicion = self.suspicion(now)
        if suspicion is None:
            return
        if self.guard.known.is_outlasted(self.call.identity, sent_at, now):
            events.emit(
                events.REQUEST_OUTLASTED,
                request=self.call.request_id,
                identity=self.call.identity,
                crashes=len(suspicion.crashes),
                ran_ms=round((now - sent_at) * 1000),
            )
            self.give_back(answered=True)

    def give_back(self, answered: bool = False) -> None:
        """End the trial, or what takes its place; the next copy needs another one."""
        if answered or self.trial is TrialState.GRANTED:
            self.guard.end_trial(self.call, answered)
            self.has_asked = False
        if self.trial is not TrialState.ASKED:
            self.trial, self.upstream = TrialState.NONE, ""

    def stop(self, suspicion: KnownSuspect, can_have_run: bool, route: str, now: float) -> Refusal:
        """Log and return the refusal of a request that ends the upstreams that run it.

        :param can_have_run: whether a copy of this submission was sent.
        :param route: name used in logs.
        """
        metrics.REQUESTS_STOPPED.inc()
        left_s = suspicion.ends_at - now
        if self.guard.known.may_be_outlasted(self.call.identity, now):
            left_s = min(left_s, OUTLAST_RETRY_S)
        result = crashes_upstreams(can_have_run, left_s)
        events.emit(
            events.REQUEST_STOPPED,
            request=self.call.request_id,
            identity=self.call.identity,
            route=route,
            ran=result.ran,
            crashes=[
                {
                    "upstream": crash.upstream,
                    "process": crash.process,
                    "request": crash.request_id,
                    "at": crash.at_ms / 1000,
                }
                for crash in suspicion.crashes
            ],
            left_s=round(left_s, 1),
        )
        return result

    # Requests that are sent once

    async def obtain(self, candidates: Callable[[], list[str]]) -> str | Refusal:
        """Wait until the only copy of a request may be sent.

        :param candidates: returns the incarnations in order of preference.
        :return: the incarnation at which the trial runs, empty if it needs none, or a refusal.
        """
        while True:
            now = clock.now()
            suspicion = self.suspicion(now)
            if suspicion is None or self.trial is TrialState.EXEMPT:
                return ""
            if suspicion.is_condemned:
                return self.stop(suspicion, False, self.call.host, now)
            if self.trial is TrialState.GRANTED:
                return self.upstream
            if self.trial is TrialState.REFUSED:
                return not_run(Reason.NO_QUORUM, WITHOUT_TRIAL_DETAIL)
            if now >= self.call.deadline:
                return not_run(Reason.DEADLINE_EXPIRED)
            if self.needs_trial(now):
                found = candidates()
                if not found:
                    return not_run(Reason.NO_UPSTREAM)
                self.ask(found, has_copy=False)
            await asyncio.wait([self.changed], timeout=self.call.deadline - now)
            self.rearm()

    async def watch(self, copy: asyncio.Future[T], incarnation: str) -> T:
        """Return the result of the only copy of a request.

        It goes on as the trial if suspicion arises meanwhile and no other submission has it. It is
        not withdrawn in any case: its caller could not be told whether it has run.

        :param incarnation: where it runs.
        """
        while not copy.done():
            if self.trial is TrialState.DENIED:
                self.trial = TrialState.EXEMPT
            if self.needs_trial(clock.now()):
                self.ask([incarnation], has_copy=True)
            waits: list[asyncio.Future[Any]] = [self.changed, copy]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            self.rearm()
        return copy.result()
