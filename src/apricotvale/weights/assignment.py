"""Which engines keep up with which model, where several trainers share the engines.

An engine that serves few models loads few versions: each load pauses the engine, and the weight
store carries only some at a time. The load pattern is several trainers that each name a version
every few seconds.
"""

from __future__ import annotations

from apricotvale.discovery import Upstream
from apricotvale.weights.orders import EngineLoads, held_version


def share_out(count: int, demand: dict[str, float]) -> dict[str, int]:
    """Return how many engines each model gets: one at least, then where an engine has most work.

    :param count: engines, at least as many as models.
    :param demand: work by model.
    """
    shares = dict.fromkeys(demand, 1)
    for _ in range(count - len(demand)):
        busiest = max(demand, key=lambda model: (demand[model] / shares[model], model))
        shares[busiest] += 1
    return shares


def assign_engines(
    engines: list[Upstream],
    demand: dict[str, float],
    loads: dict[str, EngineLoads],
    previous: dict[str, set[str]],
) -> dict[str, set[str]]:
    """Return the incarnations of the engines that keep up with each model.

    Engines stay with their model as long as the shares allow; a model that gets another takes the
    one whose weights are newest.
    """
    active = {model: work for model, work in demand.items() if work > 0}
    if len(active) < 2 or len(engines) < len(active):
        everyone = {engine.incarnation for engine in engines}
        return {model: everyone for model in demand}
    shares = share_out(len(engines), active)
    free = {engine.incarnation: engine for engine in engines}
    assigned: dict[str, set[str]] = {model: set() for model in active}
    for model in sorted(active):
        kept = sorted(previous.get(model, set()) & free.keys())[: shares[model]]
        for incarnation in kept:
            assigned[model].add(incarnation)
            del free[incarnation]
    for model in sorted(active, key=lambda model: (shares[model], model)):
        ranked = sorted(
            free.values(),
            key=lambda engine: (
                -held_version(engine, loads.get(engine.incarnation), model),
                engine.upstream_id,
            ),
        )
        for engine in ranked[: shares[model] - len(assigned[model])]:
            assigned[model].add(engine.incarnation)
            del free[engine.incarnation]
    return assigned
