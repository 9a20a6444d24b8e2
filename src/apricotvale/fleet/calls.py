"""Calls from entries and interfaces to the fleet's control replicas, and their answers."""

from __future__ import annotations

from attrs import field, frozen

from apricotvale.control.calls import JoinProbe, ProbeReply, Redirect, Unconfirmed
from apricotvale.discovery import Upstream, UpstreamDelta
from apricotvale.jobs import Job, Result


@frozen
class PutTable:
    """Store a table's document, which the caller has checked."""

    version: int
    document: bytes


@frozen
class ReadTable:
    """Read the newest table, confirmed by a quorum."""


@frozen
class Heartbeat:
    """An upstream says that it is alive and what it is."""

    upstream: Upstream


@frozen
class Leave:
    """An upstream says that it is gone."""

    upstream_id: str


@frozen
class PublishVersion:
    """A trainer names the newest weight version of a model."""

    model: str
    version: int


@frozen
class Retire:
    """Empty a control replica."""

    name: str


@frozen
class ReadRetirement:
    """Read how far a retirement is."""

    name: str


@frozen
class SubmitJob:
    """Take a job."""

    job: Job


@frozen
class ReadResults:
    """Read a job's results from a position on, waiting for one if there is none."""

    job_id: str
    after: int
    wait_ms: int = 0


@frozen
class ReadItem:
    """Read the body of an item that is not listed yet."""

    job_id: str
    item_id: str


@frozen
class EndJob:
    """Stop running a job."""

    job_id: str


@frozen
class Watch:
    """Learn what changed.

    With `confirm` the answer is given only after a quorum confirmed that the replica leads.
    """

    position: int
    table_version: int
    confirm: bool
    wait_ms: int


FleetRequest = (
    PutTable
    | ReadTable
    | Heartbeat
    | Leave
    | PublishVersion
    | Retire
    | ReadRetirement
    | SubmitJob
    | ReadResults
    | ReadItem
    | EndJob
    | Watch
    | JoinProbe
)


@frozen
class Accepted:
    """The call took effect, or had taken effect before."""


@frozen
class NotFound:
    """What the call names does not exist."""


@frozen
class TooFewLeft:
    """The retirement would leave too few replicas."""


@frozen
class TableRead:
    """The newest table's document; empty if there is none."""

    version: int
    document: bytes


@frozen
class RetirementRead:
    """Whether a replica is empty."""

    completed: bool


@frozen
class ResultsRead:
    """Results of a job from a position on."""

    total: int
    next_position: int
    results: list[Result]


@frozen
class ItemRead:
    """The body of an item."""

    body: bytes


@frozen
class WatchReply:
    """What changed since the watch's position and table version.

    :param addresses: where the control replicas are reached, the leader's first.
    """

    upstreams: UpstreamDelta
    table_version: int
    document: bytes = b""
    addresses: list[str] = field(factory=list)


FleetReply = (
    Redirect
    | Unconfirmed
    | ProbeReply
    | Accepted
    | NotFound
    | TooFewLeft
    | TableRead
    | RetirementRead
    | ResultsRead
    | ItemRead
    | WatchReply
)
