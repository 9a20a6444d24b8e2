"""The order in which the waiting items of all open jobs are started."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from apricotvale.jobs.types import Item, Job
from apricotvale.mechanisms import Mechanism, is_on
from apricotvale.routes import Route


@frozen
class WaitingItem:
    """An item that waits for an engine.

    :param is_spare: whether the trainer waits for other groups than the item's.
    :param latest_start: when it has to start to be done by the job's due time, in seconds.
    """

    job: Job
    item: Item
    route: Route
    is_spare: bool
    latest_start: float


def waiting_items(
    job: Job, items: Iterable[Item], route: Route, due_at: float, seconds_per_token: float
) -> list[WaitingItem]:
    """Return the waiting items of a job.

    :param due_at: when all results of the job are due, in seconds.
    :param seconds_per_token: time of a run for each expected token of its output.
    """
    groups = list(dict.fromkeys(item.group for item in job.items))
    wanted = set(groups[: job.wanted_groups] if job.wanted_groups else groups)
    return [
        WaitingItem(
            job,
            item,
            route,
            item.group not in wanted,
            due_at - expected_length(item) * seconds_per_token,
        )
        for item in items
    ]


def sort_by_priority(waiting: list[WaitingItem]) -> list[WaitingItem]:
    """Return the items of all jobs in the order in which they should start.

    Load pattern: a step arrives as one batch in which a few items are many times as long as most,
    while steps of other trainers are running. A long item that starts last would determine the
    duration of its whole step, so the item whose latest start is next goes first, whichever job it
    belongs to. Groups beyond the wanted ones come last.
    """
    if not is_on(Mechanism.ITEM_ORDER):
        return waiting
    return sorted(waiting, key=lambda waiting: (waiting.is_spare, waiting.latest_start))


def expected_length(item: Item) -> int:
    """Return the expected output tokens of an item: the caller's estimate within its limit."""
    limit = max(0, item.tokens - item.prompt_tokens)
    return min(item.expected_tokens, limit) if item.expected_tokens and limit else limit


def expected_memory(item: Item) -> int:
    """Return the tokens of an item's prompt and its expected output."""
    return item.prompt_tokens + expected_length(item)
