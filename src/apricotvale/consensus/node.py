"""Raft state machine of one replica, without network, disk or clock access.

The owner passes in messages and the time, then takes a `Ready`. It sends `messages` and applies the
committed entries at any time, persists the records, calls `synced`, and only then sends
`messages_after_sync`. While it persists them it may take what does not depend on the disk.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve

from apricotvale.consensus import membership
from apricotvale.consensus.log import Log
from apricotvale.consensus.messages import (
    AppendReply,
    AppendRequest,
    CampaignRequest,
    Entry,
    EntryKind,
    Group,
    GroupMember,
    HardState,
    InstallRequest,
    JoinRequest,
    KnownGroup,
    PeerMessage,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from apricotvale.consensus.storage import EntriesRecord, Stored, TruncateRecord, with_term
from apricotvale.consensus.types import GroupPolicy, NotLeader, Progress, Ready, Role, Timing

MAX_APPEND_BYTES = 512 * 1024
# The minima and the ranges of random waits are multiples of `Timing.election_timeout_s`.
ELECTION_TIMEOUT_MIN_FACTOR = 1.1
ELECTION_TIMEOUT_JITTER_FACTOR = 0.5
ELECTION_RETRY_MIN_FACTOR = 0.1
ELECTION_RETRY_JITTER_FACTOR = 0.4
# Upper bound of the back-off between elections. Without back-off, candidates whose votes take
# longer than one retry interval would restart their elections forever before the votes arrive.
MAX_ELECTION_BACKOFF_FACTOR = 8
# At start a replica waits for one or two heartbeats of an active leader, not for a whole election
# timeout: after a restart of all replicas there is no leader and callers are waiting.
STARTUP_TIMEOUT_MIN_FACTOR = 0.3
STARTUP_TIMEOUT_JITTER_FACTOR = 0.4
# An election waits for its votes at least this many times as long as the pre-vote took. Without
# it, candidates whose votes arrive slowly start one election after the other.
VOTE_WAIT_FACTOR = 2.0
# Upper bound of that wait, as a multiple of `Timing.election_timeout_s`: a pre-vote also takes long
# because the other voters are down.
MAX_VOTE_WAIT_FACTOR = 2.0
# Range of the random wait after the leader's process was found to be gone. A few round trips are
# enough for one candidate to win before the next one starts.
LEADER_DOWN_JITTER_FACTOR = 0.15
# A recovery election takes place in the next term that is a multiple of this number. The lost
# voters may have voted in terms that no remaining replica knows; they cannot have held so many
# elections since the last term that one knows.
RECOVERY_TERM_STEP = 1_000_000


class Node:
    """Consensus state of one replica.

    :param data_id: identity of the replica's data folder.
    :param stored: state loaded from the data folder.
    :param timing: protocol periods.
    :param encode_group: encodes a group as an entry's payload.
    :param decode_group: decodes a group from an entry's payload.
    :param jitter: returns a random number in [0, 1) that randomises election timeouts.
    :param now: time on the owner's clock, in seconds, as in all methods.
    :param name: name of the replica, sent to followers as the leader's name.
    :param policy: size and admission rules of the group; a closed group by default.
    """

    def __init__(
        self,
        data_id: str,
        stored: Stored,
        timing: Timing,
        encode_group: Callable[[Group], bytes],
        decode_group: Callable[[bytes], Group],
        jitter: Callable[[], float],
        now: float,
        name: str = "",
        policy: GroupPolicy | None = None,
    ) -> None:
        self.data_id = data_id
        self.name = name
        self.policy = policy or GroupPolicy()
        self.retiring: frozenset[str] = frozenset()
        self.timing = timing
        self.encode_group = encode_group
        self.decode_group = decode_group
        self.jitter = jitter
        self.hard_state = stored.hard_state
        self.log = Log(stored.snapshot, stored.entries)
        self.groups: list[tuple[int, Group]] = [(self.log.snapshot.index, self.log.snapshot.group)]
        self.record_groups(stored.entries)
        self.commit_index = self.log.snapshot.index
        self.applied_index = self.log.snapshot.index
        self.synced_index = self.log.last_index
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leader_name = ""
        self.leader_heard_at = float("-inf")
        self.leader_is_down = False
        self.votes: set[str] = set()
        # Data ids of the successors that granted their votes, by the lost data id.
        self.successors: dict[str, str] = {}
        # Members that granted their votes and hold no log, so that they cannot lead.
        self.empty_members: set[str] = set()
        self.pre_voting = False
        self.recovering = False
        # When the first of the pre-votes began that have not been won or ended since.
        self.pre_vote_at = now
        self.election_attempts = 0
        self.progress: dict[str, Progress] = {}
        self.sequence = 0
        self.heartbeat_at = 0.0
        self.queued_reads: list[int] = []
        self.unconfirmed_reads: list[tuple[int, int, int]] = []
        self.next_read_ticket = 1
        self.broadcast_pending = False
        self.term_start_index = 0
        # Successors by lost data id if this replica won its last election by a recovery.
        self.recovered_from: dict[str, str] = {}
        # Set by the owner while its state must stay the same.
        self.holds_committed = False
        self.ready = Ready()
        self.election_at = now + timing.election_timeout_s * (
            STARTUP_TIMEOUT_MIN_FACTOR + STARTUP_TIMEOUT_JITTER_FACTOR * jitter()
        )

    # State common to all roles

    @property
    def term(self) -> int:
        """Return the replica's current term."""
        return self.hard_state.term

    @property
    def group(self) -> Group:
        """Return the current group, which is the last one in the log, committed or not."""
        return self.groups[-1][1]

    @property
    def newest_group(self) -> KnownGroup:
        """Return the newest group that this replica knows, from its log or from an election."""
        index, group = self.groups[-1]
        # The term of an entry that was compacted away is unknown; the snapshot's is no earlier.
        index = max(index, self.log.snapshot.index)
        own = KnownGroup(self.log.term_at(index) or 0, index, group)
        named = self.hard_state.named_group
        return named if named is not None and named.is_newer_than(own) else own

    def electorate(self) -> list[GroupMember]:
        """Return the members of this replica's group, and those that a newer group adds."""
        newest = self.newest_group.group.members
        return [*self.group.members, *(m for m in newest if self.group.find(m.data_id) is None)]

    def find_member(self, data_id: str) -> GroupMember | None:
        """Return the member of the own or of the newest group with this data id, or None."""
        return self.group.find(data_id) or self.newest_group.group.find(data_id)

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter."""
        return self.data_id in self.group.voters()

    def election_deadline(self, now: float) -> float:
        """Return the time one randomised election timeout from now."""
        return now + self.timing.election_timeout_s * (
            ELECTION_TIMEOUT_MIN_FACTOR + ELECTION_TIMEOUT_JITTER_FACTOR * self.jitter()
        )

    def record_groups(self, entries: list[Entry]) -> None:
        """Record the groups in entries; a group takes effect when it is appended."""
        for entry in entries:
            if entry.kind is EntryKind.GROUP and entry.index > self.groups[0][0]:
                self.groups.append((entry.index, self.decode_group(entry.payload)))

    def set_hard_state(self, hard_state: HardState) -> None:
        """Set the hard state and queue it for persistence."""
        self.hard_state = hard_state
        self.ready.records.append(hard_state)

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Become a follower in a term; unconfirmed reads fail."""
        if term > self.term:
            self.set_hard_state(with_term(self.hard_state, term))
        self.role = Role.FOLLOWER
        self.leader_id = leader
        self.leader_name = "" if not leader else self.leader_name
        self.pre_voting = False
        self.votes = set()
        self.successors = {}
        self.empty_members = set()
        self.progress = {}
        self.ready.failed_reads += self.queued_reads
        self.ready.failed_reads += [ticket for ticket, _, _ in self.unconfirmed_reads]
        self.queued_reads = []
        self.unconfirmed_reads = []
        self.broadcast_pending = False
        self.election_at = self.election_deadline(now)

    def append_entries(self, entries: list[Entry]) -> None:
        """Append entries to the log and queue them for persistence."""
        self.log.append(entries)
        self.record_groups(entries)
        self.ready.records.append(EntriesRecord(entries))

    def send(self, message: PeerMessage, before_sync: bool = False) -> None:
        """Queue a message.

        :param before_sync: the message does not depend on this replica's pending disk writes.
        """
        (self.ready.messages if before_sync else self.ready.messages_after_sync).append(message)

    # Timers

    def tick(self, now: float) -> None:
        """Run the timers: heartbeats and quorum check on a leader, else the election timeout."""
        if self.role is Role.LEADER:
            self.tick_leader(now)
        elif now >= self.election_at:
            self.campaign(now, pre=True)

    def next_deadline(self) -> float:
        """Return the time of the next heartbeat or election timeout."""
        return self.heartbeat_at if self.role is Role.LEADER else self.election_at

    def tick_leader(self, now: float) -> None:
        """Step down without an active quorum, else send heartbeats and adjust the group."""
        if not self.has_active_quorum(now):
            self.become_follower(self.term, "", now)
            return
        if now >= self.heartbeat_at:
            self.broadcast(now)
        self.adjust_group(now)

    def has_active_quorum(self, now: float) -> bool:
        """Return whether a majority of the voters replied within the last election timeout."""
        active_since = now - self.timing.election_timeout_s
        heard = sum(
            1
            for voter in self.group.voters()
            if voter == self.data_id
            or (voter in self.progress and self.progress[voter].heard_at >= active_since)
        )
        return heard >= self.group.quorum()

    # Elections

    def campaign(
        self, now: float, pre: bool, transfer: bool = False, recovery: bool = False
    ) -> None:
        """Start a pre-vote or an election and request votes from the other members.

        The votes of learners and of members that only a newer group has count only in a recovery,
        and so does an election of a learner or, in a closed group, of a replica that only has the
        name of a member.

        A retry after a split vote comes sooner than the first attempt: the leader is already
        known to be silent, and the pre-vote prevents the disruption of an active one. The wait
        after an election grows with each election that produced no leader; a pre-vote does not
        lengthen it.

        :param pre: run a pre-vote, which leaves the term unchanged.
        :param transfer: the election is part of a leadership transfer.
        :param recovery: the election is a recovery, see `can_recover`.
        """
        wait = ELECTION_RETRY_MIN_FACTOR + ELECTION_RETRY_JITTER_FACTOR * self.jitter()
        if not pre:
            self.election_attempts += 1
            wait *= min(MAX_ELECTION_BACKOFF_FACTOR, self.election_attempts)
        wait_s = self.timing.election_timeout_s * wait
        if not pre:
            slowest_s = MAX_VOTE_WAIT_FACTOR * self.timing.election_timeout_s
            wait_s = max(wait_s, min(slowest_s, VOTE_WAIT_FACTOR * (now - self.pre_vote_at)))
        elif not self.pre_voting:
            self.pre_vote_at = now
        self.election_at = now + wait_s
        predecessors = self.group.predecessors(self.data_id, self.name)
        # An open group may have accepted members that a replica that has not joined cannot know.
        may_recover = bool(predecessors) and not self.policy.open
        if self.group.find(self.data_id) is None and not may_recover:
            return
        self.leader_id = ""
        self.pre_voting = pre
        self.recovering = recovery
        self.role = Role.FOLLOWER if pre else Role.CANDIDATE
        term = self.term + 1
        if recovery:
            term = (self.term // RECOVERY_TERM_STEP + 1) * RECOVERY_TERM_STEP
        if not pre:
            self.set_hard_state(evolve(self.hard_state, term=term, voted_for=self.data_id))
        self.votes = {self.data_id}
        self.empty_members = set()
        newest = self.newest_group
        predecessors += newest.group.predecessors(self.data_id, self.name)
        self.successors = dict.fromkeys(predecessors, self.data_id)
        log = self.log
        for member in self.electorate():
            if member.name == self.name:
                continue
            self.send(
                VoteRequest(
                    self.data_id,
                    member.data_id,
                    term,
                    log.last_index,
                    log.last_term,
                    pre,
                    transfer,
                    member.name,
                    newest,
                )
            )
        self.count_votes(now)

    def on_leader_down(self, leader_id: str, now: float) -> None:
        """Start an election soon, since no process listens at the leader's address any more.

        Load pattern: the process of the leader is killed while its VM goes on. Waiting for the
        election timeout would leave jobs and calls without a leader for most of a second. The
        pre-vote fails while a majority still hears the leader.
        """
        if self.role is not Role.FOLLOWER or self.leader_id != leader_id or not leader_id:
            return
        self.leader_is_down = True
        wait_s = self.timing.election_timeout_s * LEADER_DOWN_JITTER_FACTOR * self.jitter()
        self.election_at = min(self.election_at, now + wait_s)

    def count_votes(self, now: float) -> None:
        """Start the election after a won pre-vote, or become leader after a won election."""
        granted = len(self.votes & set(self.group.voters()))
        has_majority = self.is_voter and granted >= self.group.quorum()
        # An election that was not begun as a recovery has an ordinary term.
        may_recover = self.pre_voting or self.recovering
        if not has_majority and not (may_recover and self.can_recover()):
            return
        if self.pre_voting:
            self.campaign(now, pre=False, recovery=not has_majority)
        elif self.role is Role.CANDIDATE:
            self.become_leader(now, recovers=not has_majority)

    def can_recover(self) -> bool:
        """Return whether the answers allow an election without a majority of the voters.

        Load pattern: voters lose their disks faster than their successors can join, for example
        while the leader is frozen. The remaining voters are then fewer than a majority for good,
        although they hold everything that was committed.

        So many voters have to be lost or empty that no majority can elect one of its own, and
        every member has to grant its vote, or its successor in its place. Each data folder that
        exists is then at most as up to date as this replica's. A member that does not answer,
        since it is cut off or down, may hold more. A group that has replaced this replica may have
        members that its log does not name; the replicas that it asks name the newest group of
        which they have heard.
        """
        voters_with_log = set(self.group.voters()) - self.successors.keys() - self.empty_members
        if len(voters_with_log) >= self.group.quorum():
            return False
        members = {member.data_id for member in self.electorate()}
        return members <= self.votes | self.successors.keys()

    def become_leader(self, now: float, recovers: bool = False) -> None:
        """Become leader and append an entry, whose commit commits all earlier entries too.

        :param recovers: the entry holds a group in which successors replace the lost members.
            Nothing is committed before a majority of that group, empty successors included, has
            caught up.
        """
        self.recovered_from = dict(self.successors) if recovers else {}
        self.election_attempts = 0
        self.role = Role.LEADER
        self.leader_id = self.data_id
        self.leader_name = self.name
        self.term_start_index = self.log.last_index + 1
        if recovers:
            group = membership.recovered_group(self.group, self.data_id, self.successors)
            self.append_as_leader(EntryKind.GROUP, self.encode_group(group), self.log.last_at_ms)
        else:
            self.append_as_leader(EntryKind.NOOP, b"", self.log.last_at_ms)
        self.progress = {
            member.data_id: Progress(self.term_start_index, heard_at=now)
            for member in self.group.members
        }
        self.broadcast(now)

    def on_vote_request(self, request: VoteRequest, now: float) -> None:
        """Reply to a vote request.

        The vote is granted if no leader is active, no other candidate has this replica's vote in
        the term and the candidate's log is up to date.

        For a leadership transfer, an active leader is no reason to refuse. A pre-vote does not
        depend on votes cast.
        """
        self.learn_group(request.group)
        heard_recently = now < self.leader_heard_at + self.timing.election_timeout_s
        leader_alive = heard_recently and not self.leader_is_down
        if self.role is Role.LEADER:
            leader_alive = True
        if leader_alive and not request.transfer:
            self.reply_vote(request, False)
            return
        if not request.pre and request.term > self.term:
            self.become_follower(request.term, "", now)
        current = (self.log.last_term, self.log.last_index)
        up_to_date = (request.last_term, request.last_index) >= current
        if request.pre:
            self.reply_vote(request, up_to_date and request.term > self.term)
            return
        vote_available = self.hard_state.voted_for in ("", request.source)
        granted = (
            up_to_date
            and vote_available
            and request.term == self.term
            and self.role is Role.FOLLOWER
        )
        if granted:
            self.set_hard_state(evolve(self.hard_state, voted_for=request.source))
            self.election_at = self.election_deadline(now)
        self.reply_vote(request, granted)

    def learn_group(self, named: KnownGroup | None) -> None:
        """Store a group that another replica names, if it is newer than all that are known.

        It outlives the log of the replica that names it: a candidate whose log is older then asks
        the members of this group too.
        """
        if named is not None and named.is_newer_than(self.newest_group):
            self.set_hard_state(evolve(self.hard_state, named_group=named))

    def reply_vote(self, request: VoteRequest, granted: bool) -> None:
        """Reply with the request's term if the vote is granted, else with this replica's term."""
        term = request.term if granted else self.term
        lost = request.target if request.target != self.data_id else ""
        has_log = self.log.last_index > 0
        newest = self.newest_group
        is_news = request.group is None or newest.is_newer_than(request.group)
        group = newest if is_news else None
        self.send(
            VoteReply(
                self.data_id, request.source, term, granted, request.pre, lost, has_log, group
            )
        )

    def on_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a granted vote; step down if a refusal carries a newer term.

        A leader takes note of successors that answer after it was elected.
        """
        self.learn_group(reply.group)
        if not reply.granted:
            if reply.term > self.term:
                self.become_follower(reply.term, "", now)
            return
        expected_term = self.term + 1 if reply.pre else self.term
        if reply.term != expected_term or reply.pre != self.pre_voting:
            return
        if not reply.pre and self.role is Role.FOLLOWER:
            return
        if reply.lost:
            self.successors[reply.lost] = reply.source
        else:
            self.votes.add(reply.source)
            if not reply.has_log:
                self.empty_members.add(reply.source)
        self.count_votes(now)

    def on_campaign_request(self, request: CampaignRequest, now: float) -> None:
        """Start an election at once, as part of a leadership transfer."""
        if request.term == self.term and self.is_voter:
            self.campaign(now, pre=False, transfer=True)

    def transfer(self, now: float) -> bool:
        """Start a leadership transfer to the most advanced active voter that is not retiring.

        Return whether a voter with the complete log was asked.
        """
        if self.role is not Role.LEADER:
            return False
        active_since = now - self.timing.election_timeout_s
        eligible = {
            m.data_id for m in self.group.members if m.voter and m.name not in self.retiring
        }
        others = [
            (peer.match_index, voter)
            for voter, peer in self.progress.items()
            if voter != self.data_id and voter in eligible and peer.heard_at >= active_since
        ]
        if not others:
            return False
        match_index, target = max(others)
        if match_index < self.log.last_index:
            return False
        self.send(CampaignRequest(self.data_id, target, self.term), before_sync=True)
        return True

    # Replication on the leader

    def append_as_leader(self, kind: EntryKind, payload: bytes, at_ms: int) -> Entry:
        """Append one entry in this term; its timestamp never precedes the last entry's."""
        at_ms = max(at_ms, self.log.last_at_ms)
        entry = Entry(self.log.last_index + 1, self.term, at_ms, kind, payload)
        self.append_entries([entry])
        return entry

    def propose(self, payload: bytes, at_ms: int) -> Entry | NotLeader:
        """Append a command to the log; return its entry, or NotLeader if not leading."""
        if self.role is not Role.LEADER:
            return NotLeader(self.leader_name)
        return self.append_as_leader(EntryKind.COMMAND, payload, at_ms)

    def read(self) -> int | NotLeader:
        """Queue a linearizable read; return its ticket, or NotLeader if not leading."""
        if self.role is not Role.LEADER:
            return NotLeader(self.leader_name)
        ticket = self.next_read_ticket
        self.next_read_ticket += 1
        self.queued_reads.append(ticket)
        return ticket

    def broadcast(self, now: float) -> None:
        """Send each follower its missing entries, or a heartbeat.

        Replies from a majority also confirm the queued reads, once the term's first entry is
        committed.
        """
        self.sequence += 1
        self.heartbeat_at = now + self.timing.heartbeat_s
        if self.commit_index >= self.term_start_index:
            for ticket in self.queued_reads:
                self.unconfirmed_reads.append((ticket, self.sequence, self.commit_index))
            self.queued_reads = []
        for member in self.group.members:
            if member.data_id != self.data_id:
                peer = self.progress.setdefault(
                    member.data_id, Progress(self.log.last_index + 1, heard_at=now)
                )
                self.send_append(member.data_id, peer, now)
        self.confirm_reads()

    def send_append(self, target: str, peer: Progress, now: float) -> None:
        """Send a follower its missing entries.

        If they were compacted away, send the snapshot and a heartbeat instead. While the end of
        the common log is unknown, send no entries: most of them would be sent in vain.
        """
        previous = peer.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self.send_install(target, peer, now)
            previous, previous_term = self.log.last_index, self.log.last_term
            entries: list[Entry] = []
        elif peer.probing:
            entries = []
        else:
            entries = self.log.slice(peer.next_index, self.log.last_index, MAX_APPEND_BYTES)
            peer.next_index += len(entries)
        self.send(
            AppendRequest(
                self.data_id,
                target,
                self.term,
                previous,
                previous_term,
                self.commit_index,
                self.sequence,
                self.name,
                entries,
            ),
            before_sync=True,
        )

    def send_install(self, target: str, peer: Progress, now: float) -> None:
        """Send the snapshot, unless an earlier one may still be in flight."""
        if now < peer.snapshot_retry_at:
            return
        peer.snapshot_retry_at = now + self.timing.snapshot_timeout_s
        message = InstallRequest(self.data_id, target, self.term, self.sequence, self.log.snapshot)
        self.send(message, before_sync=True)

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Update a follower's progress and commit what a majority holds."""
        if reply.term > self.term:
            self.become_follower(reply.term, "", now)
            return
        peer = self.progress.get(reply.source)
        if self.role is not Role.LEADER or reply.term < self.term or peer is None:
            return
        peer.heard_at = now
        peer.acked_sequence = max(peer.acked_sequence, reply.sequence)
        if reply.success:
            peer.probing = False
            peer.match_index = max(peer.match_index, reply.index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            peer.snapshot_retry_at = 0.0 if reply.index >= self.log.snapshot.index else now
            self.advance_commit()
        elif now >= peer.snapshot_retry_at and reply.sequence > peer.rewind_sequence:
            # Failures of requests sent before this rewind are stale; handling each of them would
            # send the same entries repeatedly.
            peer.rewind_sequence = self.sequence
            self.sequence += 1
            peer.probing = True
            peer.next_index = max(peer.match_index, min(reply.index, peer.next_index - 1)) + 1
            if peer.next_index <= self.log.last_index:
                self.send_append(reply.source, peer, now)
        if peer.next_index <= self.log.last_index and reply.success:
            self.send_append(reply.source, peer, now)
        self.confirm_reads()

    def advance_commit(self) -> None:
        """Commit up to the newest entry of this term that a majority has synced."""
        matched = sorted(
            (
                self.synced_index
                if voter == self.data_id
                else self.progress[voter].match_index if voter in self.progress else 0
            )
            for voter in self.group.voters()
        )
        if not matched:
            return
        index = matched[len(matched) - self.group.quorum()]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self.broadcast_pending = True

    def confirm_reads(self) -> None:
        """Confirm reads whose heartbeat a majority acknowledged and whose index is applied."""
        acked = sorted(
            (
                self.sequence
                if voter == self.data_id
                else self.progress[voter].acked_sequence if voter in self.progress else 0
            )
            for voter in self.group.voters()
        )
        if not acked:
            return
        sequence = acked[len(acked) - self.group.quorum()]
        still_waiting = []
        for ticket, required_sequence, index in self.unconfirmed_reads:
            if required_sequence <= sequence and index <= self.applied_index:
                self.ready.reads.append(ticket)
            else:
                still_waiting.append((ticket, required_sequence, index))
        self.unconfirmed_reads = still_waiting

    # Replication on a follower

    def on_append_request(self, request: AppendRequest, now: float) -> None:
        """Append the leader's entries if the log matches at `previous_index`."""
        if request.term < self.term:
            self.reply_append(request, False, self.log.last_index)
            return
        self.accept_leader(request.term, request.source, request.leader_name, now)
        local_term = self.log.term_at(request.previous_index)
        if local_term is None and request.previous_index <= self.commit_index:
            self.reply_append(request, True, self.commit_index)
            return
        if local_term != request.previous_term:
            hint = self.last_possible_match(request.previous_index, request.previous_term)
            self.reply_append(request, False, max(hint, self.commit_index))
            return
        self.merge_entries(request.entries)
        matched = request.previous_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.commit, matched))
        self.reply_append(request, True, matched)

    def last_possible_match(self, index: int, term: int) -> int:
        """Return an index before `index` at which this log is likely to match the leader's.

        Entries of a later term than the leader's at `index` differ from the leader's. The entries
        of the term that differs at `index` are skipped together: a leader that was cut off may
        have appended many of them.
        """
        hint = min(self.log.last_index, index - 1)
        differing_term = self.log.term_at(index)
        while hint > self.commit_index:
            local_term = self.log.term_at(hint)
            if local_term is not None and local_term <= term and local_term != differing_term:
                break
            hint -= 1
        return hint

    def accept_leader(self, term: int, leader: str, leader_name: str, now: float) -> None:
        """Follow a leader and restart the election timeout."""
        if term > self.term or self.role is not Role.FOLLOWER:
            self.become_follower(term, leader, now)
        self.leader_id = leader
        self.leader_name = leader_name or self.leader_name
        self.pre_voting = False
        self.leader_heard_at = now
        self.leader_is_down = False
        self.election_attempts = 0
        self.election_at = self.election_deadline(now)

    def merge_entries(self, entries: list[Entry]) -> None:
        """Append new entries after truncating those that conflict with the leader's log."""
        for position, entry in enumerate(entries):
            local_term = self.log.term_at(entry.index)
            if local_term == entry.term or entry.index <= self.commit_index:
                continue
            if local_term is not None:
                self.truncate_after(entry.index - 1)
            self.append_entries(entries[position:])
            return

    def truncate_after(self, last: int) -> None:
        """Drop the entries after index `last` and the groups that they carry."""
        self.log.truncate(last)
        self.groups = [pair for pair in self.groups if pair[0] <= last] or self.groups[:1]
        self.synced_index = min(self.synced_index, last)
        self.ready.records.append(TruncateRecord(last))

    def reply_append(
        self, request: AppendRequest | InstallRequest, success: bool, index: int
    ) -> None:
        """Reply to the leader with the matched index, or a hint on failure."""
        self.send(
            AppendReply(self.data_id, request.source, self.term, success, index, request.sequence)
        )

    def on_install_request(self, request: InstallRequest, now: float) -> None:
        """Replace the log with the leader's snapshot, unless the log leads to it."""
        if request.term < self.term:
            self.reply_append(request, False, self.log.last_index)
            return
        self.accept_leader(request.term, request.source, "", now)
        snapshot = request.snapshot
        if self.log.term_at(snapshot.index) == snapshot.term:
            # The request is late: the log leads to the snapshot and may go on beyond it.
            self.commit_index = max(self.commit_index, snapshot.index)
        elif snapshot.index > self.commit_index:
            self.log.reset(snapshot)
            self.groups = [(snapshot.index, snapshot.group)]
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            self.synced_index = snapshot.index
            self.ready.snapshot = snapshot
            self.ready.committed = []
            self.ready.records = [
                record for record in self.ready.records if isinstance(record, HardState)
            ]
        self.reply_append(request, True, max(snapshot.index, self.commit_index))

    # Membership changes

    def on_join_request(self, request: JoinRequest, now: float) -> None:
        """Add a new replica as a learner, or update a known one's address."""
        if self.can_change_group():
            group = membership.group_after_join(request, self.membership_view(now))
            if group is not None:
                self.change_group(group, now)

    def can_change_group(self) -> bool:
        """Return whether this leader may change the group.

        An entry of its own term and the previous change must be committed.
        """
        return (
            self.role is Role.LEADER
            and self.commit_index >= self.term_start_index
            and self.groups[-1][0] <= self.commit_index
        )

    def adjust_group(self, now: float) -> None:
        """Start the next membership change, if one is due.

        Successors that answered for lost members in this leader's election join without a request
        of their own.
        """
        if not self.can_change_group():
            return
        view = self.membership_view(now)
        while self.successors:
            lost, successor = self.successors.popitem()
            member = self.group.find(lost)
            if member is not None and not self.group.has_other(member):
                request = JoinRequest(successor, self.data_id, member.name, member.address)
                group = membership.group_after_join(request, view)
                if group is not None:
                    self.change_group(group, now)
                    return
        group = membership.next_group(view)
        if group is not None:
            self.change_group(group, now)

    def membership_view(self, now: float) -> membership.LeaderView:
        """Return the inputs of a membership decision."""
        return membership.LeaderView(
            self.data_id,
            self.group,
            self.policy,
            self.progress,
            self.retiring,
            self.log.last_index,
            now - self.timing.election_timeout_s,
            now,
        )

    def change_group(self, group: Group, now: float) -> None:
        """Append a new group, which takes effect at once."""
        self.append_as_leader(EntryKind.GROUP, self.encode_group(group), self.log.last_at_ms)
        # The progress of a removed replica would be stale if it rejoined. It would also count as
        # having unsent entries, so that the leader would broadcast to the others without end.
        members = {member.data_id for member in group.members}
        self.progress = {key: peer for key, peer in self.progress.items() if key in members}
        self.broadcast(now)

    # Interface to the owner

    def receive(self, message: PeerMessage, now: float) -> None:
        """Handle a peer's message, unless it is for another data folder."""
        if not self.is_addressed(message):
            return
        if self.role is Role.LEADER:
            self.tick_leader(now)
        handler = {
            VoteRequest: self.on_vote_request,
            VoteReply: self.on_vote_reply,
            AppendRequest: self.on_append_request,
            AppendReply: self.on_append_reply,
            InstallRequest: self.on_install_request,
            CampaignRequest: self.on_campaign_request,
            JoinRequest: self.on_join_request,
        }[type(message)]
        handler(message, now)  # type: ignore[operator]

    def is_addressed(self, message: PeerMessage) -> bool:
        """Return whether a message is for this replica or for its lost predecessor."""
        if message.target == self.data_id or isinstance(message, JoinRequest):
            return True
        if not isinstance(message, VoteRequest):
            return False
        return message.target_name == self.name != ""

    def synced(self, index: int, term: int) -> None:
        """Record that the log is on disk up to an entry, unless the entry was since replaced."""
        if self.log.term_at(index) == term:
            self.synced_index = max(self.synced_index, index)
        if self.role is Role.LEADER:
            self.advance_commit()

    def take_ready(self, now: float, disk_is_busy: bool = False) -> Ready:
        """Return and clear the pending work; a leader first broadcasts if that is due.

        :param disk_is_busy: the records of an earlier call are still being written. What has to
            wait for the disk stays pending then: records, a snapshot, and the messages that depend
            on either.
        """
        if self.role is Role.LEADER and (
            self.has_confirmable_reads() or self.broadcast_pending or self.has_unsent_entries()
        ):
            self.broadcast_pending = False
            self.broadcast(now)
        waiting = Ready()
        if disk_is_busy:
            waiting = Ready(
                records=self.ready.records,
                messages_after_sync=self.ready.messages_after_sync,
                snapshot=self.ready.snapshot,
            )
            self.ready.records, self.ready.messages_after_sync = [], []
            self.ready.snapshot = None
        first = self.applied_index + 1
        # Entries after a snapshot can be applied once it is installed.
        held = self.holds_committed or waiting.snapshot is not None
        if self.commit_index >= first and not held:
            self.ready.committed = self.log.slice(first, self.commit_index)
            self.applied_index = self.commit_index
            if self.role is Role.LEADER:
                self.confirm_reads()
        ready = self.ready
        self.ready = waiting
        return ready

    def has_confirmable_reads(self) -> bool:
        """Return whether queued reads can be confirmed by the next heartbeat."""
        return bool(self.queued_reads) and self.commit_index >= self.term_start_index

    def has_work(self) -> bool:
        """Return whether `take_ready` would return work now."""
        ready = self.ready
        return bool(
            self.commit_index > self.applied_index
            or self.broadcast_pending
            or self.has_confirmable_reads()
            or ready.records
            or ready.messages_after_sync
            or ready.messages
            or ready.reads
            or ready.failed_reads
            or ready.snapshot
        )

    def has_unsent_entries(self) -> bool:
        """Return whether a follower that accepts entries has not been sent the end of the log."""
        return any(
            peer.next_index <= self.log.last_index
            for data_id, peer in self.progress.items()
            if data_id != self.data_id and accepts_entries(peer)
        )

    def compact(self, snapshot: Snapshot) -> list[Entry]:
        """Compact the log with a snapshot; return the entries that are kept."""
        self.log.compact(snapshot)
        before = [pair for pair in self.groups if pair[0] <= snapshot.index]
        self.groups = before[-1:] + [pair for pair in self.groups if pair[0] > snapshot.index]
        return self.log.entries


def accepts_entries(peer: Progress) -> bool:
    """Return whether a follower accepts entries, that is, no snapshot is in flight."""
    return peer.snapshot_retry_at == 0.0
