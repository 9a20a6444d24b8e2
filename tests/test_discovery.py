"""Tests of the upstream registry: late heartbeats, restarts, reused addresses and deltas."""

from __future__ import annotations

import itertools

import pytest
from attrs import evolve

from apricotvale.discovery import Registry, RegistryState, RegistryView, Standing, Upstream
from apricotvale.discovery import registry as registry_module

FIRST = Upstream("i-1", 1000, 1, "desk", "10.0.0.1:80", "szeged", 6, Standing.READY)


@pytest.fixture
def registry():
    registry = Registry(RegistryState())
    assert registry.announce(FIRST, 1)
    return registry


def test_unchanged_heartbeat_does_not_change_the_registry(registry):
    assert not registry.is_change(evolve(FIRST, sequence=2))
    assert not registry.announce(evolve(FIRST, sequence=2), 2)
    assert registry.state.position == 1


def test_late_heartbeat_does_not_undo_draining(registry):
    assert registry.announce(evolve(FIRST, sequence=5, standing=Standing.DRAINING), 2)
    assert not registry.announce(evolve(FIRST, sequence=4), 3)
    assert registry.state.upstreams["i-1"].standing is Standing.DRAINING


def test_restart_under_the_same_id_replaces_the_incarnation(registry):
    assert registry.announce(evolve(FIRST, sequence=9, standing=Standing.DRAINING), 2)
    restarted = evolve(FIRST, born_ms=2000, sequence=1)
    assert registry.announce(restarted, 3)
    assert not registry.announce(evolve(FIRST, sequence=10), 4)
    assert registry.state.upstreams["i-1"].incarnation == restarted.incarnation


def test_heartbeats_of_a_departed_incarnation_are_ignored(registry):
    assert registry.depart("i-1", 2)
    assert not registry.announce(evolve(FIRST, sequence=2), 3)
    assert registry.announce(evolve(FIRST, born_ms=2000), 4)
    assert not registry.depart("i-9", 5)


def test_address_belongs_to_the_youngest_upstream(registry):
    successor = evolve(FIRST, upstream_id="i-2", born_ms=5000, service="other")
    assert registry.announce(successor, 2)
    assert not registry.announce(evolve(FIRST, sequence=7), 3)
    assert list(registry.state.upstreams) == ["i-2"]


@pytest.mark.parametrize("later", ["v2", ""])
def test_an_incarnation_keeps_its_software(registry, later):
    """Guards against a heartbeat of another writer, or without a version."""
    assert registry.announce(evolve(FIRST, sequence=2, software="v1"), 2)
    assert not registry.announce(evolve(FIRST, sequence=3, software=later), 3)
    assert registry.state.upstreams["i-1"].software == "v1"
    assert registry.announce(evolve(FIRST, born_ms=2000, software=later), 4)
    assert registry.state.upstreams["i-1"].software == later


def test_heartbeat_makes_a_silent_upstream_ready(registry):
    assert registry.mark_silent("i-1", 1000, 1, 2)
    assert not registry.mark_silent("i-1", 1000, 1, 3)
    assert registry.announce(evolve(FIRST, sequence=2), 4)
    assert registry.state.upstreams["i-1"].standing is Standing.READY


def test_upstream_with_a_later_heartbeat_is_not_silenced(registry):
    registry.announce(evolve(FIRST, sequence=3, capacity=7), 2)
    assert not registry.mark_silent("i-1", 1000, 1, 3)


def test_deltas_from_any_position_update_views(monkeypatch):
    monkeypatch.setattr(registry_module, "MAX_DEPARTED", 3)
    registry = Registry(RegistryState())
    views = [RegistryView() for _ in range(6)]
    position = itertools.count(1)
    for number in range(40):
        upstream = evolve(FIRST, upstream_id=f"i-{number}", address=f"10.0.0.{number}:80")
        registry.announce(upstream, next(position))
        if number >= 3:
            registry.depart(f"i-{number - 3}", next(position))
        for index, view in enumerate(views):
            if number % (index + 1) == 0:
                view.apply(registry.since(view.position))
                assert view.upstreams == registry.state.upstreams


def test_older_delta_is_ignored(registry):
    view = RegistryView()
    old = registry.since(-1)
    registry.announce(evolve(FIRST, sequence=2, standing=Standing.DRAINING), 2)
    view.apply(registry.since(-1))
    view.apply(old)
    assert view.ready("desk") == []


def test_a_heartbeat_without_start_time_is_foreign_beside_upstreams_that_state_one(registry):
    """Guards against another writer's heartbeat that registers or replaces an upstream."""
    assert registry.is_foreign(evolve(FIRST, upstream_id="i-2", born_ms=0))
    assert not registry.is_foreign(evolve(FIRST, upstream_id="i-2", born_ms=1))
    registry.depart("i-1", 2)
    assert not registry.is_foreign(evolve(FIRST, upstream_id="i-2", born_ms=0))
