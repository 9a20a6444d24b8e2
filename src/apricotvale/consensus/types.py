"""Types of the consensus node: roles, timing, group policy, follower progress and pending work."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, field, frozen

from apricotvale.consensus.messages import Entry, PeerMessage, Snapshot
from apricotvale.consensus.storage import Record


class Role(StrEnum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@frozen
class Timing:
    """Protocol periods in seconds.

    :param heartbeat_s: interval between heartbeats.
    :param election_timeout_s: base election timeout.
    :param snapshot_timeout_s: wait for a sent snapshot to be acknowledged before it is sent again.
    """

    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.5
    snapshot_timeout_s: float = 2.0


@frozen
class GroupPolicy:
    """Size and admission rules of a group.

    A closed group has a fixed set of names. An open group accepts replicas that ask to join, up
    to `voters` voters and `learners` spare learners, and replaces a voter that has been silent
    for `replace_after_s` with a learner.
    """

    open: bool = False
    voters: int = 0
    learners: int = 0
    replace_after_s: float = float("inf")


@frozen
class NotLeader:
    """Result of a call that only the leader accepts; `leader` is the leader's name, if known."""

    leader: str = ""


@define
class Progress:
    """Replication progress of one follower, as tracked by the leader.

    :param acked_sequence: highest request sequence that the follower answered.
    :param rewind_sequence: sequence at the last rewind of `next_index`; earlier failures are stale.
    :param heard_at: time of the last reply.
    :param probing: whether the end of the log in common is unknown after a failed request.
    :param snapshot_retry_at: earliest time to send the snapshot again; 0 if none is in flight.
    """

    next_index: int
    match_index: int = 0
    acked_sequence: int = 0
    rewind_sequence: int = 0
    heard_at: float = 0.0
    snapshot_retry_at: float = 0.0
    probing: bool = False


@define
class Ready:
    """Work for the replica's owner.

    :param records: records to persist.
    :param snapshot: snapshot to install.
    :param messages: messages to send at any time.
    :param messages_after_sync: messages to send only after the records are synced.
    :param committed: entries to apply.
    :param reads: tickets of confirmed reads.
    :param failed_reads: tickets of reads that can no longer be confirmed.
    """

    records: list[Record] = field(factory=list)
    snapshot: Snapshot | None = None
    messages: list[PeerMessage] = field(factory=list)
    messages_after_sync: list[PeerMessage] = field(factory=list)
    committed: list[Entry] = field(factory=list)
    reads: list[int] = field(factory=list)
    failed_reads: list[int] = field(factory=list)
