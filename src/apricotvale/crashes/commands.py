"""Commands on the replicated record of requests that end upstreams."""

from __future__ import annotations

from attrs import frozen

from apricotvale.crashes.book import CrashBook, CrashReport


@frozen
class RecordCrashes:
    """Record ends of upstreams with the requests that were in flight there."""

    reports: list[CrashReport]


@frozen
class ClearSuspects:
    """Remove requests from suspicion: they were answered, or their records have ended."""

    identities: list[str]


def execute(command: RecordCrashes | ClearSuspects, book: CrashBook, position: int) -> bool:
    """Apply a committed command to the record; return whether it changed it.

    :param position: log index of the command.
    """
    if isinstance(command, RecordCrashes):
        changed = [book.record(report, position) for report in command.reports]
    else:
        changed = [book.remove(identity, position) for identity in command.identities]
    return any(changed)
