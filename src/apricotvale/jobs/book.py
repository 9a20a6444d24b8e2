"""The replicated book of jobs: accepted once, results at fixed positions, ended, forgotten."""

from __future__ import annotations

from attrs import define, evolve, field

from apricotvale.jobs.types import Item, Job, Progress, Result


@define
class JobRecord:
    """A job with its results so far."""

    job: Job
    accepted_at: int
    results: list[Result] = field(factory=list)
    progress: dict[str, Progress] = field(factory=dict)
    ended: bool = False


@define
class JobBookState:
    """What a snapshot holds of the jobs."""

    records: dict[str, JobRecord] = field(factory=dict)


class JobBook:
    """The replicated jobs, with an index of the items that are listed."""

    def __init__(self, state: JobBookState) -> None:
        self.state = state
        self.listed: dict[str, set[str]] = {
            job_id: {result.item_id for result in record.results}
            for job_id, record in state.records.items()
        }

    def accept(self, job: Job, index: int) -> bool:
        """Take a job unless it is held already; return whether it is new."""
        if job.job_id in self.state.records:
            return False
        self.state.records[job.job_id] = JobRecord(job, index)
        self.listed[job.job_id] = set()
        return True

    def list_result(self, job_id: str, result: Result) -> bool:
        """Put a result behind the others; the first of an item stays, later ones are dropped."""
        record = self.state.records.get(job_id)
        if record is None or result.item_id in self.listed[job_id]:
            return False
        record.results.append(result)
        self.listed[job_id].add(result.item_id)
        record.progress.pop(result.item_id, None)
        return True

    def save_progress(self, job_id: str, progress: Progress) -> bool:
        """Keep more of an unfinished text; what does not follow on what is held is dropped.

        Progress from the first event on replaces what is held: the text was begun anew.
        """
        record = self.state.records.get(job_id)
        if record is None or record.ended or progress.item_id in self.listed[job_id]:
            return False
        held = record.progress.get(progress.item_id)
        before = held.data if held and progress.start else []
        if len(before) != progress.start:
            return False
        record.progress[progress.item_id] = evolve(
            progress, start=0, data=[*before, *progress.data]
        )
        return True

    def end(self, job_id: str) -> bool:
        """End a job; return whether it is known."""
        record = self.state.records.get(job_id)
        if record is None:
            return False
        record.ended = True
        record.progress.clear()
        return True

    def forget(self, job_id: str) -> bool:
        """Drop a job that was kept for long enough."""
        self.listed.pop(job_id, None)
        return self.state.records.pop(job_id, None) is not None

    def open_records(self) -> list[JobRecord]:
        """Return the jobs with items to run, in the order in which they were accepted."""
        return [
            record
            for job_id, record in self.state.records.items()
            if not record.ended and len(self.listed[job_id]) < len(record.job.items)
        ]

    def unlisted(self, record: JobRecord) -> list[Item]:
        """Return the items of a job that have no result yet."""
        listed = self.listed[record.job.job_id]
        return [item for item in record.job.items if item.item_id not in listed]

    def find_item(self, job_id: str, item_id: str) -> Item | None:
        """Return an item that is not listed, of a job that has not ended."""
        record = self.state.records.get(job_id)
        if record is None or record.ended or item_id in self.listed[job_id]:
            return None
        return next((item for item in record.job.items if item.item_id == item_id), None)
