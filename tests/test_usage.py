"""Usage by customer: counting, true time, closing windows, and which call is due."""

from __future__ import annotations

import itertools
import json
import random

import pytest

from apricotvale.codec import decode, encode
from apricotvale.duties.reporting import (
    FIRST_RETRY_S,
    GIVE_UP_S,
    MAX_RETRY_S,
    Outcome,
    ReportPlan,
    UsageTimes,
)
from apricotvale.duties.true_time import CLOCK_AGE_S, ClockComparison, ClockMedian, TrueTime
from apricotvale.duties.usage import (
    KEPT_WINDOWS,
    MAX_WINDOWS,
    ClosedWindow,
    LateCounts,
    UsageBook,
    UsageCounter,
    UsageReport,
    UsageState,
    WindowCounts,
)
from apricotvale.fleet import calls
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetImage, FleetState, TableState
from apricotvale.outcomes import Reason, not_run, unknown
from apricotvale.platform.infrastructure import format_usage
from apricotvale.requests.calls import Answer
from apricotvale.requests.forwarding import ForwardedRequest
from tests.test_forwarding import SAFE, UNSAFE

SYNCED = TrueTime(1000.0, True)
TIMES = UsageTimes(5.0, 10.0)


def report(reporter, window, **counts):
    return UsageReport(reporter, [WindowCounts(window, counts)])


@pytest.fixture
def counter():
    return UsageCounter(5.0)


@pytest.fixture
def book():
    book = UsageBook(UsageState())
    book.begin(200)
    return book


# When a request ran


def test_a_request_counts_at_the_attempt_that_got_an_answer():
    """Guards against counting a retried request in the window of a refused attempt."""
    request = ForwardedRequest(SAFE, 10.0)
    request.begin("a", 1.0)
    request.finish(not_run(Reason.OVERLOADED), 1.0)
    assert request.ran_at is None
    request.begin("b", 2.0)
    request.finish(Answer(200, b""), 2.0)
    assert request.ran_at == 2.0


def test_the_copy_that_answered_takes_precedence_over_one_that_may_have_run():
    request = ForwardedRequest(SAFE, 10.0)
    request.begin("a", 1.0)
    request.begin("b", 2.0)
    assert request.ran_at == 1.0
    request.finish(Answer(200, b""), 2.0)
    assert request.ran_at == 2.0


def test_a_lost_attempt_and_one_in_flight_may_have_run():
    """Guards against losing the count of a request whose caller disconnects."""
    request = ForwardedRequest(UNSAFE, 10.0)
    assert request.ran_at is None
    request.begin("a", 3.0)
    assert request.ran_at == 3.0
    request.finish(unknown(Reason.UPSTREAM_LOST), 3.0)
    assert request.ran_at == 3.0


def test_a_server_error_counts_as_run():
    request = ForwardedRequest(UNSAFE, 10.0)
    request.begin("a", 4.0)
    request.finish(Answer(500, b""), 4.0)
    assert request.ran_at == 4.0


# Counter of an entry


def test_requests_are_counted_by_window_and_customer(counter):
    for number, at in enumerate([0.0, 4.999, 5.0]):
        assert counter.add("ada", f"r-{number}", at, SYNCED)
    counter.add("bo", "r-9", 5.0, SYNCED)
    assert counter.windows == {200: {"ada": 2}, 201: {"ada": 1, "bo": 1}}


def test_a_request_id_is_counted_once(counter):
    assert counter.add("ada", "r-1", 0.0, SYNCED)
    assert not counter.add("ada", "r-1", 6.0, SYNCED)
    assert counter.windows == {200: {"ada": 1}}


def test_two_customers_may_use_the_same_request_id(counter):
    assert counter.add("ada", "r-1", 0.0, SYNCED) and counter.add("bo", "r-1", 0.0, SYNCED)


def test_requests_without_an_id_are_all_counted(counter):
    for _ in range(3):
        counter.add("ada", "", 0.0, SYNCED)
    assert counter.windows == {200: {"ada": 3}}


def test_requests_wait_for_their_window_until_true_time_is_known(counter):
    """Guards against counts in wrong windows after a start with a wrong wall clock."""
    time = TrueTime(9.0)
    counter.add("ada", "r-1", 1.0, time)
    assert not counter.windows
    time.adopt(1000.0)
    counter.assign_pending(time)
    assert counter.windows == {200: {"ada": 1}} and not counter.pending


def test_a_report_holds_only_changed_windows_and_cumulative_counts(counter):
    counter.add("ada", "r-1", 0.0, SYNCED)
    counter.add("ada", "r-2", 5.0, SYNCED)
    first = counter.report("e/1")
    assert [w.window for w in first.windows] == [200, 201]
    counter.add("ada", "r-3", 5.0, SYNCED)
    counter.confirm(first)
    assert counter.report("e/1") == report("e/1", 201, ada=2)


def test_closed_windows_are_forgotten_once_confirmed(counter):
    counter.add("ada", "r-1", 0.0, SYNCED)
    counter.forget_before(200 + KEPT_WINDOWS + 1)
    assert counter.windows
    counter.confirm(counter.report("e/1"))
    counter.forget_before(200 + KEPT_WINDOWS + 1)
    assert not counter.windows and not counter.report("e/1").windows


def test_the_memory_of_an_entry_without_control_is_bounded(counter):
    for number in range(MAX_WINDOWS + 10):
        counter.add("ada", f"r-{number}", 5.0 * number, SYNCED)
    assert len(counter.windows) == len(counter.unconfirmed) == MAX_WINDOWS


# True time


def test_one_wrong_clock_moves_nobody():
    """Guards against a jump of one wall clock, also that of a new leader or a new entry."""
    median = ClockMedian(TrueTime(1004.0))
    for number in range(4):
        median.hear(f"e-{number}", 1000.0, True, 0.0)
    median.hear("new", 990.0, False, 0.0)
    assert median.estimate(1.0) == 1000.0
    assert median.own.adopt(median.estimate(1.0)) and median.own.offset_s == 1000.0


def test_the_first_leader_takes_the_median_of_all():
    median = ClockMedian(TrueTime(1007.0))
    for number, offset_s in enumerate([1000.0, 1000.01, 1000.02, 990.0]):
        median.hear(f"e-{number}", offset_s, False, 0.0)
    assert median.estimate(1.0) == 1000.01


def test_clocks_that_are_not_heard_any_more_do_not_count():
    median = ClockMedian(TrueTime(1000.0, True))
    for number in range(3):
        median.hear(f"e-{number}", 1002.0, True, 0.0)
    assert median.estimate(CLOCK_AGE_S - 0.1) == 1002.0
    assert median.estimate(CLOCK_AGE_S + 0.1) == 1000.0


def test_small_differences_are_not_adopted():
    time = TrueTime(1000.0)
    assert not time.adopt(1000.04) and time.offset_s == 1000.0 and time.is_synced
    assert time.adopt(1000.06) and time.offset_s == 1000.06


def test_the_time_that_the_leader_held_a_report_does_not_distort_the_comparison():
    """Guards against a drift of true time: reports wait up to 0.25 s for their commit."""
    comparison = ClockComparison()
    # The entry's boot-time clock is 100 s ahead; 10 ms each way, held for 250 ms.
    assert comparison.measure("s/1", 50.26, 0.25, 150.0, 150.27)
    assert comparison.ahead_s == pytest.approx(100.0)


def test_a_slow_reply_does_not_replace_a_good_comparison():
    comparison = ClockComparison("s/1", 100.0)
    assert comparison.measure("s/1", 52.0, 0.0, 150.0, 152.4)
    assert comparison.ahead_s == 100.0
    assert not comparison.measure("s/2", 52.0, 0.0, 150.0, 152.4)


def test_only_a_process_without_true_time_uses_a_slow_reply():
    """Guards against true time that moves when a leader is lost: its calls take 0.5 s and more.

    A process without true time uses such a reply in the end, so that its requests get windows.
    """
    for _ in range(10):
        assert not ClockComparison().measure("s/2", 52.0, 0.0, 150.0, 150.6)
    comparison = ClockComparison()
    known = [comparison.measure("s/2", 52.0, 0.0, 150.0, 150.6, False) for _ in range(4)]
    assert known == [False, False, False, True]
    assert not comparison.measure("s/3", 52.0, 0.0, 150.0, 150.6, True)


@pytest.mark.parametrize("seed", range(20))
def test_processes_agree_although_one_clock_is_wrong_and_calls_are_delayed(seed):
    """Walks through exchanges at random delays and changes of the leader.

    Guards against a drift: each exchange adopts a value that is derived from earlier ones.
    """
    rng = random.Random(seed)
    boots = [rng.uniform(0, 1000) for _ in range(6)]
    times = [TrueTime(50_000.0 - boot + rng.uniform(-0.02, 0.02)) for boot in boots]
    times[seed % 6].offset_s += rng.choice([-4.0, 4.0])
    comparisons = [ClockComparison() for _ in boots]
    now = 0.0
    for term in range(1, 6):
        leader = rng.randrange(6)
        median = ClockMedian(times[leader])
        began = now
        while now < began + 20.0:
            for entry in range(6):
                if entry == leader:
                    continue
                there, back, held = rng.uniform(0, 0.03), rng.uniform(0, 0.03), rng.uniform(0, 0.3)
                known = comparisons[entry]
                if known.leader == f"l/{term}":
                    offset_s = times[entry].offset_s + known.ahead_s
                    at = now + there + boots[leader]
                    median.hear(f"e-{entry}", offset_s, times[entry].is_synced, at)
                replied = now + there + held
                clock_s = replied + boots[leader]
                received = replied + back + boots[entry]
                is_known = known.measure(f"l/{term}", clock_s, held, now + boots[entry], received)
                if now > began + 3.0 and is_known:
                    times[entry].adopt(median.estimate(clock_s) - known.ahead_s)
            now += 0.5
            if now > began + 3.0:
                median.own.adopt(median.estimate(now + boots[leader]))
    errors = [abs(t.offset_s + boot - 50_000.0) for t, boot in zip(times, boots, strict=True)]
    assert max(errors) < 0.15


# Replicated counts


def test_a_report_applied_twice_or_out_of_order_changes_nothing(book):
    """Guards against double counts when a reply is lost and the report is sent again."""
    reports = [
        report("e/1", 200, ada=1),
        report("e/1", 200, ada=3, bo=1),
        report("e/2", 200, ada=5),
    ]
    for order in itertools.permutations([*reports, reports[0]]):
        applied = UsageBook(UsageState(200))
        for entry in order:
            applied.record([entry])
        assert applied.close(200)
        assert applied.find_closed(200).counts == {"ada": 8, "bo": 1}
        assert not applied.late


def test_windows_are_closed_in_order_and_only_once(book):
    assert not book.close(201)
    assert book.close(200)
    assert not book.close(200)
    assert book.close(201)
    assert [w.window for w in book.unreported()] == [200, 201]


def test_an_empty_window_is_closed_and_reported(book):
    book.close(200)
    assert book.unreported() == [ClosedWindow(200, {})]
    assert format_usage(200, {}) == b'{"counts":{},"window_id":200}'


def test_late_counts_are_lost_and_noted_once(book):
    book.record([report("e/1", 200, ada=2)])
    book.close(200)
    book.record([report("e/1", 200, ada=2)])
    assert not book.late
    for _ in range(2):
        book.record([report("e/1", 200, ada=5)])
    book.record([report("e/2", 200, bo=1)])
    assert book.late == [LateCounts(200, "e/1", 3), LateCounts(200, "e/2", 1)]
    assert book.find_closed(200).counts == {"ada": 2}


def test_a_report_confirmed_long_ago_is_not_noted_as_late(book):
    """Guards against false alarms: an entry that missed a reply sends the report again."""
    book.record([report("e/1", 200, ada=2)])
    for window in range(200, 205):
        book.close(window)
        book.confirm(window)
    book.record([report("e/1", 200, ada=2)])
    assert not book.late and not book.unreported()


def test_another_process_of_an_entry_adds_to_the_counts_of_the_former_one(book):
    """Guards against losing the counts of an entry that was killed and started again."""
    book.record([report("e/1", 200, ada=7)])
    book.record([report("e/2", 200, ada=2)])
    book.close(200)
    assert book.find_closed(200).counts == {"ada": 9}


def test_the_first_window_is_set_once():
    book = UsageBook(UsageState())
    assert not book.close(0)
    book.record([report("e/1", 199, ada=1), report("e/1", 200, ada=1)])
    assert book.begin(200) and not book.begin(300)
    assert book.state.next_window == 200
    assert book.late == [LateCounts(199, "e/1", 1)]
    book.close(200)
    assert book.find_closed(200).counts == {"ada": 1}


def test_kept_windows_are_bounded_but_unreported_ones_stay(book):
    for window in range(200, 300):
        book.close(window)
        if window != 210:
            book.confirm(window)
    kept = [entry.window for entry in book.state.closed]
    assert 210 in kept and len(kept) <= KEPT_WINDOWS + 2


def test_commands_survive_their_encoding():
    commands = [
        c.BeginUsage(200),
        c.RecordUsage([report("e/1", 200, ada=2)]),
        c.CloseUsage(200),
        c.ConfirmUsage(200),
    ]
    for command in commands:
        assert decode(encode(command, c.Command), c.Command) == command
    call = calls.ReportUsage(report("e/1", 200, ada=2), "s/1", 5.0, True)
    assert decode(encode(call, calls.FleetRequest), calls.FleetRequest) == call
    ack = calls.UsageAck(200, "s/1", 1.0, 0.25, 1000.0)
    assert decode(encode(ack, calls.FleetReply), calls.FleetReply) == ack


def filled_state():
    state = FleetState()
    for command in [
        c.BeginUsage(200),
        c.RecordUsage([report("e/1", 200, ada=2), report("e/1", 201, ada=4)]),
        c.CloseUsage(200),
    ]:
        state.execute(command, 1)
    return state


def test_usage_is_restored_from_a_snapshot():
    """Guards against a new leader that reports a window again with other counts."""
    state = filled_state()
    restored = FleetState()
    restored.restore(state.dump())
    assert restored.usage.state == state.usage.state
    for each in (state, restored):
        each.execute(c.RecordUsage([report("e/1", 200, ada=9), report("e/2", 201, bo=1)]), 2)
        each.execute(c.CloseUsage(201), 3)
        each.execute(c.ConfirmUsage(200), 4)
    assert restored.usage.state == state.usage.state
    assert restored.usage.unreported()[0].counts == {"ada": 4, "bo": 1}
    assert restored.usage.late == [LateCounts(200, "e/1", 7)]


def test_a_snapshot_without_usage_is_read():
    """Guards against a folder of the previous build that cannot be loaded."""
    content = encode(FleetImage(TableState(3, b"x")), FleetImage)
    assert b"usage" not in content
    state = FleetState()
    state.restore(content)
    assert state.table.version == 3 and state.usage.state == UsageState()


def test_the_bytes_of_a_report_do_not_depend_on_the_order_of_reports():
    """Guards against two reports of one window that differ by the order of their fields."""
    states = [UsageBook(UsageState(200)), UsageBook(UsageState(200))]
    reports = [report("e/1", 200, ada=2, bo=1), report("e/2", 200, bo=4, cy=1)]
    states[0].record(reports)
    states[1].record(reports[::-1])
    bodies = set()
    for state in states:
        state.close(200)
        bodies.add(format_usage(200, state.find_closed(200).counts))
    assert len(bodies) == 1
    assert json.loads(bodies.pop()) == {"window_id": 200, "counts": {"ada": 2, "bo": 5, "cy": 1}}


# Which call is due


def test_a_window_is_closed_half_of_the_late_time_after_its_end():
    assert TIMES.window_at(1004.9) == 200 and TIMES.end(200) == 1005.0
    assert not TIMES.is_closable(200, 1009.9)
    assert TIMES.is_closable(200, 1010.0)
    assert not TIMES.is_expired(200, 1005.0 + GIVE_UP_S - 0.1)
    assert TIMES.is_expired(200, 1005.0 + GIVE_UP_S)


def test_failures_back_off_up_to_a_bound_and_windows_take_turns():
    """Guards against a window that is never accepted and holds up all later ones."""
    plan, windows = ReportPlan(), [ClosedWindow(200, {}), ClosedWindow(201, {})]
    assert plan.next_call(windows, 0.0).window == 200
    now, delays, order = 0.0, [], []
    for _ in range(6):
        window = plan.next_call(windows, now).window
        order.append(window)
        plan.finish(window, Outcome.UNREACHABLE, now)
        assert plan.next_call(windows, plan.retry_at - 0.01) is None
        delays.append(plan.retry_at - now)
        now = plan.retry_at
    assert delays == pytest.approx([FIRST_RETRY_S, 0.5, 1.0, MAX_RETRY_S, MAX_RETRY_S, MAX_RETRY_S])
    assert order == [200, 201] * 3
    plan.finish(200, Outcome.ACCEPTED, now)
    assert plan.delay_s == FIRST_RETRY_S


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.FENCED_OFF])
def test_other_outcomes_than_a_newer_token_do_not_end_the_reports(outcome):
    plan = ReportPlan()
    plan.finish(200, outcome, 0.0)
    assert plan.next_call([ClosedWindow(201, {})], 10.0) is not None


def test_nothing_is_reported_after_a_newer_token_was_seen():
    plan = ReportPlan()
    plan.finish(200, Outcome.FENCED_OFF, 0.0)
    assert plan.next_call([ClosedWindow(200, {})], 1e9) is None


def test_nothing_is_due_without_closed_windows():
    assert ReportPlan().next_call([], 0.0) is None
