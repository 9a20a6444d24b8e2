"""Durable state of a replica: hard state, log segments and the snapshot, in one data folder.

Each append is framed by length and checksum. A torn append at the end of the last segment was never
acknowledged and is truncated; a folder with damage anywhere else is refused.
"""

from __future__ import annotations

import re
import struct
import uuid
import zlib
from collections.abc import Iterator
from typing import Protocol

from attrs import evolve, frozen

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import Entry, HardState, Part, Snapshot
from apricotvale.exceptions import DataFolderError, DataFormatError, DiskError, IdentityError
from apricotvale.hashing import digest

# Version 1 framed each record of an append by itself; such folders are read too.
FORMAT_VERSION = 2
FRAME = struct.Struct("<II")
META_FILE = "meta"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "segment-"
PART_PREFIX = "part-"


class Disk(Protocol):
    """File operations that storage needs; data is durable only once it is synced."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if it does not exist."""

    def names(self) -> list[str]:
        """Return the sorted file names."""

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file and sync it."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and sync it."""

    def sync(self, name: str) -> None:
        """Sync a file, and the names of all files."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes and sync it."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""


@frozen
class Meta:
    """Identity of a data folder, stored in its `meta` file."""

    format_version: int
    name: str
    data_id: str


@frozen
class EntriesRecord:
    """Record of appended entries; they replace all entries from the first one's index on."""

    entries: list[Entry]


@frozen
class TruncateRecord:
    """Record of a truncation: all entries after index `last` are dropped."""

    last: int


@frozen
class Stored:
    """State loaded from a data folder at start."""

    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[Entry]

    @property
    def empty(self) -> bool:
        """Return whether the replica has never been part of a group."""
        return self.snapshot is None and not self.entries


Record = HardState | EntriesRecord | TruncateRecord


@frozen
class Batch:
    """The records of one append.

    A power loss may tear an append anywhere. In one frame, all of its records are lost together;
    in frames of their own, an intact record could follow a damaged one, as after bit rot.
    """

    records: list[Record]


Framed = Record | Batch


def part_name(part: Part) -> str:
    """Return the file name of a part."""
    return f"{PART_PREFIX}{part.digest}"


def frame(body: bytes) -> bytes:
    """Return a record body prefixed with its length and checksum."""
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def unframe(data: bytes) -> tuple[list[bytes], int]:
    """Return the intact records at the start of `data` and the offset where they end."""
    bodies = []
    offset = 0
    while offset + FRAME.size <= len(data):
        length, checksum = FRAME.unpack_from(data, offset)
        body = data[offset + FRAME.size : offset + FRAME.size + length]
        if len(body) < length or zlib.crc32(body) != checksum or not length:
            break
        bodies.append(body)
        offset += FRAME.size + length
    return bodies, offset


def records_in(body: bytes) -> list[Record]:
    """Return the records of a frame's body."""
    framed: Framed = decode(body, Framed)
    return framed.records if isinstance(framed, Batch) else [framed]


class Storage:
    """A replica's data folder.

    After a failed write every later write fails too, since the replica must not vote on state that
    may not be on disk.

    :raises DataFolderError: if the folder is damaged or incomplete.
    :raises DataFormatError: if a newer version wrote the folder.
    :raises IdentityError: if the folder belongs to another replica.
    """

    def __init__(self, disk: Disk, name: str) -> None:
        self.disk = disk
        self.failed: DiskError | None = None
        self.meta = self.load_meta(name)
        self.segment = 0
        self.part_names = {name for name in disk.names() if name.startswith(PART_PREFIX)}
        self.stored = self.load()
        if self.meta.format_version < FORMAT_VERSION:
            self.meta = evolve(self.meta, format_version=FORMAT_VERSION)
            self.disk.replace(META_FILE, frame(encode(self.meta, Meta)))

    def load_meta(self, name: str) -> Meta:
        """Read the folder's identity, or create one if the folder is empty."""
        content = self.disk.read(META_FILE)
        if content is None:
            if self.disk.names():
                raise DataFolderError(
                    "the data folder has log files but no identity file; "
                    "restore that file or empty the folder"
                )
            meta = Meta(FORMAT_VERSION, name, uuid.uuid4().hex)
            self.disk.replace(META_FILE, frame(encode(meta, Meta)))
            return meta
        bodies, _ = unframe(content)
        if not bodies:
            raise DataFolderError("the identity file is damaged; empty the folder to rejoin")
        meta = decode(bodies[0], Meta)
        if meta.format_version > FORMAT_VERSION:
            raise DataFormatError(meta.format_version, FORMAT_VERSION)
        if meta.name != name:
            raise IdentityError(meta.name, name)
        return meta

    def load(self) -> Stored:
        """Read the snapshot and replay the segments, once all that they show is synced.

        A process that was killed may have left an append or a new name without its sync. The
        replica acts on what it loads, so a later power loss must not take it back.
        """
        snapshot = self.load_snapshot()
        hard_state = HardState()
        entries: list[Entry] = []
        segments = [name for name in self.disk.names() if name.startswith(SEGMENT_PREFIX)]
        self.disk.sync(segments[-1] if segments else META_FILE)
        for name in segments:
            for record in self.load_segment(name, name == segments[-1]):
                if isinstance(record, HardState):
                    hard_state = record
                elif isinstance(record, TruncateRecord):
                    entries = [entry for entry in entries if entry.index <= record.last]
                else:
                    entries = replay(entries, record.entries)
            self.segment = int(name.removeprefix(SEGMENT_PREFIX))
        kept = joined(snapshot, entries)
        check_contiguous(snapshot, kept)
        newest_term = max([snapshot.term if snapshot else 0, *(entry.term for entry in kept[-1:])])
        if hard_state.term < newest_term:
            hard_state = with_term(hard_state, newest_term)
        if len(kept) < len(entries):
            self.start_segment(hard_state, kept)
        return Stored(hard_state, snapshot, kept)

    def load_snapshot(self) -> Snapshot | None:
        """Read the snapshot file, or return None if there is none."""
        content = self.disk.read(SNAPSHOT_FILE)
        if content is None:
            return None
        bodies, end = unframe(content)
        if len(bodies) != 1 or end != len(content):
            raise DataFolderError("the snapshot file is damaged; empty the folder to rejoin")
        return decode(bodies[0], Snapshot)

    def has_part(self, part: Part) -> bool:
        """Return whether a part of a snapshot is in the folder."""
        return part_name(part) in self.part_names

    def load_part(self, part: Part) -> bytes:
        """Read a part of a snapshot.

        :raises DataFolderError: if the part is missing or damaged.
        """
        content = self.disk.read(part_name(part))
        if content is None or digest(content) != part.digest:
            problem = "missing" if content is None else "damaged"
            raise DataFolderError(
                f"the snapshot's file {part_name(part)} is {problem}; empty the folder to rejoin"
            )
        return content

    def load_parts(self, snapshot: Snapshot | None) -> Iterator[bytes]:
        """Read the parts of a snapshot one after the other."""
        for part in snapshot.parts if snapshot else ():
            yield self.load_part(part)

    def save_part(self, part: Part, content: bytes) -> None:
        """Write a part of a snapshot that is to be saved, unless the folder has it already.

        :raises DiskError: if the disk fails.
        """
        if self.failed:
            raise self.failed
        if self.has_part(part):
            return
        try:
            self.disk.replace(part_name(part), content)
        except OSError as error:
            raise self.fail(error) from error
        self.part_names.add(part_name(part))

    def load_segment(self, name: str, is_last: bool) -> list[Record]:
        """Read one segment; a torn append at the end of the last segment is truncated."""
        data = self.disk.read(name) or b""
        bodies, end = unframe(data)
        records = [record for body in bodies for record in records_in(body)]
        if end == len(data):
            return records
        if not is_last or holds_record_after(data, end):
            raise DataFolderError(f"{name} is damaged at byte {end}; empty the folder to rejoin")
        self.disk.truncate(name, end)
        return records

    def append(self, records: list[Record]) -> None:
        """Append records to the current segment with a single sync."""
        if self.failed:
            raise self.failed
        data = frame(encode(Batch(records), Framed))
        try:
            self.disk.append(self.segment_name(), data)
        except OSError as error:
            raise self.fail(error) from error

    def save_snapshot(self, snapshot: Snapshot, hard_state: HardState, kept: list[Entry]) -> None:
        """Write a snapshot and a new segment with the kept entries, then remove what they replace.

        The snapshot's parts have to be saved before.
        """
        if self.failed:
            raise self.failed
        try:
            self.disk.replace(SNAPSHOT_FILE, frame(encode(snapshot, Snapshot)))
            self.start_segment(hard_state, kept)
            for name in self.part_names - {part_name(part) for part in snapshot.parts}:
                self.disk.remove(name)
                self.part_names.discard(name)
        except OSError as error:
            raise self.fail(error) from error

    def start_segment(self, hard_state: HardState, kept: list[Entry]) -> None:
        """Write a new segment that replaces all others, and remove these."""
        records: list[Record] = [hard_state, TruncateRecord(0), EntriesRecord(kept)]
        self.segment += 1
        content = b"".join(frame(encode(record, Framed)) for record in records)
        self.disk.replace(self.segment_name(), content)
        for name in self.disk.names():
            if name.startswith(SEGMENT_PREFIX) and name < self.segment_name():
                self.disk.remove(name)

    def segment_name(self) -> str:
        """Return the file name of the current segment."""
        return f"{SEGMENT_PREFIX}{self.segment:010d}"

    def fail(self, error: OSError) -> DiskError:
        """Mark the storage as failed; after a failed sync the content on disk is unknown."""
        self.failed = DiskError(str(error), error.errno or 0)
        return self.failed


def replay(entries: list[Entry], added: list[Entry]) -> list[Entry]:
    """Return the log after appending entries, which replace those from the first one's index on."""
    if not added:
        return entries
    first = added[0].index
    if entries and first == entries[-1].index + 1:
        entries.extend(added)
        return entries
    return [entry for entry in entries if entry.index < first] + list(added)


def joined(snapshot: Snapshot | None, entries: list[Entry]) -> list[Entry]:
    """Return the entries without those that a snapshot covers, if they do not lead to it.

    A snapshot of the leader is stored before the segment that replaces the log. If the process
    ends in between, the old log may end before the snapshot or differ from it. Entries beyond the
    snapshot stay: they are the leader's next ones, or an uncommitted end that it will replace.
    """
    if snapshot is None or (snapshot.index, snapshot.term) in ((e.index, e.term) for e in entries):
        return entries
    return [entry for entry in entries if entry.index > snapshot.index]


def holds_record_after(data: bytes, offset: int) -> bool:
    """Return whether an intact record follows the damaged one at `offset`.

    Load pattern: an append of megabytes was torn, and callers wait for the replica to start. Only
    places are tried whose length is neither 0 nor more than the size of the data.
    """
    view = memoryview(data)
    highest_byte = re.escape(bytes([len(data) >> 24]))
    places = re.compile(rb"(?s)(?=(?!\0{4})...[\0-" + highest_byte + rb"])")
    for match in places.finditer(data, offset + 1, max(0, len(data) - FRAME.size + 4)):
        start = match.start()
        length, checksum = FRAME.unpack_from(data, start)
        body = view[start + FRAME.size : start + FRAME.size + length]
        if len(body) == length and zlib.crc32(body) == checksum:
            return True
    return False


def check_contiguous(snapshot: Snapshot | None, entries: list[Entry]) -> None:
    """Check that the log has no gap and reaches back to the snapshot.

    :raises DataFolderError: if entries are missing.
    """
    for before, after in zip(entries, entries[1:], strict=False):
        if after.index != before.index + 1:
            raise DataFolderError(
                f"the log has a gap: entry {before.index} is followed by {after.index}"
            )
    covered = snapshot.index if snapshot else 0
    if entries and entries[0].index > covered + 1:
        raise DataFolderError(
            f"the log starts at entry {entries[0].index}, but the snapshot ends at entry {covered}"
        )


def with_term(hard_state: HardState, term: int) -> HardState:
    """Return the hard state for a newer term, with no vote cast."""
    return evolve(hard_state, term=term, voted_for="")
