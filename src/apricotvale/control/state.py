"""The replicated state machine, which dispatches committed commands to its aggregates."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from attrs import define, evolve, field

from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import Entry, EntryKind, Part
from apricotvale.control import commands as c
from apricotvale.control.configuration import ConfigState, Configuration
from apricotvale.crashes.book import CrashBook, CrashBookState
from apricotvale.crashes.commands import execute
from apricotvale.membership.roster import Roster, RosterState
from apricotvale.requests.claims import Claims, ClaimsState
from apricotvale.samples.ledger import Ledger, LedgerState
from apricotvale.weights.rollout import Fence, Rollout, RolloutState


@define
class StateImage:
    """Content of a snapshot."""

    config: ConfigState = field(factory=ConfigState)
    roster: RosterState = field(factory=RosterState)
    claims: ClaimsState = field(factory=ClaimsState)
    ledger: LedgerState = field(factory=LedgerState)
    rollout: RolloutState = field(factory=RolloutState)
    clock_ms: int = 0
    crashes: CrashBookState = field(factory=CrashBookState)


class ControlState:
    """State of one replica, changed only by committed entries and snapshots.

    `clock_ms` is the log's clock, the latest timestamp of an applied entry.
    """

    def __init__(self, image: StateImage | None = None) -> None:
        self.load(image or StateImage())

    def load(self, image: StateImage) -> None:
        """Replace the state with a decoded snapshot."""
        self.config = Configuration(image.config)
        self.roster = Roster(image.roster)
        self.claims = Claims(image.claims)
        self.ledger = Ledger(image.ledger)
        self.rollout = Rollout(image.rollout)
        self.clock_ms = image.clock_ms
        self.crashes = CrashBook(image.crashes)

    def change_marker(self) -> tuple[int, ...]:
        """Return a marker that changes whenever a waiting sync may have to be answered."""
        return (
            self.config.state.revision,
            self.roster.state.position,
            self.ledger.changes,
            self.rollout.changes,
            self.crashes.state.position,
        )

    def dump(self) -> bytes:
        """Encode the state as the content of a snapshot."""
        image = StateImage(
            self.config.state,
            self.roster.state,
            self.claims.state,
            self.ledger.state,
            self.rollout.state,
            self.clock_ms,
            self.crashes.state,
        )
        return encode(image, StateImage)

    def dump_parts(self, has_part: Callable[[Part], bool]) -> Iterator[tuple[Part, bytes | None]]:
        """Yield no parts: the root holds the whole state."""
        return iter(())

    def restore(self, content: bytes, parts: Iterable[bytes] = ()) -> None:
        """Replace the state with a snapshot; empty content means the initial state."""
        self.load(decode(content, StateImage) if content else StateImage())

    def apply(self, entry: Entry) -> c.Result | None:
        """Apply a committed entry; return the command's result, or None if it holds no command."""
        self.clock_ms = max(self.clock_ms, entry.at_ms)
        if entry.kind is not EntryKind.COMMAND:
            return None
        command = decode(entry.payload, c.Command)
        return self.execute(command, entry)

    def execute(self, command: c.Command, entry: Entry) -> c.Result:
        """Dispatch a command to its aggregate and return the result."""
        match command:
            case c.ApplyConfig():
                return self.config.apply(
                    command.operation_id,
                    command.expected_revision,
                    command.document,
                    command.author,
                    self.clock_ms,
                )
            case c.Announce() | c.Depart():
                return self.change_roster(command, entry)
            case c.MakeClaim() | c.LookUpClaim() | c.ReassignClaim() | c.RecordOutcomes():
                return self.change_claims(command)
            case c.GrantLoads() | c.ReportFailures() | c.Expire():
                return self.change_rollout(command, entry)
            case c.RecordCrashes() | c.ClearSuspects():
                return c.Done(execute(command, self.crashes, entry.index))
            case c.Publish():
                self.rollout.set_target(command.model, command.version)
                return c.Published(self.ledger.publish(command.trainer, command.version))
            case _:
                return self.change_ledger(command)

    def change_roster(self, command: c.Announce | c.Depart, entry: Entry) -> c.Result:
        """Execute a command on the roster."""
        changed = False
        if isinstance(command, c.Announce):
            for member in command.members:
                changed |= self.roster.announce(member, entry.index)
                self.rollout.close_completed_grant(member)
            return c.Done(changed)
        for departure in command.departures:
            if self.roster.depart(departure.name, departure.incarnation, entry.index):
                self.rollout.forget(departure.name)
                changed = True
        return c.Done(changed)

    def change_claims(
        self, command: c.MakeClaim | c.LookUpClaim | c.ReassignClaim | c.RecordOutcomes
    ) -> c.Result:
        """Execute a command on the claims."""
        if isinstance(command, c.MakeClaim):
            return self.claims.claim(command.claim, command.limit, command.window_ms, self.clock_ms)
        if isinstance(command, c.LookUpClaim):
            found = self.claims.look_up(command.key, command.digest)
            return found or c.NoSuchClaim(command.key)
        if isinstance(command, c.RecordOutcomes):
            self.claims.record(command.records)
            return c.Done()
        moved = self.claims.reassign(
            command.key,
            command.attempt,
            command.upstream,
            command.incarnation,
            command.claimant,
        )
        return moved or c.NoSuchClaim(command.key)

    def change_rollout(
        self, command: c.GrantLoads | c.ReportFailures | c.Expire, entry: Entry
    ) -> c.Result:
        """Execute a command on the rollout; `Expire` also closes overdue steps."""
        if isinstance(command, c.GrantLoads):
            fence = Fence(entry.term, entry.index)
            return c.Done(bool(self.rollout.grant(command.requests, fence, self.clock_ms)))
        if isinstance(command, c.Expire):
            overdue = self.rollout.expire(command.retry_ms, self.clock_ms)
            return c.Done(bool(self.ledger.expire(self.clock_ms)) or bool(overdue))
        changed = False
        for failure in command.failures:
            changed |= self.rollout.close_failed_grant(failure, command.retry_ms, self.clock_ms)
        return c.Done(changed)

    def change_ledger(self, command: c.Command) -> c.Result:
        """Execute a command on the ledger of samples."""
        ledger = self.ledger
        match command:
            case c.OpenStep(spec, owner, incarnation, window_ms):
                expires_at_ms = self.clock_ms + window_ms
                return ledger.open_step(
                    evolve(spec, expires_at_ms=expires_at_ms), owner, incarnation
                )
            case c.AdoptStep(trainer, step, expected, owner, incarnation):
                return c.Done(ledger.adopt(trainer, step, expected, owner, incarnation))
            case c.FillSlots(trainer, step, fills):
                return ledger.fill(trainer, step, fills)
            case c.HandOver(trainer, step, cursor, pull, most, lost):
                return ledger.hand_over(trainer, step, cursor, pull, most, lost)
            case c.CloseStep(trainer, step):
                return c.Done(ledger.close(trainer, step))
        raise TypeError(type(command))
