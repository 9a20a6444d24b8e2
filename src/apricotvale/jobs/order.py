"""In which order a job's items are begun."""

from __future__ import annotations

from apricotvale.jobs.types import Item, Job


def in_running_order(job: Job, items: list[Item]) -> list[Item]:
    """Return items in the order in which they are to be begun.

    The groups that the trainer waits for go before the others; among them the longest item goes
    first, since a long one begun last alone decides when the step is whole. The load pattern is a
    whole step at once, with a few items many times as long as most.
    """
    groups = list(dict.fromkeys(item.group for item in job.items))
    wanted = set(groups[: job.wanted_groups] if job.wanted_groups else groups)
    return sorted(items, key=lambda item: (item.group not in wanted, -expected_length(item)))


def expected_length(item: Item) -> int:
    """Return how many tokens an item is expected to generate."""
    return item.expected_tokens or item.tokens
