"""Fault tests of claims: a request runs at most once and a "not run" refusal is always true."""

from __future__ import annotations

import pytest

from apricotvale.outcomes import Ran, Reason, not_run
from apricotvale.requests.tokens import TokenTable
from tests.claims import (
    FLOWS,
    KEY,
    RESULT_HELD,
    ClaimSite,
    pairs_of_faults,
    run_flow,
    single_faults,
)


@pytest.mark.parametrize("name", FLOWS)
def test_claims_hold_under_every_single_fault(name):
    faults = single_faults(name)
    results = {fault: run_flow(name, [fault])[1] for fault in faults}
    assert {fault: result for fault, result in results.items() if result != RESULT_HELD} == {}


@pytest.mark.parametrize("name", FLOWS)
def test_claims_hold_under_every_pair_of_faults(name):
    failures = {}
    for pair in pairs_of_faults(name):
        result = run_flow(name, pair)[1]
        if result != RESULT_HELD:
            failures[pair] = result
    assert failures == {}


def test_resend_gets_the_first_answer():
    site, result = run_flow("resend after", [])
    assert result == RESULT_HELD
    assert site.runs == {KEY: 1}


def is_caught(site_class=ClaimSite):
    """Return whether a single fault or a pair of faults breaks a guarantee."""
    for name in FLOWS:
        for fault in single_faults(name):
            if run_flow(name, [fault], site_class)[1] != RESULT_HELD:
                return True
        for pair in pairs_of_faults(name):
            if run_flow(name, pair, site_class)[1] != RESULT_HELD:
                return True
    return False


def test_faults_detect_not_run_reported_after_a_reset():
    class NotRunAfterReset(ClaimSite):
        async def send(self, member, request):
            answer = await super().send(member, request)
            if getattr(answer, "reason", None) is Reason.UPSTREAM_LOST:
                return not_run(Reason.UPSTREAM_UNREACHABLE)
            return answer

    assert is_caught(NotRunAfterReset)


def test_faults_detect_a_missing_tombstone(monkeypatch):
    def resolve_without_tombstone(table, token, now):
        records_before = dict(table.records)
        record = original(table, token, now)
        table.records = records_before
        return record

    original = TokenTable.resolve
    monkeypatch.setattr(TokenTable, "resolve", resolve_without_tombstone)
    assert is_caught()


def test_faults_detect_a_claim_not_bound_to_an_incarnation():
    class ReusedIncarnation(ClaimSite):
        async def resolve(self, sidecar, token, asked_for):
            return await super().resolve(sidecar, token, sidecar.incarnation)

        def start_sidecar(self, name):
            super().start_sidecar(name)
            sidecar = self.sidecars[name]
            sidecar.incarnation = f"{name}#0"
            self.view.members[name] = sidecar.member

    assert is_caught(ReusedIncarnation)


def test_duplicate_token_is_not_reported_as_not_run():
    table = TokenTable(10, 10.0)
    assert table.begin("k/1", 0.0) is None
    table.close_unstarted("k/1", 0.0)
    assert table.begin("k/1", 0.0).ran is Ran.UNKNOWN


def test_full_table_refuses_new_tokens():
    table = TokenTable(1, 10.0)
    assert table.begin("a/1", 0.0) is None
    assert table.begin("b/1", 0.0).reason is Reason.KEYS_FULL
    assert table.begin("b/1", 11.0) is None
