"""One replica's side of the consensus protocol, without sockets, disk or clock.

The owner feeds messages and the time, then takes a `Ready`: it persists the records, sends the
`early` messages at any moment and the `late` ones only after the records are synced, and then
reports `synced`.
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
    HardState,
    InstallRequest,
    JoinRequest,
    PeerMessage,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from apricotvale.consensus.storage import EntriesRecord, Stored, TruncateRecord, with_term
from apricotvale.consensus.types import GroupPolicy, NotLeader, Progress, Ready, Role, Timing

MAX_APPEND_BYTES = 512 * 1024
ELECTION_LEAST = 1.1
ELECTION_SPREAD = 0.5
RETRY_LEAST = 0.1
RETRY_SPREAD = 0.4
# How often the wait for votes grows by itself: where they take longer than a try, candidates that
# start anew would otherwise overtake their own elections without end.
MOST_PATIENCE = 8
# A replica that starts waits for a heartbeat or two of a living leader, not a whole timeout: after
# a loss of all replicas nobody leads, and callers wait.
START_LEAST = 0.3
START_SPREAD = 0.4


class Node:
    """State of one replica.

    :param data_id: identity of the replica's data folder.
    :param stored: what the folder held at start.
    :param encode_group: turns a group into an entry's payload.
    :param decode_group: the reverse.
    :param jitter: returns a number in [0, 1) that spreads election timeouts.
    :param policy: how large the group is to be and whom it takes in.
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
        self.note_groups(stored.entries)
        self.commit_index = self.log.snapshot.index
        self.applied_index = self.log.snapshot.index
        self.synced_index = self.log.last_index
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leader_name = ""
        self.leader_heard_at = float("-inf")
        self.votes: set[str] = set()
        self.pre_voting = False
        self.elections_tried = 0
        self.progress: dict[str, Progress] = {}
        self.sequence = 0
        self.heartbeat_at = 0.0
        self.pending_reads: list[int] = []
        self.waiting_reads: list[tuple[int, int, int]] = []
        self.next_read = 1
        self.read_requested = False
        self.term_start_index = 0
        self.ready = Ready()
        self.election_at = now + timing.election_s * (START_LEAST + START_SPREAD * jitter())

    # -- state shared by every role

    @property
    def term(self) -> int:
        """Return the replica's current term."""
        return self.hard_state.term

    @property
    def group(self) -> Group:
        """Return the group in force, which is the last one in the log."""
        return self.groups[-1][1]

    @property
    def is_voter(self) -> bool:
        """Return whether this data folder has a vote."""
        return self.data_id in self.group.voters()

    def later(self, now: float) -> float:
        """Return a moment one randomised election timeout ahead."""
        return now + self.timing.election_s * (ELECTION_LEAST + ELECTION_SPREAD * self.jitter())

    def note_groups(self, entries: list[Entry]) -> None:
        """Remember the groups that entries carry, in force from the moment they are appended."""
        for entry in entries:
            if entry.kind is EntryKind.GROUP and entry.index > self.groups[0][0]:
                self.groups.append((entry.index, self.decode_group(entry.payload)))

    def set_hard_state(self, hard_state: HardState) -> None:
        """Change the hard state and have it persisted."""
        self.hard_state = hard_state
        self.ready.records.append(hard_state)

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Follow in a term; reads that wait for a quorum fail."""
        if term > self.term:
            self.set_hard_state(with_term(self.hard_state, term))
        self.role = Role.FOLLOWER
        self.leader_id = leader
        self.leader_name = "" if not leader else self.leader_name
        self.pre_voting = False
        self.votes = set()
        self.progress = {}
        self.ready.failed_reads += self.pending_reads
        self.ready.failed_reads += [ticket for ticket, _, _ in self.waiting_reads]
        self.pending_reads = []
        self.waiting_reads = []
        self.read_requested = False
        self.election_at = self.later(now)

    def append_entries(self, entries: list[Entry]) -> None:
        """Add entries to the log and have them persisted."""
        self.log.append(entries)
        self.note_groups(entries)
        self.ready.records.append(EntriesRecord(entries))

    def send(self, message: PeerMessage, early: bool = False) -> None:
        """Queue a message; `early` ones promise nothing about this replica's disk."""
        (self.ready.early if early else self.ready.late).append(message)

    # -- time

    def tick(self, now: float) -> None:
        """Let time pass: heartbeats, elections, the quorum check."""
        if self.role is Role.LEADER:
            self.lead(now)
        elif now >= self.election_at:
            self.campaign(now, pre=True)

    def due_at(self) -> float:
        """Return when time next matters to this replica."""
        return self.heartbeat_at if self.role is Role.LEADER else self.election_at

    def lead(self, now: float) -> None:
        """Step down when a quorum is silent, else send heartbeats and tend the group."""
        if not self.quorum_heard(now):
            self.become_follower(self.term, "", now)
            return
        if now >= self.heartbeat_at:
            self.broadcast(now)
        self.tend_group(now)

    def quorum_heard(self, now: float) -> bool:
        """Return whether a majority answered within the last election timeout."""
        horizon = now - self.timing.election_s
        heard = sum(
            1
            for voter in self.group.voters()
            if voter == self.data_id
            or (voter in self.progress and self.progress[voter].heard_at >= horizon)
        )
        return heard >= self.group.quorum()

    # -- election

    def campaign(self, now: float, pre: bool, transfer: bool = False) -> None:
        """Ask the other voters for their votes.

        The next try, after a split vote, comes sooner than the first: that the leader is silent
        is known by then, and the pre-vote keeps a live one safe. Each election that a majority
        wanted and nobody won lets the next one take longer.
        """
        wait = RETRY_LEAST + RETRY_SPREAD * self.jitter()
        if not pre:
            self.elections_tried += 1
            wait *= min(MOST_PATIENCE, self.elections_tried)
        self.election_at = now + self.timing.election_s * wait
        if not self.is_voter:
            return
        self.leader_id = ""
        self.pre_voting = pre
        self.role = Role.FOLLOWER if pre else Role.CANDIDATE
        term = self.term + 1
        if not pre:
            self.set_hard_state(HardState(term, self.data_id))
        self.votes = {self.data_id}
        for voter in self.group.voters():
            if voter != self.data_id:
                last = self.log
                self.send(
                    VoteRequest(
                        self.data_id, voter, term, last.last_index, last.last_term, pre, transfer
                    )
                )
        self.count_votes(now)

    def count_votes(self, now: float) -> None:
        """Move on when a majority of the voters granted."""
        granted = len(self.votes & set(self.group.voters()))
        if granted < self.group.quorum():
            return
        if self.pre_voting:
            self.campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self.become_leader(now)

    def become_leader(self, now: float) -> None:
        """Lead the term: open it with an empty entry, which commits what came before."""
        self.elections_tried = 0
        self.role = Role.LEADER
        self.leader_id = self.data_id
        self.leader_name = self.name
        self.progress = {}
        for member in self.group.members:
            self.progress[member.data_id] = Progress(self.log.last_index + 1, heard_at=now)
        self.term_start_index = self.log.last_index + 1
        self.add(EntryKind.NOOP, b"", self.log.last_at_ms)
        self.broadcast(now)

    def on_vote_request(self, request: VoteRequest, now: float) -> None:
        """Grant a vote to a candidate whose log is not behind ours."""
        leader_alive = now < self.leader_heard_at + self.timing.election_s
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
        free = self.hard_state.voted_for in ("", request.source)
        granted = up_to_date and free and request.term == self.term and self.role is Role.FOLLOWER
        if granted:
            self.set_hard_state(evolve(self.hard_state, voted_for=request.source))
            self.election_at = self.later(now)
        self.reply_vote(request, granted)

    def reply_vote(self, request: VoteRequest, granted: bool) -> None:
        """Answer a vote request in its own term if granted, in ours if refused."""
        term = request.term if granted else self.term
        self.send(VoteReply(self.data_id, request.source, term, granted, request.pre))

    def on_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote."""
        if not reply.granted:
            if reply.term > self.term:
                self.become_follower(reply.term, "", now)
            return
        expected_term = self.term + 1 if reply.pre else self.term
        if reply.term != expected_term or reply.pre != self.pre_voting:
            return
        if not reply.pre and self.role is not Role.CANDIDATE:
            return
        self.votes.add(reply.source)
        self.count_votes(now)

    def on_campaign_request(self, request: CampaignRequest, now: float) -> None:
        """Start an election at once, on the leader's wish."""
        if request.term == self.term and self.is_voter:
            self.campaign(now, pre=False, transfer=True)

    def transfer(self, now: float) -> bool:
        """Hand leadership to the voter that is furthest along; return whether there is one."""
        if self.role is not Role.LEADER:
            return False
        horizon = now - self.timing.election_s
        staying = {m.data_id for m in self.group.members if m.voter and m.name not in self.retiring}
        others = [
            (peer.match_index, voter)
            for voter, peer in self.progress.items()
            if voter != self.data_id and voter in staying and peer.heard_at >= horizon
        ]
        if not others:
            return False
        match_index, target = max(others)
        if match_index < self.log.last_index:
            return False
        self.send(CampaignRequest(self.data_id, target, self.term), early=True)
        return True

    # -- replication, the leader's side

    def add(self, kind: EntryKind, payload: bytes, at_ms: int) -> Entry:
        """Append one entry as the leader."""
        at_ms = max(at_ms, self.log.last_at_ms)
        entry = Entry(self.log.last_index + 1, self.term, at_ms, kind, payload)
        self.append_entries([entry])
        return entry

    def propose(self, payload: bytes, at_ms: int) -> Entry | NotLeader:
        """Add a command to the log, or say who leads."""
        if self.role is not Role.LEADER:
            return NotLeader(self.leader_name)
        return self.add(EntryKind.COMMAND, payload, at_ms)

    def read(self) -> int | NotLeader:
        """Ask for a read at the current commit index, confirmed by a quorum; return its ticket."""
        if self.role is not Role.LEADER:
            return NotLeader(self.leader_name)
        ticket = self.next_read
        self.next_read += 1
        self.pending_reads.append(ticket)
        return ticket

    def broadcast(self, now: float) -> None:
        """Send what each follower misses, or a heartbeat."""
        self.sequence += 1
        self.heartbeat_at = now + self.timing.heartbeat_s
        if self.commit_index >= self.term_start_index:
            for ticket in self.pending_reads:
                self.waiting_reads.append((ticket, self.sequence, self.commit_index))
            self.pending_reads = []
        for member in self.group.members:
            if member.data_id != self.data_id:
                peer = self.progress.setdefault(
                    member.data_id, Progress(self.log.last_index + 1, heard_at=now)
                )
                self.send_append(member.data_id, peer, now)
        self.confirm_reads()

    def send_append(self, target: str, peer: Progress, now: float) -> None:
        """Send a follower the entries it misses, or the snapshot when the log is cut off."""
        previous = peer.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self.send_install(target, peer, now)
            previous, previous_term = self.log.last_index, self.log.last_term
            entries: list[Entry] = []
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
            early=True,
        )

    def send_install(self, target: str, peer: Progress, now: float) -> None:
        """Send the snapshot, not again before the earlier one had time to arrive."""
        if now < peer.install_until:
            return
        peer.install_until = now + self.timing.install_s
        message = InstallRequest(self.data_id, target, self.term, self.sequence, self.log.snapshot)
        self.send(message, early=True)

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Note how far a follower is, and commit what a majority holds."""
        if reply.term > self.term:
            self.become_follower(reply.term, "", now)
            return
        peer = self.progress.get(reply.source)
        if self.role is not Role.LEADER or reply.term < self.term or peer is None:
            return
        peer.heard_at = now
        peer.acked_sequence = max(peer.acked_sequence, reply.sequence)
        if reply.success:
            peer.match_index = max(peer.match_index, reply.index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            peer.install_until = 0.0 if reply.index >= self.log.snapshot.index else now
            self.advance_commit()
        elif now >= peer.install_until and reply.sequence > peer.rewound_at:
            # Later failures of what was sent before the rewind say nothing new, and answering
            # each would send the same entries again and again.
            peer.rewound_at = self.sequence
            self.sequence += 1
            peer.next_index = max(peer.match_index, min(reply.index, peer.next_index - 1)) + 1
            if peer.next_index <= self.log.last_index:
                self.send_append(reply.source, peer, now)
        if peer.next_index <= self.log.last_index and reply.success:
            self.send_append(reply.source, peer, now)
        self.confirm_reads()

    def advance_commit(self) -> None:
        """Commit the newest entry of this term that a majority has synced."""
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
            self.read_requested = True

    def confirm_reads(self) -> None:
        """Release the reads whose heartbeat a majority acknowledged."""
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
        for ticket, wanted, index in self.waiting_reads:
            if wanted <= sequence and index <= self.applied_index:
                self.ready.reads.append(ticket)
            else:
                still_waiting.append((ticket, wanted, index))
        self.waiting_reads = still_waiting

    # -- replication, the follower's side

    def on_append_request(self, request: AppendRequest, now: float) -> None:
        """Take the leader's entries if the log before them agrees."""
        if request.term < self.term:
            self.reply_append(request, False, self.log.last_index)
            return
        self.follow(request.term, request.source, request.leader_name, now)
        known = self.log.term_at(request.previous_index)
        if known is None and request.previous_index <= self.commit_index:
            self.reply_append(request, True, self.commit_index)
            return
        if known != request.previous_term:
            hint = min(self.log.last_index, request.previous_index - 1)
            self.reply_append(request, False, max(hint, self.commit_index))
            return
        self.take_entries(request.entries)
        matched = request.previous_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.commit, matched))
        self.reply_append(request, True, matched)

    def follow(self, term: int, leader: str, leader_name: str, now: float) -> None:
        """Accept a leader and put off the next election."""
        if term > self.term or self.role is not Role.FOLLOWER:
            self.become_follower(term, leader, now)
        self.leader_id = leader
        self.leader_name = leader_name or self.leader_name
        self.pre_voting = False
        self.leader_heard_at = now
        self.elections_tried = 0
        self.election_at = self.later(now)

    def take_entries(self, entries: list[Entry]) -> None:
        """Append what is new, after dropping what disagrees with the leader."""
        for position, entry in enumerate(entries):
            known = self.log.term_at(entry.index)
            if known == entry.term or entry.index <= self.commit_index:
                continue
            if known is not None:
                self.drop_after(entry.index - 1)
            self.append_entries(entries[position:])
            return

    def drop_after(self, last: int) -> None:
        """Drop uncommitted entries, and the groups that stood in them."""
        self.log.truncate(last)
        self.groups = [held for held in self.groups if held[0] <= last] or self.groups[:1]
        self.synced_index = min(self.synced_index, last)
        self.ready.records.append(TruncateRecord(last))

    def reply_append(
        self, request: AppendRequest | InstallRequest, success: bool, index: int
    ) -> None:
        """Answer the leader."""
        self.send(
            AppendReply(self.data_id, request.source, self.term, success, index, request.sequence)
        )

    def on_install_request(self, request: InstallRequest, now: float) -> None:
        """Replace the log by the leader's snapshot if it is ahead of what is committed."""
        if request.term < self.term:
            self.reply_append(request, False, self.log.last_index)
            return
        self.follow(request.term, request.source, "", now)
        snapshot = request.snapshot
        if snapshot.index > self.commit_index:
            self.log.reset(snapshot)
            self.groups = [(snapshot.index, snapshot.group)]
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            self.synced_index = snapshot.index
            self.ready.install = snapshot
            self.ready.committed = []
            self.ready.records = [
                record for record in self.ready.records if isinstance(record, HardState)
            ]
        self.reply_append(request, True, max(snapshot.index, self.commit_index))

    # -- change of the group

    def on_join_request(self, request: JoinRequest, now: float) -> None:
        """Add a replica with a new data folder as a learner, or note its new address."""
        if self.may_change_group():
            group = membership.group_with(request, self.standing(now))
            if group is not None:
                self.change_group(group, now)

    def may_change_group(self) -> bool:
        """Return whether a change may start: only a leader with no change or term open."""
        return (
            self.role is Role.LEADER
            and self.commit_index >= self.term_start_index
            and self.groups[-1][0] <= self.commit_index
        )

    def tend_group(self, now: float) -> None:
        """Change the group by one member where it should change."""
        if self.may_change_group():
            group = membership.next_change(self.standing(now))
            if group is not None:
                self.change_group(group, now)

    def standing(self, now: float) -> membership.Standing:
        """Return what this leader knows about its group."""
        return membership.Standing(
            self.data_id,
            self.group,
            self.policy,
            self.progress,
            self.retiring,
            self.log.last_index,
            now - self.timing.election_s,
            now,
        )

    def change_group(self, group: Group, now: float) -> None:
        """Append a new group; it is in force at once."""
        self.add(EntryKind.GROUP, self.encode_group(group), self.log.last_at_ms)
        # What was known about a replica that leaves says nothing if it comes again, and entries
        # that wait for nobody would be sent to the others without end.
        members = {member.data_id for member in group.members}
        self.progress = {key: peer for key, peer in self.progress.items() if key in members}
        self.broadcast(now)

    # -- the owner's side

    def receive(self, message: PeerMessage, now: float) -> None:
        """Handle a peer's message; one for another data folder is ignored."""
        if message.target != self.data_id and not isinstance(message, JoinRequest):
            return
        if self.role is Role.LEADER:
            self.lead(now)
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

    def synced(self, index: int, term: int) -> None:
        """Note that the log is on disk up to an entry, unless it was replaced meanwhile."""
        if self.log.term_at(index) == term:
            self.synced_index = max(self.synced_index, index)
        if self.role is Role.LEADER:
            self.advance_commit()

    def take_ready(self, now: float) -> Ready:
        """Return the work that has come up, and forget it."""
        if self.role is Role.LEADER and (
            self.may_send_reads() or self.read_requested or self.unsent_entries()
        ):
            self.read_requested = False
            self.broadcast(now)
        first = self.applied_index + 1
        if self.commit_index >= first:
            self.ready.committed = self.log.slice(first, self.commit_index)
            self.applied_index = self.commit_index
            if self.role is Role.LEADER:
                self.confirm_reads()
        ready = self.ready
        self.ready = Ready()
        return ready

    def may_send_reads(self) -> bool:
        """Return whether reads wait that the next heartbeat can confirm."""
        return bool(self.pending_reads) and self.commit_index >= self.term_start_index

    def has_work(self) -> bool:
        """Return whether `take_ready` would return something without time passing."""
        ready = self.ready
        return bool(
            self.commit_index > self.applied_index
            or self.read_requested
            or self.may_send_reads()
            or ready.records
            or ready.late
            or ready.early
            or ready.reads
            or ready.failed_reads
            or ready.install
        )

    def unsent_entries(self) -> bool:
        """Return whether some follower has not been sent the end of the log."""
        return any(
            peer.next_index <= self.log.last_index
            for data_id, peer in self.progress.items()
            if data_id != self.data_id and now_sendable(peer)
        )

    def compact(self, snapshot: Snapshot) -> list[Entry]:
        """Cut the log at a snapshot; return the entries that stay behind it."""
        self.log.compact(snapshot)
        before = [held for held in self.groups if held[0] <= snapshot.index]
        self.groups = before[-1:] + [held for held in self.groups if held[0] > snapshot.index]
        return self.log.entries


def now_sendable(peer: Progress) -> bool:
    """Return whether a follower takes entries now, rather than waiting for a snapshot."""
    return peer.install_until == 0.0
