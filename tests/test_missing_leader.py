"""A control replica without a leader logs which voters answer and which data folders are gone."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale import events
from apricotvale.consensus.calls import ProbeReply
from apricotvale.consensus.messages import Group, GroupMember, HardState, Snapshot
from apricotvale.consensus.storage import Storage
from apricotvale.consensus.types import GroupPolicy, Timing
from apricotvale.control.calls import CONTROL
from apricotvale.control.state import ControlState
from apricotvale.daemons.peers import Peers, fixed_peers
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


async def test_a_replica_of_a_closed_group_that_is_no_member_asks_to_join():
    """The change that made it a member was taken back after it had installed a snapshot."""
    storage = Storage(MemoryDisk(), "b")
    addresses = {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}
    group = Group(tuple(GroupMember(n, f"{n}-folder", addresses[n]) for n in "ab"))
    storage.save_snapshot(Snapshot(1, 1, 0, group, b""), HardState(1), [])
    storage.stored = storage.load()
    peers = fixed_peers("b", addresses, CONTROL)
    replica = Replica(peers, storage, Timing(), lambda: None, ControlState())
    asked = asyncio.Event()

    async def ask_to_join(replies):
        asked.set()

    replica.ask_to_join = ask_to_join
    task = asyncio.create_task(replica.run())
    async with asyncio.timeout(10.0):
        await asked.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
