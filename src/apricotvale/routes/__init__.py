"""The versioned route table, which maps hosts and path prefixes to services."""

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
