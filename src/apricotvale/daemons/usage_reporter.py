"""Counts the requests of an entry by customer and reports the counts to the control leader."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from attrs import define

from apricotvale import clock, events
from apricotvale.daemons.fleet_link import FLEET, FleetLink
from apricotvale.daemons.leader_client import LeaderClient
from apricotvale.duties.true_time import ClockComparison, TrueTime
from apricotvale.duties.usage import UsageCounter
from apricotvale.fleet import calls
from apricotvale.requests.calls import Call
from apricotvale.requests.forwarding import ForwardedRequest
from apricotvale.settings.fleet import FleetSettings

REPORT_INTERVAL_S = 0.5
# An entry without new counts reports its estimate of true time this often, so that a new leader
# hears several entries before it closes a window.
KEEPALIVE_S = 2.0
CALL_TIMEOUT_S = 2.0
# The leader collects reports for 0.25 s and commits them, which takes tens of milliseconds.
ATTEMPT_TIMEOUT_S = 1.0
# Shorter than the part of the stop time that remains when the last request has been answered.
LAST_CALL_TIMEOUT_S = 0.6
# A request in flight is counted after this share of the time until its window may be closed. The
# rest suffices to report it: the interval of reports, and the time to collect and commit them.
IN_FLIGHT_SHARE = 0.8


@define(eq=False)
class CountedRequest:
    """A request that is counted once an attempt has run or may have run."""

    call: Call
    request: ForwardedRequest
    is_counted: bool = False


def wall_clock_time() -> TrueTime:
    """Return an estimate of true time from the wall clock, which is read only once."""
    return TrueTime(time.time() - clock.now())


class UsageReporter:
    """The counts of an entry and their reports.

    :param link: the entry's link to control.
    """

    def __init__(self, settings: FleetSettings, link: FleetLink) -> None:
        self.link = link
        # A new process starts with empty counts. Under the name of the former one they would be
        # taken for outdated counts of that process.
        self.reporter = f"{settings.name}/{uuid.uuid4().hex[:12]}"
        self.counter = UsageCounter(settings.usage_window_s)
        self.in_flight: set[CountedRequest] = set()
        self.in_flight_s = IN_FLIGHT_SHARE * settings.usage_late_s / 2
        self.time = wall_clock_time()
        self.comparison = ClockComparison()
        self.client = LeaderClient(settings.contact_addresses(), FLEET)
        self.sent_at = float("-inf")
        # Whether a leader has not heard this entry's estimate of true time yet.
        self.is_unheard = True
        self.lock = asyncio.Lock()

    @contextmanager
    def counting(self, call: Call, request: ForwardedRequest) -> Iterator[None]:
        """Count a request of a customer at the end of the context, however it ends."""
        if not call.customer:
            yield
            return
        counted = CountedRequest(call, request)
        self.in_flight.add(counted)
        try:
            yield
        finally:
            self.in_flight.discard(counted)
            self.count(counted)

    def count(self, counted: CountedRequest) -> None:
        """Count a request once, unless every upstream refused it without execution."""
        call, ran_at = counted.call, counted.request.ran_at
        if counted.is_counted or ran_at is None or not call.customer:
            return
        counted.is_counted = True
        is_new = self.counter.add(call.customer, call.request_id, ran_at, self.time)
        events.emit(
            events.REQUEST_COUNTED,
            request=call.request_id,
            customer=call.customer,
            first_time=is_new,
        )

    def count_in_flight(self, sent_before: float) -> None:
        """Count the requests in flight whose attempt was sent before a time.

        Load pattern: requests take longer than their window stays open. Counted at their end they
        would come too late.
        """
        for counted in list(self.in_flight):
            if (counted.request.ran_at or sent_before) < sent_before:
                self.count(counted)

    def is_due(self, now: float) -> bool:
        """Return whether there is something to report."""
        table = self.link.table
        if (table is None or table.customers is None) and not self.counter.windows:
            return False
        has_news = bool(self.counter.unconfirmed or self.counter.pending)
        is_urgent = has_news or self.is_unheard or not self.time.is_synced
        return is_urgent or now >= self.sent_at + KEEPALIVE_S

    async def run(self) -> None:
        """Report until cancelled, from the first route table on."""
        await self.link.has_table.wait()
        while True:
            self.count_in_flight(clock.now() - self.in_flight_s)
            if self.is_due(clock.now()):
                knew_time = self.time.is_synced
                await self.send(CALL_TIMEOUT_S)
                if self.time.is_synced and not knew_time:
                    # Requests that waited for true time are in windows now, which may close soon.
                    continue
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def send(self, timeout_s: float) -> bool:
        """Send one report; return whether its counts are committed."""
        async with self.lock:
            report = self.counter.report(self.reporter)
            sent_at = self.sent_at = clock.now()
            request = calls.ReportUsage(
                report,
                self.comparison.leader,
                self.time.offset_s + self.comparison.ahead_s,
                self.time.is_synced,
            )
            self.client.addresses = list(self.link.call_client.addresses)
            deadline = self.client.now() + timeout_s
            reply = await self.client.call(request, deadline, min(timeout_s, ATTEMPT_TIMEOUT_S))
            if not isinstance(reply, calls.UsageAck):
                return False
            self.counter.confirm(report)
            self.is_unheard = reply.leader != request.leader
            self.adopt_time(reply, sent_at)
            self.counter.forget_before(reply.closed_before)
            return True

    def adopt_time(self, ack: calls.UsageAck, sent_at: float) -> None:
        """Adopt the leader's estimate of true time from its reply."""
        is_known = self.comparison.measure(
            ack.leader, ack.clock_s, ack.held_s, sent_at, clock.now(), self.time.is_synced
        )
        if ack.offset_s is None or not is_known:
            return
        former_s = self.time.offset_s
        if self.time.adopt(ack.offset_s - self.comparison.ahead_s):
            changed_ms = round((self.time.offset_s - former_s) * 1000)
            events.emit(events.TRUE_TIME_CORRECTED, by_ms=changed_ms, leader=ack.leader)
        self.counter.assign_pending(self.time)

    async def send_last(self) -> None:
        """Send the counts that are not confirmed yet, once, before the process ends.

        Requests still in flight are cancelled then; they are counted, as they may have run.
        """
        self.count_in_flight(clock.now())
        if self.counter.pending:
            self.counter.assign_pending(self.time)
        if not self.counter.unconfirmed:
            return
        # A report that is still under way holds the lock for longer than the process may wait.
        with suppress(TimeoutError):
            async with asyncio.timeout(LAST_CALL_TIMEOUT_S):
                await self.send(LAST_CALL_TIMEOUT_S)
        if self.counter.unconfirmed:
            events.emit(
                events.USAGE_LATE,
                reporter=self.reporter,
                windows=sorted(self.counter.unconfirmed),
                why="control did not confirm the last counts before the process ended",
            )

    def close(self) -> None:
        """Close the connections to control."""
        self.client.close()
