"""The route table, with request matching, validation and weighted choice of services."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from attrs import field, frozen

from apricotvale.customers.table import CustomerTable, check_customers


class RouteKind(StrEnum):
    """How requests of a route are executed and whether they may be repeated.

    SAFE requests may run more than once, UNSAFE ones at most once. STREAM routes answer with an
    event stream. JOB routes accept jobs.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    JOB = "job"


@frozen
class Backend:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: int


@frozen
class Route:
    """A rule that sends requests of a host under a path prefix to services.

    :param timeout_ms: maximum time until a caller is answered.
    :param objective_ms: latency objective of an answer.
    :param max_attempts: maximum number of upstreams on which one request may run.
    :param resumable: whether another upstream may resume an interrupted stream.
    :param single_version: whether a sample must come from a single weight version.
    :param job_deadline_ms: time from a job's submission until all its results are due.
    :param keep_ms: time from a job's submission after which its items may be abandoned.
    :param is_public: whether its requests need no key.
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
    is_public: bool = False

    def leads_to(self, service: str) -> bool:
        """Return whether some of the route's requests go to a service."""
        return any(b.service == service and b.weight > 0 for b in self.backends)


@frozen
class Engine:
    """Properties of a service whose upstreams are model engines.

    :param memory_tokens: tokens that fit in an engine's memory, 0 if unknown.
    """

    models: tuple[str, ...] = ()
    memory_tokens: int = 0


@frozen
class Service:
    """A group of interchangeable upstreams.

    :param engine: set if the upstreams are model engines.
    """

    name: str
    engine: Engine | None = None


@frozen
class Limits:
    """Limits on requests from callers.

    :param max_header_bytes: size of the header fields.
    :param header_timeout_ms: time from the first byte of a request to the end of its header fields.
    :param idle_timeout_ms: time for which a connection may be idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 15_000.0


@frozen
class RouteTable:
    """All routes and services; a table is replaced only by one with a greater version.

    :param customers: None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = field(factory=Limits)
    customers: CustomerTable | None = None
    by_host: dict[str, list[Route]] = field(init=False, eq=False, repr=False)

    @by_host.default
    def index_by_host(self) -> dict[str, list[Route]]:
        """Return the routes by lower-case host, longest prefix first."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        return routes_by_host

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, None if there is none."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def knows_host(self, host: str) -> bool:
        """Return whether the table has a route for a host."""
        return host.lower() in self.by_host


def check_table(table: RouteTable) -> list[str]:
    """Validate a table; return its problems, an empty list if it is valid."""
    problems = check_customers(table.customers.customers) if table.customers else []
    seen: set[tuple[str, str]] = set()
    for route in table.routes:
        key = (route.host.lower(), route.prefix)
        if key in seen:
            problems.append(
                f"{route.name}: another route has the same host and prefix {route.prefix!r}"
            )
        seen.add(key)
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            problems.append(
                f"{route.name}: prefix {route.prefix!r} must begin and end with a slash"
            )
        if route.timeout_ms <= 0:
            problems.append(
                f"{route.name}: the timeout must be positive, not {route.timeout_ms} ms"
            )
        if sum(backend.weight for backend in route.backends) <= 0:
            problems.append(f"{route.name}: the sum of its weights must be positive")
        for backend in route.backends:
            if backend.weight < 0:
                problems.append(
                    f"{route.name}: weight {backend.weight} of {backend.service!r} is negative"
                )
            if backend.service not in table.services:
                problems.append(f"{route.name}: unknown service {backend.service!r}")
    return problems


def choose_services(route: Route, random: Callable[[], float]) -> list[str]:
    """Return the services of a route in a random order, weighted by `Backend.weight`.

    Services with weight 0 are left out.

    :param random: returns a uniform number in [0, 1).
    """
    remaining = [backend for backend in route.backends if backend.weight > 0]
    chosen = []
    while remaining:
        offset = random() * sum(backend.weight for backend in remaining)
        for backend in remaining:
            offset -= backend.weight
            if offset < 0:
                break
        remaining.remove(backend)
        chosen.append(backend.service)
    return chosen
