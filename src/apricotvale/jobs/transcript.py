"""The output of an item, assembled from the events of one or more consecutive runs."""

from __future__ import annotations

from attrs import define, field

from apricotvale.discovery import Origin
from apricotvale.exceptions import TruncatedStreamError, UnwantedVersionError
from apricotvale.jobs.types import Item, Progress, join_events
from apricotvale.numerals import parse_number

EVENT_END = b"\n\n"
# Bounds of an output: a token rarely has more than some tens of bytes, and the fields of an event
# that carry no output are counted while the event is incomplete.
MAX_BYTES_PER_TOKEN = 1024
MIN_OUTPUT_BYTES = 64 * 1024
MAX_OUTPUT_BYTES = 8 * 1024 * 1024


@define
class Transcript:
    """Complete events in order, without gaps, and the weight versions that generated them.

    :param version_field: name of the event field that announces a new weight version.
    :param max_bytes: bound of the output together with an incomplete event.
    :param min_version: the oldest weight version that may generate an event.
    :param single_version: whether one weight version has to generate all events.

    `buffer` holds the bytes of an incomplete event, of which the first `searched` contain no end.
    `size` is the number of bytes in `data`, and `restarts` counts how often it was discarded.
    `origin` is what generated `data`, None if that is not known.
    """

    version_field: str
    max_bytes: int = MAX_OUTPUT_BYTES
    min_version: int = 0
    single_version: bool = False
    last_event_id: int | None = None
    data: list[bytes] = field(factory=list)
    versions: list[int] = field(factory=list)
    version: int = 0
    buffer: bytearray = field(factory=bytearray)
    searched: int = 0
    size: int = 0
    restarts: int = 0
    origin: Origin | None = None

    def may_continue_at(self, origin: Origin | None) -> bool:
        """Return whether a run at an engine of this origin may continue the output."""
        return not self.data or (origin is not None and origin == self.origin)

    def begin_run(self, version: int, origin: Origin | None = None) -> None:
        """Start a run with its engine's weight version; discard a partial event of the last run.

        :param origin: what the engine's output comes from, None if that is not known.
        :raises TruncatedStreamError: if an engine of another origin began the output.
        """
        if not self.may_continue_at(origin):
            raise TruncatedStreamError(f"{self.origin} began the output, not {origin}")
        self.clear_buffer()
        self.version = version
        self.origin = origin

    def clear_buffer(self) -> None:
        """Discard an incomplete event."""
        self.buffer.clear()
        self.searched = 0

    def feed(self, chunk: bytes) -> int:
        """Parse bytes of the stream; return the number of events that they completed.

        :raises TruncatedStreamError: if an event is malformed or out of sequence, or if the output
            exceeds its bound.
        :raises UnwantedVersionError: if the weight version of an event may not generate the output,
            which holds the events before it.
        """
        if self.buffer.endswith(b"\r") and chunk.startswith(b"\n"):
            del self.buffer[-1]
        self.buffer += chunk.replace(b"\r\n", b"\n")
        count = start = 0
        while (end := self.buffer.find(EVENT_END, max(start, self.searched))) >= 0:
            block = bytes(self.buffer[start:end])
            start = end + len(EVENT_END)
            if block.strip():
                self.append_event(block)
                count += 1
        del self.buffer[:start]
        # An event may end with the next bytes, of which a carriage return is dropped.
        self.searched = max(0, len(self.buffer) - len(EVENT_END))
        if self.size + len(self.buffer) > self.max_bytes:
            raise TruncatedStreamError(f"the output has more than {self.max_bytes} bytes")
        return count

    def append_event(self, block: bytes) -> None:
        """Append one event.

        :raises TruncatedStreamError: if its id or version is missing, malformed or out of sequence.
        :raises UnwantedVersionError: if its weight version may not generate the output.
        """
        event_id = None
        lines = []
        version = self.version
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"id":
                event_id = parse_event_number(value)
            elif name == b"data":
                lines.append(value)
            elif name.decode("ascii", "replace") == self.version_field:
                version = parse_event_number(value)
        if event_id is None:
            raise TruncatedStreamError("event without an id")
        if self.last_event_id is not None and event_id != self.last_event_id + 1:
            raise TruncatedStreamError(
                f"event {event_id} received after event {self.last_event_id}"
            )
        self.check_version(version)
        self.last_event_id = event_id
        self.version = version
        self.data.append(b"\n".join(lines))
        self.size += len(self.data[-1])
        if self.version not in self.versions:
            self.versions.append(self.version)

    def check_version(self, version: int) -> None:
        """Check that a weight version may generate the next event.

        Load pattern: an engine that carries out an order late, or one of a route that has changed,
        changes its weights while it generates an output.

        :raises UnwantedVersionError: if it may not.
        """
        if version < self.min_version:
            raise UnwantedVersionError(version, f"the oldest accepted one is {self.min_version}")
        if self.single_version and any(known != version for known in self.versions):
            raise UnwantedVersionError(version, f"the output is of version {self.versions}")

    def may_hold(self, versions: list[int]) -> bool:
        """Return whether an output of these weight versions is acceptable."""
        is_single = len(versions) <= 1 or not self.single_version
        return is_single and all(version >= self.min_version for version in versions)

    def check_complete(self) -> None:
        """Raise TruncatedStreamError if the stream ended inside an event or before the first."""
        if self.buffer.strip():
            raise TruncatedStreamError("stream ended inside an event")
        if not self.data:
            raise TruncatedStreamError("stream ended before its first event")

    def output(self, start: int = 0) -> bytes:
        """Return the output from event number `start` on."""
        return join_events(self.data[start:])

    def progress_since(self, item_id: str, start: int) -> Progress:
        """Return the events from number `start` on, with the versions of all events."""
        assert self.last_event_id is not None
        versions = list(self.versions)
        data = self.data[start:]
        return Progress(item_id, start, self.last_event_id, versions, data, self.origin)

    def resume(self, progress: Progress) -> None:
        """Restore the output that an earlier leader saved."""
        self.last_event_id = progress.last_event_id
        self.data = list(progress.data)
        self.versions = list(progress.versions)
        self.size = sum(map(len, self.data))
        self.origin = progress.origin

    def restart(self) -> None:
        """Discard all output."""
        self.last_event_id = None
        self.data = []
        self.versions = []
        self.size = 0
        self.origin = None
        self.restarts += 1
        self.clear_buffer()


def output_limit(item: Item) -> int:
    """Return the bound of an item's output in bytes, from the tokens that it may generate."""
    limit = max(MIN_OUTPUT_BYTES, (item.tokens - item.prompt_tokens) * MAX_BYTES_PER_TOKEN)
    return min(limit, MAX_OUTPUT_BYTES) if item.tokens else MAX_OUTPUT_BYTES


def parse_event_number(value: bytes) -> int:
    """Parse a number in a field of an event.

    :raises TruncatedStreamError: if it is malformed.
    """
    try:
        return parse_number(value.decode("ascii", "replace").strip())
    except ValueError as error:
        raise TruncatedStreamError(str(error)) from error
