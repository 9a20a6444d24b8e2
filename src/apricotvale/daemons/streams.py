"""Parsing of engine token streams and coalescing of their tokens into batches."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from attrs import define, field, frozen

from apricotvale.exceptions import MalformedResponseError, TruncatedStreamError
from apricotvale.samples.ledger import Segment

COALESCE_INTERVAL_S = 0.02
SAMPLE_COALESCE_INTERVAL_S = 0.1
DONE_MARKER = b"[DONE]"
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "


@frozen
class Token:
    """One token and the weight version that produced it."""

    text: str
    version: int


@define
class GeneratedTokens:
    """The tokens generated so far, in segments by weight version."""

    texts: list[str] = field(factory=list)
    segments: list[Segment] = field(factory=list)

    def add(self, tokens: list[Token]) -> None:
        """Append tokens, starting a segment where the weight version changes."""
        for token in tokens:
            if not self.segments or self.segments[-1].version != token.version:
                self.segments.append(Segment(len(self.texts), token.version))
            self.texts.append(token.text)

    @property
    def text(self) -> str:
        """Return the text of all tokens."""
        return "".join(self.texts)

    @property
    def token_count(self) -> int:
        """Return the number of tokens."""
        return len(self.texts)


@define
class TokenParser:
    """Parses the server-sent events of an engine and checks the token count in the last one.

    :param expected_first: index of the first token in the stream.
    :param buffer: received bytes of an incomplete event.
    :param received: number of tokens received.
    :param count_checked: whether the token count of the final event was verified.
    :param done: whether the end marker came after the final event.
    """

    expected_first: int = 0
    buffer: bytes = b""
    received: int = 0
    count_checked: bool = False
    done: bool = False

    def feed(self, data: bytes) -> list[Token]:
        """Return the tokens of the events that are complete with this data.

        :raises MalformedResponseError: if an event is malformed, or a token or the count is wrong.
        """
        *events, self.buffer = (self.buffer + data).split(EVENT_END)
        tokens = []
        for event in events:
            if not event.startswith(DATA_PREFIX):
                raise MalformedResponseError("an event of the engine has no data field")
            content = event[len(DATA_PREFIX) :]
            if content == DONE_MARKER:
                self.done = self.count_checked
            else:
                tokens += self.parse(content)
        return tokens

    def parse(self, content: bytes) -> list[Token]:
        """Return the token of one event as a list; the final event with the count has none."""
        try:
            event = json.loads(content)
            if "usage" in event:
                self.check_count(int(event["usage"]["completion_tokens"]))
                return []
            if int(event["token"]) != self.expected_first + self.received:
                raise MalformedResponseError(
                    f"token {event['token']} out of order, expected "
                    f"{self.expected_first + self.received}"
                )
            self.received += 1
            return [Token(str(event["text"]), int(event["version"]))]
        except (ValueError, KeyError, TypeError) as error:
            raise MalformedResponseError(
                f"cannot parse an event of the engine: {error!r}"
            ) from error

    def check_count(self, reported: int) -> None:
        """Check the token count that the engine reports against the tokens received."""
        if reported != self.expected_first + self.received:
            raise MalformedResponseError(
                f"the engine reported {reported} tokens, received "
                f"{self.expected_first + self.received}"
            )
        self.count_checked = True


async def token_batches(
    response: aiohttp.ClientResponse, parser: TokenParser, max_delay_s: float = COALESCE_INTERVAL_S
) -> AsyncIterator[list[Token]]:
    """Yield tokens in batches, delaying none by more than `max_delay_s`.

    The first token is yielded at once. After that the stream is read once per period, so that the
    tokens of a period share the cost of one wake-up.

    :param response: the engine's response.
    :param max_delay_s: longest time for which a token is held back, in seconds.
    :raises TruncatedStreamError: if the stream ends without its end marker.
    :raises MalformedResponseError: if the stream is malformed.
    """
    while not parser.done:
        data = await response.content.readany()
        if not data:
            raise TruncatedStreamError(
                f"the engine's stream ended after {parser.received} tokens, without end marker"
            )
        tokens = parser.feed(data)
        if tokens:
            yield tokens
            if not parser.done:
                await pause_reading_for(response, max_delay_s)


async def pause_reading_for(response: aiohttp.ClientResponse, seconds: float) -> None:
    """Pause reading from the socket, so that the data of the period is read at once.

    :param seconds: length of the pause.
    """
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
    """Encode a server-sent event with a JSON document."""
    return b"data: " + json.dumps(event, separators=(",", ":")).encode() + EVENT_END


STREAM_END = b"data: [DONE]\n\n"


def completion_chunk(
    request_id: str, chat: bool, text: str, version: int, finish_reason: str | None
) -> dict[str, Any]:
    """Return a streamed chunk in the format of the completions or the chat API."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
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


def completion_answer(
    request_id: str, chat: bool, model: str, generated: GeneratedTokens
) -> dict[str, Any]:
    """Return a complete answer in the format of the completions or the chat API."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": generated.text}
    else:
        choice["text"] = generated.text
    return {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": generated.token_count},
        "weight_versions": [[s.first_token, s.version] for s in generated.segments],
    }
