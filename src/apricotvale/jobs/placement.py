"""Engine selection for items, by expected completion time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from attrs import define, field

from apricotvale.discovery import Standing, Upstream
from apricotvale.requests.routing import Pace
from apricotvale.weights.orders import EngineLoads, is_loading, known_version

# Back-off after a failed or refused run; it doubles with each consecutive failure.
INITIAL_BACKOFF_S = 0.15
MAX_BACKOFF_S = 2.0
# Minimum speed-up for moving a run. Smaller differences are within the variation of one engine's
# own pace as its batch fills.
MIN_MOVE_SPEEDUP = 1.8


@define
class EngineUsage:
    """The leader's own runs on one engine, with their pace and the engine's back-off state."""

    in_flight: int = 0
    by_model: Counter[str] = field(factory=Counter)
    backoff_until: float = float("-inf")
    failures: int = 0
    pace: Pace = field(factory=Pace)

    def begin(self, model: str) -> None:
        """Count a run that starts."""
        self.in_flight += 1
        self.by_model[model] += 1

    def end(self, model: str) -> None:
        """Count a run that ended."""
        self.in_flight -= 1
        self.by_model[model] -= 1

    def fail(self, now: float) -> None:
        """Exclude the engine for a back-off period, which grows with each failure."""
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self.failures)
        self.failures += 1
        self.backoff_until = now + backoff_s

    def succeed(self) -> None:
        """Reset the back-off."""
        self.failures = 0
        self.backoff_until = float("-inf")


def choose_engine(
    engines: Iterable[Upstream],
    usages: dict[str, EngineUsage],
    loads: dict[str, EngineLoads],
    model: str,
    min_version: int,
    now: float,
) -> Upstream | None:
    """Return the engine with the shortest expected time for one more run, or None if there is none.

    Spreads a burst of items over engines of different speeds, so that slow engines get fewer.
    Excludes engines that are not ready, are full, are backing off, load weights or hold a version
    below `min_version`.
    """
    best: tuple[float, str] | None = None
    chosen = None
    for engine in engines:
        usage = usages.get(engine.incarnation) or EngineUsage()
        loaded = loads.get(engine.incarnation)
        if engine.standing is not Standing.READY or usage.in_flight >= engine.capacity:
            continue
        if now < usage.backoff_until or is_loading(loaded, now):
            continue
        if model and known_version(engine, loaded, model) < min_version:
            continue
        pace = usage.pace.seconds_per_token or fastest_pace(usages)
        cost = ((usage.in_flight + 1) * (pace or 1.0), engine.upstream_id)
        if best is None or cost < best:
            best, chosen = cost, engine
    return chosen


def should_move(engine: Upstream, other: Upstream, usages: dict[str, EngineUsage]) -> bool:
    """Return whether to move a run to another engine that has a free slot.

    Handles an engine that becomes slow while it runs long items. Moving is cheap: the new engine
    needs a few milliseconds to prefill the prompt and the output so far.
    """
    current, candidate = usages.get(engine.incarnation), usages.get(other.incarnation)
    if current is None or not current.pace.seconds_per_token:
        return False
    pace = candidate.pace.seconds_per_token if candidate else 0.0
    return current.pace.seconds_per_token > MIN_MOVE_SPEEDUP * (pace or fastest_pace(usages))


def fastest_pace(usages: dict[str, EngineUsage]) -> float:
    """Return the shortest known time per event in seconds, 0 while no pace is known."""
    paces = [usage.pace.seconds_per_token for usage in usages.values()]
    return min((pace for pace in paces if pace), default=0.0)
