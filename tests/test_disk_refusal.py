"""Replicas whose disk refuses writes for a while, as a full disk does."""

from __future__ import annotations

import asyncio
import errno

from tests.platform_site import table

# Longer than the search for a leader and an election take on a busy machine.
RECOVERY_S = 12.0


async def test_a_replica_whose_disk_refused_writes_takes_part_again(site, monkeypatch):
    """Guards against a group that stops for good at the next lost replica."""
    refused, lost = (n for n, control in enumerate(site.controls) if not control.replica.leads)
    disk = site.controls[refused].replica.storage.disk
    append = disk.append
    refusals = []

    def refuse(name, data):
        refusals.append(name)
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(disk, "append", refuse)
    await site.put_table_until_accepted(table(2))

    async def count():
        return len(refusals)

    await site.wait_until(count, lambda found: found > 0)
    monkeypatch.setattr(disk, "append", append)
    await asyncio.sleep(1.0)
    task = site.tasks.pop(lost)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    leader = next(n for n, control in enumerate(site.controls) if n not in (refused, lost))

    async def put():
        return await site.put_table(table(3), at=leader)

    await site.wait_until(put, lambda status: status == 200, timeout_s=RECOVERY_S)
