"""Start a role of the deployment with a disk whose syncs are recorded and can be delayed.

`python tests/soak_disk.py ROLE` runs `deploy/start.py`. The folder `SOAK_RECORD` gets the file
`record`, from which `tests.soak_power` computes what a loss of power takes back, and the former
content of files that were replaced, removed or truncated. The file `delay` in it has the seconds
that a sync takes; a sync fails if they are negative. Without the variable the disk is left as it
is. `SOAK_LINKS` has the addresses to connect to in place of others.
"""

from __future__ import annotations

import errno
import itertools
import json
import os
import runpy
import shutil
import stat
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
POLL_S = 0.01


class RecordedFiles:
    """The functions of `os` that a data folder calls, with a record of what is durable."""

    def __init__(self, folder):
        self.folder = folder
        self.record_fd = os.open(folder / "record", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.numbers = itertools.count(time.monotonic_ns())

    def __getattr__(self, name):
        return getattr(os, name)

    def record(self, *fields):
        os.write(self.record_fd, json.dumps(fields).encode() + b"\n")

    def save(self, path, copy=False):
        """Keep a file's content; return the name that it is kept under, empty if it is missing."""
        if not path.exists():
            return ""
        kept = f"{next(self.numbers)}-{path.name}"
        (shutil.copyfile if copy else os.link)(path, self.folder / kept)
        return kept

    def wait(self):
        """Wait for a sync.

        :raises OSError: if the disk refuses writes, which a negative delay stands for.
        """
        began_at = time.monotonic()
        while True:
            try:
                delay_s = float((self.folder / "delay").read_text())
            except (OSError, ValueError):
                delay_s = 0.0
            if delay_s < 0:
                raise OSError(errno.EIO, "the disk refuses writes")
            left_s = began_at + delay_s - time.monotonic()
            if left_s <= 0:
                return
            time.sleep(min(POLL_S, left_s))

    def open(self, path, flags, mode=0o777):
        is_new = flags & os.O_CREAT and not Path(path).exists()
        if is_new or flags & os.O_TRUNC:
            self.record("create", Path(path).name)
        return os.open(path, flags, mode)

    def fsync(self, fd):
        """Make a file or folder durable; the simulated loss of power needs no real sync."""
        state = os.fstat(fd)
        self.wait()
        if stat.S_ISDIR(state.st_mode):
            self.record("folder")
        else:
            self.record("sync", Path(os.readlink(f"/proc/self/fd/{fd}")).name, state.st_size)

    fdatasync = fsync

    def replace(self, source, target):
        source, target = Path(source), Path(target)
        self.record("rename", source.name, target.name, self.save(target))
        os.replace(source, target)

    def unlink(self, path):
        self.record("remove", Path(path).name, self.save(Path(path)))
        os.unlink(path)

    def ftruncate(self, fd, size):
        path = Path(os.readlink(f"/proc/self/fd/{fd}"))
        self.record("cut", path.name, self.save(path, copy=True))
        os.ftruncate(fd, size)


def map_hosts(hosts):
    """Connect to other addresses than those that are called.

    :param hosts: addresses to connect to, by the addresses called.
    """
    from grpclib.client import Channel

    create = Channel.__init__

    def create_mapped(self, host=None, *args, **options):
        create(self, hosts.get(host, host), *args, **options)

    Channel.__init__ = create_mapped


def main():
    # The folder of this module has modules with the names of others, such as `site`.
    sys.path[0] = str(ROOT / "src")
    if os.environ.get("SOAK_RECORD"):
        from apricotvale.consensus import disk

        disk.os = RecordedFiles(Path(os.environ["SOAK_RECORD"]))
    if os.environ.get("SOAK_LINKS"):
        map_hosts(json.loads(os.environ["SOAK_LINKS"]))
    sys.argv[0] = str(ROOT / "deploy" / "start.py")
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
