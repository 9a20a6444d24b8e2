"""Whether a new job can be served at all."""

from __future__ import annotations

from attrs import evolve

from apricotvale.jobs.planning import (
    GUARANTEED_SHARE,
    GroupWork,
    Owner,
    Prospect,
    Room,
    plan_groups,
)

MIN_RETRY_S = 0.5
# Callers that were refused together are spread over this share of their delay.
RETRY_SPREAD = 0.5


def refuse(
    works: list[GroupWork],
    new: list[GroupWork],
    needed: dict[str, int],
    room: Room,
    served: dict[Owner, float],
    now: float,
) -> float | None:
    """Return the time until capacity is expected if a new job must be refused, else None.

    Load pattern: jobs arrive for minutes faster than they can be run. A job is refused if not even
    one of its groups can be complete before its trainer gives up. A job is never refused while
    slots are free, or if the guaranteed capacity of its class would carry one of its groups.

    :param works: remaining work of the open jobs, `new` that of the new one.
    :param needed: by job, the new one included, how many more groups its trainer waits for.
    """
    if not new or not room.slots or len(room.running_s) < room.slots:
        return None
    smallest = min(new, key=lambda group: group.work_s)
    horizon_s = smallest.give_up_at - now
    if horizon_s == float("inf"):
        return None
    if is_guaranteed(works, smallest, room, horizon_s):
        return None
    planned = plan_groups(works + [evolve(group) for group in new], needed, room, served, now)
    reachable = (Prospect.IN_TIME, Prospect.LATE)
    job_id = smallest.job_id
    if any(entry.work.job_id == job_id and entry.prospect in reachable for entry in planned):
        return None
    ahead_s = sum(room.running_s) + sum(
        entry.work.waiting_s for entry in planned if entry.prospect in reachable
    )
    return max(MIN_RETRY_S, (ahead_s + smallest.work_s) / room.slots - horizon_s)


def is_guaranteed(
    works: list[GroupWork], smallest: GroupWork, room: Room, horizon_s: float
) -> bool:
    """Return whether the guaranteed capacity of a less urgent class carries one more group."""
    if not any(work.urgency < smallest.urgency for work in works):
        return False
    own_s = sum(work.work_s for work in works if work.urgency == smallest.urgency)
    capacity_s = room.slots * GUARANTEED_SHARE * horizon_s
    return smallest.longest_s <= horizon_s and own_s + smallest.work_s <= capacity_s


def spread(retry_after_s: float, uniform: float) -> float:
    """Return a delay lengthened at random by up to a half.

    Load pattern: callers that were refused together would come back together.

    :param uniform: a random number in [0, 1).
    """
    return retry_after_s * (1 + RETRY_SPREAD * uniform)
