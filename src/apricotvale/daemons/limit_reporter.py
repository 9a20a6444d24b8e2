"""Reports limits that upstreams name in their answers to the control leader."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from apricotvale import clock
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.discovery import RegistryView, Upstream
from apricotvale.fleet import calls

# Time limit of one report, and pause between the starts of two.
REPORT_INTERVAL_S = 0.5


class LimitReporter:
    """Reports what this process hears of a limit, until control has it.

    :param view: the view of this process, in which the limit holds at once.
    :param report: sends a call to the control leader by a deadline on `clock.now`; returns the
        reply.
    """

    def __init__(self, view: RegistryView, report: Callable[[Any, float], Awaitable[Any]]) -> None:
        self.view = view
        self.report = report
        self.reporting: set[str] = set()
        self.tasks = TaskGroup()

    def on_limit(self, upstream: Upstream) -> None:
        """Start to report the limit of an upstream, unless a report of it is under way."""
        if upstream.incarnation not in self.reporting:
            self.reporting.add(upstream.incarnation)
            self.tasks.start(self.report_until_known(upstream))

    async def report_until_known(self, upstream: Upstream) -> None:
        """Report the limit, and its changes meanwhile, until control has it.

        Load pattern: an upstream names another rate in each answer. Control gets the newest one at
        each interval.
        """
        incarnation = upstream.incarnation
        try:
            while self.view.holds(upstream):
                known = self.view.limits.by_incarnation.get(incarnation)
                if known is None or known.is_shared:
                    return
                next_at = clock.now() + REPORT_INTERVAL_S
                request = calls.ReportLimit(upstream.upstream_id, upstream.born_ms, known.rate)
                reply = await self.report(request, next_at)
                if isinstance(reply, calls.Accepted | calls.NotFound):
                    self.view.limits.confirm(incarnation, known.rate)
                await asyncio.sleep(max(0.0, next_at - clock.now()))
        finally:
            self.reporting.discard(incarnation)
