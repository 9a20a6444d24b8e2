"""The sidecar's table of claim tokens: each runs at most once in one incarnation."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, field

from apricotvale.outcomes import Ran, Reason, Refusal, not_run
from apricotvale.requests.claims import Outcome

SWEEP_LIMIT = 64


class TokenPhase(StrEnum):
    """What a sidecar knows of a token."""

    RUNNING = "running"
    DONE = "done"
    LOST = "lost"
    CLOSED = "closed"


RAN_BY_PHASE = {
    TokenPhase.RUNNING: Ran.UNKNOWN,
    TokenPhase.DONE: Ran.RAN,
    TokenPhase.LOST: Ran.UNKNOWN,
}


@define
class TokenRecord:
    """A token's state; a closed one was refused or tombstoned and never runs."""

    phase: TokenPhase
    expires_at: float
    outcome: Outcome | None = None


@define
class TokenTable:
    """Tokens that this incarnation has seen.

    :param limit: tokens remembered at most; beyond it new ones are refused.
    :param window_s: time for which a token is remembered, in seconds.
    """

    limit: int
    window_s: float
    records: dict[str, TokenRecord] = field(factory=dict)

    def begin(self, token: str, now: float) -> Refusal | None:
        """Let a token run, unless it has run, was refused or was tombstoned."""
        self.sweep(now)
        standing = self.standing(token)
        if standing is not None:
            return standing
        if len(self.records) >= self.limit:
            return not_run(Reason.KEYS_FULL)
        self.records[token] = TokenRecord(TokenPhase.RUNNING, now + self.window_s)
        return None

    def finish(self, token: str, outcome: Outcome) -> None:
        """Remember the answer of a token."""
        self.records[token].phase = TokenPhase.DONE
        self.records[token].outcome = outcome

    def lose(self, token: str) -> None:
        """Note that a token's answer can no longer be learnt."""
        if self.records[token].phase is TokenPhase.RUNNING:
            self.records[token].phase = TokenPhase.LOST

    def refuse(self, token: str, now: float) -> None:
        """Close a token that was never begun, so that it never will be."""
        if token not in self.records:
            self.records[token] = TokenRecord(TokenPhase.CLOSED, now + self.window_s)

    def withdraw(self, token: str) -> None:
        """Close a token that was begun and of which nothing reached the upstream."""
        if self.records[token].phase is TokenPhase.RUNNING:
            self.records[token].phase = TokenPhase.CLOSED

    def standing(self, token: str) -> Refusal | None:
        """Return what to answer to a token that was sent before, None for a new one."""
        held = self.records.get(token)
        if held is None:
            return None
        if held.phase is TokenPhase.CLOSED:
            return not_run(Reason.TOMBSTONED)
        return Refusal(Reason.OUTCOME_UNKNOWN, RAN_BY_PHASE[held.phase], "sent before")

    def resolve(self, token: str, now: float) -> TokenRecord:
        """Return a token's state; one never seen is tombstoned first."""
        if token not in self.records:
            self.records[token] = TokenRecord(TokenPhase.CLOSED, now + self.window_s)
        return self.records[token]

    def sweep(self, now: float) -> None:
        """Forget the oldest tokens whose window has passed."""
        expired: list[str] = []
        for token, record in self.records.items():
            if record.expires_at > now or len(expired) >= SWEEP_LIMIT:
                break
            expired.append(token)
        for token in expired:
            del self.records[token]
