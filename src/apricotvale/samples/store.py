"""A size-bounded store of the payloads of finished samples."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from apricotvale.samples.ledger import Segment


@frozen
class Payload:
    """The content of a finished sample."""

    attempt: str
    text: str
    tokens: int
    segments: list[Segment]

    @property
    def text_bytes(self) -> int:
        """Return the length of the text in UTF-8."""
        return len(self.text.encode("utf-8", "surrogatepass"))

    def to_json(self) -> dict[str, Any]:
        """Return the payload as a JSON document."""
        return {
            "attempt": self.attempt,
            "text": self.text,
            "tokens": self.tokens,
            "segments": [[s.first_token, s.version] for s in self.segments],
        }

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> Payload:
        """Return the payload of a JSON document."""
        segments = [Segment(int(first), int(version)) for first, version in document["segments"]]
        text, tokens = str(document["text"]), int(document["tokens"])
        return cls(str(document["attempt"]), text, tokens, segments)


class PayloadStore:
    """Payloads by attempt name.

    Above the limit the oldest payloads are evicted, and their samples are generated again.

    :param max_bytes: limit on the total length of the texts in UTF-8; the newest payload is always
        kept.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.payloads: dict[str, Payload] = {}

    def add(self, payload: Payload) -> None:
        """Store a payload, and evict the oldest ones above the limit."""
        self.remove(payload.attempt)
        self.payloads[payload.attempt] = payload
        self.total_bytes += payload.text_bytes
        while self.total_bytes > self.max_bytes and len(self.payloads) > 1:
            self.remove(next(iter(self.payloads)))

    def get(self, attempt: str) -> Payload | None:
        """Return the payload of an attempt, or None if it is not stored."""
        return self.payloads.get(attempt)

    def remove(self, attempt: str) -> None:
        """Delete the payload of an attempt if it is stored."""
        payload = self.payloads.pop(attempt, None)
        if payload is not None:
            self.total_bytes -= payload.text_bytes
