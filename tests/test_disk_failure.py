"""A control replica whose disk refuses writes for a while goes on once the disk accepts them."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale import clock
from apricotvale.codec import encode
from apricotvale.consensus.storage import Storage
from apricotvale.consensus.types import Timing
from apricotvale.control import commands as c
from apricotvale.control.calls import CONTROL
from apricotvale.control.state import ControlState
from apricotvale.daemons.peers import fixed_peers
from apricotvale.daemons.replica import LostLeadership, Replica
from tests.platform_site import table
from tests.refusing_disk import Refusals, RefusingDisk
from tests.replicas import MemoryDisk

TIMEOUT_S = 10.0


class RefusingMemoryDisk(Refusals, MemoryDisk):
    """A disk in memory that may refuse writes."""


@pytest.fixture
def disk():
    return RefusingMemoryDisk()


@pytest.fixture
async def replica(disk):
    """Return the only replica of a group, which leads."""
    peers = fixed_peers("a", {"a": "127.0.0.1:1"}, CONTROL)
    replica = Replica(peers, Storage(disk, "a"), Timing(), lambda: None, ControlState())
    task = asyncio.create_task(replica.run())
    await wait_until(lambda: replica.leads)
    yield replica
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def wait_until(condition):
    deadline = clock.now() + TIMEOUT_S
    while not condition():
        assert clock.now() < deadline, "the condition is not met in time"
        await asyncio.sleep(0.02)


async def publish(replica, version):
    command = c.Publish("trainer", "model", version)
    return await replica.propose(encode(command, c.Command))


def published(replica):
    return replica.state.rollout.state.targets.get("model")


async def test_a_replica_serves_again_after_its_disk_has_refused_writes(replica, disk):
    await publish(replica, 1)
    disk.refuses = True
    assert isinstance(await publish(replica, 2), LostLeadership)
    assert not replica.leads
    await asyncio.sleep(1.5)
    assert not replica.leads, "the replica leads although its disk refuses writes"
    assert not replica.node.leader_id, "callers are sent to a leader of the time before"
    disk.refuses = False
    await wait_until(lambda: replica.leads and published(replica) == 1)
    await publish(replica, 3)
    assert published(replica) == 3
    assert Storage(disk, "a").stored.entries == replica.node.log.entries


async def test_a_group_bears_a_loss_after_the_disk_of_a_member_has_refused_writes(site):
    leader = next(n for n, control in enumerate(site.controls) if control.replica.leads)
    failing, third = (n for n in range(3) if n != leader)
    control = site.controls[failing]

    async def put_table(version):
        await site.wait_until(
            lambda: site.put_table(table(version), at=failing), lambda status: status == 200
        )

    async def has_failed():
        return control.replica.storage.failed is not None

    async def version():
        return control.state.table.version

    control.disk.__class__ = RefusingDisk
    control.disk.refuses = True
    await put_table(2)
    await site.wait_until(has_failed, bool)
    control.disk.refuses = False
    site.tasks[third].cancel()
    await put_table(3)
    await site.wait_until(version, lambda found: found == 3)
