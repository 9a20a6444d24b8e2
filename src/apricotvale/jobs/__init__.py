"""Jobs: batches of requests that run asynchronously, with results at fixed positions."""

from apricotvale.jobs.book import JobBook, JobBookState
from apricotvale.jobs.types import Item, ItemState, Job, Progress, Result, RewardCall

__all__ = [
    "Item",
    "ItemState",
    "Job",
    "JobBook",
    "JobBookState",
    "Progress",
    "Result",
    "RewardCall",
]
