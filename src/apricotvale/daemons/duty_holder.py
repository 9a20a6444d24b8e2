"""Collects usage at the control leader and reports closed windows to the infrastructure."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from apricotvale import clock, events, metrics
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.daemons.usage_reporter import wall_clock_time
from apricotvale.duties.reporting import (
    CallResult,
    Infrastructure,
    Outcome,
    ReportPlan,
    UsageTimes,
)
from apricotvale.duties.true_time import ClockMedian
from apricotvale.duties.usage import ClosedWindow, UsageReport
from apricotvale.fleet import calls
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetState
from apricotvale.routes import RouteTable
from apricotvale.settings.fleet import FleetSettings

# Reports that arrive within this time are committed together: 20 entries report twice a second.
COLLECT_S = 0.25
COMMIT_RETRY_S = 0.05
# Before the first window, entries report once they have the table with customers. Each needs two
# reports, 0.5 s apart, until the leader knows its clock; without them the median of the first
# leader would be its own wall clock.
FIRST_CLOCKS_WAIT_S = 1.5
# Longer than an entry without new counts needs to report its clock to a new leader: up to 2 s until
# its next report and 0.5 s until the one after it. After the loss of all processes nobody does.
SYNCED_CLOCK_WAIT_S = 5.0

WindowCommand = c.BeginUsage | c.CloseUsage | c.ConfirmUsage


class DutyHolder:
    """The usage of all entries, and the calls to the infrastructure while this replica leads.

    :param commit: commits a command and returns the reply for its caller.
    :param may_act: returns whether this replica leads under a valid lease and the previous leader's
        lease has expired.
    :param term: returns the term of the leadership, which is the fencing token.
    :param tasks: the tasks that end with the process.
    """

    def __init__(
        self,
        settings: FleetSettings,
        state: FleetState,
        infrastructure: Infrastructure,
        commit: Callable[[c.Command], Awaitable[Any]],
        may_act: Callable[[], bool],
        term: Callable[[], int],
        tasks: TaskGroup,
    ) -> None:
        self.name = settings.name
        self.state = state
        self.infrastructure = infrastructure
        self.commit = commit
        self.may_act = may_act
        self.term = term
        self.times = UsageTimes(settings.usage_window_s, settings.usage_late_s)
        self.clocks = ClockMedian(wall_clock_time())
        self.first_seen_at: float | None = None
        self.acting_since: float | None = None
        self.plan = ReportPlan()
        self.waiting: list[UsageReport] = []
        self.collecting: asyncio.Task[Any] | None = None
        self.changing: asyncio.Task[Any] | None = None
        self.calling: asyncio.Task[Any] | None = None
        self.tasks = tasks

    @property
    def leadership(self) -> str:
        """Return a name of this leadership, unique among all replicas and terms."""
        return f"{self.name}/{self.term()}"

    def on_table(self, table: RouteTable) -> None:
        """Note when customers first came into force; every replica does."""
        if self.first_seen_at is None and table is not None and table.customers is not None:
            self.first_seen_at = clock.now()

    # Reports of entries

    async def on_report(self, request: calls.ReportUsage) -> Any:
        """Commit an entry's counts and answer with the agreed true time."""
        received_at = clock.now()
        leadership = self.leadership
        if request.leader == leadership:
            self.clocks.hear(
                request.report.reporter, request.offset_s, request.is_synced, received_at
            )
        if request.report.windows:
            reply = await self.record(request.report)
            if not isinstance(reply, calls.Accepted):
                return reply
        now = clock.now()
        return calls.UsageAck(
            self.state.usage.state.next_window,
            leadership,
            now,
            now - received_at,
            self.clocks.estimate(now) if self.may_act() and self.knows_time(now) else None,
        )

    async def record(self, report: UsageReport) -> Any:
        """Commit a report together with those that arrive within `COLLECT_S`."""
        self.waiting.append(report)
        if self.collecting is None:
            self.collecting = self.tasks.start(self.commit_collected())
        return await asyncio.shield(self.collecting)

    async def commit_collected(self) -> Any:
        """Commit the reports that are waiting."""
        await asyncio.sleep(COLLECT_S)
        reports, self.waiting = self.waiting, []
        self.collecting = None
        return await self.commit(c.RecordUsage(reports))

    def on_applied(self, leads: bool) -> None:
        """Log the counts that came too late, if this replica leads."""
        late, self.state.usage.late = self.state.usage.late, []
        if not leads:
            return
        for found in late:
            metrics.USAGE_LATE.inc(found.requests)
            events.emit(
                events.USAGE_LATE,
                window=found.window,
                reporter=found.reporter,
                requests=found.requests,
            )

    # Periodic tasks of the leader

    def tick(self, now: float) -> None:
        """Start the commit and the call that are due.

        Nothing is due in the first `lease_ms` of a leadership. The entries are heard in that time,
        so that neither a wrong clock of a new leader nor counts that are still on the way matter.
        """
        if not self.may_act():
            return
        if self.acting_since is None:
            self.acting_since = now
        if not self.knows_time(now):
            return
        if self.clocks.own.adopt(self.clocks.estimate(now)):
            events.emit(events.TRUE_TIME_CORRECTED, leader=self.leadership)
        if self.changing is None or self.changing.done():
            command = self.next_change(self.clocks.own.at(now))
            if command is not None:
                self.changing = self.tasks.start(self.change(command))
        if self.calling is None or self.calling.done():
            window = self.plan.next_call(self.state.usage.unreported(), now)
            if window is not None:
                self.calling = self.tasks.start(self.report(window))

    def knows_time(self, now: float) -> bool:
        """Return whether true time is agreed on, or nobody can be expected to know it.

        Once usage is reported, the entries know true time; a new leader whose own wall clock may be
        wrong then waits for the first of them.
        """
        if self.clocks.is_synced(now):
            return True
        if self.acting_since is None:
            return False
        if self.state.usage.state.next_window:
            return now >= self.acting_since + SYNCED_CLOCK_WAIT_S
        if self.first_seen_at is None:
            return False
        return now >= max(self.acting_since, self.first_seen_at) + FIRST_CLOCKS_WAIT_S

    def next_change(self, true_time: float) -> WindowCommand | None:
        """Return the command that begins, closes or gives up a window, if one is due."""
        window = self.state.usage.state.next_window
        if not window:
            if self.first_seen_at is None:
                return None
            return c.BeginUsage(self.times.window_at(self.clocks.own.at(self.first_seen_at)))
        if self.times.is_closable(window, true_time):
            return c.CloseUsage(window)
        for closed in self.state.usage.unreported():
            if self.times.is_expired(closed.window, true_time):
                return c.ConfirmUsage(closed.window)
        return None

    async def change(self, command: WindowCommand) -> None:
        """Commit a change of the windows and log it.

        The log line of a window that is given up holds its counts, which are in no report.
        """
        closed = self.state.usage.find_closed(command.window)
        given_up = dict(closed.counts) if closed and not closed.is_done else {}
        if not isinstance(await self.commit(command), calls.Accepted):
            return
        match command:
            case c.BeginUsage():
                events.emit(events.USAGE_BEGUN, window=command.window)
            case c.CloseUsage():
                closed = self.state.usage.find_closed(command.window)
                requests = sum(closed.counts.values()) if closed else 0
                events.emit(events.USAGE_CLOSED, window=command.window, requests=requests)
            case c.ConfirmUsage():
                metrics.USAGE_WINDOWS.labels("given_up").inc()
                events.emit(events.USAGE_GIVEN_UP, window=command.window, counts=given_up)

    async def report(self, closed: ClosedWindow) -> None:
        """Report one window, and record it as done if it was accepted."""
        token, plan, window = self.term(), self.plan, closed.window

        def may_send() -> bool:
            return self.may_act() and self.term() == token and not closed.is_done

        if not may_send():
            return
        result = await self.infrastructure.report_usage(
            window, closed.counts, self.name, token, may_send
        )
        plan.finish(window, result.outcome, clock.now())
        if result.outcome is not Outcome.ACCEPTED:
            self.log_failure(window, token, result)
            return
        metrics.USAGE_WINDOWS.labels("reported").inc()
        events.emit(events.USAGE_REPORTED, window=window, token=token)
        while self.term() == token and self.may_act() and not closed.is_done:
            if isinstance(await self.commit(c.ConfirmUsage(window)), calls.Accepted):
                break
            await asyncio.sleep(COMMIT_RETRY_S)

    def log_failure(self, window: int, token: int, result: CallResult) -> None:
        """Log and count a call that was not accepted."""
        metrics.USAGE_CALLS_FAILED.labels(result.outcome).inc()
        is_fenced_off = result.outcome is Outcome.FENCED_OFF
        events.emit(
            events.USAGE_FENCED_OFF if is_fenced_off else events.USAGE_FAILED,
            window=window,
            token=token,
            outcome=result.outcome,
            detail=result.detail,
        )

    def stop(self) -> None:
        """Stop the call in progress and forget the state of this leadership."""
        if self.calling is not None:
            self.calling.cancel()
        self.plan = ReportPlan()
        self.acting_since = None
        self.clocks.heard.clear()
