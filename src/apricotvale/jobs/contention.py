"""The leader's state for jobs that compete for the engines of the same services."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from attrs import define, field, frozen

from apricotvale.jobs import admission
from apricotvale.jobs.backlog import ItemKey, OpenJob, group_work, plan_items
from apricotvale.jobs.overload import NORMAL_RATIO, Overload, overload_ratio, reward_ratio
from apricotvale.jobs.planning import GroupWork, PlannedGroup, Prospect, Room
from apricotvale.jobs.scheduling import WaitingItem
from apricotvale.jobs.shares import Shares

# The plan is made in the event loop of the leader, which also commits and serves calls.
PLAN_INTERVAL_S = 0.05


@frozen
class Activity:
    """What the leader knows of started items.

    :param generated_s: seconds for which items have run; None if only the reward call is missing.
    :param running: the items that occupy a slot.
    :param slots: slots of the ready engines.
    :param rewards_per_s: reward calls that their services can answer, infinite if unknown.
    """

    generated_s: Mapping[ItemKey, float | None]
    running: Collection[ItemKey]
    slots: int
    seconds_per_token: float
    rewards_per_s: float = float("inf")


@define
class Contention:
    """Open jobs, recent shares and the current plan.

    :param order: waiting items in the order of the plan, None without overload.
    :param reported: groups that were reported as postponed, with the reason.
    """

    jobs: dict[str, OpenJob] = field(factory=dict)
    overload: Overload = field(factory=Overload)
    shares: Shares = field(factory=Shares)
    ratio: float = 0.0
    order: list[WaitingItem] | None = None
    plan: list[PlannedGroup] = field(factory=list)
    next_plan_at: float = float("-inf")
    counted_at: float | None = None
    reported: set[tuple[str, str, Prospect]] = field(factory=set)

    def count_served(self, activity: Activity, now: float) -> None:
        """Count the work that the running items got since the last call."""
        self.shares.decay(now)
        elapsed_s = now - self.counted_at if self.counted_at is not None else 0.0
        self.counted_at = now
        tokens = elapsed_s / activity.seconds_per_token
        for job_id, _ in activity.running:
            job = self.jobs.get(job_id)
            if job is not None:
                self.shares.add(job.urgency, job.owner, tokens)

    def update(self, activity: Activity, now: float) -> bool:
        """Make a new plan if one is due; return whether overload began or ended."""
        if now < self.next_plan_at:
            return False
        self.next_plan_at = now + PLAN_INTERVAL_S
        works, room = self.measure(activity)
        engine_ratio = overload_ratio(works, room, now)
        self.ratio = max(engine_ratio, reward_ratio(works, room, now))
        if self.ratio > max(engine_ratio, NORMAL_RATIO):
            count_rewards_as_work(works, room)
        changed = self.overload.update(self.ratio, now)
        self.order, self.plan = None, []
        if self.overload.is_active:
            counts = Counter(
                self.jobs[job_id].urgency for job_id, _ in activity.running if job_id in self.jobs
            )
            served = self.shares.by_owner(activity.seconds_per_token)
            started = {
                key for key, seconds in activity.generated_s.items() if seconds is None
            }.union(activity.running)
            self.order, self.plan = plan_items(self.jobs, works, room, started, counts, served, now)
        return changed

    def measure(self, activity: Activity) -> tuple[list[GroupWork], Room]:
        """Return the remaining work of all groups and the capacity for it."""
        works, running_s = group_work(
            self.jobs.values(), activity.generated_s, activity.running, activity.seconds_per_token
        )
        return works, Room(activity.slots, tuple(running_s), activity.rewards_per_s)

    def newly_postponed(self) -> list[PlannedGroup]:
        """Return the wanted groups that the plan postpones, once for each group and prospect."""
        found = []
        for entry in self.plan:
            if entry.prospect not in (Prospect.LATE, Prospect.HARDLY):
                continue
            key = (entry.work.job_id, entry.work.group, entry.prospect)
            if key not in self.reported:
                self.reported.add(key)
                found.append(entry)
        return found

    def expired_jobs(self) -> set[str]:
        """Return the jobs whose runs may stop for items that can be in time."""
        return {entry.work.job_id for entry in self.plan if entry.prospect is Prospect.EXPIRED}

    def in_time_waiting(self) -> int:
        """Return how many waiting items belong to groups that can be complete in time."""
        in_time = {
            (entry.work.job_id, entry.work.group)
            for entry in self.plan
            if entry.prospect is Prospect.IN_TIME
        }
        return sum(
            (waiting.job.job_id, waiting.item.group) in in_time for waiting in self.order or ()
        )

    def refuse(self, job: OpenJob, activity: Activity, now: float) -> float | None:
        """Return the time until a new job may be submitted again, None if it is accepted."""
        works, room = self.measure(activity)
        new, _ = group_work([job], {}, (), activity.seconds_per_token)
        needed = {job_id: held.needed for job_id, held in self.jobs.items()}
        needed[job.job.job_id] = job.needed
        served = self.shares.by_owner(activity.seconds_per_token)
        return admission.refuse(works, new, needed, room, served, now)

    def forget(self, job_id: str) -> None:
        """Drop a job that is no longer open."""
        del self.jobs[job_id]
        self.reported = {key for key in self.reported if key[0] != job_id}


def count_rewards_as_work(works: list[GroupWork], room: Room) -> None:
    """Raise the work of each group to what its reward calls take of their services' time.

    The plan knows one resource, the slots of the engines. While reward calls are the scarcer one, a
    call counts as the share of all slots for the time between two calls, so that the plan selects
    as many groups as can also be scored in time.
    """
    seconds_per_call = room.slots / room.rewards_per_s
    for work in works:
        work.work_s = max(work.work_s, work.reward_calls * seconds_per_call)
        work.waiting_s = max(work.waiting_s, work.reward_calls * seconds_per_call)
