"""The record of where streams began, and the choice of a route's usual origin."""

from __future__ import annotations

import pytest
from attrs import evolve

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
    request_location,
    route_prefix,
    stream_key,
    usual_origin,
)
from apricotvale.routes import Backend, Route, RouteKind, RouteTable, Service

V1, V2 = Origin("lm", "v1"), Origin("lm", "v2")
SETTLE_S = origin_control.SETTLE_KEEPS * origin_control.MIN_KEEP_S


def make_route(prefix="/chats/", service="lm", resumable=True, host="h", timeout_ms=8000):
    backends = (Backend(service, 1),)
    kind = RouteKind.STREAM
    return Route("r", host, prefix, kind, backends, timeout_ms, resumable=resumable)


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


async def found_at(control, location):
    """Return the origin of a stream without a record."""
    return (await control.on_find(calls.FindOrigin(location, "unrecorded", "r"))).origin


def usual(book):
    return book.state.usual.get(route_prefix(make_route()))


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


async def test_a_route_that_another_one_covers_has_its_usual_origin(control, book, registry):
    """Guards against streams that began under the other route without a record.

    The usual origin below the longer prefix must not change while it serves, however long the route
    is in force and whatever most upstreams are.
    """
    register(registry, "e-0", "v1")
    await tick(control, 0.0)
    narrow = make_route("/chats/a/")
    control.on_table(make_table(make_route(), narrow))
    for number in range(3):
        register(registry, f"n-{number}", "v2")
    for now in (10.0, 10.0 + SETTLE_S, 12.0 + 5 * SETTLE_S):
        await tick(control, now)
        assert await found_at(control, "h/chats/a/1") == V1


async def test_two_routes_that_are_added_at_once_do_not_replace_one_another(
    control, book, registry
):
    """Guards against streams that begin without a record between the two commits."""
    register(registry, "e-0", "v1")
    register(registry, "o-0", "v1", "other")
    narrow = make_route("/chats/a/", "other")
    control.on_table(make_table(narrow, make_route()))
    await tick(control, 0.0)
    assert book.state.usual == {"h/chats/": V1}


async def test_a_removed_route_s_streams_keep_their_usual_origin(control, book, registry):
    """Guards against streams without a record that count as begun at the shorter route's origin."""
    register(registry, "e-0", "v1")
    register(registry, "e-1", "v2")
    book.state.usual = {"h/chats/": V1, "h/chats/a/": V2}
    control.on_table(make_table(make_route()))
    await tick(control, 10.0)
    await tick(control, 10.0 + 2 * SETTLE_S)
    assert await found_at(control, "h/chats/a/1") == V2
    assert await found_at(control, "h/chats/b/1") == V1
    registry.depart("e-1", 2)
    await tick(control, 20.0 + 2 * SETTLE_S)
    assert await found_at(control, "h/chats/a/1") == V2
    await tick(control, 20.0 + 3 * SETTLE_S)
    assert await found_at(control, "h/chats/a/1") == V1


async def test_a_route_that_moves_to_another_host_keeps_its_usual_origin(control, book, registry):
    """Guards against streams without a record that are taken up at the route's new host."""
    register(registry, "e-0", "v1")
    await tick(control, 0.0)
    for number in range(3):
        register(registry, f"n-{number}", "v2")
    control.on_table(make_table(make_route(host="i")))
    await tick(control, 10.0)
    assert await found_at(control, "i/chats/1") == V1


async def test_streams_of_a_route_that_is_not_resumable_yet_are_known(control, book, registry):
    """Guards against a usual origin that is chosen once the route becomes resumable.

    The streams that run by then began before it, at any origin.
    """
    register(registry, "e-0", "v1")
    control.on_table(make_table(make_route(resumable=False)))
    await tick(control, 0.0)
    for number in range(3):
        register(registry, f"n-{number}", "v2")
    control.on_table(make_table(make_route()))
    await tick(control, 10.0)
    assert await found_at(control, "h/chats/1") == V1


async def test_streams_of_a_long_timeout_keep_their_records_when_it_becomes_short(
    control, book, registry
):
    """Guards against records and usual origins that are forgotten while their streams run."""
    long_s = 4 * origin_control.MIN_KEEP_S
    register(registry, "e-0", "v1")
    control.on_table(make_table(make_route(timeout_ms=1000 * long_s)))
    keep_s = origin_control.KEEP_TIMEOUTS * long_s
    control.start_leading(0.0)
    await tick(control, 0.0)
    control.on_table(make_table(make_route()))
    book.record(StreamRecord("s", "r", V2))
    registry.depart("e-0", 2)
    for now in range(1, int(keep_s)):
        await tick(control, float(now))
    assert book.find("s") is not None and usual(book) == V1
    await tick(control, keep_s + 1)
    assert control.keep_s == origin_control.MIN_KEEP_S


async def test_routes_without_streams_have_no_usual_origin(control, book, registry):
    register(registry, "e-0", "v1")
    control.on_table(make_table(evolve(make_route(), kind=RouteKind.SAFE)))
    await tick(control, 0.0)
    assert not book.state.usual


@pytest.mark.parametrize(
    ("location", "origin"),
    [
        ("h/chats/1", V1),
        ("h/chats/", V1),
        ("h/chats/long/1", V2),
        ("h/chats/long", V1),
        ("h/chats/longer/1", V1),
        ("h/chats", None),
        ("h/other/1", None),
        ("i/chats/1", None),
        ("", None),
    ],
)
def test_a_request_has_the_usual_origin_of_the_longest_prefix(location, origin):
    assert usual_origin({"h/chats/": V1, "h/chats/long/": V2}, location) == origin


def test_the_location_of_a_request_has_no_query():
    assert request_location("H", "/Chats/1?a=/chats/long/") == "h/Chats/1"


async def test_streams_that_cannot_be_known_have_no_origin(control, book, registry):
    register(registry, "e-0", "v1")
    await tick(control, 0.0)
    key = "h/chats/1"
    unnamed, named = calls.FindOrigin(key), calls.FindOrigin(key, "s", "r")
    assert await control.on_find(unnamed) == calls.OriginFound(V1)
    assert await control.on_find(named) == calls.OriginFound(V1)
    book.record(StreamRecord("s", "r", V2))
    assert await control.on_find(unnamed) == calls.OriginFound(None)
    assert await control.on_find(named) == calls.OriginFound(V2)
    assert (await control.on_find(calls.FindOrigin(key, "s", "q"))).is_other
    assert await control.on_find(calls.FindOrigin("other", "t")) == calls.OriginFound(None)
