"""A data folder on a disk that refuses writes."""

from __future__ import annotations

import errno

from apricotvale.consensus.disk import FolderDisk


class RefusingDisk(FolderDisk):
    """A disk that refuses writes while `refuses` is set."""

    refuses = False

    def append(self, name, data):
        self.check()
        super().append(name, data)

    def replace(self, name, data):
        self.check()
        super().replace(name, data)

    def check(self):
        if self.refuses:
            raise OSError(errno.ENOSPC, "no space left on device")
