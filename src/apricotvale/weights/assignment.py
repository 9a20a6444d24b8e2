"""Assignment of engines to models, for several trainers that share the engines.

Each trainer publishes a version every few seconds. A load pauses the engine, and the weight store
supports only a limited number of concurrent loads. Fewer models per engine mean fewer loads.
"""

from __future__ import annotations

from apricotvale.discovery import Upstream
from apricotvale.weights.orders import EngineLoads, known_version


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
) -> dict[str, set[str]]:
    """Return the incarnations of the engines assigned to each model.

    All engines are assigned to all models if fewer than two models have work, or if there are fewer
    engines than such models. Otherwise engines keep their model as far as the new counts allow, and
    each model is filled up with the free engines that hold its newest versions.

    :param demand: work by model; models without work are not assigned engines of their own.
    :param loads: load state by incarnation.
    :param previous: the previous assignment.
    """
    active = {model: work for model, work in demand.items() if work > 0}
    if len(active) < 2 or len(engines) < len(active):
        all_incarnations = {engine.incarnation for engine in engines}
        return {model: all_incarnations for model in demand}
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
