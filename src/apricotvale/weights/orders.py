"""Planning of load orders, which tell engines to load a weight version.

A load pauses the engine's runs of the model, so it should find the engine idle. A trainer's step
accepts the previous version too, so only half of a model's engines load a version at a time: the
others run the next step meanwhile and load the version after it. Since items prefer the engines
with the newest version, the engines that are to load next have become idle by then.
"""

from __future__ import annotations

import math
from collections import Counter

from attrs import define, field, frozen

from apricotvale.discovery import Standing, Upstream

# Maximum concurrent loads as a share of the engines. Beyond it the weight store slows down: it
# supports 2 concurrent loads for 5 engines, 8 for 20 and 9 for 22.
MAX_LOADING_SHARE = 0.4
# How long a version waits until half of its model's engines are idle. Work without steps has no
# gaps, so the wait is limited.
MAX_IDLE_WAIT_S = 3.0
# A trainer that is late submits its next step right after it publishes a version. An engine that
# can run this step waits for this long before it loads.
SUBMIT_WAIT_S = 0.25
# A busy engine loads for waiting items only if each slot that can run them has more of them to run.
# Most items are short, so fewer of them are served sooner than the paused runs would be resumed.
MAX_ITEMS_PER_SLOT = 3
# An engine of another model loads a version only if so many items wait without a free slot.
MIN_HELPED_ITEMS = 6


@define
class EngineLoads:
    """Load state of an engine that its heartbeats do not report.

    :param loading_until: expected end of the current load, in monotonic seconds.
    :param loading_model: model of the current load; runs of other models go on during it.
    :param retry_at: time from which another order may be sent.
    :param versions: weight versions seen in answers or expected after a load.
    """

    loading_until: float = float("-inf")
    loading_model: str = ""
    retry_at: float = float("-inf")
    versions: dict[str, int] = field(factory=dict)


@frozen
class Target:
    """The newest version of a model.

    :param since: monotonic time in seconds at which the leader learned of the version.
    """

    model: str
    version: int
    since: float


@frozen
class PlannedLoad:
    """A load that is due to be ordered."""

    upstream: Upstream
    model: str
    version: int


def known_version(upstream: Upstream, loads: EngineLoads | None, model: str) -> int:
    """Return the newest version of a model that an engine is known to hold, 0 if none."""
    seen = loads.versions.get(model, 0) if loads else 0
    return max(seen, upstream.models.get(model, 0))


@frozen
class WaitingWork:
    """How many items of a model wait for an engine, and which version they need.

    :param min_version: oldest weight version that may run them.
    """

    min_version: int = 0
    count: int = 0


@define
class Backlog:
    """Items of a model that wait, and the slots that can run them.

    :param slots: slots of the engines that hold or load a version that runs the items.
    :param free_slots: those of these slots that are free.
    """

    items: int
    slots: int = 0
    free_slots: int = 0

    @property
    def excess(self) -> int:
        """Return the number of items that find no free slot."""
        return self.items - self.free_slots

    def needs_load(self, is_busy: bool) -> bool:
        """Return whether one more engine is to load a version that runs the items.

        :param is_busy: whether the load pauses runs of the engine.
        """
        return self.excess > (MAX_ITEMS_PER_SLOT * self.slots if is_busy else 0)

    def add(self, slots: int, free_slots: int) -> None:
        """Add an engine that can run the items."""
        self.slots += slots
        self.free_slots += free_slots


@define
class ModelEngines:
    """The engines of one model while its loads are planned.

    :param engines: ready engines that are assigned to the model.
    :param helpers: other ready engines that hold the model.
    :param runs: number of runs of the model, by incarnation.
    :param used_slots: number of runs of all models, by incarnation.
    """

    target: Target
    waiting: WaitingWork
    engines: list[Upstream]
    helpers: list[Upstream]
    loads: dict[str, EngineLoads]
    runs: dict[str, int]
    used_slots: Counter[str]
    now: float

    def free_slots(self, engine: Upstream) -> int:
        """Return the number of further runs that an engine can take."""
        return engine.capacity - self.used_slots[engine.incarnation]

    def can_run_waiting(self, engine: Upstream) -> bool:
        """Return whether the version that an engine holds or loads runs the waiting items."""
        return self.version_of(engine) >= self.waiting.min_version

    def version_of(self, engine: Upstream) -> int:
        """Return the version that an engine holds or loads."""
        return known_version(engine, self.loads.get(engine.incarnation), self.target.model)

    @property
    def half(self) -> int:
        """Return the number of engines that may load, or shall hold, a version at a time."""
        return math.ceil(len(self.engines) / 2)

    def is_due(self, engine: Upstream, backlog: Backlog, current: int, loading: int) -> bool:
        """Return whether an engine with an old version loads the newest one now.

        :param current: number of engines that hold or load the newest version.
        :param loading: number of engines that load it.
        """
        age_s = self.now - self.target.since
        is_busy = self.runs[engine.incarnation] > 0
        if not self.can_run_waiting(engine) and backlog.needs_load(is_busy):
            return True
        if is_busy:
            return current < self.half and age_s >= MAX_IDLE_WAIT_S
        if loading >= self.half:
            return False
        if self.version_of(engine) < self.target.version - 1:
            return True
        return age_s >= SUBMIT_WAIT_S and not self.waiting.count

    def is_helper_due(self, engine: Upstream, backlog: Backlog) -> bool:
        """Return whether an engine of another model loads the newest version now."""
        is_useful = self.free_slots(engine) > 0 and not self.runs[engine.incarnation]
        return is_useful and backlog.excess >= MIN_HELPED_ITEMS


def plan_loads(
    targets: list[Target],
    engines: list[Upstream],
    loads: dict[str, EngineLoads],
    in_flight: dict[tuple[str, str], int],
    now: float,
    assigned: dict[str, set[str]] | None = None,
    waiting: dict[str, WaitingWork] | None = None,
) -> list[PlannedLoad]:
    """Return the loads to order now.

    :param engines: engines that accept orders.
    :param loads: load state by incarnation.
    :param in_flight: number of runs by incarnation and model.
    :param now: monotonic clock, in seconds.
    :param assigned: incarnations by model; if empty, all engines load all their models.
    :param waiting: waiting items by model. An engine that is too old for them loads even while it
        runs other items, if the other engines have no room.
    """
    usable = [engine for engine in engines if engine.standing is Standing.READY]
    limit = max(1, math.floor(len(usable) * MAX_LOADING_SHARE))
    loading = {e.incarnation for e in usable if is_loading(loads.get(e.incarnation), now)}
    used_slots: Counter[str] = Counter()
    for (incarnation, _), runs in in_flight.items():
        used_slots[incarnation] += runs
    planned: list[PlannedLoad] = []
    for target in sorted(targets, key=lambda target: target.since):
        holders = [engine for engine in usable if target.model in engine.models]
        own = assigned.get(target.model, set()) if assigned else {e.incarnation for e in holders}
        group = ModelEngines(
            target,
            (waiting or {}).get(target.model, WaitingWork()),
            [engine for engine in holders if engine.incarnation in own],
            [engine for engine in holders if engine.incarnation not in own],
            loads,
            {e.incarnation: in_flight.get((e.incarnation, target.model), 0) for e in usable},
            used_slots,
            now,
        )
        planned += plan_model(group, loading, limit)
    return planned


def plan_model(group: ModelEngines, loading: set[str], limit: int) -> list[PlannedLoad]:
    """Return the loads of one model that are due, the least busy engines first.

    :param loading: incarnations of the engines that load, to which the planned ones are added.
    :param limit: number of engines that may load at a time.
    """
    target = group.target
    current = [e for e in group.engines if group.version_of(e) >= target.version]
    outdated = [e for e in group.engines if group.version_of(e) < target.version]
    outdated.sort(key=lambda e: (group.runs[e.incarnation], group.version_of(e)))
    helpers = [e for e in group.helpers if not group.can_run_waiting(e)]
    helpers.sort(key=group.free_slots, reverse=True)
    backlog = Backlog(group.waiting.count)
    for engine in [*group.engines, *group.helpers]:
        if group.can_run_waiting(engine):
            backlog.add(engine.capacity, group.free_slots(engine))
    current_count = len(current)
    loading_count = sum(engine.incarnation in loading for engine in current)
    planned: list[PlannedLoad] = []
    for position, engine in enumerate([*outdated, *helpers]):
        if len(loading) >= limit:
            break
        blocked = not can_order_load(group.loads.get(engine.incarnation), group.now)
        if blocked or engine.incarnation in loading:
            continue
        if position < len(outdated):
            due = group.is_due(engine, backlog, current_count, loading_count)
        else:
            due = group.is_helper_due(engine, backlog)
        if not due:
            continue
        if not group.can_run_waiting(engine):
            backlog.add(engine.capacity, group.free_slots(engine))
        current_count += 1
        loading_count += 1
        loading.add(engine.incarnation)
        planned.append(PlannedLoad(engine, target.model, target.version))
    return planned


def is_loading(loads: EngineLoads | None, now: float, model: str = "") -> bool:
    """Return whether an engine is expected to be loading still.

    :param model: if not empty, only a load of this model counts.
    """
    if loads is None or now >= loads.loading_until:
        return False
    return not model or not loads.loading_model or loads.loading_model == model


def can_order_load(loads: EngineLoads | None, now: float) -> bool:
    """Return whether another load order can be sent to an engine now."""
    return loads is None or now >= loads.retry_at
