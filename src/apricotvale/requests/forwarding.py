"""What an entry decides about a request that goes straight to an upstream.

The state of one request takes results and time, and says whether to send it once more, to wait,
or what to answer.
"""

from __future__ import annotations

from attrs import define, evolve, field

from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.calls import Answer
from apricotvale.routes import Route, RouteKind

# A second copy of an idempotent request is sent when this share of the latency objective has
# passed, so that the copy can still be in time.
HEDGE_SHARE = 0.5
MAX_CONCURRENT = 2
# Upstreams that refuse without running cost only a round trip each; this bounds them.
MAX_SENDS = 12
SERVER_ERROR = 500


@define
class ForwardedRequest:
    """The state of one request.

    :param deadline: when the caller is answered at the latest.
    :param sent: incarnations to which the request was sent.
    :param may_have_run: how many of them may have run it.
    :param hedge_at: when a further copy may be sent beside a running one.
    """

    route: Route
    deadline: float
    sent: list[str] = field(factory=list)
    running: int = 0
    may_have_run: int = 0
    server_errors: int = 0
    hedge_at: float = float("inf")
    best: Answer | None = None
    refusal: Refusal | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind is RouteKind.SAFE

    def may_send(self, now: float) -> bool:
        """Return whether the request may be sent to one more upstream now."""
        if now >= self.deadline or len(self.sent) >= MAX_SENDS:
            return False
        if self.running + self.may_have_run >= self.route.max_attempts:
            return False
        if not self.running:
            return self.repeatable or not self.may_have_run
        return self.repeatable and self.running < MAX_CONCURRENT and now >= self.hedge_at

    def begin(self, incarnation: str, now: float) -> None:
        """Note a sending."""
        self.sent.append(incarnation)
        self.running += 1
        wait_s = self.route.objective_ms / 1000 * HEDGE_SHARE
        self.hedge_at = now + wait_s if wait_s else float("inf")

    def finish(self, result: Answer | Refusal) -> Answer | None:
        """Note a sending's result; return the answer if the request is done with it."""
        self.running -= 1
        if isinstance(result, Refusal):
            self.may_have_run += result.ran is not Ran.NOT_RUN
            self.refusal = result
            return None
        self.may_have_run += 1
        if result.status >= SERVER_ERROR and self.repeatable:
            self.server_errors += 1
            self.best = result
            return None
        return evolve(result, server_errors=self.server_errors)

    def give_up(self, now: float, retry_after_s: float) -> Answer | Refusal:
        """Return the final answer when nothing runs and nothing may be sent any more."""
        if self.best is not None:
            return evolve(self.best, server_errors=self.server_errors)
        if self.may_have_run or self.running:
            reason = self.refusal.reason if self.refusal else Reason.UPSTREAM_LOST
            return unknown(Reason.DEADLINE_EXPIRED if now >= self.deadline else reason)
        reason = self.refusal.reason if self.refusal else Reason.NO_UPSTREAM
        return not_run(reason, "no upstream took the request", retry_after_s)
