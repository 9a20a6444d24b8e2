"""Operations of the control replicas under every single fault at every step, and under pairs."""

from __future__ import annotations

import itertools
import random

import pytest

from apricotvale.fleet.commands import Applied
from apricotvale.fleet.state import FleetState, TableState
from apricotvale.jobs import JobStore
from tests.operations import OPERATIONS, RESULT_HELD, faults_for, run_with, steps_of

PAIRS_IN_CI = 150
PAIR_SEED = 11


def single_faults(name):
    steps = steps_of(OPERATIONS[name])
    return [(at, fault) for at, kind, _ in steps for fault in faults_for(kind)]


@pytest.mark.parametrize("name", OPERATIONS)
def test_operation_holds_under_every_single_fault(name):
    failures = {}
    for fault in single_faults(name):
        result = run_with(OPERATIONS[name], [fault])
        if result != RESULT_HELD:
            failures[fault] = result
    assert not failures


PAIRED_OPERATIONS = [
    "config race",
    "election",
    "fleet",
    "open group, disk lost",
    "open group, replica down",
]


@pytest.mark.parametrize("name", PAIRED_OPERATIONS)
def test_operation_holds_under_pairs_of_faults(name):
    pairs = [
        pair for pair in itertools.combinations(single_faults(name), 2) if pair[0][0] != pair[1][0]
    ]
    chosen = random.Random(PAIR_SEED).sample(pairs, PAIRS_IN_CI)
    failures = {}
    for pair in chosen:
        result = run_with(OPERATIONS[name], pair)
        if result != RESULT_HELD:
            failures[pair] = result
    assert not failures


def append_result_twice(self, job_id, result, saved_events=0):
    """Bug: a result that was already appended gets a second position."""
    self.state.records[job_id].results.append(result)
    return True


def put_older_table(self, command):
    """Bug: an older table replaces a newer one."""
    self.table = TableState(command.version, command.document)
    return Applied()


@pytest.mark.parametrize(
    "owner, name, bug",
    [(JobStore, "append_result", append_result_twice), (FleetState, "put_table", put_older_table)],
)
def test_a_seeded_bug_in_the_fleet_is_found(monkeypatch, owner, name, bug):
    monkeypatch.setattr(owner, name, bug)
    assert run_with(OPERATIONS["fleet"], []) != RESULT_HELD
