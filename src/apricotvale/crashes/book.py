"""The replicated record of requests during which upstreams ended."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

# A request that was running when this many upstreams ended is not sent any more.
CONDEMNING_CRASHES = 3
MAX_SUSPECTS = 512
# Records of removals kept to compute deltas; a reader that is behind the oldest gets all suspects.
MAX_REMOVED = 512
# The id of a submission is the caller's text.
MAX_REQUEST_ID = 80


@frozen
class Crash:
    """The end of an upstream that had a submission in flight.

    :param upstream: incarnation that ended.
    :param process: process that had sent the submission there.
    :param at_ms: wall-clock time of that process, in Unix milliseconds.
    :param ran_ms: time for which the submission had been in flight there, 0 if it is not known.
    """

    upstream: str
    process: str
    request_id: str
    at_ms: int
    ran_ms: int = 0


@frozen
class CrashReport:
    """What a process reports of one request.

    :param is_trial: whether the submission was the only one in flight of this request.
    """

    identity: str
    crash: Crash
    is_trial: bool = False


@frozen
class Suspect:
    """A request with the ends of upstreams at which it was in flight, in order of record."""

    identity: str
    crashes: list[Crash]

    @property
    def is_condemned(self) -> bool:
        """Return whether the request is not sent any more."""
        return len(self.crashes) >= CONDEMNING_CRASHES


@frozen
class SuspectNotice:
    """A suspect as a process learns it.

    :param left_ms: time until the record ends.
    """

    suspect: Suspect
    left_ms: int


@frozen
class SuspectDelta:
    """Changes since a position; a full delta replaces all that is known."""

    position: int
    full: bool
    notices: list[SuspectNotice] = field(factory=list)
    removed: list[str] = field(factory=list)


@define
class CrashBookState:
    """The suspects, as stored in snapshots. Positions are log indexes.

    :param changed_at: position of the last change, by identity.
    :param removed_at: position of the removal, by identity.
    :param forgotten_at: position of the newest removal that is not in `removed_at`.
    """

    position: int = 0
    suspects: dict[str, Suspect] = field(factory=dict)
    changed_at: dict[str, int] = field(factory=dict)
    removed_at: dict[str, int] = field(factory=dict)
    forgotten_at: int = 0


def is_new(crashes: Iterable[Crash], crash: Crash, is_trial: bool) -> bool:
    """Return whether a crash is not among those known of the same request.

    Several processes, or several submissions, report the same end of an upstream. A trial is a
    submission that was sent after the earlier ends, so that its upstream has ended once more even
    if it was known under an incarnation that had ended before.
    """
    same = [known.request_id for known in crashes if known.upstream == crash.upstream]
    return not same or (is_trial and crash.request_id not in same)


class CrashBook:
    """Operations on the replicated record."""

    def __init__(self, state: CrashBookState) -> None:
        self.state = state

    def is_news(self, report: CrashReport) -> bool:
        """Return whether a report would change the record."""
        suspect = self.state.suspects.get(report.identity)
        if suspect is None:
            return True
        if suspect.is_condemned:
            return False
        return is_new(suspect.crashes, report.crash, report.is_trial)

    def record(self, report: CrashReport, position: int) -> bool:
        """Record a report; return whether it is news."""
        crash = evolve(report.crash, request_id=report.crash.request_id[:MAX_REQUEST_ID])
        report = evolve(report, crash=crash)
        if not self.is_news(report):
            return False
        known = self.state.suspects.get(report.identity)
        crashes = [*known.crashes, crash] if known else [crash]
        if known is None and len(self.state.suspects) >= MAX_SUSPECTS:
            self.remove(self.least_suspect(), position)
        self.state.suspects[report.identity] = Suspect(report.identity, crashes)
        self.state.changed_at[report.identity] = position
        self.state.removed_at.pop(report.identity, None)
        self.state.position = position
        return True

    def least_suspect(self) -> str:
        """Return the identity with the fewest crashes, of these the one unchanged for longest.

        Load pattern: a caller sends a new body each time, so that its records would replace those
        of requests that come again.
        """
        state = self.state
        return min(
            state.suspects, key=lambda i: (len(state.suspects[i].crashes), state.changed_at[i])
        )

    def remove(self, identity: str, position: int) -> bool:
        """Remove a suspect; return whether there was one."""
        state = self.state
        if state.suspects.pop(identity, None) is None:
            return False
        del state.changed_at[identity]
        state.removed_at[identity] = state.position = position
        while len(state.removed_at) > MAX_REMOVED:
            oldest = min(state.removed_at, key=state.removed_at.__getitem__)
            state.forgotten_at = max(state.forgotten_at, state.removed_at.pop(oldest))
        return True

    def changes(self, position: int) -> tuple[bool, list[Suspect], list[str]]:
        """Return whether all suspects are needed, the suspects to send and those removed.

        :param position: what the reader knows.
        """
        state = self.state
        if position < state.forgotten_at:
            return True, list(state.suspects.values()), []
        changed = [state.suspects[i] for i, at in state.changed_at.items() if at > position]
        removed = [i for i, at in state.removed_at.items() if at > position]
        return False, changed, removed
