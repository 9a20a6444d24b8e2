"""Replicated claims, which bind a non-idempotent request to one upstream before it is sent.

A claim records the upstream's incarnation and an attempt number. It moves to another upstream only
after a refusal that guarantees the request did not run. If the outcome cannot be determined, it is
recorded as unknown and the request never runs again.
"""

from __future__ import annotations

from enum import StrEnum

from attrs import define, evolve, field, frozen

# Bounds the work of one command.
MAX_REMOVALS_PER_SWEEP = 256


class ClaimPhase(StrEnum):
    """Progress of a claimed request.

    UNKNOWN means that the outcome of the attempt cannot be determined.
    """

    DISPATCHED = "dispatched"
    DONE = "done"
    UNKNOWN = "unknown"


@frozen
class Outcome:
    """A complete answer from an upstream, as stored with the claim."""

    status: int
    content_type: str
    body: bytes


@frozen
class Claim:
    """State of one idempotency key.

    :param digest: hash of the request, to detect a key reused for another request.
    :param claimant: name of the entry that sends the request.
    :param expires_at_ms: on the log's clock, when the key may be removed.
    """

    key: str
    digest: str
    upstream: str
    incarnation: str
    attempt: int
    claimant: str
    expires_at_ms: int = 0
    phase: ClaimPhase = ClaimPhase.DISPATCHED
    outcome: Outcome | None = None

    @property
    def token(self) -> str:
        """Return the token of this attempt, which a sidecar runs at most once."""
        return f"{self.key}/{self.attempt}"


@frozen
class ClaimGranted:
    """The claimant may send the request to the claim's upstream."""

    claim: Claim


@frozen
class ClaimHeld:
    """The key is already claimed; `claim` holds its progress."""

    claim: Claim


@frozen
class KeyReused:
    """The key is already claimed for a different request."""

    key: str


@frozen
class ClaimsFull:
    """The maximum number of claimed keys is reached."""

    limit: int


@frozen
class OutcomeRecord:
    """The answer to an attempt, or None if its outcome cannot be determined."""

    key: str
    attempt: int
    outcome: Outcome | None


@define
class ClaimsState:
    """Replicated claims by key, in order of creation."""

    claims: dict[str, Claim] = field(factory=dict)


class Claims:
    """Operations on the replicated claims."""

    def __init__(self, state: ClaimsState | None = None) -> None:
        self.state = state or ClaimsState()

    def claim(
        self, requested: Claim, limit: int, window_ms: int, now_ms: int
    ) -> ClaimGranted | ClaimHeld | KeyReused | ClaimsFull:
        """Claim a key, or return the progress of an existing claim.

        Granting is idempotent: a repeated identical claim is granted again.

        :param requested: the claim at attempt 1.
        :param limit: maximum number of stored keys.
        :param window_ms: how long the key is kept.
        :param now_ms: the log's clock.
        """
        self.remove_expired(now_ms)
        existing = self.state.claims.get(requested.key)
        if existing is None:
            if len(self.state.claims) >= limit:
                return ClaimsFull(limit)
            granted = evolve(requested, expires_at_ms=now_ms + window_ms)
            self.state.claims[requested.key] = granted
            return ClaimGranted(granted)
        if existing.digest != requested.digest:
            return KeyReused(requested.key)
        if existing == evolve(requested, expires_at_ms=existing.expires_at_ms):
            return ClaimGranted(existing)
        return ClaimHeld(existing)

    def look_up(self, key: str, digest: str) -> ClaimHeld | KeyReused | None:
        """Return the progress of a key without claiming it, None if it is not claimed."""
        existing = self.state.claims.get(key)
        if existing is None:
            return None
        return ClaimHeld(existing) if existing.digest == digest else KeyReused(key)

    def reassign(
        self, key: str, attempt: int, upstream: str, incarnation: str, claimant: str
    ) -> ClaimGranted | ClaimHeld | None:
        """Move a claim to another upstream after `attempt` was refused without running.

        Returns ClaimHeld if the claim has moved to another attempt or is no longer dispatched, None
        if the key is not claimed. Granting is idempotent, as in `claim`.
        """
        existing = self.state.claims.get(key)
        if existing is None:
            return None
        moved = evolve(
            existing,
            attempt=attempt + 1,
            upstream=upstream,
            incarnation=incarnation,
            claimant=claimant,
        )
        if existing == moved:
            return ClaimGranted(existing)
        if existing.attempt != attempt or existing.phase is not ClaimPhase.DISPATCHED:
            return ClaimHeld(existing)
        self.state.claims[key] = moved
        return ClaimGranted(moved)

    def record(self, records: list[OutcomeRecord]) -> None:
        """Record outcomes of current attempts; a recorded answer is never overwritten."""
        for record in records:
            existing = self.state.claims.get(record.key)
            if existing is None or existing.attempt != record.attempt:
                continue
            if existing.phase is ClaimPhase.DONE:
                continue
            if record.outcome is not None:
                done = evolve(existing, phase=ClaimPhase.DONE, outcome=record.outcome)
                self.state.claims[record.key] = done
            else:
                self.state.claims[record.key] = evolve(existing, phase=ClaimPhase.UNKNOWN)

    def remove_expired(self, now_ms: int) -> None:
        """Remove the oldest expired claims, at most MAX_REMOVALS_PER_SWEEP of them."""
        expired: list[str] = []
        for key, claim in self.state.claims.items():
            if claim.expires_at_ms > now_ms or len(expired) >= MAX_REMOVALS_PER_SWEEP:
                break
            expired.append(key)
        for key in expired:
            del self.state.claims[key]
