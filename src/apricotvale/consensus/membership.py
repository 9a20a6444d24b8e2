"""How a leader decides whom its group takes in, replaces and lets go, one member at a time."""

from __future__ import annotations

from attrs import evolve, frozen

from apricotvale.consensus.messages import Group, GroupMember, JoinRequest
from apricotvale.consensus.types import GroupPolicy, Progress

LEARNER_LAG_ENTRIES = 64


@frozen
class Standing:
    """What a leader knows when it decides.

    :param own_id: the leader's data folder.
    :param group: the group in force.
    :param progress: what is known about each follower, by data folder.
    :param retiring: names of replicas that are to leave.
    :param last_index: index of the last entry in the leader's log.
    :param heard_since: a follower heard after this moment answers.
    :param now: on the clock of the node's owner, in seconds.
    """

    own_id: str
    group: Group
    policy: GroupPolicy
    progress: dict[str, Progress]
    retiring: frozenset[str]
    last_index: int
    heard_since: float
    now: float


def group_with(request: JoinRequest, standing: Standing) -> Group | None:
    """Return the group with a replica as learner or at its new address; None for no change."""
    members = standing.group.members
    known = standing.group.find(request.source)
    if known is not None:
        moved = evolve(known, address=request.address)
        return None if moved == known else with_change(standing.group, known, moved)
    if not has_place(request.name, standing):
        return None
    kept = (member for member in members if member.voter or member.name != request.name)
    learner = GroupMember(request.name, request.source, request.address, voter=False)
    return Group((*kept, learner))


def has_place(name: str, standing: Standing) -> bool:
    """Return whether a replica of this name has a place in the group.

    A table of fixed names takes only those; an open group takes its predecessors' names, and
    others up to the wanted number of learners.
    """
    group, policy = standing.group, standing.policy
    if any(member.name == name for member in group.members):
        return True
    if not policy.open:
        return False
    learners = sum(not member.voter for member in group.members)
    missing = max(0, policy.voters - len(group.voters()))
    return name not in standing.retiring and learners < policy.learners + missing


def next_change(standing: Standing) -> Group | None:
    """Return the group to change to; None if it is as it should be.

    A learner gets its vote before the voter whose place it takes loses its own. The other way
    round, the group would for a moment need all that are left, and with one more of them lost it
    could decide nothing ever again, though the one that gave way may be back.
    """
    group = standing.group
    gone = voter_to_drop(standing)
    if len(group.voters()) > wanted_voters(standing):
        if gone is not None:
            return without(group, gone)
        spare = least_heard_voter(standing)
        return with_change(group, spare, evolve(spare, voter=False))
    learner = next_voter(standing)
    wanted = gone is not None or len(group.voters()) < wanted_voters(standing)
    if learner is not None and wanted and may_grow(standing):
        return with_change(group, learner, evolve(learner, voter=True))
    dropped = learner_to_drop(standing) if standing.policy.open else None
    return without(group, dropped) if dropped is not None else None


def wanted_voters(standing: Standing) -> int:
    """Return how many voters the group is to have: in a closed group one of each name."""
    if standing.policy.open:
        return standing.policy.voters
    return len({member.name for member in standing.group.members})


def next_voter(standing: Standing) -> GroupMember | None:
    """Return a learner that may become a voter: a successor of a voter's name comes first."""
    members = standing.group.members
    names = {member.name for member in members if member.voter}
    ready = [
        member
        for member in members
        if not member.voter
        and member.name not in standing.retiring
        and is_caught_up(member, standing)
    ]
    ready.sort(key=lambda member: member.name not in names)
    return ready[0] if ready else None


def other_voters(standing: Standing) -> list[GroupMember]:
    """Return the voters without the leader."""
    members = standing.group.members
    return [m for m in members if m.voter and m.data_id != standing.own_id]


def voter_to_drop(standing: Standing) -> GroupMember | None:
    """Return the voter whose place is to be given away: one without its disk, or one that is lost.

    A replica that joins under a name with a new data folder says that the former folder is gone;
    members stand in the order in which they came.
    """
    members, others = standing.group.members, other_voters(standing)
    for voter in others:
        later = members[members.index(voter) + 1 :]
        if any(member.name == voter.name for member in later):
            return voter
    if standing.policy.open:
        for voter in others:
            if voter.name in standing.retiring or is_silent(voter, standing):
                return voter
    return None


def least_heard_voter(standing: Standing) -> GroupMember:
    """Return the voter that answered the longest time ago."""
    return min(other_voters(standing), key=lambda voter: heard_at(voter, standing))


def may_grow(standing: Standing) -> bool:
    """Return whether one more voter, which answers, leaves the group able to decide."""
    answering = sum(
        heard_at(voter, standing) >= standing.heard_since for voter in other_voters(standing)
    )
    voters = len(standing.group.voters()) + 1
    return 1 + answering + 1 > voters // 2


def heard_at(member: GroupMember, standing: Standing) -> float:
    """Return when a follower last answered."""
    peer = standing.progress.get(member.data_id)
    return peer.heard_at if peer is not None else float("-inf")


def learner_to_drop(standing: Standing) -> GroupMember | None:
    """Return a learner that is retiring or was silent for long."""
    for member in standing.group.members:
        leaves = member.name in standing.retiring or is_silent(member, standing)
        if not member.voter and leaves:
            return member
    return None


def is_silent(member: GroupMember, standing: Standing) -> bool:
    """Return whether a member was not heard for so long that another takes its place."""
    peer = standing.progress.get(member.data_id)
    return peer is not None and peer.heard_at < standing.now - standing.policy.replace_after_s


def is_caught_up(learner: GroupMember, standing: Standing) -> bool:
    """Return whether a learner holds nearly the whole log and answers."""
    peer = standing.progress.get(learner.data_id)
    if peer is None or not peer.match_index:
        return False
    near = peer.match_index + LEARNER_LAG_ENTRIES >= standing.last_index
    return near and peer.heard_at >= standing.heard_since


def with_change(group: Group, before: GroupMember, after: GroupMember) -> Group:
    """Return a group in which one member is changed."""
    return Group(tuple(after if member == before else member for member in group.members))


def without(group: Group, gone: GroupMember) -> Group:
    """Return a group without one member."""
    return Group(tuple(member for member in group.members if member != gone))
