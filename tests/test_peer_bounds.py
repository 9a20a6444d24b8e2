"""Which connections and heads a process accepts, and which it closes to make room."""

from __future__ import annotations

import pytest

from apricotvale.requests.held_bytes import BYTES_PER_MIB, ByteBudget, parsed_cost
from apricotvale.requests.peer_bounds import (
    MIN_BODY_WAIT_S,
    SMALL_HEAD_COST,
    ConnectionState,
    PeerBounds,
    Phase,
    head_cost,
    make_bounds,
)


@pytest.fixture
def closed():
    """The names of the connections that were closed, in order."""
    return []


@pytest.fixture
def connect(closed):
    def make(bounds, name, phase=Phase.FIRST_REQUEST):
        connection = ConnectionState(lambda why: closed.append(name))
        if bounds.admit(connection, 10.0):
            bounds.enter(connection, phase, 10.0)
            return connection
        return None

    return make


def test_without_known_limits_nothing_is_bounded(connect, closed):
    bounds = PeerBounds()
    for number in range(1000):
        connection = connect(bounds, number, Phase.HEAD)
        assert bounds.claim_head(connection, 10**9)
    assert closed == [] and bounds.open_connections == 1000


def test_the_connection_that_waits_longest_makes_room(connect, closed):
    bounds = PeerBounds(max_connections=3)
    for name in "abc":
        connect(bounds, name)
    connect(bounds, "d")
    connect(bounds, "e")
    assert closed == ["a", "b"] and bounds.open_connections == 3


@pytest.mark.parametrize(
    ("phases", "expected"),
    [
        ((Phase.NEXT_REQUEST, Phase.HEAD, Phase.FIRST_REQUEST), 2),
        ((Phase.NEXT_REQUEST, Phase.HEAD, Phase.ANSWER), 1),
        ((Phase.ANSWER, Phase.NEXT_REQUEST, Phase.BODY), 1),
        ((Phase.FIRST_REQUEST, Phase.REFUSED_BODY, Phase.BODY), 1),
    ],
)
def test_connections_without_a_request_make_room_first(connect, closed, phases, expected):
    bounds = PeerBounds(max_connections=3)
    for number, phase in enumerate(phases):
        connect(bounds, number, phase)
    bounds.advance(1.0)
    assert connect(bounds, "new") is not None
    assert closed == [expected]


def test_a_request_at_work_makes_no_room(connect, closed):
    """Guards against answers that are cut in favour of a connection that may send nothing."""
    bounds = PeerBounds(max_connections=2)
    for name in "ab":
        connect(bounds, name, Phase.ANSWER)
    assert connect(bounds, "new") is None
    assert closed == [] and bounds.open_connections == 2


def test_a_body_makes_room_only_once_it_has_stalled(connect, closed):
    bounds = PeerBounds(max_connections=1)
    connect(bounds, "a", Phase.BODY)
    assert connect(bounds, "b") is None
    bounds.advance(MIN_BODY_WAIT_S)
    assert connect(bounds, "c") is not None
    assert closed == ["a"]


def test_a_closed_connection_is_counted_no_more(connect):
    bounds = PeerBounds(max_connections=1)
    first = connect(bounds, "a")
    bounds.remove(first)
    bounds.enter(first, Phase.ANSWER, 1.0)
    assert bounds.open_connections == 0
    assert connect(bounds, "b") is not None


def test_the_oldest_partial_heads_make_room_for_others(connect, closed):
    bounds = PeerBounds(heads=ByteBudget(400_000))
    for name in "abc":
        assert bounds.claim_head(connect(bounds, name, Phase.HEAD), 80_000)
    assert closed == ["a"]
    assert bounds.heads.held == 160_000


def test_large_heads_leave_room_for_small_ones(connect, closed):
    bounds = PeerBounds(heads=ByteBudget(400_000))
    for name in "ab":
        large = connect(bounds, name, Phase.HEAD)
        assert bounds.claim_head(large, 100_000)
        bounds.enter(large, Phase.ANSWER, 10.0)
    assert not bounds.claim_head(connect(bounds, "c", Phase.HEAD), 100_000)
    for name in range(6):
        assert bounds.claim_head(connect(bounds, name, Phase.HEAD), SMALL_HEAD_COST)
    assert closed == []


def test_a_head_is_counted_until_its_answer_is_sent(connect):
    bounds = PeerBounds(heads=ByteBudget(100_000))
    connection = connect(bounds, "a", Phase.HEAD)
    assert bounds.claim_head(connection, 20_000) and bounds.claim_head(connection, 10_000)
    assert bounds.heads.held == 30_000
    bounds.release_head(connection)
    bounds.remove(connection)
    assert bounds.heads.held == 0


def test_time_in_suspension_does_not_count():
    bounds = PeerBounds()
    bounds.advance(1000.0)
    began = bounds.now
    bounds.advance(1000.5)
    bounds.advance(1060.0)
    bounds.advance(1059.0)
    assert bounds.now == pytest.approx(began + 1.5)


def test_short_lines_cost_more_than_their_bytes():
    assert head_cost(b"a:b\r\n" * 100) > 50_000
    assert head_cost(b"x" * 500) == 1000


def test_bounds_follow_the_memory_and_the_descriptors():
    held = ByteBudget(5)
    bounds = make_bounds(160, 4100, held)
    assert bounds.held is held
    assert bounds.heads.limit == 20 * BYTES_PER_MIB
    assert bounds.max_connections == 1640


def test_a_document_is_counted_by_its_values():
    assert parsed_cost(b'{"a":[1,2,3]}') == 4 * 96
    assert parsed_cost(b'"' + b"x" * 1000 + b'"') == 0
