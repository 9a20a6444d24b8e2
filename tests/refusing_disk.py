"""Disks that refuse writes."""

from __future__ import annotations

import errno

from apricotvale.consensus.disk import FolderDisk


class Refusals:
    """Makes a disk refuse writes while `refuses` is set; what it holds can be read."""

    refuses = False

    def append(self, name, data):
        self.check_refusal()
        super().append(name, data)

    def replace(self, name, data, syncs_name=True):
        self.check_refusal()
        super().replace(name, data, syncs_name)

    def sync(self, name):
        self.check_refusal()
        super().sync(name)

    def check_refusal(self):
        if self.refuses:
            raise OSError(errno.ENOSPC, "no space left on device")


class RefusingDisk(Refusals, FolderDisk):
    """A data folder whose disk may refuse writes."""
