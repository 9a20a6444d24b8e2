"""Random orders of events in which groups lose more disks than a quorum bears."""

from __future__ import annotations

import pytest

from apricotvale.consensus.node import Node
from tests.exploration import Budget, explore
from tests.lost_majority_exploration import GROUPS, Walk, stale_budget, stale_world

WALKS_IN_CI = 40
WALKS_WITH_A_BUG = 100
ONE_ELECTION = Budget(timeouts=1, heartbeats=0, proposals=0, wipes=0)


@pytest.mark.parametrize("group", GROUPS)
def test_every_walk_is_safe_and_ends_with_a_leader(group):
    for seed in range(WALKS_IN_CI):
        Walk(seed, *group).run()


def test_every_order_of_events_beside_a_stale_voter_is_safe():
    assert explore(stale_world(3, 1, stale_budget(), "ab"), 4) >= 1_000


def counts_silent_members(node):
    """Bug: members that do not answer count as lost."""
    return len(set(node.group.voters()) - node.successors.keys()) < node.group.quorum()


def asks_no_learner(node):
    """Bug: only voters have to answer."""
    voters = set(node.group.voters())
    few_remain = len(voters - node.successors.keys()) < node.group.quorum()
    return few_remain and voters <= node.votes | node.successors.keys()


def test_silent_members_that_count_as_lost_are_found_by_a_walk(monkeypatch):
    monkeypatch.setattr(Node, "can_recover", counts_silent_members)
    with pytest.raises(AssertionError, match="no answer"):
        for seed in range(WALKS_WITH_A_BUG):
            Walk(seed, 3, 1, True).run()


@pytest.mark.parametrize("bug", [counts_silent_members, asks_no_learner])
def test_a_seeded_bug_is_found_beside_a_stale_voter(monkeypatch, bug):
    monkeypatch.setattr(Node, "can_recover", bug)
    with pytest.raises(AssertionError, match="no answer|lacks entries"):
        explore(stale_world(3, 1, ONE_ELECTION, "ab"), 5)
