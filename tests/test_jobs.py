"""Tests of the job store, output assembly, scheduling order and engine selection."""

from __future__ import annotations

import random
import statistics

import pytest
from attrs import evolve

from apricotvale.discovery import Origin, Standing, Upstream
from apricotvale.exceptions import TruncatedStreamError
from apricotvale.jobs import Item, ItemState, Job, Progress, Result
from apricotvale.jobs.placement import Demand, EngineUsage, choose_engine, should_move
from apricotvale.jobs.scheduling import expected_memory, sort_by_priority, waiting_items
from apricotvale.jobs.store import JobBookState, JobStore
from apricotvale.jobs.transcript import Transcript
from apricotvale.routes import Backend, Route, RouteKind
from apricotvale.weights.orders import EngineLoads

ENGINE = Upstream("e-1", 1, 1, "lm", "10.0.0.1:80", "a", 8, Standing.READY, models={"m": 3})


def item(name, group="g1", expected=10):
    return Item(name, "/run", {}, b"body", 1000, expected, group)


@pytest.fixture
def job():
    items = tuple(item(f"i-{number}", f"g{number // 2}") for number in range(6))
    return Job("j-1", "host", "/run/", items, 1, "m", 2, 2)


@pytest.fixture
def store(job):
    store = JobStore(JobBookState())
    assert store.accept(job, 1)
    return store


def test_a_job_is_accepted_once(store, job):
    store.append_result("j-1", Result("i-0", ItemState.COMPLETED, b"text"))
    assert not store.accept(job, 2)
    assert len(store.state.records["j-1"].results) == 1


def test_the_first_result_of_an_item_keeps_its_position(store):
    first = Result("i-0", ItemState.COMPLETED, b"one")
    assert store.append_result("j-1", first)
    assert store.append_result("j-1", Result("i-1", ItemState.FAILED))
    assert not store.append_result("j-1", Result("i-0", ItemState.COMPLETED, b"two"))
    assert [result.item_id for result in store.state.records["j-1"].results] == ["i-0", "i-1"]
    assert store.state.records["j-1"].results[0] == first


def test_a_snapshot_keeps_the_results(store):
    store.append_result("j-1", Result("i-0", ItemState.COMPLETED, b"one"))
    restored = JobStore(store.state)
    assert not restored.append_result("j-1", Result("i-0", ItemState.COMPLETED, b"two"))


def test_bodies_are_kept_until_an_item_has_a_result_or_its_job_ended(store):
    assert store.find_item("j-1", "i-0").body == b"body"
    store.append_result("j-1", Result("i-0", ItemState.COMPLETED, b"one"))
    assert store.find_item("j-1", "i-0") is None
    assert store.end("j-1")
    assert store.find_item("j-1", "i-1") is None
    assert store.open_records() == []
    assert not store.end("j-9")


def test_a_deleted_job_is_unknown(store):
    assert store.forget("j-1") and not store.forget("j-1")
    assert not store.append_result("j-1", Result("i-0", ItemState.COMPLETED))


def progress(start, *data, item_id="i-0"):
    return Progress(item_id, start, start + len(data) - 1, [4], list(data))


def test_progress_accumulates_until_the_result(store):
    assert store.save_progress("j-1", progress(0, b"a", b"b"))
    assert not store.save_progress("j-1", progress(3, b"d"))
    assert store.save_progress("j-1", progress(2, b"c"))
    held = store.state.records["j-1"].progress["i-0"]
    assert (held.data, held.last_event_id, held.start) == ([b"a", b"b", b"c"], 2, 0)
    assert store.save_progress("j-1", progress(0, b"x"))
    assert store.state.records["j-1"].progress["i-0"].data == [b"x"]
    store.append_result("j-1", Result("i-0", ItemState.COMPLETED, b"text"))
    assert store.state.records["j-1"].progress == {}
    assert not store.save_progress("j-1", progress(0, b"a"))


def test_an_ended_job_keeps_no_progress(store):
    store.save_progress("j-1", progress(0, b"a"))
    store.end("j-1")
    assert store.state.records["j-1"].progress == {}
    assert not store.save_progress("j-1", progress(0, b"a"))


# Output assembly


ORIGIN = Origin("lm", "v1")


def event(number, text, version=None):
    line = f"weight-versions: {version}\n" if version else ""
    return f"{line}id: {number}\ndata: {text}\n\n".encode()


@pytest.fixture
def transcript():
    transcript = Transcript("weight-versions")
    transcript.begin_run(4, ORIGIN)
    return transcript


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_output_is_the_data_of_its_events(transcript, size):
    stream = event(0, "one") + event(1, "two", 5) + event(2, "three")
    for start in range(0, len(stream), size):
        transcript.feed(stream[start : start + size])
    transcript.check_complete()
    assert transcript.output() == b"one\ntwo\nthree"
    assert (transcript.versions, transcript.last_event_id) == ([4, 5], 2)


@pytest.mark.parametrize("began, goes_on", [("v1", "v2"), ("v1", ""), ("", "v1"), ("", "")])
def test_an_output_does_not_go_on_at_another_or_an_unknown_origin(began, goes_on):
    """Guards against a text that two software versions generate."""
    origins = [Origin("lm", software) if software else None for software in (began, goes_on)]
    transcript = Transcript("weight-versions")
    transcript.begin_run(4, origins[0])
    transcript.feed(event(0, "one"))
    assert not transcript.may_continue_at(origins[1])
    with pytest.raises(TruncatedStreamError):
        transcript.begin_run(4, origins[1])


def test_a_partial_event_is_replaced_by_the_next_run(transcript):
    transcript.feed(event(0, "one") + b"id: 1\nda")
    with pytest.raises(TruncatedStreamError):
        transcript.check_complete()
    transcript.begin_run(5, ORIGIN)
    transcript.feed(event(1, "two"))
    transcript.check_complete()
    assert (transcript.output(), transcript.versions) == (b"one\ntwo", [4, 5])


@pytest.mark.parametrize("following", [0, 2, 7])
def test_a_missing_or_repeated_event_is_an_error(transcript, following):
    transcript.feed(event(0, "one"))
    with pytest.raises(TruncatedStreamError):
        transcript.feed(event(following, "x"))
    assert transcript.output() == b"one"


def test_output_resumes_from_saved_progress(transcript):
    transcript.feed(event(0, "one") + event(1, "two", 5))
    restored = Transcript("weight-versions")
    restored.resume(transcript.progress_since("i", 0))
    restored.begin_run(6, ORIGIN)
    restored.feed(event(2, "three"))
    assert (restored.output(), restored.versions) == (b"one\ntwo\nthree", [4, 5, 6])


def test_a_stream_without_events_is_incomplete(transcript):
    with pytest.raises(TruncatedStreamError):
        transcript.check_complete()


# Scheduling order


ROUTE = Route("drafts", "host", "/run/", RouteKind.JOB, (Backend("lm", 1),), 10_000)


def ordered_items(*jobs):
    """Return the items of jobs in their order; jobs are pairs of a job and its due time."""
    waiting = [w for job, due_at in jobs for w in waiting_items(job, job.items, ROUTE, due_at, 0.1)]
    return [waiting.item for waiting in sort_by_priority(waiting)]


def test_wanted_groups_go_first_and_their_longest_items_before_others(job):
    lengths = {"i-0": 5, "i-1": 50, "i-2": 40, "i-3": 1, "i-4": 900, "i-5": 2}
    items = tuple(evolve(i, expected_tokens=lengths[i.item_id]) for i in job.items)
    ordered = ordered_items((evolve(job, items=items), 10.0))
    assert [i.item_id for i in ordered] == ["i-1", "i-2", "i-0", "i-3", "i-4", "i-5"]


def makespan(lengths, slots):
    """Return the time at which the last item finishes if items start in list order on `slots`."""
    free = [0.0] * slots
    for length in lengths:
        at = free.index(min(free))
        free[at] += length
    return max(free)


def test_long_items_first_finishes_a_step_earlier_than_fifo():
    ratios = []
    for seed in range(20):
        rng = random.Random(seed)
        lengths = [
            rng.lognormvariate(3, 0.9) * (5 if rng.random() < 0.08 else 1) for _ in range(64)
        ]
        items = [item(str(number), "g", int(value)) for number, value in enumerate(lengths)]
        job = Job("j", "h", "/", tuple(items))
        ordered = [lengths[int(i.item_id)] for i in ordered_items((job, 10.0))]
        ratios.append(makespan(ordered, 24) / makespan(lengths, 24))
    assert max(ratios) <= 1.0
    assert statistics.median(ratios) < 1.0


def test_a_long_item_of_a_new_step_precedes_short_items_of_an_older_one(job):
    """Load pattern: steps of several trainers overlap, each with a few very long items.

    Short items of an older step would delay the long ones of a newer step, which determine how
    long that step takes, although they themselves have time left.
    """
    older = evolve(job, items=(item("old-short", expected=4), item("old-long", expected=70)))
    newer = evolve(job, job_id="j-2", items=(item("new-long", expected=72), item("new-short")))
    names = [found.item_id for found in ordered_items((older, 10.0), (newer, 10.5))]
    assert names == ["old-long", "new-long", "new-short", "old-short"]


@pytest.mark.parametrize(
    ("expected", "prompt", "tokens", "memory"),
    [(500, 40, 300, 300), (100, 40, 300, 140), (0, 0, 300, 300)],
)
def test_estimates_are_bounded_by_the_limit_of_the_output(expected, prompt, tokens, memory):
    assert expected_memory(Item("i", "/", {}, b"", tokens, expected, "", None, prompt)) == memory


# Engine selection


def engine(name, **changes):
    return evolve(ENGINE, upstream_id=name, address=f"{name}:80", **changes)


def usage_of(pace=0.0, in_flight=0, backoff_until=float("-inf")):
    usage = EngineUsage(in_flight=in_flight, backoff_until=backoff_until)
    if pace:
        usage.pace.add(pace, 1)
    return usage


@pytest.mark.parametrize(
    ("changes", "usage", "loads"),
    [
        ({"standing": Standing.DRAINING}, None, None),
        ({"standing": Standing.SILENT}, None, None),
        ({"models": {"m": 1}}, None, None),
        ({"models": {}}, None, None),
        ({}, usage_of(in_flight=8), None),
        ({}, usage_of(backoff_until=11.0), None),
        ({}, None, EngineLoads(loading_until=10.5)),
    ],
)
def test_an_unavailable_engine_is_not_chosen(changes, usage, loads):
    one, two = engine("one", **changes), engine("two")
    usages = {one.incarnation: usage} if usage else {}
    loaded = {one.incarnation: loads} if loads else {}
    assert choose_engine([one, two], usages, loaded, Demand("m", 2), 10.0) is two
    assert choose_engine([one], usages, loaded, Demand("m", 2), 10.0) is None


def test_a_slow_engine_gets_fewer_items_of_a_burst():
    engines = [engine("one"), engine("two"), engine("slow")]
    usages = {e.incarnation: usage_of(0.036) for e in engines}
    usages[engines[2].incarnation] = usage_of(0.144)
    for _ in range(12):
        chosen = choose_engine(engines, usages, {}, Demand("m", 2), 0.0)
        usages[chosen.incarnation].begin(Demand("m"))
    runs = [usages[e.incarnation].in_flight for e in engines]
    assert runs[2] <= 2 and abs(runs[0] - runs[1]) <= 1


def test_long_items_do_not_fill_an_engine_beyond_its_memory():
    """Load pattern: several of the longest items are placed at once.

    An engine without memory preempts the newest run, which then waits for the others.
    """
    engines, usages = [engine("one"), engine("two")], {}
    long, short = Demand("m", 2, 400), Demand("m", 2, 50)
    for _ in range(4):
        chosen = choose_engine(engines, usages, {}, long, 0.0, 700)
        usages.setdefault(chosen.incarnation, EngineUsage()).begin(long)
    assert [usage.in_flight for usage in usages.values()] == [2, 2]
    assert choose_engine(engines, usages, {}, long, 0.0, 700) is None
    assert choose_engine(engines, usages, {}, short, 0.0, 700) is not None


def test_items_leave_engines_with_older_versions_idle():
    """Load pattern: a step starts while half of the engines are to load the next version.

    Runs on these engines would be paused by the load, the longest ones for most of their slack.
    """
    engines = [engine("old", models={"m": 2}), engine("new", models={"m": 3})]
    usages = {}
    for _ in range(8):
        chosen = choose_engine(engines, usages, {}, Demand("m", 2), 0.0)
        usages.setdefault(chosen.incarnation, EngineUsage()).begin(Demand("m", 2))
    assert list(usages) == [engines[1].incarnation]
    assert choose_engine(engines, usages, {}, Demand("m", 2), 0.0) is engines[0]


def test_a_load_of_another_model_does_not_exclude_an_engine():
    loads = {engine("one").incarnation: EngineLoads(loading_until=5.0, loading_model="n")}
    assert choose_engine([engine("one")], {}, loads, Demand("m", 2), 0.0) is not None


@pytest.mark.parametrize(("pace", "other_pace", "moves"), [(0.15, 0.04, True), (0.05, 0.04, False)])
def test_runs_move_to_a_much_faster_engine_only(pace, other_pace, moves):
    one, two = engine("one"), engine("two")
    usages = {one.incarnation: usage_of(pace), two.incarnation: usage_of(other_pace)}
    assert should_move(one, two, usages) is moves


def test_backoff_grows_with_each_failure():
    usage = EngineUsage()
    usage.fail(10.0)
    first = usage.backoff_until
    usage.fail(10.0)
    assert usage.backoff_until > first
    usage.succeed()
    assert usage.backoff_until < 10.0
