"""Bodies of the platform's interface, decoded into the product's types and back."""

from __future__ import annotations

import base64
import binascii
import json
from typing import Any

from apricotvale.discovery import Standing, Upstream
from apricotvale.exceptions import BadInputError, bad_input
from apricotvale.fleet import calls
from apricotvale.jobs import Item, ItemState, Job, Result, RewardCall
from apricotvale.platform import names
from apricotvale.routes import (
    Backend,
    Engine,
    Limits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    check_table,
)
from apricotvale.weights.orders import EngineReport, LoadMode, LoadOrder

ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
    "rollout": RouteKind.JOB,
}
STANDINGS = {"ready": Standing.READY, "draining": Standing.DRAINING}
ITEM_STATES = {ItemState.COMPLETED: "completed", ItemState.FAILED: "errored"}
LOAD_MODES = {LoadMode.FINISH: "hold", LoadMode.CONTINUE: "retain"}


def read_json(body: bytes) -> dict[str, Any]:
    """Return a JSON object; raise BadInputError for anything else."""
    with bad_input():
        document = json.loads(body)
    if not isinstance(document, dict):
        raise BadInputError("not an object")
    return document


def typed(document: dict[str, Any], name: str, kind: type, default: Any = ...) -> Any:
    """Return a field of a given type; raise BadInputError if it is missing or of another type.

    A whole number passes for a number, but a truth value does not.
    """
    value = document.get(name, default)
    if value is ...:
        raise BadInputError(f"{name} is missing")
    if value is default:
        return value
    wanted = (int, float) if kind is float else kind
    if isinstance(value, bool) and kind is not bool or not isinstance(value, wanted):
        raise BadInputError(f"{name} is not of type {kind.__name__}")
    return value


# -- the table of routes


def parse_table(body: bytes) -> RouteTable:
    """Return the table of a document; raise BadInputError if it is invalid."""
    document = read_json(body)
    routes = tuple(parse_route(entry) for entry in typed(document, "routes", list))
    services = [parse_service(entry) for entry in typed(document, "services", list)]
    limits, usual = typed(document, "limits", dict, {}), Limits()
    table = RouteTable(
        typed(document, "version", int),
        routes,
        {service.name: service for service in services},
        Limits(
            typed(limits, "max_header_bytes", int, usual.max_header_bytes),
            typed(limits, "max_body_bytes", int, usual.max_body_bytes),
            typed(limits, "idle_timeout_ms", float, usual.idle_timeout_ms),
        ),
    )
    problems = check_table(table)
    if problems:
        raise BadInputError("; ".join(problems))
    return table


def parse_route(entry: Any) -> Route:
    """Return one route."""
    if not isinstance(entry, dict):
        raise BadInputError("a route is not an object")
    kind = ROUTE_KINDS.get(typed(entry, "type", str))
    if kind is None:
        raise BadInputError(f"unknown type of route {entry['type']!r}")
    name = typed(entry, "name", str)
    return Route(
        name,
        typed(entry, "hostname", str),
        typed(entry, "path_prefix", str),
        kind,
        parse_backends(entry),
        # A route of jobs may have no timeout: its items have none.
        typed(entry, "timeout_ms", float),
        typed(entry, "target_latency_ms", float, 0.0),
        typed(entry, "max_attempts", int, 1),
        typed(entry, "priority", int, 0),
        typed(entry, "resumable", bool, False),
        typed(entry, "single_version", bool, False),
        typed(entry, "run_deadline_ms", float, 0.0),
        typed(entry, "keep_s", float, 0.0) * 1000,
    )


def parse_backends(entry: dict[str, Any]) -> tuple[Backend, ...]:
    """Return a route's services: one by name, or several with weights."""
    split = typed(entry, "backends", list, None)
    if split is None:
        return (Backend(typed(entry, "service", str), 1),)
    with bad_input():
        return tuple(
            Backend(typed(part, "service", str), typed(part, "weight", int)) for part in split
        )


def parse_service(entry: Any) -> Service:
    """Return one service; only model engines have an engine."""
    if not isinstance(entry, dict):
        raise BadInputError("a service is not an object")
    engine = typed(entry, "engine", dict, None)
    if engine is None:
        return Service(typed(entry, "name", str))
    models = [typed(model, "name", str) for model in typed(engine, "models", list, [])]
    return Service(typed(entry, "name", str), Engine(tuple(models)))


# -- upstreams


def parse_heartbeat(upstream_id: str, body: bytes) -> Upstream:
    """Return the upstream that a heartbeat describes."""
    document = read_json(body)
    standing = STANDINGS.get(typed(document, "state", str))
    if standing is None:
        raise BadInputError(f"unknown state {document['state']!r}")
    address = typed(document, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise BadInputError(f"{address!r} is not an address")
    return Upstream(
        upstream_id,
        # Not every deployment's upstreams state it: those have a new id at each start.
        typed(document, "born", int, 0),
        typed(document, "sequence", int),
        typed(document, "service", str),
        address,
        typed(document, "zone", str),
        typed(document, "capacity", int),
        standing,
        typed(document, "version", str, ""),
        parse_models(document),
    )


def parse_models(document: dict[str, Any]) -> dict[str, int]:
    """Return the weight version of each model."""
    with bad_input():
        return {
            typed(model, "name", str): typed(model, "version", int)
            for model in typed(document, "models", list, [])
        }


def parse_report(body: bytes) -> EngineReport:
    """Return an engine's report. Its `sequence` counts orders, that of a heartbeat heartbeats."""
    document = read_json(body)
    return EngineReport(
        typed(document, "sequence", int), typed(document, "busy", bool), parse_models(document)
    )


def format_order(order: LoadOrder) -> dict[str, Any]:
    """Return the body of a load order."""
    return {
        "operation": "version",
        "model": order.model,
        "version": order.version,
        "mode": LOAD_MODES[order.mode],
        "holder": order.holder,
        "fencing_token": order.fencing_token,
        "precondition": order.after_orders,
    }


def parse_version(body: bytes) -> calls.PublishVersion:
    """Return the version that a trainer names."""
    document = read_json(body)
    return calls.PublishVersion(typed(document, "model", str), typed(document, "version", int))


# -- jobs


def parse_job(job_id: str, host: str, path: str, body: bytes) -> Job:
    """Return a submitted job."""
    document = read_json(body)
    items = tuple(parse_item(entry) for entry in typed(document, "items", list))
    if len({item.item_id for item in items}) != len(items):
        raise BadInputError("two items have the same id")
    return Job(
        job_id,
        host,
        path,
        items,
        typed(document, "step", int, -1),
        typed(document, "model", str, ""),
        typed(document, "min_version", int, 0),
        typed(document, "target_groups", int, 0),
    )


def parse_item(entry: Any) -> Item:
    """Return one item of a job."""
    if not isinstance(entry, dict):
        raise BadInputError("an item is not an object")
    headers = typed(entry, "headers", dict, {})
    if not all(isinstance(value, str) for value in headers.values()):
        raise BadInputError("a header of an item is not text")
    scorer = typed(entry, "scorer", dict, None)
    return Item(
        typed(entry, "id", str),
        typed(entry, "path", str),
        headers,
        decode_base64(typed(entry, "body", str, "")),
        typed(entry, "tokens", int, 0),
        parse_estimate(headers.get(names.LENGTH_HINT, "")),
        typed(entry, "group", str, ""),
        parse_scorer(scorer) if scorer is not None else None,
    )


def parse_estimate(text: str) -> int:
    """Return the estimated length of an item's output, 0 if there is none."""
    return int(text) if text.isascii() and text.isdigit() else 0


def parse_scorer(entry: dict[str, Any]) -> RewardCall:
    """Return the reward call of an item."""
    return RewardCall(
        typed(entry, "id", str),
        typed(entry, "hostname", str),
        typed(entry, "path", str),
        decode_base64(typed(entry, "body", str, "")),
    )


def decode_base64(text: str) -> bytes:
    """Return the bytes of a body."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise BadInputError(f"a body is not base64: {error}") from error


def format_results(read: calls.ResultsRead) -> dict[str, Any]:
    """Return the body of an answer with results."""
    return {
        "total": read.total,
        "next": read.next_position,
        "results": [format_result(result) for result in read.results],
    }


def format_result(result: Result) -> dict[str, Any]:
    """Return one result."""
    document: dict[str, Any] = {"id": result.item_id, "state": ITEM_STATES[result.state]}
    if result.state is ItemState.COMPLETED:
        document["output"] = result.output.decode("utf-8", "surrogateescape")
        document["versions"] = result.versions
        if result.score:
            document["score"] = result.score
    return document
