"""Random walks of a group through overlapping faults, while a disk has everything acknowledged.

As many disks are lost at a time as a quorum bears. A disk counts as lost until a fixed time after
its replica was started again, whether or not the replica could join in that time.
"""

from __future__ import annotations

import random

import pytest

from apricotvale.consensus.types import Role
from tests.lost_disks import (
    Records,
    is_whole,
    make_group,
    missing_in,
    missing_on_disk,
    published,
)
from tests.replicas import count_logged_commands

WALKS_IN_CI = 12
WALK_S = 25.0
COMMAND_INTERVAL_S = 0.3
READ_INTERVAL_S = 0.25
FAULT_INTERVALS_S = (0.1, 0.4, 0.8, 1.5, 3.0)
OUTAGES_S = (0.4, 1.2, 2.5, 4.5)
RESTART_DELAYS_S = (0.1, 0.4, 1.1, 2.0)
CATCH_UP_TIMES_S = (2.0, 4.3)
MAX_EXTRA_DELAYS_S = (0.0, 0.05, 0.2)
LOSS_RATES = (0.0, 0.0, 0.05)
WRITE_FAULTS = ("torn write", "crash before write", "crash after sync")
MAX_WRITE_S = 0.2
RECOVERY_S = 20.0
MIN_COMMANDS_TO_COMPACT = 5


def pause(walk, host):
    host.paused_until = walk.group.now + walk.rng.choice(OUTAGES_S)


def partition(walk, host):
    walk.group.partitioned_until[host.name] = walk.group.now + walk.rng.choice(OUTAGES_S)


def split(walk, host):
    names = sorted(walk.group.hosts)
    half = walk.rng.sample(names, len(names) // 2)
    walk.group.split(half, walk.rng.choice(OUTAGES_S))


def crash(walk, host):
    walk.group.crash(host, walk.rng.choice(RESTART_DELAYS_S))


def crash_all(walk, host):
    for each in walk.group.hosts.values():
        walk.group.crash(each, 0.3 + 0.5 * walk.rng.random())


def lose_power(walk, host):
    """All hosts lose power, some of them during a write."""
    for each in walk.group.hosts.values():
        if each.node is not None and each.write is not None and walk.rng.random() < 0.5:
            each.disk.next_append = walk.rng.choice(WRITE_FAULTS)
            each.write.ends_at = walk.group.now
            walk.group.process_ready(each)
    crash_all(walk, host)


def break_write(walk, host):
    host.disk.next_append = walk.rng.choice(WRITE_FAULTS)


def compact(walk, host):
    node = host.node
    if node is None or node.applied_index == node.log.snapshot.index:
        return
    if count_logged_commands(host) >= MIN_COMMANDS_TO_COMPACT:
        walk.group.compact(host)


def lose_disk(walk, host):
    if walk.may_lose_disk(host):
        walk.lose_disk(host)


def crash_all_and_lose_a_disk(walk, host):
    if walk.may_lose_disk(host):
        crash_all(walk, host)
        walk.lose_disk(host)


FAULTS = (
    pause,
    partition,
    split,
    crash,
    crash_all,
    lose_power,
    break_write,
    compact,
    lose_disk,
    lose_disk,
    lose_disk,
    crash_all_and_lose_a_disk,
)


class Walk:
    """One random walk; `run` raises AssertionError with what the group lost or did not answer."""

    def __init__(self, seed, size, is_open=True, spares=0):
        self.rng = random.Random(seed)
        max_write_s = self.rng.choice((0.0, MAX_WRITE_S))
        self.group = make_group(size, is_open, seed, max_write_s, spares)
        self.records = Records(self.group)
        self.reads = []
        self.leaders = {}
        self.tolerated = (size - 1) // 2
        self.lost_until = {}
        self.history = []
        self.catch_up_s = self.rng.choice(CATCH_UP_TIMES_S)
        self.loss_rate = self.rng.choice(LOSS_RATES)
        self.max_extra_delay_s = self.rng.choice(MAX_EXTRA_DELAYS_S)
        self.post = self.group.post
        self.group.post = self.post_with_network_faults

    def post_with_network_faults(self, source, message, delay):
        """Drop some messages and delay the others at random."""
        if self.rng.random() >= self.loss_rate:
            self.post(source, message, delay + self.max_extra_delay_s * self.rng.random())

    def may_lose_disk(self, host):
        """Return whether a disk may be lost now: another one has every acknowledged command."""
        lost = sum(until > self.group.now for until in self.lost_until.values())
        if lost >= self.tolerated:
            return False
        others = (other for other in self.group.hosts.values() if other is not host)
        return any(not missing_on_disk(other, self.records.acknowledged) for other in others)

    def lose_disk(self, host):
        self.group.wipe(host)
        host.restart_at = self.group.now + self.rng.choice(RESTART_DELAYS_S)
        self.lost_until[host.name] = host.restart_at + self.catch_up_s

    def run(self):
        try:
            self.run_with_faults()
            self.check_recovery()
        except AssertionError as error:
            raise AssertionError(f"{error}, after {self.history}") from error

    def run_with_faults(self):
        fault_at = self.group.now + 1.0
        command_at = read_at = self.group.now
        until = self.group.now + WALK_S
        while self.group.now < until:
            if self.group.now >= command_at:
                self.records.send()
                command_at = self.group.now + COMMAND_INTERVAL_S
            if self.group.now >= read_at:
                self.start_reads()
                read_at = self.group.now + READ_INTERVAL_S
            if self.group.now >= fault_at:
                self.inject_fault()
                fault_at = self.group.now + self.rng.choice(FAULT_INTERVALS_S)
            self.tick()

    def inject_fault(self):
        fault = self.rng.choice(FAULTS)
        host = self.rng.choice(list(self.group.hosts.values()))
        self.history.append((round(self.group.now, 2), fault.__name__, host.name))
        fault(self, host)

    def tick(self):
        self.group.tick()
        self.records.collect()
        self.check_leaders()
        self.check_reads()

    def check_leaders(self):
        for host in self.group.hosts.values():
            if host.node is not None and host.node.role is Role.LEADER:
                first = self.leaders.setdefault(host.node.term, host.node.data_id)
                assert first == host.node.data_id, f"two leaders in term {host.node.term}"

    def start_reads(self):
        """Start a read at each replica that takes itself for the leader."""
        for host in self.group.hosts.values():
            if host.node is not None and host.node.role is Role.LEADER:
                ticket = self.group.read(host)
                self.reads.append((host, host.node, ticket, dict(self.records.acknowledged)))

    def check_reads(self):
        """Check that confirmed reads have what was acknowledged before they began."""
        waiting = []
        for host, node, ticket, acknowledged in self.reads:
            if host.node is not node or host.reads.get(ticket) is False:
                continue
            if host.reads.get(ticket) is None:
                waiting.append((host, node, ticket, acknowledged))
                continue
            missing = missing_in(published(host.state), acknowledged)
            assert not missing, f"a read at {host.name} lacks {missing}"
        self.reads = waiting

    def check_recovery(self):
        """Bring everything back and check that nothing is lost."""
        group = self.group
        group.partitioned_until.clear()
        group.split_until = 0.0
        self.loss_rate = self.max_extra_delay_s = 0.0
        for host in group.hosts.values():
            host.paused_until = 0.0
            host.restart_at = min(host.restart_at, group.now)
            host.disk.next_append = None
        self.records.send()
        until = group.now + RECOVERY_S
        while group.now < until and (self.records.pending or not is_whole(group)):
            self.tick()
        missing = self.records.missing(RECOVERY_S)
        assert missing is not None, "no leader confirms a read"
        assert not missing, f"a read of the leader lacks {missing}"
        assert not self.records.pending, "a command has no answer"
        assert is_whole(group), "the group is not whole again"


@pytest.mark.parametrize("size", [3, 5, 7])
@pytest.mark.parametrize("seed", range(WALKS_IN_CI))
def test_nothing_is_lost_while_a_disk_has_everything(seed, size):
    Walk(seed, size).run()


@pytest.mark.parametrize("seed", range(WALKS_IN_CI))
def test_nothing_is_lost_in_a_closed_group(seed):
    Walk(seed, 3, is_open=False).run()


@pytest.mark.parametrize("seed", range(WALKS_IN_CI))
def test_nothing_is_lost_in_a_group_with_a_spare_learner(seed):
    Walk(seed, 3, spares=1).run()
