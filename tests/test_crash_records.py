"""Records of requests that end upstreams: what counts, how long, and how much is kept."""

from __future__ import annotations

import pytest
from attrs import evolve

from apricotvale.codec import decode, encode
from apricotvale.crashes.book import (
    CONDEMNING_CRASHES,
    MAX_REMOVED,
    MAX_REQUEST_ID,
    MAX_SUSPECTS,
    Crash,
    CrashBook,
    CrashBookState,
    CrashReport,
    SuspectDelta,
    SuspectNotice,
)
from apricotvale.crashes.evidence import (
    LOSS_KEEP_S,
    MAX_LOSSES,
    Loss,
    Losses,
    has_ended,
    is_planned,
)
from apricotvale.crashes.identity import identify
from apricotvale.crashes.known import MAX_OWN, OWN_KEEP_S, KnownSuspects
from apricotvale.crashes.trials import FIRST_TRIAL_DELAY_S, LEASE_MARGIN_S, Trials
from apricotvale.discovery import RegistryView, Standing, Upstream, UpstreamDelta
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetImage, FleetState

UPSTREAM = Upstream("i-1", 1000, 1, "desk", "10.0.0.1:80", "szeged", 6, Standing.READY)


def crash(upstream="i-1@1", request_id="r-1", process="edge-1"):
    return Crash(upstream, process, request_id, 1_700_000_000_000)


def report(identity="x", is_trial=False, **fields):
    return CrashReport(identity, crash(**fields), is_trial)


def notice(book, identity="x", left_ms=10_000):
    return SuspectNotice(book.state.suspects[identity], left_ms)


@pytest.fixture
def book():
    return CrashBook(CrashBookState())


@pytest.fixture
def known():
    return KnownSuspects()


# Identity


@pytest.mark.parametrize(
    "change",
    [{"method": "PUT"}, {"host": "other"}, {"target": "/a?b"}, {"caller": "c"}, {"body": b"y"}],
    ids=lambda change: next(iter(change)),
)
def test_requests_that_differ_have_different_identities(change):
    fields = {"method": "POST", "host": "h", "target": "/a", "caller": "", "body": b"x"}
    assert identify(**fields) != identify(**{**fields, **change})


def test_parts_of_an_identity_do_not_run_into_each_other():
    """Guards against a caller that makes a request with the identity of another customer's."""
    first = identify("POST", "h", "/ab", "c", b"x")
    assert first != identify("POST", "h", "/a", "bc", b"x")
    assert first != identify("POST", "h", "/ab", "", b"cx")


# What is recorded


def test_one_end_of_an_upstream_counts_once(book):
    """Guards against identical submissions that ran beside each other and count as many crashes."""
    for process in ("edge-1", "edge-2"):
        for number in range(3):
            book.record(report(process=process, request_id=f"r-{number}"), 1)
    assert len(book.state.suspects["x"].crashes) == 1


def test_the_end_under_a_trial_counts_although_the_incarnation_ended_before(book):
    assert book.record(report(), 1)
    assert book.record(report(request_id="r-2", is_trial=True), 2)
    assert not book.record(report(request_id="r-2", is_trial=True), 3)
    assert len(book.state.suspects["x"].crashes) == 2


def test_a_condemned_request_is_not_recorded_further(book):
    for number in range(CONDEMNING_CRASHES):
        assert book.record(report(upstream=f"i-{number}@1"), number)
    assert book.state.suspects["x"].is_condemned
    assert not book.record(report(upstream="i-9@1"), 9)


def test_long_submission_ids_are_cut_and_still_count_once(book):
    long = "r" * 5000
    book.record(report(request_id=long, is_trial=True), 1)
    assert not book.record(report(request_id=long, is_trial=True), 2)
    assert len(book.state.suspects["x"].crashes[0].request_id) == MAX_REQUEST_ID


def test_a_caller_with_a_new_body_each_time_fills_a_bounded_record(book):
    """Guards against memory without bound, and against records that displace a stopped request."""
    for number in range(CONDEMNING_CRASHES):
        book.record(report("stopped", upstream=f"i-{number}@1"), 1)
    for number in range(3 * MAX_SUSPECTS):
        book.record(report(f"x-{number}"), 2 + number)
    assert len(book.state.suspects) == len(book.state.changed_at) == MAX_SUSPECTS
    assert len(book.state.removed_at) <= MAX_REMOVED
    assert book.state.suspects["stopped"].is_condemned
    assert f"x-{3 * MAX_SUSPECTS - 1}" in book.state.suspects


def test_records_survive_a_snapshot():
    state = FleetState()
    state.execute(c.RecordCrashes([report(), report("y")]), 1)
    state.execute(c.ClearSuspects(["y"]), 2)
    restored = FleetState()
    restored.load(decode(encode(decode(state.dump(), FleetImage), FleetImage), FleetImage))
    assert restored.crashes.state == state.crashes.state
    assert list(restored.crashes.state.suspects) == ["x"]


def test_a_snapshot_without_records_is_read():
    """Guards against a replica that cannot start from what an earlier version wrote."""
    assert decode(encode(FleetImage(), FleetImage), FleetImage).crashes == CrashBookState()


# What processes know


def follow(book, known, now):
    """Apply to a process what a book has changed since it last did."""
    full, changed, removed = book.changes(known.position)
    notices = [SuspectNotice(suspect, 10_000) for suspect in changed]
    known.apply(SuspectDelta(book.state.position, full, notices, removed), now)


def test_a_process_follows_changes_and_removals(book, known):
    book.record(report(), 1)
    book.record(report("y"), 2)
    follow(book, known, 0.0)
    book.remove("x", 3)
    follow(book, known, 0.0)
    assert known.find("x", 0.0) is None and known.find("y", 0.0) is not None


def test_a_process_that_is_far_behind_gets_all(book, known):
    book.record(report(), 1)
    follow(book, known, 0.0)
    for number in range(MAX_REMOVED + 5):
        book.record(report(f"y-{number}"), 2 + 2 * number)
        book.remove(f"y-{number}", 3 + 2 * number)
    book.remove("x", 10_000)
    book.record(report("z"), 10_001)
    follow(book, known, 0.0)
    assert list(known.shared) == ["z"]


def test_a_record_ends_without_control(book, known):
    """Guards against a request that stays stopped while control is out of reach."""
    book.record(report(), 1)
    follow(book, known, 0.0)
    assert known.find("x", 9.9) is not None
    assert known.find("x", 10.0) is None
    known.prune(10.0)
    assert known.is_empty


def test_what_a_process_found_holds_until_control_has_it(book, known):
    known.add_own("x", crash(), False, 0.0)
    known.add_own("x", crash(request_id="r-2"), False, 0.0)
    assert len(known.find("x", 0.0).crashes) == 1
    book.record(report(process="edge-2"), 1)
    follow(book, known, 0.0)
    assert len(known.find("x", 0.0).crashes) == 1 and not known.own


def test_what_a_process_found_is_bounded_and_ends(known):
    for number in range(2 * MAX_OWN):
        known.add_own(f"x-{number}", crash(), False, float(number) / 1000)
    assert len(known.own) == MAX_OWN
    known.prune(OWN_KEEP_S + 1.0)
    assert known.is_empty


def test_own_crashes_add_to_those_of_control(book, known):
    book.record(report(), 1)
    follow(book, known, 0.0)
    known.add_own("x", crash("i-1@1", "r-1"), False, 0.0)
    assert not known.own
    known.add_own("x", crash("i-2@1", "r-2"), False, 0.0)
    assert len(known.find("x", 0.0).crashes) == 2


# Evidence


def view_of(*upstreams):
    view = RegistryView()
    view.apply(UpstreamDelta(1, True, list(upstreams)))
    return view


@pytest.mark.parametrize(
    ("registered", "ended", "planned"),
    [
        ([UPSTREAM], None, False),
        ([evolve(UPSTREAM, born_ms=2000)], True, False),
        ([evolve(UPSTREAM, born_ms=900)], None, False),
        ([evolve(UPSTREAM, upstream_id="i-2", born_ms=2000)], True, False),
        ([evolve(UPSTREAM, upstream_id="i-2", address="10.0.0.2:80")], False, True),
        ([evolve(UPSTREAM, standing=Standing.DRAINING)], None, True),
        ([evolve(UPSTREAM, standing=Standing.SILENT)], None, False),
        ([], False, True),
    ],
    ids=["same", "restarted", "older", "replaced", "gone", "draining", "silent", "empty"],
)
def test_what_the_registry_says_about_an_end(registered, ended, planned):
    view = view_of(*registered)
    assert has_ended(UPSTREAM, view) is ended
    assert is_planned(UPSTREAM, view) is planned


def test_an_upstream_that_said_that_it_leaves_ends_as_planned():
    view = view_of(UPSTREAM)
    view.mark_leaving(UPSTREAM.incarnation)
    assert is_planned(UPSTREAM, view)


def test_losses_are_settled_once_bounded_and_end():
    losses = Losses()
    for number in range(2 * MAX_LOSSES):
        losses.add(Loss("x", f"r-{number}", UPSTREAM, 0, LOSS_KEEP_S))
    assert len(losses.pending) == MAX_LOSSES
    assert losses.settle(view_of(UPSTREAM), 1.0) == []
    ended = losses.settle(view_of(evolve(UPSTREAM, born_ms=2000)), 2.0)
    assert len(ended) == MAX_LOSSES and not losses.pending
    losses.add(Loss("x", "r-1", UPSTREAM, 0, LOSS_KEEP_S))
    assert losses.settle(view_of(evolve(UPSTREAM, born_ms=2000)), LOSS_KEEP_S) == []
    assert not losses.pending


# Trials


@pytest.fixture
def trials():
    trials = Trials()
    trials.begin_leading(0.0)
    return trials


def grant(trials, identity, candidates, crashes=1, now=1.0, left_s=1.0):
    return trials.grant(identity, f"r-{identity}", "edge-1", candidates, crashes, left_s, now)


def test_one_submission_of_a_request_is_tried_at_a_time(trials):
    assert grant(trials, "x", ["a", "b"]) == "a"
    assert grant(trials, "x", ["b"]) is None
    assert not trials.end("x", "r-other", "edge-1")
    assert trials.end("x", "r-x", "edge-1")
    assert grant(trials, "x", ["b"]) == "b"


def test_neighbours_of_a_crash_are_spread_and_do_not_wait(trials):
    found = [grant(trials, f"n-{number}", ["a", "b", "c"]) for number in range(6)]
    assert sorted(found) == ["a", "a", "b", "b", "c", "c"]


def test_requests_with_two_crashes_are_tried_apart(trials):
    assert grant(trials, "x", ["a", "b"], crashes=2) == "a"
    assert grant(trials, "y", ["a", "b"], crashes=2) == "b"
    assert grant(trials, "z", ["a", "b"], crashes=2) is None
    assert grant(trials, "n", ["a", "c"]) == "c"


def test_a_trial_whose_process_is_gone_ends_with_its_deadline(trials):
    grant(trials, "x", ["a"], now=1.0, left_s=1.0)
    assert grant(trials, "x", ["a"], now=1.9 + LEASE_MARGIN_S) is None
    assert grant(trials, "x", ["a"], now=2.1 + LEASE_MARGIN_S) == "a"


def test_a_new_leader_waits_for_the_trials_of_the_former_one():
    trials = Trials()
    assert not trials.is_ready(1e9)
    trials.begin_leading(1.0)
    assert not trials.is_ready(1.0) and trials.is_ready(1.0 + FIRST_TRIAL_DELAY_S)
    trials.stop_leading()
    assert not trials.is_ready(1e9)
