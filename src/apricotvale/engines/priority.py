"""The urgency of runs that engines are told."""

from __future__ import annotations

from apricotvale.routes import Route, RouteTable

# Values from 0 (first) to 9; an engine assumes 5 if it is told none.
URGENT = 2
WANTED = 4
SPARE = 7
# An item with less slack than this does not reach its due time beside others on a busy engine.
URGENT_SLACK_S = 1.0
MAX_CLASS_PENALTY = 2


def run_priority(slack_s: float, is_spare: bool, urgency_class: int) -> int:
    """Return the urgency of a run; smaller values go first.

    Load pattern: an engine has items of several trainers, and its memory or its prompt reading is
    not sufficient for all of them at once.

    :param slack_s: latest start of the item minus the time of its start.
    :param is_spare: whether the trainer waits for other groups than the item's.
    :param urgency_class: number of more urgent classes that use the same service.
    """
    if is_spare:
        return SPARE
    value = URGENT if slack_s < URGENT_SLACK_S else WANTED
    return value + min(MAX_CLASS_PENALTY, max(0, urgency_class))


def service_priorities(table: RouteTable) -> dict[str, list[int]]:
    """Return the different priorities of the work of each service, the most urgent first.

    They are those of the routes and, where a route is not public, those that customers state.
    """
    customers = table.customers.by_name.values() if table.customers else ()
    stated = {customer.priority for customer in customers if customer.priority is not None}
    found: dict[str, set[int]] = {}
    for route in table.routes:
        for backend in route.backends:
            if backend.weight > 0:
                priorities = found.setdefault(backend.service, set())
                priorities.add(route.priority)
                if not route.is_public:
                    priorities.update(stated)
    return {service: sorted(priorities) for service, priorities in found.items()}


def urgency_class(priorities: dict[str, list[int]], route: Route, urgency: int) -> int | None:
    """Return the number of more urgent classes at a route's services.

    Returns None if all routes to these services have the same priority, so that engines need not be
    told any.

    :param priorities: the result of `service_priorities`.
    :param urgency: the urgency of the request; smaller values are more urgent.
    """
    shared = [
        priorities[backend.service]
        for backend in route.backends
        if backend.weight > 0 and len(priorities.get(backend.service, ())) > 1
    ]
    if not shared:
        return None
    return max(sum(value < urgency for value in values) for values in shared)
