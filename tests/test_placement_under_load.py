"""Choice of engines under the load patterns of uneven engines, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

import pytest
from attrs import define, evolve, field

from apricotvale.daemons.crash_guard import CrashGuard
from apricotvale.daemons.forwarder import Forwarder
from apricotvale.daemons.job_runner import JobRunner, demand_of
from apricotvale.daemons.permits import LeaderPermits
from apricotvale.discovery import RegistryView, Standing, Upstream
from apricotvale.engines.priority import run_priority, service_priorities, urgency_class
from apricotvale.engines.speed import EngineSpeed, ServiceSpeed
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Item, Job, PromptPart
from apricotvale.jobs.placement import (
    Demand,
    EngineUsage,
    Outlook,
    choose_engine,
    may_be_left,
    should_move,
    speed_range,
)
from apricotvale.limits.permits import PermitIssuer
from apricotvale.platform.client import PlatformClient
from apricotvale.requests.calls import RunRequest
from apricotvale.routes import Backend, Route, RouteKind, RouteTable, Service
from apricotvale.weights.assignment import assign_engines
from tests.platform_standin import StandIn

EVENT_S = 0.0353
TOKENS = 49
PASS_S = 0.05
SPELL_S, SPELL_SHARE, SPELL_FACTOR = 0.6, 0.15, 2.5


def make_engine(name, capacity=6, **changes):
    engine = Upstream(name, 1, 1, "lm", f"{name}:1", "a", capacity, Standing.READY, "", {"m": 1})
    return evolve(engine, **changes)


@define(slots=False)
class Bench:
    """Engines that generate events at their own speeds, and a leader that places items on them.

    :param speeds: speed of each engine relative to the nominal one.
    :param arrivals: items as (time, due time, tokens, key), in the order of their times.
    :param done: end of each item by key.
    """

    speeds: list[float]
    arrivals: list
    has_spells: bool = True
    seed: int = 1
    now: float = 0.0
    done: dict = field(factory=dict)
    moves: int = 0

    def __attrs_post_init__(self):
        service, self.random = ServiceSpeed(), random.Random(self.seed)
        self.engines = [make_engine(f"e-{n:02}") for n in range(len(self.speeds))]
        self.speed_of = {e.incarnation: s for e, s in zip(self.engines, self.speeds, strict=True)}
        self.usages = {e.incarnation: EngineUsage(pace=EngineSpeed(service)) for e in self.engines}
        self.spells, self.waiting, self.runs, self.events = {}, [], {}, []
        self.counter, self.moving = itertools.count(), set()

    def run(self, until):
        passes = 0
        while self.now < until:
            next_pass = passes * PASS_S
            while self.events and self.events[0][0] <= next_pass:
                self.now, _, key, began_at = heapq.heappop(self.events)
                self.end_event(key, began_at)
            self.now, passes = next_pass, passes + 1
            while self.arrivals and self.arrivals[0][0] <= self.now:
                _, due_at, tokens, key = self.arrivals.pop(0)
                self.waiting.append([due_at, tokens, key])
            self.place()
            if passes % 2:
                self.move()

    def end_event(self, key, began_at):
        engine, demand, item = self.runs[key]
        usage = self.usages[engine.incarnation]
        usage.pace.add(self.now - began_at, 1, usage.in_flight, self.now)
        item[1] -= TOKENS
        if item[1] > 0 and key not in self.moving:
            self.start_event(key, engine.incarnation)
            return
        usage.end(demand)
        del self.runs[key]
        if item[1] > 0:
            self.moving.remove(key)
            self.waiting.append(item)
        else:
            self.done[key] = self.now

    def start_event(self, key, name):
        spell = (name, int(self.now / SPELL_S))
        if spell not in self.spells:
            self.spells[spell] = self.has_spells and self.random.random() < SPELL_SHARE
        gap = EVENT_S * (SPELL_FACTOR if self.spells[spell] else 1.0) / self.speed_of[name]
        gap *= 1 + 0.04 * (self.usages[name].in_flight - 1)
        heapq.heappush(self.events, (self.now + gap, next(self.counter), key, self.now))

    def place(self):
        speeds, outlook, refused = speed_range(self.usages), Outlook(), float("inf")
        for item in sorted(self.waiting, key=lambda item: item[0] - item[1] * EVENT_S / TOKENS):
            if item[1] >= refused:
                continue
            demand = Demand("m", 1, item[1], item[1], 300, item[0])
            engine = choose_engine(
                self.engines, self.usages, {}, demand, self.now, 0, {}, outlook, speeds
            )
            if engine is None:
                refused = item[1]
                continue
            self.waiting.remove(item)
            self.usages[engine.incarnation].begin(demand)
            self.runs[item[2]] = (engine, demand, item)
            self.start_event(item[2], engine.incarnation)

    def move(self):
        speeds, targets = speed_range(self.usages), Counter()
        for engine, _, item in self.runs.values():
            if item[2] in self.moving or not may_be_left(engine, self.usages, speeds):
                continue
            demand = Demand("m", 1, item[1], item[1], 600, item[0])
            other = choose_engine(self.engines, self.usages, {}, demand, self.now)
            if other is None or targets[other.incarnation] >= 2:
                continue
            if should_move(engine, other, self.usages, demand, self.now, speeds):
                targets[other.incarnation] += 1
                self.moving.add(item[2])
                self.moves += 1


def steps(trainers, count, groups, seed, long_share=0.08):
    """Return steps of trainers, one each 4 s, of groups of 8 items with 700 tokens on average."""
    rng, found = random.Random(seed), []
    for trainer, step in itertools.product(range(trainers), range(count)):
        at = 4.0 * step + 1.0 * trainer
        for group, number in itertools.product(range(groups), range(8)):
            tokens = rng.randrange(150, 1_000)
            if rng.random() < long_share / 8:
                tokens = rng.randrange(3_000, 6_200)
            found.append((at, at + 7.5, tokens, (trainer, step, group, number)))
    return sorted(found)


def groups_in_time(bench, arrivals, limit_s=8.2):
    """Return the share of complete groups whose last item ended in time."""
    started, ends = {}, {}
    for at, _, _, key in arrivals:
        started[key[:3]] = at
        ends[key[:3]] = max(ends.get(key[:3], 0.0), bench.done.get(key, float("inf")))
    return sum(ends[group] <= started[group] + limit_s for group in started) / len(started)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_items_are_not_late_on_slow_engines(seed):
    """Load pattern: a quarter of the engines at 0.46 of the others' speed, with slow periods.

    A long item takes 4.5 s on a fast engine and 9 s on a slow one. Used last by class, the slow
    ones still got the long items of steps that arrived while the fast ones were full. At this load
    all groups can be in time, except for a few of the first steps, which start before any speed is
    known.
    """
    speeds = [0.55 if n % 4 == 0 else 1.2 for n in range(22)]
    arrivals = steps(4, 4, 24, seed, long_share=0.6)
    bench = Bench(speeds, list(arrivals), seed=seed)
    bench.run(26.0)
    assert groups_in_time(bench, arrivals) >= 0.99
    assert groups_in_time(bench, [item for item in arrivals if item[3][1] > 0]) == 1.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_periods_move_no_runs(seed):
    """Load pattern: 15 % of all periods of 600 ms are 2.5 times slower, on engines of one speed.

    A period is over before a move pays. A decaying average of the gaps moves runs in each of them.
    """
    arrivals = steps(2, 4, 10, seed)
    bench = Bench([1.0] * 12, list(arrivals), seed=seed)
    bench.run(20.0)
    assert groups_in_time(bench, arrivals) == 1.0
    assert bench.moves <= 3


def test_runs_leave_an_engine_that_turns_slow():
    """Load pattern: an engine with ten runs becomes four times slower for good.

    The slowdown is known within 1.2 s and the runs move within half a second, so they end at most
    1.7 s later than on an engine that stays fast (6,000 tokens with ten runs take 5.9 s).
    """
    arrivals = [(0.0, 20.0, 6_000, n) for n in range(20)]
    bench = Bench([1.0, 1.0, 1.0], arrivals, has_spells=False)
    bench.engines = [evolve(engine, capacity=10) for engine in bench.engines]
    bench.run(1.5)
    slow = bench.engines[0].incarnation
    assert bench.usages[slow].in_flight >= 6
    bench.speed_of[slow] = 0.25
    bench.run(20.0)
    assert len(bench.done) == 20
    assert max(bench.done.values()) <= 5.9 + 1.7


# Single decisions


def usage_of(seconds_per_event, in_flight=0):
    usage = EngineUsage(in_flight=in_flight)
    if seconds_per_event:
        usage.pace.add(seconds_per_event, 1)
    return usage


FAST, SLOW = make_engine("fast"), make_engine("slow")


def uneven(fast_runs=0, slow_runs=0):
    return {
        FAST.incarnation: usage_of(0.0294, fast_runs),
        SLOW.incarnation: usage_of(0.0642, slow_runs),
    }


def choose(usages, tokens, due_at, outlook=None, engines=(FAST, SLOW)):
    demand = Demand("m", 1, tokens, tokens, 300, due_at)
    return choose_engine(engines, usages, {}, demand, 0.0, 0, {}, outlook)


@pytest.mark.parametrize(
    ("runs", "tokens", "due_at", "chosen"),
    [
        (0, 700, 7.5, FAST),
        (5, 700, 7.5, FAST),
        (6, 700, 7.5, SLOW),
        (6, 6_000, 7.5, None),
        (6, 6_000, 20.0, SLOW),
        (6, 100, 0.1, SLOW),
    ],
)
def test_an_item_that_would_be_late_on_a_slow_engine_waits_for_a_fast_one(
    runs, tokens, due_at, chosen
):
    """Slow engines take what ends by its due time there, or would wait longer than it saves."""
    assert choose(uneven(runs), tokens, due_at, Outlook(0.5)) is chosen


def test_items_wait_only_while_the_fast_engines_are_expected_to_have_room():
    """If many items wait for a few slots, the slow engines' slots stay idle for nothing."""
    outlook, usages = Outlook(0.5), uneven(6)
    chosen = [choose(usages, 3_000, 3.0, outlook) for _ in range(40)]
    assert chosen[0] is None
    assert chosen[-1] is SLOW
    assert outlook.postponed == chosen.count(None) < 40


def test_the_newest_version_does_not_make_a_long_item_late():
    """The newest version first sends long items to a slow engine that loaded before the others."""
    newer = evolve(SLOW, models={"m": 2})
    assert choose(uneven(), 700, 7.5, engines=(FAST, newer)) is newer
    assert choose(uneven(), 6_000, 7.5, engines=(FAST, newer)) is FAST


@pytest.mark.parametrize("seed", range(20))
def test_engines_of_about_the_same_speed_are_chosen_by_their_runs(seed):
    """Earlier deployments have even engines, where the known choice stays as it is."""
    rng = random.Random(seed)
    engines = [make_engine(f"e-{n}") for n in range(8)]
    paces = [rng.uniform(0.0368, 0.045) for _ in engines]
    usages = {
        engine.incarnation: usage_of(pace, rng.randrange(6))
        for engine, pace in zip(engines, paces, strict=True)
    }
    expected = min(
        engines,
        key=lambda engine: (
            (usages[engine.incarnation].in_flight + 1)
            * usages[engine.incarnation].pace.seconds_per_event,
            engine.upstream_id,
        ),
    )
    assert choose(usages, 6_000, 1.0, Outlook(0.5), engines) is expected


@pytest.mark.parametrize(
    ("here", "there", "tokens", "due_in_s", "moves"),
    [
        (0.0642, 0.0294, 700, 7.5, True),
        (0.0642, 0.0294, 300, 7.5, False),
        (0.0588, 0.0367, 300, 0.3, True),
        (0.0588, 0.0367, 300, 0.2, False),
        (0.0588, 0.0367, 300, 7.5, False),
        (0.05, 0.0367, 3_000, 7.5, False),
        (0.05, 0.0367, 6_000, 6.0, True),
    ],
)
def test_a_run_moves_if_it_ends_much_sooner_or_only_there_in_time(
    here, there, tokens, due_in_s, moves
):
    """Load pattern: the tail of a step is on engines 1.6 times slower, which were never left."""
    usages = {SLOW.incarnation: usage_of(here, 1), FAST.incarnation: usage_of(there)}
    demand = Demand("m", 1, tokens, tokens, 600, 10.0 + due_in_s)
    assert should_move(SLOW, FAST, usages, demand, 10.0) is moves


@pytest.mark.parametrize(("tokens", "moves"), [(3_000, True), (700, False)])
def test_long_runs_move_from_an_engine_that_leaves(tokens, moves):
    """Load pattern: an engine is announced to leave, and stops with the runs that it has."""
    leaving = evolve(SLOW, standing=Standing.DRAINING)
    usages = {SLOW.incarnation: usage_of(0.0367, 1), FAST.incarnation: usage_of(0.0367, 5)}
    demand = Demand("m", 1, tokens, tokens, 600, 100.0)
    assert should_move(leaving, FAST, usages, demand, 10.0) is moves
    assert not should_move(SLOW, FAST, usages, demand, 10.0)


def test_a_new_engine_takes_half_of_its_runs_until_two_had_events():
    """An engine that starts and answers nothing would get a whole burst of items."""
    usage = EngineUsage(trial_until=1.0)
    assert usage.slots(6, 0.5) == 3
    usage.in_flight = 3
    assert choose_engine([FAST], {FAST.incarnation: usage}, {}, Demand("m", 1), 0.5) is None
    assert choose_engine([FAST], {FAST.incarnation: usage}, {}, Demand("m", 1), 1.0) is FAST
    usage.trial_runs = 2
    assert usage.slots(6, 0.5) == 6


# Assignment of engines to models


@pytest.mark.parametrize("seed", range(5))
def test_models_get_speed_in_proportion_to_their_work(seed):
    """Load pattern: two models, one with three times the work.

    By number, the smaller model may get slow engines only, and 0.55 of the speed that it needs. The
    shares can be as even as the slowest engine allows.
    """
    rng = random.Random(seed)
    engines = [make_engine(f"e-{n:02}") for n in range(22)]
    rng.shuffle(engines)
    speeds = {e.incarnation: 0.55 if n < 6 else 1.2 for n, e in enumerate(engines)}
    previous = {"small": {e.incarnation for e in engines[:6]}}
    assigned = assign_engines(engines, {"large": 3.0, "small": 1.0}, {}, previous, speeds)
    total = sum(speeds.values())
    small = sum(speeds[name] for name in assigned["small"])
    assert abs(small - total / 4) <= 1.2
    assert assigned["large"] | assigned["small"] == speeds.keys()
    assert not assigned["large"] & assigned["small"]
    varied = {name: speed * rng.uniform(0.97, 1.03) for name, speed in speeds.items()}
    assert assign_engines(engines, {"large": 3.0, "small": 1.0}, {}, assigned, varied) == assigned


def test_each_model_keeps_an_engine():
    """A model with little work gets an engine although its share is far under one."""
    engines = [make_engine(f"e-{n}") for n in range(3)]
    speeds = {e.incarnation: s for e, s in zip(engines, (2.0, 1.0, 1.0), strict=True)}
    previous = {"a": set(speeds)}
    assigned = assign_engines(engines, {"a": 98.0, "b": 1.0, "c": 1.0}, {}, previous, speeds)
    assert sorted(len(names) for names in assigned.values()) == [1, 1, 1]


# The runner's decisions


ROUTE = Route("drafts", "h", "/run/", RouteKind.JOB, (Backend("lm", 1),), 10_000, priority=3)
PARTS = (PromptPart("aa", 1_000),)
LONG = Item("long", "/run/", {}, b"", 6_600, 6_000, "g", None, 600, PARTS)
JOB = Job("j-1", "h", "/run/", (LONG,), 1, "m", 1)


class StartedRuns:
    """Keeps the coroutines of runs that are started, and runs none of them."""

    def start(self, coroutine):
        coroutine.close()


@pytest.fixture
def runner():
    view = RegistryView()
    permits = LeaderPermits(view, PermitIssuer())
    guard = CrashGuard("storage", view, None, None, lambda: True)
    forwarder = Forwarder(
        "a", view, None, lambda upstream: None, lambda upstream: None, permits, guard
    )
    runner = JobRunner(FleetState(), None, forwarder, permits, None, "weight-versions")
    runner.tasks = StartedRuns()
    set_table(runner, ROUTE)
    runner.state.jobs.accept(JOB, 1)
    announce(runner, *(make_engine(name) for name in ("e-1", "e-2")))
    return runner


def set_table(runner, *routes):
    runner.table = RouteTable(1, routes, {"lm": Service("lm")})


def announce(runner, *engines):
    registry = runner.state.registry
    for engine in engines:
        assert registry.announce(engine, registry.state.position + 1)


def test_full_engines_are_searched_once_a_pass(runner, monkeypatch):
    """Load pattern: all engines are full and hundreds of items wait, each a bit smaller."""
    items = tuple(evolve(LONG, item_id=f"i-{n}", tokens=6_600 - n) for n in range(300))
    runner.state.jobs.accept(evolve(JOB, job_id="j-2", items=items), 2)
    runner.tick(10.0)
    assert len(runner.runs) == 12
    search, searches = runner.find_engine, []

    def find_engine(*args, **kwargs):
        searches.append(args[2].item_id)
        return search(*args, **kwargs)

    monkeypatch.setattr(runner, "find_engine", find_engine)
    runner.tick(10.05)
    assert len(runner.runs) == 12
    assert len(searches) <= 2
    runner.runs["j-1", "long"].engine = None
    runner.usages["e-1@1"].end(demand_of(JOB, LONG))
    del runner.runs["j-1", "long"]
    runner.tick(10.1)
    assert len(runner.runs) == 12


def test_smaller_items_start_beside_one_without_memory(runner, monkeypatch):
    """Guards against an item for which the memory is short and that holds up all others."""
    monkeypatch.setattr(runner, "memory_tokens", lambda service: 10_000)
    little = evolve(LONG, tokens=80, expected_tokens=70, prompt_tokens=10, prompt_parts=())
    small = tuple(evolve(little, item_id=f"i-{n}") for n in range(3))
    large = tuple(evolve(LONG, item_id=f"l-{n}", expected_tokens=9_000) for n in range(4))
    runner.state.jobs.accept(evolve(JOB, job_id="j-2", items=large + small), 2)
    runner.tick(10.0)
    assert {key[1] for key in runner.runs} >= {"i-0", "i-1", "i-2"}
    assert len(runner.runs) < 8


def test_runs_move_at_once_from_an_engine_that_leaves(runner):
    """Load pattern: an engine is announced to leave. Its long runs would be cut when it stops."""
    runner.tick(10.0)
    run = runner.runs["j-1", "long"]
    assert run.engine.upstream_id == "e-1" and not run.move_requested
    for usage in runner.usages.values():
        usage.pace.add(0.0367, 1, 1, 10.0)
    runner.move_runs(10.05)
    assert not run.move_requested
    announce(runner, make_engine("e-1", standing=Standing.DRAINING, sequence=2))
    runner.move_runs(10.1)
    assert run.move_requested


def test_the_rest_of_a_run_counts_for_its_move(runner):
    """An output that is longer than expected would otherwise count as done."""
    runner.tick(10.0)
    run = runner.runs["j-1", "long"]
    run.transcript.data = [b"event"] * 20
    demand = runner.remaining_demand(ROUTE, run)
    assert (demand.output_tokens, demand.prompt_tokens) == (5_020, 600 + 980)
    run.item = evolve(LONG, expected_tokens=500)
    assert runner.remaining_demand(ROUTE, run).output_tokens == 980
    run.item = evolve(LONG, expected_tokens=500, tokens=1_700)
    assert runner.remaining_demand(ROUTE, run).output_tokens == 120


def test_speed_and_prompts_are_forgotten_with_the_incarnation(runner):
    """An engine that restarts under its id starts empty, and may have another speed."""
    runner.tick(10.0)
    assert runner.pool.prefixes.cached_tokens("m", PARTS) == {"e-1@1": (1, 1_000)}
    runner.usages["e-1@1"].pace.add(0.1, 1, 1, 10.0)
    runner.usages["e-1@1"].in_flight = 0
    restarted = make_engine("e-1", born_ms=2)
    announce(runner, restarted)
    runner.forget({"e-1@2", "e-2@1"})
    assert runner.pool.prefixes.cached_tokens("m", PARTS) == {}
    assert restarted in runner.engines_of(ROUTE, 11.0).engines
    assert not runner.usages["e-1@2"].pace.seconds_per_event
    assert runner.usages["e-1@2"].slots(6, 11.5) == 3
    assert runner.usages["e-2@1"].slots(6, 11.5) == 6


def test_engines_that_are_forgotten_too_early_are_known_again(runner):
    """The list of engines is kept until the registry changes, so it may name a forgotten one."""
    assert len(runner.engines_of(ROUTE, 10.0).engines) == 2
    runner.forget(set())
    assert len(runner.engines_of(ROUTE, 10.1).engines) == 2
    assert runner.usages.keys() == {"e-1@1", "e-2@1"}
    assert runner.usages["e-1@1"].slots(6, 10.2) == 6


def test_a_former_leader_forgets_speeds_and_prompts(runner):
    """What it knew is out of date when it leads again."""
    runner.tick(10.0)
    runner.usages["e-1@1"].pace.add(0.1, 1, 1, 10.0)
    runner.stop()
    assert not runner.usages["e-1@1"].pace.seconds_per_event
    assert runner.pool.prefixes.cached_tokens("m", PARTS) == {}


def test_engines_are_told_the_urgency_if_routes_differ(runner):
    """Load pattern: an engine has items of an urgent route and of another one."""
    runner.tick(10.0)
    run = runner.runs["j-1", "long"]
    assert runner.priority_of(ROUTE, run) is None
    set_table(runner, ROUTE, evolve(ROUTE, name="urgent", prefix="/urgent/", priority=0))
    assert run.slack_s < 1.0
    assert runner.priority_of(ROUTE, run) == 3


@pytest.mark.parametrize(
    ("slack_s", "is_spare", "rank", "priority"),
    [
        (0.9, False, 0, 2),
        (-5.0, False, 0, 2),
        (1.0, False, 0, 4),
        (0.5, False, 1, 3),
        (3.0, False, 9, 6),
        (0.5, True, 0, 7),
        (3.0, True, 2, 7),
    ],
)
def test_urgent_items_of_wanted_groups_go_first(slack_s, is_spare, rank, priority):
    """An engine whose memory is full delays the newest runs, unless it knows which are urgent."""
    assert run_priority(slack_s, is_spare, rank) == priority


def test_only_routes_of_the_same_service_make_classes():
    """Engines that serve one route need no order, and get no field that they may not know."""
    other = evolve(ROUTE, name="other", prefix="/other/", priority=0, backends=(Backend("x", 1),))
    table = RouteTable(1, (ROUTE, other), {"lm": Service("lm"), "x": Service("x")})
    assert urgency_class(service_priorities(table), ROUTE, 3) is None
    routes = [evolve(ROUTE, name=str(n), prefix=f"/{n}/", priority=n) for n in (0, 2, 5)]
    priorities = service_priorities(evolve(table, routes=tuple(routes)))
    assert [urgency_class(priorities, route, route.priority) for route in routes] == [0, 1, 2]
    assert urgency_class(priorities, routes[2], 1) == 1


async def test_the_urgency_is_sent_in_place_of_the_callers():
    """A caller's own field would override the order of the deployment."""
    async with PlatformClient() as client, StandIn("i-1", "lm") as standin:
        standin.behaviour, standin.models = "stream", {"m": 4}
        upstream = make_engine("i-1", address=standin.address)
        for priority, expected in ((3, "3"), (None, "0")):
            headers = {"request-priority": "0"}
            request = RunRequest("/run", "h", "i", b"", headers, priority=priority)
            async with client.run(upstream, request) as stream:
                assert [chunk async for chunk in stream.chunks()]
            assert standin.calls[-1].headers["request-priority"] == expected
