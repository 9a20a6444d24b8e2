"""A simulated file system beneath FolderDisk: it stands in for the `os` module of disk.py.

Names and contents that were not synced may be lost at a power loss, each independently; a write
may also be torn. A function of `os` that is not simulated raises AttributeError.
"""

from __future__ import annotations

import errno
import os
from types import SimpleNamespace

from attrs import define, field

from apricotvale.consensus import disk

SECTORS_BYTES = (512, 4096)
# A larger write is incomplete, so that processes also end between the parts of one append.
MAX_WRITE_BYTES = 3000
# What remains of the writes that were not synced; the last one draws it for each write.
LOSSES = ("none", "all", "some")


class ProcessEnd(Exception):
    """The process ends before a step: it was killed, or its machine lost power."""


@define
class Write:
    """A write that is not synced."""

    offset: int
    data: bytes


@define
class Truncation:
    """A new length that is not synced."""

    size: int


@define(eq=False)
class Inode:
    """A file.

    :param synced: the content that the last sync covered.
    :param changes: writes and truncations since then, in order.
    """

    content: bytearray = field(factory=bytearray)
    synced: bytes = b""
    changes: list[Write | Truncation] = field(factory=list)

    def sync(self):
        content = bytearray(self.synced)
        for change in self.changes:
            if isinstance(change, Truncation):
                del content[change.size :]
            else:
                put(content, change.offset, change.data)
        self.synced = bytes(content)
        self.changes = []

    def lose_power(self, loss, rng):
        """Return the content after a power loss."""
        if loss == "none":
            return bytes(self.content)
        content = bytearray(self.synced)
        if loss == "all":
            return bytes(content)
        length = len(content)
        for change in self.changes:
            outcome = rng.choice(("present", "missing", "torn"))
            if isinstance(change, Truncation):
                if outcome == "present":
                    del content[change.size :]
                continue
            length = max(length, change.offset + len(change.data))
            for start, end in kept_ranges(change, outcome, rng):
                put(content, change.offset + start, change.data[start:end])
        if rng.random() < 0.3:
            content.extend(bytes(max(0, length - len(content))))
        return bytes(content)


@define
class OpenFile:
    """An open file, or the folder if `inode` is None."""

    inode: Inode | None
    position: int = 0
    appends: bool = False


def kept_ranges(write, outcome, rng):
    """Return the ranges of a write that are on the disk, in bytes from its start."""
    size = len(write.data)
    if outcome == "missing":
        return []
    if outcome == "present":
        return [(0, size)]
    cut = rng.randint(0, size)
    how = rng.choice(("head", "tail", "sectors"))
    if how == "head":
        return [(0, cut)]
    if how == "tail":
        return [(cut, size)]
    sector = rng.choice(SECTORS_BYTES)
    bounds = [*range(-(write.offset % sector), size, sector), size]
    pairs = zip(bounds, bounds[1:], strict=False)
    return [(max(0, start), end) for start, end in pairs if rng.random() < 0.5]


def put(content, offset, data):
    """Write data at an offset; a hole before it reads as zeros."""
    content.extend(bytes(max(0, offset - len(content))))
    content[offset : offset + len(data)] = data


class SimulatedFiles:
    """One folder, with the functions of `os` that FolderDisk calls.

    :param rng: draws what a power loss leaves.
    """

    O_RDONLY, O_WRONLY, O_RDWR = os.O_RDONLY, os.O_WRONLY, os.O_RDWR
    O_CREAT, O_TRUNC, O_APPEND = os.O_CREAT, os.O_TRUNC, os.O_APPEND

    def __init__(self, rng):
        self.rng = rng
        self.names = {}
        self.synced_names = {}
        self.name_changes = []
        self.opened = {}
        self.next_fd = 3
        self.steps = 0
        self.end_at = None
        self.refuses_writes = False
        self.refuses_syncs = False

    # Faults

    def next_step(self):
        """Count a step, or end the process before it."""
        if self.end_at is not None and self.steps >= self.end_at:
            raise ProcessEnd
        self.steps += 1

    def end_in(self, steps):
        """End the process before the step that follows this many steps; None for never."""
        self.end_at = None if steps is None else self.steps + steps

    def kill(self):
        """End the process; files keep what was written."""
        self.opened = {}
        self.end_at = None

    def lose_power(self, loss):
        """End the process; what was not synced is kept or lost."""
        self.kill()
        names = dict(self.names if loss == "none" else self.synced_names)
        if loss == "some":
            for name, inode in self.name_changes:
                if self.rng.random() < 0.5:
                    continue
                if inode is None:
                    names.pop(name, None)
                else:
                    names[name] = inode
        inodes = {id(inode): inode for inode in names.values()}
        for inode in inodes.values():
            inode.content = bytearray(inode.lose_power(loss, self.rng))
            inode.synced, inode.changes = bytes(inode.content), []
        self.names = names
        self.sync_names()

    def sync_names(self):
        self.synced_names = dict(self.names)
        self.name_changes = []

    def set_name(self, name, inode):
        self.names[name] = inode
        self.name_changes.append((name, inode))

    def remove_name(self, name):
        del self.names[name]
        self.name_changes.append((name, None))

    # Functions of os

    def makedirs(self, folder, exist_ok):
        self.folder = folder

    def listdir(self, folder):
        return list(self.names)

    def open(self, path, flags, mode=0o777):
        if path == self.folder:
            return self.add_fd(OpenFile(None))
        name = path.name
        if name not in self.names:
            if not flags & os.O_CREAT:
                raise FileNotFoundError(name)
            self.next_step()
            self.set_name(name, Inode())
        opened = OpenFile(self.names[name], appends=bool(flags & os.O_APPEND))
        fd = self.add_fd(opened)
        if flags & os.O_TRUNC and opened.inode.content:
            self.ftruncate(fd, 0)
        return fd

    def add_fd(self, opened):
        self.next_fd += 1
        self.opened[self.next_fd] = opened
        return self.next_fd

    def close(self, fd):
        self.opened.pop(fd, None)

    def read(self, fd, size):
        opened = self.opened[fd]
        data = bytes(opened.inode.content[opened.position : opened.position + size])
        opened.position += len(data)
        return data

    def fstat(self, fd):
        return SimpleNamespace(st_size=len(self.opened[fd].inode.content))

    def write(self, fd, data):
        self.next_step()
        if self.refuses_writes:
            raise OSError(errno.ENOSPC, "no space left on device")
        opened = self.opened[fd]
        if opened.appends:
            opened.position = len(opened.inode.content)
        written = bytes(data[:MAX_WRITE_BYTES])
        opened.inode.changes.append(Write(opened.position, written))
        put(opened.inode.content, opened.position, written)
        opened.position += len(written)
        return len(written)

    def ftruncate(self, fd, size):
        self.next_step()
        inode = self.opened[fd].inode
        inode.changes.append(Truncation(size))
        del inode.content[size:]

    def fsync(self, fd):
        """Sync a file or the folder.

        After a failed sync the kernel takes what was written for clean: later syncs succeed
        without it, although it can be read until the power is lost.
        """
        self.next_step()
        inode = self.opened[fd].inode
        if self.refuses_syncs:
            if inode is not None:
                inode.changes = []
            raise OSError(errno.EIO, "input/output error")
        if inode is None:
            self.sync_names()
        else:
            inode.sync()

    def fdatasync(self, fd):
        self.fsync(fd)

    def replace(self, source, target):
        self.next_step()
        self.set_name(target.name, self.names[source.name])
        self.remove_name(source.name)

    def unlink(self, path):
        if path.name not in self.names:
            raise FileNotFoundError(path.name)
        self.next_step()
        self.remove_name(path.name)


def simulate_files(monkeypatch, rng):
    """Return simulated files, which FolderDisk uses from now on."""
    files = SimulatedFiles(rng)
    lock = SimpleNamespace(flock=lambda fd, how: None, LOCK_EX=0, LOCK_NB=0)
    monkeypatch.setattr(disk, "os", files)
    monkeypatch.setattr(disk, "fcntl", lock)
    return files
