"""Random days of an open group: one fault after the other, each within what it is to bear."""

from __future__ import annotations

import random

import pytest

from apricotvale.consensus import membership
from apricotvale.consensus.messages import Group
from apricotvale.control import commands as c
from tests.operations import is_whole, open_group
from tests.replicas import MemoryDisk

WALKS_IN_CI = 30
STEPS = 6
ANSWER_S = 12.0
REPAIR_S = 20.0
DOWN_S = (0.0, 0.3, 0.6, 3.0)
SILENT_S = (1.0, 2.0, 7.4)
LOSSES = (0.0, 0.0, 0.05)
DELAYS_S = (0.002, 0.05, 0.2)


def lose_disk(group, host, rng):
    group.wipe(host)
    host.up_at = group.now + rng.choice(DOWN_S)


def cut_off(group, host, rng):
    group.cut[host.name] = group.now + rng.choice(SILENT_S)


def freeze(group, host, rng):
    host.frozen_until = group.now + rng.choice(SILENT_S)


def go_down(group, host, rng):
    group.crash(host, rng.choice((*DOWN_S, 6.0)))


def kill_all(group, host, rng):
    for each in group.hosts.values():
        group.crash(each, 0.3 + 0.3 * rng.random())


def kill_all_and_lose_a_disk(group, host, rng):
    host.disk = MemoryDisk()
    kill_all(group, host, rng)


FAULTS = (lose_disk, cut_off, freeze, go_down, kill_all, kill_all_and_lose_a_disk)


class Walk:
    """One random day; `check` raises AssertionError with the fault that the group did not bear."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.group = open_group(seed)
        self.version = 0
        self.loss = self.rng.choice(LOSSES)
        self.spread_s = self.rng.choice(DELAYS_S)
        self.post = self.group.post
        self.group.post = self.carry

    def carry(self, source, message, delay):
        """Lose a few messages and let the others take different times."""
        if self.rng.random() >= self.loss:
            self.post(source, message, delay + self.spread_s * self.rng.random())

    def publish(self):
        self.version += 1
        call = self.group.call(c.Publish("trainer", "model", self.version))
        return self.group.run_until(lambda: call.result is not None, ANSWER_S)

    def is_well(self):
        leader = self.group.leader()
        if not is_whole(self.group):
            return False
        return leader.state.rollout.state.targets.get("model") == self.version

    def run(self):
        for step in range(STEPS):
            assert self.publish(), f"no answer before fault {step}"
            fault = self.rng.choice(FAULTS)
            host = self.rng.choice(list(self.group.hosts.values()))
            what = f"fault {step}, {fault.__name__} at {host.name}, {self.group.now:.1f} s"
            fault(self.group, host, self.rng)
            assert self.rng.random() < 0.3 or self.publish(), f"no answer during {what}"
            hosts = self.group.hosts.values()
            ends = [max(self.group.cut.get(h.name, 0), h.up_at, h.frozen_until) for h in hosts]
            self.group.run(max(0.0, max(ends) - self.group.now))
            assert self.group.run_until(self.is_well, REPAIR_S), f"not whole after {what}"


# On day 2274 a voter came back while it lost its place, and another lost its disk just then. On day
# 11094 votes took longer than the candidates waited for them.
@pytest.mark.parametrize("seed", [*range(WALKS_IN_CI), 2274, 11094])
def test_one_fault_after_the_other_loses_nothing(seed):
    Walk(seed).run()


def no_vote(standing):
    """A bug: no learner ever becomes a voter."""
    del standing


def half_is_enough(group):
    """A bug: half of the voters may decide."""
    return max(1, len(group.voters()) // 2)


@pytest.mark.parametrize(
    "owner, name, bug",
    [(membership, "learner_to_promote", no_vote), (Group, "quorum", half_is_enough)],
)
def test_a_seeded_bug_is_found(monkeypatch, owner, name, bug):
    monkeypatch.setattr(owner, name, bug)
    with pytest.raises(AssertionError):
        for seed in range(WALKS_IN_CI):
            Walk(seed).run()
