"""The table of routes: what it holds, how a request finds its route, and what makes it invalid."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from attrs import field, frozen


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    JOB = "job"


@frozen
class Backend:
    """A service that gets a share of a route's requests."""

    service: str
    weight: int


@frozen
class Route:
    """Where the requests of a host under a path prefix go.

    :param timeout_ms: longest time that a caller is kept waiting.
    :param objective_ms: latency objective of an answer.
    :param max_attempts: most upstreams to which one request is sent.
    :param resumable: whether a stream may go on at another upstream.
    :param single_version: whether one weight version must produce a whole sample.
    :param job_deadline_ms: when all results of a job are due, from its submission.
    :param keep_ms: from when on a job's item may be given up, from its submission.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout_ms: float
    objective_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    single_version: bool = False
    job_deadline_ms: float = 0.0
    keep_ms: float = 0.0


@frozen
class Engine:
    """What a service's upstreams share if they are model engines."""

    models: tuple[str, ...] = ()


@frozen
class Service:
    """A group of upstreams that answer alike."""

    name: str
    engine: Engine | None = None


@frozen
class Limits:
    """What a caller may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 32 * 1024 * 1024
    idle_timeout_ms: float = 15_000.0


@frozen
class RouteTable:
    """One version of all routes and services; a greater version replaces a smaller one."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = field(factory=Limits)
    by_host: dict[str, list[Route]] = field(init=False, eq=False, repr=False)

    @by_host.default
    def index_by_host(self) -> dict[str, list[Route]]:
        """Return the routes of each host, longest prefix first."""
        found: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            found.setdefault(route.host.lower(), []).append(route)
        return found

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def knows_host(self, host: str) -> bool:
        """Return whether any route has this host."""
        return host.lower() in self.by_host


def check_table(table: RouteTable) -> list[str]:
    """Return what is wrong with a table; nothing if it may be accepted."""
    problems = []
    seen: set[tuple[str, str]] = set()
    for route in table.routes:
        place = (route.host.lower(), route.prefix)
        if place in seen:
            problems.append(f"{route.name}: another route has the same host and prefix")
        seen.add(place)
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            problems.append(f"{route.name}: the prefix must begin and end with a slash")
        if route.timeout_ms <= 0:
            problems.append(f"{route.name}: the timeout must be positive")
        if sum(backend.weight for backend in route.backends) <= 0:
            problems.append(f"{route.name}: the weights add up to 0")
        for backend in route.backends:
            if backend.weight < 0:
                problems.append(f"{route.name}: a weight is negative")
            if backend.service not in table.services:
                problems.append(f"{route.name}: unknown service {backend.service!r}")
    return problems


def choose_services(route: Route, random: Callable[[], float]) -> list[str]:
    """Return the services of a route in the order to try them, drawn by their weights."""
    left = [backend for backend in route.backends if backend.weight > 0]
    chosen = []
    while left:
        point = random() * sum(backend.weight for backend in left)
        for backend in left:
            point -= backend.weight
            if point < 0:
                break
        left.remove(backend)
        chosen.append(backend.service)
    return chosen
