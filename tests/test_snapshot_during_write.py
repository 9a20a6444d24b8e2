"""A replica on a slow disk: what arrives while it writes records or a snapshot."""

from __future__ import annotations

import asyncio
import threading
from contextlib import asynccontextmanager

import pytest

from apricotvale.codec import encode
from apricotvale.consensus.messages import (
    AppendRequest,
    Entry,
    EntryKind,
    Group,
    GroupMember,
    HardState,
    InstallRequest,
    Part,
    Snapshot,
)
from apricotvale.consensus.storage import PART_PREFIX, Storage
from apricotvale.consensus.types import Timing
from apricotvale.control import commands as c
from apricotvale.control.calls import CONTROL
from apricotvale.control.state import ControlState
from apricotvale.daemons.peers import fixed_peers
from apricotvale.daemons.replica import SNAPSHOT_AFTER_ENTRIES, Replica
from apricotvale.hashing import digest
from tests.replicas import MemoryDisk

WAIT_S = 5.0
CONTENT = b"part"
# The replica follows all the time: it hears a leader before it would stand for election.
TIMING = Timing(election_timeout_s=30.0)


class SlowDisk(MemoryDisk):
    """A disk whose writes to files with a prefix wait until they are released."""

    def __init__(self):
        super().__init__()
        self.slow_prefix = "none"
        self.writing = threading.Event()
        self.released = threading.Event()

    def wait(self, name):
        if name.startswith(self.slow_prefix):
            self.writing.set()
            assert self.released.wait(WAIT_S)

    def append(self, name, data):
        self.wait(name)
        super().append(name, data)

    def replace(self, name, data, syncs_name=True):
        self.wait(name)
        super().replace(name, data)


class StateWithPart(ControlState):
    def dump_parts(self, has_part):
        part = Part(digest(CONTENT), len(CONTENT))
        yield part, None if has_part(part) else CONTENT


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
    return Replica(peers, storage, TIMING, lambda: None, StateWithPart())


@asynccontextmanager
async def during_a_write(replica, prefix):
    """Run a replica that is due to save a snapshot after entry 2.

    The body runs while a file is written whose name begins with `prefix`.
    """
    disk = replica.storage.disk
    disk.slow_prefix = prefix
    async with replica.tasks:
        loop = replica.tasks.start(replica.process_events())
        replica.applied_entries = SNAPSHOT_AFTER_ENTRIES
        replica.post(entry_from_leader(replica, 2))
        assert await asyncio.to_thread(disk.writing.wait, WAIT_S)
        try:
            yield
        finally:
            disk.released.set()
        await until(lambda: loop.done() or not replica.node.has_work())
        await asyncio.sleep(0.1)
        assert not loop.done(), loop.result()


async def until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def entry_from_leader(replica, index, term=1):
    entry = Entry(index, term, 0, EntryKind.NOOP)
    data_id = replica.node.data_id
    return AppendRequest("B", data_id, term, index - 1, 1, index, index, "b", [entry])


def install_request(replica):
    snapshot = Snapshot(10, 1, 0, replica.node.group, ControlState().dump())
    return InstallRequest("B", replica.node.data_id, 1, 20, snapshot)


@pytest.mark.parametrize("prefix", ["segment", PART_PREFIX])
async def test_a_leaders_snapshot_during_a_write_replaces_a_due_one(replica, prefix):
    """Guards against a snapshot of the own state at an index that the log no longer has."""
    async with during_a_write(replica, prefix):
        replica.post(install_request(replica))
        await until(lambda: replica.node.log.last_index == 10)
    stored = Storage(replica.storage.disk, "a").stored
    assert (stored.snapshot.index, stored.entries, replica.node.applied_index) == (10, [], 10)


@pytest.mark.parametrize("prefix", [PART_PREFIX, "snapshot"])
async def test_events_are_processed_while_a_snapshot_is_written(replica, prefix):
    """Guards against a leader that loses its office to a snapshot on a slow disk."""
    async with during_a_write(replica, prefix):
        replica.post(entry_from_leader(replica, 3, term=4))
        await until(lambda: replica.node.term == 4)
    stored = Storage(replica.storage.disk, "a").stored
    assert (stored.snapshot.index, stored.hard_state.term) == (2, 4)
    assert [entry.index for entry in stored.entries if entry.index > 2] == [3]
    assert replica.node.applied_index == 3


class CountingState(ControlState):
    """A state of two parts that name how many entries were applied."""

    applied = 0
    on_first = None

    def apply(self, entry):
        self.applied += 1
        return super().apply(entry)

    def dump_parts(self, has_part):
        for number in range(2):
            if number == 0:
                self.on_first()
            content = b"part %d of state %d" % (number, self.applied)
            yield Part(digest(content), len(content)), content


@pytest.mark.parametrize("setting", ["MAX_UNWRITTEN_BYTES", "ENCODING_SLICE_S", ""])
async def test_the_parts_of_a_snapshot_are_of_one_state(replica, monkeypatch, setting):
    """Guards against entries that are applied between two parts.

    :param setting: what is 0: the parts are written one by one, or events are processed between.
    """
    if setting:
        monkeypatch.setattr(f"apricotvale.daemons.replica.{setting}", 0)
    replica.state = CountingState()
    replica.state.on_first = lambda: replica.post(entry_from_leader(replica, 3))
    async with during_a_write(replica, PART_PREFIX):
        pass
    storage = Storage(replica.storage.disk, "a")
    contents = [storage.load_part(part) for part in storage.stored.snapshot.parts]
    assert contents == [b"part 0 of state 1", b"part 1 of state 1"]
    assert (storage.stored.snapshot.index, replica.node.applied_index) == (2, 3)


async def test_a_leaders_snapshot_waits_while_parts_may_be_removed(replica):
    """Guards against an installed snapshot whose parts are removed before it is stored."""
    async with during_a_write(replica, "snapshot"):
        replica.post(install_request(replica))
        await asyncio.sleep(0.1)
        assert replica.node.log.last_index == 2
    replica.storage.disk.slow_prefix = "none"
    assert Storage(replica.storage.disk, "a").stored.snapshot.index == 2


async def test_entries_are_applied_while_the_parts_of_a_snapshot_are_written(replica):
    """Guards against a leader that answers nothing for the seconds that its snapshot takes."""
    async with during_a_write(replica, PART_PREFIX):
        entry = Entry(3, 1, 0, EntryKind.COMMAND, encode(c.Publish("t", "m", 7), c.Command))
        data_id = replica.node.data_id
        replica.post(AppendRequest("B", data_id, 1, 2, 1, 3, 3, "b", [entry]))
        await until(lambda: replica.state.rollout.state.targets == {"m": 7})
        assert not replica.storage.disk.released.is_set()
    stored = Storage(replica.storage.disk, "a").stored
    assert (stored.snapshot.index, [entry.index for entry in stored.entries[-1:]]) == (2, [3])
    restored = ControlState()
    restored.restore(stored.snapshot.state)
    assert restored.rollout.state.targets == {}


async def test_a_state_of_many_bytes_is_written_in_steps(replica, monkeypatch):
    """Guards against a snapshot whose parts all wait in memory."""
    monkeypatch.setattr("apricotvale.daemons.replica.MAX_UNWRITTEN_BYTES", 0)
    async with during_a_write(replica, PART_PREFIX):
        replica.post(entry_from_leader(replica, 3))
        await until(lambda: replica.node.log.last_index == 3)
        assert replica.node.applied_index == 2
    assert Storage(replica.storage.disk, "a").stored.snapshot.index == 2
    assert replica.node.applied_index == 3
