"""Groups of simulated replicas whose disks are lost, and what they have acknowledged."""

from __future__ import annotations

from attrs import define, field

from apricotvale.consensus.messages import Group, HardState, Snapshot
from apricotvale.consensus.types import GroupPolicy
from apricotvale.control import commands as c
from tests.replicas import Replicas

REPLACE_AFTER_S = 1.5


@define
class Records:
    """The commands sent to a group: one publication each, of a model of its own.

    :param acknowledged: versions by model that were acknowledged.
    """

    group: Replicas
    sent: int = 0
    acknowledged: dict[str, int] = field(factory=dict)

    def publish(self, timeout_s):
        """Send a command; return whether it was acknowledged in time."""
        self.sent += 1
        model = f"model-{self.sent}"
        call = self.group.call(c.Publish("trainer", model, self.sent))
        if not self.group.run_until(lambda: call.result is not None, timeout_s):
            self.group.calls.remove(call)
            return False
        self.acknowledged[model] = self.sent
        return True

    def missing(self, timeout_s):
        """Return what a confirmed read of the leader lacks, or None if no leader confirms one."""
        host = confirmed_leader(self.group, timeout_s)
        if host is None:
            return None
        targets = host.state.rollout.state.targets
        return {
            model: version
            for model, version in self.acknowledged.items()
            if targets.get(model) != version
        }


def confirmed_leader(group, timeout_s):
    """Return the first leader that confirms a read which begins now, or None."""
    reads = {}

    def find():
        for host in group.hosts.values():
            if host.node is None:
                continue
            node, ticket = reads.get(host.name, (None, None))
            if node is not host.node or host.reads.get(ticket) is False:
                reads[host.name] = host.node, group.read(host)
            elif ticket is None:
                reads.pop(host.name)
            elif host.reads.get(ticket):
                return host
        return None

    group.run_until(lambda: find() is not None, timeout_s)
    return find()


def make_group(size, is_open, seed=0, max_write_s=0.0, spares=0):
    """Return a group of voters with a leader.

    :param spares: number of initially empty replicas that join an open group as learners.
    """
    learners = max(spares, size // 2)
    policy = GroupPolicy(True, size, learners, REPLACE_AFTER_S) if is_open else None
    names = "abcdefghij"[: size + spares]
    group = Replicas(names, seed=seed, policy=policy, max_write_s=max_write_s)
    members = group.hosts["a"].storage.stored.snapshot.group.members
    initial = Snapshot(1, 1, 0, Group(members[:size]), b"")
    for name in names[:size]:
        group.hosts[name].storage.save_snapshot(initial, HardState(1), [])
        group.boot(group.hosts[name])
    for name in names[size:]:
        group.wipe(group.hosts[name])
    assert group.run_until(lambda: is_whole(group))
    return group


def is_whole(group):
    """Return whether every host is a member with the whole log, and the others have left.

    As many hosts have a vote as the policy of an open group says; in a closed group all have.
    """
    leader = group.leader()
    if leader is None or not group.has_converged():
        return False
    ids = {host.node.data_id for host in group.hosts.values()}
    members = leader.node.group.members
    voters = group.policy.voters if group.policy else len(ids)
    return {m.data_id for m in members} == ids and len(leader.node.group.voters()) == voters
