"""The output of an item, assembled from the events of one or more consecutive runs."""

from __future__ import annotations

from attrs import define, field

from apricotvale.exceptions import TruncatedStreamError
from apricotvale.jobs.types import Progress

EVENT_END = b"\n\n"


@define
class Transcript:
    """Complete events in order, without gaps, and the weight versions that generated them.

    :param version_field: name of the event field that announces a new weight version.
    """

    version_field: str
    last_event_id: int | None = None
    data: list[bytes] = field(factory=list)
    versions: list[int] = field(factory=list)
    version: int = 0
    buffer: bytes = b""

    def begin_run(self, version: int) -> None:
        """Start a run with its engine's weight version; discard a partial event of the last run."""
        self.buffer = b""
        self.version = version

    def feed(self, chunk: bytes) -> int:
        """Parse bytes of the stream; return the number of events that they completed."""
        self.buffer += chunk.replace(b"\r\n", b"\n")
        count = 0
        while EVENT_END in self.buffer:
            block, self.buffer = self.buffer.split(EVENT_END, 1)
            if block.strip():
                self.append_event(block)
                count += 1
        return count

    def append_event(self, block: bytes) -> None:
        """Append one event; raise TruncatedStreamError if its id is missing or out of sequence."""
        event_id = None
        lines = []
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"id":
                event_id = int(value)
            elif name == b"data":
                lines.append(value)
            elif name.decode("ascii", "replace") == self.version_field:
                self.version = int(value)
        if event_id is None:
            raise TruncatedStreamError("event without an id")
        if self.last_event_id is not None and event_id != self.last_event_id + 1:
            raise TruncatedStreamError(
                f"event {event_id} received after event {self.last_event_id}"
            )
        self.last_event_id = event_id
        self.data.append(b"\n".join(lines))
        if self.version not in self.versions:
            self.versions.append(self.version)

    def check_complete(self) -> None:
        """Raise TruncatedStreamError if the stream ended inside an event or before the first."""
        if self.buffer.strip():
            raise TruncatedStreamError("stream ended inside an event")
        if not self.data:
            raise TruncatedStreamError("stream ended before its first event")

    def output(self) -> bytes:
        """Return the data of all events, joined by line feeds."""
        return b"\n".join(self.data)

    def progress_since(self, item_id: str, start: int) -> Progress:
        """Return the events from number `start` on, with the versions of all events."""
        assert self.last_event_id is not None
        return Progress(item_id, start, self.last_event_id, list(self.versions), self.data[start:])

    def resume(self, progress: Progress) -> None:
        """Restore the output that an earlier leader saved."""
        self.last_event_id = progress.last_event_id
        self.data = list(progress.data)
        self.versions = list(progress.versions)

    def restart(self) -> None:
        """Discard all output."""
        self.last_event_id = None
        self.data = []
        self.versions = []
        self.buffer = b""
