"""A control replica whose disk refuses writes for a while goes on once the disk accepts them."""

from __future__ import annotations

import asyncio
import errno

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
from tests.replicas import MemoryDisk

TIMEOUT_S = 10.0


class FailingDisk(MemoryDisk):
    """A disk that refuses all writes while it fails; data that was read is kept."""

    fails = False

    def append(self, name, data):
        self.check()
        super().append(name, data)

    def replace(self, name, data):
        self.check()
        super().replace(name, data)

    def sync(self, name):
        self.check()

    def check(self):
        if self.fails:
            raise OSError(errno.EIO, "the disk refuses writes")


@pytest.fixture
def disk():
    return FailingDisk()


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
    disk.fails = True
    assert isinstance(await publish(replica, 2), LostLeadership)
    assert not replica.leads
    await asyncio.sleep(1.5)
    assert not replica.leads, "the replica leads although its disk refuses writes"
    disk.fails = False
    await wait_until(lambda: replica.leads and published(replica) == 1)
    await publish(replica, 3)
    assert published(replica) == 3
    assert Storage(disk, "a").stored.entries == replica.node.log.entries
