"""Decode and encode the JSON bodies of the platform's interface."""

from __future__ import annotations

import base64
import binascii
import ipaddress
import json
import re
from typing import Any

from apricotvale import events
from apricotvale.customers.table import Customer, CustomerTable
from apricotvale.discovery import Standing, Upstream
from apricotvale.exceptions import BadInputError, bad_input
from apricotvale.fleet import calls
from apricotvale.jobs import Item, ItemState, Job, PromptPart, Result, RewardCall
from apricotvale.numerals import MAX_NUMBER, parse_number
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
from apricotvale.weights.messages import EngineReport, LoadMode, LoadOrder

ROUTE_KIND_BY_NAME = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
    "rollout": RouteKind.JOB,
}
STANDING_BY_NAME = {"ready": Standing.READY, "draining": Standing.DRAINING}
ITEM_STATE_NAMES = {ItemState.COMPLETED: "completed", ItemState.FAILED: "errored"}
MAX_PORT = 65_535
# A header field's name, a field's value without control characters, and a request target.
FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FIELD_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
TARGET = re.compile(r"/[!-~]*")
# Characters of a malformed value that are logged.
MAX_EXCERPT = 80

PROMPT_PART = re.compile(r"([0-9A-Fa-f]{1,128}):([0-9]{1,9})")
# Prompts have two or three parts; a longer list would slow down every choice of an engine.
MAX_PROMPT_PARTS = 32
LOAD_MODE_NAMES = {LoadMode.FINISH: "hold", LoadMode.CONTINUE: "retain"}


def read_json(body: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    :raises BadInputError: if the body is not valid JSON or not an object.
    """
    try:
        with bad_input():
            document = json.loads(body, parse_constant=reject_constant)
    except RecursionError as error:
        raise BadInputError("the body is nested too deeply") from error
    except BadInputError as error:
        if isinstance(error.__cause__, UnicodeDecodeError):
            # Its message contains the whole body, which may hold keys and would be logged.
            raise BadInputError("the body is not valid Unicode") from None
        raise
    if not isinstance(document, dict):
        raise BadInputError("the body is not a JSON object")
    return document


def reject_constant(name: str) -> None:
    """Reject a number that JSON does not have, such as NaN."""
    raise ValueError(f"{name} is not a number of JSON")


def typed_field(document: dict[str, Any], name: str, kind: type, default: Any = ...) -> Any:
    """Return a field of a given type.

    An integer is accepted as a float; a boolean is accepted only as a bool.

    :param default: returned if the field is missing; without one the field is required.
    :raises BadInputError: if a required field is missing, or if the value has another type or
        cannot be encoded in a command.
    """
    value = document.get(name, default)
    if value is ...:
        raise BadInputError(f"field {name!r} is missing")
    if value is default:
        return value
    wanted = (int, float) if kind is float else kind
    if isinstance(value, bool) and kind is not bool or not isinstance(value, wanted):
        raise BadInputError(f"field {name!r} is not of type {kind.__name__}")
    if isinstance(value, str):
        check_text(name, value, may_be_empty=True)
    elif isinstance(value, int | float) and not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise BadInputError(f"field {name!r} is not between -{MAX_NUMBER} and {MAX_NUMBER}")
    return value


def natural_field(document: dict[str, Any], name: str, default: Any = ...) -> int:
    """Return a field that is a non-negative integer and can be encoded in a command."""
    value = typed_field(document, name, int, default)
    if not 0 <= value <= MAX_NUMBER:
        raise BadInputError(f"field {name!r} is not between 0 and 2**63 - 1")
    return int(value)


def duration_field(document: dict[str, Any], name: str) -> float:
    """Return a required field that is a non-negative number of milliseconds."""
    value = typed_field(document, name, float)
    if value < 0:
        raise BadInputError(f"field {name!r} is negative")
    return float(value)


def check_text(name: str, text: str, may_be_empty: bool = False) -> str:
    """Return a text after checking that it can be encoded in a command."""
    if not (text or may_be_empty):
        raise BadInputError(f"field {name!r} is empty")
    with bad_input():
        text.encode()
    return text


def excerpt(text: str) -> str:
    """Return the beginning of a text for an error message, which is logged in one line."""
    return ascii(text[:MAX_EXCERPT])


# Route table


def parse_table(body: bytes) -> RouteTable:
    """Decode and check a route table.

    :raises BadInputError: if the document cannot be decoded or the table is invalid.
    """
    document = read_json(body)
    routes = tuple(parse_route(entry) for entry in typed_field(document, "routes", list))
    services = [parse_service(entry) for entry in typed_field(document, "services", list)]
    limits, defaults = typed_field(document, "limits", dict, {}), Limits()
    table = RouteTable(
        typed_field(document, "version", int),
        routes,
        {service.name: service for service in services},
        Limits(
            typed_field(limits, "max_header_bytes", int, defaults.max_header_bytes),
            typed_field(limits, "max_body_bytes", int, defaults.max_body_bytes),
            typed_field(limits, "header_timeout_ms", float, defaults.header_timeout_ms),
            typed_field(limits, "idle_timeout_ms", float, defaults.idle_timeout_ms),
        ),
        parse_customers(document),
    )
    problems = check_table(table)
    if problems:
        raise BadInputError("; ".join(problems))
    return table


def parse_route(entry: Any) -> Route:
    """Decode one route."""
    if not isinstance(entry, dict):
        raise BadInputError("an entry of 'routes' is not an object")
    kind = ROUTE_KIND_BY_NAME.get(typed_field(entry, "type", str))
    if kind is None:
        raise BadInputError(f"unknown route type {entry['type']!r}")
    name = typed_field(entry, "name", str)
    return Route(
        name,
        typed_field(entry, "hostname", str),
        typed_field(entry, "path_prefix", str),
        kind,
        parse_backends(entry),
        # Required for job routes too, although it does not apply to their items.
        typed_field(entry, "timeout_ms", float),
        typed_field(entry, "target_latency_ms", float, 0.0),
        typed_field(entry, "max_attempts", int, 1),
        typed_field(entry, "priority", int, 0),
        typed_field(entry, "resumable", bool, False),
        typed_field(entry, "single_version", bool, False),
        typed_field(entry, "run_deadline_ms", float, 0.0),
        typed_field(entry, "keep_s", float, 0.0) * 1000,
        typed_field(entry, "public", bool, False),
    )


def parse_backends(entry: dict[str, Any]) -> tuple[Backend, ...]:
    """Decode a route's backends: one service by name, or several with weights."""
    weighted = typed_field(entry, "backends", list, None)
    if weighted is None:
        return (Backend(typed_field(entry, "service", str), 1),)
    with bad_input():
        return tuple(
            Backend(typed_field(part, "service", str), typed_field(part, "weight", int))
            for part in weighted
        )


def parse_service(entry: Any) -> Service:
    """Decode one service; only services of model engines have an `engine` field."""
    if not isinstance(entry, dict):
        raise BadInputError("an entry of 'services' is not an object")
    engine = typed_field(entry, "engine", dict, None)
    if engine is None:
        return Service(typed_field(entry, "name", str))
    models = [typed_field(model, "name", str) for model in typed_field(engine, "models", list, [])]
    memory_tokens = typed_field(engine, "kv_capacity_tokens", int, 0)
    return Service(typed_field(entry, "name", str), Engine(tuple(models), memory_tokens))


def parse_customers(document: dict[str, Any]) -> CustomerTable | None:
    """Decode the customers of a table, None if it has no list of customers.

    A null instead of the list is invalid, since it would admit every caller without a key.
    """
    if "tenants" not in document:
        return None
    entries = typed_field(document, "tenants", list)
    return CustomerTable(tuple(parse_customer(entry) for entry in entries))


def parse_customer(entry: Any) -> Customer:
    """Decode one customer. Errors are logged, so they name no key."""
    if not isinstance(entry, dict):
        raise BadInputError("an entry of 'tenants' is not an object")
    keys = typed_field(entry, "api_keys", list)
    if not all(isinstance(key, str) for key in keys):
        raise BadInputError("a value of 'api_keys' is not a string")
    return Customer(
        typed_field(entry, "name", str),
        tuple(keys),
        typed_field(entry, "priority", int, None),
    )


# Upstreams


def parse_heartbeat(upstream_id: str, body: bytes) -> Upstream:
    """Decode the upstream that a heartbeat describes.

    Load pattern: another program sends heartbeats that lack fields. They name no upstream, so all
    fields that an upstream states are checked, also those that are not used.

    :raises BadInputError: if the heartbeat is invalid.
    """
    document = read_json(body)
    standing = STANDING_BY_NAME.get(typed_field(document, "state", str))
    if standing is None:
        raise BadInputError(f"unknown upstream state {excerpt(document['state'])}")
    check_id(check_text("id", upstream_id))
    # Not used, but a report without it comes from another writer.
    duration_field(document, "cold_remaining_ms")
    return Upstream(
        upstream_id,
        # Upstreams of some deployments omit the start time; those get a new id at each start.
        natural_field(document, "born", 0),
        natural_field(document, "sequence"),
        check_text("service", typed_field(document, "service", str)),
        parse_address(typed_field(document, "address", str)),
        check_text("zone", typed_field(document, "zone", str), may_be_empty=True),
        natural_field(document, "capacity"),
        standing,
        check_text("version", typed_field(document, "version", str), may_be_empty=True),
        parse_models(document, []),
    )


def parse_address(address: str) -> str:
    """Return an address after checking that it consists of an IP address and a port."""
    host, _, port = address.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        parsed = ipaddress.ip_address(host[1:-1] if bracketed else host)
        is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
        is_valid = is_port and bracketed == (parsed.version == 6)
    except ValueError:
        is_valid = False
    if not is_valid:
        raise BadInputError(f"address {excerpt(address)} is not of the form ip:port")
    return address


def parse_models(document: dict[str, Any], default: Any = ...) -> dict[str, int]:
    """Decode the weight version of each model.

    :param default: the models if the field is missing; without it the field is required.
    """
    with bad_input():
        return {
            check_text("name", typed_field(model, "name", str)): natural_field(model, "version")
            for model in typed_field(document, "models", list, default)
        }


def parse_report(body: bytes) -> EngineReport:
    """Decode an engine's report.

    Its `sequence` field counts accepted orders, while that of a heartbeat counts heartbeats.

    :raises BadInputError: if the report is invalid.
    """
    document = read_json(body)
    report = EngineReport(
        natural_field(document, "sequence"),
        typed_field(document, "busy", bool),
        parse_models(document),
        natural_field(document, "born", 0),
    )
    if report.orders < 0 or any(version < 0 for version in report.models.values()):
        raise BadInputError("a number of orders or a version is negative")
    return report


def format_order(order: LoadOrder) -> dict[str, Any]:
    """Encode a load order as a JSON document."""
    return {
        "operation": "version",
        "model": order.model,
        "version": order.version,
        "mode": LOAD_MODE_NAMES[order.mode],
        "holder": order.holder,
        "fencing_token": order.fencing_token,
        "precondition": order.after_orders,
    }


def parse_version(body: bytes) -> calls.PublishVersion:
    """Decode the version that a trainer publishes.

    :raises BadInputError: if the body is invalid.
    """
    document = read_json(body)
    return calls.PublishVersion(
        typed_field(document, "model", str), natural_field(document, "version")
    )


# Jobs


def parse_job(job_id: str, host: str, path: str, body: bytes) -> Job:
    """Decode a submitted job.

    :raises BadInputError: if the body is invalid or two items have the same id.
    """
    document = read_json(body)
    items = tuple(parse_item(entry) for entry in typed_field(document, "items", list))
    if len({item.item_id for item in items}) != len(items):
        raise BadInputError("two items have the same id")
    malformed = [
        item for item in items if item.headers.get(names.PROMPT_PREFIX) and not item.prompt_parts
    ]
    if malformed:
        events.emit(
            events.PROMPT_PARTS_IGNORED,
            job=job_id,
            items=len(malformed),
            first=malformed[0].item_id,
            value=malformed[0].headers[names.PROMPT_PREFIX][:80],
        )
    return Job(
        job_id,
        host,
        path,
        items,
        typed_field(document, "step", int, -1),
        typed_field(document, "model", str, ""),
        natural_field(document, "min_version", 0),
        natural_field(document, "target_groups", 0),
    )


def parse_item(entry: Any) -> Item:
    """Decode one item of a job."""
    if not isinstance(entry, dict):
        raise BadInputError("an entry of 'items' is not an object")
    headers = typed_field(entry, "headers", dict, {})
    for name, value in headers.items():
        check_header(name, value)
    scorer = typed_field(entry, "scorer", dict, None)
    return Item(
        check_id(typed_field(entry, "id", str)),
        check_target(typed_field(entry, "path", str)),
        headers,
        decode_base64(typed_field(entry, "body", str, "")),
        natural_field(entry, "tokens", 0),
        parse_estimate(headers.get(names.LENGTH_HINT, "")),
        typed_field(entry, "group", str, ""),
        parse_scorer(scorer) if scorer is not None else None,
        parse_estimate(headers.get(names.TOKEN_USAGE, "").partition(",")[0]),
        parse_prompt_parts(headers.get(names.PROMPT_PREFIX, "")),
    )


def check_header(name: str, value: Any) -> None:
    """Check a header field that is sent to upstreams; a line break in it would begin another."""
    if not isinstance(value, str):
        raise BadInputError("a header value of an item is not a string")
    check_text("headers", value, may_be_empty=True)
    if not FIELD_NAME.fullmatch(name) or not FIELD_VALUE.fullmatch(value):
        raise BadInputError(f"header field {excerpt(name)} of an item has an invalid name or value")


def check_id(text: str) -> str:
    """Return the id of a request after checking that an upstream can send it back unchanged."""
    if not text or text != text.strip() or not FIELD_VALUE.fullmatch(text):
        raise BadInputError(f"{excerpt(text)} is not the id of a request")
    return text


def check_host(text: str) -> str:
    """Return a host after checking that it can be sent in a header field."""
    if text != text.strip() or not FIELD_VALUE.fullmatch(text):
        raise BadInputError(f"{excerpt(text)} is not the host of a request")
    return text


def check_target(path: str) -> str:
    """Return the target of a request after checking that it fits on a request line."""
    if not TARGET.fullmatch(path):
        raise BadInputError(f"{excerpt(path)} is not the path of a request")
    return path


def parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Parse the parts of a prompt; a malformed list counts as no parts."""
    entries = text.split(",") if text else []
    matches = [PROMPT_PART.fullmatch(entry.strip()) for entry in entries]
    if len(matches) > MAX_PROMPT_PARTS:
        return ()
    parts = [PromptPart(match[1].lower(), int(match[2])) for match in matches if match]
    return tuple(parts) if len(parts) == len(matches) else ()


def parse_estimate(text: str) -> int:
    """Parse a number of tokens that a caller states; 0 if there is no valid number."""
    try:
        return parse_number(text)
    except ValueError:
        return 0


def parse_scorer(entry: dict[str, Any]) -> RewardCall:
    """Decode the reward call of an item."""
    return RewardCall(
        check_id(typed_field(entry, "id", str)),
        check_host(typed_field(entry, "hostname", str)),
        check_target(typed_field(entry, "path", str)),
        decode_base64(typed_field(entry, "body", str, "")),
    )


def decode_base64(text: str) -> bytes:
    """Decode a base64 body.

    :raises BadInputError: if the text is not valid base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise BadInputError(f"a body is not valid base64: {error}") from error


def format_results(read: calls.ResultsRead) -> dict[str, Any]:
    """Encode a page of results as a JSON document."""
    return {
        "total": read.total,
        "next": read.next_position,
        "results": [format_result(result) for result in read.results],
    }


def format_result(result: Result) -> dict[str, Any]:
    """Encode one result; only completed items have output, versions and a score."""
    document: dict[str, Any] = {"id": result.item_id, "state": ITEM_STATE_NAMES[result.state]}
    if result.state is ItemState.COMPLETED:
        document["output"] = result.output.decode("utf-8", "surrogateescape")
        document["versions"] = result.versions
        if result.score:
            document["score"] = result.score
    return document
