"""A request on its way straight to an upstream, and the upstream's whole answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from attrs import field, frozen

from apricotvale.discovery import Upstream
from apricotvale.outcomes import Refusal
from apricotvale.weights.orders import EngineReport, LoadOrder, OrderOutcome


@frozen
class Call:
    """A request to be sent unchanged.

    :param target: path and query as the caller wrote them.
    :param headers: the caller's end-to-end header fields.
    :param deadline: on `clock.now`, in seconds; what is left of it goes with the request.
    """

    method: str
    target: str
    host: str
    request_id: str
    body: bytes
    deadline: float
    headers: tuple[tuple[str, str], ...] = ()


@frozen
class Answer:
    """An upstream's whole answer.

    :param signature: the upstream's proof that the answer is its own, empty if there is none.
    :param server_errors: failed answers of other upstreams to the same request before this one.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    signature: str = ""
    server_errors: int = 0


@frozen
class RunRequest:
    """An item to be generated.

    :param resume_after: id of the last event held; the run goes on behind it.
    """

    target: str
    host: str
    request_id: str
    body: bytes
    headers: dict[str, str] = field(factory=dict)
    resume_after: int | None = None


class RunStream(Protocol):
    """An open run: its weight version and the bytes of its events."""

    version: int

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the stream's bytes; raise StreamCutError if it ends incomplete."""


class UpstreamClient(Protocol):
    """What may be asked of an upstream; every failure says whether the request may have run."""

    async def call(self, upstream: Upstream, call: Call) -> Answer | Refusal:
        """Send a request and return the whole answer."""

    def run(
        self, upstream: Upstream, request: RunRequest
    ) -> AbstractAsyncContextManager[RunStream | Answer | Refusal]:
        """Open a run; leaving the context stops it."""

    async def report(self, upstream: Upstream) -> EngineReport | Refusal:
        """Read an engine's state."""

    async def order(self, upstream: Upstream, order: LoadOrder) -> OrderOutcome | Refusal:
        """Tell an engine to load a version."""
