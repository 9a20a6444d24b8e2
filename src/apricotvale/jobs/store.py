"""The replicated store of jobs, from acceptance to expiry."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, evolve, field

from apricotvale import clock
from apricotvale.jobs.room import JobSize
from apricotvale.jobs.types import Item, Job, Progress, Result, join_events

# Estimate for the output of an item that is not finished.
OUTPUT_BYTES_PER_TOKEN = 8
# Estimate for an item and its result, besides bodies, header fields and outputs.
ITEM_OVERHEAD_BYTES = 1024


@define
class JobRecord:
    """A job and its state.

    :param accepted_at: log index of the entry that accepted the job.
    :param results: results in the order in which they were committed, which fixes their positions.
    :param progress: partial output of unfinished items, by item id.
    """

    job: Job
    accepted_at: int
    results: list[Result] = field(factory=list)
    progress: dict[str, Progress] = field(factory=dict)
    ended: bool = False


@define
class JobBookState:
    """The state of the job store in a snapshot: the jobs, by job id."""

    records: dict[str, JobRecord] = field(factory=dict)


class JobStore:
    """Applies committed job commands to the state.

    :param state: the replicated state. `finished_items`, which maps each job id to the ids of its
        items that have a result, is derived from it.

    `changed` holds the ids of the jobs whose record, apart from its results, changed since the last
    snapshot. `news` holds the ids of the jobs that have something new for their readers; its owner
    clears it. `applied_at` holds the local time at which each job was accepted, so that a new
    leader knows when a job is due; it is not replicated, and a restart loses it.
    """

    def __init__(self, state: JobBookState) -> None:
        self.state = state
        self.changed: set[str] = set()
        self.news: set[str] = set()
        self.applied_at: dict[str, float] = {}
        self.finished_items: dict[str, set[str]] = {
            job_id: {result.item_id for result in record.results}
            for job_id, record in state.records.items()
        }

    def accept(self, job: Job, index: int) -> bool:
        """Add a job unless its id is known; return whether it was added."""
        if job.job_id in self.state.records:
            return False
        self.state.records[job.job_id] = JobRecord(job, index)
        self.finished_items[job.job_id] = set()
        self.applied_at[job.job_id] = clock.now()
        self.changed.add(job.job_id)
        return True

    def append_result(self, job_id: str, result: Result, saved_events: int = 0) -> bool:
        """Append an item's result; return whether it was added.

        Only the first result of an item is kept, so that its position never changes.

        :param saved_events: number of events of the saved progress that precede the result's
            output. The result is not added if fewer are saved, as after the end of the job.
        """
        record = self.state.records.get(job_id)
        if record is None or result.item_id in self.finished_items[job_id]:
            return False
        if saved_events:
            progress = record.progress.get(result.item_id)
            if progress is None or len(progress.data) < saved_events:
                return False
            output = join_events([*progress.data[:saved_events], result.output])
            result = evolve(result, output=output)
        record.results.append(result)
        self.news.add(job_id)
        self.finished_items[job_id].add(result.item_id)
        if record.progress.pop(result.item_id, None) is not None:
            self.changed.add(job_id)
        if len(self.finished_items[job_id]) == len(record.job.items):
            self.drop_inputs(record)
        return True

    def save_progress(self, job_id: str, progress: Progress) -> bool:
        """Append to an item's partial output; return whether it was saved.

        Progress that does not start at the end of the saved events is dropped. Progress that
        starts at event 0 replaces them, since the item was restarted.
        """
        record = self.state.records.get(job_id)
        if record is None or record.ended or progress.item_id in self.finished_items[job_id]:
            return False
        held = record.progress.get(progress.item_id)
        saved = held.data if held and progress.start else []
        if len(saved) != progress.start:
            return False
        record.progress[progress.item_id] = evolve(progress, start=0, data=[*saved, *progress.data])
        self.changed.add(job_id)
        return True

    def end(self, job_id: str) -> bool:
        """End a job and drop what only its runs need; return whether the job is known."""
        record = self.state.records.get(job_id)
        if record is None:
            return False
        if not record.ended:
            self.drop_inputs(record)
            record.ended = True
            record.progress.clear()
            self.changed.add(job_id)
        return True

    def drop_inputs(self, record: JobRecord) -> None:
        """Drop what only the runs of a job's items need, once none of them runs any more.

        A job may stay for long after its last result, as its caller need not end it.
        """
        items = (evolve(item, headers={}, body=b"", reward=None) for item in record.job.items)
        record.job = evolve(record.job, items=tuple(items))
        self.changed.add(record.job.job_id)

    def forget(self, job_id: str) -> bool:
        """Delete a job whose retention period has passed; return whether it was known."""
        self.news.add(job_id)
        self.finished_items.pop(job_id, None)
        self.applied_at.pop(job_id, None)
        return self.state.records.pop(job_id, None) is not None

    def held_size(self) -> JobSize:
        """Return what the jobs occupy, with what their open items will add."""
        items = size_bytes = 0
        for record in self.state.records.values():
            open_items = [] if record.ended else self.unfinished_items(record)
            items += len(open_items)
            size_bytes += expected_bytes(open_items)
            size_bytes += ITEM_OVERHEAD_BYTES * (len(record.job.items) - len(open_items))
            size_bytes += sum(len(result.output) for result in record.results)
        return JobSize(items, size_bytes)

    def open_records(self) -> list[JobRecord]:
        """Return the jobs that still have items to run, oldest first."""
        return [
            record
            for job_id, record in self.state.records.items()
            if not record.ended and len(self.finished_items[job_id]) < len(record.job.items)
        ]

    def unfinished_items(self, record: JobRecord) -> list[Item]:
        """Return the items of a job that have no result yet."""
        finished = self.finished_items[record.job.job_id]
        return [item for item in record.job.items if item.item_id not in finished]

    def is_finished(self, job_id: str, item_id: str) -> bool:
        """Return whether an item has a result, or its job is unknown."""
        finished = self.finished_items.get(job_id)
        return finished is None or item_id in finished

    def find_item(self, job_id: str, item_id: str) -> Item | None:
        """Return an item without a result, or None if it has one or its job is unknown or ended."""
        record = self.state.records.get(job_id)
        if record is None or record.ended or item_id in self.finished_items[job_id]:
            return None
        return next((item for item in record.job.items if item.item_id == item_id), None)


def expected_bytes(items: Iterable[Item]) -> int:
    """Return the bytes that unfinished items occupy, with those of their expected outputs."""
    return sum(
        ITEM_OVERHEAD_BYTES
        + len(item.body)
        + (len(item.reward.body) if item.reward else 0)
        + sum(len(name) + len(value) for name, value in item.headers.items())
        + (item.expected_tokens or item.tokens) * OUTPUT_BYTES_PER_TOKEN
        for item in items
    )


def size_of(job: Job) -> JobSize:
    """Return what a job will occupy."""
    return JobSize(len(job.items), expected_bytes(job.items))
