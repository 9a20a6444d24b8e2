"""Snapshots in parts: what is encoded and written again, what is restored, and memory."""

from __future__ import annotations

import random
import tracemalloc

import pytest
from attrs import evolve

from apricotvale.codec import encode
from apricotvale.consensus.disk import FolderDisk
from apricotvale.consensus.log import MAX_COVERED_BYTES, Log
from apricotvale.consensus.messages import Entry, EntryKind, Group, HardState, Part, Snapshot
from apricotvale.consensus.storage import PART_PREFIX, Storage
from apricotvale.daemons.replica import MAX_UNWRITTEN_BYTES, EncodedParts
from apricotvale.exceptions import DataFolderError
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetImage, FleetState
from apricotvale.jobs import Item, ItemState, Job, Progress, Result
from apricotvale.jobs.parts import RESULTS_PER_PART
from apricotvale.jobs.store import JobBookState, JobRecord
from tests.replicas import MemoryDisk

# A day of the largest deployment: 3 trainers with 12 steps of 80 items of 27 events of 320 bytes.
DAY_JOBS = 36
DAY_ITEMS = 80
DAY_OUTPUT_BYTES = 27 * 320
RNG = random.Random(1)


def make_job(number, items):
    bodies = (Item(f"i-{number}-{n}", "/run/", {}, bytes(600), 1000) for n in range(items))
    return Job(f"j-{number}", "host", "/run/", tuple(bodies))


def list_results(state, job, count, size=10, start=0):
    for item in job.items[start : start + count]:
        # Random bytes, which compression does not make smaller.
        output = RNG.randbytes(size)
        result = Result(item.item_id, ItemState.COMPLETED, output, [1], "score")
        state.execute(c.ListResult(job.job_id, result), 1)


def save(state, storage):
    """Save a snapshot as the daemon does; return the bytes of the parts written."""
    encoded = EncodedParts()
    for part, content in state.dump_parts(storage.has_part):
        encoded.add(part, content)
        if encoded.unwritten_bytes > MAX_UNWRITTEN_BYTES:
            write_parts(encoded, storage)
            encoded.forget_content()
    write_parts(encoded, storage)
    snapshot = Snapshot(1, 1, 0, Group(), state.dump(), tuple(encoded.parts))
    storage.save_snapshot(snapshot, HardState(1), [])
    return encoded.new_bytes


def write_parts(encoded, storage):
    for part, content in encoded.unwritten:
        storage.save_part(part, content)


@pytest.fixture
def storage():
    return Storage(MemoryDisk(), "a")


@pytest.fixture
def state():
    state = FleetState()
    for number in range(2):
        job = make_job(number, 2 * RESULTS_PER_PART + 3)
        state.execute(c.AcceptJob(job), 1)
        list_results(state, job, RESULTS_PER_PART + 1)
    state.execute(
        c.SaveProgress([c.JobProgress("j-1", [Progress("i-1-70", 0, 0, [1], [b"e"])])]), 1
    )
    return state


def restored(storage):
    stored = Storage(storage.disk, "a")
    state = FleetState()
    state.restore(stored.stored.snapshot.state, stored.load_parts(stored.stored.snapshot))
    return state, stored


def test_a_restored_state_equals_the_saved_one(state, storage):
    state.execute(c.PutTable(3, b"three"), 1)
    save(state, storage)
    loaded, _ = restored(storage)
    assert loaded.jobs.state == state.jobs.state
    assert loaded.jobs.finished_items == state.jobs.finished_items
    assert loaded.table == state.table


def test_an_unchanged_state_writes_no_part_again(state, storage):
    assert save(state, storage) > 0
    tails = save(state, storage)
    loaded, stored = restored(storage)
    assert save(loaded, stored) == tails == 0


def test_only_changed_jobs_and_the_last_results_are_written_again(state, storage):
    save(state, storage)
    before = set(storage.part_names)
    job = state.jobs.state.records["j-0"].job
    list_results(state, job, 2, start=RESULTS_PER_PART + 1)
    save(state, storage)
    assert len(set(storage.part_names) - before) == 1
    state.execute(c.EndJob("j-1"), 1)
    before = set(storage.part_names)
    save(state, storage)
    assert len(set(storage.part_names) - before) == 1


def test_parts_of_deleted_jobs_are_removed(state, storage):
    save(state, storage)
    for number in range(2):
        state.execute(c.ForgetJob(f"j-{number}"), 1)
    save(state, storage)
    assert not [name for name in storage.disk.names() if name.startswith(PART_PREFIX)]


@pytest.mark.parametrize("damage", ["missing", "changed"])
def test_a_missing_or_damaged_part_is_refused(state, storage, damage):
    save(state, storage)
    name = next(name for name in storage.disk.names() if name.startswith(PART_PREFIX))
    if damage == "missing":
        storage.disk.remove(name)
    else:
        storage.disk.files[name][5] ^= 0xFF
    with pytest.raises(DataFolderError):
        restored(storage)


def test_a_part_that_the_folder_lost_is_written_again(state, storage):
    save(state, storage)
    storage.part_names.clear()
    assert save(state, storage) > 0


def test_a_snapshot_without_parts_is_read(state, storage):
    image = FleetImage(jobs=JobBookState({"j-9": JobRecord(make_job(9, 1), 1)}))
    loaded = FleetState()
    loaded.restore(encode(image, FleetImage))
    assert list(loaded.jobs.state.records) == ["j-9"]
    save(loaded, storage)
    assert list(restored(storage)[0].jobs.state.records) == ["j-9"]


def test_an_ended_job_keeps_no_bodies_but_its_number_of_items(state):
    job = state.jobs.state.records["j-0"].job
    state.execute(c.EndJob("j-0"), 1)
    kept = state.jobs.state.records["j-0"].job
    assert [item.item_id for item in kept.items] == [item.item_id for item in job.items]
    assert not any(item.body or item.headers for item in kept.items)
    assert [item.tokens for item in kept.items] == [item.tokens for item in job.items]


def test_memory_of_a_snapshot_under_twice_the_load_of_a_large_day(tmp_path):
    """The peak while a snapshot is saved stays near the size of the state.

    Load pattern: all steps of a day, twice as many as the largest deployment has, are kept until
    the end of their retention period.
    """
    state, storage = FleetState(), Storage(FolderDisk(tmp_path), "a")
    for number in range(2 * DAY_JOBS):
        job = make_job(number, DAY_ITEMS)
        state.execute(c.AcceptJob(job), 1)
        list_results(state, job, DAY_ITEMS, DAY_OUTPUT_BYTES)
    state_bytes = 2 * DAY_JOBS * DAY_ITEMS * DAY_OUTPUT_BYTES
    tracemalloc.start()
    try:
        written_bytes = save(state, storage)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert written_bytes > state_bytes
    assert peak_bytes < state_bytes / 4


def test_log_entries_covered_by_a_snapshot_are_bounded(state, storage):
    payload = bytes(100_000)
    entries = [Entry(index, 1, 0, EntryKind.COMMAND, payload) for index in range(1, 201)]
    log = Log(None, entries)
    large = Part("0", 100_000_000)
    log.compact(evolve(Snapshot(200, 1, 0, Group(), b""), parts=(large,)))
    assert sum(len(entry.payload) for entry in log.entries) <= MAX_COVERED_BYTES
