"""Retries of requests to sidecars, and what the roster shows about the end of an upstream."""

from __future__ import annotations

import pytest
from attrs import evolve

from apricotvale.crashes.sidecar_evidence import has_ended, is_planned
from apricotvale.membership.roster import Kind, Member, RosterView, Standing
from apricotvale.outcomes import Ran, Reason, not_run, unknown
from apricotvale.requests.dispatching import DispatchedRequest
from apricotvale.requests.retries import RetryBudget

MEMBER = Member("d-1", "i-1", Kind.SERVICE, "10.0.0.1:80", "a", "desk")
LOST = unknown(Reason.UPSTREAM_LOST)
DRAINING = not_run(Reason.DRAINING)


def make_request(tokens=10.0, may_retry=True, hedge_after_s=0.0):
    return DispatchedRequest(
        "desk", 10.0, True, RetryBudget(10, tokens), lambda _: may_retry, 3, hedge_after_s
    )


def test_a_refusal_does_not_deny_that_an_earlier_copy_may_have_run():
    """Guards against a result that only the last copy decides."""
    request = make_request()
    for incarnation, result in (("a", LOST), ("b", DRAINING)):
        request.begin(incarnation, 1.0)
        assert request.finish(result, 1.0) is None
    assert request.can_have_run
    assert request.final_result(2.0) == LOST


def test_a_copy_that_was_withdrawn_may_have_run_and_may_be_sent_there_again():
    """Guards against a withdrawn copy that takes an attempt, or is said not to have run."""
    request = make_request(may_retry=False)
    request.begin("a", 1.0)
    request.withdraw("a", 1.0)
    assert request.may_send(2.0) and not request.tried and request.rounds == 0
    assert request.final_result(2.0).ran is Ran.UNKNOWN


def test_a_request_that_was_not_sent_by_its_deadline_has_not_run():
    request = make_request()
    assert not request.may_send(10.0)
    assert request.final_result(10.0) == not_run(Reason.DEADLINE_EXPIRED)


def test_a_copy_in_flight_at_the_deadline_may_have_run():
    request = make_request()
    request.begin("a", 1.0)
    assert request.final_result(10.0) == unknown(Reason.DEADLINE_EXPIRED)


def test_a_round_has_one_second_copy_which_is_charged():
    request = make_request(tokens=1.5, hedge_after_s=0.5)
    request.begin("a", 1.0)
    assert not request.may_send(1.4) and request.may_send(1.5)
    request.begin("b", 1.5)
    assert request.budget.tokens == 0.5 and not request.may_send(9.0)


def test_a_second_copy_that_the_budget_forbids_is_not_waited_for():
    """Guards against a wait that ends at once, again and again."""
    request = make_request(tokens=0.0, hedge_after_s=0.5)
    request.begin("a", 1.0)
    assert not request.may_send(1.5) and request.hedge_at == float("inf")


def test_rounds_are_bounded():
    request = make_request()
    for number in range(3):
        request.begin(f"u-{number}", 1.0)
        request.finish(LOST, 1.0)
    assert not request.may_send(1.0)


def view_of(*members):
    view = RosterView()
    view.members = {member.name: member for member in members}
    return view


OTHER_AT_ADDRESS = evolve(MEMBER, name="d-2", incarnation="i-2")
SIGNS = {
    "unchanged": ([MEMBER], False, None),
    "its upstream is down": ([evolve(MEMBER, standing=Standing.DRAINING)], False, None),
    "it leaves": ([evolve(MEMBER, standing=Standing.DRAINING, is_leaving=True)], True, None),
    "it has left": ([], True, False),
    "its address was taken": ([OTHER_AT_ADDRESS], False, True),
    "another incarnation": ([evolve(MEMBER, incarnation="i-3")], False, True),
}


@pytest.mark.parametrize("case", SIGNS)
def test_what_the_roster_shows_about_an_end(case):
    members, planned, ended = SIGNS[case]
    view = view_of(*members)
    assert (is_planned(MEMBER, view), has_ended(MEMBER, view)) == (planned, ended)
