"""Calls about requests that end upstreams, which every control leader answers."""

from __future__ import annotations

from attrs import frozen

from apricotvale.crashes.book import CrashReport, SuspectNotice


@frozen
class ReportCrashes:
    """Report ends of upstreams with the requests that were in flight there."""

    reports: list[CrashReport]


@frozen
class BeginTrial:
    """Ask for the only submission in flight of a request under suspicion.

    :param candidates: incarnations at which it may run, in order of preference.
    :param left_ms: time until the submission's deadline.
    :param wait_ms: how long the call may wait for another trial to end.
    """

    identity: str
    request_id: str
    process: str
    candidates: list[str]
    left_ms: int
    wait_ms: int = 0


@frozen
class EndTrial:
    """Report that a submission of a request under suspicion is over.

    :param answered: whether an upstream answered it, which clears the request.
    """

    identity: str
    request_id: str
    process: str
    answered: bool = False


@frozen
class CrashesRecorded:
    """Reported crashes are recorded; what is known now of their requests."""

    notices: list[SuspectNotice]


@frozen
class TrialGranted:
    """The submission is the only one of its request that may be in flight.

    :param upstream: incarnation at which it may run.
    """

    upstream: str


@frozen
class TrialDenied:
    """Another submission is in flight, no candidate is free, or the request is not sent any more.

    :param notice: what is known of the request.
    """

    notice: SuspectNotice


@frozen
class NotSuspected:
    """The request is not under suspicion and needs no trial."""
