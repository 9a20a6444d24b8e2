"""Data folder on the file system; writes are synced to disk before each call returns."""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path

from apricotvale.exceptions import FolderInUseError

LOCK_FILE = "lock"
NEW_SUFFIX = ".new"
READ_BYTES = 1024 * 1024


def lock(folder: Path) -> int:
    """Lock a folder until the process exits or the descriptor is closed.

    :raises FolderInUseError: if another process holds the lock.
    """
    fd = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o644)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(fd)
        raise FolderInUseError(str(folder)) from error
    return fd


def write_all(fd: int, data: bytes) -> None:
    """Write data to a file; a single write may be incomplete."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


class FolderDisk:
    """Files in one folder, locked against use by another process.

    The file last appended to stays open; a replaced file is renamed into place. Replacements that
    an earlier process did not complete are removed.
    """

    def __init__(self, folder: Path) -> None:
        os.makedirs(folder, exist_ok=True)
        self.folder = folder
        self.lock_fd = lock(folder)
        self.open_name = ""
        self.open_fd = -1
        self.open_size = 0
        for name in os.listdir(folder):
            if name.endswith(NEW_SUFFIX):
                os.unlink(folder / name)

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if it does not exist."""
        try:
            fd = os.open(self.folder / name, os.O_RDONLY)
        except FileNotFoundError:
            return None
        try:
            return b"".join(iter(lambda: os.read(fd, READ_BYTES), b""))
        finally:
            os.close(fd)

    def names(self) -> list[str]:
        """Return the sorted file names, without the lock and incomplete replacements."""
        names = os.listdir(self.folder)
        return sorted(n for n in names if n != LOCK_FILE and not n.endswith(NEW_SUFFIX))

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, which is created if missing, and sync it."""
        if name != self.open_name:
            self.close()
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.open_fd = os.open(self.folder / name, flags, 0o644)
            self.open_name = name
            self.open_size = os.fstat(self.open_fd).st_size
            self.sync_folder()
        try:
            write_all(self.open_fd, data)
            os.fdatasync(self.open_fd)
        except OSError:
            # After a failed sync the data can be read until the power is lost, and later syncs
            # succeed without it. The next process must not take it for synced.
            with suppress(OSError):
                os.ftruncate(self.open_fd, self.open_size)
            raise
        self.open_size += len(data)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and sync it."""
        self.close()
        new = self.folder / f"{name}{NEW_SUFFIX}"
        fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.replace(new, self.folder / name)
        self.sync_folder()

    def sync(self, name: str) -> None:
        """Sync a file, and the names of all files."""
        fd = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
        self.sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes and sync it."""
        self.close()
        fd = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        if name == self.open_name:
            self.close()
        with suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Sync the folder, which makes file creations and renames durable."""
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def release(self) -> None:
        """Close the open file and release the folder's lock."""
        self.close()
        os.close(self.lock_fd)

    def close(self) -> None:
        """Close the file that is open for appends."""
        if self.open_fd >= 0:
            os.close(self.open_fd)
        self.open_fd = -1
        self.open_name = ""
