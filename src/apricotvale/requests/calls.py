"""Requests to upstreams, their answers, and the protocol of an upstream client."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from functools import cached_property
from typing import Protocol

from attrs import field, frozen

from apricotvale.crashes.identity import identify
from apricotvale.discovery import Upstream
from apricotvale.limits.types import StatedLimit
from apricotvale.outcomes import Refusal
from apricotvale.requests.held_bytes import ByteBudget
from apricotvale.weights.messages import EngineReport, LoadOrder, OrderOutcome


@frozen
class Call:
    """A request that is forwarded unchanged.

    :param target: path and query as received from the caller.
    :param headers: the caller's end-to-end header fields.
    :param deadline: on `clock.now`, in seconds; the remaining time is sent with the request.
    :param customer: customer that the upstream is told; None leaves the header fields unchanged,
        empty text removes those that name a customer or hold a key.
    :param caller: customer that sent the request, empty without customers; None for the system's
        own requests.
    :param attempt: tells submissions apart that have the same id; empty if each has its own.
    """

    method: str
    target: str
    host: str
    request_id: str
    body: bytes
    deadline: float
    headers: tuple[tuple[str, str], ...] = ()
    customer: str | None = None
    caller: str | None = None
    attempt: str = ""

    @property
    def submission(self) -> str:
        """Return what no other submission of the request has."""
        return f"{self.attempt}:{self.request_id}" if self.attempt else self.request_id

    @cached_property
    def identity(self) -> str:
        """Return what all submissions of the request share, empty for the system's own requests."""
        if self.caller is None:
            return ""
        return identify(self.method, self.host, self.target, self.caller, self.body)


@frozen
class TakeUp:
    """The stream that a request goes on with.

    :param stream_id: id of the submission that brought the stream's first event, empty if the
        caller does not name it.
    :param last_event_id: id of the last event that the caller received.
    """

    stream_id: str
    last_event_id: int


@frozen
class Answer:
    """A complete answer from an upstream.

    :param signature: the upstream's signature of the answer, empty if it sent none.
    :param server_errors: number of server errors that earlier attempts of the request received.
    :param is_leaving: whether the upstream stated that it leaves.
    :param limit: what the answer says about the upstream's limit, None if that is not known.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    signature: str = ""
    server_errors: int = 0
    is_leaving: bool = False
    limit: StatedLimit | None = None


@frozen
class RunRequest:
    """A request to generate one item as an event stream.

    :param resume_after: id of the last event received; the stream resumes after it.
    :param customer: as in `Call`.
    :param priority: urgency from 0 (first) to 9 that the engine is told; None sends none.
    """

    target: str
    host: str
    request_id: str
    body: bytes
    headers: dict[str, str] = field(factory=dict)
    resume_after: int | None = None
    customer: str | None = None
    priority: int | None = None


class RunStream(Protocol):
    """An open event stream, its weight version at the start, and the engine's statements.

    `is_confirmed` states whether it comes from the incarnation to which the request was sent.
    """

    version: int
    is_confirmed: bool
    is_leaving: bool
    limit: StatedLimit | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the stream's bytes; raise TruncatedStreamError if the stream ends early."""


class EventStream(Protocol):
    """The open event stream of a caller's request.

    `is_confirmed` states whether it comes from the incarnation to which the request was sent.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    is_confirmed: bool
    is_leaving: bool
    limit: StatedLimit | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the stream's bytes; raise TruncatedStreamError if the stream ends early."""

    def close(self) -> None:
        """Close the connection unless the stream has ended, so that the upstream stops."""


class UpstreamClient(Protocol):
    """Operations on an upstream. Each refusal states whether the request may have run.

    `held` counts the bytes of answers that are being read. `resume_field` is the name of the header
    field that tells an upstream after which event a stream goes on.
    """

    held: ByteBudget
    resume_field: str

    async def call(self, upstream: Upstream, call: Call) -> Answer | Refusal:
        """Send a request and return the complete answer."""

    async def open_stream(self, upstream: Upstream, call: Call) -> EventStream | Answer | Refusal:
        """Send a request and return its open event stream, or the answer in its place."""

    def run(
        self, upstream: Upstream, request: RunRequest
    ) -> AbstractAsyncContextManager[RunStream | Answer | Refusal]:
        """Open an event stream; leaving the context cancels the run."""

    async def accepts_connections(self, upstream: Upstream) -> bool | None:
        """Return whether the upstream's address accepts connections, None if that is not known."""

    async def report(self, upstream: Upstream) -> EngineReport | Refusal:
        """Fetch an engine's state report."""

    async def order(self, upstream: Upstream, order: LoadOrder) -> OrderOutcome | Refusal:
        """Send an engine an order to load a weight version."""
