"""Tests of the retry and hedging decisions for one forwarded request."""

from __future__ import annotations

import pytest
from attrs import evolve

from apricotvale.outcomes import Ran, Reason, not_run, unknown
from apricotvale.requests.calls import Answer
from apricotvale.requests.forwarding import ForwardedRequest
from apricotvale.routes import Backend, Route, RouteKind

SAFE = Route("r", "h", "/", RouteKind.SAFE, (Backend("s", 1),), 1500.0, 200.0, 3)
UNSAFE = evolve(SAFE, kind=RouteKind.UNSAFE)
SUCCESS = Answer(200, b"body", (), "signature")
OVERLOADED = not_run(Reason.OVERLOADED)
LOST = unknown(Reason.UPSTREAM_LOST)


@pytest.fixture
def safe():
    return ForwardedRequest(SAFE, 10.0)


@pytest.fixture
def unsafe():
    return ForwardedRequest(UNSAFE, 10.0)


def test_first_success_is_final(safe):
    safe.begin("a", 0.0)
    assert safe.finish(SUCCESS) == SUCCESS


def test_refusal_without_execution_uses_no_attempt(safe, unsafe):
    for request in (safe, unsafe):
        for name in "abcdef":
            assert request.may_send(0.0)
            request.begin(name, 0.0)
            assert request.finish(OVERLOADED) is None
        refusal = request.final_result(0.0, 0.2)
        assert (refusal.ran, refusal.retry_after_s) == (Ran.NOT_RUN, 0.2)


def test_unsafe_request_that_may_have_run_is_not_retried(unsafe):
    unsafe.begin("a", 0.0)
    assert unsafe.finish(LOST) is None
    assert not unsafe.may_send(0.0)
    assert unsafe.final_result(0.0, 0.2).ran is Ran.UNKNOWN


def test_safe_request_is_retried_up_to_max_attempts(safe):
    for name in "abc":
        assert safe.may_send(0.0)
        safe.begin(name, 0.0)
        safe.finish(LOST)
    assert not safe.may_send(0.0)
    assert safe.final_result(0.0, 0.2).ran is Ran.UNKNOWN


def test_hedge_is_sent_after_half_the_latency_objective(safe, unsafe):
    for request in (safe, unsafe):
        request.begin("a", 0.0)
        assert not request.may_send(0.09)
    assert safe.may_send(0.11)
    assert not unsafe.may_send(0.11)
    safe.begin("b", 0.11)
    assert not safe.may_send(5.0)


def test_server_error_is_returned_if_no_attempt_succeeds(safe):
    failed = Answer(500, b"oops", (), "signature")
    for name in "abc":
        safe.begin(name, 0.0)
        assert safe.finish(failed) is None
    result = safe.final_result(0.0, 0.2)
    assert (result.status, result.server_errors) == (500, 3)


def test_server_error_of_an_unsafe_request_is_final(unsafe):
    unsafe.begin("a", 0.0)
    assert unsafe.finish(Answer(500, b"")).status == 500


def test_nothing_is_sent_after_the_deadline(safe):
    assert not safe.may_send(10.0)
    safe.begin("a", 0.0)
    assert safe.final_result(10.0, 0.2).reason is Reason.DEADLINE_EXPIRED
