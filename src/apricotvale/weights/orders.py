"""Which engines are told to load a version, and when.

Loads are staggered so that the others serve on, idle engines go first, and an engine that stays
busy is told to load once the version has waited long enough.
"""

from __future__ import annotations

import math
from enum import StrEnum

from attrs import define, field, frozen

from apricotvale.discovery import Standing, Upstream

# Loads that the weight store carries at the same time without slowing, as a share of the engines:
# the users' sheets give 2 of 5, 8 of 20 and 9 of 22.
CONCURRENT_SHARE = 0.4
# How long a version waits for an engine that runs items of its model. Between two steps a trainer
# trains, so its engines become idle; only work without steps has none of these gaps.
IDLE_WAIT_S = 6.0


class LoadMode(StrEnum):
    """What becomes of the runs on an engine that loads a version."""

    FINISH = "finish"
    CONTINUE = "continue"


class OrderOutcome(StrEnum):
    """An engine's answer to an order."""

    STARTED = "started"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED_OFF = "fenced_off"
    REJECTED = "rejected"


@frozen
class EngineReport:
    """An engine's state as it reports it itself, some hundred milliseconds late.

    :param orders: how many orders it has accepted since its start.
    """

    orders: int
    busy: bool
    models: dict[str, int]


@frozen
class LoadOrder:
    """An order to load a version, void unless the engine has accepted just `after_orders`."""

    model: str
    version: int
    mode: LoadMode
    holder: str
    fencing_token: int
    after_orders: int


@define
class EngineLoads:
    """What the leader knows of one engine's loads beyond its heartbeats.

    :param loading_until: when the load under way should be over.
    :param versions: weight versions seen on answers or expected after a load.
    :param retry_at: when an order may be tried again.
    """

    loading_until: float = float("-inf")
    retry_at: float = float("-inf")
    versions: dict[str, int] = field(factory=dict)


@frozen
class Target:
    """The newest version of a model, and since when the leader knows it."""

    model: str
    version: int
    since: float


@frozen
class PlannedLoad:
    """A load to be ordered."""

    upstream: Upstream
    model: str
    version: int


def held_version(upstream: Upstream, loads: EngineLoads | None, model: str) -> int:
    """Return the newest version that an engine is known to hold."""
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

    :param engines: engines that take orders.
    :param loads: loads by the engine's incarnation.
    :param in_flight: runs by the engine's incarnation and the model.
    :param assigned: incarnations that keep up with a model; a model without any uses all.
    :param needed: oldest version by model that items waiting for an engine accept. An engine with
        an older one is of no use to them, so it is told to load though it runs other items.
    """
    wanted = needed or {}
    usable = [engine for engine in engines if engine.standing is Standing.READY]
    limit = max(1, math.floor(len(usable) * CONCURRENT_SHARE))
    loading = {e.incarnation for e in usable if is_loading(loads.get(e.incarnation), now)}
    planned = []
    for target in sorted(targets, key=lambda target: target.since):
        waiting = [
            engine
            for engine in usable
            if target.model in engine.models
            and (not assigned or engine.incarnation in assigned.get(target.model, set()))
            and held_version(engine, loads.get(engine.incarnation), target.model) < target.version
            and may_order(loads.get(engine.incarnation), now)
            and engine.incarnation not in loading
        ]
        runs = {e.incarnation: in_flight.get((e.incarnation, target.model), 0) for e in waiting}
        waiting.sort(key=lambda engine: runs[engine.incarnation])
        for engine in waiting:
            idle = not runs[engine.incarnation] or now >= target.since + IDLE_WAIT_S
            held = held_version(engine, loads.get(engine.incarnation), target.model)
            if len(loading) >= limit:
                break
            if not idle and held >= wanted.get(target.model, 0):
                continue
            loading.add(engine.incarnation)
            planned.append(PlannedLoad(engine, target.model, target.version))
    return planned


def is_loading(loads: EngineLoads | None, now: float) -> bool:
    """Return whether an engine should still be loading."""
    return loads is not None and now < loads.loading_until


def may_order(loads: EngineLoads | None, now: float) -> bool:
    """Return whether an engine may be given an order."""
    return loads is None or now >= loads.retry_at
