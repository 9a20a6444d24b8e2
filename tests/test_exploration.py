"""Small groups under every order of deliveries, time-outs, beats, a proposal and a lost disk."""

from __future__ import annotations

import pytest

from apricotvale.consensus.messages import Group
from apricotvale.consensus.node import Node
from tests.exploration import Budget, explore, make_world


@pytest.mark.parametrize("voters, spares, depth, least", [(3, 0, 5, 3_000), (3, 1, 4, 1_500)])
def test_every_order_of_events_is_sound(voters, spares, depth, least):
    assert explore(make_world(voters, spares, Budget()), depth) >= least


def half_is_enough(group):
    """A bug: half of the voters may decide."""
    return max(1, len(group.voters()) // 2)


def commits_alone(node):
    """A bug: a leader commits what only it holds."""
    node.commit_index = node.synced_index


ELECTION_ONLY = Budget(timeouts=1, beats=0, proposals=1, wipes=0)


@pytest.mark.parametrize(
    "owner, name, bug", [(Group, "quorum", half_is_enough), (Node, "advance_commit", commits_alone)]
)
def test_a_seeded_bug_is_found(monkeypatch, owner, name, bug):
    world = make_world(3, 0, ELECTION_ONLY)
    explore(world, 4)
    monkeypatch.setattr(owner, name, bug)
    with pytest.raises(AssertionError, match="leader|decided"):
        explore(world, 8)
