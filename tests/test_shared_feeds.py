"""Many callers follow the same feed while several of its upstreams end for another cause."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from apricotvale.platform import names
from tests.stream_callers import put_chats, read_stream, take_up
from tests.test_crashing_requests import MAX_CRASHES, announce

FEED = "/chats/live"
CALLERS = 20
ENGINES = 5
ENDING = 3
EVENTS = 45
EVENT_S = 0.1
TRIES = 5
PAUSE_S = 0.05
# A caller gives a stream up that it cannot take up for this long.
MAX_PAUSE_S = 2.0


@pytest.fixture
async def feeds(site):
    """A deployment with a streaming route to five engines that come back after they end."""
    await put_chats(site)
    for number in range(2, ENGINES):
        site.engines.append(await site.standin(f"e-{number}", "lm", {"m": 1}))
    for engine in site.engines:
        engine.events, engine.event_s = EVENTS, EVENT_S
        engine.on_start = partial(announce, site, engine)
    await site.send_heartbeats()

    async def known():
        return len(site.entry.link.view.ready("lm"))

    await site.wait_until(known, lambda found: found == ENGINES)
    return site


async def follow(site, number):
    """Follow the feed, and take it up after it broke; return whether it went on.

    None if it did not break.
    """
    first = await read_stream(site.session, site.url, f"r-{number}", FEED)
    if first.is_whole:
        return None
    pause_s = PAUSE_S
    for turn in range(TRIES):
        await asyncio.sleep(pause_s)
        rest = await take_up(site.session, site.url, first, f"t-{number}-{turn}")
        if rest.status == 200:
            return min(rest.events, default=-1) == first.last + 1
        pause_s = float(rest.headers.get(names.RETRY_AFTER, PAUSE_S))
        if pause_s > MAX_PAUSE_S:
            break
    return False


async def test_streams_of_a_feed_are_taken_up_after_several_upstreams_ended(feeds):
    """Guards against callers' equal requests that count as one that ends its upstreams."""
    callers = [asyncio.create_task(follow(feeds, number)) for number in range(CALLERS)]
    await asyncio.sleep(1.5)
    for engine in feeds.engines[:ENDING]:
        engine.restart_s = 2.0
        engine.crash()
    outcomes = await asyncio.gather(*callers)
    taken_up = [outcome for outcome in outcomes if outcome is not None]
    assert len(taken_up) >= CALLERS / 3
    assert sum(taken_up) >= len(taken_up) / 2


@pytest.mark.parametrize("lasts", [[3, 3, 3, 3, 3], [2, 9, 14, 20, 26]])
async def test_a_feed_that_ends_its_upstreams_is_stopped(feeds, lasts):
    """Guards against a request that is cleared, again and again, by its streams before their end.

    :param lasts: events after which the feed ends each upstream.
    """
    for engine, events in zip(feeds.engines, lasts, strict=True):
        engine.deadly, engine.deadly_events, engine.restart_s = {b"prompt"}, events, 0.2
    begun = [follow(feeds, number) for number in range(CALLERS)]
    await asyncio.gather(*begun)
    lost = sum(len(engine.crashed_by) for engine in feeds.engines)
    for number in range(10):
        again = await read_stream(feeds.session, feeds.url, f"z-{number}", FEED)
        await asyncio.sleep(0.3)
    assert again.status == 503
    later = sum(len(engine.crashed_by) for engine in feeds.engines) - lost
    assert lost <= ENGINES + MAX_CRASHES and later <= MAX_CRASHES
