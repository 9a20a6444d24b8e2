"""What a process knows of the limits of upstreams, from answers that overtake each other."""

from __future__ import annotations

import pytest

from apricotvale.limits.known import KnownLimits
from apricotvale.limits.types import StatedLimit

NO_LIMIT = StatedLimit(None)


@pytest.fixture
def limits():
    limits = KnownLimits()
    assert limits.record("d@1", StatedLimit(2.0), sent_at=0.0, now=1.0)
    return limits


def test_a_repeated_statement_is_no_news(limits):
    assert not limits.record("d@1", StatedLimit(2.0), sent_at=1.5, now=2.0)
    assert not KnownLimits().record("d@1", NO_LIMIT, sent_at=0.0, now=1.0)


@pytest.mark.parametrize("stated", [NO_LIMIT, StatedLimit(3.0)])
def test_an_answer_to_an_earlier_request_neither_ends_nor_raises_a_limit(limits, stated):
    """Guards against an answer that the upstream gave before it named the limit."""
    assert not limits.record("d@1", stated, sent_at=0.9, now=5.0)
    assert limits.rate_of("d@1") == 2.0


@pytest.mark.parametrize("stated", [NO_LIMIT, StatedLimit(3.0)])
def test_an_answer_to_a_later_request_ends_or_raises_it(limits, stated):
    assert limits.record("d@1", stated, sent_at=1.1, now=1.2)
    assert limits.rate_of("d@1") == stated.rate


def test_a_limit_is_unheard_when_no_answer_has_named_it_for_a_while(limits):
    assert not limits.is_unheard("d@1", 2.9)
    assert limits.is_unheard("d@1", 3.0)
    limits.record("d@1", StatedLimit(2.0), sent_at=3.0, now=3.1)
    assert not limits.is_unheard("d@1", 5.0)
    limits.record("d@1", NO_LIMIT, sent_at=5.0, now=5.1)
    assert not limits.is_unheard("d@1", 9.0) and not limits.is_unheard("d@2", 9.0)


def test_each_statement_restarts_the_wait_for_a_later_request(limits):
    limits.record("d@1", StatedLimit(2.0), sent_at=1.5, now=3.0)
    assert not limits.record("d@1", NO_LIMIT, sent_at=2.0, now=4.0)
    assert limits.rate_of("d@1") == 2.0


def test_a_lower_limit_holds_at_once(limits):
    assert limits.record("d@1", StatedLimit(0.5), sent_at=0.1, now=1.1)
    assert limits.rate_of("d@1") == 0.5


def test_an_answer_is_not_undone_by_control_until_control_has_it(limits):
    limits.follow("d@1", None, 2.0)
    assert limits.rate_of("d@1") == 2.0
    limits.confirm("d@1", 2.0)
    limits.follow("d@1", None, 3.0)
    assert limits.rate_of("d@1") is None


def test_an_end_is_not_undone_by_control_until_control_has_it(limits):
    limits.follow("d@1", 2.0, 2.0)
    limits.record("d@1", NO_LIMIT, sent_at=2.1, now=2.2)
    limits.follow("d@1", 2.0, 2.3)
    assert limits.rate_of("d@1") is None
    limits.follow("d@1", None, 2.4)
    assert limits.by_incarnation == {}


def test_a_limit_that_control_has_is_ended_by_a_request_sent_since(limits):
    other = KnownLimits()
    other.follow("d@1", 2.0, 10.0)
    assert not other.record("d@1", NO_LIMIT, sent_at=9.9, now=10.1)
    assert other.record("d@1", NO_LIMIT, sent_at=10.1, now=10.2)


def test_a_limit_belongs_to_one_incarnation(limits):
    assert limits.rate_of("d@2") is None
    limits.retain({"d@2"})
    assert limits.by_incarnation == {}
