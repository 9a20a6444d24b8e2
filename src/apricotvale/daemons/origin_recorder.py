"""An entry's part in recording and finding the origins of streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import evolve

from apricotvale import clock, metrics
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.discovery import Origin
from apricotvale.fleet.calls import Accepted
from apricotvale.origins import calls
from apricotvale.origins.book import (
    REQUEST_CHARS,
    StreamRecord,
    UsualOrigins,
    request_location,
    stream_key,
    usual_origin,
)
from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.requests.calls import Call, TakeUp
from apricotvale.routes import Route

CALL_TIMEOUT_S = 1.0
# A replica that does not answer for this long is passed over.
ATTEMPT_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.05
MAX_BATCH = 2_000
MAX_BEGUN = 4_096
# Callers give up on a stream after a gap of two seconds, and come back sooner after a refusal.
FIND_TIMEOUT_S = 1.7
RETRY_AFTER_S = 0.5
# Control counts as out of reach if it has confirmed nothing for this long.
MAX_UNCONFIRMED_S = 3.0
# The usual origins count as unknown if control has not confirmed them for this long. It is shorter
# than the time for which an origin keeps its place after it has gone (`OriginControl`).
MAX_AGE_S = 20.0


class OriginRecorder:
    """Records the origins of streams that begin here, many with one call.

    :param call: sends a call to the control leader by a deadline on `clock.now`, with a time limit
        in seconds for the attempt at one replica.
    :param confirmed_at: returns when control last confirmed what this process knows.

    `pending` holds the records that wait for the call in flight, and `begun` the latest streams
    that began here, both by key.
    """

    def __init__(
        self,
        call: Callable[[Any, float, float], Awaitable[Any]],
        confirmed_at: Callable[[], float],
    ) -> None:
        self.call = call
        self.confirmed_at = confirmed_at
        self.usual = UsualOrigins(-1, {})
        self.pending: dict[str, tuple[StreamRecord, asyncio.Future[None]]] = {}
        self.begun: dict[str, StreamRecord] = {}
        self.sending: asyncio.Task[None] | None = None
        self.tasks = TaskGroup()

    def on_news(self, usual: UsualOrigins | None) -> None:
        """Adopt the usual origins, None without changes."""
        if usual is not None and usual.position > self.usual.position:
            self.usual = usual

    def has_control(self) -> bool:
        """Return whether control has answered this process lately."""
        return clock.now() < self.confirmed_at() + MAX_UNCONFIRMED_S

    def usual_origin(self, call: Call) -> Origin | None:
        """Return the usual origin of a request, None if it has none or that is not known."""
        if clock.now() >= self.confirmed_at() + MAX_AGE_S:
            return None
        return usual_origin(self.usual.by_route, request_location(call.host, call.target))

    def note_begun(self, call: Call, origin: Origin | None) -> None:
        """Remember where a stream began whose first event is passed on now."""
        record = make_record(call, call.request_id, origin)
        self.begun.pop(record.key, None)
        self.begun[record.key] = record
        if len(self.begun) > MAX_BEGUN:
            del self.begun[next(iter(self.begun))]

    async def record(self, call: Call, origin: Origin | None, attempt: int) -> None:
        """Record the origin of a stream, None if it is not known; return once it is committed.

        The caller bounds the time.

        :param attempt: number of the record among those of the same stream.
        """
        record = evolve(make_record(call, call.request_id, origin), attempt=attempt)
        future = asyncio.get_running_loop().create_future()
        self.pending[record.key] = (record, future)
        if self.sending is None or self.sending.done():
            self.sending = self.tasks.start(self.send_pending())
        started_at = clock.now()
        await future
        metrics.ORIGIN_RECORD_SECONDS.observe(clock.now() - started_at)

    def finish_later(self, recording: asyncio.Task[None], deadline: float) -> None:
        """Let a task that records an origin go on until a deadline on `clock.now`."""
        left_s = max(0.0, deadline - clock.now())
        asyncio.get_running_loop().call_later(left_s, recording.cancel)

    async def send_pending(self) -> None:
        """Send the records that wait, until none does."""
        while self.pending:
            batch = dict(list(self.pending.items())[:MAX_BATCH])
            request = calls.RecordOrigins([record for record, _ in batch.values()])
            reply = await self.call(request, clock.now() + CALL_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
            is_recorded = isinstance(reply, Accepted)
            for key, waiting in batch.items():
                _, future = waiting
                if is_recorded and not future.done():
                    future.set_result(None)
                # A record that nobody waits for any more is not sent again.
                if future.done() and self.pending.get(key) is waiting:
                    del self.pending[key]
            if not is_recorded:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def find(self, route: Route, call: Call, take_up: TakeUp) -> Origin | Refusal:
        """Return the origin of a stream that its caller takes up, or a refusal.

        Control knows it if the stream began at another entry, or before this process started.
        """
        wanted = make_record(call, take_up.stream_id, None)
        known = self.begun.get(wanted.key) if take_up.stream_id else None
        reply: Any
        if known is not None:
            reply = calls.OriginFound(known.origin, known.request != wanted.request)
        else:
            key = wanted.key if take_up.stream_id else ""
            location = request_location(call.host, call.target)
            question = calls.FindOrigin(location, key, wanted.request)
            deadline = min(call.deadline, clock.now() + FIND_TIMEOUT_S)
            reply = await self.call(question, deadline, ATTEMPT_TIMEOUT_S)
        if isinstance(reply, Refusal):
            return reply
        if isinstance(reply, calls.OriginFound) and reply.is_other:
            return not_run(Reason.BAD_REQUEST, "the stream that it names is of another request")
        origin = reply.origin if isinstance(reply, calls.OriginFound) else None
        if origin is None:
            detail = "the software version that began the stream is not known; begin anew"
            return not_run(Reason.UNKNOWN_ORIGIN, detail, RETRY_AFTER_S)
        if not route.leads_to(origin.service):
            detail = f"the route leads no more to {origin.service!r}, which began the stream"
            return not_run(Reason.UNKNOWN_ORIGIN, detail, RETRY_AFTER_S)
        return origin


def make_record(call: Call, stream_id: str, origin: Origin | None) -> StreamRecord:
    """Return the record of the stream that a submission of a request began.

    :param stream_id: id of that submission.
    """
    key = stream_key(call.caller or "", stream_id)
    return StreamRecord(key, call.identity[:REQUEST_CHARS], origin)
