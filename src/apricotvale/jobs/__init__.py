"""Jobs: batches of requests that run asynchronously, with results at fixed positions."""

from apricotvale.jobs.store import JobBookState, JobStore
from apricotvale.jobs.types import Item, ItemState, Job, Progress, PromptPart, Result, RewardCall

__all__ = [
    "Item",
    "ItemState",
    "Job",
    "JobBookState",
    "JobStore",
    "Progress",
    "PromptPart",
    "Result",
    "RewardCall",
]
