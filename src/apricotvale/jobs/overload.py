"""Whether there is more work due than the engines and the services of reward calls can do."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define

from apricotvale.jobs.planning import GroupWork, Room

# Overload begins above the first ratio of work to capacity. It ends when the ratio has been under
# the second one for a time, so that it does not alternate around one value.
OVERLOAD_RATIO = 1.0
NORMAL_RATIO = 0.85
NORMAL_S = 1.0
# Work due within a shorter time is compared with the capacity of this time: the last item of a late
# job is no overload.
MIN_HORIZON_S = 0.5


def overload_ratio(groups: Iterable[GroupWork], room: Room, now: float) -> float:
    """Return the largest ratio of work due to capacity over the due times of open jobs.

    Load pattern: steps of all trainers arrive at once on half of the engines.
    """
    return largest_ratio(groups, lambda group: group.work_s, room.slots, now)


def reward_ratio(groups: Iterable[GroupWork], room: Room, now: float) -> float:
    """Return the largest ratio of reward calls due to what their services can answer.

    Load pattern: most upstreams of the service of the reward calls are taken away, so that complete
    outputs wait for their calls while the engines go on.
    """
    return largest_ratio(groups, lambda group: group.reward_calls, room.rewards_per_s, now)


def largest_ratio(
    groups: Iterable[GroupWork],
    work_of: Callable[[GroupWork], float],
    capacity: float,
    now: float,
) -> float:
    """Return the largest ratio of work due by a time to the capacity until then.

    :param capacity: work done in a second; 0 gives the ratio 0, since nothing can be planned.
    """
    if not capacity:
        return 0.0
    work_by_due: dict[float, float] = {}
    for group in groups:
        if not group.is_spare and group.can_complete and group.give_up_at > now:
            work_by_due[group.due_at] = work_by_due.get(group.due_at, 0.0) + work_of(group)
    worst = total = 0.0
    for due_at in sorted(work_by_due):
        total += work_by_due[due_at]
        worst = max(worst, total / (capacity * max(MIN_HORIZON_S, due_at - now)))
    return worst


@define
class Overload:
    """Whether work exceeds capacity, with hysteresis.

    :param under_since: since when the ratio has been under `NORMAL_RATIO`; None if it is not.
    """

    is_active: bool = False
    under_since: float | None = None

    def update(self, ratio: float, now: float) -> bool:
        """Record a ratio; return whether overload began or ended.

        Load pattern: a load close to the capacity, whose ratio varies around 1 with each result.
        """
        if ratio >= NORMAL_RATIO:
            self.under_since = None
        elif self.under_since is None:
            self.under_since = now
        was_active = self.is_active
        if ratio > OVERLOAD_RATIO:
            self.is_active = True
        elif self.under_since is not None and now >= self.under_since + NORMAL_S:
            self.is_active = False
        return self.is_active is not was_active
