"""Counts of callers' requests by window of true time and customer.

Load pattern: tens of entries count thousands of requests of tens of customers in each window, and
some entries are frozen, cut off or killed. Reports contain cumulative counts, so that a report that
arrives twice, late or out of order changes nothing.
"""

from __future__ import annotations

from collections import Counter, OrderedDict

from attrs import define, field, frozen

from apricotvale.duties.true_time import TrueTime

# Windows that are kept after they were reported, so that counts that arrive later are recognized
# as lost and not mistaken for a report that was sent twice.
KEPT_WINDOWS = 12
# Bounds of an entry's memory while control is out of reach: an hour of windows, and the requests
# counted before the first contact with a leader.
MAX_WINDOWS = 720
MAX_PENDING = 100_000
MAX_REQUEST_IDS = 8_192


def window_at(true_time: float, window_s: float) -> int:
    """Return the window that contains a true time."""
    return int(true_time // window_s)


@frozen
class WindowCounts:
    """The requests of one window by customer."""

    window: int
    counts: dict[str, int]


@frozen
class UsageReport:
    """Cumulative counts of one reporter.

    :param reporter: incarnation of an entry; another one after each start of the process.
    """

    reporter: str
    windows: list[WindowCounts] = field(factory=list)


@define
class UsageCounter:
    """The counts of one entry since its process started.

    :param pending: time on the boot-time clock and customer of requests that were counted before
        the entry knew true time.
    :param unconfirmed: windows whose counts have changed since the last confirmed report.
    :param request_ids: customers and ids of requests counted recently; a request sent again by its
        caller counts once.
    """

    window_s: float
    windows: dict[int, dict[str, int]] = field(factory=dict)
    pending: list[tuple[float, str]] = field(factory=list)
    unconfirmed: set[int] = field(factory=set)
    request_ids: OrderedDict[tuple[str, str], None] = field(factory=OrderedDict)

    def add(self, customer: str, request_id: str, sent_at: float, time: TrueTime) -> bool:
        """Count a request; return False if its id was counted before.

        :param sent_at: when the attempt that ran was sent, on the boot-time clock.
        """
        if request_id:
            key = (customer, request_id)
            if key in self.request_ids:
                return False
            self.request_ids[key] = None
            if len(self.request_ids) > MAX_REQUEST_IDS:
                self.request_ids.popitem(last=False)
        if not time.is_synced and len(self.pending) < MAX_PENDING:
            self.pending.append((sent_at, customer))
        else:
            self.add_to_window(customer, window_at(time.at(sent_at), self.window_s))
        return True

    def add_to_window(self, customer: str, window: int) -> None:
        """Increase one count."""
        counts = self.windows.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1
        self.unconfirmed.add(window)
        if len(self.windows) > MAX_WINDOWS:
            self.remove(min(self.windows))

    def assign_pending(self, time: TrueTime) -> None:
        """Assign the requests counted before true time was known to their windows."""
        pending, self.pending = self.pending, []
        for sent_at, customer in pending:
            self.add_to_window(customer, window_at(time.at(sent_at), self.window_s))

    def report(self, reporter: str) -> UsageReport:
        """Return the cumulative counts of the windows that are not confirmed."""
        windows = [WindowCounts(w, dict(self.windows[w])) for w in sorted(self.unconfirmed)]
        return UsageReport(reporter, windows)

    def confirm(self, report: UsageReport) -> None:
        """Record that the counts of a report are committed."""
        for sent in report.windows:
            if self.windows.get(sent.window) == sent.counts:
                self.unconfirmed.discard(sent.window)

    def forget_before(self, window: int) -> None:
        """Remove confirmed windows that were closed long ago."""
        for old in [w for w in self.windows if w < window - KEPT_WINDOWS]:
            if old not in self.unconfirmed:
                self.remove(old)

    def remove(self, window: int) -> None:
        """Remove a window."""
        del self.windows[window]
        self.unconfirmed.discard(window)


@define
class OpenWindow:
    """A window that still accepts counts, by reporter and customer."""

    window: int
    reports: dict[str, dict[str, int]] = field(factory=dict)


@define
class ClosedWindow:
    """A window whose counts are final.

    :param counts: requests by customer, which are reported.
    :param totals: requests by reporter, including those that came too late.
    :param is_done: whether the window was reported or given up.
    """

    window: int
    counts: dict[str, int]
    totals: dict[str, int] = field(factory=dict)
    is_done: bool = False


@define
class UsageState:
    """The part of the replicated state that holds the counts.

    :param next_window: the window to close next; 0 before customers are in force.
    """

    next_window: int = 0
    open: list[OpenWindow] = field(factory=list)
    closed: list[ClosedWindow] = field(factory=list)


@frozen
class LateCounts:
    """Requests that were reported after their window was closed."""

    window: int
    reporter: str
    requests: int


class UsageBook:
    """Applies committed commands to a `UsageState`.

    `late` lists lost counts until the leader has logged them; it is no part of the state.
    """

    def __init__(self, state: UsageState) -> None:
        self.state = state
        self.late: list[LateCounts] = []

    def begin(self, window: int) -> bool:
        """Set the first window to report, unless one is set."""
        if self.state.next_window:
            return False
        self.state.next_window = window
        early = [entry for entry in self.state.open if entry.window < window]
        self.state.open = [entry for entry in self.state.open if entry.window >= window]
        for entry in early:
            for reporter, counts in entry.reports.items():
                self.late.append(LateCounts(entry.window, reporter, sum(counts.values())))
        return True

    def record(self, reports: list[UsageReport]) -> None:
        """Record cumulative counts; smaller counts than known ones are outdated."""
        for report in reports:
            for sent in report.windows:
                if sent.window < self.state.next_window:
                    self.record_late(report.reporter, sent)
                else:
                    known = self.open_window(sent.window).reports.setdefault(report.reporter, {})
                    for customer, count in sent.counts.items():
                        known[customer] = max(known.get(customer, 0), count)

    def open_window(self, window: int) -> OpenWindow:
        """Return an open window; create it if there is none."""
        for entry in self.state.open:
            if entry.window == window:
                return entry
        created = OpenWindow(window)
        self.state.open.append(created)
        return created

    def record_late(self, reporter: str, sent: WindowCounts) -> None:
        """Note the requests of a closed window that were not known when it was closed."""
        total = sum(sent.counts.values())
        closed = self.find_closed(sent.window)
        held = closed.totals.get(reporter, 0) if closed else 0
        if total <= held:
            return
        if closed:
            closed.totals[reporter] = total
        self.late.append(LateCounts(sent.window, reporter, total - held))

    def close(self, window: int) -> bool:
        """Close the next window and add up its counts; any other window stays as it is."""
        if window != self.state.next_window or not window:
            return False
        reports = self.open_window(window).reports
        self.state.open = [entry for entry in self.state.open if entry.window != window]
        counts: Counter[str] = Counter()
        for by_customer in reports.values():
            counts.update(by_customer)
        totals = {reporter: sum(found.values()) for reporter, found in reports.items()}
        self.state.closed.append(ClosedWindow(window, dict(counts), totals))
        self.state.next_window = window + 1
        self.state.closed = [
            entry
            for entry in self.state.closed
            if not entry.is_done or entry.window >= window - KEPT_WINDOWS
        ]
        return True

    def confirm(self, window: int) -> bool:
        """Mark a closed window as reported or given up."""
        closed = self.find_closed(window)
        if closed is None or closed.is_done:
            return False
        closed.is_done = True
        closed.counts = {}
        return True

    def find_closed(self, window: int) -> ClosedWindow | None:
        """Return a closed window, None if it is not kept."""
        return next((entry for entry in self.state.closed if entry.window == window), None)

    def unreported(self) -> list[ClosedWindow]:
        """Return the closed windows that are not reported yet, oldest first."""
        return [entry for entry in self.state.closed if not entry.is_done]
