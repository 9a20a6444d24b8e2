"""Membership changes of the replica group: which replica the leader adds, promotes or removes.

Each change affects one member.
"""

from __future__ import annotations

from attrs import evolve, frozen

from apricotvale.consensus.messages import Group, GroupMember, JoinRequest
from apricotvale.consensus.types import GroupPolicy, Progress

MAX_LEARNER_LAG_ENTRIES = 64


@frozen
class LeaderView:
    """Inputs of a membership decision, as the leader knows them.

    :param own_id: data id of the leader.
    :param group: the current group.
    :param policy: target size and rules of the group.
    :param progress: replication progress of each follower, by data id.
    :param retiring: names of replicas that are being removed.
    :param last_index: index of the last entry in the leader's log.
    :param active_since: followers heard from at or after this time count as active.
    :param now: time on the clock of the node's owner, in seconds.
    """

    own_id: str
    group: Group
    policy: GroupPolicy
    progress: dict[str, Progress]
    retiring: frozenset[str]
    last_index: int
    active_since: float
    now: float


def group_after_join(request: JoinRequest, view: LeaderView) -> Group | None:
    """Return the group after a join request, or None if it is refused or changes nothing.

    A new replica becomes a learner; a known one gets its new address.
    """
    members = view.group.members
    known = view.group.find(request.source)
    if known is not None:
        updated = evolve(known, address=request.address)
        return None if updated == known else with_replaced_member(view.group, known, updated)
    if not can_join(request.name, view):
        return None
    others = (member for member in members if member.voter or member.name != request.name)
    learner = GroupMember(request.name, request.source, request.address, voter=False)
    return Group((*others, learner))


def can_join(name: str, view: LeaderView) -> bool:
    """Return whether a replica of this name may join the group.

    The name of a current member may always join again. An open group also accepts new names that
    are not retiring, up to its number of learners plus one for each missing voter.
    """
    group, policy = view.group, view.policy
    if any(member.name == name for member in group.members):
        return True
    if not policy.open:
        return False
    learners = sum(not member.voter for member in group.members)
    missing = max(0, policy.voters - len(group.voters()))
    return name not in view.retiring and learners < policy.learners + missing


def next_group(view: LeaderView) -> Group | None:
    """Return the group to change to, or None if no change is due.

    A learner is promoted before the voter that it replaces is removed. In the opposite order the
    quorum would temporarily need every remaining voter, and the loss of one more would block the
    group permanently, even if the removed voter came back.
    """
    group = view.group
    replaced = voter_to_replace(view)
    if len(group.voters()) > target_voter_count(view):
        if replaced is not None:
            return without_member(group, replaced)
        demoted = least_recently_heard_voter(view)
        return with_replaced_member(group, demoted, evolve(demoted, voter=False))
    learner = learner_to_promote(view)
    needed = replaced is not None or len(group.voters()) < target_voter_count(view)
    if learner is not None and needed and can_add_voter(view):
        return with_replaced_member(group, learner, evolve(learner, voter=True))
    removed = learner_to_remove(view) if view.policy.open else None
    return without_member(group, removed) if removed is not None else None


def recovered_group(group: Group, leader_id: str, successors: dict[str, str]) -> Group:
    """Return the group in which successors take the places of members with a lost data folder.

    :param leader_id: data id of the new leader, which is a voter of the group.
    :param successors: data ids of the successors by the lost data ids.
    """
    voters = {leader_id, *(successors.get(data_id, data_id) for data_id in group.voters())}
    members = {}
    for member in group.members:
        data_id = successors.get(member.data_id, member.data_id)
        members[data_id] = evolve(member, data_id=data_id, voter=data_id in voters)
    return Group(tuple(members.values()))


def target_voter_count(view: LeaderView) -> int:
    """Return the target number of voters; in a closed group this is one for each name."""
    if view.policy.open:
        return view.policy.voters
    return len({member.name for member in view.group.members})


def learner_to_promote(view: LeaderView) -> GroupMember | None:
    """Return a caught-up learner to promote, preferably one that has the name of a voter."""
    members = view.group.members
    names = {member.name for member in members if member.voter}
    ready = [
        member
        for member in members
        if not member.voter and member.name not in view.retiring and is_caught_up(member, view)
    ]
    ready.sort(key=lambda member: member.name not in names)
    return ready[0] if ready else None


def other_voters(view: LeaderView) -> list[GroupMember]:
    """Return the voters other than the leader."""
    members = view.group.members
    return [m for m in members if m.voter and m.data_id != view.own_id]


def voter_to_replace(view: LeaderView) -> GroupMember | None:
    """Return a voter to replace: one that lost its disk, is retiring or is silent.

    A replica that joins under an existing name with a new data folder shows that the former
    folder is gone. Members are listed in the order of joining, so the later one is current.
    Retiring and silent voters are replaced only in an open group.
    """
    members, others = view.group.members, other_voters(view)
    for voter in others:
        later = members[members.index(voter) + 1 :]
        if any(member.name == voter.name for member in later):
            return voter
    if view.policy.open:
        for voter in others:
            if voter.name in view.retiring or is_silent(voter, view):
                return voter
    return None


def least_recently_heard_voter(view: LeaderView) -> GroupMember:
    """Return the voter, other than the leader, with the oldest last reply."""
    return min(other_voters(view), key=lambda voter: heard_at(voter, view))


def can_add_voter(view: LeaderView) -> bool:
    """Return whether the group has an active quorum after adding one active voter."""
    answering = sum(heard_at(voter, view) >= view.active_since for voter in other_voters(view))
    voters = len(view.group.voters()) + 1
    return 1 + answering + 1 > voters // 2


def heard_at(member: GroupMember, view: LeaderView) -> float:
    """Return the time of a follower's last reply, or minus infinity if it is unknown."""
    peer = view.progress.get(member.data_id)
    return peer.heard_at if peer is not None else float("-inf")


def learner_to_remove(view: LeaderView) -> GroupMember | None:
    """Return a learner that is retiring or silent."""
    for member in view.group.members:
        leaves = member.name in view.retiring or is_silent(member, view)
        if not member.voter and leaves:
            return member
    return None


def is_silent(member: GroupMember, view: LeaderView) -> bool:
    """Return whether a member has not replied within `replace_after_s` and may be replaced."""
    peer = view.progress.get(member.data_id)
    return peer is not None and peer.heard_at < view.now - view.policy.replace_after_s


def is_caught_up(learner: GroupMember, view: LeaderView) -> bool:
    """Return whether a learner is active and at most MAX_LEARNER_LAG_ENTRIES behind the log."""
    peer = view.progress.get(learner.data_id)
    if peer is None or not peer.match_index:
        return False
    within_lag = peer.match_index + MAX_LEARNER_LAG_ENTRIES >= view.last_index
    return within_lag and peer.heard_at >= view.active_since


def with_replaced_member(group: Group, before: GroupMember, after: GroupMember) -> Group:
    """Return the group with one member replaced."""
    return Group(tuple(after if member == before else member for member in group.members))


def without_member(group: Group, removed: GroupMember) -> Group:
    """Return the group without one member."""
    return Group(tuple(member for member in group.members if member != removed))
