"""Payloads of finished samples, kept until their trainer has them, within a bound."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from apricotvale.samples.ledger import Segment


@frozen
class Payload:
    """A finished sample."""

    attempt: str
    text: str
    tokens: int
    segments: list[Segment]

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
    """Payloads by attempt; beyond the bound the oldest is dropped and generated again."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0
        self.payloads: dict[str, Payload] = {}

    def add(self, payload: Payload) -> None:
        """Keep a payload."""
        self.remove(payload.attempt)
        self.payloads[payload.attempt] = payload
        self.bytes += len(payload.text)
        while self.bytes > self.max_bytes and len(self.payloads) > 1:
            self.remove(next(iter(self.payloads)))

    def get(self, attempt: str) -> Payload | None:
        """Return a payload."""
        return self.payloads.get(attempt)

    def remove(self, attempt: str) -> None:
        """Forget a payload."""
        held = self.payloads.pop(attempt, None)
        if held is not None:
            self.bytes -= len(held.text)
