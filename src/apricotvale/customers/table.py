"""The customers of a configuration and their keys."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import field, frozen


@frozen
class Customer:
    """A customer.

    :param keys: the keys that identify it, not shown in the representation, which may be logged.
    :param priority: takes precedence over that of the route, None if not stated.
    """

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None


@frozen
class CustomerTable:
    """All customers; invalid if `check_customers` finds a problem with them.

    Load pattern: each request is identified by its key, with up to 10,000 customers. A lookup is
    one dictionary access.
    """

    customers: tuple[Customer, ...] = field(repr=lambda customers: f"<{len(customers)}>")
    by_key: dict[str, Customer] = field(init=False, eq=False, repr=False)
    by_name: dict[str, Customer] = field(init=False, eq=False, repr=False)

    @by_key.default
    def index_by_key(self) -> dict[str, Customer]:
        """Return the customers by key."""
        return {key: customer for customer in self.customers for key in customer.keys}

    @by_name.default
    def index_by_name(self) -> dict[str, Customer]:
        """Return the customers by name."""
        return {customer.name: customer for customer in self.customers}


def check_customers(customers: Iterable[Customer]) -> list[str]:
    """Validate customers; return the problems, an empty list if they are valid.

    The problems are logged and shown to the caller, so they name customers but no keys.
    """
    problems = []
    names: set[str] = set()
    owner_by_key: dict[str, str] = {}
    for customer in customers:
        if not is_sendable(customer.name):
            problems.append(
                f"customer {customer.name!r}: the name is empty, has spaces around it or has "
                "characters that a header field cannot carry"
            )
        if customer.name in names:
            problems.append(f"customer {customer.name!r} is named twice")
        names.add(customer.name)
        if "" in customer.keys:
            # An empty key would identify every request without a key.
            problems.append(f"customer {customer.name!r} has an empty key")
        for key in customer.keys:
            owner = owner_by_key.setdefault(key, customer.name)
            if owner != customer.name:
                problems.append(f"customers {owner!r} and {customer.name!r} share a key")
    return problems


def is_sendable(name: str) -> bool:
    """Return whether a customer's name arrives unchanged as the value of a header field."""
    return bool(name) and name.isprintable() and name.strip() == name
