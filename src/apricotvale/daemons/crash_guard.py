"""An entry's part in finding and stopping requests that end upstreams."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from apricotvale import clock, events, metrics
from apricotvale.crashes import calls
from apricotvale.crashes.book import Crash, CrashReport, SuspectDelta
from apricotvale.crashes.evidence import (
    LOSS_KEEP_S,
    REGISTRY_SIGNS,
    Loss,
    Losses,
    Signs,
    Target,
)
from apricotvale.crashes.known import MAX_OWN, OWN_KEEP_S, KnownSuspect, KnownSuspects
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.daemons.supervision import Supervision, TrialState
from apricotvale.requests.calls import Call

# Time for which a submission waits for the check of the upstream that it lost.
CHECK_WAIT_S = 0.1
# Time for which a submission waits for control to record what it has found.
REPORT_TIMEOUT_S = 0.3
REPORT_INTERVAL_S = 0.5
# Time for which one call for a trial may wait at the leader, and for its answer.
TRIAL_WAIT_S = 0.2
TRIAL_MARGIN_S = 0.25
# Without control a request is tried by this process alone while fewer upstreams ended under it.
MAX_CRASHES_WITHOUT_CONTROL = 2
WITHOUT_CONTROL_PAUSE_S = 0.2
PRUNE_INTERVAL_S = 5.0

Ask = Callable[[Any, float], Awaitable[Any]]


class Prober(Protocol):
    """Client that can check an upstream."""

    async def accepts_connections(self, upstream: Any) -> bool | None:
        """Return whether the upstream accepts connections, None if that is not known."""


class CrashGuard:
    """What an entry knows of requests that end upstreams, and its submissions in flight.

    :param name: name of this process.
    :param view: the known upstreams.
    :param client: client that checks upstreams.
    :param ask: sends a call to the control leader by a deadline on `clock.now`; returns the reply.
    :param has_control: returns whether control has confirmed the view of this process lately.
    :param signs: what the view shows.
    :param on_ended: called with each upstream that has ended with a request in flight.
    """

    def __init__(
        self,
        name: str,
        view: Any,
        client: Prober,
        ask: Ask,
        has_control: Callable[[], bool],
        signs: Signs = REGISTRY_SIGNS,
        on_ended: Callable[[Any], None] = lambda upstream: None,
    ) -> None:
        self.name = name
        self.view = view
        self.client = client
        self.ask = ask
        self.has_control = has_control
        self.signs = signs
        self.on_ended = on_ended
        self.known = KnownSuspects()
        self.losses = Losses()
        self.in_flight: set[Supervision] = set()
        self.checks: dict[str, asyncio.Task[bool | None]] = {}
        # Reports that control has not recorded, each with the time until which they are repeated.
        self.reports: list[tuple[CrashReport, float]] = []
        # Ids of the submissions that are tried without control, by the identity of their request.
        self.local_trials: dict[str, str] = {}
        self.prune_at = float("-inf")
        self.reporting_lock = asyncio.Lock()
        self.reporting: asyncio.Task[None] | None = None
        self.tasks = TaskGroup()

    def supervise(self, call: Call) -> Supervision:
        """Return the context in which a submission is forwarded."""
        return Supervision(self, call, asyncio.get_running_loop().create_future())

    def suspicion(self, call: Call, now: float) -> KnownSuspect | None:
        """Return what is known against a request, None if it is not suspected."""
        if self.known.is_empty or call.caller is None:
            return None
        return self.known.find(call.identity, now)

    def is_stopped(self, call: Call) -> bool:
        """Return whether a request is not sent any more."""
        suspicion = self.suspicion(call, clock.now())
        return suspicion is not None and suspicion.is_condemned

    # Evidence

    async def on_loss(self, upstream: Target, supervision: Supervision, started_at: float) -> None:
        """Look for evidence that an upstream ended, once it has closed a request's connection.

        Returns when what was found is recorded by control. A dark upstream neither accepts nor
        refuses connections, and control may be slow: the time that a retry waits for them is
        bounded, and the work goes on without it.

        :param started_at: when the request was sent there, on `clock.now`.
        """
        if supervision.call.caller is None or self.signs.is_planned(upstream, self.view):
            return
        check = self.check(upstream)
        work = self.tasks.start(self.look_for_end(upstream, supervision, started_at, check))
        await asyncio.wait({check}, timeout=CHECK_WAIT_S)
        if check.done():
            await asyncio.shield(work)

    async def look_for_end(
        self,
        upstream: Target,
        supervision: Supervision,
        started_at: float,
        check: asyncio.Task[bool | None],
    ) -> None:
        """Look for evidence that an upstream ended, and record it.

        :param check: the check whether the upstream accepts connections.
        """
        call, is_trial = supervision.call, supervision.has_trial_at(upstream)
        at_ms = round(time.time() * 1000)
        ran_ms = max(1, round((clock.now() - started_at) * 1000))
        accepts = await check
        now = clock.now()
        events.emit(
            events.CONNECTION_LOST,
            request=call.request_id,
            identity=call.identity,
            upstream=upstream.incarnation,
            ran_ms=ran_ms,
            accepts=accepts,
        )
        until = now + LOSS_KEEP_S
        loss = Loss(call.identity, call.submission, upstream, at_ms, until, is_trial, ran_ms)
        if supervision.is_answered:
            # Another copy of the submission was answered meanwhile, which clears the request.
            return
        if accepts is False:
            await self.record([loss], "connections refused")
        elif self.signs.has_ended(upstream, self.view):
            await self.record([loss], "replaced")
        else:
            self.losses.add(loss)

    def check(self, upstream: Target) -> asyncio.Task[bool | None]:
        """Check whether an upstream accepts connections; losses at the same time share a check."""
        task = self.checks.get(upstream.incarnation)
        if task is None:
            task = self.tasks.start(self.client.accepts_connections(upstream))
            self.checks[upstream.incarnation] = task
            task.add_done_callback(lambda _: self.checks.pop(upstream.incarnation, None))
        return task

    async def record(self, losses: list[Loss], evidence: str) -> None:
        """Record the ends of upstreams here at once, and report them to control."""
        now = clock.now()
        for loss in losses:
            crash = Crash(
                loss.upstream.incarnation, self.name, loss.request_id, loss.at_ms, loss.ran_ms
            )
            metrics.CRASHES_FOUND.inc()
            self.on_ended(loss.upstream)
            events.emit(
                events.CRASH_FOUND,
                request=loss.request_id,
                identity=loss.identity,
                upstream=loss.upstream.incarnation,
                service=loss.upstream.service,
                evidence=evidence,
                trial=loss.is_trial,
                view=self.view.position,
            )
            self.known.add_own(loss.identity, crash, loss.is_trial, now)
            report = CrashReport(loss.identity, crash, loss.is_trial)
            self.reports.append((report, now + OWN_KEEP_S))
        del self.reports[:-MAX_OWN]
        self.notify({loss.identity for loss in losses})
        # Requests that were in flight at the upstream find out at the same time, and are reported
        # together.
        await asyncio.sleep(0)
        async with self.reporting_lock:
            if not self.has_control() or not await self.send_reports(now + REPORT_TIMEOUT_S):
                self.start_reporting()

    async def send_reports(self, deadline: float) -> bool:
        """Report all that is not reported yet; return whether control has recorded it."""
        reports, self.reports = self.reports, []
        if not reports:
            return True
        request = calls.ReportCrashes([report for report, _ in reports])
        reply = await self.ask(request, deadline)
        now = clock.now()
        if not isinstance(reply, calls.CrashesRecorded):
            self.reports = [*reports, *self.reports][-MAX_OWN:]
            return False
        for notice in reply.notices:
            self.known.learn(notice, now)
        self.notify({notice.suspect.identity for notice in reply.notices})
        return True

    def start_reporting(self) -> None:
        """Start to repeat reports, unless that is under way."""
        if self.reporting is None or self.reporting.done():
            self.reporting = self.tasks.start(self.report_until_recorded())

    async def report_until_recorded(self) -> None:
        """Repeat the reports until control has recorded them or they are out of date."""
        while True:
            now = clock.now()
            next_at = now + REPORT_INTERVAL_S
            self.reports = [(report, until) for report, until in self.reports if now < until]
            if await self.send_reports(next_at):
                return
            await asyncio.sleep(max(0.0, next_at - clock.now()))

    # Knowledge of control

    def on_news(self, suspects: SuspectDelta | None) -> None:
        """Adopt what control knows, and look for evidence in the view.

        :param suspects: None without changes.
        """
        now = clock.now()
        if suspects is not None:
            self.known.apply(suspects, now)
            self.notify(None)
        if now >= self.prune_at:
            self.prune_at = now + PRUNE_INTERVAL_S
            self.known.prune(now)
        if self.losses.pending:
            ended = self.losses.settle(self.view, now, self.signs.has_ended)
            if ended:
                self.tasks.start(self.record(ended, "replaced"))

    def notify(self, identities: set[str] | None) -> None:
        """Wake the submissions of these requests, of all requests if None."""
        for supervision in self.in_flight:
            if identities is None or supervision.call.identity in identities:
                supervision.notify()

    # Trials

    async def begin_trial(
        self, supervision: Supervision, candidates: list[str], has_copy: bool
    ) -> None:
        """Ask control for a trial until it is granted, or refused for good.

        Control knows nothing of a crash that is not recorded yet, so the call waits for a report
        that is under way.
        """
        call = supervision.call
        async with self.reporting_lock:
            pass
        now = clock.now()
        asked_about = self.known.find(call.identity, now)
        if not self.has_control():
            await self.begin_local_trial(supervision, candidates)
            return
        wait_s = 0.0 if has_copy else TRIAL_WAIT_S
        request = calls.BeginTrial(
            call.identity,
            call.submission,
            self.name,
            candidates,
            max(0, round((call.deadline - now) * 1000)),
            round(wait_s * 1000),
        )
        reply = await self.ask(request, min(call.deadline, now + wait_s + TRIAL_MARGIN_S))
        match reply:
            case calls.TrialGranted():
                supervision.settle(TrialState.GRANTED, reply.upstream)
            case calls.TrialDenied():
                self.known.learn(reply.notice, clock.now())
                events.emit(
                    events.TRIAL_DENIED,
                    request=call.request_id,
                    identity=call.identity,
                    crashes=len(reply.notice.suspect.crashes),
                )
                supervision.settle(TrialState.DENIED)
            case calls.NotSuspected() if self.known.find(call.identity, now) != asked_about:
                # A crash was found or recorded after control had answered.
                supervision.settle(TrialState.DENIED)
            case calls.NotSuspected():
                self.known.forget(call.identity)
                supervision.settle(TrialState.EXEMPT)
            case _:
                await self.begin_local_trial(supervision, candidates)

    async def begin_local_trial(self, supervision: Supervision, candidates: list[str]) -> None:
        """Try a request without control: once at a time here, while little is known against it.

        If control is only slow to answer, a request with more against it waits for it.
        """
        identity = supervision.call.identity
        known = self.known.find(identity, clock.now())
        may_try = known is None or len(known.crashes) < MAX_CRASHES_WITHOUT_CONTROL
        if not may_try and not self.has_control():
            supervision.settle(TrialState.REFUSED)
        elif may_try and identity not in self.local_trials:
            self.local_trials[identity] = supervision.call.submission
            supervision.settle(TrialState.GRANTED, candidates[0])
        else:
            await asyncio.sleep(WITHOUT_CONTROL_PAUSE_S)
            supervision.settle(TrialState.DENIED)

    def end_trial(self, call: Call, answered: bool) -> None:
        """Report that a submission is over; an answer clears the request."""
        if self.local_trials.get(call.identity) == call.submission:
            del self.local_trials[call.identity]
        if answered:
            self.known.forget(call.identity)
            self.notify({call.identity})
        request = calls.EndTrial(call.identity, call.submission, self.name, answered)
        self.tasks.start(self.send_end(request))

    async def send_end(self, request: calls.EndTrial) -> None:
        """Send the end of a trial; without it the trial ends by time.

        An answer clears only what control has recorded, so it waits for a report that is under way.
        """
        async with self.reporting_lock:
            pass
        await self.ask(request, clock.now() + REPORT_INTERVAL_S)
