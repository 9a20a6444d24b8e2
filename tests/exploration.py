"""Every order of events in a small open group, up to a depth: `python -m tests.exploration 9`.

A world holds real consensus nodes whose disks always work, and the messages in flight. Each node
has a clock of its own, which moves only when it is that node's turn, so that clocks may differ by
any amount. A message that is never delivered is a lost one.
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

TIMING = Timing(heartbeat_s=0.1, election_s=0.5)
# A member that misses one beat counts as silent: every change of the group is within reach.
SILENT_S = 0.05
# Index of the snapshot with the first group, on which all logs begin.
FOUNDING_INDEX = 1


def no_jitter():
    return 0.0


@define
class Budget:
    """How often each kind of event may still come."""

    timeouts: int = 2
    beats: int = 2
    proposals: int = 1
    wipes: int = 1


@define
class World:
    """Nodes, their clocks, messages in flight, and what was ever decided."""

    nodes: dict[str, Node]
    clocks: dict[str, float]
    policy: GroupPolicy
    budget: Budget
    flight: list = field(factory=list)
    leaders: dict[int, str] = field(factory=dict)
    decided: list = field(factory=list)

    def key(self):
        """Return what tells this world from others."""
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
        flight = tuple(sorted(repr(message) for message in self.flight))
        return hash((nodes, flight, repr(self.budget)))

    # -- events

    def events(self):
        """Return what may happen next."""
        found = [("deliver", at) for at in distinct(self.flight)]
        for name, node in sorted(self.nodes.items()):
            leads = node.role is Role.LEADER
            if leads and self.budget.beats:
                found.append(("beat", name))
            if leads and self.budget.proposals:
                found.append(("propose", name))
            if not leads and node.is_voter and self.budget.timeouts:
                found.append(("time out", name))
            if self.budget.wipes:
                found.append(("wipe", name))
        return found

    def do(self, event):
        """Let one event happen, and check what must always hold."""
        kind, what = event
        getattr(self, kind.replace(" ", "_"))(what)
        self.check()

    def deliver(self, at):
        message = self.flight.pop(at)
        for name, node in self.nodes.items():
            if message.target in (node.data_id, "") and message.source != node.data_id:
                node.receive(message, self.clocks[name])
                self.settle(name)

    def beat(self, name):
        self.budget.beats -= 1
        self.clocks[name] += TIMING.heartbeat_s
        self.tick(name)

    def time_out(self, name):
        self.budget.timeouts -= 1
        self.clocks[name] = max(self.clocks[name], self.nodes[name].election_at)
        self.tick(name)

    def tick(self, name):
        self.nodes[name].tick(self.clocks[name])
        self.settle(name)

    def propose(self, name):
        self.budget.proposals -= 1
        self.nodes[name].propose(b"command", 0)
        self.settle(name)

    def wipe(self, name):
        """Replace a node by one with an empty disk, which asks to join."""
        self.budget.wipes -= 1
        data_id = f"{name}-anew"
        self.nodes[name] = make_node(name, data_id, Stored(HardState(), None, []), self.policy)
        self.flight.append(JoinRequest(data_id, "", name, name))

    def settle(self, name):
        """Do what a node's owner does: sync at once, send, apply."""
        node = self.nodes[name]
        for _ in range(8):
            ready = node.take_ready(self.clocks[name])
            node.synced(node.log.last_index, node.log.last_term)
            self.flight += [*ready.early, *ready.late]
            if not node.has_work():
                return

    # -- what must always hold

    def check(self):
        for node in self.nodes.values():
            if node.role is Role.LEADER:
                first = self.leaders.setdefault(node.term, node.data_id)
                assert first == node.data_id, f"two leaders in term {node.term}"
                whole = node.log.last_index >= len(self.decided) + FOUNDING_INDEX
                assert whole, "a leader lacks what was decided"
            self.check_decided(node)

    def check_decided(self, node):
        """Check a node's committed entries against all that was ever committed."""
        for entry in node.log.entries:
            if entry.index > node.commit_index:
                return
            held = (entry.term, entry.kind, entry.payload)
            at = entry.index - FOUNDING_INDEX - 1
            if at == len(self.decided):
                self.decided.append(held)
            assert self.decided[at] == held, f"entry {entry.index} was decided twice"


def distinct(messages):
    """Return the positions of messages, the first of equal ones."""
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


def make_world(voters, spares, budget):
    """Return a group with a leader, and empty spares that ask to join."""
    names = "abcdefg"[: voters + spares]
    policy = GroupPolicy(True, voters, spares, SILENT_S)
    group = Group(tuple(GroupMember(name, name, name) for name in names[:voters]))
    nodes = {}
    for name in names:
        founding = Snapshot(1, 1, 0, group, b"") if name in names[:voters] else None
        stored = Stored(HardState(1 if founding else 0), founding, [])
        nodes[name] = make_node(name, name, stored, policy)
    world = World(nodes, dict.fromkeys(names, 0.0), policy, Budget(timeouts=1))
    world.time_out("a")
    while world.flight:
        world.deliver(0)
    assert nodes["a"].role is Role.LEADER
    for name in names[voters:]:
        world.flight.append(JoinRequest(name, "", name, name))
    while world.flight:
        world.deliver(0)
    world.check()
    world.budget = budget
    # The leader's silence has begun: any follower may ask for votes and give its own.
    for name in names[1:]:
        world.clocks[name] = max(world.clocks[name], nodes[name].election_at)
    return world


def explore(world, depth):
    """Let events happen in every order up to a depth; return how many worlds were seen."""
    start = pickle.dumps(world)
    seen = {world.key()}
    level = [(start, ())]
    for _ in range(depth):
        following = []
        for frozen, path in level:
            for event in pickle.loads(frozen).events():
                following += step(frozen, path, event, seen)
        level = following
    return len(seen)


def step(frozen, path, event, seen):
    """Let one event happen; return the world after it unless it is known."""
    world = pickle.loads(frozen)
    try:
        world.do(event)
    except AssertionError as error:
        raise AssertionError(f"{error}, after {[*path, event]}") from error
    key = world.key()
    if key in seen:
        return []
    seen.add(key)
    return [(pickle.dumps(world), (*path, event))]


def main():
    depth = int(sys.argv[1])
    for voters, spares in ((3, 0), (3, 1)):
        seen = explore(make_world(voters, spares, Budget()), depth)
        print(f"{voters} voters, {spares} spare: {seen} states to depth {depth}, all sound")


if __name__ == "__main__":
    main()
