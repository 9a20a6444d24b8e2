"""Streams whose runs break off inside an event are neither joined from two runs nor incomplete."""

from __future__ import annotations

import asyncio

import pytest

from tests.stream_callers import (
    EVENTS,
    put_chats,
    read_stream,
    set_versions,
    take_up,
    wait_for_usual_origin,
)

# What an upstream sends of an event before it breaks off.
PARTS = {
    "two bytes": lambda event: event[:2],
    "half": lambda event: event[: len(event) // 2],
    "all but the last byte": lambda event: event[:-1],
    "a faulty event behind it": lambda event: event + b"id: 99\ndata: x\n\n",
}
# The number of whole events of each run that breaks off, one run after the other.
RUNS = {
    "first event of the first run": [0],
    "first event of two runs": [0, 0],
    "a later event": [3],
    "first event of a resumed run": [3, 0],
    "a later event of a resumed run": [3, 2],
}
WANTED = b"".join(b"id: %d\ndata: v1.%d\n\n" % (number, number) for number in range(EVENTS))


@pytest.fixture
async def chats(site):
    """A deployment with a streaming route to three engines of one software version."""
    await put_chats(site)
    await wait_for_usual_origin(site)
    site.engines.append(await site.standin("e-2", "lm", {"m": 1}))
    await set_versions(site, "v1", "v1", "v1", event_s=0.005)
    return site


def set_breaks(site, breaks):
    for engine in site.engines:
        engine.breaks = breaks


async def test_no_event_of_a_stream_is_joined_from_two_runs(chats):
    """Guards against the rest of a run that meets the first bytes of the next one."""
    for name, counts in RUNS.items():
        for part, spoil in PARTS.items():
            for resets in (False, True):
                case = f"{name}, {part}, {resets}"
                breaks = [(count, spoil, resets) for count in counts]
                set_breaks(chats, breaks)
                received = await read_stream(chats.session, chats.url, f"r-{case}")
                assert not breaks, case
                assert (received.status, received.text) == (200, WANTED), case
                assert received.is_whole, case


@pytest.mark.parametrize("part", PARTS)
async def test_a_stream_that_is_taken_up_is_not_joined_from_two_runs(chats, part):
    """Guards against the same in the first event of a stream that its caller takes up."""
    begun = await read_stream(chats.session, chats.url, "r-1", stop_after=4)
    # The upstream of the stream that the caller left must not take the breaks.
    await asyncio.sleep(0.1)
    breaks = [(0, PARTS[part], True)]
    set_breaks(chats, breaks)
    rest = await take_up(chats.session, chats.url, begun, "r-2")
    assert not breaks and rest.is_whole
    assert begun.text + rest.text == WANTED
