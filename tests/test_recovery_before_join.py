"""A replica has the snapshot of a group that it has not joined, and all others are empty."""

from __future__ import annotations

from functools import partial

import pytest

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import Group, GroupMember, HardState, Snapshot, VoteReply
from apricotvale.consensus.node import Node
from apricotvale.consensus.storage import Stored
from apricotvale.consensus.types import GroupPolicy, Role
from tests.replicas import TIMING


def elect(policy):
    """Return a replica of another folder of a, after b and c have answered for theirs."""
    group = Group(tuple(GroupMember(name, f"{name}0", name) for name in "abc"))
    node = Node(
        "a1",
        Stored(HardState(1), Snapshot(1, 1, 0, group, b""), []),
        TIMING,
        partial(encode, kind=Group),
        partial(decode, kind=Group),
        lambda: 0.5,
        0.0,
        "a",
        policy,
    )
    for _ in range(2):
        node.tick(10.0)
        for name in "bc":
            term = node.term + 1 if node.pre_voting else node.term
            node.receive(VoteReply(f"{name}1", "a1", term, True, node.pre_voting, f"{name}0"), 10.0)
    return node


@pytest.mark.parametrize("is_open", [False, True])
def test_a_replica_that_has_not_joined_leads_only_if_the_group_accepts_no_other_names(is_open):
    """In an open group, a member under another name may have joined after the snapshot."""
    node = elect(GroupPolicy(True, 3, 1, 1.5) if is_open else None)
    assert (node.role is Role.LEADER) is not is_open
