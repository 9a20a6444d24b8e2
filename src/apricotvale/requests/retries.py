"""Retry budget: retries are a share of recent requests, so that an outage adds little load."""

from __future__ import annotations

from attrs import define

MAX_TOKENS = 100.0
START_TOKENS = 10.0
REFILL_PER_S = 2.0


@define
class RetryBudget:
    """A token bucket that requests and, slowly, time fill and retries drain.

    :param percent: retries allowed for each hundred requests.
    """

    percent: int
    tokens: float = START_TOKENS
    refilled_at: float = 0.0

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        elapsed = min(1.0, max(0.0, now - self.refilled_at))
        self.refilled_at = now
        earned = self.percent / 100 + elapsed * REFILL_PER_S
        self.tokens = min(MAX_TOKENS, self.tokens + earned)

    def spend(self) -> bool:
        """Take one retry, if the budget allows it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
