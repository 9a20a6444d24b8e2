"""Messages between control replicas, and the entries of the replicated log.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, read index and
single-server membership changes. The `source` and `target` of a message are data ids.
"""

from __future__ import annotations

from enum import StrEnum

from attrs import define, field, frozen


class EntryKind(StrEnum):
    """Kind of a log entry's payload."""

    NOOP = "noop"
    COMMAND = "command"
    GROUP = "group"


@frozen
class Entry:
    """One entry of the replicated log.

    :param at_ms: the leader's clock in milliseconds; it never decreases along the log.
    """

    index: int
    term: int
    at_ms: int
    kind: EntryKind
    payload: bytes = b""


@frozen
class GroupMember:
    """A replica in the group.

    :param data_id: identity of the data folder; a replica with a new disk has a new one.
    """

    name: str
    data_id: str
    address: str
    voter: bool = True


@frozen
class Group:
    """The replicas that hold the log, in the order of joining."""

    members: tuple[GroupMember, ...] = ()

    def voters(self) -> list[str]:
        """Return the data ids of the voting members."""
        return [member.data_id for member in self.members if member.voter]

    def find(self, data_id: str) -> GroupMember | None:
        """Return the member with this data id, or None."""
        return next((member for member in self.members if member.data_id == data_id), None)

    def has_other(self, member: GroupMember) -> bool:
        """Return whether another member has the same name."""
        return any(m.name == member.name and m != member for m in self.members)

    def predecessors(self, data_id: str, name: str) -> list[str]:
        """Return the data ids of the members that a replica replaces by its name.

        :param data_id: the replica's data id; members that joined after it are not replaced.
        """
        own = self.find(data_id)
        earlier = self.members[: self.members.index(own)] if own else self.members
        return [member.data_id for member in earlier if member.name == name != ""]

    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters()) // 2 + 1


@frozen
class KnownGroup:
    """A group with the position in the log of the entry that holds it.

    :param term: term of the entry; of two groups, the one of the later term is newer, and within a
        term the one of the higher index.
    """

    term: int
    index: int
    group: Group

    def is_newer_than(self, other: KnownGroup) -> bool:
        """Return whether this group may have replaced another one."""
        return (self.term, self.index) > (other.term, other.index)


@frozen
class HardState:
    """State that must survive a restart.

    :param voted_for: data id of the candidate voted for in the term; empty for none.
    :param named_group: the newest group that another replica named in an election, None if none
        was newer than that of the log.
    """

    term: int = 0
    voted_for: str = ""
    named_group: KnownGroup | None = None


@frozen
class Part:
    """A piece of a snapshot's state that is stored and transferred by itself.

    Parts are named by their content, so that a part that did not change between two snapshots is
    neither written nor transferred again.

    :param digest: hash of the content, in hexadecimal.
    :param size: length of the content in bytes.
    """

    digest: str
    size: int


@frozen
class Snapshot:
    """The state machine's state after `index`, with the group at that index.

    :param state: the root of the state, which holds everything that is in none of the parts.
    :param parts: the other pieces of the state, in their order.
    """

    index: int
    term: int
    at_ms: int
    group: Group
    state: bytes
    parts: tuple[Part, ...] = ()

    @property
    def size(self) -> int:
        """Return the length of the state in bytes, with all parts."""
        return len(self.state) + sum(part.size for part in self.parts)


@define
class VoteRequest:
    """Request for a vote.

    :param pre: pre-vote: asks whether the vote would be granted, without starting an election.
    :param transfer: part of a leadership transfer; an active leader is no reason to refuse.
    :param target_name: name of the replica asked; one that runs under this name with another data
        folder answers that the target's is lost.
    :param group: the newest group that the candidate knows.
    """

    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False
    target_name: str = ""
    group: KnownGroup | None = None


@define
class VoteReply:
    """Reply to a vote request.

    :param lost: data id of the request's target if that data folder is lost and the source, which
        has the same name, answers in its place.
    :param has_log: whether the source holds a log, so that it may lead.
    :param group: the newest group that the source knows, if it is newer than the request's.
    """

    source: str
    target: str
    term: int
    granted: bool
    pre: bool = False
    lost: str = ""
    has_log: bool = True
    group: KnownGroup | None = None


@define
class AppendRequest:
    """Entries of the leader's log after `previous_index`; a heartbeat if there are none.

    :param commit: the leader's commit index.
    :param sequence: number of the leader's round of requests; the reply returns it.
    """

    source: str
    target: str
    term: int
    previous_index: int
    previous_term: int
    commit: int
    sequence: int
    leader_name: str = ""
    entries: list[Entry] = field(factory=list)


@define
class AppendReply:
    """A follower's reply to an append or install request.

    :param index: last index that matches the leader's log; on failure, a hint where to retry.
    """

    source: str
    target: str
    term: int
    success: bool
    index: int
    sequence: int


@define
class InstallRequest:
    """The leader's snapshot, for a follower whose next entry is no longer in the leader's log."""

    source: str
    target: str
    term: int
    sequence: int
    snapshot: Snapshot


@define
class CampaignRequest:
    """Request of the leader that a follower start an election at once (leadership transfer)."""

    source: str
    target: str
    term: int


@define
class JoinRequest:
    """Request to become a learner or, from a member, to change its address."""

    source: str
    target: str
    name: str
    address: str


PeerMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | InstallRequest
    | CampaignRequest
    | JoinRequest
)


@frozen
class PeerBatch:
    """Consensus messages to a replica, in order."""

    messages: list[PeerMessage]
