"""Each sample reaches its trainer exactly once and fresh, whatever fails."""

from __future__ import annotations

import pytest

from apricotvale.samples import ledger as ledger_module
from apricotvale.samples.ledger import Fill, Handed, Ledger, PullRejected, Segment, StepSpec
from tests.trainer import RESULT_HELD, pairs_of_faults, run_step, single_faults


def test_step_holds_under_every_single_fault():
    broken = {fault: run_step([fault])[1] for fault in single_faults()}
    assert {fault: result for fault, result in broken.items() if result != RESULT_HELD} == {}


def test_step_holds_under_every_pair_of_faults():
    broken = {}
    for pair in pairs_of_faults():
        result = run_step(pair)[1]
        if result != RESULT_HELD:
            broken[pair] = result
    assert broken == {}


def is_caught():
    return any(run_step([fault])[1] != RESULT_HELD for fault in single_faults()) or any(
        run_step(pair)[1] != RESULT_HELD for pair in pairs_of_faults()
    )


def test_matrix_catches_staleness_checked_at_completion_only(monkeypatch):
    def void_lost_only(ledger, state, version, lost):
        for at, handed in enumerate(state.handed):
            if handed.fill is not None and handed.fill.attempt in lost:
                state.handed[at] = Handed(handed.position, None)

    monkeypatch.setattr(Ledger, "void_unusable", void_lost_only)
    monkeypatch.setattr(Ledger, "reopen_stale", lambda ledger, state, version: None)
    assert is_caught()


def test_matrix_catches_staleness_by_the_newest_segment(monkeypatch):
    newest = property(lambda fill: max(segment.version for segment in fill.segments))
    monkeypatch.setattr(ledger_module.Fill, "oldest_version", newest)
    assert is_caught()


def test_matrix_catches_a_slot_that_is_filled_again(monkeypatch):
    monkeypatch.setattr(Ledger, "is_open", lambda ledger, state, slot, attempt: True)
    assert is_caught()


def test_matrix_catches_a_lost_payload_that_is_not_reopened(monkeypatch):
    monkeypatch.setattr(Ledger, "void_unusable", lambda ledger, state, version, lost: None)
    assert is_caught()


def open_ledger(whole_groups=False):
    ledger = Ledger()
    spec = StepSpec("t", 0, ["p", "q"], 2, 0, 4, whole_groups, 1000)
    ledger.open_step(spec, "entry", "i")
    return ledger


def filled(slot, attempt="a", version=0):
    return Fill(slot, f"{attempt}{slot}", "one", [Segment(0, version)], 4)


def test_an_older_pull_is_rejected():
    ledger = open_ledger()
    ledger.fill("t", 0, [filled(0)])
    ledger.hand("t", 0, 0, 2, 4, [])
    assert isinstance(ledger.hand("t", 0, 0, 1, 4, []), PullRejected)


def test_an_acknowledged_position_cannot_be_asked_again():
    ledger = open_ledger()
    ledger.fill("t", 0, [filled(0)])
    ledger.hand("t", 0, 0, 1, 4, [])
    ledger.hand("t", 0, 1, 2, 4, [])
    assert isinstance(ledger.hand("t", 0, 0, 3, 4, []), PullRejected)


def test_the_second_attempt_at_a_slot_is_dropped():
    ledger = open_ledger()
    assert ledger.fill("t", 0, [filled(0, "a"), filled(0, "b")]).dropped == [0]


def test_whole_groups_wait_for_their_last_sample():
    ledger = open_ledger(whole_groups=True)
    ledger.fill("t", 0, [filled(0)])
    assert ledger.hand("t", 0, 0, 1, 4, []).handed == []
    ledger.fill("t", 0, [filled(1)])
    assert len(ledger.hand("t", 0, 0, 2, 4, []).handed) == 2


def test_a_publication_opens_the_slots_of_samples_that_became_stale():
    ledger = open_ledger()
    ledger.fill("t", 0, [filled(0)])
    ledger.publish("t", 1)
    assert ledger.open_slots(ledger.step("t", 0)) == [0, 1, 2, 3]


@pytest.mark.parametrize("step", [0, -1])
def test_a_step_that_is_not_newer_is_rejected(step):
    ledger = open_ledger()
    ledger.close("t", 0)
    spec = StepSpec("t", step, ["p"], 1, 0, 4, False, 1000)
    assert ledger.open_step(spec, "entry", "i").last_step == 0


def test_an_orphaned_step_is_adopted_once():
    ledger = open_ledger()
    assert ledger.adopt("t", 0, "i", "other", "j")
    assert not ledger.adopt("t", 0, "i", "third", "k")
