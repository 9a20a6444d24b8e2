"""Routes from a host and a path to services, as one numbered table."""

from apricotvale.routes.table import (
    Backend,
    Engine,
    Limits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    check_table,
)

__all__ = [
    "Backend",
    "Engine",
    "Limits",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "check_table",
]
