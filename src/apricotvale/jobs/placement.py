"""Engine selection for items, by expected completion time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from attrs import define, field, frozen

from apricotvale.discovery import Standing, Upstream
from apricotvale.engines.speed import EngineSpeed, ServiceSpeed
from apricotvale.mechanisms import Mechanism, is_on
from apricotvale.weights.orders import EngineLoads, is_loading, known_version

# Back-off after a failed or refused run; it doubles with each consecutive failure.
INITIAL_BACKOFF_S = 0.15
MAX_BACKOFF_S = 2.0
# Engines whose speeds differ by less count as equally fast: the difference is within the error of
# the estimates, and the number of runs alone spreads a burst evenly.
EVEN_SPEED_RATIO = 1.25
# Expected outputs may add up to this multiple of an engine's memory: runs start and end at
# different times, so that few have their whole output in memory at once.
MAX_MEMORY_SHARE = 1.4
# Output of an item without an estimate: about half of all outputs are longer.
DEFAULT_OUTPUT_TOKENS = 700
# Cached parts of a prompt are worth at most this many runs on an engine with equal speed. Reading
# 1,000 tokens takes 3 ms, while a run of average length slows down each other one by 15 ms.
MAX_CACHE_WORTH_RUNS = 1.0
# Expected outputs are often wrong by a factor of 2, and slow periods lengthen a run by a fifth. An
# item is in time on an engine if this multiple of its expected time is left.
IN_TIME_FACTOR = 1.5
# Waiting for a faster engine has to shorten the expected time to this share, since the time until a
# slot is free is an estimate too.
MAX_WAIT_GAIN = 0.8
# Time between two passes over the waiting items.
PASS_INTERVAL_S = 0.05
DEFAULT_RUN_S = 0.5
# A run moves if it ends sooner by a third and by 0.3 s. Smaller gains are within the variation of
# one engine's speed as its batch fills.
MAX_MOVE_SHARE = 0.67
MIN_MOVE_GAIN_S = 0.3
# A run with less time left stays on an engine that leaves.
MIN_LEAVING_S = 1.0
# A new engine takes at most half of its runs until two of them had events, or for this long: one
# that answers nothing would hold up a whole burst of items.
TRIAL_S = 1.0
TRIAL_RUNS = 2


@frozen
class Demand:
    """What an item needs of an engine.

    :param model: name of the model; empty if any engine will do.
    :param min_version: oldest weight version that may run the item.
    :param memory_tokens: tokens of the prompt and the expected output.
    :param output_tokens: expected tokens of the output that are still to be generated; 0 if they
        are unknown.
    :param prompt_tokens: tokens to read before the first event.
    :param due_at: when the item is due, in monotonic seconds.
    """

    model: str
    min_version: int = 0
    memory_tokens: int = 0
    output_tokens: int = 0
    prompt_tokens: int = 0
    due_at: float = float("inf")


@define
class EngineUsage:
    """The leader's own runs on one engine, with their pace and the engine's back-off state.

    :param expected_tokens: memory that the runs are expected to need, in tokens.
    :param trial_until: end of the time in which a new engine takes half of its runs only.
    :param trial_runs: runs of the new engine that had events.
    """

    in_flight: int = 0
    expected_tokens: int = 0
    by_model: Counter[str] = field(factory=Counter)
    backoff_until: float = float("-inf")
    failures: int = 0
    pace: EngineSpeed = field(factory=EngineSpeed)
    trial_until: float = float("-inf")
    trial_runs: int = 0

    def begin(self, demand: Demand) -> None:
        """Count a run that starts."""
        self.in_flight += 1
        self.expected_tokens += demand.memory_tokens
        self.by_model[demand.model] += 1

    def end(self, demand: Demand) -> None:
        """Count a run that ended."""
        self.in_flight -= 1
        self.expected_tokens -= demand.memory_tokens
        self.by_model[demand.model] -= 1

    def has_memory(self, demand: Demand, memory_tokens: int) -> bool:
        """Return whether a run fits beside the others, or is the only one.

        :param memory_tokens: the engine's memory in tokens; 0 if it is unknown.
        """
        if not memory_tokens or not self.in_flight:
            return True
        needed = self.expected_tokens + demand.memory_tokens
        return needed <= memory_tokens * MAX_MEMORY_SHARE

    def fail(self, now: float) -> None:
        """Exclude the engine for a back-off period, which grows with each failure."""
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self.failures)
        self.failures += 1
        self.backoff_until = now + backoff_s

    def succeed(self) -> None:
        """Reset the back-off."""
        self.failures = 0
        self.backoff_until = float("-inf")

    def slots(self, capacity: int, now: float) -> int:
        """Return how many runs the engine may have now."""
        is_on_trial = now < self.trial_until and self.trial_runs < TRIAL_RUNS
        if is_on_trial and is_on(Mechanism.ENGINE_TRIAL):
            return max(1, capacity // 2)
        return capacity


@define
class Outlook:
    """What one pass over the waiting items knows about slots that become free.

    :param run_s: average time of a run.
    :param postponed: number of items of this pass that wait for a slot of a faster engine.
    """

    run_s: float = DEFAULT_RUN_S
    postponed: int = 0

    def wait_s(self, slots: int) -> float:
        """Return the expected time until one more item gets one of the faster engines' slots."""
        return PASS_INTERVAL_S + (self.postponed + 1) * self.run_s / max(1, slots)


@frozen
class SpeedRange:
    """The times per event of all engines with known speed, all 0 while none is known."""

    fastest: float = 0.0
    median: float = 0.0
    is_even: bool = True


IDLE = EngineUsage()
EMPTY_CACHE: dict[str, tuple[int, int]] = {}


def speed_range(usages: dict[str, EngineUsage]) -> SpeedRange:
    """Return the range of the engines' times per event."""
    times = [usage.pace.seconds_per_event for usage in usages.values()]
    known = sorted(time for time in times if time)
    if not known or not is_on(Mechanism.ENGINE_SPEEDS):
        return SpeedRange()
    is_even = known[-1] <= known[0] * EVEN_SPEED_RATIO
    return SpeedRange(known[0], known[(len(known) - 1) // 2], is_even)


def choose_engine(
    engines: Iterable[Upstream],
    usages: dict[str, EngineUsage],
    loads: dict[str, EngineLoads],
    demand: Demand,
    now: float,
    memory_tokens: int = 0,
    cached: dict[str, tuple[int, int]] = EMPTY_CACHE,
    outlook: Outlook | None = None,
    speeds: SpeedRange | None = None,
) -> Upstream | None:
    """Return the engine for one more run, or None if there is none.

    Engines with the newest version come first, so that the others become idle and can load without
    pausing a run. Among those, engines of about the same speed get a burst of items by their runs.

    Load pattern: a quarter of the engines are half as fast as the others, and steps have a few
    items that are late on these. If speeds differ, the cost is the expected time of the run and the
    time that it takes from the runs beside it. An engine on which the item would be late comes
    after all on which it is in time. If the item would be late on every engine with a free slot,
    it waits if it is expected to end sooner on a faster engine that is full.

    Excludes engines that are not ready, are full, have no memory left, are backing off, load
    weights or hold a version below the minimum.

    :param memory_tokens: memory of each engine in tokens; 0 if it is unknown.
    :param cached: version and tokens of the cached start of the prompt, by incarnation.
    :param outlook: allows the item to wait for a faster engine, and counts it.
    :param speeds: the result of `speed_range`, computed if it is not given.
    """
    speeds = speeds or speed_range(usages)
    is_even, unknown_time = speeds.is_even, speeds.fastest if speeds.is_even else speeds.median
    model, min_version = demand.model, demand.min_version
    service: ServiceSpeed | None = None
    output_events = read_s = 0.0
    best: tuple[bool, int, float, str] | None = None
    chosen = None
    full_slots, full_time = 0, 0.0
    for engine in engines:
        if engine.standing is not Standing.READY:
            continue
        incarnation = engine.incarnation
        usage = usages.get(incarnation, IDLE)
        runs = usage.in_flight
        is_full = runs >= engine.capacity
        if is_full and (is_even or outlook is None):
            continue
        loaded = loads.get(incarnation)
        if now < usage.backoff_until or is_loading(loaded, now, model):
            continue
        version = known_version(engine, loaded, model) if model else 0
        if version < min_version:
            continue
        pace = usage.pace.seconds_per_event or unknown_time
        if is_full or not usage.has_memory(demand, memory_tokens):
            full_slots += engine.capacity
            full_time = min(full_time or pace, pace)
            continue
        if now < usage.trial_until and runs >= usage.slots(engine.capacity, now):
            continue
        if service is None and (not is_even or cached):
            service = usage.pace.service
            tokens = demand.output_tokens or demand.memory_tokens or DEFAULT_OUTPUT_TOKENS
            output_events = tokens / service.tokens_per_event
            read_s = demand.prompt_tokens / service.read_rate
        saved = cached.get(incarnation) if cached else None
        saved_s = 0.0
        if saved is not None and service is not None and saved[0] == version:
            saved_s = min(saved[1], demand.prompt_tokens) / service.read_rate
        if is_even:
            worth = 0.0
            if saved_s and service is not None and engine.capacity - runs >= 2:
                slowdown_s = 2.0 * service.slope * output_events * pace
                worth = min(MAX_CACHE_WORTH_RUNS, saved_s * (runs + 1) / (slowdown_s or saved_s))
            cost = (runs + 1 - worth) * (pace or 1.0)
            key = (False, -version, cost, engine.upstream_id)
        else:
            assert service is not None
            alone_s = output_events * pace
            run_s = alone_s * (1.0 + service.slope * runs) + read_s - saved_s
            cost = run_s + runs * (service.slope * alone_s + read_s - saved_s)
            if now + run_s * IN_TIME_FACTOR > demand.due_at:
                key = (True, 0, cost, engine.upstream_id)
            else:
                key = (False, -version, cost, engine.upstream_id)
        if best is None or key < best:
            best, chosen = key, engine
    if best is None or not best[0] or outlook is None or not full_slots or chosen is None:
        return chosen
    there = usages.get(chosen.incarnation, IDLE)
    time_there = there.pace.seconds_per_event or unknown_time
    wait_s = outlook.wait_s(full_slots) + output_events * full_time
    if wait_s < output_events * time_there * MAX_WAIT_GAIN:
        outlook.postponed += 1
        return None
    return chosen


def run_seconds(
    usage: EngineUsage, tokens: float, read_tokens: int, runs: int, speeds: SpeedRange
) -> float:
    """Return the expected time to read a prompt and to generate tokens.

    :param runs: number of runs on the engine, with this one.
    """
    unknown_time = speeds.fastest if speeds.is_even else speeds.median
    read_s = read_tokens / usage.pace.service.read_rate
    return read_s + usage.pace.expected_seconds(tokens, runs, unknown_time)


def may_be_left(engine: Upstream, usages: dict[str, EngineUsage], speeds: SpeedRange) -> bool:
    """Return whether runs on an engine may gain from a move, to look for another one only then.

    The first gaps of an engine may all be from one slow period, so runs are not moved because of
    these.
    """
    usage = usages.get(engine.incarnation)
    if usage is None or not usage.pace.is_settled:
        return False
    slope = usage.pace.service.slope
    time = usage.pace.seconds_per_event * (1.0 + slope * (usage.in_flight - 1))
    return time > speeds.fastest * EVEN_SPEED_RATIO


def should_move(
    engine: Upstream,
    other: Upstream,
    usages: dict[str, EngineUsage],
    demand: Demand | None = None,
    now: float = 0.0,
    speeds: SpeedRange | None = None,
) -> bool:
    """Return whether to move a run to another engine that has a free slot.

    Load pattern: an engine becomes slow while it runs long items, the long items of a step's tail
    are on slow engines while faster ones are idle, or an engine announces that it leaves. Moving is
    cheap: the new engine needs a few milliseconds to read the prompt and the output so far.

    :param demand: the output that is left, and the prompt with the output so far to be read. If it
        is not given, a long output is left.
    """
    speeds = speeds or speed_range(usages)
    current = usages.get(engine.incarnation)
    candidate = usages.get(other.incarnation, IDLE)
    is_leaving = engine.standing is Standing.DRAINING
    if current is None or not (current.pace.seconds_per_event or is_leaving):
        return False
    demand = demand or Demand("", output_tokens=DEFAULT_OUTPUT_TOKENS)
    tokens = demand.output_tokens
    here_s = run_seconds(current, tokens, 0, max(1, current.in_flight), speeds)
    if is_leaving:
        return here_s > MIN_LEAVING_S
    there_s = run_seconds(candidate, tokens, demand.prompt_tokens, candidate.in_flight + 1, speeds)
    if there_s <= here_s * MAX_MOVE_SHARE and there_s <= here_s - MIN_MOVE_GAIN_S:
        return True
    left_s = demand.due_at - now
    is_faster = there_s * EVEN_SPEED_RATIO < here_s
    return is_faster and there_s <= left_s < here_s
