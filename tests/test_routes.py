"""Tests of the route table."""

from __future__ import annotations

import random

import pytest
from attrs import evolve

from apricotvale.routes import Backend, Route, RouteKind, RouteTable, Service, check_table
from apricotvale.routes.table import choose_services

DESK = Route("desk", "Desk.example", "/fees/", RouteKind.SAFE, (Backend("desk", 1),), 1500.0)
CHECKS = evolve(DESK, name="checks", prefix="/fees/checks/", backends=(Backend("other", 1),))


@pytest.fixture
def table():
    services = {name: Service(name) for name in ("desk", "other")}
    return RouteTable(3, (DESK, CHECKS), services)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("desk.example", "/fees/1", "desk"),
        ("DESK.EXAMPLE", "/fees/checks/1", "checks"),
        ("desk.example", "/fees/checks", "desk"),
        ("desk.example", "/fee", None),
        ("other.example", "/fees/1", None),
    ],
)
def test_longest_prefix_of_the_host_wins(table, host, path, name):
    route = table.match(host, path)
    assert (route.name if route else None) == name


def test_valid_table_has_no_problems(table):
    assert check_table(table) == []


@pytest.mark.parametrize(
    ("changed", "problem"),
    [
        (evolve(CHECKS, prefix="/fees/"), "same host and prefix"),
        (evolve(CHECKS, host="desk.EXAMPLE", prefix="/fees/"), "same host and prefix"),
        (evolve(CHECKS, timeout_ms=0.0), "timeout"),
        (evolve(CHECKS, backends=(Backend("gone", 1),)), "unknown service"),
        (evolve(CHECKS, backends=(Backend("desk", 0),)), "weights"),
        (evolve(CHECKS, backends=(Backend("desk", 2), Backend("other", -1))), "negative"),
        (evolve(CHECKS, prefix="/fees"), "slash"),
    ],
)
def test_invalid_route_is_reported(table, changed, problem):
    problems = check_table(evolve(table, routes=(DESK, changed)))
    assert any(problem in text for text in problems)


def test_services_are_chosen_by_weight():
    route = evolve(DESK, backends=(Backend("desk", 90), Backend("other", 10), Backend("no", 0)))
    rng = random.Random(1)
    drawn = [choose_services(route, rng.random) for _ in range(2000)]
    first = sum(services[0] == "desk" for services in drawn)
    assert 1700 < first < 1900
    assert all(sorted(services) == ["desk", "other"] for services in drawn)
