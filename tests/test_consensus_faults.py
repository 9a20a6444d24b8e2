"""Every fault at every step of the control replicas' operations, and pairs of faults."""

from __future__ import annotations

import itertools
import random

import pytest

from tests.operations import OPERATIONS, RESULT_HELD, faults_for, run_with, steps_of

PAIRS_IN_CI = 150
PAIR_SEED = 11


def single_faults(name):
    steps = steps_of(OPERATIONS[name])
    return [(at, fault) for at, kind, _ in steps for fault in faults_for(kind)]


@pytest.mark.parametrize("name", OPERATIONS)
def test_operation_holds_under_every_single_fault(name):
    broken = {}
    for fault in single_faults(name):
        result = run_with(OPERATIONS[name], [fault])
        if result != RESULT_HELD:
            broken[fault] = result
    assert not broken


PAIRED = ["config race", "election", "open group, disk lost", "open group, replica away"]


@pytest.mark.parametrize("name", PAIRED)
def test_operation_holds_under_pairs_of_faults(name):
    pairs = [
        pair for pair in itertools.combinations(single_faults(name), 2) if pair[0][0] != pair[1][0]
    ]
    chosen = random.Random(PAIR_SEED).sample(pairs, PAIRS_IN_CI)
    broken = {}
    for pair in chosen:
        result = run_with(OPERATIONS[name], pair)
        if result != RESULT_HELD:
            broken[pair] = result
    assert not broken
