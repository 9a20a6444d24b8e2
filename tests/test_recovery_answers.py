"""Recovery elections: folders that are lost twice or late, and joins that are cut short."""

from __future__ import annotations

from functools import partial

import pytest

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import (
    Group,
    GroupMember,
    HardState,
    Snapshot,
    VoteReply,
)
from apricotvale.consensus.node import RECOVERY_TERM_STEP, Node
from apricotvale.consensus.storage import Stored
from apricotvale.consensus.types import Role
from tests.lost_disks import Records, confirmed_leader, is_whole, make_group
from tests.replicas import TIMING, MemoryDisk

RECOVERY_S = 5.0
CATCH_UP_S = 10.0
OBSERVED_S = 8.0
# Time from the start of a wiped replica to the next loss of a disk.
CATCH_UP_OF_A_VM_S = 4.5
LONG_S = 1000.0


def members(*ids):
    return tuple(GroupMember(data_id[0], data_id, data_id[0]) for data_id in ids)


def make_node(data_id, group, term=5, snapshot_index=1):
    snapshot = Snapshot(snapshot_index, 1, 0, group, b"")
    stored = Stored(HardState(term), snapshot, [])
    return Node(
        data_id,
        stored,
        TIMING,
        partial(encode, kind=Group),
        partial(decode, kind=Group),
        lambda: 0.5,
        0.0,
        data_id[0],
    )


def test_an_election_of_a_majority_does_not_turn_into_a_recovery():
    """The voter whose pre-vote made the majority loses its disk before the election itself.

    The term is then not above those in which the lost voters may have voted.
    """
    node = make_node("a0", Group(members("a0", "b0", "c0")))
    now = 10.0
    node.tick(now)
    assert node.pre_voting
    node.receive(VoteReply("c1", "a0", 6, True, True, "c0"), now)
    node.receive(VoteReply("b0", "a0", 6, True, True), now)
    assert node.role is Role.CANDIDATE and node.term == 6
    node.receive(VoteReply("c1", "a0", 6, True, False, "c0"), now)
    node.receive(VoteReply("b1", "a0", 6, True, False, "b0"), now)
    recovers = node.role is Role.LEADER and bool(node.recovered_from)
    assert not recovers or node.term % RECOVERY_TERM_STEP == 0


@pytest.fixture(params=[(3, True), (3, False), (5, True)], ids=["3-open", "3-closed", "5-open"])
def records(request):
    """Return a group that has acknowledged some commands, which are on all disks."""
    records = Records(make_group(*request.param))
    for _ in range(3):
        assert records.publish(RECOVERY_S)
    assert records.group.run_until(records.group.has_converged)
    return records


def test_a_replica_that_loses_its_disk_twice_joins(records):
    """Its first successor answered in the leader's election and is lost before it has a vote."""
    group = records.group
    leader = group.leader()
    wiped, *others = [host for host in group.hosts.values() if host is not leader]
    group.wipe(wiped)
    for host in (leader, *others):
        group.crash(host, 0.4)
    assert group.run_until(lambda: group.leader() is not None and group.leader().node.successors)
    first_id = wiped.node.data_id
    group.wipe(wiped)
    wiped.restart_at = group.now + 0.2
    group.run(0.5)
    assert wiped.node.data_id != first_id
    assert group.run_until(lambda: is_whole(group), CATCH_UP_S), "the group is not whole again"


def test_a_wiped_replica_with_a_snapshot_of_before_its_join_recovers_the_group():
    """It has installed the snapshot, in whose group it is not, when the leader loses its disk.

    The voter that remains is behind. All members answer, and the replica has everything.
    """
    old = Group(members("a0", "b0", "c0"))
    behind = make_node("c0", old)
    newest = make_node("b1", old, snapshot_index=10)
    empty = Node(
        "a1",
        Stored(HardState(0), None, []),
        TIMING,
        partial(encode, kind=Group),
        partial(decode, kind=Group),
        lambda: 0.7,
        0.0,
        "a",
    )
    nodes = {"a": empty, "b": newest, "c": behind}
    now = 0.0
    while now < 20.0 and not any(node.role is Role.LEADER for node in nodes.values()):
        now += 0.02
        for node in nodes.values():
            node.tick(now)
        for node in nodes.values():
            ready = node.take_ready(now)
            for message in ready.messages + ready.messages_after_sync:
                targets = [m.name for m in old.members if m.data_id == message.target]
                for name in targets or nodes:
                    if nodes[name] is not node:
                        nodes[name].receive(message, now)
    assert newest.role is Role.LEADER


def test_a_voter_does_not_lead_a_group_that_has_replaced_it_by_a_replica_it_does_not_know():
    """The replica that has replaced the voter is cut off, and has a command that no other disk has.

    The machines never miss more than one disk at a time: each wiped replica is back and empty
    before the next one is wiped.
    """
    records = Records(make_group(3, True, spares=1))
    for _ in range(3):
        assert records.publish(RECOVERY_S)
    group = records.group
    leader = group.leader()
    voter_ids = leader.node.group.voters()
    spare = next(host for host in group.hosts.values() if host.node.data_id not in voter_ids)
    voter, replaced = (h for h in group.hosts.values() if h not in (leader, spare))
    group.crash(spare, LONG_S)
    spare.disk = MemoryDisk()
    assert group.run_until(lambda: len(replaced.node.group.members) == 3)
    group.run(0.5)
    group.partitioned_until[replaced.name] = group.now + LONG_S
    group.run(0.1)
    spare.restart_at = group.now

    def has_replaced():
        host = group.leader()
        voters = host.node.group.voters() if host else []
        joined = spare.node is not None and spare.node.data_id in voters
        return joined and replaced.node.data_id not in voters

    assert group.run_until(has_replaced)
    assert replaced.node.group.find(spare.node.data_id) is None
    assert records.publish(RECOVERY_S)
    group.run(0.3)
    group.partitioned_until[spare.name] = group.now + LONG_S
    for host in (leader, voter):
        group.wipe(host)
        host.restart_at = group.now + 0.2
        group.run(CATCH_UP_OF_A_VM_S)
    group.partitioned_until[replaced.name] = 0.0
    group.run(1.0)
    assert confirmed_leader(group, OBSERVED_S) is None, "a command that the spare has is lost"
    group.partitioned_until.clear()
    assert records.missing(RECOVERY_S) == {}
