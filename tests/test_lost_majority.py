"""A majority of the voters lose their disks one after the other, while a complete log remains.

A replica that is back with an empty disk can join only while there is a leader. Another voter that
loses its disk before that leaves fewer voters than a quorum, although no acknowledged command is
lost.
"""

from __future__ import annotations

import pytest

from tests.lost_disks import Records, is_whole, make_group

RECOVERY_S = 5.0
CATCH_UP_S = 10.0
PAUSE_S = 3.0
# Time in which a group must not do what is checked.
OBSERVED_S = 10.0


@pytest.fixture(params=["3-open", "3-closed", "5-open", "7-open"])
def records(request):
    """Return a group that has acknowledged some commands, which are on all disks."""
    size, kind = request.param.split("-")
    records = Records(make_group(int(size), kind == "open"))
    for _ in range(3):
        assert records.publish(RECOVERY_S)
    assert records.group.run_until(records.group.has_converged)
    return records


def other_hosts(group, host):
    return [other for other in group.hosts.values() if other is not host]


def tolerated(group):
    """Return the number of disks that the group may lose at a time."""
    return (len(group.hosts) - 1) // 2


def wipe(group, hosts, down_s=0.2):
    for host in hosts:
        group.wipe(host)
        host.restart_at = group.now + down_s


def pause(group, host, seconds):
    host.paused_until = group.now + seconds


def crash_all(group):
    for host in group.hosts.values():
        group.crash(host, 0.3)


def too_few_voters_remain(group):
    """Return whether fewer voters than a quorum of the newest group have their disks."""
    nodes = [host.node for host in group.hosts.values() if host.node is not None]
    newest = max(nodes, key=lambda node: (node.log.last_term, node.log.last_index)).group
    hosts = [host for host in group.hosts.values() if host.disk.names()]
    ids = {host.storage.meta.data_id for host in hosts}
    return len(ids & set(newest.voters())) < newest.quorum()


def check_recovery(records):
    """Check that the group leads with everything, and again after one more lost disk."""
    group = records.group
    assert records.missing(RECOVERY_S) == {}, "no leader confirms a read of everything"
    assert records.publish(RECOVERY_S), "no new command is accepted"
    assert group.run_until(lambda: is_whole(group), CATCH_UP_S), "the group is not whole again"
    wipe(group, [group.leader()])
    assert records.publish(RECOVERY_S), "no new command is accepted after one more lost disk"
    assert records.missing(RECOVERY_S) == {}
    assert group.run_until(lambda: is_whole(group), CATCH_UP_S), "the group is not whole again"


def test_a_group_recovers_from_as_many_lost_disks_as_a_quorum_bears(records):
    group = records.group
    wipe(group, other_hosts(group, group.leader())[: tolerated(group)])
    assert not too_few_voters_remain(group)
    check_recovery(records)


def test_a_disk_is_lost_before_a_wiped_voter_could_join_a_paused_leader(records):
    group = records.group
    leader = group.leader()
    first, second = other_hosts(group, leader)[: tolerated(group)], other_hosts(group, leader)[-1]
    wipe(group, first)
    pause(group, leader, PAUSE_S)
    group.run(PAUSE_S)
    wipe(group, [second])
    assert too_few_voters_remain(group)
    check_recovery(records)


def test_a_leader_loses_its_disk_while_the_voter_that_has_the_log_restarts(records):
    group = records.group
    leader = group.leader()
    others = other_hosts(group, leader)
    wipe(group, others[: tolerated(group)])
    pause(group, leader, PAUSE_S)
    group.run(PAUSE_S)
    for host in others[tolerated(group) :]:
        group.crash(host, 1.1)
    group.run(0.6)
    wipe(group, [leader], 1.9)
    assert too_few_voters_remain(group)
    group.run(1.9)
    check_recovery(records)


@pytest.mark.parametrize("change", ["added", "promoted"])
def test_a_disk_is_lost_before_a_wiped_voter_replaces_its_lost_folder(records, change):
    """The last change of the group is not committed when another voter loses its disk."""
    group = records.group
    leader = group.leader()
    lost = other_hosts(group, leader)[: tolerated(group)]
    before = leader.node.group.voters()
    wipe(group, lost)
    pause(group, leader, 1.0)
    group.run(1.0)
    crash_all(group)

    def is_changing():
        leader = group.leader()
        members = leader.node.group.members if leader else ()
        added = [member for member in members if member.data_id not in before]
        return any(member.voter is (change == "promoted") for member in added)

    assert group.run_until(is_changing)
    remaining = [host for host in other_hosts(group, group.leader()) if host not in lost]
    wipe(group, remaining[:1])
    assert too_few_voters_remain(group)
    check_recovery(records)
