"""The text of an item as its events arrive, over one run or several that follow each other."""

from __future__ import annotations

from attrs import define, field

from apricotvale.exceptions import StreamCutError
from apricotvale.jobs.types import Progress

EVENT_END = b"\n\n"


@define
class Transcript:
    """Events received whole, in order without gaps, and the versions that made them.

    :param version_field: name of the line by which an event states a new weight version.
    """

    version_field: str
    last_event_id: int | None = None
    data: list[bytes] = field(factory=list)
    versions: list[int] = field(factory=list)
    version: int = 0
    buffer: bytes = b""

    def begin_run(self, version: int) -> None:
        """Start a run whose engine stated its weight version; a cut event is dropped."""
        self.buffer = b""
        self.version = version

    def feed(self, chunk: bytes) -> int:
        """Take bytes of the stream; return how many events became whole."""
        self.buffer += chunk.replace(b"\r\n", b"\n")
        count = 0
        while EVENT_END in self.buffer:
            block, self.buffer = self.buffer.split(EVENT_END, 1)
            if block.strip():
                self.take_event(block)
                count += 1
        return count

    def take_event(self, block: bytes) -> None:
        """Take one whole event; raise StreamCutError where one is missing."""
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
            raise StreamCutError("an event without an id")
        if self.last_event_id is not None and event_id != self.last_event_id + 1:
            raise StreamCutError(f"event {event_id} follows event {self.last_event_id}")
        self.last_event_id = event_id
        self.data.append(b"\n".join(lines))
        if self.version not in self.versions:
            self.versions.append(self.version)

    def check_end(self) -> None:
        """Raise StreamCutError if the stream ended within an event or before the first one."""
        if self.buffer.strip():
            raise StreamCutError("the stream ended within an event")
        if not self.data:
            raise StreamCutError("the stream ended before its first event")

    def output(self) -> bytes:
        """Return the data of all events, separated by line feeds."""
        return b"\n".join(self.data)

    def progress_since(self, item_id: str, start: int) -> Progress:
        """Return the events behind the first `start` ones."""
        assert self.last_event_id is not None
        return Progress(item_id, start, self.last_event_id, list(self.versions), self.data[start:])

    def resume(self, progress: Progress) -> None:
        """Take the text that an earlier runner kept."""
        self.last_event_id = progress.last_event_id
        self.data = list(progress.data)
        self.versions = list(progress.versions)

    def restart(self) -> None:
        """Drop all text."""
        self.last_event_id = None
        self.data = []
        self.versions = []
        self.buffer = b""
