"""Data folder on the file system; writes are synced to disk before each call returns."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from apricotvale.exceptions import FolderInUseError

LOCK_FILE = "lock"


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


class FolderDisk:
    """Files in one folder, locked against use by another process.

    The file last appended to stays open; a replaced file is renamed into place.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.lock_fd = lock(folder)
        self.open_name = ""
        self.open_fd = -1

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if it does not exist."""
        path = self.folder / name
        return path.read_bytes() if path.exists() else None

    def names(self) -> list[str]:
        """Return the sorted file names, without the lock and incomplete replacements (`.new`)."""
        names = (entry.name for entry in self.folder.iterdir() if entry.suffix != ".new")
        return sorted(name for name in names if name != LOCK_FILE)

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, which is created if missing, and sync it."""
        if name != self.open_name:
            self.close()
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.open_fd = os.open(self.folder / name, flags, 0o644)
            self.open_name = name
            self.sync_folder()
        view = memoryview(data)
        while view:
            view = view[os.write(self.open_fd, view) :]
        os.fdatasync(self.open_fd)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and sync it."""
        self.close()
        new = self.folder / f"{name}.new"
        with open(new, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, self.folder / name)
        self.sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes and sync it."""
        self.close()
        with open(self.folder / name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        if name == self.open_name:
            self.close()
        (self.folder / name).unlink(missing_ok=True)

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
