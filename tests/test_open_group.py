"""An open replica group adds, replaces and removes members by itself."""

from __future__ import annotations

import pytest

from apricotvale.consensus.membership import can_join
from apricotvale.consensus.node import Node
from apricotvale.control import commands as c
from tests.operations import open_group
from tests.replicas import Replicas


@pytest.fixture(params=range(4))
def group(request):
    """Return a group of three voters and one learner."""
    return open_group(request.param)


def members(group, voter):
    leader = group.leader()
    if leader is None:
        return set()
    return {member.name for member in leader.node.group.members if member.voter is voter}


def has_members(group, voters, learners=frozenset()):
    return members(group, True) == set(voters) and members(group, False) == set(learners)


def publish(group, version):
    call = group.call(c.Publish("trainer", "model", version))
    assert group.run_until(lambda: call.result is not None)


def last_published(group):
    return group.leader().state.rollout.state.targets.get("model")


def other_voters(group):
    leader = group.leader()
    return [group.hosts[name] for name in sorted(members(group, True)) if name != leader.name]


def test_a_learner_replaces_a_voter_that_stays_silent(group):
    publish(group, 1)
    lost = other_voters(group)[0]
    group.crash(lost, down_s=1000.0)
    started = group.now
    staying = {"a", "b", "c", "d"} - {lost.name}
    assert group.run_until(lambda: has_members(group, staying))
    assert group.now - started < 4.0
    publish(group, 2)
    assert last_published(group) == 2


def test_a_lost_leader_is_replaced_too(group):
    publish(group, 1)
    lost = group.leader()
    group.crash(lost, down_s=1000.0)
    staying = {"a", "b", "c", "d"} - {lost.name}
    assert group.run_until(lambda: has_members(group, staying))
    assert last_published(group) == 1


def test_a_replaced_voter_rejoins_as_a_learner(group):
    lost = other_voters(group)[0]
    group.crash(lost, down_s=6.0)
    staying = {"a", "b", "c", "d"} - {lost.name}
    assert group.run_until(lambda: has_members(group, staying, {lost.name}))


def test_a_short_silence_changes_nothing(group):
    lost = other_voters(group)[0]
    group.crash(lost, down_s=0.8)
    group.run(4.0)
    assert has_members(group, {"a", "b", "c"}, {"d"})


def test_a_wiped_voter_does_not_keep_its_old_data_id(group):
    publish(group, 1)
    wiped = other_voters(group)[0]
    old_id = wiped.storage.meta.data_id
    group.wipe(wiped)
    assert group.run_until(lambda: is_complete(group) and old_id not in data_ids(group))
    assert wiped.storage.meta.data_id in data_ids(group)


def data_ids(group):
    return {member.data_id for member in group.leader().node.group.members}


def is_complete(group):
    return len(members(group, True)) == 3 and len(members(group, False)) == 1


def test_successive_disk_losses_lose_no_committed_data(group):
    for version in range(1, 5):
        publish(group, version)
        wiped = group.hosts["abcd"[version - 1]]
        group.wipe(wiped)
        group.run(5.0)
        assert last_published(group) == version
        assert len(members(group, True)) == 3


@pytest.mark.parametrize("leads", [True, False])
def test_a_retiring_voter_leaves_and_does_not_come_back(group, leads):
    leaving = group.leader() if leads else other_voters(group)[0]
    for host in group.hosts.values():
        host.node.retiring = frozenset({leaving.name})

    def has_left():
        leader = group.leader()
        if leader is leaving:
            leader.node.transfer(group.now)
        return has_members(group, {"a", "b", "c", "d"} - {leaving.name})

    assert group.run_until(has_left)
    group.run(3.0)
    assert has_left()


def test_a_closed_group_accepts_no_new_name():
    group = Replicas(names=("a", "b", "c"))
    assert group.run_until(lambda: group.leader() is not None)
    assert not can_join("d", group.leader().node.membership_view(group.now))


def idle_message_count(group, seconds):
    """Return the number of messages sent while no client makes a call."""
    before = group.sequence
    group.run(seconds)
    return group.sequence - before


def test_a_leader_sends_only_heartbeats_after_removing_a_replica(group):
    lost = other_voters(group)[0]
    group.crash(lost, down_s=1000.0)
    assert group.run_until(lambda: has_members(group, {"a", "b", "c", "d"} - {lost.name}))
    publish(group, 1)
    seconds = 4.0
    heartbeats = seconds / group.leader().node.timing.heartbeat_s
    followers = 2
    assert idle_message_count(group, seconds) <= heartbeats * followers * 2 + 8


def test_a_learner_that_rejoins_stays_a_member(group):
    learner = group.hosts["d"]
    group.partitioned_until["d"] = group.now + 5.0
    assert group.run_until(lambda: not members(group, voter=False))
    assert group.run_until(lambda: members(group, voter=False) == {"d"})
    entry = group.leader().node.groups[-1][0]
    group.run(2.0)
    assert group.leader().node.groups[-1][0] == entry
    assert learner.node.group.find(learner.node.data_id)


def test_a_voter_is_removed_only_after_its_replacement_has_a_vote(group):
    lost = other_voters(group)[0]
    sizes = set()

    def watch():
        leader = group.leader()
        sizes.update(len(membership.voters()) for _, membership in leader.node.groups if leader)
        return has_members(group, {"a", "b", "c", "d"} - {lost.name})

    group.crash(lost, down_s=1000.0)
    assert group.run_until(watch)
    assert sizes == {3, 4}


def test_a_voter_that_returns_during_its_replacement_becomes_a_learner(group):
    returning = other_voters(group)[0]
    group.crash(returning, down_s=1000.0)
    assert group.run_until(lambda: len(members(group, True)) == 4)
    leader = group.leader()
    for peer in leader.node.progress.values():
        peer.heard_at = group.now
    leader.node.progress[returning.storage.meta.data_id].heard_at = group.now - 0.1
    assert group.run_until(
        lambda: has_members(group, {"a", "b", "c", "d"} - {returning.name}, {returning.name})
    )


def test_a_wiped_voter_that_answers_in_an_election_joins_without_a_request(monkeypatch):
    group = Replicas()
    assert group.run_until(lambda: group.leader() is not None)
    monkeypatch.setattr(Node, "on_join_request", lambda self, request, now: None)
    leader = group.leader()
    wiped = next(host for host in group.hosts.values() if host is not leader)
    group.wipe(wiped)
    group.run(0.1)
    group.crash(leader)

    def has_vote():
        leader = group.leader()
        return leader is not None and wiped.node.data_id in leader.node.group.voters()

    assert group.run_until(has_vote, 4.0)
