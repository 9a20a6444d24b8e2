"""Bounded model checking of a small open group: `python -m tests.exploration DEPTH`, such as 9.

Every order of events is explored up to a depth. A world holds real consensus nodes with their disks
and the messages in flight. Each node has its own clock, which advances only at that node's events,
so clocks may differ by any amount. A lost message is one that is never delivered.
"""

from __future__ import annotations

import pickle
import sys
from functools import partial

from attrs import define, evolve, field, frozen

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import (
    Group,
    GroupMember,
    HardState,
    JoinRequest,
    PeerMessage,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from apricotvale.consensus.node import Node
from apricotvale.consensus.storage import Stored, TruncateRecord, replay
from apricotvale.consensus.types import GroupPolicy, Role, Timing

TIMING = Timing(heartbeat_s=0.1, election_timeout_s=0.5)
# A member that misses one heartbeat counts as silent, so that every group change is reachable.
REPLACE_AFTER_S = 0.05
# Index of the snapshot with the initial group, at which all logs start.
INITIAL_INDEX = 1
SETTLE_STEP_S = 0.02


def no_jitter():
    return 0.0


@define
class Budget:
    """Remaining number of events of each kind.

    :param restarts: restarts from the disk, after all writes or in place of the next one.
    :param cuts: replicas that are cut off; each may be connected again.
    :param joins: further join requests of empty replicas.
    """

    timeouts: int = 2
    heartbeats: int = 2
    proposals: int = 1
    wipes: int = 1
    restarts: int = 0
    cuts: int = 0
    joins: int = 0


@frozen
class Letter:
    """A message in flight, with the names of the replicas at its addresses."""

    addresses: tuple[str, ...]
    message: PeerMessage

    @property
    def is_pre_vote(self):
        return isinstance(self.message, VoteRequest | VoteReply) and self.message.pre


@define
class World:
    """Nodes with their disks and clocks, messages in flight, and what has happened so far.

    :param disks: what is synced, by name.
    :param failing: names of the replicas whose next write does not reach the disk.
    :param cut: names of the replicas that are cut off.
    :param leaders: data ids of leaders by term.
    :param committed: entries ever committed.
    :param answers: voters that granted a vote, by candidate and term.
    :param eager_pre_votes: pre-votes are delivered at once, in order to reach elections sooner.
    """

    nodes: dict[str, Node]
    clocks: dict[str, float]
    policy: GroupPolicy
    budget: Budget
    disks: dict[str, Stored]
    failing: set = field(factory=set)
    cut: set = field(factory=set)
    in_flight: list = field(factory=list)
    leaders: dict[int, str] = field(factory=dict)
    committed: list = field(factory=list)
    answers: dict = field(factory=dict)
    folders: int = 0
    eager_pre_votes: bool = False

    def key(self):
        """Return a hash that identifies the state of this world."""
        nodes = tuple(
            (
                name,
                node.data_id,
                node.role,
                node.hard_state,
                node.leader_id,
                node.pre_voting,
                tuple(sorted(node.votes)),
                tuple(sorted(node.successors.items())),
                tuple(sorted(node.empty_members)),
                tuple((e.index, e.term, e.payload) for e in node.log.entries),
                node.log.snapshot.index,
                node.commit_index,
                tuple(sorted((at, repr(peer)) for at, peer in node.progress.items())),
                round(self.clocks[name], 3),
                round(node.election_at, 3),
                self.disks[name].hard_state,
                tuple((e.index, e.term) for e in self.disks[name].entries),
            )
            for name, node in sorted(self.nodes.items())
        )
        flight = tuple(sorted(repr(letter) for letter in self.in_flight))
        faults = (tuple(sorted(self.failing)), tuple(sorted(self.cut)))
        return hash((nodes, flight, faults, repr(self.budget)))

    # Events

    def events(self):
        """Return the possible next events."""
        found = [("deliver", at) for at in distinct_positions(self.in_flight, self.cut)]
        for name, node in sorted(self.nodes.items()):
            leads = node.role is Role.LEADER
            if leads and self.budget.heartbeats:
                found.append(("heartbeat", name))
            if leads and self.budget.proposals:
                found.append(("propose", name))
            if not leads and node.log.last_index and self.budget.timeouts:
                found.append(("time out", name))
            if self.budget.wipes and self.may_be_wiped(name):
                found.append(("wipe", name))
            if self.budget.restarts:
                found += [("restart", name), ("fail", name)]
            if name in self.cut:
                found.append(("connect", name))
            elif self.budget.cuts:
                found.append(("cut off", name))
            if self.budget.joins and not node.log.last_index:
                found.append(("join", name))
        return found

    def apply(self, event):
        """Apply one event and check the invariants."""
        kind, argument = event
        self.observe(getattr(self, kind.replace(" ", "_")), argument)
        while self.eager_pre_votes and (pre_votes := self.deliverable_pre_votes()):
            self.observe(self.deliver, pre_votes[0])

    def observe(self, handle, argument):
        """Handle one event or message and check the invariants."""
        before = {node.data_id: node.group for node in self.nodes.values()}
        handle(argument)
        self.check(before)

    def deliverable_pre_votes(self):
        return [
            at
            for at, letter in enumerate(self.in_flight)
            if letter.is_pre_vote and not self.cut.issuperset(letter.addresses)
        ]

    def deliver_all(self):
        """Deliver all messages in order, except to replicas that are cut off."""
        while positions := distinct_positions(self.in_flight, self.cut):
            self.observe(self.deliver, positions[0])

    def deliver(self, at):
        letter = self.in_flight.pop(at)
        message = letter.message
        for name in letter.addresses:
            node = self.nodes[name]
            if name in self.cut or message.source == node.data_id:
                continue
            if isinstance(message, VoteRequest):
                self.pass_election_timeout(name)
            if isinstance(message, VoteReply) and message.target == node.data_id:
                self.record_answer(message)
            node.receive(message, self.clocks[name])
            self.process_ready(name)

    def pass_election_timeout(self, name):
        """Advance the clock of a follower, so that an active leader is no reason for a refusal."""
        silent_at = self.nodes[name].leader_heard_at + TIMING.election_timeout_s
        if self.eager_pre_votes and self.nodes[name].role is not Role.LEADER:
            self.clocks[name] = max(self.clocks[name], silent_at)

    def record_answer(self, reply):
        if reply.granted and not reply.pre:
            self.answers.setdefault((reply.target, reply.term), set()).add(reply.source)

    def heartbeat(self, name):
        self.budget.heartbeats -= 1
        self.clocks[name] += TIMING.heartbeat_s
        self.tick(name)

    def time_out(self, name):
        self.budget.timeouts -= 1
        self.clocks[name] = max(self.clocks[name], self.nodes[name].election_at)
        self.tick(name)

    def tick(self, name):
        self.nodes[name].tick(self.clocks[name])
        self.process_ready(name)

    def propose(self, name):
        self.budget.proposals -= 1
        self.nodes[name].propose(b"command", 0)
        self.process_ready(name)

    def wipe(self, name):
        """Replace a node with one that has an empty disk and asks to join."""
        self.budget.wipes -= 1
        self.folders += 1
        self.disks[name] = Stored(HardState(), None, [])
        self.start(name, f"{name}-{self.folders}")
        self.ask_to_join(name)

    def may_be_wiped(self, name):
        """Return whether the disk of another node holds every committed entry."""
        return any(self.holds_all(disk) for other, disk in self.disks.items() if other != name)

    def holds_all(self, log):
        contents = [content_of(entry) for entry in log.entries]
        return contents[: len(self.committed)] == self.committed

    def restart(self, name):
        self.budget.restarts -= 1
        self.start(name, self.nodes[name].data_id)

    def fail(self, name):
        self.budget.restarts -= 1
        self.failing.add(name)

    def cut_off(self, name):
        self.budget.cuts -= 1
        self.cut.add(name)

    def connect(self, name):
        self.cut.remove(name)

    def join(self, name):
        self.budget.joins -= 1
        self.ask_to_join(name)

    def ask_to_join(self, name):
        self.post(name, JoinRequest(self.nodes[name].data_id, "", name, name))

    def start(self, name, data_id):
        """Start a node from its disk."""
        self.failing.discard(name)
        disk = self.disks[name]
        stored = Stored(disk.hard_state, disk.snapshot, list(disk.entries))
        self.nodes[name] = make_node(name, data_id, stored, self.policy, self.clocks[name])

    def post(self, name, message):
        """Send a message to its target's address, or to all if the target is not a member."""
        member = self.nodes[name].group.find(message.target)
        others = tuple(other for other in sorted(self.nodes) if other != name)
        self.in_flight.append(Letter((member.address,) if member else others, message))

    def process_ready(self, name):
        """Process a node's work as its owner does, with an immediate sync or a failing one."""
        node = self.nodes[name]
        for _ in range(8):
            ready = node.take_ready(self.clocks[name])
            for message in ready.messages:
                self.post(name, message)
            if name in self.failing and ready.records:
                self.start(name, node.data_id)
                return
            self.write(name, ready)
            node.synced(node.log.last_index, node.log.last_term)
            for message in ready.messages_after_sync:
                self.post(name, message)
            if not node.has_work():
                return

    def write(self, name, ready):
        """Write a node's records to its disk."""
        if ready.snapshot is not None:
            self.disks[name] = Stored(self.nodes[name].hard_state, ready.snapshot, [])
        for record in ready.records:
            disk = self.disks[name]
            if isinstance(record, HardState):
                self.disks[name] = evolve(disk, hard_state=record)
            elif isinstance(record, TruncateRecord):
                kept = [entry for entry in disk.entries if entry.index <= record.last]
                self.disks[name] = evolve(disk, entries=kept)
            else:
                entries = replay(list(disk.entries), record.entries)
                self.disks[name] = evolve(disk, entries=entries)

    # Invariants

    def check(self, groups):
        """Check the invariants after an event.

        :param groups: groups before the event, by data id.
        """
        for node in self.nodes.values():
            if node.role is Role.LEADER and self.leaders.get(node.term) != node.data_id:
                assert node.term not in self.leaders, f"two leaders in term {node.term}"
                self.leaders[node.term] = node.data_id
                self.check_answers(node, groups[node.data_id])
        for node in self.nodes.values():
            self.check_committed(node)
        for node in self.nodes.values():
            if node.role is Role.LEADER and node.term == max(self.leaders):
                assert self.holds_all(node.log), "a leader lacks entries that were decided"

    def check_answers(self, node, group):
        """Check the votes for a new leader, which had this group when it was elected."""
        granted = {node.data_id, *self.answers.get((node.data_id, node.term), ())}
        voters = set(group.voters())
        if len(granted & voters) <= len(voters) // 2:
            silent = voters.intersection(n.data_id for n in self.nodes.values()) - granted
            assert not silent, f"a leader has no quorum and no answer from {silent}"

    def check_committed(self, node):
        """Check a node's committed entries against all entries ever committed."""
        for entry in node.log.entries:
            if entry.index > node.commit_index:
                return
            content = content_of(entry)
            position = entry.index - INITIAL_INDEX - 1
            if position == len(self.committed):
                self.committed.append(content)
            assert (
                self.committed[position] == content
            ), f"entry {entry.index} was decided twice with different content"

    # The end of all faults

    def settle(self, rng, seconds):
        """End all faults and run the group; return whether a leader commits in its term in time."""
        self.cut.clear()
        self.failing.clear()
        now = max(self.clocks.values())
        until = now + seconds
        while now < until:
            now += SETTLE_STEP_S
            for name, node in self.nodes.items():
                node.jitter = rng.random
                self.clocks[name] = now
                self.observe(self.tick, name)
                if not node.log.last_index:
                    self.ask_to_join(name)
            for _ in self.in_flight[:]:
                self.observe(self.deliver, 0)
            if any(
                node.role is Role.LEADER and node.commit_index >= node.term_start_index
                for node in self.nodes.values()
            ):
                return True
        return False


def content_of(entry):
    return (entry.term, entry.kind, entry.payload)


def distinct_positions(letters, cut=frozenset()):
    """Return the positions of distinct messages; of equal ones, the first.

    :param cut: names of the replicas that receive no message.
    """
    seen, found = set(), []
    for at, letter in enumerate(letters):
        text = repr(letter)
        if text not in seen and not cut.issuperset(letter.addresses):
            seen.add(text)
            found.append(at)
    return found


def make_node(name, data_id, stored, policy, now=0.0):
    return Node(
        data_id,
        stored,
        TIMING,
        partial(encode, kind=Group),
        partial(decode, kind=Group),
        no_jitter,
        now,
        name,
        policy,
    )


def make_world(voters, learners, budget, is_open=True):
    """Return a group with a leader, which empty replicas have joined as learners."""
    names = "abcdefg"[: voters + learners]
    policy = GroupPolicy(True, voters, learners, REPLACE_AFTER_S) if is_open else GroupPolicy()
    group = Group(tuple(GroupMember(name, name, name) for name in names[:voters]))
    nodes, disks = {}, {}
    for name in names:
        initial = Snapshot(1, 1, 0, group, b"") if name in names[:voters] else None
        disks[name] = Stored(HardState(1 if initial else 0), initial, [])
        nodes[name] = make_node(name, name, disks[name], policy)
    world = World(nodes, dict.fromkeys(names, 0.0), policy, Budget(timeouts=1), disks)
    world.observe(world.time_out, "a")
    world.deliver_all()
    assert nodes["a"].role is Role.LEADER
    for name in names[voters:]:
        world.ask_to_join(name)
    world.deliver_all()
    world.budget = budget
    # Every follower's election timeout has passed, so that each may request and grant votes.
    for name in names[1:]:
        world.clocks[name] = max(world.clocks[name], nodes[name].election_at)
    return world


def explore(world, depth):
    """Explore every order of events up to a depth; return the number of distinct states."""
    start = pickle.dumps(world)
    seen = {world.key()}
    level = [(start, ())]
    for _ in range(depth):
        following = []
        for pickled, path in level:
            for event in pickle.loads(pickled).events():
                following += step(pickled, path, event, seen)
        level = following
    return len(seen)


def step(pickled, path, event, seen):
    """Apply one event; return the resulting world and its path, unless the state is known."""
    world = pickle.loads(pickled)
    try:
        world.apply(event)
    except AssertionError as error:
        raise AssertionError(f"{error}, after {[*path, event]}") from error
    key = world.key()
    if key in seen:
        return []
    seen.add(key)
    return [(pickle.dumps(world), (*path, event))]


def main():
    depth = int(sys.argv[1])
    for voters, learners in ((3, 0), (3, 1)):
        seen = explore(make_world(voters, learners, Budget()), depth)
        print(f"{voters} voters, {learners} learners: {seen} states to depth {depth}, no violation")


if __name__ == "__main__":
    main()
