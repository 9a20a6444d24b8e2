"""Messages between control replicas, and the entries of the replicated log.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a quorum check by the leader,
read index and change of one voter at a time.
"""

from __future__ import annotations

from enum import StrEnum

from attrs import define, field, frozen


class EntryKind(StrEnum):
    """What the payload of a log entry is."""

    NOOP = "noop"
    COMMAND = "command"
    GROUP = "group"


@frozen
class Entry:
    """One entry of the replicated log; `at_ms` is the leader's clock, monotone over the log."""

    index: int
    term: int
    at_ms: int
    kind: EntryKind
    payload: bytes = b""


@frozen
class HardState:
    """What a replica must not forget: its term and the candidate (data id) it voted for."""

    term: int = 0
    voted_for: str = ""


@frozen
class GroupMember:
    """A replica in the group. `data_id` names its data folder and changes when the disk is new."""

    name: str
    data_id: str
    address: str
    voter: bool = True


@frozen
class Group:
    """The replicas that hold the log, in the order in which they were added."""

    members: tuple[GroupMember, ...] = ()

    def voters(self) -> list[str]:
        """Return the data ids of the voting members."""
        return [member.data_id for member in self.members if member.voter]

    def find(self, data_id: str) -> GroupMember | None:
        """Return the member with this data id."""
        return next((member for member in self.members if member.data_id == data_id), None)

    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters()) // 2 + 1


@frozen
class Snapshot:
    """The state machine's state after `index`, with the group in force there."""

    index: int
    term: int
    at_ms: int
    group: Group
    state: bytes


@define
class VoteRequest:
    """A candidate asks for a vote; with `pre` it asks only whether it would get one."""

    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@define
class VoteReply:
    """The answer to a vote request."""

    source: str
    target: str
    term: int
    granted: bool
    pre: bool = False


@define
class AppendRequest:
    """The leader's entries after `previous_index`; without entries it is a heartbeat."""

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
    """A follower's answer: with success, `index` is matched; otherwise it is a hint."""

    source: str
    target: str
    term: int
    success: bool
    index: int
    sequence: int


@define
class InstallRequest:
    """The leader's snapshot for a replica that is too far behind the log."""

    source: str
    target: str
    term: int
    sequence: int
    snapshot: Snapshot


@define
class CampaignRequest:
    """The leader asks a follower to start an election at once (leadership transfer)."""

    source: str
    target: str
    term: int


@define
class JoinRequest:
    """A replica with an empty data folder asks to become a learner."""

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
