"""A snapshot that arrives late takes no entry from a follower that has acknowledged it."""

from __future__ import annotations

import pytest

from apricotvale.consensus.messages import (
    AppendRequest,
    Entry,
    EntryKind,
    Group,
    GroupMember,
    HardState,
    InstallRequest,
    Snapshot,
)
from apricotvale.consensus.storage import Stored
from apricotvale.consensus.types import GroupPolicy
from tests.exploration import make_node

GROUP = Group(tuple(GroupMember(name, name, name) for name in "abc"))
TERM = 2
LAST = 9
COMMITTED = 5


def entry(index):
    return Entry(index, TERM, 0, EntryKind.COMMAND, b"command")


def snapshot(index):
    return Snapshot(index, TERM, 0, GROUP, b"state")


def sync(node):
    """Return the messages that a follower sends once its records are synced."""
    ready = node.take_ready(0.0)
    node.synced(node.log.last_index, node.log.last_term)
    return ready.messages_after_sync


@pytest.fixture
def follower():
    """Return a follower that has been sent entries, not all of which are committed."""
    initial = Snapshot(1, 1, 0, GROUP, b"")
    node = make_node("b", "b", Stored(HardState(1), initial, []), GroupPolicy())
    entries = [entry(index) for index in range(2, LAST + 1)]
    node.receive(AppendRequest("a", "b", TERM, 1, 1, COMMITTED, 1, "a", entries), 0.0)
    return node


@pytest.mark.parametrize("is_synced", [True, False])
@pytest.mark.parametrize("index", [COMMITTED, COMMITTED + 2, LAST])
def test_a_late_snapshot_keeps_acknowledged_entries(follower, is_synced, index):
    replies = sync(follower) if is_synced else []
    follower.receive(InstallRequest("a", "b", TERM, 1, snapshot(index)), 0.0)
    replies += sync(follower)
    acknowledged = max(reply.index for reply in replies if reply.success)
    assert acknowledged == LAST
    assert follower.log.last_index == LAST
    assert follower.commit_index == index


def test_a_snapshot_replaces_a_log_that_differs_from_it(follower):
    sync(follower)
    later = Snapshot(LAST, TERM + 1, 0, GROUP, b"state")
    follower.receive(InstallRequest("c", "b", TERM + 1, 1, later), 0.0)
    assert [reply.index for reply in sync(follower)] == [LAST]
    assert follower.log.last_term == TERM + 1
    assert follower.log.entries == []


def test_a_snapshot_replaces_a_shorter_log(follower):
    sync(follower)
    follower.receive(InstallRequest("a", "b", TERM, 1, snapshot(LAST + 3)), 0.0)
    assert [reply.index for reply in sync(follower)] == [LAST + 3]
    assert follower.log.last_index == LAST + 3
