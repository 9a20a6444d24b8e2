"""RPC messages between clients and control replicas, and between the replicas.

The clients are entries, sidecars and operators' commands.
"""

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
from apricotvale.control.commands import Command, Result
from apricotvale.control.configuration import ConfigChange, ConfigDocument
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
from apricotvale.membership.roster import Member, RosterDelta
from apricotvale.requests.claims import OutcomeRecord
from apricotvale.samples.ledger import StepSpec
from apricotvale.weights.rollout import Fence, Grant, LoadFailure


@frozen
class Propose:
    """Request to commit a command."""

    command: Command


@frozen
class Sync:
    """Long poll of a member: renews its lease, announces it and returns changes.

    :param position: position of the member's copy of the roster.
    :param revision: configuration revision that the member holds.
    :param in_force: configuration revision in force at the member.
    :param confirm: answer only after a quorum confirmed that the replica leads.
    :param wait_ms: maximum time to wait for changes.
    :param seen: `interest` of the last reply; the reply waits until the value changes.
    :param known_steps: steps whose specification the member already has.
    :param suspects_position: position of the requests under suspicion that the member knows.
    """

    member: Member
    position: int
    revision: int
    in_force: int
    confirm: bool
    wait_ms: int
    outcomes: list[OutcomeRecord] = field(factory=list)
    failures: list[LoadFailure] = field(factory=list)
    leaving: bool = False
    seen: int = 0
    known_steps: list[str] = field(factory=list)
    suspects_position: int = -1


@frozen
class Query:
    """Linearizable read of a report, confirmed by a quorum.

    :param topic: config, history, members, force, weights, samples or group.
    """

    topic: str


CallRequest = Propose | Sync | Query | ReportCrashes | BeginTrial | EndTrial | JoinProbe | ReadPart


@frozen
class Committed:
    """The result of a committed command."""

    result: Result


@frozen
class Invalid:
    """The call was rejected before anything was committed."""

    problems: list[str]


@frozen
class StepOwnership:
    """A step owned by the entry that receives the reply.

    :param reopened: number of times that a slot of the step was reopened.
    :param version: the trainer's current weight version.
    :param spec: None if the entry already has it.
    """

    trainer: str
    step: int
    open_slots: list[int]
    reopened: int
    version: int
    spec: StepSpec | None = None


@frozen
class SyncReply:
    """Changes since the member's last sync.

    :param revision: revision of `document`, 0 if the configuration has not changed.
    :param interest: digest of the state that concerns the member, sent back as `Sync.seen`.
    :param suspects: changes of the requests under suspicion, None if there are none.
    """

    roster: RosterDelta
    leader: str
    revision: int = 0
    document: ConfigDocument | None = None
    grants: list[Grant] = field(factory=list)
    fence: Fence = Fence()
    targets: dict[str, int] = field(factory=dict)
    steps: list[StepOwnership] = field(factory=list)
    interest: int = 0
    confirmed: bool = False
    suspects: SuspectDelta | None = None


@frozen
class MemberForce:
    """The configuration revision in force at a member and the age of that report.

    :param heard_ms_ago: time since the member's last sync or the start of the leader's term, if
        that was later; -1 if unknown.
    """

    name: str
    site: str
    revision: int
    heard_ms_ago: int


@frozen
class ReplicaInfo:
    """State of a control replica, as seen by the leader.

    :param match_index: highest log index known to be replicated to it.
    """

    name: str
    address: str
    voter: bool
    role: str
    match_index: int
    data_id: str


@frozen
class TrainerInfo:
    """Progress of an open step of a trainer.

    :param acknowledged: samples that the trainer confirmed.
    :param handed: samples handed over and not yet confirmed.
    :param ready: samples finished and not yet handed over.
    """

    trainer: str
    version: int
    step: int
    slots: int
    acknowledged: int
    handed: int
    ready: int
    owner: str


@frozen
class Report:
    """Reply to a query; only the fields of its topic are set."""

    revision: int = 0
    document: ConfigDocument | None = None
    history: list[ConfigChange] = field(factory=list)
    members: list[Member] = field(factory=list)
    force: list[MemberForce] = field(factory=list)
    targets: dict[str, int] = field(factory=dict)
    grants: list[Grant] = field(factory=list)
    trainers: list[TrainerInfo] = field(factory=list)
    replicas: list[ReplicaInfo] = field(factory=list)
    leader: str = ""
    term: int = 0
    commit_index: int = 0
    lease_ms: int = 0


CallReply = (
    Committed
    | Redirect
    | Unconfirmed
    | Invalid
    | SyncReply
    | Report
    | CrashesRecorded
    | TrialGranted
    | TrialDenied
    | NotSuspected
    | ProbeReply
    | PartRead
)

CONTROL = Interface("/apricotvale.Control/Call", CallRequest, CallReply)
