"""Which groups of items to finish when the engines cannot finish all of them in time.

The trainer uses only complete groups. With least slack first, an overload gives every group some
slots and completes few of them in time, so that most of the work done is worth nothing.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections.abc import Iterable, Mapping
from enum import IntEnum

from attrs import define, field, frozen

# A result that is read this long after the due time still has its full value.
LATE_S = 0.7
# A trainer gives up waiting for a step this long after its submission.
GIVE_UP_AFTER_S = 12.0
# Share of the capacity that is guaranteed to the less urgent classes while they have work.
GUARANTEED_SHARE = 0.25

Owner = tuple[str, str]


class Prospect(IntEnum):
    """What a group can be worth, in the order in which groups are started."""

    IN_TIME = 0
    LATE = 1
    HARDLY = 2
    SPARE = 3
    EXPIRED = 4


@define(eq=False)
class GroupWork:
    """The remaining work of a group.

    :param owner: customer and trainer; a class shares its capacity among customers, and each
        customer's part among its trainers.
    :param due_at: when the results are due, infinite without a deadline; in seconds.
    :param give_up_at: when the trainer gives up; infinite without a deadline.
    :param work_s: expected run seconds of all unfinished items, `waiting_s` of those not running.
    :param longest_s: expected run seconds of the longest unfinished item.
    :param has_begun: whether an item of the group runs, ran or has a result.
    :param is_spare: whether the trainer waits for other groups unless those cannot be in time.
    :param is_repeated: whether an earlier job had the group; the trainer waits for it in any case.
    :param can_complete: False if an item has failed.
    :param reward_calls: reward calls that the unfinished items still need.
    """

    job_id: str
    group: str
    urgency: int
    owner: Owner
    due_at: float
    give_up_at: float
    work_s: float
    waiting_s: float
    longest_s: float
    has_begun: bool = False
    is_spare: bool = False
    is_repeated: bool = False
    can_complete: bool = True
    reward_calls: int = 0

    @property
    def in_time_until(self) -> float:
        """Return the latest time at which the complete group has its full value."""
        return min(self.due_at + LATE_S, self.give_up_at)


@frozen
class Room:
    """Capacity for items.

    :param slots: slots of the ready engines.
    :param running_s: expected remaining seconds of each running item.
    :param rewards_per_s: reward calls that their services can answer, infinite if unknown.
    """

    slots: int
    running_s: tuple[float, ...] = ()
    rewards_per_s: float = float("inf")


@frozen
class PlannedGroup:
    """A group at its position in the plan.

    :param turn: position in which it was selected, 0 for a group that is not in time.
    """

    work: GroupWork
    prospect: Prospect
    turn: int = 0


class Ledger:
    """The capacity that is left until each time at which a group can be due."""

    def __init__(self, limits: Iterable[float], room: Room, now: float) -> None:
        self.limits = sorted({limit for limit in limits if limit > now})
        self.free = []
        for limit in self.limits:
            left_s = limit - now
            taken = sum(min(seconds, left_s) for seconds in room.running_s)
            self.free.append(room.slots * left_s - taken)

    def take(self, limit: float, work_s: float) -> bool:
        """Reserve capacity for work due by a limit; return False if there is too little."""
        first = bisect_left(self.limits, limit)
        free = self.free
        if work_s > 0 and any(free[n] < work_s for n in range(first, len(free))):
            return False
        self.give_back(limit, -work_s)
        return True

    def give_back(self, limit: float, work_s: float) -> None:
        """Release reserved capacity."""
        for n in range(bisect_left(self.limits, limit), len(self.free)):
            self.free[n] += work_s

    def hold(self, share: float, work_s: float) -> list[float]:
        """Reserve a share of the capacity, at most for some work; return it for `release`."""
        held = [min(max(0.0, free) * share, work_s) for free in self.free]
        self.free = [free - part for free, part in zip(self.free, held, strict=True)]
        return held

    def release(self, held: list[float]) -> None:
        """Release what `hold` reserved."""
        self.free = [free + part for free, part in zip(self.free, held, strict=True)]


@define
class Selection:
    """Groups that can be complete in time, while the plan is made.

    :param needed: by job, how many more complete groups its trainer needs.
    :param served: work that each owner got recently, and what the plan gives to it.
    """

    ledger: Ledger
    needed: dict[str, int]
    served: dict[Owner, float]
    now: float
    chosen: dict[int, GroupWork] = field(factory=dict)
    by_customer: dict[str, float] = field(init=False)

    @by_customer.default
    def sum_by_customer(self) -> dict[str, float]:
        """Return the work of each customer over its trainers."""
        totals: dict[str, float] = {}
        for (customer, _), served_s in self.served.items():
            totals[customer] = totals.get(customer, 0.0) + served_s
        return totals

    def select(self, group: GroupWork) -> bool:
        """Select a group if its trainer needs it and it can be complete in time."""
        if self.needed.get(group.job_id, 0) <= 0 and not group.is_repeated:
            return False
        limit = group.in_time_until
        if self.now + group.longest_s > limit or not self.ledger.take(limit, group.waiting_s):
            return False
        self.account(group, 1)
        return True

    def replace(self, group: GroupWork, largest: GroupWork) -> bool:
        """Select a group instead of a larger one of the same owner if that makes room for it."""
        if largest.waiting_s <= group.waiting_s or largest.is_repeated:
            return False
        self.ledger.give_back(largest.in_time_until, largest.waiting_s)
        self.account(largest, -1)
        if self.select(group):
            return True
        self.ledger.take(largest.in_time_until, largest.waiting_s)
        self.account(largest, 1)
        return False

    def account(self, group: GroupWork, sign: int) -> None:
        """Count a group as selected, or as no longer selected."""
        if sign > 0:
            self.chosen[id(group)] = group
        else:
            del self.chosen[id(group)]
        self.needed[group.job_id] = self.needed.get(group.job_id, 0) - sign
        work_s = sign * group.waiting_s
        self.served[group.owner] = self.served.get(group.owner, 0.0) + work_s
        customer = group.owner[0]
        self.by_customer[customer] = self.by_customer.get(customer, 0.0) + work_s

    def turn(self, group: GroupWork) -> tuple[float, float, float, Owner]:
        """Return the sort key by which owners take turns, for the next group of an owner."""
        customer_s = self.by_customer.get(group.owner[0], 0.0)
        return (customer_s, self.served.get(group.owner, 0.0), group.due_at, group.owner)


def plan_groups(
    groups: list[GroupWork],
    needed: dict[str, int],
    room: Room,
    served: dict[Owner, float],
    now: float,
) -> list[PlannedGroup]:
    """Return all groups in the order in which their items should start.

    Load pattern: all trainers submit at once with more work than fits until the due times. Classes
    of urgency are planned one after the other; the less urgent ones keep a guaranteed share.

    :param needed: by job, how many more complete groups its trainer waits for.
    :param served: run seconds that each owner got recently.
    """
    open_groups = [group for group in groups if group.can_complete and group.give_up_at > now]
    limits = {group.in_time_until for group in open_groups}
    ledger = Ledger(limits | {group.give_up_at for group in open_groups}, room, now)
    selection = Selection(ledger, dict(needed), dict(served), now)
    by_class: dict[int, list[GroupWork]] = {}
    for group in open_groups:
        by_class.setdefault(group.urgency, []).append(group)
    late: list[PlannedGroup] = []
    lower_s = sum(group.waiting_s for group in open_groups)
    for urgency in sorted(by_class):
        members = by_class[urgency]
        lower_s -= sum(group.waiting_s for group in members)
        held = ledger.hold(GUARANTEED_SHARE, max(0.0, lower_s))
        select_in_time(members, selection)
        late += plan_late(members, selection)
        ledger.release(held)
    planned = [
        PlannedGroup(group, Prospect.IN_TIME, turn)
        for turn, group in enumerate(selection.chosen.values())
    ]
    planned += late
    known = {id(entry.work) for entry in planned}
    for group in groups:
        if id(group) not in known:
            expired = group.give_up_at <= now
            planned.append(PlannedGroup(group, Prospect.EXPIRED if expired else Prospect.SPARE))
    missing = selection.needed
    planned.sort(key=lambda entry: start_order(entry, missing))
    return planned


def start_order(entry: PlannedGroup, missing: dict[str, int]) -> tuple[float, ...]:
    """Return the sort key of a planned group within the whole plan.

    Groups that can be in time start in the order in which they were selected: begun ones first,
    then in the turns of their owners, so that outputs longer than stated cost each owner its part.
    """
    group = entry.work
    if entry.prospect is Prospect.IN_TIME:
        return (entry.prospect, group.urgency, entry.turn)
    begun = not group.has_begun
    return (entry.prospect, group.urgency, missing.get(group.job_id, 0), begun, group.due_at)


def selection_order(group: GroupWork) -> tuple[float, ...]:
    """Return the sort key by which an owner's groups are selected."""
    return (group.in_time_until, not group.is_repeated, group.is_spare, group.waiting_s)


def select_in_time(groups: list[GroupWork], selection: Selection) -> None:
    """Select the groups of one class that can be complete in time.

    Groups that have begun come first. Then the owner that was served least picks its next group;
    when that does not fit, it replaces the owner's largest group that has not begun.
    """
    for group in sorted((group for group in groups if group.has_begun), key=selection_order):
        selection.select(group)
    queues: dict[Owner, list[GroupWork]] = {}
    for group in groups:
        if not group.has_begun:
            queues.setdefault(group.owner, []).append(group)
    picked: dict[Owner, list[tuple[float, int, GroupWork]]] = {owner: [] for owner in queues}
    for queue in queues.values():
        queue.sort(key=selection_order)
        queue.reverse()
    turns = [selection.turn(queue[-1]) for queue in queues.values()]
    heapq.heapify(turns)
    while turns:
        turn = heapq.heappop(turns)
        queue, held = queues[turn[-1]], picked[turn[-1]]
        current = selection.turn(queue[-1])
        if turns and current > turns[0]:
            # Another trainer of the customer was selected since this turn was queued.
            heapq.heappush(turns, current)
            continue
        while queue:
            group = queue.pop()
            if selection.select(group):
                heapq.heappush(held, (-group.waiting_s, id(group), group))
                break
            if held and selection.replace(group, held[0][2]):
                heapq.heapreplace(held, (-group.waiting_s, id(group), group))
        if queue:
            heapq.heappush(turns, selection.turn(queue[-1]))


def plan_late(groups: list[GroupWork], selection: Selection) -> list[PlannedGroup]:
    """Return the groups of one class that can only be late, with whether they are worth anything.

    Those of the steps with the fewest missing groups take the remaining capacity first, since they
    release their trainer.
    """
    missing = selection.needed
    rest = [
        group
        for group in groups
        if id(group) not in selection.chosen
        and (missing.get(group.job_id, 0) > 0 or group.is_repeated)
    ]
    rest.sort(
        key=lambda group: (missing.get(group.job_id, 0), not group.has_begun, group.waiting_s)
    )
    still = dict(missing)
    planned = []
    for group in rest:
        if still.get(group.job_id, 0) <= 0 and not group.is_repeated:
            continue
        fits = selection.now + group.longest_s <= group.give_up_at and selection.ledger.take(
            group.give_up_at, group.waiting_s
        )
        if fits:
            still[group.job_id] = still.get(group.job_id, 0) - 1
        planned.append(PlannedGroup(group, Prospect.LATE if fits else Prospect.HARDLY))
    return planned


def guaranteed_first(classes: list[int], slots: int, running: Mapping[int, int]) -> dict[int, int]:
    """Return by class how many of its items start before those of more urgent classes.

    Load pattern: an urgent class fills all slots for as long as it has work. Each less urgent class
    gets a quarter of what the class above it has.

    :param classes: the classes that have work, most urgent first.
    :param running: number of running items by class.
    """
    first = {}
    share = 1.0
    for urgency in classes[1:]:
        share *= GUARANTEED_SHARE
        first[urgency] = max(0, int(slots * share) - running.get(urgency, 0))
    return first
