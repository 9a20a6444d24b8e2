"""Retry and hedging state of a request that an entry forwards directly to upstreams.

The state is updated with the results of attempts and with the time. It decides whether to send
another attempt, to wait, or what to answer.
"""

from __future__ import annotations

from typing import Any

from attrs import define, evolve, field

from apricotvale.discovery import Origin
from apricotvale.mechanisms import Mechanism, is_on
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.calls import Answer
from apricotvale.routes import Route, RouteKind

# An idempotent request is hedged after this share of the latency objective, so that the second copy
# can still meet the objective.
HEDGE_OBJECTIVE_SHARE = 0.5
MAX_CONCURRENT_COPIES = 2
# Refusals without execution are not counted by `max_attempts`. Each costs only a round trip; this
# limit bounds their number.
MAX_SENDS = 12
MIN_SERVER_ERROR_STATUS = 500


@define
class ForwardedRequest:
    """Retry state of one request.

    :param deadline: latest time at which the caller is answered, in seconds.
    :param tried: incarnations that were chosen for the request.
    :param not_sent: number of these to which it was not sent, for lack of a permit.
    :param in_flight: number of copies in flight.
    :param in_flight_since: when each of the copies in flight was sent.
    :param may_have_run: number of finished copies that ran or may have run.
    :param withdrawn: number of copies that were cancelled in flight to be sent again, which do not
        count as attempts.
    :param hedge_at: time from which a second copy may be sent while one is in flight; infinite for
        a route without a latency objective.
    :param answered_since: when the first copy that got an answer was sent, None without one.
    :param unknown_since: when the first copy that may have run without an answer was sent.
    :param last_server_error: the last server error answered to a repeatable request.
    :param origin: the only origin whose upstreams may run the request; None for any.
    """

    route: Route
    deadline: float
    tried: list[str] = field(factory=list)
    not_sent: int = 0
    in_flight: int = 0
    in_flight_since: list[float] = field(factory=list)
    answered_since: float | None = None
    unknown_since: float | None = None
    may_have_run: int = 0
    withdrawn: int = 0
    server_errors: int = 0
    hedge_at: float = float("inf")
    last_server_error: Answer | None = None
    refusal: Refusal | None = None
    origin: Origin | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        kind = self.route.kind
        return kind is RouteKind.SAFE or (kind is RouteKind.STREAM and self.route.resumable)

    @property
    def name(self) -> str:
        """Return the name used in logs."""
        return self.route.name

    @property
    def can_have_run(self) -> bool:
        """Return whether a copy has run, may have run or may still run."""
        return bool(self.may_have_run or self.in_flight or self.withdrawn)

    @property
    def ran_at(self) -> float | None:
        """Return when the attempt that ran, or may have run, was sent; None if none did.

        An attempt that got an answer takes precedence over those that may have run.
        """
        if self.answered_since is not None:
            return self.answered_since
        known = [] if self.unknown_since is None else [self.unknown_since]
        return min([*known, *self.in_flight_since], default=None)

    def may_send(self, now: float) -> bool:
        """Return whether the request may be sent to another upstream now."""
        if now >= self.deadline or len(self.tried) - self.not_sent >= MAX_SENDS:
            return False
        if self.in_flight + self.may_have_run >= self.route.max_attempts:
            return False
        if not self.in_flight:
            return self.repeatable or not self.may_have_run
        may_hedge = self.route.kind is RouteKind.SAFE and is_on(Mechanism.HEDGING)
        return may_hedge and self.in_flight < MAX_CONCURRENT_COPIES and now >= self.hedge_at

    def begin(self, incarnation: str, now: float) -> None:
        """Record that a copy is sent to an upstream."""
        self.tried.append(incarnation)
        self.in_flight += 1
        self.in_flight_since.append(now)
        hedge_delay_s = self.route.objective_ms / 1000 * HEDGE_OBJECTIVE_SHARE
        self.hedge_at = now + hedge_delay_s if hedge_delay_s else float("inf")

    def withdraw(self, incarnation: str, sent_at: float) -> None:
        """Record that a copy in flight was cancelled and may be sent again, also there."""
        self.in_flight -= 1
        self.in_flight_since.remove(sent_at)
        self.tried.remove(incarnation)
        self.withdrawn += 1
        self.unknown_since = earlier(self.unknown_since, sent_at)

    def finish(self, result: Any, sent_at: float | None = None) -> Any:
        """Record the result of a copy; return the answer if it is final.

        A server error is not final for a repeatable request, but is kept for `final_result`.

        :param result: an answer, an open stream or a refusal.
        :param sent_at: when the copy was sent; the copy sent first if left out.
        """
        self.in_flight -= 1
        since = min(self.in_flight_since) if sent_at is None else sent_at
        self.in_flight_since.remove(since)
        if not isinstance(result, Refusal):
            self.answered_since = earlier(self.answered_since, since)
        elif result.ran is not Ran.NOT_RUN:
            self.unknown_since = earlier(self.unknown_since, since)
        if isinstance(result, Refusal):
            self.may_have_run += result.ran is not Ran.NOT_RUN
            self.not_sent += result.reason is Reason.RATE_LIMITED
            self.refusal = result
            return None
        self.may_have_run += 1
        is_answer = isinstance(result, Answer)
        if is_answer and result.status >= MIN_SERVER_ERROR_STATUS and self.repeatable:
            self.server_errors += 1
            self.last_server_error = result
            return None
        if not is_answer:
            return result
        return evolve(result, server_errors=self.server_errors)

    def refuse(self, reason: Reason, detail: str) -> None:
        """Record why no further copy is sent; it shows unless a copy may have run."""
        self.refusal = not_run(reason, detail)

    def final_result(self, now: float, retry_after_s: float) -> Answer | Refusal:
        """Return the final answer once no further attempt is possible.

        :param retry_after_s: delay suggested to the caller if the request did not run.
        """
        if self.last_server_error is not None:
            return evolve(self.last_server_error, server_errors=self.server_errors)
        if self.can_have_run:
            reason = self.refusal.reason if self.refusal else Reason.UPSTREAM_LOST
            return unknown(Reason.DEADLINE_EXPIRED if now >= self.deadline else reason)
        reason = self.refusal.reason if self.refusal else Reason.NO_UPSTREAM
        return not_run(
            reason, f"no upstream accepted the request in {len(self.tried)} attempts", retry_after_s
        )


def earlier(known: float | None, at: float) -> float:
    """Return the earlier of a time that may be missing and another one."""
    return at if known is None else min(known, at)
