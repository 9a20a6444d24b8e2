"""A sidecar's table of claim tokens; each token runs at most once per incarnation."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, field

from apricotvale.outcomes import Ran, Reason, Refusal, not_run
from apricotvale.requests.claims import Outcome

# Bounds the work of one request.
MAX_REMOVALS_PER_SWEEP = 64


class TokenPhase(StrEnum):
    """State of a token at a sidecar.

    LOST means that the outcome cannot be determined, CLOSED that the token never runs.
    """

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
    """State of a token and, once it is done, its outcome.

    :param expires_at: monotonic time in seconds after which the record may be removed.
    """

    phase: TokenPhase
    expires_at: float
    outcome: Outcome | None = None


@define
class TokenTable:
    """Tokens seen by this incarnation.

    :param limit: maximum number of stored tokens; further tokens are refused.
    :param window_s: how long a token is kept, in seconds.
    """

    limit: int
    window_s: float
    records: dict[str, TokenRecord] = field(factory=dict)

    def begin(self, token: str, now: float) -> Refusal | None:
        """Start a token; return a refusal if it was seen before or the table is full."""
        self.remove_expired(now)
        refusal = self.prior_refusal(token)
        if refusal is not None:
            return refusal
        if len(self.records) >= self.limit:
            return not_run(Reason.KEYS_FULL)
        self.records[token] = TokenRecord(TokenPhase.RUNNING, now + self.window_s)
        return None

    def finish(self, token: str, outcome: Outcome) -> None:
        """Record the outcome of a token."""
        self.records[token].phase = TokenPhase.DONE
        self.records[token].outcome = outcome

    def mark_lost(self, token: str) -> None:
        """Record that the outcome of a running token cannot be determined."""
        if self.records[token].phase is TokenPhase.RUNNING:
            self.records[token].phase = TokenPhase.LOST

    def close_unstarted(self, token: str, now: float) -> None:
        """Close a token that was never started, so that it cannot start later."""
        if token not in self.records:
            self.records[token] = TokenRecord(TokenPhase.CLOSED, now + self.window_s)

    def close_unsent(self, token: str) -> None:
        """Close a running token whose request did not reach the upstream."""
        if self.records[token].phase is TokenPhase.RUNNING:
            self.records[token].phase = TokenPhase.CLOSED

    def prior_refusal(self, token: str) -> Refusal | None:
        """Return the refusal for a token seen before, None for a new one."""
        record = self.records.get(token)
        if record is None:
            return None
        if record.phase is TokenPhase.CLOSED:
            return not_run(Reason.TOMBSTONED)
        return Refusal(
            Reason.OUTCOME_UNKNOWN,
            RAN_BY_PHASE[record.phase],
            f"request was received before ({record.phase}); this answer cannot give its outcome",
        )

    def resolve(self, token: str, now: float) -> TokenRecord:
        """Return the state of a token; a token never seen is closed first, as a tombstone."""
        if token not in self.records:
            self.records[token] = TokenRecord(TokenPhase.CLOSED, now + self.window_s)
        return self.records[token]

    def remove_expired(self, now: float) -> None:
        """Remove the oldest expired tokens, at most MAX_REMOVALS_PER_SWEEP of them."""
        expired: list[str] = []
        for token, record in self.records.items():
            if record.expires_at > now or len(expired) >= MAX_REMOVALS_PER_SWEEP:
                break
            expired.append(token)
        for token in expired:
            del self.records[token]
