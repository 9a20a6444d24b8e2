"""Bounded model checking of a small open group: `python -m tests.exploration DEPTH`, such as 9.

Every order of events is explored up to a depth. A world holds real consensus nodes, whose disks do
not fail, and the messages in flight. Each node has its own clock, which advances only at that
node's events, so clocks may differ by any amount. A lost message is one that is never delivered.
"""

from __future__ import annotations

import pickle
import sys
from functools import partial

from attrs import define, field

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import (
    Group,
    GroupMember,
    HardState,
    JoinRequest,
    Snapshot,
)
from apricotvale.consensus.node import Node
from apricotvale.consensus.storage import Stored
from apricotvale.consensus.types import GroupPolicy, Role, Timing

TIMING = Timing(heartbeat_s=0.1, election_timeout_s=0.5)
# A member that misses one heartbeat counts as silent, so that every group change is reachable.
REPLACE_AFTER_S = 0.05
# Index of the snapshot with the initial group, at which all logs start.
INITIAL_INDEX = 1


def no_jitter():
    return 0.0


@define
class Budget:
    """Remaining number of events of each kind."""

    timeouts: int = 2
    heartbeats: int = 2
    proposals: int = 1
    wipes: int = 1


@define
class World:
    """Nodes, their clocks, messages in flight, leaders by term and entries ever committed."""

    nodes: dict[str, Node]
    clocks: dict[str, float]
    policy: GroupPolicy
    budget: Budget
    in_flight: list = field(factory=list)
    leaders: dict[int, str] = field(factory=dict)
    committed: list = field(factory=list)

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
                tuple((e.index, e.term, e.payload) for e in node.log.entries),
                node.log.snapshot.index,
                node.commit_index,
                tuple(sorted((at, repr(peer)) for at, peer in node.progress.items())),
                round(self.clocks[name], 3),
                round(node.election_at, 3),
            )
            for name, node in sorted(self.nodes.items())
        )
        flight = tuple(sorted(repr(message) for message in self.in_flight))
        return hash((nodes, flight, repr(self.budget)))

    # Events

    def events(self):
        """Return the possible next events."""
        found = [("deliver", at) for at in distinct_positions(self.in_flight)]
        for name, node in sorted(self.nodes.items()):
            leads = node.role is Role.LEADER
            if leads and self.budget.heartbeats:
                found.append(("heartbeat", name))
            if leads and self.budget.proposals:
                found.append(("propose", name))
            if not leads and node.is_voter and self.budget.timeouts:
                found.append(("time out", name))
            if self.budget.wipes:
                found.append(("wipe", name))
        return found

    def apply(self, event):
        """Apply one event and check the invariants."""
        kind, argument = event
        getattr(self, kind.replace(" ", "_"))(argument)
        self.check()

    def deliver(self, at):
        message = self.in_flight.pop(at)
        for name, node in self.nodes.items():
            if message.target in (node.data_id, "") and message.source != node.data_id:
                node.receive(message, self.clocks[name])
                self.process_ready(name)

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
        data_id = f"{name}-anew"
        self.nodes[name] = make_node(name, data_id, Stored(HardState(), None, []), self.policy)
        self.in_flight.append(JoinRequest(data_id, "", name, name))

    def process_ready(self, name):
        """Process a node's work as its owner does, with an immediate sync."""
        node = self.nodes[name]
        for _ in range(8):
            ready = node.take_ready(self.clocks[name])
            node.synced(node.log.last_index, node.log.last_term)
            self.in_flight += [*ready.messages, *ready.messages_after_sync]
            if not node.has_work():
                return

    # Invariants

    def check(self):
        for node in self.nodes.values():
            if node.role is Role.LEADER:
                first = self.leaders.setdefault(node.term, node.data_id)
                assert first == node.data_id, f"two leaders in term {node.term}"
                is_up_to_date = node.log.last_index >= len(self.committed) + INITIAL_INDEX
                assert is_up_to_date, "a leader lacks entries that were decided"
            self.check_committed(node)

    def check_committed(self, node):
        """Check a node's committed entries against all entries ever committed."""
        for entry in node.log.entries:
            if entry.index > node.commit_index:
                return
            content = (entry.term, entry.kind, entry.payload)
            position = entry.index - INITIAL_INDEX - 1
            if position == len(self.committed):
                self.committed.append(content)
            assert (
                self.committed[position] == content
            ), f"entry {entry.index} was decided twice with different content"


def distinct_positions(messages):
    """Return the positions of distinct messages; of equal ones, the first."""
    seen, found = set(), []
    for at, message in enumerate(messages):
        text = repr(message)
        if text not in seen:
            seen.add(text)
            found.append(at)
    return found


def make_node(name, data_id, stored, policy):
    return Node(
        data_id,
        stored,
        TIMING,
        partial(encode, kind=Group),
        partial(decode, kind=Group),
        no_jitter,
        0.0,
        name,
        policy,
    )


def make_world(voters, learners, budget):
    """Return a group with a leader, which empty replicas have joined as learners."""
    names = "abcdefg"[: voters + learners]
    policy = GroupPolicy(True, voters, learners, REPLACE_AFTER_S)
    group = Group(tuple(GroupMember(name, name, name) for name in names[:voters]))
    nodes = {}
    for name in names:
        initial = Snapshot(1, 1, 0, group, b"") if name in names[:voters] else None
        stored = Stored(HardState(1 if initial else 0), initial, [])
        nodes[name] = make_node(name, name, stored, policy)
    world = World(nodes, dict.fromkeys(names, 0.0), policy, Budget(timeouts=1))
    world.time_out("a")
    while world.in_flight:
        world.deliver(0)
    assert nodes["a"].role is Role.LEADER
    for name in names[voters:]:
        world.in_flight.append(JoinRequest(name, "", name, name))
    while world.in_flight:
        world.deliver(0)
    world.check()
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
