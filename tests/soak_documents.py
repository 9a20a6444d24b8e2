"""Configurations that the operator of a soak sends."""

from __future__ import annotations

import json

from tests.platform_site import table
from tests.stream_callers import CHATS


def route(name, **changes):
    plain = table(1)["routes"][0]
    return {**plain, "name": name, "path_prefix": f"/{name}/", **changes}


def configuration(version, added, **changes):
    """Return the document of a configuration with a route for each of the versions in `added`."""
    routes = [*table(version)["routes"], CHATS, *(route(f"v{number}") for number in added)]
    return json.dumps(table(version, routes=routes, **changes)).encode()


def invalid_configurations(version):
    """Return invalid documents, each with a route that must never be served."""
    bad = route(f"bad{version}")
    base = table(version)
    others = [
        route("x", service="unknown"),
        route("x", timeout_ms=0),
        {**bad, "name": "x"},
        route("x", backends=[{"service": "desk", "weight": 0}]),
    ]
    documents = [{**base, "routes": [*base["routes"], bad, other]} for other in others]
    bodies = [json.dumps(document).encode() for document in documents]
    return [*bodies, bodies[0][:-9]]
