"""The control leader's part in finding requests that end upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from apricotvale import clock, events
from apricotvale.consensus.calls import Unconfirmed
from apricotvale.crashes import calls
from apricotvale.crashes import commands as c
from apricotvale.crashes.book import CrashBook, Suspect, SuspectDelta, SuspectNotice
from apricotvale.crashes.trials import Trials
from apricotvale.daemons.runtime import TaskGroup, wait_event

# A record ends this long after this replica learned of it; a restarted replica learns anew.
KEEP_S = 600.0
FORGET_INTERVAL_S = 1.0
MAX_WAIT_S = 1.0
CHECK_INTERVAL_S = 0.05


class CrashControl:
    """Records ends of upstreams and grants trials.

    :param book: returns the replicated record.
    :param is_current: returns whether this replica leads and has all that was committed before.
    :param commit: commits a command and returns the reply for its caller.
    :param accepted: reply to a call that took effect; `commit` returns one of its class for a
        command that did.
    :param tasks: where commits run that no caller waits for.
    """

    def __init__(
        self,
        book: Callable[[], CrashBook],
        is_current: Callable[[], bool],
        commit: Callable[[Any], Awaitable[Any]],
        accepted: Any,
        tasks: TaskGroup,
    ) -> None:
        self.book = book
        self.is_current = is_current
        self.commit = commit
        self.accepted = accepted
        self.tasks = tasks
        self.trials = Trials()
        self.ends_at: dict[str, float] = {}
        self.position = -1
        self.forget_at = float("-inf")
        self.changed = asyncio.Event()

    # State

    def on_applied(self, now: float) -> bool:
        """Set when new records end; return whether the record has changed."""
        state = self.book().state
        if state.position == self.position:
            return False
        self.position = state.position
        self.ends_at = {
            identity: self.ends_at.get(identity, now + KEEP_S) for identity in state.suspects
        }
        self.wake()
        return True

    def wake(self) -> None:
        """Wake the calls that wait for a trial."""
        self.changed.set()
        self.changed = asyncio.Event()

    def start_leading(self, now: float) -> None:
        """Start granting trials."""
        self.trials.begin_leading(now)

    def stop_leading(self) -> None:
        """Grant no trials any more."""
        self.trials.stop_leading()

    def tick(self, now: float) -> None:
        """Remove the records that have ended."""
        if now < self.forget_at:
            return
        self.forget_at = now + FORGET_INTERVAL_S
        ended = [identity for identity, ends_at in self.ends_at.items() if now >= ends_at]
        if ended:
            self.tasks.start(self.clear(ended, "ended"))

    def notice(self, suspect: Suspect, now: float) -> SuspectNotice:
        """Return what processes are told of a suspect."""
        left_s = self.ends_at.get(suspect.identity, now + KEEP_S) - now
        return SuspectNotice(suspect, max(0, round(left_s * 1000)))

    def delta(self, position: int, now: float) -> SuspectDelta | None:
        """Return the changes after a position, None if there are none."""
        book = self.book()
        if position >= book.state.position:
            return None
        full, changed, removed = book.changes(position)
        notices = [self.notice(suspect, now) for suspect in changed]
        return SuspectDelta(book.state.position, full, notices, removed)

    # Calls

    async def on_call(
        self, request: calls.ReportCrashes | calls.BeginTrial | calls.EndTrial
    ) -> Any:
        """Answer a call."""
        match request:
            case calls.ReportCrashes():
                return await self.on_report(request)
            case calls.BeginTrial():
                return await self.on_begin_trial(request)
            case calls.EndTrial():
                return await self.on_end_trial(request)

    async def on_report(self, request: calls.ReportCrashes) -> Any:
        """Commit what is news of a report; end the trials that it concerns."""
        book = self.book()
        news = [report for report in request.reports if book.is_news(report)]
        if news:
            reply = await self.commit(c.RecordCrashes(news))
            events.emit(
                events.CRASHES_RECORDED,
                crashes=[
                    {
                        "identity": report.identity,
                        "request": report.crash.request_id,
                        "upstream": report.crash.upstream,
                        "process": report.crash.process,
                        "trial": report.is_trial,
                        "count": self.count_crashes(report.identity),
                    }
                    for report in news
                ],
                outcome=type(reply).__name__,
            )
            if not isinstance(reply, type(self.accepted)):
                return reply
        for report in request.reports:
            self.trials.end(report.identity, report.crash.request_id, report.crash.process)
        self.wake()
        now = clock.now()
        suspects = self.book().state.suspects
        known = {report.identity for report in request.reports} & suspects.keys()
        return calls.CrashesRecorded([self.notice(suspects[i], now) for i in sorted(known)])

    def count_crashes(self, identity: str) -> int:
        """Return how many ends of upstreams are recorded against a request."""
        suspect = self.book().state.suspects.get(identity)
        return len(suspect.crashes) if suspect else 0

    async def on_begin_trial(self, request: calls.BeginTrial) -> Any:
        """Grant a trial, once another one of the request or its upstreams has ended."""
        deadline = clock.now() + min(request.wait_ms / 1000, MAX_WAIT_S)
        while True:
            changed, now = self.changed, clock.now()
            suspect = self.book().state.suspects.get(request.identity)
            if not self.is_current() or not self.trials.is_ready(now):
                # What was committed before may not be applied yet, and a former leader's trial may
                # still run.
                if now >= deadline:
                    return Unconfirmed("the leader is not ready to grant trials")
                await wait_event(changed, CHECK_INTERVAL_S)
                continue
            if suspect is None:
                return calls.NotSuspected()
            upstream = None
            if not suspect.is_condemned:
                upstream = self.trials.grant(
                    request.identity,
                    request.request_id,
                    request.process,
                    request.candidates,
                    len(suspect.crashes),
                    request.left_ms / 1000,
                    now,
                )
            if upstream is not None:
                events.emit(
                    events.TRIAL_BEGUN,
                    request=request.request_id,
                    identity=request.identity,
                    asked_by=request.process,
                    upstream=upstream,
                    crashes=len(suspect.crashes),
                    running=len(self.trials.running),
                )
                return calls.TrialGranted(upstream)
            if suspect.is_condemned or now >= deadline:
                return calls.TrialDenied(self.notice(suspect, now))
            # Trials also end by time, and begin some time after a change of the leader.
            await wait_event(changed, min(CHECK_INTERVAL_S, deadline - now))

    async def on_end_trial(self, request: calls.EndTrial) -> Any:
        """End a trial; clear its request if it was answered."""
        if self.trials.end(request.identity, request.request_id, request.process):
            self.wake()
        if request.answered and request.identity in self.book().state.suspects:
            return await self.clear([request.identity], "answered", request.request_id)
        return self.accepted

    async def clear(self, identities: list[str], why: str, request_id: str = "") -> Any:
        """Commit that requests are not under suspicion any more."""
        reply = await self.commit(c.ClearSuspects(identities))
        events.emit(
            events.SUSPECTS_CLEARED,
            request=request_id,
            identities=identities,
            why=why,
            outcome=type(reply).__name__,
        )
        return reply
