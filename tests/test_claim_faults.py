"""A non-idempotent request runs at most once, and "not run" is true, whatever fails."""

from __future__ import annotations

import pytest

from apricotvale.outcomes import Ran, Reason, not_run
from apricotvale.requests.tokens import TokenTable
from tests.claims import (
    FLOWS,
    KEY,
    RESULT_HELD,
    ClaimWorld,
    pairs_of_faults,
    run_flow,
    single_faults,
)


@pytest.mark.parametrize("name", FLOWS)
def test_claim_holds_under_every_single_fault(name):
    faults = single_faults(name)
    broken = {fault: run_flow(name, [fault])[1] for fault in faults}
    assert {fault: result for fault, result in broken.items() if result != RESULT_HELD} == {}


@pytest.mark.parametrize("name", FLOWS)
def test_claim_holds_under_every_pair_of_faults(name):
    broken = {}
    for pair in pairs_of_faults(name):
        result = run_flow(name, pair)[1]
        if result != RESULT_HELD:
            broken[pair] = result
    assert broken == {}


def test_a_resend_gets_the_first_answer():
    world, result = run_flow("resend after", [])
    assert result == RESULT_HELD
    assert world.runs == {KEY: 1}


def is_caught(world_class=ClaimWorld):
    """Return whether some fault shows that a promise is broken."""
    for name in FLOWS:
        for fault in single_faults(name):
            if run_flow(name, [fault], world_class)[1] != RESULT_HELD:
                return True
        for pair in pairs_of_faults(name):
            if run_flow(name, pair, world_class)[1] != RESULT_HELD:
                return True
    return False


def test_matrix_catches_not_run_after_a_reset():
    class Overconfident(ClaimWorld):
        async def send(self, member, request):
            answer = await super().send(member, request)
            if getattr(answer, "reason", None) is Reason.UPSTREAM_LOST:
                return not_run(Reason.UPSTREAM_UNREACHABLE)
            return answer

    assert is_caught(Overconfident)


def test_matrix_catches_a_forgotten_tombstone(monkeypatch):
    def forgetful(table, token, now):
        kept = dict(table.records)
        record = original(table, token, now)
        table.records = kept
        return record

    original = TokenTable.resolve
    monkeypatch.setattr(TokenTable, "resolve", forgetful)
    assert is_caught()


def test_matrix_catches_a_claim_that_is_not_bound_to_an_incarnation():
    class Unbound(ClaimWorld):
        async def resolve(self, sidecar, token, asked_for):
            return await super().resolve(sidecar, token, sidecar.incarnation)

        def start_sidecar(self, name):
            super().start_sidecar(name)
            sidecar = self.sidecars[name]
            sidecar.incarnation = f"{name}#0"
            self.view.members[name] = sidecar.member

    assert is_caught(Unbound)


def test_a_duplicate_token_is_not_called_not_run():
    table = TokenTable(10, 10.0)
    assert table.begin("k/1", 0.0) is None
    table.refuse("k/1", 0.0)
    assert table.begin("k/1", 0.0).ran is Ran.UNKNOWN


def test_a_full_table_refuses_new_tokens():
    table = TokenTable(1, 10.0)
    assert table.begin("a/1", 0.0) is None
    assert table.begin("b/1", 0.0).reason is Reason.KEYS_FULL
    assert table.begin("b/1", 11.0) is None
