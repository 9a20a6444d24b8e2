"""Retry budget, which limits retries to a share of recent requests to bound load in an outage."""

from __future__ import annotations

from attrs import define

MAX_TOKENS = 100.0
INITIAL_TOKENS = 10.0
REFILL_TOKENS_PER_S = 2.0


@define
class RetryBudget:
    """A token bucket filled by first attempts and, slowly, by time; each retry takes a token.

    :param percent: number of retries allowed per hundred requests.
    """

    percent: int
    tokens: float = INITIAL_TOKENS
    refilled_at: float = 0.0

    def record_request(self, now: float) -> None:
        """Add the tokens for a first attempt and for the time since the previous one.

        At most one second of elapsed time counts.
        """
        elapsed = min(1.0, max(0.0, now - self.refilled_at))
        self.refilled_at = now
        added = self.percent / 100 + elapsed * REFILL_TOKENS_PER_S
        self.tokens = min(MAX_TOKENS, self.tokens + added)

    @property
    def has_room(self) -> bool:
        """Return whether a retry is allowed."""
        return self.tokens >= 1.0

    def try_spend(self) -> bool:
        """Take a token for one retry; return False if the budget is exhausted."""
        if not self.has_room:
            return False
        self.tokens -= 1.0
        return True
