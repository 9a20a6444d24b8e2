"""Decides which window is closed and which call to the infrastructure is due now.

Load pattern: the infrastructure is slow, down or refuses calls for longer than a window lasts, so
that several windows wait. Windows take turns after a failure, so that one that is never accepted
does not hold up the others.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from attrs import define, field, frozen

from apricotvale.duties.usage import ClosedWindow, window_at

FIRST_RETRY_S = 0.25
MAX_RETRY_S = 2.0
# A window that is not accepted by then is given up.
GIVE_UP_S = 60.0


class Outcome(StrEnum):
    """The outcome of one call to the infrastructure."""

    ACCEPTED = "accepted"
    FENCED_OFF = "fenced_off"
    BUSY = "busy"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    GARBLED = "garbled"
    NOT_SENT = "not_sent"


@frozen
class CallResult:
    """The outcome of one call and, for a failure, its detail."""

    outcome: Outcome
    detail: str = ""


class Infrastructure(Protocol):
    """The calls of the infrastructure that only one process may make."""

    async def report_usage(
        self,
        window: int,
        counts: dict[str, int],
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> CallResult:
        """Report a window; `may_send` is checked when the connection is ready."""


@frozen
class UsageTimes:
    """Durations of usage reports, in seconds.

    :param late_s: time from the end of a window until its report is due.
    """

    window_s: float
    late_s: float

    def end(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self.window_s

    def is_closable(self, window: int, true_time: float) -> bool:
        """Return whether a window is to be closed.

        Half of the time until the report is due remains for entries that were frozen or without
        control, the other half for attempts to report.
        """
        return true_time >= self.end(window) + self.late_s / 2

    def is_expired(self, window: int, true_time: float) -> bool:
        """Return whether it is too late to report a window."""
        return true_time >= self.end(window) + max(GIVE_UP_S, self.late_s)

    def window_at(self, true_time: float) -> int:
        """Return the window that contains a true time."""
        return window_at(true_time, self.window_s)


@define
class ReportPlan:
    """Attempts to report in one term of leadership.

    :param failures: failed attempts by window.
    :param is_fenced_off: whether the infrastructure knows a newer holder; no further call is made.
    """

    failures: dict[int, int] = field(factory=dict)
    retry_at: float = float("-inf")
    delay_s: float = FIRST_RETRY_S
    is_fenced_off: bool = False

    def next_call(self, unreported: list[ClosedWindow], now: float) -> ClosedWindow | None:
        """Return the window to report now: the one with the fewest failures, then the oldest."""
        if self.is_fenced_off or now < self.retry_at or not unreported:
            return None
        return min(unreported, key=lambda w: (self.failures.get(w.window, 0), w.window))

    def finish(self, window: int, outcome: Outcome, now: float) -> None:
        """Record the outcome of a call."""
        match outcome:
            case Outcome.ACCEPTED:
                self.failures.pop(window, None)
                self.delay_s = FIRST_RETRY_S
            case Outcome.FENCED_OFF:
                self.is_fenced_off = True
            case _:
                self.failures[window] = self.failures.get(window, 0) + 1
                self.retry_at = now + self.delay_s
                self.delay_s = min(MAX_RETRY_S, self.delay_s * 2)
