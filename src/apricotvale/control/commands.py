"""Commands of the replicated state machine. Committing one twice has the same effect as once."""

from __future__ import annotations

from attrs import field, frozen

from apricotvale.control.configuration import ConfigApplied, ConfigConflict, ConfigDocument
from apricotvale.crashes.commands import ClearSuspects, RecordCrashes
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
    """Replace the configuration if the current revision is the expected one.

    :param operation_id: identifies the change, so that a resend returns the first result.
    """

    operation_id: str
    expected_revision: int
    document: ConfigDocument
    author: str = ""


@frozen
class Announce:
    """Add members or update their announced state."""

    members: list[Member]


@frozen
class Depart:
    """Remove members that left or whose lease expired."""

    departures: list[Departure]


@frozen
class MakeClaim:
    """Claim an idempotency key.

    :param limit: maximum number of stored keys.
    :param window_ms: how long the key is kept.
    """

    claim: Claim
    limit: int
    window_ms: int


@frozen
class LookUpClaim:
    """Read the progress of a key; as a log entry, the read is ordered with all claims."""

    key: str
    digest: str


@frozen
class ReassignClaim:
    """Move a claim to another upstream after a refusal.

    :param attempt: the refused attempt.
    """

    key: str
    attempt: int
    upstream: str
    incarnation: str
    claimant: str


@frozen
class RecordOutcomes:
    """Record the outcomes of claimed requests."""

    records: list[OutcomeRecord]


@frozen
class OpenStep:
    """Open a trainer's step.

    :param owner: name of the entry that owns the step.
    :param incarnation: incarnation of the owner.
    :param window_ms: time until the step expires.
    """

    spec: StepSpec
    owner: str
    incarnation: str
    window_ms: int


@frozen
class AdoptStep:
    """Change the owner of a step.

    :param expected_incarnation: incarnation of the current owner; if another one owns the step,
        nothing changes.
    """

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
    """Hand samples to a trainer.

    :param cursor: first position that the trainer does not have; earlier ones are acknowledged.
    :param pull: number of the pull; one older than the last is rejected.
    :param most: maximum number of samples handed over and not acknowledged.
    :param lost: attempts whose payload could not be fetched.
    """

    trainer: str
    step: int
    cursor: int
    pull: int
    most: int
    lost: list[str] = field(factory=list)


@frozen
class CloseStep:
    """Delete a step."""

    trainer: str
    step: int


@frozen
class Publish:
    """Set the weight version of a trainer and the target version of its model."""

    trainer: str
    model: str
    version: int


@frozen
class GrantLoads:
    """Grant engines the right to load weight versions."""

    requests: list[GrantRequest]


@frozen
class ReportFailures:
    """Close the grants of failed loads.

    :param retry_ms: initial back-off of the engines.
    """

    failures: list[LoadFailure]
    retry_ms: int


@frozen
class Expire:
    """Close overdue grants and steps, by the log's clock.

    :param retry_ms: initial back-off of the engines whose grants are closed.
    """

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
    | RecordCrashes
    | ClearSuspects
)


@frozen
class Done:
    """The command is committed; `changed` says whether it had an effect."""

    changed: bool = True


@frozen
class Published:
    """The trainer's weight version after a publication."""

    version: int


@frozen
class NoSuchClaim:
    """The key is not claimed, or its claim has expired."""

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
