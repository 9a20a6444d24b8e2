"""Streams that are taken up after a change of routes go on only where they began."""

from __future__ import annotations

import asyncio

import pytest

from apricotvale.discovery import Origin
from apricotvale.origins.commands import ReplaceUsualOrigin
from tests.platform_site import HOST, table
from tests.stream_callers import CHATS, read_stream, set_versions, take_up

STREAMS = 12
# Longer than the leader's interval for the choice of usual origins.
CHOICE_S = 1.5
LONG_CHATS = {**CHATS, "name": "long", "path_prefix": "/chats/long/"}
ALL = {**CHATS, "name": "all", "path_prefix": "/"}
ONCE = {**CHATS, "resumable": False}
# The streaming routes that follow one another until the streams begin, and those after that.
CHANGES = {
    "a longer prefix is added": ([[CHATS]], [[CHATS, LONG_CHATS]]),
    "a longer prefix is removed": ([[CHATS], [CHATS, LONG_CHATS]], [[CHATS]]),
    "a shorter prefix is added": ([[LONG_CHATS]], [[LONG_CHATS, CHATS]]),
    "a shorter prefix takes over": ([[LONG_CHATS]], [[ALL]]),
    "a route is removed and added back": ([[CHATS]], [[], [CHATS]]),
    "a route becomes resumable": ([[ONCE]], [[CHATS]]),
    "a longer one that is resumable is added": ([[ONCE]], [[ONCE, LONG_CHATS]]),
    "a route changes its timeout": ([[CHATS]], [[{**CHATS, "timeout_ms": 3000}]]),
    "a route stops being resumable for a while": ([[CHATS]], [[ONCE], [CHATS]]),
    "a route is split": (
        [[CHATS]],
        [[{**CHATS, "backends": [{"service": n, "weight": 1} for n in ("lm", "desk")]}]],
    ),
}


def leader(site):
    return next(control for control in site.controls if control.replica.leads)


async def put_routes(site, entries, version, routes):
    """Replace the streaming routes, and wait until the entries have them."""
    document = table(version)
    document["routes"] += routes
    await site.put_table_until_accepted(document)

    async def in_force():
        return {entry.link.table.version for entry in entries}

    await site.wait_until(in_force, lambda found: found == {version})


@pytest.mark.parametrize("change", CHANGES)
async def test_streams_go_on_where_they_began_after_a_change_of_routes(site, change):
    """Guards against a stream without a record that counts as begun where the new route usually is.

    Nor may the change lose the streams: all of them go on, those with a record and those without.
    """
    before, changes = CHANGES[change]
    second, second_url = await site.start_second_entry()
    entries = [site.entry, second]
    version = 1
    for version, routes in enumerate(before, 2):
        await put_routes(site, entries, version, routes)
        await asyncio.sleep(CHOICE_S)
    if len(before) > 1:
        # The longer prefix got a usual origin of its own a minute later.
        prefix = f"{HOST}{LONG_CHATS['path_prefix']}"
        await leader(site).commit(ReplaceUsualOrigin(prefix, None, Origin("lm", "v2")))
    await set_versions(site, "v1", "v2", event_s=0.02)
    begun = await asyncio.gather(
        *(
            read_stream(site.session, site.url, f"r-{n}", f"/chats/long/{n}", stop_after=4)
            for n in range(STREAMS)
        )
    )
    assert {version for received in begun for version in received.versions} == {"v1", "v2"}
    for later, routes in enumerate(changes, version + 1):
        await put_routes(site, entries, later, routes)
    await asyncio.sleep(CHOICE_S)
    rest = await asyncio.gather(
        *(take_up(site.session, second_url, r, f"t-{r.request_id}") for r in begun)
    )
    pairs = list(zip(begun, rest, strict=True))
    joined = [pair for pair in pairs if len(pair[0].versions | pair[1].versions) > 1]
    lost = [pair for pair in pairs if not pair[1].is_whole]
    assert (len(joined), len(lost)) == (0, 0), pairs
    assert all(min(after.events) == first.last + 1 for first, after in pairs)
