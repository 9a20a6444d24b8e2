"""Jobs: accepted once, fixed positions, whole texts, running order and placement."""

from __future__ import annotations

import random
import statistics

import pytest
from attrs import evolve

from apricotvale.discovery import Standing, Upstream
from apricotvale.exceptions import StreamCutError
from apricotvale.jobs import Item, ItemState, Job, JobBook, JobBookState, Progress, Result
from apricotvale.jobs.order import in_running_order
from apricotvale.jobs.placement import Place, choose_engine, is_worth_moving
from apricotvale.jobs.transcript import Transcript
from apricotvale.weights.orders import EngineLoads

ENGINE = Upstream("e-1", 1, 1, "lm", "10.0.0.1:80", "a", 8, Standing.READY, models={"m": 3})


def item(name, group="g1", expected=10):
    return Item(name, "/run", {}, b"body", 1000, expected, group)


@pytest.fixture
def job():
    items = tuple(item(f"i-{number}", f"g{number // 2}") for number in range(6))
    return Job("j-1", "host", "/run/", items, 1, "m", 2, 2)


@pytest.fixture
def book(job):
    book = JobBook(JobBookState())
    assert book.accept(job, 1)
    return book


def test_a_job_is_accepted_once(book, job):
    book.list_result("j-1", Result("i-0", ItemState.COMPLETED, b"text"))
    assert not book.accept(job, 2)
    assert len(book.state.records["j-1"].results) == 1


def test_the_first_result_of_an_item_keeps_its_position(book):
    first = Result("i-0", ItemState.COMPLETED, b"one")
    assert book.list_result("j-1", first)
    assert book.list_result("j-1", Result("i-1", ItemState.FAILED))
    assert not book.list_result("j-1", Result("i-0", ItemState.COMPLETED, b"two"))
    assert [result.item_id for result in book.state.records["j-1"].results] == ["i-0", "i-1"]
    assert book.state.records["j-1"].results[0] == first


def test_a_snapshot_keeps_what_is_listed(book):
    book.list_result("j-1", Result("i-0", ItemState.COMPLETED, b"one"))
    again = JobBook(book.state)
    assert not again.list_result("j-1", Result("i-0", ItemState.COMPLETED, b"two"))


def test_bodies_are_held_until_listed_or_ended(book):
    assert book.find_item("j-1", "i-0").body == b"body"
    book.list_result("j-1", Result("i-0", ItemState.COMPLETED, b"one"))
    assert book.find_item("j-1", "i-0") is None
    assert book.end("j-1")
    assert book.find_item("j-1", "i-1") is None
    assert book.open_records() == []
    assert not book.end("j-9")


def test_a_forgotten_job_is_gone(book):
    assert book.forget("j-1") and not book.forget("j-1")
    assert not book.list_result("j-1", Result("i-0", ItemState.COMPLETED))


def progress(start, *data, item_id="i-0"):
    return Progress(item_id, start, start + len(data) - 1, [4], list(data))


def test_progress_adds_up_and_goes_with_the_result(book):
    assert book.save_progress("j-1", progress(0, b"a", b"b"))
    assert not book.save_progress("j-1", progress(3, b"d"))
    assert book.save_progress("j-1", progress(2, b"c"))
    held = book.state.records["j-1"].progress["i-0"]
    assert (held.data, held.last_event_id, held.start) == ([b"a", b"b", b"c"], 2, 0)
    assert book.save_progress("j-1", progress(0, b"x"))
    assert book.state.records["j-1"].progress["i-0"].data == [b"x"]
    book.list_result("j-1", Result("i-0", ItemState.COMPLETED, b"text"))
    assert book.state.records["j-1"].progress == {}
    assert not book.save_progress("j-1", progress(0, b"a"))


def test_an_ended_job_keeps_no_progress(book):
    book.save_progress("j-1", progress(0, b"a"))
    book.end("j-1")
    assert book.state.records["j-1"].progress == {}
    assert not book.save_progress("j-1", progress(0, b"a"))


# -- texts


def event(number, text, version=None):
    line = f"weight-versions: {version}\n" if version else ""
    return f"{line}id: {number}\ndata: {text}\n\n".encode()


@pytest.fixture
def transcript():
    transcript = Transcript("weight-versions")
    transcript.begin_run(4)
    return transcript


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_a_text_is_the_data_of_its_events(transcript, size):
    stream = event(0, "one") + event(1, "two", 5) + event(2, "three")
    for start in range(0, len(stream), size):
        transcript.feed(stream[start : start + size])
    transcript.check_end()
    assert transcript.output() == b"one\ntwo\nthree"
    assert (transcript.versions, transcript.last_event_id) == ([4, 5], 2)


def test_a_cut_event_is_made_again_by_the_next_run(transcript):
    transcript.feed(event(0, "one") + b"id: 1\nda")
    with pytest.raises(StreamCutError):
        transcript.check_end()
    transcript.begin_run(5)
    transcript.feed(event(1, "two"))
    transcript.check_end()
    assert (transcript.output(), transcript.versions) == (b"one\ntwo", [4, 5])


@pytest.mark.parametrize("following", [0, 2, 7])
def test_a_missing_or_repeated_event_is_an_error(transcript, following):
    transcript.feed(event(0, "one"))
    with pytest.raises(StreamCutError):
        transcript.feed(event(following, "x"))
    assert transcript.output() == b"one"


def test_a_text_goes_on_from_kept_progress(transcript):
    transcript.feed(event(0, "one") + event(1, "two", 5))
    again = Transcript("weight-versions")
    again.resume(transcript.progress_since("i", 0))
    again.begin_run(6)
    again.feed(event(2, "three"))
    assert (again.output(), again.versions) == (b"one\ntwo\nthree", [4, 5, 6])


def test_a_stream_without_events_is_not_whole(transcript):
    with pytest.raises(StreamCutError):
        transcript.check_end()


# -- running order


def test_wanted_groups_go_first_and_their_longest_items_before_others(job):
    lengths = {"i-0": 5, "i-1": 50, "i-2": 40, "i-3": 1, "i-4": 900, "i-5": 2}
    items = tuple(evolve(i, expected_tokens=lengths[i.item_id]) for i in job.items)
    ordered = in_running_order(evolve(job, items=items), list(items))
    assert [i.item_id for i in ordered] == ["i-1", "i-2", "i-0", "i-3", "i-4", "i-5"]


def makespan(lengths, slots):
    """Return when a list of items is done on so many slots, begun in its order."""
    free = [0.0] * slots
    for length in lengths:
        at = free.index(min(free))
        free[at] += length
    return max(free)


def test_long_items_first_ends_a_step_sooner_than_first_in_first_out():
    ratios = []
    for seed in range(20):
        rng = random.Random(seed)
        lengths = [
            rng.lognormvariate(3, 0.9) * (5 if rng.random() < 0.08 else 1) for _ in range(64)
        ]
        items = [item(str(number), "g", int(value)) for number, value in enumerate(lengths)]
        job = Job("j", "h", "/", tuple(items))
        ordered = [lengths[int(i.item_id)] for i in in_running_order(job, items)]
        ratios.append(makespan(ordered, 24) / makespan(lengths, 24))
    assert max(ratios) <= 1.0
    assert statistics.median(ratios) < 1.0


# -- placement


def engine(name, **changes):
    return evolve(ENGINE, upstream_id=name, address=f"{name}:80", **changes)


def place_of(pace=0.0, in_flight=0, pause_until=float("-inf")):
    place = Place(in_flight=in_flight, pause_until=pause_until)
    if pace:
        place.pace.add(pace, 1)
    return place


@pytest.mark.parametrize(
    ("spoiled", "place", "loads"),
    [
        ({"standing": Standing.DRAINING}, None, None),
        ({"standing": Standing.SILENT}, None, None),
        ({"models": {"m": 1}}, None, None),
        ({"models": {}}, None, None),
        ({}, place_of(in_flight=8), None),
        ({}, place_of(pause_until=11.0), None),
        ({}, None, EngineLoads(loading_until=10.5)),
    ],
)
def test_an_engine_that_cannot_run_an_item_gets_none(spoiled, place, loads):
    one, two = engine("one", **spoiled), engine("two")
    places = {one.incarnation: place} if place else {}
    loaded = {one.incarnation: loads} if loads else {}
    assert choose_engine([one, two], places, loaded, "m", 2, 10.0) is two
    assert choose_engine([one], places, loaded, "m", 2, 10.0) is None


def test_a_slow_engine_gets_its_share_of_a_burst():
    engines = [engine("one"), engine("two"), engine("slow")]
    places = {e.incarnation: place_of(0.036) for e in engines}
    places[engines[2].incarnation] = place_of(0.144)
    for _ in range(12):
        chosen = choose_engine(engines, places, {}, "m", 2, 0.0)
        places[chosen.incarnation].begin("m")
    runs = [places[e.incarnation].in_flight for e in engines]
    assert runs[2] <= 2 and abs(runs[0] - runs[1]) <= 1


@pytest.mark.parametrize(("here", "there", "moves"), [(0.15, 0.04, True), (0.05, 0.04, False)])
def test_runs_move_to_a_much_faster_engine_only(here, there, moves):
    one, two = engine("one"), engine("two")
    places = {one.incarnation: place_of(here), two.incarnation: place_of(there)}
    assert is_worth_moving(one, two, places) is moves


def test_an_engine_that_fails_again_is_left_out_for_longer():
    place = Place()
    place.fail(10.0)
    first = place.pause_until
    place.fail(10.0)
    assert place.pause_until > first
    place.succeed()
    assert place.pause_until < 10.0
