"""The supervision of one submission: what is known against its request, and its trial."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define

from apricotvale import clock, metrics
from apricotvale.crashes.known import KnownSuspect
from apricotvale.discovery import Upstream
from apricotvale.requests.calls import Call

if TYPE_CHECKING:
    from apricotvale.daemons.crash_guard import CrashGuard


class TrialState(Enum):
    """A submission's part in the trials of its request.

    REFUSED: there is none for it in time, so that it cannot be served.
    EXEMPT: it needs none, since control does not suspect the request, or it cannot be withdrawn.
    """

    NONE = "none"
    ASKED = "asked"
    GRANTED = "granted"
    DENIED = "denied"
    REFUSED = "refused"
    EXEMPT = "exempt"


@define(eq=False)
class Supervision:
    """One submission in flight, as a context manager.

    :param changed: done once what is known of the request, or of its trial, has changed.
    :param upstream: incarnation at which a granted trial runs.
    """

    guard: CrashGuard
    call: Call
    changed: asyncio.Future[None]
    trial: TrialState = TrialState.NONE
    upstream: str = ""
    asking: asyncio.Task[None] | None = None
    has_asked: bool = False
    is_answered: bool = False

    def __enter__(self) -> Supervision:
        if self.call.caller is not None:
            self.guard.in_flight.add(self)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.guard.in_flight.discard(self)
        if self.asking is not None:
            self.asking.cancel()
        if self.has_asked:
            self.guard.end_trial(self.call, answered=False)

    def suspicion(self, now: float) -> KnownSuspect | None:
        """Return what is known against the request, None if it is not suspected."""
        return self.guard.suspicion(self.call, now)

    @property
    def is_waiting(self) -> bool:
        """Return whether a call for a trial is under way."""
        return self.trial is TrialState.ASKED

    def has_trial_at(self, upstream: Upstream) -> bool:
        """Return whether the submission has a trial that runs at an upstream."""
        return self.trial is TrialState.GRANTED and self.upstream == upstream.incarnation

    def notify(self) -> None:
        """Wake the task that forwards the submission."""
        if not self.changed.done():
            self.changed.set_result(None)

    def rearm(self) -> None:
        """Prepare for the next change."""
        if self.changed.done():
            self.changed = asyncio.get_running_loop().create_future()

    def may_send(self, in_flight: int, now: float) -> bool:
        """Return whether a copy may be sent: a request under suspicion needs a trial for one."""
        if self.suspicion(now) is None or self.trial is TrialState.EXEMPT:
            return True
        return self.trial is TrialState.GRANTED and not in_flight

    def needs_trial(self, now: float) -> bool:
        """Return whether a trial is to be asked for."""
        is_open = self.trial in (TrialState.NONE, TrialState.DENIED)
        return is_open and self.suspicion(now) is not None

    def ask(self, candidates: Sequence[str], has_copy: bool) -> None:
        """Ask for a trial.

        :param candidates: incarnations in order of preference.
        :param has_copy: whether a copy is in flight at the only candidate.
        """
        self.trial = TrialState.ASKED
        self.has_asked = True
        work = self.guard.begin_trial(self, list(candidates), has_copy)
        self.asking = asyncio.create_task(work)

    def settle(self, trial: TrialState, upstream: str = "") -> None:
        """Set the outcome of a call for a trial."""
        self.trial, self.upstream = trial, upstream
        metrics.TRIALS.labels(trial.value).inc()
        self.notify()

    def finish_copy(self, answered: bool) -> None:
        """Record that a copy has its result; an answer clears the request."""
        self.is_answered = self.is_answered or answered
        if answered and self.suspicion(clock.now()) is not None:
            self.give_back(answered=True)
        elif self.trial in (TrialState.GRANTED, TrialState.EXEMPT):
            self.give_back(answered=False)

    def give_back(self, answered: bool = False) -> None:
        """End the trial, or what takes its place; the next copy needs another one."""
        if answered or self.trial is TrialState.GRANTED:
            self.guard.end_trial(self.call, answered)
            self.has_asked = False
        if self.trial is not TrialState.ASKED:
            self.trial, self.upstream = TrialState.NONE, ""
