"""What crosses failure domains: copies of results, compressed commands, and outputs sent once."""

from __future__ import annotations

import asyncio
import zlib

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from apricotvale import clock
from apricotvale.codec import COMPRESSED_MARK, MIN_COMPRESSED_BYTES, encode, pack, unpack
from apricotvale.consensus.messages import Entry, EntryKind
from apricotvale.exceptions import MessageError
from apricotvale.fleet import calls
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Item, ItemState, Job, Progress, Result
from apricotvale.jobs.transcript import Transcript
from tests.platform_site import item, job

JOB = Job("j-1", "h", "/jobs", (Item("i-1", "/run", {}, b"prompt"),), model="m")


# Commands


def test_a_large_command_is_compressed_and_has_the_same_effect():
    command = c.ListResult("j-1", Result("i-1", ItemState.COMPLETED, b"some text " * 500))
    payload = pack(command, c.Command)
    assert len(payload) < len(encode(command, c.Command)) / 2
    assert unpack(payload, c.Command) == command
    assert unpack(encode(command, c.Command), c.Command) == command


def test_a_small_command_is_not_compressed():
    command = c.EndJob("j-1")
    assert pack(command, c.Command) == encode(command, c.Command)


@given(st.binary(max_size=4 * MIN_COMPRESSED_BYTES))
def test_each_command_is_decoded_as_it_was_packed(output):
    command = c.ListResult("j-1", Result("i-1", ItemState.COMPLETED, output))
    payload = pack(command, c.Command)
    assert len(payload) <= len(encode(command, c.Command))
    assert unpack(payload, c.Command) == command


@pytest.mark.parametrize(
    "data",
    [
        COMPRESSED_MARK,
        zlib.compress(b"x" * 5000)[:-3],
        zlib.compress(b"x" * 5000, 1) + b"more",
        zlib.compress(b"\xc1" * 5000, 1),
    ],
    ids=["mark only", "cut", "more bytes", "no message"],
)
def test_damaged_compressed_data_is_no_message(data):
    assert data.startswith(COMPRESSED_MARK)
    with pytest.raises(MessageError):
        unpack(data, c.Command)


def test_compressed_data_is_bounded(monkeypatch):
    monkeypatch.setattr("apricotvale.codec.MAX_MESSAGE_BYTES", 10_000)
    with pytest.raises(MessageError):
        unpack(zlib.compress(b"x" * 10_001, 1), c.Command)


def apply(state, index, command):
    return state.apply(Entry(index, 1, 0, EntryKind.COMMAND, pack(command, c.Command)))


TEXTS = st.lists(st.binary(max_size=8).map(lambda b: b.hex().encode()), min_size=1, max_size=8)


@given(TEXTS, st.lists(st.integers(0, 8), max_size=4), st.integers(0, 8))
def test_the_listed_output_does_not_depend_on_what_was_saved(texts, saves, saved):
    """An output is sent once: as progress, and what is left of it with the result."""
    transcript = Transcript("weight-versions")
    transcript.begin_run(1)
    for number, text in enumerate(texts):
        transcript.feed(b"id: %d\ndata: %s\n\n" % (number, text))
    state = FleetState()
    apply(state, 1, c.AcceptJob(JOB))
    start = 0
    for end in sorted(min(end, len(texts)) for end in saves):
        if end > start:
            part = Progress("i-1", start, end - 1, [1], texts[start:end])
            apply(state, 2, c.SaveProgress([c.JobProgress("j-1", [part])]))
            start = end
    count = min(saved, start, len(texts) - 1)
    result = Result("i-1", ItemState.COMPLETED, transcript.output(count), [1])
    assert apply(state, 3, c.ListResult("j-1", result, count)).changed
    (listed,) = state.jobs.state.records["j-1"].results
    assert listed.output == b"\n".join(texts)


def test_a_result_whose_saved_events_are_missing_is_not_listed():
    """Guards against an output with a gap; the item runs again."""
    state = FleetState()
    apply(state, 1, c.AcceptJob(JOB))
    result = Result("i-1", ItemState.COMPLETED, b"end", [1])
    assert not apply(state, 2, c.ListResult("j-1", result, 2)).changed
    assert state.jobs.state.records["j-1"].results == []
    assert state.jobs.open_records()


# Copies of results


def move_apart(site, near):
    """Put each control replica in a domain of its own, and the entry into that of one of them."""
    for number, control in enumerate(site.controls):
        control.settings = evolve(control.settings, site=f"zone-{number}")
    site.entry.copies.site = f"zone-{near}"


def leader_number(site):
    return next(n for n, control in enumerate(site.controls) if control.replica.leads)


async def list_results(site, count=3):
    for engine in site.engines:
        engine.events = 200
        engine.event_s = 0.0
    assert await site.submit("j-1", job(*(item(f"i-{n}") for n in range(count)))) == 202
    return await site.all_results("j-1", count)


async def wait_for_copies(site):
    await site.wait_until(
        lambda: asyncio.sleep(0, site.entry.copies.find(clock.now())), lambda found: found
    )


async def test_results_come_from_the_replica_of_the_callers_domain(site, monkeypatch):
    """Guards against outputs that cross failure domains once for each reader."""
    near = next(n for n in range(3) if n != leader_number(site))
    move_apart(site, near)
    await wait_for_copies(site)
    await list_results(site)
    before = await site.results("j-1")
    copies = []
    complete = site.entry.copies.complete

    async def record(*arguments):
        copies.append(await complete(*arguments))
        return copies[-1]

    monkeypatch.setattr(site.entry.copies, "complete", record)
    for _ in range(3):
        assert await site.results("j-1") == before
    assert [len(page.results) for page in copies] == [3, 3, 3]


async def test_without_the_nearby_replica_results_come_from_the_leader(site, monkeypatch):
    near = next(n for n in range(3) if n != leader_number(site))
    move_apart(site, near)
    await wait_for_copies(site)
    await list_results(site)
    before = await site.results("j-1")

    async def fail(request):
        raise ConnectionError("lost")

    monkeypatch.setattr(site.controls[near].results, "read_copy", fail)
    started = clock.now()
    assert await site.results("j-1") == before
    assert await site.results("j-1") == before
    assert clock.now() - started < 1.0


async def test_a_replica_that_lags_sends_no_part_of_a_page(site):
    near = next(n for n in range(3) if n != leader_number(site))
    move_apart(site, near)
    await list_results(site)
    control = site.controls[near]
    record = control.state.jobs.state.records["j-1"]
    full = await control.results.read_copy(calls.ReadCopy("j-1", record.accepted_at, 0, 3))
    assert len(full.results) == 3
    missing = await control.results.read_copy(calls.ReadCopy("j-1", record.accepted_at, 0, 4))
    other_job = await control.results.read_copy(calls.ReadCopy("j-1", record.accepted_at + 1, 0, 3))
    assert missing == other_job == calls.NotFound()
