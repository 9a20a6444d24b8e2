"""Decides whether a job fits beside those that a control group holds. The module does no I/O."""

from __future__ import annotations

from attrs import frozen

# A job with more than this part of the open items allowed counts as large. Large jobs may take up
# only a part of the room, so that they do not keep others out.
LARGE_PART = 1 / 8
LARGE_JOBS_PART = 1 / 2


@frozen
class JobSize:
    """What jobs occupy.

    :param items: items without a result, whose number decides how long a pass over them takes.
    :param size_bytes: memory for their items and results.
    """

    items: int
    size_bytes: int


@frozen
class JobLimits:
    """Limits on the jobs that a control group holds.

    Load pattern: a client submits many items, which take up the leader's time and all replicas'
    memory. Its jobs are rejected, while smaller ones are still accepted.

    :param items: open items of all jobs.
    :param size_bytes: memory for all jobs at one replica.
    """

    items: int
    size_bytes: int

    def fits(self, job: JobSize, held: JobSize = JobSize(0, 0)) -> bool:
        """Return whether a job fits beside what is held; by default, whether it fits alone."""
        large_items = int(self.items * LARGE_JOBS_PART)
        limit = large_items if job.items > self.items * LARGE_PART else self.items
        has_items = held.items + job.items <= limit
        return has_items and held.size_bytes + job.size_bytes <= self.size_bytes
