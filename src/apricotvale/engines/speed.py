"""Speed of engines, estimated from the gaps between the events of their runs."""

from __future__ import annotations

import statistics
from collections import deque

from attrs import define, field

# An event takes 36.7 ms with one run on the engine and 43.9 ms with six.
DEFAULT_SLOPE = 0.04
MAX_SLOPE = 0.3
# Weight of the default slope, in squared differences of the number of runs.
SLOPE_PRIOR_WEIGHT = 20.0
SLOPE_DECAY_FACTOR = 0.995
# Longer averages than this are disturbed by slow periods and do not count for the slope.
MAX_SLOPE_RATIO = 1.6
# Gaps are averaged over bins shorter than a slow period of 600 ms, so that a period fills whole
# bins, and longer than a few gaps, so that events that arrive together do not distort a bin.
BIN_S = 0.2
MAX_BINS = 40
# Slow periods, prompts and loads only lengthen gaps. Below the median, an estimate stays right
# until three fifths of the bins are disturbed. One slow period may fill most of the first bins, so
# the least of these counts.
BIN_QUANTILE = 0.4
# All bins of 2 s are disturbed only if at least four slow periods follow each other, which happens
# to one engine in 2,000 such spans. Otherwise the engine's speed itself has changed.
SHIFT_BINS = 10
SHIFT_RATIO = 1.5
# The gaps of so many bins are not all from one slow period.
SETTLED_BINS = 4
# Slow periods are 2.5 times slower and last for 3 bins. Gaps that are longer for more bins are not
# due to such a period.
STALL_BINS = 4
STALL_RATIO = 3.2
# An older estimate counts as unknown.
MAX_AGE_S = 60.0
TOKENS_PER_EVENT = 49.0
MAX_SAMPLES = 31
# Prompt tokens read in a second: measured values are 220,000 to 400,000. Values outside of the
# limits include waiting.
DEFAULT_READ_RATE = 300_000.0
MIN_READ_RATE = 150_000.0
MAX_READ_RATE = 600_000.0
# The reading time of a shorter prompt is within the variation of an event.
MIN_READ_TOKENS = 400


@define
class ServiceSpeed:
    """Facts that the engines of a service share.

    :param slope: relative increase of the time for an event with each further run on an engine.
    :param tokens_per_event: tokens of an event, estimated from the outputs of complete runs.
    :param read_rate: prompt tokens that an engine reads in a second.
    """

    slope: float = DEFAULT_SLOPE
    tokens_per_event: float = TOKENS_PER_EVENT
    read_rate: float = DEFAULT_READ_RATE
    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    event_sizes: deque[float] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    read_rates: deque[float] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))

    def add_ratio(self, runs: float, ratio: float) -> None:
        """Add the average gap of a bin relative to its engine's time with one run.

        The slope is that of a regression line relative to its start, so an engine's time need not
        be exact, but only the same in bins with few and with many runs.
        """
        if ratio > MAX_SLOPE_RATIO:
            return
        others = runs - 1.0
        decay = SLOPE_DECAY_FACTOR
        self.weight = self.weight * decay + 1.0
        self.sum_x = self.sum_x * decay + others
        self.sum_y = self.sum_y * decay + ratio
        self.sum_xx = self.sum_xx * decay + others * others
        self.sum_xy = self.sum_xy * decay + others * ratio
        spread = self.sum_xx - self.sum_x**2 / self.weight
        shared = self.sum_xy - self.sum_x * self.sum_y / self.weight
        if spread <= 0.0:
            return
        start = (self.sum_y - shared / spread * self.sum_x) / self.weight
        if start <= 0.0:
            return
        slope = (shared / start + DEFAULT_SLOPE * SLOPE_PRIOR_WEIGHT) / (
            spread + SLOPE_PRIOR_WEIGHT
        )
        self.slope = min(MAX_SLOPE, max(0.0, slope))

    def add_output(self, expected_tokens: int, events: int) -> None:
        """Add a complete output. The caller's estimate of its tokens is right at the median."""
        if expected_tokens > 0 and events > 0:
            self.event_sizes.append(expected_tokens / events)
            if len(self.event_sizes) >= MAX_SAMPLES // 2:
                self.tokens_per_event = statistics.median(self.event_sizes)

    def add_read(self, tokens: int, seconds: float) -> None:
        """Add the time that an engine took to read prompt tokens that it had not cached."""
        if tokens >= MIN_READ_TOKENS and seconds > 0.0:
            rate = tokens / seconds
            if MIN_READ_RATE <= rate <= MAX_READ_RATE:
                self.read_rates.append(rate)
                self.read_rate = statistics.median(self.read_rates)


@define
class EngineSpeed:
    """The time that an engine takes for an event, by the number of runs on it.

    Load pattern: on any engine, 15 % of all periods of 600 ms are 2.5 times slower, and events take
    up to half longer while the engine reads prompts. The time is therefore a quantile of averages
    over short bins. If the speed changes for longer than slow periods last, older bins are dropped.

    :param seconds_per_event: time for an event if there is one run on the engine, 0 if unknown.
    :param updated_at: time of the last gap, in monotonic seconds.
    """

    service: ServiceSpeed = field(factory=ServiceSpeed)
    seconds_per_event: float = 0.0
    updated_at: float = float("-inf")
    bins: deque[float] = field(factory=lambda: deque(maxlen=MAX_BINS))
    bin_started_at: float = 0.0
    bin_seconds: float = 0.0
    bin_run_events: float = 0.0
    bin_events: int = 0

    def add(self, seconds: float, events: int, runs: int = 1, now: float = 0.0) -> None:
        """Add a gap between events.

        :param events: number of events that arrived at the end of the gap.
        :param runs: number of runs on the engine.
        :param now: monotonic time in seconds.
        """
        if events <= 0 or seconds < 0.0:
            return
        if self.bin_events and now - self.bin_started_at >= BIN_S:
            self.close_bin()
        if not self.bin_events:
            self.bin_started_at = now
        self.bin_seconds += seconds
        self.bin_events += events
        self.bin_run_events += runs * events
        self.updated_at = now
        if not self.bins:
            self.seconds_per_event = self.bin_value()

    def bin_value(self) -> float:
        """Return the average gap of the current bin, as if there were one run."""
        others = self.bin_run_events / self.bin_events - 1.0
        return self.bin_seconds / self.bin_events / (1.0 + self.service.slope * others)

    def close_bin(self) -> None:
        """Add the current bin to the estimate."""
        self.bins.append(self.bin_value())
        if len(self.bins) > STALL_BINS and self.seconds_per_event:
            recent = list(self.bins)[-SHIFT_BINS:]
            low, high = min(recent), max(recent)
            is_shift = (
                low > self.seconds_per_event * SHIFT_RATIO
                or high * SHIFT_RATIO < self.seconds_per_event
            )
            if min(recent[-STALL_BINS:]) > self.seconds_per_event * STALL_RATIO:
                self.bins = deque(recent[-STALL_BINS:], maxlen=MAX_BINS)
            elif len(recent) == SHIFT_BINS and is_shift:
                self.bins = deque(recent, maxlen=MAX_BINS)
            else:
                runs = self.bin_run_events / self.bin_events
                average = self.bin_seconds / self.bin_events
                self.service.add_ratio(runs, average / self.seconds_per_event)
        ranked = sorted(self.bins)
        quantile = BIN_QUANTILE if len(ranked) >= SHIFT_BINS else 0.0
        self.seconds_per_event = ranked[int((len(ranked) - 1) * quantile)]
        self.bin_seconds = self.bin_run_events = 0.0
        self.bin_events = 0

    @property
    def is_settled(self) -> bool:
        """Return whether the gaps span more time than one slow period."""
        return len(self.bins) >= SETTLED_BINS

    def age_s(self, now: float) -> float:
        """Return the age of the estimate."""
        return now - self.updated_at

    def expire(self, now: float) -> None:
        """Forget an estimate that is too old."""
        if self.seconds_per_event and self.age_s(now) > MAX_AGE_S:
            self.forget()

    def forget(self) -> None:
        """Forget all gaps."""
        self.bins.clear()
        self.seconds_per_event = 0.0
        self.bin_seconds = self.bin_run_events = 0.0
        self.bin_events = 0

    def expected_seconds(self, tokens: float, runs: int, default: float = 0.0) -> float:
        """Return the time to generate tokens beside other runs.

        :param runs: number of runs on the engine, with this one.
        :param default: time for an event if it is not known.
        """
        per_event = self.seconds_per_event or default
        events = tokens / self.service.tokens_per_event
        return events * per_event * (1.0 + self.service.slope * (runs - 1))
