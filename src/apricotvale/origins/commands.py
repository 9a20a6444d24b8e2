"""Commands on the replicated record of the origins of streams."""

from __future__ import annotations

from attrs import frozen

from apricotvale.discovery import Origin
from apricotvale.origins.book import OriginBook, StreamRecord


@frozen
class RecordStreams:
    """Record the origins of streams."""

    streams: list[StreamRecord]


@frozen
class TurnStreams:
    """Forget the streams that were recorded before the last turn."""


@frozen
class ReplaceUsualOrigin:
    """Replace a usual origin, None for no usual origin.

    :param route: host and path prefix for which it holds.
    """

    route: str
    former: Origin | None
    origin: Origin | None


def execute(
    command: RecordStreams | TurnStreams | ReplaceUsualOrigin, book: OriginBook, position: int
) -> bool:
    """Apply a committed command to the record; return whether it changed it.

    :param position: log index of the command.
    """
    match command:
        case RecordStreams():
            for record in command.streams:
                book.record(record)
            return True
        case TurnStreams():
            book.turn()
            return True
        case ReplaceUsualOrigin():
            return book.replace_usual(command.route, command.former, command.origin, position)
