"""Splits the bytes of an event stream at the ends of its events."""

from __future__ import annotations

import re

from attrs import define, evolve, frozen

from apricotvale.exceptions import TruncatedStreamError
from apricotvale.numerals import parse_number

# An event of a stream has a few hundred bytes; one without an end must not fill the memory.
MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb"\r?\n\r?\n")
LINE_END = re.compile(rb"\r?\n")


@frozen
class StreamProgress:
    """What of a stream was passed on.

    :param last_event_id: id of the last event, None before the first.
    :param has_all_ids: whether each event had an id, without which no run can go on after it.
    """

    last_event_id: int | None = None
    has_all_ids: bool = True


@define
class EventSplitter:
    """Passes on the whole events of one run, so that another run can go on after the last of them.

    A splitter belongs to its run, as what is left of an event must not meet the bytes of another.

    :param progress: what was passed on by earlier runs and by this one.
    :param buffer: bytes of an incomplete event.
    """

    progress: StreamProgress = StreamProgress()
    buffer: bytes = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are whole with these bytes, unchanged.

        If one of them is faulty, none is passed on, and the progress stays as it was.

        :raises TruncatedStreamError: if an event is malformed, out of sequence or too long.
        """
        data = self.buffer + chunk
        progress = self.progress
        start = 0
        # The end of an event may have begun with the last bytes of the buffer.
        searched = max(0, len(self.buffer) - 3)
        while (end := EVENT_END.search(data, max(start, searched))) is not None:
            progress = progress_after(progress, data[start : end.start()])
            start = end.end()
        if len(data) - start > MAX_EVENT_BYTES:
            raise TruncatedStreamError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        self.buffer = data[start:]
        self.progress = progress
        return data[:start]

    def check_complete(self) -> None:
        """Check that the stream did not end inside an event.

        :raises TruncatedStreamError: if it did.
        """
        if self.buffer.strip():
            raise TruncatedStreamError("the stream ended inside an event")


def progress_after(progress: StreamProgress, block: bytes) -> StreamProgress:
    """Return the progress after another event; a block without data, such as a comment, has no id.

    :raises TruncatedStreamError: if its id is malformed or out of sequence.
    """
    fields = [line.partition(b":")[::2] for line in LINE_END.split(block)]
    ids = [value.strip() for name, value in fields if name == b"id"]
    if not ids:
        has_no_data = all(name != b"data" for name, _ in fields)
        return evolve(progress, has_all_ids=progress.has_all_ids and has_no_data)
    try:
        event_id = parse_number(ids[-1].decode("ascii", "replace"))
    except ValueError as error:
        raise TruncatedStreamError(str(error)) from error
    last_event_id = progress.last_event_id
    if last_event_id is not None and event_id != last_event_id + 1:
        raise TruncatedStreamError(f"event {event_id} received after event {last_event_id}")
    return StreamProgress(event_id, progress.has_all_ids)
