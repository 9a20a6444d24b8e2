"""Planning of load orders, which tell engines to load a weight version.

Loads are staggered so that the other engines keep serving. Idle engines load first. A busy engine
loads once the version has waited for MAX_IDLE_WAIT_S, or at once if queued items need the version.
"""

from __future__ import annotations

import math
from enum import StrEnum

from attrs import define, field, frozen

from apricotvale.discovery import Standing, Upstream

# Maximum concurrent loads as a share of the engines. Beyond it the weight store slows down: it
# supports 2 concurrent loads for 5 engines, 8 for 20 and 9 for 22.
MAX_LOADING_SHARE = 0.4
# How long a version waits for an engine to finish the items of its model. Engines become idle
# between two steps, while their trainer trains; work without steps has no such gaps, so the wait is
# limited.
MAX_IDLE_WAIT_S = 6.0


class LoadMode(StrEnum):
    """What an engine does with its active runs when it loads a version.

    FINISH lets them end on the version they began with, CONTINUE moves them to the new version.
    """

    FINISH = "finish"
    CONTINUE = "continue"


class OrderOutcome(StrEnum):
    """Reply of an engine to a load order."""

    STARTED = "started"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED_OFF = "fenced_off"
    REJECTED = "rejected"


@frozen
class EngineReport:
    """State reported by an engine, several hundred milliseconds old.

    :param orders: number of orders accepted since the engine's start.
    :param busy: whether an order is in progress.
    """

    orders: int
    busy: bool
    models: dict[str, int]


@frozen
class LoadOrder:
    """An order to load a version.

    :param holder: name of the replica that issues the order.
    :param after_orders: precondition: the number of orders that the engine has accepted so far.
    """

    model: str
    version: int
    mode: LoadMode
    holder: str
    fencing_token: int
    after_orders: int


@define
class EngineLoads:
    """Load state of an engine that its heartbeats do not report.

    :param loading_until: expected end of the current load, in monotonic seconds.
    :param retry_at: time from which another order may be sent.
    :param versions: weight versions seen in answers or expected after a load.
    """

    loading_until: float = float("-inf")
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


def plan_loads(
    targets: list[Target],
    engines: list[Upstream],
    loads: dict[str, EngineLoads],
    in_flight: dict[tuple[str, str], int],
    now: float,
    assigned: dict[str, set[str]] | None = None,
    needed: dict[str, int] | None = None,
) -> list[PlannedLoad]:
    """Return the loads to order now.

    :param engines: engines that accept orders.
    :param loads: load state by incarnation.
    :param in_flight: number of runs by incarnation and model.
    :param now: monotonic clock, in seconds.
    :param assigned: incarnations by model; if empty, all engines load all their models.
    :param needed: minimum version by model that queued items accept. An engine with an older
        version cannot run them, so it loads even while it runs other items.
    """
    min_versions = needed or {}
    usable = [engine for engine in engines if engine.standing is Standing.READY]
    limit = max(1, math.floor(len(usable) * MAX_LOADING_SHARE))
    loading = {e.incarnation for e in usable if is_loading(loads.get(e.incarnation), now)}
    planned = []
    for target in sorted(targets, key=lambda target: target.since):
        outdated = [
            engine
            for engine in usable
            if target.model in engine.models
            and (not assigned or engine.incarnation in assigned.get(target.model, set()))
            and known_version(engine, loads.get(engine.incarnation), target.model) < target.version
            and can_order_load(loads.get(engine.incarnation), now)
            and engine.incarnation not in loading
        ]
        runs = {e.incarnation: in_flight.get((e.incarnation, target.model), 0) for e in outdated}
        outdated.sort(key=lambda engine: runs[engine.incarnation])
        for engine in outdated:
            due = not runs[engine.incarnation] or now >= target.since + MAX_IDLE_WAIT_S
            known = known_version(engine, loads.get(engine.incarnation), target.model)
            if len(loading) >= limit:
                break
            if not due and known >= min_versions.get(target.model, 0):
                continue
            loading.add(engine.incarnation)
            planned.append(PlannedLoad(engine, target.model, target.version))
    return planned


def is_loading(loads: EngineLoads | None, now: float) -> bool:
    """Return whether an engine is expected to be loading still."""
    return loads is not None and now < loads.loading_until


def can_order_load(loads: EngineLoads | None, now: float) -> bool:
    """Return whether another load order can be sent to an engine now."""
    return loads is None or now >= loads.retry_at
