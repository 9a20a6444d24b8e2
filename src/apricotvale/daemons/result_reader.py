"""Reads the results of jobs at a control replica, as the leader or as a copy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from apricotvale import clock
from apricotvale.daemons.runtime import wait_event
from apricotvale.fleet import calls
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Result

MAX_RESULT_BYTES = 900_000
# Smaller pages are sent by the leader itself, which saves a call.
MIN_COPY_BYTES = 2_048
# A follower applies an entry about a round trip after the leader.
COPY_WAIT_S = 0.2


class ResultReader:
    """Answers reads of results, and waits for new ones.

    :param state: the replicated state.
    :param is_denied: returns whether a job belongs to another customer than the caller's.
    :param is_stopping: returns whether the process is shutting down, when no read waits.

    `news_events` holds the event of each job for which a read waits, by job id.
    """

    def __init__(
        self,
        state: FleetState,
        is_denied: Callable[[calls.ReadResults, str], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        self.state = state
        self.is_denied = is_denied
        self.is_stopping = is_stopping
        self.news_events: dict[str, asyncio.Event] = {}

    def wake_readers(self) -> None:
        """Wake the reads of the jobs that have something new, after commands were applied."""
        for job_id in self.state.jobs.news:
            event = self.news_events.pop(job_id, None)
            if event is not None:
                event.set()
        self.state.jobs.news.clear()

    async def read(self, request: calls.ReadResults) -> Any:
        """Long poll for a job's results from a position on.

        Returns as soon as there is a result or the job is complete. The output is limited to
        `MAX_RESULT_BYTES` unless a single result is larger.
        """
        deadline = clock.now() + request.wait_ms / 1000
        while True:
            record = self.state.jobs.state.records.get(request.job_id)
            if record is None or self.is_denied(request, request.job_id):
                return calls.NotFound()
            found = record.results[max(0, request.after) :]
            left_s = deadline - clock.now()
            complete = len(record.results) == len(record.job.items)
            if found or complete or left_s <= 0 or self.is_stopping():
                break
            event = self.news_events.setdefault(request.job_id, asyncio.Event())
            await wait_event(event, left_s)
        page: list[Result] = []
        size = 0
        for result in found:
            size += len(result.output)
            if page and size > MAX_RESULT_BYTES:
                break
            page.append(result)
        start = max(0, request.after)
        total, next_position = len(record.job.items), start + len(page)
        if request.has_copy and size >= MIN_COPY_BYTES:
            return calls.ResultsOutline(total, record.accepted_at, start, next_position)
        return calls.ResultsRead(total, next_position, page)

    async def read_copy(self, request: calls.ReadCopy) -> Any:
        """Return results that the leader has listed, once this replica has applied them.

        A result's position and content never change, so that they are the same at all replicas. The
        log index tells the job from a later one with the same id.
        """
        deadline = clock.now() + COPY_WAIT_S
        end = request.start + request.count
        while True:
            record = self.state.jobs.state.records.get(request.job_id)
            is_same = record is not None and record.accepted_at == request.accepted_at
            if record is not None and is_same and len(record.results) >= end:
                results = record.results[request.start : end]
                return calls.ResultsRead(len(record.job.items), end, results)
            left_s = deadline - clock.now()
            if left_s <= 0 or self.is_stopping():
                return calls.NotFound()
            event = self.news_events.setdefault(request.job_id, asyncio.Event())
            await wait_event(event, left_s)
