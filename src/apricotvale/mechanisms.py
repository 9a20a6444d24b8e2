"""The mechanisms of the scheduling and routing policy, each with a switch for measurements.

All are on by default. The setting `disabled` of a process names those that are off; the simplest
sound behaviour then takes their place.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum


class Mechanism(StrEnum):
    """The name of a mechanism."""

    HEDGING = "hedging"
    EJECTION = "ejection"
    ITEM_ORDER = "item-order"
    GROUP_PLAN = "group-plan"
    ENGINE_SPEEDS = "engine-speeds"
    ENGINE_TRIAL = "engine-trial"
    CACHED_PREFIXES = "cached-prefixes"
    RUN_PRIORITIES = "run-priorities"
    RUN_MOVES = "run-moves"
    SAVED_PROGRESS = "saved-progress"
    REWARD_SLOTS = "reward-slots"
    NEAR_COPIES = "near-copies"
    COMPRESSION = "compression"
    OUTPUT_ONCE = "output-once"


# What each mechanism does, and the load pattern that it answers.
PURPOSES = {
    Mechanism.HEDGING: "sends a second copy of an idempotent request when one upstream is slow",
    Mechanism.EJECTION: "sends no requests to an upstream whose answers fail one after the other",
    Mechanism.ITEM_ORDER: "starts the items with the least slack first when items wait",
    Mechanism.GROUP_PLAN: "finishes whole groups, and refuses jobs, when not all work fits",
    Mechanism.ENGINE_SPEEDS: "places items by expected completion when engines differ in speed",
    Mechanism.ENGINE_TRIAL: "gives a new engine half of its runs until some have had events",
    Mechanism.CACHED_PREFIXES: "prefers engines that have read the prompt of an item's group",
    Mechanism.RUN_PRIORITIES: "tells engines the urgency of runs when routes differ in it",
    Mechanism.RUN_MOVES: "moves runs off engines that became slow",
    Mechanism.SAVED_PROGRESS: "keeps the output of long runs when the leader is lost",
    Mechanism.REWARD_SLOTS: "bounds the reward calls at a service that is short of slots",
    Mechanism.NEAR_COPIES: "reads results from the control replica of the caller's domain",
    Mechanism.COMPRESSION: "compresses large commands and calls between processes",
    Mechanism.OUTPUT_ONCE: "lists only that part of an output that is not saved yet",
}

disabled: set[Mechanism] = set()


def parse_names(names: Iterable[str]) -> set[Mechanism]:
    """Return the mechanisms of these names.

    :raises ValueError: if a name is unknown.
    """
    return {Mechanism(name) for name in names}


def disable(names: Iterable[str]) -> None:
    """Switch off the mechanisms of these names in this process, and all others on.

    :raises ValueError: if a name is unknown.
    """
    wanted = parse_names(names)
    disabled.clear()
    disabled.update(wanted)


def is_on(mechanism: Mechanism) -> bool:
    """Return whether a mechanism is in use."""
    return mechanism not in disabled
