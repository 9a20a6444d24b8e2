"""A control replica without a leader logs which voters answer and which data folders are gone."""

from __future__ import annotations

import pytest

from apricotvale import events
from apricotvale.consensus.calls import ProbeReply
from apricotvale.consensus.messages import Group, GroupMember, HardState, Snapshot
from apricotvale.consensus.storage import Storage
from apricotvale.consensus.types import GroupPolicy, Timing
from apricotvale.control.calls import CONTROL
from apricotvale.control.state import ControlState
from apricotvale.daemons.peers import Peers
from apricotvale.daemons.replica import Replica
from tests.replicas import MemoryDisk


@pytest.fixture
def replica():
    """Return the replica `a` of an open group of three voters."""
    storage = Storage(MemoryDisk(), "a")
    others = (GroupMember("b", "b-folder", "b:1"), GroupMember("c", "c-folder", "c:1"))
    group = Group((GroupMember("a", storage.meta.data_id, "a:1"), *others))
    storage.save_snapshot(Snapshot(1, 1, 0, group, b""), HardState(1), [])
    policy = GroupPolicy(True, 3, 1, 1.0)
    peers = Peers("a", "a:1", ["b:1", "c:1"], CONTROL, policy=policy)
    storage.stored = storage.load()
    return Replica(peers, storage, Timing(), lambda: None, ControlState())


def test_a_replica_without_a_leader_names_the_lost_voters_once(replica, monkeypatch):
    logged = []
    monkeypatch.setattr(events, "emit", lambda event, **fields: logged.append(fields))
    replies = [ProbeReply("b", "b-anew", True, address="b:1")]
    replica.log_missing_leader(replies)
    replica.log_missing_leader(replies)
    own = replica.node.data_id[:8]
    standing = {
        own: "a answers",
        "b-folder": "b lost its data folder, empty",
        "c-folder": "c does not answer",
    }
    assert [fields["voters"] for fields in logged] == [standing]
    replica.log_missing_leader([*replies, ProbeReply("c", "c-folder", False, address="c:1")])
    assert logged[-1]["voters"]["c-folder"] == "c answers"
