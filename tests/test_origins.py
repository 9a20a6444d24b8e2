"""The record of where streams began, and the choice of a route's usual origin."""

from __future__ import annotations

import pytest

from apricotvale.codec import decode, encode
from apricotvale.daemons import origin_control
from apricotvale.daemons.origin_control import OriginControl
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.discovery import Origin, Registry, RegistryState, Standing, Upstream
from apricotvale.fleet.state import FleetImage
from apricotvale.origins import calls
from apricotvale.origins import commands as c
from apricotvale.origins.book import (
    OriginBook,
    OriginBookState,
    StreamRecord,
    route_key,
    stream_key,
)
from apricotvale.routes import Backend, Route, RouteKind, RouteTable, Service

V1, V2 = Origin("lm", "v1"), Origin("lm", "v2")
SETTLE_S = origin_control.SETTLE_KEEPS * origin_control.MIN_KEEP_S


def make_route(prefix="/chats/", service="lm", resumable=True):
    backends = (Backend(service, 1),)
    return Route("r", "h", prefix, RouteKind.STREAM, backends, 8000, resumable=resumable)


def make_table(*routes):
    return RouteTable(1, routes, {"lm": Service("lm"), "other": Service("other")})


@pytest.fixture
def book():
    return OriginBook(OriginBookState())


@pytest.fixture
def registry():
    return Registry(RegistryState())


def register(registry, name, software, service="lm"):
    address = f"10.0.0.{len(registry.state.upstreams) + 1}:80"
    upstream = Upstream(name, 1, 1, service, address, "a", 8, Standing.READY, software)
    assert registry.announce(upstream, 1)


@pytest.fixture
async def control(book, registry):
    """The leader's part, whose commits take effect at once."""

    async def confirm():
        return True

    async def commit(command):
        c.execute(command, book, 7)

    async with TaskGroup() as tasks:
        found = OriginControl(lambda: book, lambda: registry.state, confirm, commit, tasks)
        found.on_table(make_table(make_route()))
        found.start_leading(0.0)
        yield found


async def tick(control, now):
    control.tick(now)
    for task in list(control.tasks.tasks):
        await task


def usual(book):
    return book.state.usual.get(route_key(make_route()))


def test_a_record_is_kept_for_one_to_two_turns(book):
    book.record(StreamRecord("s", "r", V1))
    book.turn()
    assert book.find("s") == StreamRecord("s", "r", V1)
    book.turn()
    assert book.find("s") is None
    assert book.is_empty and not book.state.origins


def test_a_later_record_replaces_the_former(book):
    book.record(StreamRecord("s", "r", V1))
    book.turn()
    book.record(StreamRecord("s", "r", None))
    assert book.find("s") == StreamRecord("s", "r", None)


def test_a_snapshot_holds_the_record(book):
    book.record(StreamRecord("s", "r", V1))
    book.replace_usual("h/", None, V2, 3)
    image = decode(encode(FleetImage(origins=book.state), FleetImage), FleetImage)
    assert image.origins == book.state
    assert decode(encode(FleetImage(), FleetImage), FleetImage).origins == OriginBookState()


def test_streams_of_different_customers_have_different_keys():
    assert stream_key("a", "1 b") != stream_key("a 1", "b")
    assert stream_key("", "s") != stream_key("a", "s")


def test_a_record_that_is_committed_late_does_not_replace_a_later_one(book):
    """Guards against a call that was sent again, and carried out after the next one."""
    book.record(StreamRecord("s", "r", V2, 2))
    book.turn()
    book.record(StreamRecord("s", "r", V1, 1))
    assert book.find("s") == StreamRecord("s", "r", V2, 2)


async def test_a_usual_origin_is_chosen_at_once_without_others(control, book, registry):
    for number, software in enumerate(["v2", "v1", "v2", ""]):
        register(registry, f"e-{number}", software)
    await tick(control, 0.0)
    assert usual(book) == V2


async def test_a_usual_origin_stays_while_its_streams_may_be_taken_up(control, book, registry):
    """Guards against streams without a record that count as begun at the next version."""
    register(registry, "e-0", "v1")
    await tick(control, 0.0)
    registry.depart("e-0", 2)
    register(registry, "e-1", "v2")
    await tick(control, 10.0)
    await tick(control, 10.0 + SETTLE_S - 1.0)
    assert usual(book) == V1
    await tick(control, 10.0 + SETTLE_S)
    assert usual(book) is None
    await tick(control, 12.0 + SETTLE_S)
    assert usual(book) == V2


async def test_a_usual_origin_that_is_back_stays(control, book, registry):
    register(registry, "e-0", "v1")
    await tick(control, 0.0)
    registry.depart("e-0", 2)
    await tick(control, 10.0)
    register(registry, "e-1", "v1")
    await tick(control, 40.0)
    registry.depart("e-1", 3)
    for now in (41.0, 40.0 + SETTLE_S):
        await tick(control, now)
        assert usual(book) == V1


async def test_a_route_that_moves_to_another_service_keeps_its_usual_origin(
    control, book, registry
):
    """Guards against a configuration that moves a route while its streams are unfinished."""
    register(registry, "e-0", "v1")
    register(registry, "o-0", "v1", "other")
    await tick(control, 0.0)
    control.on_table(make_table(make_route(service="other")))
    await tick(control, 10.0)
    assert usual(book) == V1


async def test_a_route_that_another_one_covers_waits_for_its_usual_origin(control, book, registry):
    """Guards against streams that began under the other route without a record."""
    register(registry, "e-0", "v1")
    await tick(control, 0.0)
    narrow = make_route("/chats/a/")
    control.on_table(make_table(make_route(), narrow))
    await tick(control, 10.0)
    assert route_key(narrow) not in book.state.usual
    await tick(control, 10.0 + SETTLE_S)
    assert book.state.usual[route_key(narrow)] == V1


async def test_routes_without_resumable_streams_have_no_usual_origin(control, book, registry):
    register(registry, "e-0", "v1")
    control.on_table(make_table(make_route(resumable=False)))
    await tick(control, 0.0)
    assert not book.state.usual


async def test_streams_that_cannot_be_known_have_no_origin(control, book, registry):
    register(registry, "e-0", "v1")
    await tick(control, 0.0)
    key = route_key(make_route())
    unnamed, named = calls.FindOrigin(key), calls.FindOrigin(key, "s", "r")
    assert await control.on_find(unnamed) == calls.OriginFound(V1)
    assert await control.on_find(named) == calls.OriginFound(V1)
    book.record(StreamRecord("s", "r", V2))
    assert await control.on_find(unnamed) == calls.OriginFound(None)
    assert await control.on_find(named) == calls.OriginFound(V2)
    assert (await control.on_find(calls.FindOrigin(key, "s", "q"))).is_other
    assert await control.on_find(calls.FindOrigin("other", "t")) == calls.OriginFound(None)
