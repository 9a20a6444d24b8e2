"""Permits of limited upstreams: how many are issued, to whom, and what a process does without."""

from __future__ import annotations

import random

import pytest

from apricotvale.limits.permits import (
    CALLERS_ACTIVE_S,
    MIN_RATE,
    PERMIT_TTL_S,
    SHARER_S,
    HeldPermits,
    Issue,
    PermitBucket,
    PermitIssuer,
)

START = 100.0


@pytest.fixture
def bucket():
    return PermitBucket(2.0, START)


def test_a_new_bucket_is_empty(bucket):
    """Guards against a new leader that issues what its predecessor has issued."""
    assert bucket.take(5, START) == 0
    assert bucket.wait_s(START) == pytest.approx(0.5)


@pytest.mark.parametrize("rate", [0.3, 1.0, 7.0, 250.0])
@pytest.mark.parametrize("seed", range(5))
def test_no_window_of_four_seconds_gets_more_than_the_limit_and_what_was_saved(rate, seed):
    rng, bucket = random.Random(seed), PermitBucket(rate, START)
    taken = []
    now = START
    while now < START + 30:
        now += rng.expovariate(4 * rate) if rng.random() < 0.98 else 3.0
        taken += [now] * bucket.take(rng.randint(1, 4), now, rng.random() < 0.5)
    most = max(sum(at <= other < at + 4.0 for other in taken) for at in taken)
    assert most <= 4 * rate + bucket.capacity + 1e-6


def test_a_request_for_fewer_than_no_permits_gets_and_adds_none(bucket):
    """Guards against a malformed call, and a reply with a negative number of permits."""
    assert bucket.take(-100, START + 1) == 0
    assert bucket.take(9, START + 1) == 2


def test_an_unused_upstream_collects_permits_of_one_second(bucket):
    assert bucket.take(9, START + 60) == 2


def test_a_limit_of_less_than_one_still_collects_one():
    bucket = PermitBucket(0.5, START)
    assert bucket.take(1, START + 1.9) == 0
    assert bucket.take(1, START + 2.1) == 1


def test_a_limit_of_zero_lets_a_request_through_from_time_to_time():
    """Guards against a limit that nothing can end, since only an answer shows its end."""
    bucket = PermitBucket(0.0, START)
    assert bucket.take(1, START + 0.9 / MIN_RATE) == 0
    assert bucket.take(1, START + 1.1 / MIN_RATE) == 1


def test_background_work_leaves_half_to_callers_that_ask(bucket):
    """Load pattern: hundreds of reward calls wait for permits beside a few callers."""
    background = callers = 0
    for step in range(400):
        now = START + step * 0.05
        background += bucket.take(1, now, is_background=True)
        callers += bucket.take(1, now) if step % 5 == 0 else 0
    assert callers >= 18 and 16 <= background <= 22


def test_background_work_has_all_permits_without_callers(bucket):
    bucket.take(1, START)
    now = START + CALLERS_ACTIVE_S + 0.1
    assert bucket.take(9, now, is_background=True) == 2
    assert sum(bucket.take(1, now + s, True) for s in range(1, 11)) == 10


def test_a_changed_limit_holds_from_now():
    issuer = PermitIssuer()
    issuer.bucket("d@1", 10.0, START)
    assert issuer.bucket("d@1", 1.0, START + 5).take(9, START + 5) == 1
    assert issuer.issue("d@1", 1.0, 9, "edge-1", START + 6).granted == 1


def test_a_refusal_says_when_the_next_permit_comes():
    issue = PermitIssuer().issue("d@1", 2.0, 3, "edge-1", START)
    assert (issue.granted, issue.wait_s) == (0, pytest.approx(0.5))


def test_processes_that_ask_no_more_lose_their_part():
    issuer = PermitIssuer()
    issuer.issue("d@1", 2.0, 1, "edge-1", START)
    assert issuer.issue("d@1", 2.0, 1, "edge-2", START + 1).sharers == 3
    assert issuer.issue("d@1", 2.0, 1, "edge-2", START + 10.5).sharers == 2


# Permits that a process holds


@pytest.fixture
def held():
    held = HeldPermits()
    held.receive(Issue(2, sharers=4), START)
    return held


def test_a_permit_is_used_once(held):
    assert [held.take(START + 0.1) for _ in range(3)] == [True, True, False]


def test_a_permit_that_was_not_used_is_void(held):
    assert not held.take(START + PERMIT_TTL_S)


def test_a_process_asks_for_what_it_has_used_lately(held):
    assert held.wanted(START) == 1
    for _ in range(2):
        held.take(START)
    assert held.wanted(START + 0.1) == 2
    assert held.wanted(START + PERMIT_TTL_S) == 1


def test_a_refused_process_asks_again_when_the_next_permit_is_expected(held):
    held.receive(Issue(0, 0.4), START + 1)
    assert held.wait_s(START + 1.1) == pytest.approx(0.3)
    assert held.wait_s(START + 1.4) == 0


def test_without_control_a_process_uses_its_part_of_the_limit(held):
    """Guards against a service that is closed while control is lost, and against one that isn't."""
    sent = [at for at in range(0, 201) if held.take_own(2.0, START + at / 10)]
    assert len(sent) == 10
    assert not held.take_own(2.0, START + 20.0)
    assert held.wait_s(START + 20.01) == pytest.approx(1.99)


def test_a_process_that_did_not_ask_lately_has_no_part_without_control(held):
    """Guards against many processes that each send one request when control is lost."""
    assert not any(held.take_own(2.0, START + SHARER_S + at) for at in range(60))


def test_control_that_replies_again_ends_the_own_part(held):
    held.take_own(2.0, START)
    held.receive(Issue(0, 0.2, sharers=4), START + 60)
    assert not held.take_own(2.0, START + 60.1)


def test_a_process_that_control_never_answered_sends_nothing():
    held = HeldPermits()
    assert not held.take_own(2.0, START + 100)
    assert held.wait_s(START + 100) > 0
