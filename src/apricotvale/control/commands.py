"""Commands of the replicated state machine, each safe to commit twice."""

from __future__ import annotations

from attrs import field, frozen

from apricotvale.control.configuration import ConfigApplied, ConfigConflict, ConfigDocument
from apricotvale.membership.roster import Departure, Member
from apricotvale.requests.claims import (
    Claim,
    ClaimGranted,
    ClaimHeld,
    ClaimsFull,
    KeyReused,
    OutcomeRecord,
)
from apricotvale.samples.ledger import (
    Delivery,
    Fill,
    PullRejected,
    SlotsFilled,
    StepOpened,
    StepRejected,
    StepSpec,
)
from apricotvale.weights.rollout import GrantRequest, LoadFailure


@frozen
class ApplyConfig:
    """Replace the configuration if its revision is the expected one."""

    operation_id: str
    expected_revision: int
    document: ConfigDocument
    author: str = ""


@frozen
class Announce:
    """Add members or take their newest statements."""

    members: list[Member]


@frozen
class Depart:
    """Remove members that left or whose lease ran out."""

    departures: list[Departure]


@frozen
class MakeClaim:
    """Claim an idempotency key."""

    claim: Claim
    limit: int
    window_ms: int


@frozen
class LookUpClaim:
    """Say how far a key is, in order with the claims."""

    key: str
    digest: str


@frozen
class ReassignClaim:
    """Move a refused claim to another upstream."""

    key: str
    attempt: int
    upstream: str
    incarnation: str
    claimant: str


@frozen
class RecordOutcomes:
    """Record what claimed requests answered."""

    records: list[OutcomeRecord]


@frozen
class OpenStep:
    """Open a trainer's step, owned by an entry."""

    spec: StepSpec
    owner: str
    incarnation: str
    window_ms: int


@frozen
class AdoptStep:
    """Move a step to another entry."""

    trainer: str
    step: int
    expected_incarnation: str
    owner: str
    incarnation: str


@frozen
class FillSlots:
    """Fill slots with finished samples."""

    trainer: str
    step: int
    fills: list[Fill]


@frozen
class HandOver:
    """Hand samples to a trainer from a cursor on."""

    trainer: str
    step: int
    cursor: int
    pull: int
    most: int
    lost: list[str] = field(factory=list)


@frozen
class CloseStep:
    """Forget a step."""

    trainer: str
    step: int


@frozen
class Publish:
    """Move a trainer and the target of its model to a version."""

    trainer: str
    model: str
    version: int


@frozen
class GrantLoads:
    """Let engines load versions."""

    requests: list[GrantRequest]


@frozen
class ReportFailures:
    """Close grants whose loads failed."""

    failures: list[LoadFailure]
    retry_ms: int


@frozen
class Expire:
    """Close overdue grants and steps, by the log's clock."""

    retry_ms: int


Command = (
    ApplyConfig
    | Announce
    | Depart
    | MakeClaim
    | LookUpClaim
    | ReassignClaim
    | RecordOutcomes
    | OpenStep
    | AdoptStep
    | FillSlots
    | HandOver
    | CloseStep
    | Publish
    | GrantLoads
    | ReportFailures
    | Expire
)


@frozen
class Done:
    """The command is committed; `changed` says whether it had an effect."""

    changed: bool = True


@frozen
class Published:
    """The version in force after a publication."""

    version: int


@frozen
class NoSuchClaim:
    """The key is not claimed, or its window has passed."""

    key: str


Result = (
    Done
    | Published
    | ConfigApplied
    | ConfigConflict
    | ClaimGranted
    | ClaimHeld
    | ClaimsFull
    | KeyReused
    | NoSuchClaim
    | StepOpened
    | StepRejected
    | SlotsFilled
    | Delivery
    | PullRejected
)
