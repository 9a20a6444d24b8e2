"""Random exploration of groups that lose disks: `python -m tests.lost_majority_exploration SEEDS`.

The orders of events that lead to an election without a quorum are too long to explore all of them.
A disk is wiped only while that of another node holds every committed entry.
"""

from __future__ import annotations

import random
import sys

from tests.exploration import Budget, explore, make_world

STEPS = 40
DELIVERY_SHARE = 0.7
SETTLE_S = 12.0
# Voters, learners and whether the group is open.
GROUPS = ((3, 0, True), (3, 0, False), (3, 1, True), (5, 0, True))


def budget():
    """Return a budget that few walks exhaust."""
    return Budget(timeouts=8, heartbeats=8, proposals=4, wipes=4, restarts=3, cuts=3, joins=6)


class Walk:
    """A random order of events, after which all faults end."""

    def __init__(self, seed, voters, learners, is_open):
        self.rng = random.Random(seed)
        self.world = make_world(voters, learners, budget(), is_open)
        self.world.eager_pre_votes = self.rng.random() < 0.7
        self.events = []

    def run(self):
        try:
            for _ in range(STEPS):
                self.step()
            self.events.append("settle")
            assert self.world.settle(self.rng, SETTLE_S), "no leader after all faults"
        except AssertionError as error:
            raise AssertionError(f"{error}, after {self.events}") from error

    def step(self):
        events = self.world.events()
        if not events:
            return
        deliveries = [event for event in events if event[0] == "deliver"]
        others = [event for event in events if event[0] != "deliver"]
        is_delivery = deliveries and (not others or self.rng.random() < DELIVERY_SHARE)
        kinds = sorted({event[0] for event in others})
        kind = "deliver" if is_delivery else self.rng.choice(kinds)
        event = self.rng.choice([event for event in events if event[0] == kind])
        self.events.append(self.describe(event))
        self.world.apply(event)

    def describe(self, event):
        kind, argument = event
        if kind != "deliver":
            return event
        letter = self.world.in_flight[argument]
        message = letter.message
        return (kind, type(message).__name__, message.source, "".join(letter.addresses))


def stale_world(voters, learners, budget, wiped):
    """Return a world whose last voter lacks a command, and in which some disks are lost.

    :param wiped: names of the replicas that are empty; some other one has everything.
    """
    world = make_world(voters, learners, Budget(proposals=1, cuts=1), is_open=True)
    world.eager_pre_votes = True
    stale = "abcdefg"[voters - 1]
    world.apply(("cut off", stale))
    world.apply(("propose", "a"))
    world.deliver_all()
    world.apply(("connect", stale))
    world.in_flight.clear()
    world.budget = Budget(wipes=len(wiped))
    for name in wiped:
        assert world.may_be_wiped(name)
        world.apply(("wipe", name))
    world.in_flight.clear()
    world.budget = budget
    return world


# Voters, learners, replicas that are empty, and the depth of a run of some minutes.
STALE_WORLDS = ((3, 1, "ab", 8), (3, 0, "a", 7), (3, 1, "b", 7), (5, 0, "abc", 7))


def stale_budget():
    return Budget(timeouts=2, heartbeats=0, proposals=0, wipes=1, restarts=1, cuts=1)


def main():
    seeds = int(sys.argv[1])
    for group in GROUPS:
        for seed in range(seeds):
            Walk(seed, *group).run()
        print(f"{group}: {seeds} walks of {STEPS} events, no violation")
    for voters, learners, wiped, depth in STALE_WORLDS:
        seen = explore(stale_world(voters, learners, stale_budget(), wiped), depth)
        print(
            f"{voters} voters, {learners} learners, {wiped} wiped: {seen} states to depth {depth},"
            " no violation"
        )


if __name__ == "__main__":
    main()
