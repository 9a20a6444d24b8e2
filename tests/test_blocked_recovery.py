"""A group without a quorum leads again only if every member that has its disk answers.

A member that is silent may hold an acknowledged command that no other disk has.
"""

from __future__ import annotations

import pytest

from tests.lost_disks import Records, confirmed_leader, is_whole, make_group
from tests.replicas import MemoryDisk

RECOVERY_S = 5.0
CATCH_UP_S = 10.0
# Time in which no leader may appear.
OBSERVED_S = 8.0
# Time in which a leader finds that its quorum is gone.
STEP_DOWN_S = 1.0
LONG_S = 1000.0


@pytest.fixture(params=["3-open", "3-closed", "5-open", "7-open"])
def records(request):
    """Return a group that has acknowledged some commands, which are on all disks."""
    size, kind = request.param.split("-")
    return with_commands(make_group(int(size), kind == "open"))


def with_commands(group):
    records = Records(group)
    for _ in range(3):
        assert records.publish(RECOVERY_S)
    assert group.run_until(group.has_converged)
    return records


def wipe(group, hosts, down_s=0.2):
    for host in hosts:
        group.wipe(host)
        host.restart_at = group.now + down_s


def cut_off(group, hosts):
    for host in hosts:
        group.partitioned_until[host.name] = group.now + LONG_S


def freeze(group, hosts):
    for host in hosts:
        host.paused_until = group.now + LONG_S


def stop(group, hosts):
    for host in hosts:
        group.crash(host, LONG_S)


def stop_without_disk(group, hosts):
    for host in hosts:
        group.crash(host, LONG_S)
        host.disk = MemoryDisk()


def bring_back(group):
    """End every fault that lasts."""
    group.partitioned_until.clear()
    group.split_until = 0.0
    for host in group.hosts.values():
        host.paused_until = 0.0
        if host.node is None:
            host.restart_at = min(host.restart_at, group.now)


def leader_first(group):
    leader = group.leader()
    return [leader, *(host for host in group.hosts.values() if host is not leader)]


def check_blocked(group):
    group.run(STEP_DOWN_S)
    assert confirmed_leader(group, OBSERVED_S) is None


def check_recovery(records):
    group = records.group
    assert records.missing(RECOVERY_S) == {}
    assert records.publish(RECOVERY_S)
    assert group.run_until(lambda: is_whole(group), CATCH_UP_S)


@pytest.mark.parametrize("silence", [cut_off, freeze, stop, stop_without_disk])
@pytest.mark.parametrize("answering", [0, 1])
def test_a_silent_voter_blocks_a_recovery(records, silence, answering):
    """The leader, or another voter, has everything; all others are silent or empty."""
    group = records.group
    hosts = leader_first(group)
    hosts.pop(answering)
    tolerated = len(hosts) // 2
    wipe(group, hosts[tolerated:])
    silence(group, hosts[:tolerated])
    check_blocked(group)
    bring_back(group)
    check_recovery(records)


def test_half_of_a_split_group_does_not_recover(records):
    """Each half has a voter with everything, and a voter whose disk is lost."""
    group = records.group
    hosts = leader_first(group)
    half = len(hosts) // 2
    wipe(group, hosts[1:half] + hosts[half + 1 :])
    group.split([host.name for host in hosts[:half]], LONG_S)
    check_blocked(group)
    bring_back(group)
    check_recovery(records)


def test_stale_voters_do_not_lead_while_the_voter_that_has_more_is_cut_off(records):
    group = records.group
    hosts = leader_first(group)
    quorum = len(hosts) // 2 + 1
    cut_off(group, hosts[quorum:])
    assert records.publish(RECOVERY_S)
    group.run(0.3)
    wipe(group, hosts[: quorum - 1])
    group.partitioned_until.clear()
    cut_off(group, hosts[quorum - 1 : quorum])
    check_blocked(group)
    bring_back(group)
    check_recovery(records)


@pytest.fixture
def with_spare():
    """Return a group of three voters and a learner under a name of its own."""
    group = make_group(3, True, spares=1)
    return with_commands(group)


def hosts_by_role(group):
    """Return the voters, the leader first, and the learner."""
    voter_ids = group.leader().node.group.voters()
    hosts = leader_first(group)
    voters = [host for host in hosts if host.node.data_id in voter_ids]
    return *voters, next(host for host in hosts if host not in voters)


def test_a_stale_voter_does_not_lead_while_a_learner_has_more(with_spare):
    group = with_spare.group
    leader, voter, stale, learner = hosts_by_role(group)
    group.partitioned_until[stale.name] = group.now + 1.2
    assert with_spare.publish(RECOVERY_S)
    group.run(0.3)
    freeze(group, [learner])
    wipe(group, [leader, voter])
    group.run(1.0)
    check_blocked(group)
    bring_back(group)
    check_recovery(with_spare)


def test_a_learner_that_has_everything_recovers_a_group_of_stale_voters(with_spare):
    group = with_spare.group
    leader, voter, stale, _ = hosts_by_role(group)
    group.partitioned_until[stale.name] = group.now + 1.2
    assert with_spare.publish(RECOVERY_S)
    group.run(0.3)
    wipe(group, [leader, voter])
    group.run(1.0)
    check_recovery(with_spare)


@pytest.mark.parametrize("is_known", [True, False])
def test_a_replaced_voter_does_not_lead_the_group_that_it_has_left(with_spare, is_known):
    """The replica that has replaced the voter is cut off; all others are empty.

    :param is_known: whether the replaced voter's log has the other replica as a learner.
    """
    group = with_spare.group
    leader, voter, replaced, learner = hosts_by_role(group)
    if not is_known:
        stop_without_disk(group, [learner])
        assert group.run_until(lambda: len(leader.node.group.members) == 3)
        assert group.run_until(lambda: replaced.node.commit_index == leader.node.commit_index)
    cut_off(group, [replaced])
    group.run(0.1)
    learner.restart_at = group.now
    assert group.run_until(lambda: has_replaced(group, replaced, learner))
    assert with_spare.publish(RECOVERY_S)
    group.run(0.3)
    cut_off(group, [learner])
    wipe(group, [leader, voter])
    group.partitioned_until[replaced.name] = 0.0
    check_blocked(group)
    bring_back(group)
    check_recovery(with_spare)


def has_replaced(group, replaced, learner):
    voters = group.leader().node.group.voters()
    learner_votes = learner.node is not None and learner.node.data_id in voters
    return learner_votes and replaced.node.data_id not in voters
