"""What a consensus node takes and gives: periods, roles, progress of followers, work to do."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, field, frozen

from apricotvale.consensus.messages import Entry, PeerMessage, Snapshot
from apricotvale.consensus.storage import Record


class Role(StrEnum):
    """What a replica currently does in its group."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@frozen
class Timing:
    """Protocol periods in seconds."""

    heartbeat_s: float = 0.1
    election_s: float = 0.5
    install_s: float = 2.0


@frozen
class GroupPolicy:
    """How a group keeps its size.

    A closed group consists of a fixed table of names. An open one takes in replicas by themselves:
    it wants `voters` of them and up to `learners` spare ones, and gives the place of a voter that
    was silent for `replace_after_s` to a spare one.
    """

    open: bool = False
    voters: int = 0
    learners: int = 0
    replace_after_s: float = float("inf")


@frozen
class NotLeader:
    """The replica cannot accept the call; `leader` names who may, if known."""

    leader: str = ""


@define
class Progress:
    """What the leader knows about one follower."""

    next_index: int
    match_index: int = 0
    acked_sequence: int = 0
    rewound_at: int = 0
    heard_at: float = 0.0
    install_until: float = 0.0


@define
class Ready:
    """Work for the replica's owner."""

    records: list[Record] = field(factory=list)
    install: Snapshot | None = None
    early: list[PeerMessage] = field(factory=list)
    late: list[PeerMessage] = field(factory=list)
    committed: list[Entry] = field(factory=list)
    reads: list[int] = field(factory=list)
    failed_reads: list[int] = field(factory=list)
