"""Reading an engine's token stream, and coalescing its tokens for the way to the entry."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from attrs import define, field, frozen

from apricotvale.exceptions import GarbledAnswerError, StreamCutError
from apricotvale.samples.ledger import Segment

COALESCE_S = 0.02
SAMPLE_COALESCE_S = 0.1
DONE_MARKER = b"[DONE]"
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "


@frozen
class Token:
    """One token and the weight version that produced it."""

    text: str
    version: int


@define
class Generated:
    """What has been generated so far, with the versions that produced it."""

    texts: list[str] = field(factory=list)
    segments: list[Segment] = field(factory=list)

    def add(self, tokens: list[Token]) -> None:
        """Add tokens, opening a segment where the version changes."""
        for token in tokens:
            if not self.segments or self.segments[-1].version != token.version:
                self.segments.append(Segment(len(self.texts), token.version))
            self.texts.append(token.text)

    @property
    def text(self) -> str:
        """Return the whole text."""
        return "".join(self.texts)

    @property
    def tokens(self) -> int:
        """Return the number of tokens."""
        return len(self.texts)


@define
class TokenParser:
    """Parses an engine's server-sent events; the count in the final one must match.

    :param expected_first: index of the first token.
    """

    expected_first: int = 0
    buffer: bytes = b""
    seen: int = 0
    finished: bool = False
    done: bool = False

    def feed(self, data: bytes) -> list[Token]:
        """Return the tokens of the whole events received so far."""
        *events, self.buffer = (self.buffer + data).split(EVENT_END)
        tokens = []
        for event in events:
            if not event.startswith(DATA_PREFIX):
                raise GarbledAnswerError("an event without data")
            content = event[len(DATA_PREFIX) :]
            if content == DONE_MARKER:
                self.done = self.finished
            else:
                tokens += self.parse(content)
        return tokens

    def parse(self, content: bytes) -> list[Token]:
        """Return the token of one event; the final event has none."""
        try:
            event = json.loads(content)
            if "usage" in event:
                self.finish(int(event["usage"]["completion_tokens"]))
                return []
            if int(event["token"]) != self.expected_first + self.seen:
                raise GarbledAnswerError("a token out of order")
            self.seen += 1
            return [Token(str(event["text"]), int(event["version"]))]
        except (ValueError, KeyError, TypeError) as error:
            raise GarbledAnswerError(f"an event that does not parse: {error!r}") from error

    def finish(self, stated: int) -> None:
        """Check the number of tokens that the engine says it sent."""
        if stated != self.expected_first + self.seen:
            raise GarbledAnswerError("a count of tokens that does not match")
        self.finished = True


async def token_batches(
    response: aiohttp.ClientResponse, parser: TokenParser, bound_s: float = COALESCE_S
) -> AsyncIterator[list[Token]]:
    """Yield tokens in batches, none held back longer than the bound.

    The first token is passed on at once. After that the engine's stream is read once in each
    period, so that the cost of waking up is shared by the tokens of the period. A stream without
    its end marker raises StreamCutError.

    :param response: the engine's response.
    :param bound_s: longest time for which a token waits for others, in seconds.
    """
    while not parser.done:
        data = await response.content.readany()
        if not data:
            raise StreamCutError("the engine's stream ended early")
        tokens = parser.feed(data)
        if tokens:
            yield tokens
            if not parser.done:
                await let_gather(response, bound_s)


async def let_gather(response: aiohttp.ClientResponse, seconds: float) -> None:
    """Leave what arrives in the socket for a while, so that it is then read at one go."""
    transport = response.connection.transport if response.connection else None
    if transport is None:
        await asyncio.sleep(seconds)
        return
    transport.pause_reading()
    try:
        await asyncio.sleep(seconds)
    finally:
        transport.resume_reading()


def sse(event: dict[str, Any]) -> bytes:
    """Return one server-sent event."""
    return b"data: " + json.dumps(event, separators=(",", ":")).encode() + EVENT_END


STREAM_END = b"data: [DONE]\n\n"


def completion_chunk(
    request_id: str, chat: bool, text: str, version: int, finish: str | None
) -> dict[str, Any]:
    """Return a chunk in the shape of the completions or the chat interface."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "choices": [choice],
        "weight_version": version,
    }


def completion_answer(request_id: str, chat: bool, model: str, made: Generated) -> dict[str, Any]:
    """Return a whole answer in the shape of the completions or the chat interface."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": made.text}
    else:
        choice["text"] = made.text
    return {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": made.tokens},
        "weight_versions": [[s.first_token, s.version] for s in made.segments],
    }
