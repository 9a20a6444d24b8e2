"""Requests to the fleet's control replicas, and their replies."""

from __future__ import annotations

from attrs import field, frozen

from apricotvale.consensus.calls import (
    Interface,
    JoinProbe,
    PartRead,
    ProbeReply,
    ReadPart,
    Redirect,
    Unconfirmed,
)
from apricotvale.crashes.book import SuspectDelta
from apricotvale.crashes.calls import (
    BeginTrial,
    CrashesRecorded,
    EndTrial,
    NotSuspected,
    ReportCrashes,
    TrialDenied,
    TrialGranted,
)
from apricotvale.discovery import Upstream, UpstreamDelta
from apricotvale.duties.usage import UsageReport
from apricotvale.jobs import Job, Result
from apricotvale.origins.book import UsualOrigins
from apricotvale.origins.calls import FindOrigin, OriginFound, RecordOrigins


@frozen
class PutTable:
    """Store a route table, which the caller has validated."""

    version: int
    document: bytes


@frozen
class ReadTable:
    """Read the newest route table, confirmed by a quorum."""


@frozen
class Heartbeat:
    """Report that an upstream is alive, with its current description."""

    upstream: Upstream


@frozen
class Leave:
    """Report that an upstream leaves."""

    upstream_id: str


@frozen
class ReportLeaving:
    """Report that an incarnation of an upstream stated in an answer that it leaves."""

    upstream_id: str
    born_ms: int


@frozen
class ReportLimit:
    """Report the limit that an incarnation of an upstream named in an answer, None for its end."""

    upstream_id: str
    born_ms: int
    rate: float | None = None


@frozen
class DrawPermits:
    """Draw permits to send requests to an upstream with a limit.

    :param rate: the limit as the caller knows it.
    :param count: largest number of permits.
    :param process: name of the caller.
    """

    upstream_id: str
    born_ms: int
    rate: float
    count: int
    process: str


@frozen
class PublishVersion:
    """Publish a trainer's newest weight version of a model."""

    model: str
    version: int


@frozen
class Retire:
    """Retire a control replica, so that its VM can be removed."""

    name: str


@frozen
class ReadRetirement:
    """Read whether a retirement is complete."""

    name: str


@frozen
class SubmitJob:
    """Submit a job.

    :param customer: customer of the caller; a job id in use by another customer is refused. None if
        that is not checked.
    """

    job: Job
    customer: str | None = None


@frozen
class ReadResults:
    """Read a job's results from a position on, as a long poll of up to `wait_ms`.

    :param customer: customer of the caller, who may read its own jobs only; None if that is not
        checked.
    :param has_copy: whether the caller can read outputs from another replica. The reply is then an
        outline if the outputs are large.
    """

    job_id: str
    after: int
    wait_ms: int = 0
    customer: str | None = None
    has_copy: bool = False


@frozen
class ReadCopy:
    """Read results that the leader has listed from a replica that need not lead.

    :param accepted_at: log index of the entry that accepted the job.
    :param start: position of the first result.
    """

    job_id: str
    accepted_at: int
    start: int
    count: int


@frozen
class Locate:
    """Ask a replica for its failure domain."""


@frozen
class ReadItem:
    """Read the body of an item that has no result yet.

    :param customer: as in `ReadResults`.
    """

    job_id: str
    item_id: str
    customer: str | None = None


@frozen
class EndJob:
    """Stop running a job.

    :param customer: as in `ReadResults`.
    """

    job_id: str
    customer: str | None = None


@frozen
class Watch:
    """Read changes to upstreams and the route table, as a long poll of up to `wait_ms`.

    :param confirm: reply only after a quorum has confirmed that the replica is the leader.
    :param suspects_position: position of the requests under suspicion that the reader knows.
    :param origins_position: position of the usual origins that the reader knows, -1 if it does not
        follow them.
    """

    position: int
    table_version: int
    confirm: bool
    wait_ms: int
    suspects_position: int = -1
    origins_position: int = -1


@frozen
class ReportUsage:
    """Report an entry's counts, and its estimate of true time.

    The estimate is an offset to the boot-time clock of the leader and not a point in time, so that
    it stays right if the call is delayed or sent again.

    :param leader: the leadership whose clock the offset refers to; empty if the entry has not
        compared its clock yet.
    :param offset_s: estimate of true time less the boot-time clock of that leader, in seconds.
    :param is_synced: whether a leader has confirmed or corrected the estimate.
    """

    report: UsageReport
    leader: str = ""
    offset_s: float = 0.0
    is_synced: bool = False


FleetRequest = (
    PutTable
    | ReadTable
    | Heartbeat
    | Leave
    | ReportLeaving
    | ReportLimit
    | DrawPermits
    | ReportCrashes
    | BeginTrial
    | EndTrial
    | PublishVersion
    | Retire
    | ReadRetirement
    | SubmitJob
    | ReadResults
    | ReadCopy
    | Locate
    | ReadItem
    | EndJob
    | Watch
    | ReportUsage
    | JoinProbe
    | ReadPart
    | RecordOrigins
    | FindOrigin
)


@frozen
class Accepted:
    """The request took effect, now or earlier."""


@frozen
class NotFound:
    """The object named in the request does not exist."""


@frozen
class HeartbeatRejected:
    """The heartbeat is not one of this deployment's upstreams and had no effect."""

    why: str


@frozen
class JobTooLarge:
    """The job was rejected and will not run: it has more items than any job may have."""


@frozen
class JobsFull:
    """The job was rejected and will not run: the jobs held leave no room for it."""


@frozen
class NotOwner:
    """The job was rejected and will not run: its id belongs to a job of another customer."""


@frozen
class JobRefused:
    """The job was refused and will not run: no group of it could be complete in time.

    :param retry_after_s: time until capacity is expected.
    """

    retry_after_s: float = 1.0


@frozen
class TooFewLeft:
    """The retirement would leave too few replicas."""


@frozen
class PermitsDrawn:
    """Permits for one incarnation of an upstream.

    :param wait_s: time until the next permit if none was granted, in seconds.
    :param sharers: processes that have drawn permits lately, with the leader.
    """

    granted: int
    wait_s: float = 0.0
    sharers: int = 1


@frozen
class TableRead:
    """The newest route table; the document is empty if there is none."""

    version: int
    document: bytes


@frozen
class RetirementRead:
    """Whether a retirement is complete."""

    completed: bool


@frozen
class ResultsRead:
    """Results of a job from a position on."""

    total: int
    next_position: int
    results: list[Result]


@frozen
class ResultsOutline:
    """The positions of listed results, whose outputs the caller reads from another replica.

    :param accepted_at: log index of the entry that accepted the job.
    :param start: position of the first result.
    """

    total: int
    accepted_at: int
    start: int
    next_position: int


@frozen
class Located:
    """The failure domain of a replica."""

    site: str


@frozen
class ItemRead:
    """The body of an item."""

    body: bytes


@frozen
class WatchReply:
    """Changes since the position and table version of the watch.

    :param addresses: addresses of the control replicas, the leader first.
    :param suspects: changes of the requests under suspicion, None if there are none.
    :param held_s: time between receipt of the watch and this reply, in seconds.
    :param origins: the usual origins of the routes, None if they have not changed.
    """

    upstreams: UpstreamDelta
    table_version: int
    document: bytes = b""
    addresses: list[str] = field(factory=list)
    suspects: SuspectDelta | None = None
    held_s: float = 0.0
    origins: UsualOrigins | None = None


@frozen
class UsageAck:
    """The counts of a report are committed.

    :param closed_before: the first window that is not closed; 0 before customers are in force.
    :param leader: identifies the leadership.
    :param clock_s: the leader's boot-time clock, in seconds.
    :param held_s: time between receipt and reply, in seconds.
    :param offset_s: true time less the leader's boot-time clock, None if it is not agreed on yet.
    """

    closed_before: int
    leader: str
    clock_s: float
    held_s: float
    offset_s: float | None = None


FleetReply = (
    Redirect
    | Unconfirmed
    | ProbeReply
    | PartRead
    | Accepted
    | NotFound
    | HeartbeatRejected
    | JobsFull
    | JobTooLarge
    | NotOwner
    | JobRefused
    | TooFewLeft
    | TableRead
    | RetirementRead
    | ResultsRead
    | ResultsOutline
    | Located
    | ItemRead
    | WatchReply
    | UsageAck
    | PermitsDrawn
    | CrashesRecorded
    | TrialGranted
    | TrialDenied
    | NotSuspected
    | OriginFound
)

FLEET = Interface("/apricotvale.Fleet/Call", FleetRequest, FleetReply)
