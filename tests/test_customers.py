"""Customers and keys: invalid tables, identification of callers, access to jobs, urgency."""

from __future__ import annotations

import json
import time

import pytest
from attrs import evolve

from apricotvale.codec import decode, encode
from apricotvale.customers.access import (
    Caller,
    identify,
    job_customer,
    may_access,
    upstream_customer,
    urgency,
)
from apricotvale.customers.table import Customer, CustomerTable, check_customers
from apricotvale.exceptions import BadInputError
from apricotvale.fleet import calls
from apricotvale.jobs import Job
from apricotvale.jobs.parts import JobParts
from apricotvale.jobs.store import JobBookState, JobStore
from apricotvale.outcomes import Ran, Reason
from apricotvale.platform import wire
from apricotvale.routes import Backend, Route, RouteKind, RouteTable, Service, check_table

FEES = Route("fees", "h.example", "/fees/", RouteKind.SAFE, (Backend("desk", 1),), 1500.0)
STATUS = evolve(FEES, name="status", prefix="/status/", is_public=True)
NORTH = Customer("north", ("key-n1", "key-n2"), 3)
SOUTH = Customer("south", ("key-s1",))


def make_table(customers=(NORTH, SOUTH)):
    customer_table = None if customers is None else CustomerTable(tuple(customers))
    return RouteTable(1, (FEES, STATUS), {"desk": Service("desk")}, customers=customer_table)


def parse_tenants(tenants):
    document = {"version": 1, "routes": [], "services": [], "tenants": tenants}
    return wire.parse_table(json.dumps(document).encode())


# Tables


def test_customers_are_decoded():
    table = parse_tenants(
        [
            {"name": "north", "api_keys": ["key-n1", "key-n2"], "priority": 3, "novel": 1},
            {"name": "south", "api_keys": ["key-s1"]},
            {"name": "keyless", "api_keys": []},
        ]
    )
    assert table.customers.customers == (NORTH, SOUTH, Customer("keyless"))
    assert table.customers.by_key["key-n2"] == NORTH
    assert table.customers.by_name["south"] == SOUTH


def test_an_empty_list_differs_from_a_missing_one():
    """An empty list that counts as missing would admit every caller without a key."""
    assert parse_tenants([]).customers == CustomerTable(())
    document = {"version": 1, "routes": [], "services": []}
    assert wire.parse_table(json.dumps(document).encode()).customers is None


@pytest.mark.parametrize(
    "tenants",
    [
        None,
        {},
        "north",
        [1],
        [None],
        [{"name": "north"}],
        [{"api_keys": []}],
        [{"name": 1, "api_keys": []}],
        [{"name": "north", "api_keys": "key-n1"}],
        [{"name": "north", "api_keys": [1]}],
        [{"name": "north", "api_keys": [None]}],
        [{"name": "north", "api_keys": [], "priority": "3"}],
        [{"name": "north", "api_keys": [], "priority": 1.5}],
        [{"name": "north", "api_keys": [], "priority": True}],
        [{"name": "north", "api_keys": ["k"]}, {"name": "south", "api_keys": ["k"]}],
        [{"name": "north", "api_keys": ["k"]}, {"name": "north", "api_keys": ["l"]}],
        [{"name": "north", "api_keys": [""]}],
        [{"name": "", "api_keys": ["k"]}],
        [{"name": "no\r\nrth", "api_keys": ["k"]}],
        [{"name": "north ", "api_keys": ["k"]}],
        [{"name": "\ud800", "api_keys": ["k"]}],
    ],
)
def test_an_invalid_list_of_customers_is_rejected(tenants):
    with pytest.raises(BadInputError):
        parse_tenants(tenants)


@pytest.mark.parametrize(
    ("customers", "problem"),
    [
        ([NORTH, evolve(SOUTH, keys=("key-n1",))], "'north' and 'south' share a key"),
        ([NORTH, evolve(SOUTH, name="north")], "'north' is named twice"),
        ([evolve(NORTH, keys=("",))], "'north' has an empty key"),
        ([evolve(NORTH, name="")], "name is empty"),
    ],
)
def test_each_problem_with_customers_is_reported(customers, problem):
    assert any(problem in text for text in check_customers(customers))
    assert any(problem in text for text in check_table(make_table(customers)))


def test_valid_customers_have_no_problems():
    assert check_customers([NORTH, SOUTH, Customer("süd and co")]) == []
    assert check_customers([evolve(SOUTH, keys=("key-s1", "key-s1"))]) == []
    assert check_table(make_table()) == []


@pytest.mark.parametrize(
    "body",
    [
        b'{"tenants": [{"name": "north", "api_keys": ["secret-\xff"]}]}',
        b'{"tenants": [{"name": "north", "api_keys": ["secret-1"]}',
        json.dumps({"version": 1, "routes": [], "services": [], "tenants": ["secret-1"]}).encode(),
        json.dumps(
            {
                "version": 1,
                "routes": [],
                "services": [],
                "tenants": [
                    {"name": "north", "api_keys": ["secret-1"]},
                    {"name": "south", "api_keys": ["secret-1"]},
                ],
            }
        ).encode(),
    ],
)
def test_the_error_of_an_invalid_table_contains_no_key(body):
    """The error is logged, and the error of a body that is not Unicode used to contain the body."""
    with pytest.raises(BadInputError) as caught:
        wire.parse_table(body)
    assert "secret" not in caught.value.format_message() and "secret" not in repr(caught.value)


def test_a_table_that_is_shown_contains_no_key():
    assert "key-" not in repr(make_table()) and "key-" not in repr(NORTH)


# Callers


def test_a_key_identifies_its_customer():
    assert identify(make_table(), FEES, "key-n2") == Caller("north", 3)
    assert identify(make_table(), FEES, "key-s1") == Caller("south", None)
    assert identify(make_table(), None, "key-s1") == Caller("south", None)


@pytest.mark.parametrize("key", ["", "key-n", "KEY-N1", "north"])
@pytest.mark.parametrize("route", [FEES, None])
@pytest.mark.parametrize("customers", [(NORTH, SOUTH), ()])
def test_an_unknown_key_is_refused(customers, route, key):
    refusal = identify(make_table(customers), route, key)
    assert (refusal.reason, refusal.ran, refusal.status) == (Reason.UNKNOWN_KEY, Ran.NOT_RUN, 401)
    assert not key or key not in refusal.detail


@pytest.mark.parametrize("key", ["", "wrong", "key-n1"])
def test_a_public_route_has_no_customer(key):
    assert identify(make_table(), STATUS, key) == Caller()
    assert identify(make_table(()), STATUS, key) == Caller()


def test_no_key_is_needed_without_customers():
    table = make_table(None)
    assert identify(table, FEES, "") == identify(table, None, "key-n1") == Caller()


def test_an_upstream_is_told_the_customer_of_the_caller_or_job():
    table, without = make_table(), make_table(None)
    assert upstream_customer(table, FEES, "north") == "north"
    assert upstream_customer(table, STATUS, "north") == ""
    assert upstream_customer(table, FEES, "") == ""
    assert upstream_customer(without, FEES, "") is None
    # A job keeps its customer when the table changes.
    assert upstream_customer(make_table(()), FEES, "north") == "north"
    assert upstream_customer(without, FEES, "north") == "north"
    assert upstream_customer(None, FEES, "") is None


def lookup_seconds(customer_count):
    """Return the shortest time of 20,000 identifications, half of them with unknown keys."""
    customers = [Customer(f"c-{n}", (f"key-{n}-a", f"key-{n}-b")) for n in range(customer_count)]
    table = make_table(customers)
    step = max(1, customer_count // 10)
    keys = [f"key-{n * step % customer_count}-b" for n in range(10)]
    keys += [f"unknown-{n}" for n in range(10)]
    took = []
    for _ in range(7):
        started = time.perf_counter()
        for _ in range(1_000):
            for key in keys:
                identify(table, FEES, key)
        took.append(time.perf_counter() - started)
    return min(took)


def test_the_time_of_a_lookup_does_not_grow_with_the_customers():
    """A search through the customers would take 1,000 times as long with 10,000 as with 10."""
    assert lookup_seconds(10_000) < 3 * lookup_seconds(10)


# Jobs


def test_a_job_is_accessible_to_its_customer():
    assert may_access("north", "north") and may_access("north", None)
    assert not may_access("north", "south") and not may_access("north", "")


def test_a_job_without_a_customer_is_accessible_to_all():
    assert may_access("", "north") and may_access("", None) and may_access("", "")


def test_a_job_belongs_to_the_customer_of_the_key():
    assert job_customer(make_table(), "key-n2") == "north"
    assert job_customer(make_table(), "wrong") == job_customer(make_table(), "") == ""
    assert job_customer(make_table(None), "key-n1") is None


def test_the_customer_of_a_job_survives_a_snapshot_and_its_end():
    store = JobStore(JobBookState())
    store.accept(Job("j-1", "h", "/drafts/", (), customer="north"), 1)
    store.end("j-1")
    contents = [content for _, content in JobParts().dump(store, lambda part: False)]
    assert JobParts().load(contents).records["j-1"].job.customer == "north"


def test_messages_of_the_previous_build_are_readable():
    """During a rolling upgrade, entries of the previous build send calls without a customer."""
    for call in (
        calls.SubmitJob(Job("j-1", "h", "/drafts/", ())),
        calls.ReadResults("j-1", 0),
        calls.ReadItem("j-1", "i-1"),
        calls.EndJob("j-1"),
    ):
        data = encode(call, calls.FleetRequest)
        assert b"customer" not in data
        assert decode(data, calls.FleetRequest).customer is None


# Urgency


@pytest.mark.parametrize(
    ("customer", "expected"),
    [("north", 3), ("south", 5), ("removed", 5), ("", 5), ("zero", 0), ("negative", -2)],
)
def test_the_priority_of_a_customer_takes_precedence(customer, expected):
    extra = [Customer("zero", ("key-z",), 0), Customer("negative", ("key-m",), -2)]
    assert urgency(make_table([NORTH, SOUTH, *extra]), evolve(FEES, priority=5), customer) == (
        expected
    )


def test_a_public_route_and_a_table_without_customers_have_the_priority_of_the_route():
    assert urgency(make_table(), evolve(STATUS, priority=5), "north") == 5
    assert urgency(make_table(None), evolve(FEES, priority=5), "north") == 5
