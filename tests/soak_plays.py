"""The plays of a soak over processes: series of faults that overlap, and a final fault."""

from __future__ import annotations

import random

from attrs import define

from tests.soak_vms import CATCH_UP_S, START_S

FIRST_FAULT_S = 1.0
# Kinds of faults on a control VM and on an entry, with their weights.
CONTROL_KINDS = ["kill", "freeze", "term", "hup", "wipe", "power", "slow", "stall"]
CONTROL_KINDS += ["kill all", "power all"]
CONTROL_WEIGHTS = [4, 5, 3, 1, 4, 3, 2, 2, 1, 1]
ENTRY_KINDS = ["kill", "freeze", "term", "hup", "kill entries"]
ENTRY_WEIGHTS = [2, 2, 3, 2, 3]
# Seeds from here on have chains of wipes.
FIRST_CHAIN = 1000
FINALS = ["wipe, power", "wipe, kill", "power", "kill", "wipe"]


@define(frozen=True)
class Fault:
    """A fault on a VM.

    :param vm: name of a VM, or `leader`, `follower` or `other` for one chosen at its time.
    :param lasts_s: time until the process continues or is started again, in seconds.
    """

    at: float
    kind: str
    vm: str
    lasts_s: float

    def __str__(self):
        return f"{self.at:.1f} {self.kind} {self.vm} {self.lasts_s:.1f}"


@define(frozen=True)
class Play:
    """The schedule of a run.

    :param waits: whether a wipe that is not allowed yet waits, instead of being a kill.
    :param settles: whether the final fault waits until all other faults are over.
    """

    faults: tuple
    final: str
    victim: str
    final_at: float
    waits: bool = False
    settles: bool = False
    after_job: bool = False
    has_links: bool = False

    def __str__(self):
        options = ("waits", "settles", "after_job", "has_links")
        faults = "; ".join(map(str, self.faults))
        how = " ".join(name for name in options if getattr(self, name))
        return f"{faults}; final {self.final_at:.1f} {self.final} {self.victim} {how}"


PLAYS = {
    # An empty replica finds no leader, since the leader is frozen, before a second disk is lost.
    "frozen-leader": Play(
        (
            Fault(2.0, "freeze", "leader", 8.0),
            Fault(2.2, "wipe", "follower", 0.5),
            Fault(7.8, "wipe", "other", 0.6),
        ),
        *("power", "c0", 10.0),
        waits=True,
        settles=True,
    ),
    # All entries lose power at once, again and again, also while the leader is lost.
    "entries-lose-power": Play(
        (
            Fault(3.0, "kill entries", "e0", 0.5),
            Fault(7.0, "kill entries", "e0", 0.3),
            Fault(10.0, "freeze", "leader", 2.0),
            Fault(10.5, "kill entries", "e0", 0.5),
            Fault(14.0, "kill entries", "e0", 0.3),
        ),
        *("kill", "c0", 18.0),
    ),
    # The disks of two VMs refuse writes for a second, one after the other.
    "refusing-disks": Play(
        (Fault(2.0, "refuse", "leader", 1.0), Fault(5.0, "refuse", "follower", 1.0)),
        *("power", "c0", 9.0),
    ),
}


def make_play(seed):
    """Return the play of a seed: faults at random, from `FIRST_CHAIN` on beside chains of wipes."""
    rng = random.Random(f"play {seed}")
    final_at = rng.uniform(7.0, 14.0)
    faults = []
    for _ in range(rng.randint(4, 12)):
        on_control = rng.random() < 0.8
        kinds, weights = CONTROL_KINDS, CONTROL_WEIGHTS
        if not on_control:
            kinds, weights = ENTRY_KINDS, ENTRY_WEIGHTS
        kind = rng.choices(kinds, weights)[0]
        vm = rng.choice(["c0", "c1", "c2"] if on_control else ["e0", "e1"])
        long = kind in ("freeze", "slow", "stall")
        limit_s = 6.0 if kind == "freeze" else 3.0
        lasts_s = rng.uniform(1.0, limit_s) if long else rng.uniform(0.3, 1.3)
        faults.append(Fault(rng.uniform(FIRST_FAULT_S, final_at), kind, vm, lasts_s))
    final = rng.choices(FINALS, [4, 3, 1, 1, 1])[0]
    victim = rng.choice(["c0", "c1", "c2", "leader"])
    options = [rng.random() < share for share in (0.4, 0.5, 0.3)]
    has_links = False
    if seed >= FIRST_CHAIN:
        options[0] = True
        faults, final_at, has_links = add_chain(faults, final_at, rng)
    faults.sort(key=lambda fault: fault.at)
    return Play(tuple(faults), final, victim, final_at, *options, has_links)


def add_chain(faults, final_at, rng):
    """Add a series of wipes of one VM after the other, each as soon as it is allowed.

    Another VM is frozen or cut off while the first has time to catch up.
    """
    has_links = rng.random() < 0.5
    faults = rng.sample(faults, min(len(faults), 3))
    at = rng.uniform(FIRST_FAULT_S, 3.0)
    order = rng.sample(["c0", "c1", "c2"], 3)
    for number in range(rng.randint(2, 3)):
        lasts_s = rng.uniform(0.3, 0.8)
        faults.append(Fault(at, "wipe", order[number], lasts_s))
        kind = rng.choice(["freeze", "cut"]) if has_links else "freeze"
        begin, dark_s = at + rng.uniform(-1.0, 0.5), rng.uniform(4.5, 7.5)
        faults.append(Fault(begin, kind, order[(number + 2) % 3], dark_s))
        at += lasts_s + START_S + CATCH_UP_S + rng.uniform(0.0, 1.0)
    return faults, max(at, final_at), has_links
