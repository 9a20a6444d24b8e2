"""Replicated claims: a non-idempotent request is bound to one upstream before it is sent.

A claim names the upstream's incarnation and an attempt number. The attempt may move to another
upstream only after a true refusal; an outcome that cannot be learnt is recorded as unknown and
the request is never run again.
"""

from __future__ import annotations

from enum import StrEnum

from attrs import define, evolve, field, frozen

SWEEP_LIMIT = 256


class ClaimPhase(StrEnum):
    """What is known of a claim."""

    DISPATCHED = "dispatched"
    DONE = "done"
    UNKNOWN = "unknown"


@frozen
class Outcome:
    """An upstream's whole answer."""

    status: int
    content_type: str
    body: bytes


@frozen
class Claim:
    """The state of one key."""

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
        """Return what the sidecar runs at most once."""
        return f"{self.key}/{self.attempt}"


@frozen
class ClaimGranted:
    """The claimant may send the request to the claim's upstream."""

    claim: Claim


@frozen
class ClaimHeld:
    """The key is already claimed; the claim says how far it is."""

    claim: Claim


@frozen
class KeyReused:
    """The key was claimed for another request."""

    key: str


@frozen
class ClaimsFull:
    """No further key can be remembered now."""

    limit: int


@frozen
class OutcomeRecord:
    """The answer that a token's run gave; None if it can no longer be learnt."""

    key: str
    attempt: int
    outcome: Outcome | None


@define
class ClaimsState:
    """Claims by key, oldest first."""

    claims: dict[str, Claim] = field(factory=dict)


class Claims:
    """Rules of claims."""

    def __init__(self, state: ClaimsState | None = None) -> None:
        self.state = state or ClaimsState()

    def claim(
        self, wanted: Claim, limit: int, window_ms: int, now_ms: int
    ) -> ClaimGranted | ClaimHeld | KeyReused | ClaimsFull:
        """Grant a new key; for a known one say how far it is.

        :param wanted: the claim at attempt 1.
        :param limit: how many keys may be remembered.
        :param window_ms: time for which the key is remembered.
        :param now_ms: the log's clock.
        """
        self.sweep(now_ms)
        held = self.state.claims.get(wanted.key)
        if held is None:
            if len(self.state.claims) >= limit:
                return ClaimsFull(limit)
            granted = evolve(wanted, expires_at_ms=now_ms + window_ms)
            self.state.claims[wanted.key] = granted
            return ClaimGranted(granted)
        if held.digest != wanted.digest:
            return KeyReused(wanted.key)
        if held == evolve(wanted, expires_at_ms=held.expires_at_ms):
            return ClaimGranted(held)
        return ClaimHeld(held)

    def look_up(self, key: str, digest: str) -> ClaimHeld | KeyReused | None:
        """Return how far a key is, without claiming it."""
        held = self.state.claims.get(key)
        if held is None:
            return None
        return ClaimHeld(held) if held.digest == digest else KeyReused(key)

    def reassign(
        self, key: str, attempt: int, upstream: str, incarnation: str, claimant: str
    ) -> ClaimGranted | ClaimHeld | None:
        """Move a claim that was truly refused to another upstream, from `attempt` to the next."""
        held = self.state.claims.get(key)
        if held is None:
            return None
        moved = evolve(
            held,
            attempt=attempt + 1,
            upstream=upstream,
            incarnation=incarnation,
            claimant=claimant,
        )
        if held == moved:
            return ClaimGranted(held)
        if held.attempt != attempt or held.phase is not ClaimPhase.DISPATCHED:
            return ClaimHeld(held)
        self.state.claims[key] = moved
        return ClaimGranted(moved)

    def record(self, records: list[OutcomeRecord]) -> None:
        """Record outcomes; the first one of a claim stays."""
        for record in records:
            held = self.state.claims.get(record.key)
            if held is None or held.attempt != record.attempt:
                continue
            if held.phase is ClaimPhase.DONE:
                continue
            if record.outcome is not None:
                done = evolve(held, phase=ClaimPhase.DONE, outcome=record.outcome)
                self.state.claims[record.key] = done
            else:
                self.state.claims[record.key] = evolve(held, phase=ClaimPhase.UNKNOWN)

    def sweep(self, now_ms: int) -> None:
        """Forget the oldest claims whose window has passed."""
        expired: list[str] = []
        for key, claim in self.state.claims.items():
            if claim.expires_at_ms > now_ms or len(expired) >= SWEEP_LIMIT:
                break
            expired.append(key)
        for key in expired:
            del self.state.claims[key]
