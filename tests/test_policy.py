"""Routing, admission, retries, dispatch of samples and the weight planner."""

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
from apricotvale.samples.dispatch import StepPlan, staleness_handicap
from apricotvale.samples.ledger import StepSpec
from apricotvale.settings.schema import Routing, TrafficClass
from apricotvale.weights.rollout import (
    Fence,
    GrantRequest,
    LoadFailure,
    Rollout,
    RolloutPolicy,
    plan_grants,
)

INTERACTIVE, BACKGROUND, SAMPLE = TrafficClass


def engine(name, site="a", version=0, incarnation=None):
    return Member(name, incarnation or name, Kind.ENGINE, "", site, "pool", {"m": version})


def router(site="a", **settings):
    return Router(site, Routing(**settings), random.Random(1))


# -- routing


def test_the_least_loaded_is_chosen():
    router_, members = router(), [engine("one"), engine("two")]
    router_.begin(members[0])
    assert router_.choose(members, 0.0).member.name == "two"


def test_a_tie_goes_to_the_own_failure_domain():
    members = [engine("far", "b"), engine("near", "a")]
    assert {router().choose(members, 0.0).member.name for _ in range(10)} == {"near"}


def test_an_old_load_report_is_not_used():
    router_, members = router(load_age_ms=1000), [engine("one"), engine("two", "b")]
    router_.report(members[0], 50, 0.0)
    assert router_.choose(members, 0.1).member.name == "two"
    assert router_.choose(members, 5.0).member.name == "one"


def test_a_prompt_stays_with_its_engine_until_that_is_busier():
    router_, members = router(affinity_slack=2), [engine(f"e{at}") for at in range(5)]
    home = preferred_member(members, "prompt")
    for _ in range(2):
        router_.begin(home)
    assert router_.choose(members, 0.0, "prompt").member == home
    router_.begin(home)
    assert router_.choose(members, 0.0, "prompt").member != home


def test_failures_eject_and_a_success_returns():
    router_, members = router(eject_failures=2, eject_ms=1000), [engine("bad"), engine("good", "b")]
    assert not router_.fail(members[0], 0.0)
    assert router_.fail(members[0], 0.0)
    assert router_.choose(members, 0.5).member.name == "good"
    assert router_.choose(members, 1.5).member.name == "bad"
    router_.begin(members[0])
    assert router_.choose(members, 1.6).member.name == "good"
    router_.succeed(members[0])
    router_.end(members[0])
    assert router_.choose(members, 1.7).member.name == "bad"


def test_with_all_ejected_one_is_tried_all_the_same():
    router_, members = router(eject_failures=1), [engine("only")]
    router_.fail(members[0], 0.0)
    assert router_.choose(members, 0.1).member.name == "only"


def test_without_candidates_the_refusal_says_when_to_come_back():
    refusal = router().choose([], 0.0)
    assert refusal.reason is Reason.NO_UPSTREAM and refusal.retry_after_s


def test_what_was_tried_is_not_chosen_again():
    members = [engine("one"), engine("two")]
    assert router().choose(members, 0.0, excluded={"one"}).member.name == "two"
    assert isinstance(router().choose(members, 0.0, excluded={"one", "two"}), Refusal)


def test_subsets_are_the_same_each_time_and_differ_by_entry():
    members = [engine(f"e{at}") for at in range(50)]
    assert subset(members, "entry-1", 8) == subset(list(reversed(members)), "entry-1", 8)
    assert subset(members, "entry-1", 8) != subset(members, "entry-2", 8)


def test_staleness_weight_puts_older_weights_behind():
    assert staleness_handicap(3, 16, 1, 0)(2) == 0.0
    assert staleness_handicap(3, 16, 1, 3)(2) == 12.0
    assert staleness_handicap(3, 16, 1, 3)(3) == 0.0


# -- admission


def admission(slots=2, reserve=0, length=4, preempts=True):
    return Admission(slots, reserve, length, 1.0, preempts)


def test_samples_leave_the_reserve_free():
    gate = admission(slots=4, reserve=50)
    verdicts = [gate.arrive(SAMPLE, 10.0, 0.0) for _ in range(3)]
    assert [type(verdict) for verdict in verdicts] == [Started, Started, Queued]
    assert isinstance(gate.arrive(INTERACTIVE, 10.0, 0.0), Started)


def test_interactive_work_takes_the_youngest_samples_slot():
    gate = admission()
    gate.arrive(SAMPLE, 10.0, 0.0)
    young = gate.arrive(SAMPLE, 10.0, 1.0)
    assert gate.arrive(INTERACTIVE, 10.0, 2.0).preempted is young.ticket
    assert gate.active == 2


def test_waiting_requests_start_in_order_of_priority():
    gate = admission(slots=1, preempts=False)
    running = gate.arrive(SAMPLE, 10.0, 0.0).ticket
    for traffic_class in (SAMPLE, BACKGROUND, INTERACTIVE):
        gate.arrive(traffic_class, 10.0, 0.0)
    started = gate.release(running, 1.0)
    assert [ticket.traffic_class for ticket in started] == [INTERACTIVE]


def test_a_request_past_its_deadline_never_starts():
    gate = admission(slots=1)
    running = gate.arrive(INTERACTIVE, 10.0, 0.0).ticket
    gate.arrive(INTERACTIVE, 1.0, 0.0)
    assert gate.release(running, 2.0) == []
    assert gate.arrive(INTERACTIVE, 1.0, 2.0).reason is Reason.DEADLINE_EXPIRED


def test_a_full_queue_refuses_early_and_says_when_to_come_back():
    gate = admission(slots=1, length=1)
    verdicts = [gate.arrive(INTERACTIVE, 10.0, 0.0) for _ in range(3)]
    assert verdicts[2].reason is Reason.OVERLOADED and verdicts[2].retry_after_s


def test_retries_are_a_share_of_requests():
    budget = RetryBudget(10, tokens=0.0)
    spent = 0
    for _ in range(1000):
        budget.earn(1.0)
        spent += budget.spend()
    assert 95 <= spent <= 103


# -- dispatch of samples


def plan(slots=20, bound=1, version=3):
    spec = StepSpec("t", 1, ["p"] * slots, 1, bound, 8, False)
    return StepPlan(spec, version, deque(range(slots)))


def test_a_failed_slot_comes_first_again():
    step = plan()
    attempt = step.begin(step.next_slot(), "a", "e", 3, 0.0)
    step.end(attempt, False, 1.0)
    assert step.next_slot() == 0


def test_a_dropped_fill_opens_its_slot_unless_its_twin_was_taken():
    step = plan(2)
    step.open_slots.clear()
    step.note_filled([0], [0])
    assert step.next_slot() is None
    step.note_filled([], [1])
    assert step.next_slot() == 1


def test_what_would_be_too_stale_is_named():
    step = plan(bound=1, version=3)
    old = step.begin(0, "old", "e", 2, 0.0)
    step.begin(1, "new", "e", 3, 0.0)
    assert step.outdated() == []
    step.version = 4
    assert step.outdated() == [old]


def test_stragglers_are_repeated_at_the_end_only_and_within_a_bound():
    step = plan(40)
    attempts = [step.begin(step.next_slot(), f"a{at}", "e", 3, 0.0) for at in range(36)]
    for attempt in attempts[:30]:
        step.end(attempt, True, 1.0)
    assert step.stragglers(10.0) == []
    step.open_slots.clear()
    assert len(step.stragglers(10.0)) == 2
    assert step.stragglers(1.5) == []


# -- weights


POLICY = RolloutPolicy("pool", ("m",), 50, 2, 1000)


def rollout(target=1):
    state = Rollout()
    state.set_target("m", target)
    return state


def test_the_floor_of_serving_engines_is_kept():
    engines = [engine(f"e{at}", version=1) for at in range(3)]
    requests = plan_grants(rollout(2).state, engines, POLICY, 0)
    assert len(requests) == 1


def test_engines_without_weights_do_not_count_against_the_floor():
    engines = [engine(f"e{at}") for at in range(3)]
    assert len(plan_grants(rollout().state, engines, POLICY, 0)) == 2


def test_a_draining_engine_loads_nothing():
    leaving = Member("e", "e", Kind.ENGINE, "", "a", "pool", {"m": 0}, False, Standing.DRAINING)
    assert plan_grants(rollout().state, [leaving], POLICY, 0) == []


def grant(state, name="e", incarnation="e", version=1, index=5, deadline_ms=1000, now_ms=0):
    request = GrantRequest(name, incarnation, "m", version, deadline_ms)
    return state.grant([request], Fence(1, index), now_ms)


def test_an_engine_has_one_grant_at_a_time():
    state = rollout()
    assert grant(state) and not grant(state, index=6)
    assert grant(state, index=7, now_ms=2000, deadline_ms=3000)


def test_a_version_behind_the_target_is_not_granted():
    assert not grant(rollout(2), version=1)


def test_only_the_engines_own_statement_closes_a_grant():
    state = rollout()
    grant(state)
    assert not state.close_completed_grant(engine("e", version=0))
    assert state.close_completed_grant(engine("e", version=1))
    assert state.state.grants == {}


@pytest.mark.parametrize("failures", [1, 3])
def test_a_failed_load_is_put_off_longer_each_time(failures):
    state = rollout()
    for at in range(failures):
        grant(state, index=at + 1, now_ms=at * 100_000, deadline_ms=10**9)
        state.close_failed_grant(LoadFailure("e", "e", "m", 1), 1000, 0)
    assert state.state.backoffs["e"].retry_at_ms == 1000 * 2 ** (failures - 1)
    assert plan_grants(state.state, [engine("e")], POLICY, 0) == []


def test_an_overdue_grant_is_closed():
    state = rollout()
    grant(state, deadline_ms=1000)
    assert state.expire(1000, 999) == []
    assert len(state.expire(1000, 1000)) == 1


def test_the_fence_grows_over_grants_of_all_engines():
    state = rollout()
    grant(state, "one", index=5)
    grant(state, "two", index=9)
    assert state.state.fence == Fence(1, 9)


# -- membership


def test_an_incarnation_that_was_replaced_cannot_come_back():
    roster = Roster()
    roster.announce(engine("e", incarnation="old"), 1)
    roster.announce(engine("e", incarnation="new"), 2)
    assert not roster.announce(engine("e", incarnation="old"), 3)
    assert roster.is_alive("e", "new")


def test_a_departure_of_another_incarnation_changes_nothing():
    roster = Roster()
    roster.announce(engine("e", incarnation="new"), 1)
    assert not roster.depart("e", "old", 2)


def test_a_view_kept_by_deltas_equals_the_list():
    rng, roster, view = random.Random(5), Roster(), RosterView()
    for index in range(1, 400):
        name = f"e{rng.randrange(12)}"
        if rng.random() < 0.3:
            held = roster.state.members.get(name)
            roster.depart(name, held.incarnation if held else "", index)
        else:
            roster.announce(engine(name, version=index, incarnation=str(rng.randrange(9))), index)
        if rng.random() < 0.4:
            view.apply(roster.delta(view.position))
            assert view.members == roster.state.members


def test_a_reader_that_is_too_far_behind_gets_the_whole_list():
    roster = Roster()
    roster.announce(engine("e"), 1)
    roster.state.departed_from = 10
    roster.state.position = 20
    assert roster.delta(5).full


def test_an_older_delta_is_ignored():
    view = RosterView()
    view.apply(RosterDelta(5, [engine("e")], full=True))
    view.apply(RosterDelta(3, [], [Departure("e", "e")]))
    assert "e" in view.members


def test_a_clearly_slower_engine_counts_its_requests_more_than_once():
    router_, members = router(), [engine("slow"), engine("fast", "b")]
    router_.observe(members[0], 30.0, 100)
    router_.observe(members[1], 10.0, 100)
    router_.begin(members[1])
    assert router_.choose(members, 0.0).member.name == "fast"
    for _ in range(2):
        router_.begin(members[1])
    assert router_.choose(members, 0.0).member.name == "slow"


def test_small_differences_of_pace_do_not_move_prompts():
    router_, members = router(affinity_slack=0), [engine(f"e{at}") for at in range(4)]
    for at, member in enumerate(members):
        router_.observe(member, 10.0 + at, 100)
    for at in range(20):
        prompt = f"prompt {at}"
        assert router_.choose(members, 0.0, prompt).member == preferred_member(members, prompt)
