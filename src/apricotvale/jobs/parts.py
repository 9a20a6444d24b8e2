"""Division of the job store into parts for snapshots.

Most of the store are results, which never change once a job has them. They are encoded in chunks of
a fixed number of results, so that a snapshot encodes and writes only what was added since the last
one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from attrs import define, evolve, field, frozen

from apricotvale.codec import pack, unpack
from apricotvale.consensus.messages import Part
from apricotvale.hashing import digest
from apricotvale.jobs.store import JobBookState, JobRecord, JobStore
from apricotvale.jobs.types import Result

RESULTS_PER_PART = 64


@frozen
class RecordPart:
    """A job without its results."""

    record: JobRecord


@frozen
class ResultsPart:
    """Consecutive results of the job whose `RecordPart` precedes this part."""

    job_id: str
    results: list[Result]


JobPart = RecordPart | ResultsPart


@define
class JobParts:
    """Remembers the parts into which the jobs were last encoded.

    :param records: the part of each job's record, by job id, while the job does not change.
    :param results: the part of each chunk of a job's results and the number of results in it, by
        job id.
    """

    records: dict[str, Part] = field(factory=dict)
    results: dict[str, list[tuple[Part, int]]] = field(factory=dict)

    def dump(
        self, store: JobStore, has_part: Callable[[Part], bool]
    ) -> Iterator[tuple[Part, bytes | None]]:
        """Yield each part with its content, or with None if it is already stored.

        The store must not change before the iterator is exhausted.

        :param has_part: returns whether a part is already stored.
        """
        records = store.state.records
        for known in (self.records, self.results):
            for job_id in [job_id for job_id in known if job_id not in records]:
                del known[job_id]
        for job_id, record in records.items():
            yield self.dump_record(record, job_id in store.changed, has_part)
            yield from self.dump_results(record, has_part)
        store.changed.clear()

    def dump_record(
        self, record: JobRecord, changed: bool, has_part: Callable[[Part], bool]
    ) -> tuple[Part, bytes | None]:
        """Return the part of a job's record."""
        job_id = record.job.job_id
        known = self.records.get(job_id)
        if known is not None and not changed and has_part(known):
            return known, None
        part, content = encode_part(RecordPart(evolve(record, results=[])))
        self.records[job_id] = part
        return part, content

    def dump_results(
        self, record: JobRecord, has_part: Callable[[Part], bool]
    ) -> Iterator[tuple[Part, bytes | None]]:
        """Yield the parts of a job's results.

        Results are only added, so a chunk with the same number of results has not changed.
        """
        known = self.results.setdefault(record.job.job_id, [])
        for number, start in enumerate(range(0, len(record.results), RESULTS_PER_PART)):
            chunk = record.results[start : start + RESULTS_PER_PART]
            if (
                number < len(known)
                and known[number][1] == len(chunk)
                and has_part(known[number][0])
            ):
                yield known[number][0], None
                continue
            part, content = encode_part(ResultsPart(record.job.job_id, chunk))
            known[number:] = [(part, len(chunk))]
            yield part, content

    def load(self, contents: Iterable[bytes]) -> JobBookState:
        """Decode the parts of a snapshot, and remember them."""
        self.records.clear()
        self.results.clear()
        state = JobBookState()
        for content in contents:
            loaded: JobPart = unpack(content, JobPart)
            part = Part(digest(content), len(content))
            if isinstance(loaded, RecordPart):
                job_id = loaded.record.job.job_id
                state.records[job_id] = loaded.record
                self.records[job_id] = part
                continue
            state.records[loaded.job_id].results.extend(loaded.results)
            self.results.setdefault(loaded.job_id, []).append((part, len(loaded.results)))
        return state


def encode_part(part: JobPart) -> tuple[Part, bytes]:
    """Return a part's name and size, and its content."""
    content = pack(part, JobPart)
    return Part(digest(content), len(content)), content
