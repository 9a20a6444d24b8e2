"""Tests that samples are delivered exactly once and within the staleness bound under faults."""

from __future__ import annotations

import pytest

from apricotvale.samples import ledger as ledger_module
from apricotvale.samples.ledger import Fill, Handed, Ledger, PullRejected, Segment, StepSpec
from tests.trainer import RESULT_HELD, pairs_of_faults, run_step, single_faults


def test_delivery_is_correct_under_every_single_fault():
    failures = {fault: run_step([fault])[1] for fault in single_faults()}
    assert {fault: result for fault, result in failures.items() if result != RESULT_HELD} == {}


def test_delivery_is_correct_under_every_pair_of_faults():
    failures = {}
    for pair in pairs_of_faults():
        result = run_step(pair)[1]
        if result != RESULT_HELD:
            failures[pair] = result
    assert failures == {}


def is_detected():
    return any(run_step([fault])[1] != RESULT_HELD for fault in single_faults()) or any(
        run_step(pair)[1] != RESULT_HELD for pair in pairs_of_faults()
    )


def test_matrix_detects_staleness_checked_at_completion_only(monkeypatch):
    def void_lost_only(ledger, state, version, lost):
        for index, handed in enumerate(state.handed):
            if handed.fill is not None and handed.fill.attempt in lost:
                state.handed[index] = Handed(handed.position, None)

    monkeypatch.setattr(Ledger, "void_unusable", void_lost_only)
    monkeypatch.setattr(Ledger, "reopen_stale", lambda ledger, state, version: None)
    assert is_detected()


def test_matrix_detects_staleness_by_the_newest_segment(monkeypatch):
    newest = property(lambda fill: max(segment.version for segment in fill.segments))
    monkeypatch.setattr(ledger_module.Fill, "oldest_version", newest)
    assert is_detected()


def test_matrix_detects_a_slot_that_is_filled_again(monkeypatch):
    monkeypatch.setattr(Ledger, "is_open", lambda ledger, state, slot, attempt: True)
    assert is_detected()


def test_matrix_detects_a_lost_payload_that_is_not_reopened(monkeypatch):
    monkeypatch.setattr(Ledger, "void_unusable", lambda ledger, state, version, lost: None)
    assert is_detected()


def open_ledger(whole_groups=False):
    ledger = Ledger()
    spec = StepSpec("t", 0, ["p", "q"], 2, 0, 4, whole_groups, 1000)
    ledger.open_step(spec, "entry", "i")
    return ledger


def make_fill(slot, attempt="a", version=0):
    return Fill(slot, f"{attempt}{slot}", "one", [Segment(0, version)], 4)


def test_an_older_pull_is_rejected():
    ledger = open_ledger()
    ledger.fill("t", 0, [make_fill(0)])
    ledger.hand_over("t", 0, 0, 2, 4, [])
    assert isinstance(ledger.hand_over("t", 0, 0, 1, 4, []), PullRejected)


def test_a_cursor_below_the_acknowledged_position_is_rejected():
    ledger = open_ledger()
    ledger.fill("t", 0, [make_fill(0)])
    ledger.hand_over("t", 0, 0, 1, 4, [])
    ledger.hand_over("t", 0, 1, 2, 4, [])
    assert isinstance(ledger.hand_over("t", 0, 0, 3, 4, []), PullRejected)


def test_the_second_attempt_at_a_slot_is_dropped():
    ledger = open_ledger()
    assert ledger.fill("t", 0, [make_fill(0, "a"), make_fill(0, "b")]).dropped == [0]


def test_whole_groups_are_handed_over_when_complete():
    ledger = open_ledger(whole_groups=True)
    ledger.fill("t", 0, [make_fill(0)])
    assert ledger.hand_over("t", 0, 0, 1, 4, []).handed == []
    ledger.fill("t", 0, [make_fill(1)])
    assert len(ledger.hand_over("t", 0, 0, 2, 4, []).handed) == 2


def test_publishing_a_version_reopens_stale_slots():
    ledger = open_ledger()
    ledger.fill("t", 0, [make_fill(0)])
    ledger.publish("t", 1)
    assert ledger.open_slots(ledger.step("t", 0)) == [0, 1, 2, 3]


@pytest.mark.parametrize("step", [0, -1])
def test_a_step_that_is_not_newer_is_rejected(step):
    ledger = open_ledger()
    ledger.close("t", 0)
    spec = StepSpec("t", step, ["p"], 1, 0, 4, False, 1000)
    assert ledger.open_step(spec, "entry", "i").last_step == 0


def test_a_step_is_adopted_once():
    ledger = open_ledger()
    assert ledger.adopt("t", 0, "i", "other", "j")
    assert not ledger.adopt("t", 0, "i", "third", "k")
