"""Operations of the control replicas under every single fault at every step, and under pairs."""

from __future__ import annotations

import itertools
import random
from functools import partial

import pytest

from apricotvale.consensus.node import Node
from apricotvale.fleet.commands import Applied
from apricotvale.fleet.state import FleetState, TableState
from apricotvale.jobs.store import JobStore
from tests import operations
from tests.operations import OPERATIONS, RESULT_HELD, faults_for, run_with, steps_of
from tests.replicas import Replicas

PAIRS_IN_CI = 150
PAIR_SEED = 11
MAX_WRITE_S = 0.1
FAULTS_WITH_SLOW_DISKS = 100


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


@pytest.fixture
def slow_disks(monkeypatch):
    monkeypatch.setattr(operations, "Replicas", partial(Replicas, max_write_s=MAX_WRITE_S))


@pytest.mark.parametrize("name", ["election", "fleet", "open group, disk lost"])
def test_operation_holds_under_single_faults_while_disks_are_slow(slow_disks, name):
    chosen = random.Random(PAIR_SEED).sample(single_faults(name), FAULTS_WITH_SLOW_DISKS)
    failures = {}
    for fault in chosen:
        result = run_with(OPERATIONS[name], [fault])
        if result != RESULT_HELD:
            failures[fault] = result
    assert not failures


def send_before_sync(self, message, before_sync=False):
    """Bug: no message waits until the records that it depends on are on disk."""
    self.ready.messages.append(message)


def test_messages_that_do_not_wait_for_a_slow_disk_are_found(slow_disks, monkeypatch):
    monkeypatch.setattr(Node, "send", send_before_sync)
    name = "fleet"
    results = {run_with(OPERATIONS[name], [fault]) for fault in single_faults(name)}
    assert results != {RESULT_HELD}


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
