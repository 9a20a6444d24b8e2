"""The order in which a job's items are started."""

from __future__ import annotations

from apricotvale.jobs.types import Item, Job


def sort_by_priority(job: Job, items: list[Item]) -> list[Item]:
    """Return items in the order in which they should start.

    Items of the first `wanted_groups` groups come first, then longer items before shorter ones. A
    step arrives as one batch in which a few items are many times as long as most, so a long item
    that starts last would determine the duration of the whole step.
    """
    groups = list(dict.fromkeys(item.group for item in job.items))
    wanted = set(groups[: job.wanted_groups] if job.wanted_groups else groups)
    return sorted(items, key=lambda item: (item.group not in wanted, -expected_length(item)))


def expected_length(item: Item) -> int:
    """Return the caller's estimate of an item's output tokens, or `Item.tokens` without one."""
    return item.expected_tokens or item.tokens
