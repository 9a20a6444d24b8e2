"""Random walks of an open group through successive faults, each of which it must tolerate."""

from __future__ import annotations

import random

import pytest

from apricotvale.consensus import membership
from apricotvale.consensus.messages import Group
from apricotvale.control import commands as c
from tests.operations import is_complete, open_group
from tests.replicas import MemoryDisk

WALKS_IN_CI = 30
FAULTS_PER_WALK = 6
CALL_TIMEOUT_S = 12.0
RECOVERY_TIMEOUT_S = 20.0
RESTART_DELAYS_S = (0.0, 0.3, 0.6, 3.0)
OUTAGES_S = (1.0, 2.0, 7.4)
LOSS_RATES = (0.0, 0.0, 0.05)
MAX_WRITE_S = 0.3
MAX_EXTRA_DELAYS_S = (0.002, 0.05, 0.2)


def lose_disk(group, host, rng):
    group.wipe(host)
    host.restart_at = group.now + rng.choice(RESTART_DELAYS_S)


def partition(group, host, rng):
    group.partitioned_until[host.name] = group.now + rng.choice(OUTAGES_S)


def pause(group, host, rng):
    host.paused_until = group.now + rng.choice(OUTAGES_S)


def crash(group, host, rng):
    group.crash(host, rng.choice((*RESTART_DELAYS_S, 6.0)))


def crash_all(group, host, rng):
    for each in group.hosts.values():
        group.crash(each, 0.3 + 0.3 * rng.random())


def crash_all_and_lose_a_disk(group, host, rng):
    host.disk = MemoryDisk()
    crash_all(group, host, rng)


FAULTS = (lose_disk, partition, pause, crash, crash_all, crash_all_and_lose_a_disk)


class Walk:
    """One random walk; `run` raises AssertionError with the fault that was not tolerated."""

    def __init__(self, seed, max_write_s=0.0):
        self.rng = random.Random(seed)
        self.group = open_group(seed)
        self.group.max_write_s = max_write_s
        self.version = 0
        self.loss_rate = self.rng.choice(LOSS_RATES)
        self.max_extra_delay_s = self.rng.choice(MAX_EXTRA_DELAYS_S)
        self.post = self.group.post
        self.group.post = self.post_with_network_faults

    def post_with_network_faults(self, source, message, delay):
        """Drop some messages and delay the others at random."""
        if self.rng.random() >= self.loss_rate:
            self.post(source, message, delay + self.max_extra_delay_s * self.rng.random())

    def publish(self):
        self.version += 1
        call = self.group.call(c.Publish("trainer", "model", self.version))
        return self.group.run_until(lambda: call.result is not None, CALL_TIMEOUT_S)

    def has_recovered(self):
        leader = self.group.leader()
        if not is_complete(self.group):
            return False
        return leader.state.rollout.state.targets.get("model") == self.version

    def run(self):
        for step in range(FAULTS_PER_WALK):
            assert self.publish(), f"no answer before fault {step}"
            fault = self.rng.choice(FAULTS)
            host = self.rng.choice(list(self.group.hosts.values()))
            description = f"fault {step}, {fault.__name__} at {host.name}, {self.group.now:.1f} s"
            fault(self.group, host, self.rng)
            assert self.rng.random() < 0.3 or self.publish(), f"no answer during {description}"
            hosts = self.group.hosts.values()
            ends = [
                max(self.group.partitioned_until.get(h.name, 0), h.restart_at, h.paused_until)
                for h in hosts
            ]
            self.group.run(max(0.0, max(ends) - self.group.now))
            assert self.group.run_until(
                self.has_recovered, RECOVERY_TIMEOUT_S
            ), f"not recovered after {description}"


# Seed 2274: a voter returned while it was being replaced, and another lost its disk at that moment.
# Seed 11094: votes took longer than the candidates waited for them.
@pytest.mark.parametrize("seed", [*range(WALKS_IN_CI), 2274, 11094])
def test_the_group_recovers_from_successive_faults(seed):
    Walk(seed).run()


@pytest.mark.parametrize("seed", range(WALKS_IN_CI))
def test_the_group_recovers_from_successive_faults_with_slow_disks(seed):
    Walk(seed, MAX_WRITE_S).run()


def promote_no_learner(view):
    """Bug: no learner is promoted."""
    del view


def half_is_enough(group):
    """Bug: half of the voters form a quorum."""
    return max(1, len(group.voters()) // 2)


@pytest.mark.parametrize(
    "owner, name, bug",
    [(membership, "learner_to_promote", promote_no_learner), (Group, "quorum", half_is_enough)],
)
def test_a_seeded_bug_is_found(monkeypatch, owner, name, bug):
    monkeypatch.setattr(owner, name, bug)
    with pytest.raises(AssertionError):
        for seed in range(WALKS_IN_CI):
            Walk(seed).run()
