"""Small groups in every order of deliveries, timeouts, heartbeats, proposals and disk losses."""

from __future__ import annotations

import pytest

from apricotvale.consensus.messages import Group
from apricotvale.consensus.node import Node
from tests.exploration import Budget, explore, make_world


@pytest.mark.parametrize(
    "voters, learners, depth, min_states", [(3, 0, 5, 3_000), (3, 1, 4, 1_500)]
)
def test_every_order_of_events_is_safe(voters, learners, depth, min_states):
    assert explore(make_world(voters, learners, Budget()), depth) >= min_states


def half_is_enough(group):
    """Bug: half of the voters form a quorum."""
    return max(1, len(group.voters()) // 2)


def commits_alone(node):
    """Bug: a leader commits entries that only it has synced."""
    node.commit_index = node.synced_index


ELECTION_ONLY = Budget(timeouts=1, heartbeats=0, proposals=1, wipes=0)


@pytest.mark.parametrize(
    "owner, name, bug", [(Group, "quorum", half_is_enough), (Node, "advance_commit", commits_alone)]
)
def test_a_seeded_bug_is_found(monkeypatch, owner, name, bug):
    world = make_world(3, 0, ELECTION_ONLY)
    explore(world, 4)
    monkeypatch.setattr(owner, name, bug)
    with pytest.raises(AssertionError, match="leader|decided"):
        explore(world, 8)
