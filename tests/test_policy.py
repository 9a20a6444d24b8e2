"""Tests of routing, admission, retries, sample dispatch, the weight planner and membership."""

from __future__ import annotations

import random
from collections import deque

import pytest

from apricotvale.membership.roster import (
    Departure,
    Kind,
    Member,
    Roster,
    RosterDelta,
    RosterView,
    Standing,
)
from apricotvale.outcomes import Reason, Refusal
from apricotvale.requests.admission import Admission, Queued, Started
from apricotvale.requests.retries import RetryBudget
from apricotvale.requests.routing import Router, preferred_member, subset
from apricotvale.samples.dispatch import StepPlan, staleness_cost
from apricotvale.samples.ledger import StepSpec
from apricotvale.settings.routing import Routing
from apricotvale.settings.schema import TrafficClass
from apricotvale.weights.rollout import (
    Fence,
    GrantRequest,
    LoadFailure,
    Rollout,
    RolloutPolicy,
    plan_grants,
)

INTERACTIVE, BACKGROUND, SAMPLE = TrafficClass


def make_engine(name, site="a", version=0, incarnation=None):
    return Member(name, incarnation or name, Kind.ENGINE, "", site, "pool", {"m": version})


def make_router(site="a", **settings):
    return Router(site, Routing(**settings), random.Random(1))


# Routing


def test_least_loaded_upstream_is_chosen():
    router, members = make_router(), [make_engine("one"), make_engine("two")]
    router.begin(members[0])
    assert router.choose(members, 0.0).member.name == "two"


def test_tie_goes_to_own_failure_domain():
    members = [make_engine("far", "b"), make_engine("near", "a")]
    assert {make_router().choose(members, 0.0).member.name for _ in range(10)} == {"near"}


def test_expired_load_report_is_ignored():
    router, members = make_router(load_age_ms=1000), [make_engine("one"), make_engine("two", "b")]
    router.report(members[0], 50, 0.0)
    assert router.choose(members, 0.1).member.name == "two"
    assert router.choose(members, 5.0).member.name == "one"


def test_affinity_holds_within_the_slack():
    router, members = make_router(affinity_slack=2), [make_engine(f"e{i}") for i in range(5)]
    preferred = preferred_member(members, "prompt")
    for _ in range(2):
        router.begin(preferred)
    assert router.choose(members, 0.0, "prompt").member == preferred
    router.begin(preferred)
    assert router.choose(members, 0.0, "prompt").member != preferred


def test_failures_eject_and_a_success_readmits():
    router, members = make_router(eject_failures=2, eject_ms=1000), [
        make_engine("bad"),
        make_engine("good", "b"),
    ]
    assert not router.fail(members[0], 0.0)
    assert router.fail(members[0], 0.0)
    assert router.choose(members, 0.5).member.name == "good"
    assert router.choose(members, 1.5).member.name == "bad"
    router.begin(members[0])
    assert router.choose(members, 1.6).member.name == "good"
    router.succeed(members[0])
    router.end(members[0])
    assert router.choose(members, 1.7).member.name == "bad"


def test_ejected_upstream_is_chosen_if_all_are_ejected():
    router, members = make_router(eject_failures=1), [make_engine("only")]
    router.fail(members[0], 0.0)
    assert router.choose(members, 0.1).member.name == "only"


def test_refusal_without_candidates_has_retry_after():
    refusal = make_router().choose([], 0.0)
    assert refusal.reason is Reason.NO_UPSTREAM and refusal.retry_after_s


def test_excluded_upstreams_are_not_chosen():
    members = [make_engine("one"), make_engine("two")]
    assert make_router().choose(members, 0.0, excluded={"one"}).member.name == "two"
    assert isinstance(make_router().choose(members, 0.0, excluded={"one", "two"}), Refusal)


def test_subsets_are_deterministic_and_differ_by_entry():
    members = [make_engine(f"e{index}") for index in range(50)]
    assert subset(members, "entry-1", 8) == subset(list(reversed(members)), "entry-1", 8)
    assert subset(members, "entry-1", 8) != subset(members, "entry-2", 8)


def test_staleness_cost_grows_with_versions_behind():
    assert staleness_cost(3, 16, 1, 0)(2) == 0.0
    assert staleness_cost(3, 16, 1, 3)(2) == 12.0
    assert staleness_cost(3, 16, 1, 3)(3) == 0.0


# Admission


def make_admission(slots=2, reserve=0, length=4, preempts=True):
    return Admission(slots, reserve, length, 1.0, preempts)


def test_samples_do_not_use_reserved_slots():
    admission = make_admission(slots=4, reserve=50)
    results = [admission.admit(SAMPLE, 10.0, 0.0) for _ in range(3)]
    assert [type(result) for result in results] == [Started, Started, Queued]
    assert isinstance(admission.admit(INTERACTIVE, 10.0, 0.0), Started)


def test_interactive_request_preempts_youngest_sample():
    admission = make_admission()
    admission.admit(SAMPLE, 10.0, 0.0)
    youngest = admission.admit(SAMPLE, 10.0, 1.0)
    assert admission.admit(INTERACTIVE, 10.0, 2.0).preempted is youngest.ticket
    assert admission.active == 2


def test_queued_requests_start_in_order_of_priority():
    admission = make_admission(slots=1, preempts=False)
    running = admission.admit(SAMPLE, 10.0, 0.0).ticket
    for traffic_class in (SAMPLE, BACKGROUND, INTERACTIVE):
        admission.admit(traffic_class, 10.0, 0.0)
    started = admission.release(running, 1.0)
    assert [ticket.traffic_class for ticket in started] == [INTERACTIVE]


def test_request_past_its_deadline_never_starts():
    admission = make_admission(slots=1)
    running = admission.admit(INTERACTIVE, 10.0, 0.0).ticket
    admission.admit(INTERACTIVE, 1.0, 0.0)
    assert admission.release(running, 2.0) == []
    assert admission.admit(INTERACTIVE, 1.0, 2.0).reason is Reason.DEADLINE_EXPIRED


def test_full_queue_refuses_with_retry_after():
    admission = make_admission(slots=1, length=1)
    results = [admission.admit(INTERACTIVE, 10.0, 0.0) for _ in range(3)]
    assert results[2].reason is Reason.OVERLOADED and results[2].retry_after_s


def test_retries_are_limited_to_a_share_of_requests():
    budget = RetryBudget(10, tokens=0.0)
    spent = 0
    for _ in range(1000):
        budget.record_request(1.0)
        spent += budget.try_spend()
    assert 95 <= spent <= 103


# Dispatch of samples


def make_plan(slots=20, bound=1, version=3):
    spec = StepSpec("t", 1, ["p"] * slots, 1, bound, 8, False)
    return StepPlan(spec, version, deque(range(slots)))


def test_failed_slot_is_dispatched_first():
    plan = make_plan()
    attempt = plan.begin(plan.next_slot(), "a", "e", 3, 0.0)
    plan.end(attempt, False, 1.0)
    assert plan.next_slot() == 0


def test_dropped_fill_reopens_slot_unless_duplicate_was_taken():
    plan = make_plan(2)
    plan.open_slots.clear()
    plan.record_fill_result([0], [0])
    assert plan.next_slot() is None
    plan.record_fill_result([], [1])
    assert plan.next_slot() == 1


def test_attempts_beyond_the_staleness_bound_are_stale():
    plan = make_plan(bound=1, version=3)
    old = plan.begin(0, "old", "e", 2, 0.0)
    plan.begin(1, "new", "e", 3, 0.0)
    assert plan.stale_attempts() == []
    plan.version = 4
    assert plan.stale_attempts() == [old]


def test_stragglers_are_repeated_only_at_the_end_and_within_a_limit():
    plan = make_plan(40)
    attempts = [plan.begin(plan.next_slot(), f"a{index}", "e", 3, 0.0) for index in range(36)]
    for attempt in attempts[:30]:
        plan.end(attempt, True, 1.0)
    assert plan.stragglers(10.0) == []
    plan.open_slots.clear()
    assert len(plan.stragglers(10.0)) == 2
    assert plan.stragglers(1.5) == []


# Weights


POLICY = RolloutPolicy("pool", ("m",), 50, 2, 1000)


def make_rollout(target=1):
    rollout = Rollout()
    rollout.set_target("m", target)
    return rollout


def test_floor_of_serving_engines_is_kept():
    engines = [make_engine(f"e{index}", version=1) for index in range(3)]
    requests = plan_grants(make_rollout(2).state, engines, POLICY, 0)
    assert len(requests) == 1


def test_engines_without_weights_load_regardless_of_the_floor():
    engines = [make_engine(f"e{index}") for index in range(3)]
    assert len(plan_grants(make_rollout().state, engines, POLICY, 0)) == 2


def test_draining_engine_gets_no_grant():
    leaving = Member("e", "e", Kind.ENGINE, "", "a", "pool", {"m": 0}, False, Standing.DRAINING)
    assert plan_grants(make_rollout().state, [leaving], POLICY, 0) == []


def add_grant(rollout, name="e", incarnation="e", version=1, index=5, deadline_ms=1000, now_ms=0):
    request = GrantRequest(name, incarnation, "m", version, deadline_ms)
    return rollout.grant([request], Fence(1, index), now_ms)


def test_engine_has_one_grant_at_a_time():
    rollout = make_rollout()
    assert add_grant(rollout) and not add_grant(rollout, index=6)
    assert add_grant(rollout, index=7, now_ms=2000, deadline_ms=3000)


def test_version_below_the_target_is_not_granted():
    assert not add_grant(make_rollout(2), version=1)


def test_only_an_announced_version_closes_a_grant():
    rollout = make_rollout()
    add_grant(rollout)
    assert not rollout.close_completed_grant(make_engine("e", version=0))
    assert rollout.close_completed_grant(make_engine("e", version=1))
    assert rollout.state.grants == {}


@pytest.mark.parametrize("failures", [1, 3])
def test_back_off_doubles_with_each_failed_load(failures):
    rollout = make_rollout()
    for index in range(failures):
        add_grant(rollout, index=index + 1, now_ms=index * 100_000, deadline_ms=10**9)
        rollout.close_failed_grant(LoadFailure("e", "e", "m", 1), 1000, 0)
    assert rollout.state.backoffs["e"].retry_at_ms == 1000 * 2 ** (failures - 1)
    assert plan_grants(rollout.state, [make_engine("e")], POLICY, 0) == []


def test_overdue_grant_is_closed():
    rollout = make_rollout()
    add_grant(rollout, deadline_ms=1000)
    assert rollout.expire(1000, 999) == []
    assert len(rollout.expire(1000, 1000)) == 1


def test_fencing_token_grows_over_grants_of_all_engines():
    rollout = make_rollout()
    add_grant(rollout, "one", index=5)
    add_grant(rollout, "two", index=9)
    assert rollout.state.fence == Fence(1, 9)


# Membership


def test_replaced_incarnation_cannot_rejoin():
    roster = Roster()
    roster.announce(make_engine("e", incarnation="old"), 1)
    roster.announce(make_engine("e", incarnation="new"), 2)
    assert not roster.announce(make_engine("e", incarnation="old"), 3)
    assert roster.is_alive("e", "new")


def test_departure_of_another_incarnation_is_ignored():
    roster = Roster()
    roster.announce(make_engine("e", incarnation="new"), 1)
    assert not roster.depart("e", "old", 2)


def test_view_updated_by_deltas_equals_the_roster():
    rng, roster, view = random.Random(5), Roster(), RosterView()
    for index in range(1, 400):
        name = f"e{rng.randrange(12)}"
        if rng.random() < 0.3:
            current = roster.state.members.get(name)
            roster.depart(name, current.incarnation if current else "", index)
        else:
            roster.announce(
                make_engine(name, version=index, incarnation=str(rng.randrange(9))), index
            )
        if rng.random() < 0.4:
            view.apply(roster.delta(view.position))
            assert view.members == roster.state.members


def test_reader_too_far_behind_gets_the_full_roster():
    roster = Roster()
    roster.announce(make_engine("e"), 1)
    roster.state.departed_from = 10
    roster.state.position = 20
    assert roster.delta(5).full


def test_older_delta_is_ignored():
    view = RosterView()
    view.apply(RosterDelta(5, [make_engine("e")], full=True))
    view.apply(RosterDelta(3, [], [Departure("e", "e")]))
    assert "e" in view.members


# Routing by time per token


def test_requests_of_a_slow_engine_cost_more():
    router, members = make_router(), [make_engine("slow"), make_engine("fast", "b")]
    router.observe(members[0], 30.0, 100)
    router.observe(members[1], 10.0, 100)
    router.begin(members[1])
    assert router.choose(members, 0.0).member.name == "fast"
    for _ in range(2):
        router.begin(members[1])
    assert router.choose(members, 0.0).member.name == "slow"


def test_small_differences_in_pace_do_not_override_affinity():
    router, members = make_router(affinity_slack=0), [make_engine(f"e{i}") for i in range(4)]
    for index, member in enumerate(members):
        router.observe(member, 10.0 + index, 100)
    for index in range(20):
        prompt = f"prompt {index}"
        assert router.choose(members, 0.0, prompt).member == preferred_member(members, prompt)
