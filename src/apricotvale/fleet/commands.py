"""Commands of the fleet's replicated log, and their results."""

from __future__ import annotations

from attrs import frozen

from apricotvale.discovery import Upstream
from apricotvale.jobs import Job, Progress, Result


@frozen
class PutTable:
    """Store a table's document, if its version is greater than the one held."""

    version: int
    document: bytes


@frozen
class Announce:
    """Take an upstream's heartbeat."""

    upstream: Upstream


@frozen
class Depart:
    """Remove an upstream that says it is gone."""

    upstream_id: str


@frozen
class Silence:
    """Mark an upstream that was not heard for long."""

    upstream_id: str
    born_ms: int
    sequence: int


@frozen
class PublishVersion:
    """Name the newest weight version of a model."""

    model: str
    version: int


@frozen
class AcceptJob:
    """Take a job to run."""

    job: Job


@frozen
class ListResult:
    """Put an item's result at the next position of its job."""

    job_id: str
    result: Result


@frozen
class JobProgress:
    """Progress of items of one job."""

    job_id: str
    items: list[Progress]


@frozen
class SaveProgress:
    """Keep what long items have generated, so that another leader goes on from there."""

    jobs: list[JobProgress]


@frozen
class EndJob:
    """Stop running a job."""

    job_id: str


@frozen
class ForgetJob:
    """Drop a job that was kept for long enough."""

    job_id: str


@frozen
class Retire:
    """Empty a control replica, to take its VM away."""

    name: str


Command = (
    PutTable
    | Announce
    | Depart
    | Silence
    | PublishVersion
    | AcceptJob
    | ListResult
    | SaveProgress
    | EndJob
    | ForgetJob
    | Retire
)


@frozen
class Applied:
    """A command was applied.

    :param changed: whether it changed the state.
    :param known: whether what it names is known.
    """

    changed: bool = True
    known: bool = True
