"""Estimates of engine speed from the gaps between events."""

from __future__ import annotations

import random

import pytest

from apricotvale.engines.speed import (
    DEFAULT_READ_RATE,
    DEFAULT_SLOPE,
    MAX_AGE_S,
    EngineSpeed,
    ServiceSpeed,
)

ALONE_S = 0.0367
SIX_RUNS_S = 0.0439


def feed(speed, seconds, runs, gap_at, start=0.0):
    """Add the gaps of runs that generate side by side; return the estimates after each event."""
    next_at = [start + gap_at(start) * (n + 1) / runs for n in range(runs)]
    began_at = [start] * runs
    estimates = []
    while min(next_at) < start + seconds:
        number = next_at.index(min(next_at))
        now = next_at[number]
        if began_at[number] > start:
            speed.add(now - began_at[number], 1, runs, now)
            estimates.append(speed.seconds_per_event)
        began_at[number] = now
        next_at[number] = now + gap_at(now)
    return estimates


@pytest.mark.parametrize("seed", range(20))
def test_slow_periods_do_not_distort_the_estimate(seed):
    """A decaying average follows each slow period of 600 ms, and runs move although all is well."""
    rng, slow = random.Random(seed), {}

    def gap_at(now):
        is_slow = slow.setdefault(int(now / 0.6), rng.random() < 0.15)
        return SIX_RUNS_S * (2.5 if is_slow else 1.0)

    slow.update({0: False, 1: False, 2: False})
    speed = EngineSpeed()
    estimates = feed(speed, 60.0, 6, gap_at)
    assert max(estimates) < ALONE_S * 1.25
    assert speed.seconds_per_event == pytest.approx(ALONE_S, rel=0.05)


def test_reading_of_prompts_does_not_distort_the_estimate():
    """Events take 55 to 64 ms in two fifths of the time, while the engine reads prompts."""
    rng = random.Random(1)
    speed = EngineSpeed()
    feed(speed, 20.0, 6, lambda now: rng.uniform(0.055, 0.064) if now % 1 < 0.4 else SIX_RUNS_S)
    assert speed.seconds_per_event == pytest.approx(ALONE_S, rel=0.1)


def test_a_pause_for_a_load_does_not_distort_the_estimate():
    """A load pauses all runs for a second, so that each has one gap of that length."""
    speed = EngineSpeed()
    feed(speed, 8.0, 6, lambda now: 1.0 if 4.0 <= now < 4.04 else SIX_RUNS_S)
    assert speed.seconds_per_event == pytest.approx(ALONE_S, rel=0.05)


def test_a_lasting_change_of_speed_is_known_within_three_seconds():
    """An estimate over the last 8 s alone follows a lasting change only after 4.8 s."""
    speed = EngineSpeed()
    feed(speed, 20.0, 6, lambda now: SIX_RUNS_S)
    feed(speed, 3.0, 6, lambda now: 3 * SIX_RUNS_S, 20.0)
    assert speed.seconds_per_event == pytest.approx(3 * ALONE_S, rel=0.1)
    feed(speed, 3.0, 6, lambda now: SIX_RUNS_S, 23.0)
    assert speed.seconds_per_event == pytest.approx(ALONE_S, rel=0.1)


def test_the_speed_is_known_after_the_first_event():
    """Engines without an estimate count as the median, also if they are much slower."""
    speed = EngineSpeed()
    speed.add(0.08, 1, 1, 0.5)
    assert speed.seconds_per_event == pytest.approx(0.08)
    assert speed.age_s(2.5) == 2.0


def test_the_slope_is_learned_from_bins_with_different_numbers_of_runs():
    """With a fixed slope, a busy engine counts as slower, or faster, than it is when idle."""
    service = ServiceSpeed()
    engines = [EngineSpeed(service) for _ in range(4)]
    for turn in range(20):
        for number, speed in enumerate(engines):
            runs = 1 + (turn + number) % 6
            gap = (1 + number) * ALONE_S * (1 + 0.1 * (runs - 1))
            feed(speed, 2.0, runs, lambda now, gap=gap: gap, 2.0 * turn)
    assert service.slope == pytest.approx(0.1, abs=0.02)
    for number, speed in enumerate(engines):
        assert speed.seconds_per_event == pytest.approx((1 + number) * ALONE_S, rel=0.1)


def test_the_expected_time_grows_with_the_runs():
    """Without the slope, a full engine would count as fast as an idle one."""
    speed = EngineSpeed()
    assert speed.expected_seconds(490, 1, ALONE_S) == pytest.approx(10 * ALONE_S)
    speed.add(ALONE_S, 1)
    assert speed.expected_seconds(490, 6) == pytest.approx(10 * SIX_RUNS_S, rel=0.01)
    assert speed.service.slope == DEFAULT_SLOPE


def test_an_old_estimate_is_forgotten():
    """An engine that was slow a minute ago would get no runs that show that it is fast again."""
    speed = EngineSpeed()
    speed.add(0.2, 1, 1, 10.0)
    speed.expire(10.0 + MAX_AGE_S)
    assert speed.seconds_per_event
    speed.expire(10.1 + MAX_AGE_S)
    assert not speed.seconds_per_event


@pytest.mark.parametrize("arguments", [(-0.1, 1), (0.1, 0), (0.1, -1)])
def test_a_gap_that_is_no_time_is_ignored(arguments):
    """A negative time per token makes an engine the fastest for good."""
    speed = EngineSpeed()
    speed.add(*arguments)
    assert not speed.seconds_per_event


def test_the_tokens_of_an_event_follow_the_median_of_the_estimates():
    """Estimates of outputs are often wrong by a factor of 2 to 4."""
    service, rng = ServiceSpeed(), random.Random(1)
    for _ in range(40):
        events = rng.randrange(5, 40)
        service.add_output(int(events * 30 * rng.choice((0.25, 0.5, 1, 1, 1, 2, 4))), events)
    service.add_output(0, 10)
    assert service.tokens_per_event == pytest.approx(30, rel=0.05)


def test_reading_times_that_include_waiting_are_ignored():
    """The first event of a run may wait for a load, which would make reading seem expensive."""
    service = ServiceSpeed()
    service.add_read(1_000, 1.0)
    service.add_read(100, 0.0004)
    service.add_read(1_000, -0.001)
    assert service.read_rate == DEFAULT_READ_RATE
    service.add_read(1_000, 0.0045)
    assert service.read_rate == pytest.approx(1_000 / 0.0045)
