"""Who a caller is, which jobs it may see, and how urgent its work is."""

from __future__ import annotations

from attrs import frozen

from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.routes import Route, RouteTable


@frozen
class Caller:
    """An identified caller.

    :param customer: name of the customer, empty on public routes and without customers.
    :param priority: the customer's priority, None if not stated.
    """

    customer: str = ""
    priority: int | None = None


def identify(table: RouteTable, route: Route | None, key: str) -> Caller | Refusal:
    """Return the caller of a request, or a refusal if the request needs a key and has no valid one.

    Load pattern: callers keep sending with keys that were removed or are not in force yet. Each
    such request costs one dictionary access, before its body is read.

    :param route: None for a request that belongs to no route, such as a read of a job.
    :param key: the key that the request carries, empty if it has none.
    """
    if table.customers is None or (route is not None and route.is_public):
        return Caller()
    customer = table.customers.by_key.get(key)
    if customer is None:
        return not_run(Reason.UNKNOWN_KEY, "the request has no key, or one that is not known")
    return Caller(customer.name, customer.priority)


def job_customer(table: RouteTable, key: str) -> str | None:
    """Return the customer in whose name a caller submits or reads jobs.

    None stands for a table without customers, under which every caller may access every job. The
    name is empty for an unknown key, with which jobs can be submitted on public routes only.
    """
    if table.customers is None:
        return None
    customer = table.customers.by_key.get(key)
    return customer.name if customer else ""


def may_access(owner: str, customer: str | None) -> bool:
    """Return whether a caller may access a job.

    :param owner: customer of the job. A job without one was accepted before customers were in force
        or on a public route without a key; it is open to all.
    :param customer: customer of the caller, None if access is not checked.
    """
    return customer is None or not owner or owner == customer


def upstream_customer(table: RouteTable | None, route: Route, customer: str) -> str | None:
    """Return the customer that an upstream is told, as in `Call.customer`.

    None leaves the header fields unchanged and empty text removes them. A job keeps its customer
    when a newer table no longer has that customer, or has none at all.
    """
    if customer and not route.is_public:
        return customer
    return None if table is None or table.customers is None else ""


def urgency(table: RouteTable, route: Route, customer: str) -> int:
    """Return the urgency of a customer's work on a route; smaller is more urgent.

    The priority of the customer takes precedence over that of the route. Requests on public routes
    have no customer.
    """
    found = table.customers.by_name.get(customer) if table.customers else None
    if found is None or found.priority is None or route.is_public:
        return route.priority
    return found.priority
