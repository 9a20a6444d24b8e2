"""In-memory copy of the replicated log."""

from __future__ import annotations

from apricotvale.consensus.messages import Entry, Group, Snapshot

# Payload bytes of entries covered by a snapshot that are kept for replicas slightly behind.
MAX_COVERED_BYTES = 4 * 1024 * 1024


class Log:
    """The last snapshot and the log entries held in memory, from `start_index` + 1 on.

    Compaction may keep entries that the snapshot already covers.
    """

    def __init__(self, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        self.snapshot = snapshot or Snapshot(0, 0, 0, Group(), b"")
        self.entries = list(entries)
        self.start_index = self.entries[0].index - 1 if self.entries else self.snapshot.index
        self.start_term = self.snapshot.term if self.start_index == self.snapshot.index else 0

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or `start_index` if there is none."""
        return self.entries[-1].index if self.entries else self.start_index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or `start_term` if there is none."""
        return self.entries[-1].term if self.entries else self.start_term

    @property
    def last_at_ms(self) -> int:
        """Return the leader's timestamp of the last entry, or the snapshot's if there is none."""
        return self.entries[-1].at_ms if self.entries else self.snapshot.at_ms

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if it is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index == self.start_index:
            return self.start_term or None
        if index < self.start_index or index > self.last_index:
            return None
        return self.entries[index - self.start_index - 1].term

    def slice(self, first: int, last: int, max_bytes: int | None = None) -> list[Entry]:
        """Return the entries from index `first` to index `last`, both included.

        :param max_bytes: limit on the payload bytes; the first entry is returned even if larger.
        """
        chosen = self.entries[max(0, first - self.start_index - 1) : last - self.start_index]
        if max_bytes is None:
            return chosen
        size = 0
        for position, entry in enumerate(chosen):
            size += len(entry.payload)
            if size > max_bytes and position:
                return chosen[:position]
        return chosen

    def append(self, entries: list[Entry]) -> None:
        """Append entries to the end of the log."""
        self.entries.extend(entries)

    def truncate(self, last: int) -> None:
        """Drop every entry after index `last`."""
        del self.entries[max(0, last - self.start_index) :]

    def compact(self, snapshot: Snapshot) -> None:
        """Adopt a newer snapshot and drop old entries that it covers.

        Covered entries are kept up to `MAX_COVERED_BYTES` and the size of the snapshot, so that a
        replica slightly behind catches up from the log with fewer bytes than the snapshot takes.
        """
        budget = min(snapshot.size, MAX_COVERED_BYTES)
        keep_from = snapshot.index - self.start_index
        while keep_from > 0 and budget >= len(self.entries[keep_from - 1].payload):
            budget -= len(self.entries[keep_from - 1].payload) + 1
            keep_from -= 1
        first_kept = self.start_index + keep_from
        self.start_term = self.term_at(first_kept) or 0
        self.entries = self.entries[keep_from:]
        self.start_index = first_kept
        self.snapshot = snapshot

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log with a snapshot."""
        self.snapshot = snapshot
        self.entries = []
        self.start_index = snapshot.index
        self.start_term = snapshot.term
