"""Votes of replicas that answer in place of a lost data folder."""

from __future__ import annotations

import pytest
from attrs import evolve

from apricotvale.consensus.messages import (
    Entry,
    EntryKind,
    Group,
    GroupMember,
    HardState,
    KnownGroup,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from apricotvale.consensus.node import RECOVERY_TERM_STEP
from apricotvale.consensus.storage import Stored
from apricotvale.consensus.types import GroupPolicy, Role
from tests.exploration import make_node

GROUP = Group(tuple(GroupMember(name, name, name) for name in "abc"))
TERM = 3
LAST = 5


def stored(last=LAST):
    """Return a disk with entries up to an index."""
    entries = [Entry(index, TERM, 0, EntryKind.COMMAND) for index in range(2, last + 1)]
    return Stored(HardState(TERM), Snapshot(1, 1, 0, GROUP, b""), entries)


def empty(hard_state=None):
    return Stored(hard_state or HardState(), None, [])


def group_without_candidate():
    """Return a later group, in which replica d has taken the place of c."""
    return KnownGroup(TERM, LAST + 1, Group(tuple(GroupMember(name, name, name) for name in "abd")))


def node_of(name, data_id, disk):
    return make_node(name, data_id, disk, GroupPolicy())


def request(source, target, term, last=LAST, pre=False):
    return VoteRequest(source, target, term, last, TERM, pre, False, target)


def answer(node, message):
    """Return the reply of a node to a vote request, and the records written before it."""
    node.receive(message, 1.0)
    ready = node.take_ready(1.0)
    assert not ready.messages
    (reply,) = ready.messages_after_sync
    return reply, ready.records


def candidate(now=1.0):
    """Return a voter that has begun a pre-vote, with the term of its requests."""
    node = node_of("c", "c", stored())
    node.tick(now)
    requests = node.take_ready(now).messages_after_sync
    assert {message.target for message in requests} == {"a", "b"}
    return node, requests[0].term


def reply(node, source, lost, term, pre, group=None):
    node.receive(VoteReply(source, "c", term, True, pre, lost, False, group), 1.0)


def test_an_empty_successor_writes_its_vote_before_it_answers():
    node = node_of("a", "a-2", empty())
    vote, records = answer(node, request("c", "a", TERM + 1))
    assert (vote.granted, vote.lost, vote.source) == (True, "a", "a-2")
    assert records[-1] == HardState(TERM + 1, "c")


@pytest.mark.parametrize("restarts", [True, False])
def test_an_empty_successor_votes_once_in_a_term(restarts):
    node = node_of("a", "a-2", empty())
    answer(node, request("c", "a", TERM + 1))
    if restarts:
        node = node_of("a", "a-2", empty(node.hard_state))
    assert not answer(node, request("b", "a", TERM + 1))[0].granted
    assert answer(node, request("c", "a", TERM + 1))[0].granted
    assert answer(node, request("b", "a", TERM + 2))[0].granted


@pytest.mark.parametrize("pre", [True, False])
def test_a_successor_with_a_log_refuses_a_candidate_that_has_less(pre):
    node = node_of("a", "a-2", stored())
    assert not answer(node, request("c", "a", TERM + 1, LAST - 1, pre))[0].granted
    assert answer(node, request("c", "a", TERM + 1, LAST, pre))[0].granted


def test_a_replica_answers_only_for_its_own_name():
    node = node_of("a", "a-2", empty())
    node.receive(request("c", "b", TERM + 1), 1.0)
    assert not node.has_work()


def test_a_candidate_needs_an_answer_from_every_member():
    node, term = candidate()
    reply(node, "a-2", "a", term, True)
    reply(node, "a-2", "a", term, True)
    assert node.role is Role.FOLLOWER and node.term == TERM
    reply(node, "b-2", "b", term, True)
    assert node.role is Role.CANDIDATE


def test_a_recovery_takes_a_term_that_lost_voters_have_not_reached():
    node, term = candidate()
    for name in "ab":
        reply(node, f"{name}-2", name, term, True)
    assert node.term == RECOVERY_TERM_STEP
    requests = node.take_ready(1.0).messages_after_sync
    assert {message.term for message in requests} == {RECOVERY_TERM_STEP}
    for name in "ab":
        reply(node, f"{name}-2", name, RECOVERY_TERM_STEP, False)
    assert node.role is Role.LEADER
    assert sorted(node.group.voters()) == ["a-2", "b-2", "c"]


@pytest.mark.parametrize("late", ["pre-vote", "earlier term"])
def test_a_late_answer_counts_for_no_other_election(late):
    node, term = candidate()
    for name in "ab":
        reply(node, f"{name}-2", name, term, True)
    reply(node, "a-2", "a", RECOVERY_TERM_STEP, False)
    if late == "pre-vote":
        reply(node, "b-2", "b", RECOVERY_TERM_STEP, True)
        reply(node, "b-2", "b", RECOVERY_TERM_STEP + 1, True)
    else:
        reply(node, "b-2", "b", term, False)
        reply(node, "b-2", "b", TERM, False)
    assert node.role is Role.CANDIDATE
    reply(node, "b-2", "b", RECOVERY_TERM_STEP, False)
    assert node.role is Role.LEADER


def test_a_recovered_group_commits_nothing_before_a_majority_has_caught_up():
    node, term = candidate()
    for pre, number in ((True, term), (False, RECOVERY_TERM_STEP)):
        for name in "ab":
            reply(node, f"{name}-2", name, number, pre)
    node.take_ready(1.0)
    node.synced(node.log.last_index, node.log.last_term)
    assert node.commit_index == 1


def test_an_empty_successor_names_a_group_to_a_replaced_voter_after_a_restart():
    """The lost folder and the one that named the group were the last to know the new member."""
    newer = group_without_candidate()
    node = node_of("a", "a-2", empty())
    _, records = answer(node, evolve(request("b", "a", TERM + 1, LAST + 1, True), group=newer))
    assert records[-1].named_group == newer
    node = node_of("a", "a-2", empty(records[-1]))
    older = KnownGroup(1, 1, GROUP)
    vote, _ = answer(node, evolve(request("c", "a", TERM + 1, pre=True), group=older))
    assert (vote.granted, vote.group) == (True, newer)
    vote, _ = answer(node, evolve(request("c", "a", TERM + 2), group=newer))
    assert (vote.granted, vote.group) == (True, None)
    assert node.hard_state.named_group == newer


@pytest.mark.parametrize("pre", [True, False])
def test_a_candidate_needs_an_answer_from_each_member_of_a_newer_group(pre):
    node, term = candidate()
    if not pre:
        for name in "ab":
            reply(node, f"{name}-2", name, term, True)
        term = RECOVERY_TERM_STEP
    reply(node, "a-2", "a", term, pre, group_without_candidate())
    reply(node, "b-2", "b", term, pre)
    assert node.role is (Role.FOLLOWER if pre else Role.CANDIDATE)
    node.take_ready(1.0)
    node.tick(9.0)
    requests = node.take_ready(9.0).messages_after_sync
    assert {message.target for message in requests} == {"a", "b", "d"}
    assert all(message.group == group_without_candidate() for message in requests)
    for name in "ab":
        reply(node, f"{name}-2", name, requests[0].term, True)
    assert node.pre_voting
    reply(node, "d", "", requests[0].term, True)
    assert node.role is Role.CANDIDATE and node.recovering
