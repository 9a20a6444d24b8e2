"""An item that a leader has started."""

from __future__ import annotations

import asyncio

from attrs import define, field

from apricotvale.discovery import Upstream
from apricotvale.jobs import Item, Job
from apricotvale.jobs.transcript import Transcript

# Shortest time for which an output waits for an engine of its origin, while one accepts work.
MIN_ORIGIN_WAIT_S = 1.0
MAX_ORIGIN_WAIT_S = 8.0


@define
class ItemRun:
    """An item that this leader has started, with the engine of its current run.

    :param server_errors: runs that ended with an internal server error.
    :param reward_errors: server errors of its reward calls.
    :param move_requested: whether to stop the run so that it resumes on a faster engine.
    :param saved_events: events of the output that are in the replicated state.
    :param was_interrupted: whether the output consists of several runs.
    :param slack_s: the item's latest start minus the start of the run.
    :param is_spare: whether the trainer waits for other groups than the item's.
    :param read_tokens: tokens of the prompt that the engine had not cached.
    :param software: software versions of the engines that generated the output, for the log.
    :param generated_s: time for which engines have generated the output.
    :param waits_until: until when the output waits for an engine of its origin.
    :param is_unsendable: whether the item's request cannot be sent to any engine.
    """

    job: Job
    item: Item
    transcript: Transcript
    server_errors: int = 0
    reward_errors: int = 0
    engine: Upstream | None = None
    started_at: float = 0.0
    move_requested: bool = False
    saved_events: int = 0
    was_interrupted: bool = False
    slack_s: float = 0.0
    is_spare: bool = False
    read_tokens: int = 0
    software: list[str] = field(factory=list)
    generated_s: float = 0.0
    waits_until: float = float("-inf")
    is_unsendable: bool = False
    task: asyncio.Task[None] | None = None

    def origin_wait_s(self) -> float:
        """Return how long the output waits for an engine of its origin, in seconds.

        Each time that the output was discarded doubles the wait, so that it is complete at last
        while engines of all origins break off their runs.
        """
        wait_s = max(MIN_ORIGIN_WAIT_S, self.generated_s) * 2**self.transcript.restarts
        return min(wait_s, MAX_ORIGIN_WAIT_S)
