"""Data folders: torn tails are truncated; damage and foreign folders are refused."""

from __future__ import annotations

import pytest

from apricotvale.codec import encode
from apricotvale.consensus.disk import FolderDisk
from apricotvale.consensus.messages import Entry, EntryKind, Group, GroupMember, HardState, Snapshot
from apricotvale.consensus.storage import (
    FORMAT_VERSION,
    FRAME,
    META_FILE,
    SNAPSHOT_FILE,
    EntriesRecord,
    Meta,
    Record,
    Storage,
    Stored,
    TruncateRecord,
    frame,
)
from apricotvale.consensus.types import Timing
from apricotvale.control.calls import CONTROL
from apricotvale.control.state import ControlState
from apricotvale.daemons.peers import fixed_peers
from apricotvale.daemons.replica import Replica
from apricotvale.exceptions import (
    DataFolderError,
    DataFormatError,
    DiskError,
    FolderInUseError,
    GroupMismatchError,
    IdentityError,
)
from tests.replicas import MemoryDisk

SEGMENT = "segment-0000000000"


def entry(index, term=1):
    return Entry(index, term, 0, EntryKind.COMMAND, b"x" * 20)


def written_storage(disk, entries=5):
    storage = Storage(disk, "a")
    storage.append([HardState(3, "b")])
    for index in range(1, entries + 1):
        storage.append([EntriesRecord([entry(index)])])
    return storage


def indexes(disk):
    return [found.index for found in Storage(disk, "a").stored.entries]


def test_synced_records_are_read_back():
    disk = MemoryDisk()
    written_storage(disk)
    stored = Storage(disk, "a").stored
    assert stored.hard_state == HardState(3, "b")
    assert indexes(disk) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("torn_bytes", range(1, FRAME.size + 30, 7))
def test_a_torn_tail_is_truncated_and_overwritten(torn_bytes):
    disk = MemoryDisk()
    written_storage(disk, 2)
    disk.files[SEGMENT] += frame(encode(EntriesRecord([entry(3)]), EntriesRecord))[:torn_bytes]
    storage = Storage(disk, "a")
    assert [found.index for found in storage.stored.entries] == [1, 2]
    storage.append([EntriesRecord([entry(3)])])
    assert indexes(disk) == [1, 2, 3]


def test_damage_before_the_end_is_refused_and_left_unchanged():
    disk = MemoryDisk()
    written_storage(disk)
    disk.files[SEGMENT][60] ^= 0xFF
    before = bytes(disk.files[SEGMENT])
    with pytest.raises(DataFolderError):
        Storage(disk, "a")
    assert bytes(disk.files[SEGMENT]) == before


def test_entries_replace_overlapping_entries():
    disk = MemoryDisk()
    storage = written_storage(disk)
    storage.append([TruncateRecord(3), EntriesRecord([entry(4, term=2)])])
    assert indexes(disk) == [1, 2, 3, 4]
    assert Storage(disk, "a").stored.entries[-1].term == 2


def test_a_snapshot_replaces_old_segments():
    disk = MemoryDisk()
    storage = written_storage(disk)
    snapshot = Snapshot(4, 1, 0, Group(), b"state")
    storage.save_snapshot(snapshot, HardState(3), [entry(4), entry(5)])
    stored = Storage(disk, "a").stored
    assert stored.snapshot == snapshot
    assert indexes(disk) == [4, 5]
    assert SEGMENT not in disk.files


def test_a_gap_in_the_log_is_refused():
    disk = MemoryDisk()
    written_storage(disk, 2).append([EntriesRecord([entry(4)])])
    with pytest.raises(DataFolderError):
        Storage(disk, "a")


def test_a_gap_that_the_snapshot_covers_is_read():
    """Former versions appended to the old log after an installation that was cut short."""
    disk = MemoryDisk()
    written_storage(disk, 2)
    snapshot = Snapshot(5, 2, 0, Group(), b"leader's")
    disk.replace(SNAPSHOT_FILE, frame(encode(snapshot, Snapshot)))
    added = EntriesRecord([entry(6, term=2), entry(7, term=2)])
    disk.append(SEGMENT, frame(encode(added, Record)))
    assert indexes(disk) == [6, 7]
    assert indexes(disk) == [6, 7]


def test_a_newer_format_is_refused():
    disk = MemoryDisk()
    disk.replace(META_FILE, frame(encode(Meta(99, "a", "id"), Meta)))
    with pytest.raises(DataFormatError):
        Storage(disk, "a")


def test_a_folder_of_format_1_is_read_and_continued():
    """Its records have frames of their own; older versions refuse it from then on."""
    disk = MemoryDisk()
    disk.replace(META_FILE, frame(encode(Meta(1, "a", "id"), Meta)))
    records = [HardState(3, "b"), EntriesRecord([entry(1), entry(2)]), TruncateRecord(1)]
    disk.append(SEGMENT, b"".join(frame(encode(record, Record)) for record in records))
    storage = Storage(disk, "a")
    assert storage.stored.hard_state == HardState(3, "b")
    storage.append([EntriesRecord([entry(2, term=3)]), HardState(4)])
    storage = Storage(disk, "a")
    assert storage.stored == Stored(HardState(4), None, [entry(1), entry(2, term=3)])
    assert storage.meta == Meta(FORMAT_VERSION, "a", "id")


def test_another_replicas_folder_is_refused():
    disk = MemoryDisk()
    written_storage(disk)
    with pytest.raises(IdentityError):
        Storage(disk, "b")


def test_every_write_fails_after_a_failed_write():
    disk = MemoryDisk()
    storage = written_storage(disk)
    disk.next_append = "disk error"
    with pytest.raises(DiskError):
        storage.append([HardState(4)])
    with pytest.raises(DiskError):
        storage.append([HardState(4)])


def test_a_folder_is_locked_by_one_process(tmp_path):
    disk = FolderDisk(tmp_path)
    with pytest.raises(FolderInUseError):
        FolderDisk(tmp_path)
    disk.release()
    FolderDisk(tmp_path).release()


def test_settings_that_name_another_group_are_refused():
    storage = written_storage(MemoryDisk(), 0)
    group = Group((GroupMember("a", storage.meta.data_id, "x:1"), GroupMember("b", "other", "y:1")))
    storage.save_snapshot(Snapshot(1, 1, 0, group, b""), HardState(1), [])
    reopened = Storage(storage.disk, "a")
    with pytest.raises(GroupMismatchError):
        peers = fixed_peers("a", {"a": "x:1", "c": "y:1"}, CONTROL)
        Replica(peers, reopened, Timing(), lambda: None, ControlState())
