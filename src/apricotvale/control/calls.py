"""Calls from entries, sidecars and operators to the control replicas, and their answers."""

from __future__ import annotations

from attrs import field, frozen

from apricotvale.consensus.messages import PeerMessage
from apricotvale.control.commands import Command, Result
from apricotvale.control.configuration import ConfigChange, ConfigDocument
from apricotvale.membership.roster import Member, RosterDelta
from apricotvale.requests.claims import OutcomeRecord
from apricotvale.samples.ledger import StepSpec
from apricotvale.weights.rollout import Fence, Grant, LoadFailure


@frozen
class Propose:
    """Commit a command."""

    command: Command


@frozen
class Sync:
    """Renew a member's lease, state what it is, and learn what changed.

    With `confirm` the answer is given only after a quorum confirmed that the replica leads.
    `seen` is the `interest` of the last answer: while it still holds, the answer waits.
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


@frozen
class Query:
    """Read state, confirmed by a quorum.

    `topic` is config, history, members, force, weights, samples or group.
    """

    topic: str


@frozen
class JoinProbe:
    """An empty replica asks what a peer knows."""

    name: str
    data_id: str


CallRequest = Propose | Sync | Query | JoinProbe


@frozen
class Committed:
    """The result of a committed command."""

    result: Result


@frozen
class Redirect:
    """This replica does not lead; `address` is the leader's, if known."""

    address: str = ""


@frozen
class Unconfirmed:
    """The call may or may not have been committed: ask again."""

    detail: str = ""


@frozen
class Invalid:
    """The call was refused before anything was committed."""

    problems: list[str]


@frozen
class StepOwnership:
    """A step that the reader owns; `spec` is left out if the reader knows it."""

    trainer: str
    step: int
    open_slots: list[int]
    reopened: int
    version: int
    spec: StepSpec | None = None


@frozen
class SyncReply:
    """What changed since the member's last sync. Revision 0 means nothing new."""

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


@frozen
class MemberForce:
    """The revision in force at a member, and how long ago it said so."""

    name: str
    site: str
    revision: int
    heard_ms_ago: int


@frozen
class ReplicaInfo:
    """A control replica as the leader sees it."""

    name: str
    address: str
    voter: bool
    role: str
    match_index: int
    data_id: str


@frozen
class TrainerInfo:
    """A trainer's progress."""

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
    """The answer to a query; only the topic's fields are set."""

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


@frozen
class ProbeReply:
    """What a peer knows: its data id, whether it is part of a group, and the others' addresses."""

    name: str
    data_id: str
    empty: bool
    leader_id: str = ""
    addresses: list[str] = field(factory=list)
    address: str = ""


CallReply = Committed | Redirect | Unconfirmed | Invalid | SyncReply | Report | ProbeReply


@frozen
class PeerBatch:
    """Messages between replicas, in order."""

    messages: list[PeerMessage]


@frozen
class Delivered:
    """A batch of peer messages arrived."""
