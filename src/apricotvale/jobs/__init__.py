"""Jobs: batches of requests that run asynchronously, with results at fixed positions."""

from apricotvale.jobs.types import Item, ItemState, Job, Progress, PromptPart, Result, RewardCall

__all__ = [
    "Item",
    "ItemState",
    "Job",
    "Progress",
    "PromptPart",
    "Result",
    "RewardCall",
]
