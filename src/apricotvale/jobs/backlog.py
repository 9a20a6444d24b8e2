"""The unfinished groups of the open jobs, kept up to date from their results."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from attrs import define

from apricotvale.jobs.planning import (
    GIVE_UP_AFTER_S,
    LATE_S,
    GroupWork,
    Owner,
    PlannedGroup,
    Room,
    guaranteed_first,
    plan_groups,
)
from apricotvale.jobs.scheduling import WaitingItem, expected_length
from apricotvale.jobs.types import Item, ItemState, Job, Result
from apricotvale.routes import Route

ItemKey = tuple[str, str]


@define(eq=False)
class OpenGroup:
    """The unfinished items of a group, longest first.

    :param tokens: expected output of these items in all.
    :param has_begun: whether an item has a result or ran before.
    """

    items: dict[str, tuple[int, WaitingItem]]
    tokens: int
    is_spare: bool
    is_repeated: bool = False
    has_begun: bool = False
    has_failed: bool = False

    def count_rewards(self) -> int:
        """Return how many unfinished items have a reward call."""
        return sum(waiting.item.reward is not None for _, waiting in self.items.values())


class OpenJob:
    """The groups of a job that have unfinished items.

    :param due_at: when the results are due, infinite for a route without a deadline.
    :param needed: how many more complete groups the trainer waits for.
    """

    def __init__(
        self, job: Job, route: Route, seen_at: float, urgency: int, repeated: Iterable[str] = ()
    ) -> None:
        self.job = job
        self.urgency = urgency
        self.owner: Owner = (job.customer, job.model)
        self.due_at = self.give_up_at = float("inf")
        if route.job_deadline_ms:
            self.due_at = seen_at + route.job_deadline_ms / 1000
            keep_s = route.keep_ms / 1000 or float("inf")
            # A deadline later than the usual give-up time implies a trainer that waits longer.
            self.give_up_at = seen_at + min(
                max(GIVE_UP_AFTER_S, route.job_deadline_ms / 1000 + LATE_S), keep_s
            )
        self.seen_results = 0
        members: dict[str, list[Item]] = {}
        for item in job.items:
            members.setdefault(item.group, []).append(item)
        self.needed = job.wanted_groups or len(members)
        repeated_ids = set(repeated)
        self.groups: dict[str, OpenGroup] = {}
        self.group_of = {item.item_id: item.group for item in job.items}
        for number, (name, items) in enumerate(members.items()):
            is_spare = number >= self.needed
            lengths = sorted(((expected_length(item), item) for item in items), key=length_order)
            self.groups[name] = OpenGroup(
                {
                    item.item_id: (length, WaitingItem(job, item, route, is_spare, 0.0))
                    for length, item in lengths
                },
                sum(length for length, _ in lengths),
                is_spare,
                any(item.item_id in repeated_ids for item in items),
            )

    def apply(self, results: list[Result]) -> None:
        """Remove the items whose results were added since the last call."""
        for result in results[self.seen_results :]:
            group = self.groups.get(self.group_of[result.item_id])
            found = group.items.pop(result.item_id, None) if group else None
            if group is None or found is None:
                continue
            group.tokens -= found[0]
            group.has_begun = True
            group.has_failed |= result.state is ItemState.FAILED
            if not group.items:
                del self.groups[self.group_of[result.item_id]]
                self.needed -= not group.has_failed
        self.seen_results = len(results)

    def begin(self, item_ids: Iterable[str]) -> None:
        """Record that items have output that an earlier leader saved."""
        for item_id in item_ids:
            group = self.groups.get(self.group_of[item_id])
            if group is not None:
                group.has_begun = True


def length_order(entry: tuple[int, Item]) -> int:
    """Return the sort key for longest first."""
    return -entry[0]


def remaining_seconds(expected_s: float, generated_s: float) -> float:
    """Return the expected remaining seconds of an item that has run for some time.

    An item that has generated more than expected counts with twice what it has generated: long
    outputs are often several times as long as stated.
    """
    return expected_s - generated_s if generated_s < expected_s else generated_s


def group_work(
    jobs: Iterable[OpenJob],
    generated_s: Mapping[ItemKey, float | None],
    running: Collection[ItemKey],
    seconds_per_token: float,
) -> tuple[list[GroupWork], list[float]]:
    """Return the remaining work of all groups, and the remaining seconds of each running item.

    :param generated_s: seconds that items have run, for running and interrupted items; None for an
        item whose output is complete and that waits for its reward call.
    :param running: the items that occupy a slot.
    """
    works: list[GroupWork] = []
    running_s: list[float] = []
    by_group: dict[tuple[str, str], list[tuple[str, float | None]]] = {}
    open_jobs = {job.job.job_id: job for job in jobs}
    for (job_id, item_id), seconds in generated_s.items():
        job = open_jobs.get(job_id)
        if job is not None and item_id in job.group_of:
            by_group.setdefault((job_id, job.group_of[item_id]), []).append((item_id, seconds))
    for job_id, job in open_jobs.items():
        for name, group in job.groups.items():
            work_s = waiting_s = group.tokens * seconds_per_token
            longest_s = next(iter(group.items.values()))[0] * seconds_per_token
            begun = by_group.get((job_id, name))
            if begun:
                left = {
                    item: tokens * seconds_per_token for item, (tokens, _) in group.items.items()
                }
                for item_id, seconds in begun:
                    if item_id in left:
                        left[item_id] = (
                            remaining_seconds(left[item_id], seconds)
                            if seconds is not None
                            else 0.0
                        )
                active = [left[item] for item in left if (job_id, item) in running]
                running_s += active
                work_s, longest_s = sum(left.values()), max(left.values())
                waiting_s = work_s - sum(active)
            works.append(
                GroupWork(
                    job_id,
                    name,
                    job.urgency,
                    job.owner,
                    job.due_at,
                    job.give_up_at,
                    work_s,
                    max(0.0, waiting_s),
                    longest_s,
                    group.has_begun or bool(begun),
                    group.is_spare or job.needed <= 0,
                    group.is_repeated,
                    not group.has_failed,
                    group.count_rewards(),
                )
            )
    return works, running_s


def plan_items(
    jobs: Mapping[str, OpenJob],
    works: list[GroupWork],
    room: Room,
    started: Collection[ItemKey],
    counts: Mapping[int, int],
    served: dict[Owner, float],
    now: float,
) -> tuple[list[WaitingItem], list[PlannedGroup]]:
    """Return the waiting items of all jobs in the order of their starts, and the plan.

    :param started: the items that do not wait.
    :param counts: number of occupied slots by class.
    """
    needed = {job_id: job.needed for job_id, job in jobs.items()}
    plan = plan_groups(works, needed, room, served, now)
    waiting = [
        held[1]
        for entry in plan
        for item_id, held in jobs[entry.work.job_id].groups[entry.work.group].items.items()
        if (entry.work.job_id, item_id) not in started
    ]
    classes = sorted({work.urgency for work in works})
    if len(classes) <= 1:
        return waiting, plan
    left = guaranteed_first(classes, room.slots, counts)
    first: list[WaitingItem] = []
    rest: list[WaitingItem] = []
    for candidate in waiting:
        urgency = jobs[candidate.job.job_id].urgency
        if left.get(urgency, 0) > 0:
            left[urgency] -= 1
            first.append(candidate)
        else:
            rest.append(candidate)
    return first + rest, plan
