"""Data folders after kills and losses of power: what was synced is there, and nothing contradicts.

The real FolderDisk runs on simulated files. A walk ends the process before random steps, also
while the folder is loaded and at the first write after that.
"""

from __future__ import annotations

import random
import time
from pathlib import Path

import pytest
from attrs import define, evolve, field, frozen

from apricotvale.consensus.disk import FolderDisk
from apricotvale.consensus.log import Log
from apricotvale.consensus.messages import Entry, EntryKind, Group, HardState, Part, Snapshot
from apricotvale.consensus.storage import EntriesRecord, Storage, TruncateRecord
from apricotvale.exceptions import DataFolderError, DiskError
from apricotvale.hashing import digest
from tests.power_loss import LOSSES, ProcessEnd, simulate_files

FOLDER = Path("data")
SEGMENT = "segment-0000000000"
WALKS_IN_CI = 300
OPERATIONS_PER_WALK = 30
MAX_STEPS_TO_END = 12
PAYLOAD_BYTES = (0, 20, 400, 900, 5000)
MAX_START_CPU_S = 2.0


@frozen
class View:
    """What a folder says: hard state, snapshot, and the entries beyond it."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    def __str__(self):
        terms = [(entry.index, entry.term) for entry in self.entries]
        state = self.hard_state
        return f"term {state.term} vote {state.voted_for!r} snapshot {self.covered} {terms}"

    @property
    def covered(self):
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self):
        return self.entries[-1].index if self.entries else self.covered

    def after(self, record):
        """Return the view after a record."""
        if isinstance(record, HardState):
            return evolve(self, hard_state=record)
        last = record.last if isinstance(record, TruncateRecord) else record.entries[0].index - 1
        kept = tuple(entry for entry in self.entries if entry.index <= last)
        added = () if isinstance(record, TruncateRecord) else tuple(record.entries)
        return evolve(self, entries=kept + added)

    def with_snapshot(self, snapshot):
        """Return the view with a newer snapshot; a term below it is raised, without a vote."""
        beyond = tuple(entry for entry in self.entries if entry.index > snapshot.index)
        state = self.hard_state
        if state.term < snapshot.term:
            state = HardState(snapshot.term)
        return View(state, snapshot, beyond)


def view_of(stored):
    """Return the view of a loaded folder, as the log of a node would show it."""
    log = Log(stored.snapshot, stored.entries)
    covered = log.snapshot.index
    assert log.last_index >= covered, "the log ends before its snapshot"
    chain = [entry.index for entry in log.entries]
    assert chain == list(range(log.start_index + 1, log.last_index + 1)), "the log has a gap"
    if log.start_index < covered:
        last_covered = log.entries[covered - log.start_index - 1]
        assert last_covered.term == log.snapshot.term, "entries differ from the snapshot over them"
    assert stored.hard_state.term >= max(log.last_term, log.snapshot.term), "the term is too old"
    entries = tuple(log.slice(covered + 1, log.last_index))
    return View(stored.hard_state, stored.snapshot, entries)


def prefixes(view, records):
    """Return the views after each number of records."""
    views = [view]
    for record in records:
        views.append(views[-1].after(record))
    return views


def entries_from(first, term, sizes):
    """Return entries with random payloads of these sizes."""
    return [
        Entry(first + number, term, 0, EntryKind.COMMAND, random.Random(size).randbytes(size))
        for number, size in enumerate(sizes)
    ]


def part_of(content):
    return Part(digest(content), len(content))


@define
class Replica:
    """The process of a replica, which ends and starts again on the same files.

    :param allowed: views that the folder may show at the next start.
    """

    files: object
    storage: Storage | None = None
    data_id: str = ""
    allowed: list[View] = field(factory=lambda: [View()])

    @property
    def view(self):
        return self.allowed[-1]

    def start(self):
        """Load the folder; what it shows is used from now on, as if it was synced."""
        self.storage = None
        disk = FolderDisk(FOLDER)
        storage = Storage(disk, "a")
        for part_name in storage.part_names:
            content = disk.read(part_name)
            assert part_name == f"part-{digest(content)}", "a part is damaged"
        list(storage.load_parts(storage.stored.snapshot))
        assert storage.meta.data_id == self.data_id or not self.data_id
        view = view_of(storage.stored)
        assert view in self.allowed, f"{view}, not {[*map(str, self.allowed)]}"
        self.storage, self.data_id, self.allowed = storage, storage.meta.data_id, [view]

    def append(self, *records):
        self.allowed = prefixes(self.view, records)
        self.storage.append(list(records))
        self.allowed = [self.view]

    def save(self, snapshot, kept, contents=(), hard_state=None):
        """Save a snapshot, with all entries lost that are not in `kept`.

        :param hard_state: a newer hard state, saved with it.
        """
        hard_state = hard_state or self.view.hard_state
        for content in contents:
            self.storage.save_part(part_of(content), content)
        beyond = tuple(entry for entry in kept if entry.index > snapshot.index)
        after = View(hard_state, snapshot, beyond)
        # The snapshot may be stored without the new segment. Old entries beyond it are then the
        # uncommitted end of a log, whose terms no candidate of a later term can have.
        self.allowed = [self.view, self.view.with_snapshot(snapshot), after]
        self.storage.save_snapshot(snapshot, hard_state, kept)
        self.allowed = [after]


class Walk:
    """A random history of one replica, with kills and losses of power."""

    def __init__(self, files, rng):
        self.files = files
        self.rng = rng
        self.replica = Replica(files)
        self.committed = 0

    def run(self):
        for _ in range(OPERATIONS_PER_WALK):
            self.files.end_in(self.rng.choice((None, self.rng.randrange(MAX_STEPS_TO_END))))
            try:
                if self.replica.storage is None:
                    self.replica.start()
                self.rng.choice((self.append, self.append, self.compact, self.install))()
            except ProcessEnd:
                self.replica.storage = None
            if self.replica.storage is None or self.rng.random() < 0.1:
                self.end_process()
        self.files.end_in(None)
        self.replica.start()

    def end_process(self):
        self.replica.storage = None
        if self.rng.random() < 0.3:
            self.files.kill()
        else:
            self.files.lose_power(self.rng.choice(LOSSES))

    def new_entries(self, first):
        sizes = self.rng.choices(PAYLOAD_BYTES, k=self.rng.randint(1, 4))
        return EntriesRecord(entries_from(first, self.replica.view.hard_state.term, sizes))

    def append(self):
        """Append a batch: a vote, new entries, or entries in place of others."""
        view = self.replica.view
        records = []
        if self.rng.random() < 0.5 or not view.hard_state.term:
            records.append(HardState(view.hard_state.term + 1, self.rng.choice(("", "b"))))
            self.replica.append(*records)
            view, records = self.replica.view, []
        last = view.last_index
        if self.rng.random() < 0.4:
            records.append(evolve(view.hard_state, voted_for="c"))
        floor = max(self.committed, view.covered)
        if last > floor and self.rng.random() < 0.4:
            last = self.rng.randint(floor, last - 1)
            records.append(TruncateRecord(last))
        records.append(self.new_entries(last + 1))
        if self.rng.random() < 0.3:
            records.append(self.new_entries(records[-1].entries[-1].index + 1))
        self.replica.append(*records)

    def contents(self):
        return [self.rng.randbytes(self.rng.choice(PAYLOAD_BYTES)) for _ in range(2)]

    def compact(self):
        """Save a snapshot of the own state; some entries that it covers are kept."""
        view = self.replica.view
        if not view.entries:
            return
        at = self.rng.randrange(len(view.entries))
        entry = view.entries[at]
        contents = self.contents()
        parts = tuple(part_of(content) for content in contents)
        snapshot = Snapshot(entry.index, entry.term, 0, Group(), b"own", parts)
        self.committed = max(self.committed, entry.index)
        kept = view.entries[self.rng.randint(0, at + 1) :]
        self.replica.save(snapshot, list(kept), contents)

    def install(self):
        """Install a leader's snapshot; the own log is behind it or differs from it."""
        view = self.replica.view
        term = view.hard_state.term + self.rng.randint(0, 1)
        first = max(self.committed, view.covered) + 1
        if not term:
            return
        hard_state = HardState(term) if term > view.hard_state.term else view.hard_state
        index = self.rng.randint(first, max(first, view.last_index) + 3)
        contents = self.contents()
        parts = tuple(part_of(content) for content in contents)
        snapshot = Snapshot(index, term, 0, Group(), b"leader's", parts)
        self.replica.save(snapshot, [], contents, hard_state)
        self.committed = index


@pytest.fixture
def simulate(monkeypatch):
    """Return a function that gives FolderDisk simulated files for a seed."""
    return lambda seed: simulate_files(monkeypatch, random.Random(seed))


def run_until_end(files, steps, work, *args):
    """Run work, and end the process before the step that follows `steps`; return whether it did."""
    files.end_in(steps)
    try:
        work(*args)
    except ProcessEnd:
        return True
    files.end_in(None)
    return False


def replica_with_log(files, last):
    """Return a started replica with entries of term 1 up to index `last`."""
    replica = Replica(files)
    replica.start()
    replica.append(HardState(1, "b"))
    replica.append(EntriesRecord(entries_from(1, 1, [40] * last)))
    return replica


def test_a_folder_shows_what_was_synced_after_kills_and_losses_of_power(monkeypatch):
    for seed in range(WALKS_IN_CI):
        rng = random.Random(seed)
        try:
            Walk(simulate_files(monkeypatch, rng), rng).run()
        except (AssertionError, DataFolderError) as error:
            raise AssertionError(f"seed {seed}: {error}") from error


def test_a_torn_append_of_several_records_does_not_keep_a_replica_from_starting(simulate):
    for seed in range(300):
        files = simulate(seed)
        replica = replica_with_log(files, 3)
        records = [HardState(2, "c"), TruncateRecord(2)]
        records += [EntriesRecord(entries_from(at, 2, [900])) for at in (3, 4, 5)]
        assert run_until_end(files, 1 + seed % 2, replica.append, *records)
        files.lose_power("some")
        replica.start()
        first, term = replica.view.last_index + 1, replica.view.hard_state.term
        replica.append(EntriesRecord(entries_from(first, term, [40])))
        replica.start()


@pytest.mark.parametrize("last", [4, 10, 20])
def test_a_snapshot_whose_installation_was_cut_short_replaces_the_log(last, simulate):
    """The process ends before each step of the installation, the log being shorter and longer.

    The next entries of the leader follow the snapshot.
    """
    for steps in range(30):
        files = simulate(steps)
        replica = replica_with_log(files, last)
        replica.append(HardState(3, ""))
        snapshot = Snapshot(10, 3, 0, Group(), b"leader's")
        ended = run_until_end(files, steps, replica.save, snapshot, [])
        files.kill()
        replica.start()
        covered, term = replica.view.covered, replica.view.hard_state.term
        if covered == 10:
            replica.append(TruncateRecord(10), EntriesRecord(entries_from(11, term, [40, 40])))
        replica.start()
    assert not ended


def test_the_term_is_not_below_the_terms_of_the_log_after_an_installation_was_cut_short(simulate):
    """The leader's term is saved after its snapshot, with the new segment."""
    for steps in range(30):
        files = simulate(steps)
        replica = replica_with_log(files, 3)
        snapshot = Snapshot(10, 7, 0, Group(), b"leader's")
        ended = run_until_end(files, steps, replica.save, snapshot, [], (), HardState(8))
        files.lose_power("none")
        replica.start()
    assert not ended


def test_records_that_a_killed_process_had_not_synced_are_kept_once_they_were_loaded(simulate):
    for steps in range(30):
        files = simulate(steps)
        replica = replica_with_log(files, 3)
        added = EntriesRecord(entries_from(4, 1, [900, 5000]))
        ended = run_until_end(files, steps, replica.append, HardState(2, "c"), added)
        files.kill()
        replica.start()
        files.lose_power("all")
        replica.start()
    assert not ended


def test_an_installed_snapshot_is_kept_once_it_was_loaded(simulate):
    for steps in range(30):
        files = simulate(steps)
        replica = replica_with_log(files, 3)
        content = b"part"
        snapshot = Snapshot(10, 1, 0, Group(), b"leader's", (part_of(content),))
        ended = run_until_end(files, steps, replica.save, snapshot, [], [content])
        files.kill()
        replica.start()
        files.lose_power("all")
        replica.start()
    assert not ended


def test_damage_in_a_synced_append_is_refused_and_left_unchanged(simulate):
    """A changed byte of any append but the last, which may be torn, is bit rot."""
    files = simulate(0)
    replica = replica_with_log(files, 3)
    last_append = len(files.names[SEGMENT].content)
    replica.append(HardState(2, ""), EntriesRecord(entries_from(4, 2, [40])))
    sound = bytes(files.names[SEGMENT].content)
    for at in range(last_append):
        damaged = bytearray(sound)
        damaged[at] ^= 0xFF
        files.names[SEGMENT].content = damaged
        with pytest.raises(DataFolderError):
            Storage(FolderDisk(FOLDER), "a")
        assert bytes(files.names[SEGMENT].content) == bytes(damaged)


def test_zeros_after_the_last_append_are_truncated(simulate):
    files = simulate(0)
    replica = replica_with_log(files, 3)
    files.names[SEGMENT].content.extend(bytes(100_000))
    replica.start()
    replica.append(EntriesRecord(entries_from(4, 1, [40])))
    replica.start()


@pytest.mark.parametrize("tail", ["random", "zeros"])
def test_a_large_torn_append_does_not_delay_the_start(tail, simulate):
    files = simulate(0)
    replica = replica_with_log(files, 3)
    size = 2 * 1024 * 1024
    files.names[SEGMENT].content.extend(
        bytes(size) if tail == "zeros" else files.rng.randbytes(size)
    )
    started_at = time.process_time()
    replica.start()
    assert time.process_time() < started_at + MAX_START_CPU_S


def test_no_replacement_that_was_cut_short_stays_in_the_folder(simulate):
    """Each part has a name of its own, so nothing would ever overwrite such a file."""
    for seed in range(100):
        files = simulate(seed)
        replica = replica_with_log(files, 3)
        content = bytes(5000)
        snapshot = Snapshot(3, 1, 0, Group(), b"own", (part_of(content),))
        run_until_end(files, seed % 20, replica.save, snapshot, [], [content])
        files.lose_power("some")
        replica.start()
        assert not [name for name in files.names if name.endswith(".new")]


def test_records_of_a_failed_sync_are_not_used_after_a_restart(simulate):
    files = simulate(0)
    replica = replica_with_log(files, 3)
    view = replica.view
    files.refuses_syncs = True
    with pytest.raises(DiskError):
        replica.append(HardState(2, "c"), EntriesRecord(entries_from(4, 2, [900])))
    files.refuses_syncs = False
    files.kill()
    replica.start()
    files.lose_power("all")
    replica.start()
    assert replica.view == view
