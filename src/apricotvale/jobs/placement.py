"""Where an item runs: the engine on which it should be finished first."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from attrs import define, field

from apricotvale.discovery import Standing, Upstream
from apricotvale.requests.routing import Pace
from apricotvale.weights.orders import EngineLoads, held_version, is_loading

# After a refusal an engine is left out for this long, which doubles with each further one.
PAUSE_S = 0.15
MAX_PAUSE_S = 2.0
# A run is moved to an engine that is this many times as fast: less is within the spread of one
# engine's own pace as its batch fills.
MOVE_FACTOR = 1.8


@define
class Place:
    """What the leader knows of one engine: its own runs there, their pace and failures."""

    in_flight: int = 0
    by_model: Counter[str] = field(factory=Counter)
    pause_until: float = float("-inf")
    failures: int = 0
    pace: Pace = field(factory=Pace)

    def begin(self, model: str) -> None:
        """Count a run."""
        self.in_flight += 1
        self.by_model[model] += 1

    def end(self, model: str) -> None:
        """Count a run that is over."""
        self.in_flight -= 1
        self.by_model[model] -= 1

    def fail(self, now: float) -> None:
        """Leave the engine out for a while."""
        pause_s = min(MAX_PAUSE_S, PAUSE_S * 2**self.failures)
        self.failures += 1
        self.pause_until = now + pause_s

    def succeed(self) -> None:
        """Note that the engine works."""
        self.failures = 0
        self.pause_until = float("-inf")


def choose_engine(
    engines: Iterable[Upstream],
    places: dict[str, Place],
    loads: dict[str, EngineLoads],
    model: str,
    min_version: int,
    now: float,
) -> Upstream | None:
    """Return the engine with the shortest expected time for one more run, None if all are full.

    Answers a burst of items on engines of unlike speed: a slow one gets fewer, and an engine that
    loads a version, or whose weights the trainer would refuse, gets none.
    """
    best: tuple[float, str] | None = None
    chosen = None
    for engine in engines:
        place = places.get(engine.incarnation) or Place()
        loaded = loads.get(engine.incarnation)
        if engine.standing is not Standing.READY or place.in_flight >= engine.capacity:
            continue
        if now < place.pause_until or is_loading(loaded, now):
            continue
        if model and held_version(engine, loaded, model) < min_version:
            continue
        pace = place.pace.seconds_a_token or fastest_pace(places)
        cost = ((place.in_flight + 1) * (pace or 1.0), engine.upstream_id)
        if best is None or cost < best:
            best, chosen = cost, engine
    return chosen


def is_worth_moving(engine: Upstream, other: Upstream, places: dict[str, Place]) -> bool:
    """Return whether a run should go on at another engine, which has a free place.

    Answers an engine that turned slow while it held long items: reading the prompt and the text so
    far again costs a few milliseconds.
    """
    here, there = places.get(engine.incarnation), places.get(other.incarnation)
    if here is None or not here.pace.seconds_a_token:
        return False
    pace = there.pace.seconds_a_token if there else 0.0
    return here.pace.seconds_a_token > MOVE_FACTOR * (pace or fastest_pace(places))


def fastest_pace(places: dict[str, Place]) -> float:
    """Return the shortest known time for an event, 0 while none is known."""
    paces = [place.pace.seconds_a_token for place in places.values()]
    return min((pace for pace in paces if pace), default=0.0)
