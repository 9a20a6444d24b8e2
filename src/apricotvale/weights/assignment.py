"""Assignment of engines to models, for several trainers that share the engines.

Each trainer publishes a version every few seconds. A load pauses the engine, and the weight store
supports only a limited number of concurrent loads. Fewer models per engine mean fewer loads.
"""

from __future__ import annotations

import statistics

from apricotvale.discovery import Upstream
from apricotvale.weights.orders import EngineLoads, known_version

# Engines whose speeds differ by less are counted, so that estimates that vary move no engine.
EVEN_SPEED_RATIO = 1.25


def allocate_engine_counts(count: int, demand: dict[str, float]) -> dict[str, int]:
    """Return the number of engines by model.

    Each model gets one engine; each further engine goes to the model with the most work per engine.

    :param count: number of engines, at least the number of models.
    :param demand: work by model.
    """
    counts = dict.fromkeys(demand, 1)
    for _ in range(count - len(demand)):
        busiest = max(demand, key=lambda model: (demand[model] / counts[model], model))
        counts[busiest] += 1
    return counts


def assign_engines(
    engines: list[Upstream],
    demand: dict[str, float],
    loads: dict[str, EngineLoads],
    previous: dict[str, set[str]],
    speeds: dict[str, float] | None = None,
) -> dict[str, set[str]]:
    """Return the incarnations of the engines assigned to each model.

    All engines are assigned to all models if fewer than two models have work, or if there are fewer
    engines than such models. Otherwise engines keep their model as far as the new counts allow, and
    each model is filled up with the free engines that hold its newest versions. If the engines'
    speeds differ, each model gets a share of the speed instead of the engines.

    :param demand: work by model; models without work are not assigned engines of their own.
    :param loads: load state by incarnation.
    :param previous: the previous assignment.
    :param speeds: speed by incarnation; engines without one count as the median.
    """
    active = {model: work for model, work in demand.items() if work > 0}
    if len(active) < 2 or len(engines) < len(active):
        all_incarnations = {engine.incarnation for engine in engines}
        return {model: all_incarnations for model in demand}
    if speeds and max(speeds.values()) > min(speeds.values()) * EVEN_SPEED_RATIO:
        return assign_by_speed(engines, active, loads, previous, speeds)
    counts = allocate_engine_counts(len(engines), active)
    free = {engine.incarnation: engine for engine in engines}
    assigned: dict[str, set[str]] = {model: set() for model in active}
    for model in sorted(active):
        kept = sorted(previous.get(model, set()) & free.keys())[: counts[model]]
        for incarnation in kept:
            assigned[model].add(incarnation)
            del free[incarnation]
    for model in sorted(active, key=lambda model: (counts[model], model)):
        ranked = sorted(
            free.values(),
            key=lambda engine: (
                -known_version(engine, loads.get(engine.incarnation), model),
                engine.upstream_id,
            ),
        )
        for engine in ranked[: counts[model] - len(assigned[model])]:
            assigned[model].add(engine.incarnation)
            del free[engine.incarnation]
    return assigned


def assign_by_speed(
    engines: list[Upstream],
    demand: dict[str, float],
    loads: dict[str, EngineLoads],
    previous: dict[str, set[str]],
    speeds: dict[str, float],
) -> dict[str, set[str]]:
    """Return the engines of each model so that their speeds are in proportion to its work.

    Load pattern: two models, one with three times the work, on engines of which a quarter are half
    as fast as the others. Engines keep their model until it has its share of the speed. Free ones
    go to the model with the most work for its speed, the fastest first so that the slow ones even
    out the shares.

    :param demand: work by model, each greater than 0; at most as many models as engines.
    """
    median = statistics.median(speeds.values())
    speed_of = {e.incarnation: speeds.get(e.incarnation) or median for e in engines}
    wanted_speed = sum(speed_of.values()) / sum(demand.values())
    assigned: dict[str, set[str]] = {model: set() for model in demand}
    held = dict.fromkeys(demand, 0.0)
    free = {engine.incarnation: engine for engine in engines}

    def take(model: str, incarnation: str) -> None:
        assigned[model].add(incarnation)
        held[model] += speed_of[incarnation]
        del free[incarnation]

    for model in sorted(demand, key=lambda model: (demand[model], model)):
        needed_by_others = sum(not assigned[other] for other in demand if other != model)
        kept = previous.get(model, set()) & free.keys()
        for incarnation in sorted(kept, key=lambda name: (-speed_of[name], name)):
            if held[model] < demand[model] * wanted_speed and len(free) > needed_by_others:
                take(model, incarnation)
    while free:
        model = max(
            demand,
            key=lambda model: (not held[model], demand[model] / (held[model] or 1.0), model),
        )
        chosen = min(
            free.values(),
            key=lambda engine: (
                -speed_of[engine.incarnation],
                -known_version(engine, loads.get(engine.incarnation), model),
                engine.upstream_id,
            ),
        )
        take(model, chosen.incarnation)
    return assigned
