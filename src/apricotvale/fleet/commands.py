"""Commands of the fleet's replicated log, and their results."""

from __future__ import annotations

from attrs import frozen

from apricotvale.crashes.commands import ClearSuspects, RecordCrashes
from apricotvale.discovery import Upstream
from apricotvale.duties.usage import UsageReport
from apricotvale.jobs import Job, Progress, Result
from apricotvale.origins.commands import RecordStreams, ReplaceUsualOrigin, TurnStreams


@frozen
class PutTable:
    """Store a route table if its version is greater than the current one."""

    version: int
    document: bytes


@frozen
class Announce:
    """Record an upstream's heartbeat."""

    upstream: Upstream


@frozen
class Depart:
    """Remove an upstream that has reported that it leaves."""

    upstream_id: str


@frozen
class Restore:
    """Record an upstream that is alive although its heartbeats count as out of date."""

    upstream: Upstream


@frozen
class MarkLeaving:
    """Mark an incarnation that stated in an answer that it leaves."""

    upstream_id: str
    born_ms: int


@frozen
class SetLimit:
    """Record the limit that an incarnation named in an answer, None for its end."""

    upstream_id: str
    born_ms: int
    rate: float | None = None


@frozen
class Silence:
    """Mark an upstream as silent after missing heartbeats.

    `born_ms` and `sequence` identify the last heartbeat that was received.
    """

    upstream_id: str
    born_ms: int
    sequence: int


@frozen
class PublishVersion:
    """Record the newest weight version of a model."""

    model: str
    version: int


@frozen
class AcceptJob:
    """Accept a job."""

    job: Job


@frozen
class ListResult:
    """Append an item's result to its job's results.

    :param saved_events: number of events of the output that are in the item's saved progress; the
        result's output holds only the events after them, of which there is at least one.
    """

    job_id: str
    result: Result
    saved_events: int = 0


@frozen
class JobProgress:
    """Partial outputs of items of one job."""

    job_id: str
    items: list[Progress]


@frozen
class SaveProgress:
    """Save partial outputs of long items, so that a new leader can resume them."""

    jobs: list[JobProgress]


@frozen
class EndJob:
    """Stop running a job."""

    job_id: str


@frozen
class ForgetJob:
    """Delete a job whose retention period has passed."""

    job_id: str


@frozen
class Retire:
    """Retire a control replica, so that its VM can be removed."""

    name: str


@frozen
class BeginUsage:
    """Set the first window of which the usage is reported."""

    window: int


@frozen
class RecordUsage:
    """Record the counts that entries have reported."""

    reports: list[UsageReport]


@frozen
class CloseUsage:
    """Close a window; its counts are final."""

    window: int


@frozen
class ConfirmUsage:
    """Record that a closed window was reported or given up."""

    window: int


Command = (
    PutTable
    | Announce
    | Depart
    | Restore
    | MarkLeaving
    | SetLimit
    | Silence
    | RecordCrashes
    | ClearSuspects
    | PublishVersion
    | AcceptJob
    | ListResult
    | SaveProgress
    | EndJob
    | ForgetJob
    | Retire
    | BeginUsage
    | RecordUsage
    | CloseUsage
    | ConfirmUsage
    | RecordStreams
    | TurnStreams
    | ReplaceUsualOrigin
)


@frozen
class Applied:
    """The result of an applied command.

    :param changed: whether it changed the state.
    :param known: whether the object that it names exists.
    """

    changed: bool = True
    known: bool = True
