"""Retry and hedging state of a request that an entry sends to sidecars."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.retries import RetryBudget


@define
class DispatchedRequest:
    """Retry state of one request.

    A round is a copy with, if it is slow, a second copy. The next round begins once all copies of
    the one before were refused.

    :param name: name used in logs.
    :param deadline: latest time at which the caller is answered, on `clock.now`, in seconds.
    :param budget: retry budget, which is charged for second copies.
    :param may_retry: returns whether another round follows a refusal, and charges the budget.
    :param hedge_after_s: delay before the second copy of a round; 0 without one.
    :param tried: incarnations to which a copy was sent.
    :param is_open: whether the next round may begin.
    :param is_exhausted: whether there was no upstream left for the next round.
    :param outcome_unknown: the last refusal of a copy that may have run.
    """

    name: str
    deadline: float
    repeatable: bool
    budget: RetryBudget
    may_retry: Callable[[Refusal], bool]
    max_rounds: int
    hedge_after_s: float = 0.0
    hedge_at: float = float("inf")
    tried: set[str] = field(factory=set)
    rounds: int = 0
    in_flight: int = 0
    withdrawn: int = 0
    is_open: bool = True
    is_exhausted: bool = False
    refusal: Refusal | None = None
    outcome_unknown: Refusal | None = None

    @property
    def can_have_run(self) -> bool:
        """Return whether a copy may have run or may still run."""
        return bool(self.outcome_unknown or self.in_flight or self.withdrawn)

    def may_send(self, now: float) -> bool:
        """Return whether a copy may be sent now."""
        if now >= self.deadline:
            return False
        if not self.in_flight:
            return self.is_open and self.rounds < self.max_rounds
        if now < self.hedge_at:
            return False
        if not self.budget.has_room:
            self.hedge_at = float("inf")
            return False
        return True

    def begin(self, incarnation: str, now: float) -> None:
        """Record that a copy is sent to a member."""
        self.tried.add(incarnation)
        if self.in_flight:
            self.budget.try_spend()
            self.hedge_at = float("inf")
        else:
            self.is_open = False
            self.rounds += 1
            self.hedge_at = now + self.hedge_after_s if self.hedge_after_s else float("inf")
        self.in_flight += 1

    def withdraw(self, incarnation: str, sent_at: float) -> None:
        """Record that a copy in flight was cancelled and may be sent again, also there."""
        self.in_flight -= 1
        self.withdrawn += 1
        self.tried.discard(incarnation)
        if not self.in_flight:
            self.is_open = True
            self.rounds -= 1

    def finish(self, result: Any, sent_at: float) -> Any:
        """Record the result of a copy; return it if it is an answer, else None."""
        self.in_flight -= 1
        if not isinstance(result, Refusal):
            return result
        self.refusal = result
        if result.ran is not Ran.NOT_RUN:
            self.outcome_unknown = result
        if not self.in_flight:
            self.is_open = self.may_retry(result)
        return None

    def refuse(self, reason: Reason, detail: str) -> None:
        """Record why no further copy is sent; it shows unless a copy may have run."""
        self.refusal = not_run(reason, detail)

    def exhaust(self, refusal: Refusal) -> None:
        """Record that there is no upstream for the next round."""
        self.is_exhausted = True
        self.refusal = self.refusal or refusal

    def start_over(self) -> None:
        """Try all upstreams again."""
        self.tried.clear()
        self.is_open, self.is_exhausted = True, False
        self.rounds += 1

    def final_result(self, now: float) -> Refusal:
        """Return the refusal once no further copy is sent; it states whether one may have run."""
        if self.in_flight or (self.withdrawn and now >= self.deadline):
            return unknown(Reason.DEADLINE_EXPIRED)
        if self.outcome_unknown is not None:
            return self.outcome_unknown
        if self.withdrawn:
            return unknown(self.refusal.reason if self.refusal else Reason.UPSTREAM_LOST)
        if self.refusal is not None:
            return self.refusal
        return not_run(Reason.DEADLINE_EXPIRED if now >= self.deadline else Reason.NO_UPSTREAM)
