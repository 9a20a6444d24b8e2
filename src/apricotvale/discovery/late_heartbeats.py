"""Heartbeats that count as out of date, and when they show that their sender is alive."""

from __future__ import annotations

from attrs import define

from apricotvale.discovery.registry import Standing, Upstream

# Heartbeats in a row that show that an upstream is alive, and the time that they span at least, in
# heartbeat periods. Late heartbeats of an upstream that has ended are fewer, or arrive at once.
NEEDED_HEARTBEATS = 3
MIN_SPAN_PERIODS = 1.5
# The same time for an upstream that has reported that it leaves: it serves on for seconds.
MIN_SPAN_AFTER_LEAVING_PERIODS = 10.0
# A longer pause ends a series.
MAX_PAUSE_PERIODS = 3.5
MAX_SERIES = 512


@define
class Series:
    """Consecutive out-of-date heartbeats of one incarnation.

    :param first_at: when the first one arrived, in monotonic seconds.
    :param last_at: when the newest one arrived.
    """

    newest: Upstream
    first_at: float
    last_at: float
    count: int = 1


class LateHeartbeats:
    """Out-of-date heartbeats that a leader has received, in a series for each incarnation.

    Load pattern: another writer's heartbeat names the address or the id of an upstream, with a
    later start. The upstream runs and goes on sending heartbeats, which are out of date from then
    on. Of an upstream that was replaced, only a few heartbeats are still on their way, while its
    successor sends its own.

    :param period_s: time between two heartbeats of an upstream, in seconds.
    """

    def __init__(self, period_s: float) -> None:
        self.period_s = period_s
        self.series: dict[str, Series] = {}

    def add(self, upstream: Upstream, has_left: bool, now: float) -> bool:
        """Add an out-of-date heartbeat; return whether its sender proves to be alive.

        :param has_left: whether the incarnation has reported that it leaves.
        :param now: in monotonic seconds.
        """
        if upstream.standing is not Standing.READY:
            self.series.pop(upstream.incarnation, None)
            return False
        series = self.series.get(upstream.incarnation)
        if series is None or now - series.last_at > MAX_PAUSE_PERIODS * self.period_s:
            self.begin(upstream, now)
            return False
        if upstream.sequence <= series.newest.sequence:
            return False
        series.newest, series.last_at = upstream, now
        series.count += 1
        periods = MIN_SPAN_AFTER_LEAVING_PERIODS if has_left else MIN_SPAN_PERIODS
        is_long = now - series.first_at >= periods * self.period_s
        return is_long and series.count >= NEEDED_HEARTBEATS

    def begin(self, upstream: Upstream, now: float) -> None:
        """Begin a series; the least recently extended one makes room for it."""
        self.series.pop(upstream.incarnation, None)
        while len(self.series) >= MAX_SERIES:
            oldest = min(self.series, key=lambda incarnation: self.series[incarnation].last_at)
            del self.series[oldest]
        self.series[upstream.incarnation] = Series(upstream, now, now)

    def end_rivals(self, upstream: Upstream) -> None:
        """End the series of all incarnations with the id or the address of an upstream.

        :param upstream: as described by a heartbeat that is not out of date.
        """
        rivals = [
            incarnation
            for incarnation, series in self.series.items()
            if series.newest.upstream_id == upstream.upstream_id
            or series.newest.address == upstream.address
        ]
        for incarnation in rivals:
            del self.series[incarnation]

    def clear(self) -> None:
        """End all series."""
        self.series.clear()
