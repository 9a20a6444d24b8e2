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
class HardState:
    """State that must survive a restart: the term and the data id of the candidate voted for."""

    term: int = 0
    voted_for: str = ""


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

    def predecessors(self, data_id: str) -> list[str]:
        """Return the data ids of the earlier members with the name of a member."""
        own = self.find(data_id)
        earlier = self.members[: self.members.index(own)] if own else ()
        return [m.data_id for m in earlier if own is not None and m.name == own.name]

    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters()) // 2 + 1


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
    """

    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False
    target_name: str = ""


@define
class VoteReply:
    """Reply to a vote request.

    :param lost: data id of the request's target if that data folder is lost and the source, which
        has the same name, answers in its place.
    """

    source: str
    target: str
    term: int
    granted: bool
    pre: bool = False
    lost: str = ""


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
