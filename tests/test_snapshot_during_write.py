"""A leader's snapshot that arrives while a replica writes is installed."""

from __future__ import annotations

import asyncio
import threading

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
from apricotvale.consensus.storage import Storage
from apricotvale.consensus.types import Timing
from apricotvale.control.calls import CONTROL
from apricotvale.control.state import ControlState
from apricotvale.daemons.peers import fixed_peers
from apricotvale.daemons.replica import SNAPSHOT_AFTER_ENTRIES, Replica
from tests.replicas import MemoryDisk

WAIT_S = 5.0


class SlowDisk(MemoryDisk):
    """A disk whose appends wait until they are released."""

    def __init__(self):
        super().__init__()
        self.appending = threading.Event()
        self.released = threading.Event()

    def append(self, name, data):
        self.appending.set()
        assert self.released.wait(WAIT_S)
        super().append(name, data)


@pytest.fixture
def replica():
    storage = Storage(SlowDisk(), "a")
    members = (
        GroupMember("a", storage.meta.data_id, "127.0.0.1:1"),
        GroupMember("b", "B", "127.0.0.1:2"),
    )
    first = Snapshot(1, 1, 0, Group(members), b"")
    storage.save_snapshot(first, HardState(1), [])
    peers = fixed_peers("a", {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}, CONTROL)
    storage = Storage(storage.disk, "a")
    return Replica(peers, storage, Timing(), lambda: None, ControlState())


async def test_a_snapshot_that_arrives_during_a_write_does_not_end_the_replica(replica):
    """Guards against a snapshot of the own state at an index that the log no longer has."""
    data_id, disk = replica.node.data_id, replica.storage.disk
    snapshot = Snapshot(10, 1, 0, replica.node.group, ControlState().dump())
    entry = Entry(2, 1, 0, EntryKind.NOOP)
    async with replica.tasks:
        loop = replica.tasks.start(replica.process_events())
        replica.applied_entries = SNAPSHOT_AFTER_ENTRIES
        replica.post(AppendRequest("B", data_id, 1, 1, 1, 2, 1, "b", [entry]))
        await asyncio.to_thread(disk.appending.wait, WAIT_S)
        replica.post(InstallRequest("B", data_id, 1, 2, snapshot))
        await asyncio.sleep(0.1)
        disk.released.set()
        async with asyncio.timeout(WAIT_S):
            while Storage(disk, "a").stored.snapshot != snapshot and not loop.done():
                await asyncio.sleep(0.02)
        assert not loop.done(), loop.result()
    assert replica.node.applied_index == 10
