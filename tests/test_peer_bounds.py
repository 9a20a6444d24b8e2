"""Which connections and heads a process accepts, and which it closes to make room."""

from __future__ import annotations

import pytest

from apricotvale.requests.held_bytes import BYTES_PER_MIB, ByteBudget, parsed_cost
from apricotvale.requests.peer_bounds import (
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
        bounds.admit(connection)
        bounds.enter(connection, phase)
        return connection

    return make


def test_without_known_limits_nothing_is_bounded(connect, closed):
    bounds = PeerBounds()
    for number in range(1000):
        connection = connect(bounds, number, Phase.HEAD)
        assert bounds.claim_head(connection, 10**9)
    assert closed == [] and bounds.open_connections == 1000


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
        bounds.enter(large, Phase.ANSWER)
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


def test_short_lines_cost_more_than_their_bytes():
    assert head_cost(b"a:b\r\n" * 100) > 50_000
    assert head_cost(b"x" * 500) == 1000


def test_bounds_follow_the_memory_and_the_descriptors():
    held = ByteBudget(5)
    bounds = make_bounds(160, held)
    assert bounds.held is held
    assert bounds.heads.limit == 20 * BYTES_PER_MIB


def test_a_document_is_counted_by_its_values():
    assert parsed_cost(b'{"a":[1,2,3]}') == 4 * 96
    assert parsed_cost(b'"' + b"x" * 1000 + b'"') == 0
