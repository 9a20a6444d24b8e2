"""Reports upstreams that state in an answer that they leave to the control leader."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from apricotvale import clock, events
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.discovery import RegistryView, Upstream
from apricotvale.fleet import calls

# Time limit of one report, and pause between the starts of two.
REPORT_INTERVAL_S = 0.5


class LeavingReporter:
    """Marks leaving upstreams in the view of this process, and reports them until control knows.

    The mark takes effect at once. Without it, this process would send requests to the upstream
    until control has committed the report, or for as long as control is out of reach.

    :param view: the view from which this process chooses upstreams.
    :param report: sends a call to the control leader by a deadline on `clock.now`; returns the
        reply.
    """

    def __init__(self, view: RegistryView, report: Callable[[Any, float], Awaitable[Any]]) -> None:
        self.view = view
        self.report = report
        self.tasks = TaskGroup()

    def on_leaving(self, upstream: Upstream) -> None:
        """Mark an upstream that stated that it leaves, and start to report it."""
        if self.view.mark_leaving(upstream.incarnation):
            events.emit(
                events.UPSTREAM_LEAVING,
                upstream=upstream.incarnation,
                service=upstream.service,
                view=self.view.position,
            )
            self.tasks.start(self.report_until_known(upstream))

    async def report_until_known(self, upstream: Upstream) -> None:
        """Send the report until it is confirmed or the incarnation is gone."""
        request = calls.ReportLeaving(upstream.upstream_id, upstream.born_ms)
        while self.view.holds(upstream):
            next_at = clock.now() + REPORT_INTERVAL_S
            reply = await self.report(request, next_at)
            if isinstance(reply, calls.Accepted | calls.NotFound):
                return
            await asyncio.sleep(max(0.0, next_at - clock.now()))
