"""Opens the event streams of callers' requests, and goes on with them at their origin only."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

from attrs import define, evolve, field

from apricotvale import clock, events, metrics
from apricotvale.daemons.forwarder import RETRY_AFTER_S, Forwarder
from apricotvale.daemons.origin_recorder import OriginRecorder
from apricotvale.daemons.submission import Submission
from apricotvale.daemons.supervision import Supervision
from apricotvale.discovery import Origin, Upstream
from apricotvale.exceptions import TruncatedStreamError
from apricotvale.outcomes import Reason, Refusal, not_run, unknown
from apricotvale.requests.calls import Answer, Call, EventStream, TakeUp
from apricotvale.requests.event_splitter import EventSplitter, StreamProgress
from apricotvale.requests.forwarding import ForwardedRequest


@define(eq=False)
class OpenedStream:
    """A stream whose first event has arrived.

    :param origin: what generates it, None if that is not known.
    :param splitter: splits its bytes into events, None if no other run may go on with them.
    :param first: the whole events received so far.
    :param rest: the bytes after them.
    """

    upstream: Upstream
    stream: EventStream
    sent_at: float
    origin: Origin | None
    splitter: EventSplitter | None
    first: bytes
    rest: AsyncIterator[bytes]

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.stream.status

    def split(self, chunk: bytes) -> bytes:
        """Return the part of received bytes that is passed on."""
        return self.splitter.feed(chunk) if self.splitter else chunk


@define(eq=False)
class StreamSender:
    """Sends the copies of one request for a stream; a context manager that closes its streams.

    :param request: retry state, shared by all runs of the stream.
    :param progress: what was passed on to the caller, None if no other run may go on with it.
    :param records: how often an origin was recorded for this request.
    """

    forwarder: Forwarder
    recorder: OriginRecorder
    call: Call
    request: ForwardedRequest
    progress: StreamProgress | None
    records: int = 0
    opened: list[OpenedStream] = field(factory=list)

    async def __aenter__(self) -> StreamSender:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for opened in list(self.opened):
            self.close(opened)

    def close(self, opened: OpenedStream) -> None:
        """Close a stream, so that its upstream stops working on it."""
        if opened in self.opened:
            self.opened.remove(opened)
            opened.stream.close()
            self.forwarder.router.end(opened.upstream)

    # Choice

    def choose(self, request: ForwardedRequest, call: Call, now: float) -> Upstream | None:
        """Choose and log the upstream for the next copy; return None if none is left.

        While control cannot be reached, an upstream whose streams need no record comes first.
        """
        usual = self.recorder.usual_origin(call) if self.waits_for_record else None
        if usual is not None and not self.recorder.has_control():
            usual_only = evolve(request, origin=usual)
            upstream = self.forwarder.choose(usual_only, call, now)
            if upstream is not None:
                return upstream
        return self.forwarder.choose(request, call, now)

    def choose_for_trial(
        self, request: ForwardedRequest, call: Call, incarnation: str
    ) -> Upstream | None:
        """Return and log the upstream of a trial, None if it accepts no work any more."""
        return self.forwarder.choose_for_trial(request, call, incarnation)

    def trial_candidates(self, request: ForwardedRequest, call: Call, now: float) -> list[str]:
        """Return the incarnations at which a request may be tried, the preferred one first."""
        return self.forwarder.trial_candidates(request, call, now)

    def is_full(self, request: ForwardedRequest, call: Call, now: float) -> bool:
        """Return whether there is no room for a second copy; a stream has none."""
        return True

    # Sending

    async def send(self, upstream: Upstream, call: Call) -> OpenedStream | Answer | Refusal:
        """Open a stream; return it once its first event is here.

        Its origin is recorded while the upstream works, so that this rarely delays the first event.
        """
        recording = self.start_recording(upstream.origin)
        sent_at = clock.now()
        try:
            result = await self.forwarder.send(upstream, call, partial(self.open, sent_at))
            if isinstance(result, OpenedStream):
                if result.origin != upstream.origin and self.records_origins:
                    if recording is not None:
                        recording.cancel()
                    recording = self.recorder.tasks.start(self.record(result.origin))
                if recording is not None and self.waits_for_record:
                    await recording
                elif recording is not None:
                    self.recorder.finish_later(recording, call.deadline)
                    recording = None
            return result
        finally:
            if recording is not None:
                recording.cancel()

    @property
    def records_origins(self) -> bool:
        """Return whether the stream begins here.

        A route may become resumable while its streams run, so that those are recorded as well.
        """
        return self.request.origin is None

    @property
    def waits_for_record(self) -> bool:
        """Return whether the origin has to be recorded before the first event is passed on."""
        return self.records_origins and self.request.route.resumable

    def start_recording(self, origin: Origin | None) -> asyncio.Task[None] | None:
        """Start to record the origin of a copy, None if it needs no record."""
        if not self.records_origins:
            return None
        usual = self.recorder.usual_origin(self.call)
        if origin is not None and origin == usual and not self.records:
            return None
        return self.recorder.tasks.start(self.record(origin))

    async def record(self, origin: Origin | None) -> None:
        """Record the origin of the stream; a later record replaces it."""
        self.records += 1
        await self.recorder.record(self.call, origin, self.records)

    async def open(
        self, sent_at: float, upstream: Upstream, call: Call
    ) -> OpenedStream | Answer | Refusal:
        """Send a request and wait for the first event of its stream."""
        result = await self.forwarder.client.open_stream(upstream, call)
        if isinstance(result, Answer | Refusal):
            return result
        stream = result
        self.forwarder.note_statements(upstream, stream, sent_at)
        origin = upstream.origin if stream.is_confirmed else None
        self.forwarder.router.begin(upstream)
        splitter = EventSplitter(self.progress) if self.progress else None
        opened = OpenedStream(upstream, stream, sent_at, origin, splitter, b"", stream.chunks())
        self.opened.append(opened)
        if self.request.origin is not None and origin != self.request.origin:
            self.close(opened)
            return unknown(Reason.WRONG_INCARNATION, "another incarnation is at the address now")
        try:
            while not opened.first:
                chunk = await anext(opened.rest, None)
                if chunk is None:
                    break
                opened.first = opened.split(chunk)
        except TruncatedStreamError as error:
            self.close(opened)
            return unknown(Reason.UPSTREAM_LOST, error.format_message())
        except asyncio.CancelledError:
            self.close(opened)
            raise
        return opened

    def finish_copy(self, supervision: Supervision, result: Any) -> None:
        """Tell the supervision that a copy has its result; a stream has it at its end."""
        if not isinstance(result, OpenedStream):
            supervision.finish_copy(isinstance(result, Answer))

    def final_result(self, request: ForwardedRequest, call: Call, now: float) -> Answer | Refusal:
        """Return the result of a request whose copies gave no final answer; log a refusal."""
        return self.forwarder.final_result(request, call, now)

    async def submit(self, call: Call, supervision: Supervision) -> OpenedStream | Answer | Refusal:
        """Send copies of a request until one has a final answer."""
        async with Submission(self, call, self.request, supervision) as submission:
            return await submission.run()


@define(eq=False)
class RelayedStream:
    """A stream that is passed on to its caller.

    :param resume_field: name of the header field that tells an upstream where to go on.
    :param is_whole: whether the stream has ended with its end mark.
    """

    sender: StreamSender
    supervision: Supervision
    opened: OpenedStream
    resume_field: str
    is_whole: bool = False

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the header fields of the answer, which stay those of its first upstream."""
        return self.opened.stream.headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the stream's bytes; go on at another upstream of the origin if it breaks.

        If `is_whole` is not set at the end, the stream broke off.
        """
        opened: OpenedStream | None = self.opened
        while opened is not None:
            try:
                if opened.first:
                    self.note_progress(opened)
                    yield opened.first
                async for chunk in opened.rest:
                    data = opened.split(chunk)
                    self.supervision.on_progress(opened.sent_at)
                    if data:
                        self.note_progress(opened)
                        yield data
                if opened.splitter:
                    opened.splitter.check_complete()
                self.is_whole = True
                self.supervision.finish_copy(answered=True)
                return
            except TruncatedStreamError as error:
                why = error.format_message()
            opened = await self.resume(opened, why)

    def note_progress(self, opened: OpenedStream) -> None:
        """Note that all whole events received from a run are passed on."""
        if opened.splitter:
            self.sender.progress = opened.splitter.progress

    async def resume(self, broken: OpenedStream, why: str) -> OpenedStream | None:
        """Go on with a broken stream at another upstream; return None if it cannot go on."""
        sender, request = self.sender, self.sender.request
        sender.close(broken)
        sender.forwarder.router.fail(broken.upstream, clock.now())
        await self.supervision.on_loss(broken.upstream, broken.sent_at)
        progress = sender.progress
        last_event_id = progress.last_event_id if progress else None
        events.emit(
            events.STREAM_CUT,
            request=sender.call.request_id,
            upstream=broken.upstream.incarnation,
            software=broken.upstream.software,
            why=why,
            last_event=last_event_id,
        )
        if progress is None or last_event_id is None or not progress.has_all_ids:
            return None
        if broken.origin is None or self.supervision.suspicion(clock.now()) is not None:
            return None
        request.origin = broken.origin
        fields = [
            (name, value)
            for name, value in sender.call.headers
            if name.lower() != self.resume_field.lower()
        ]
        fields.append((self.resume_field, str(last_event_id)))
        call = evolve(sender.call, headers=tuple(fields))
        result = await sender.submit(call, self.supervision)
        if not isinstance(result, OpenedStream):
            return None
        events.emit(
            events.STREAM_RESUMED,
            request=call.request_id,
            upstream=result.upstream.incarnation,
            software=result.upstream.software,
            last_event=last_event_id,
        )
        return result


@define
class StreamRelay:
    """Opens streams for callers.

    :param resume_field: name of the header field that tells an upstream where to go on.
    """

    forwarder: Forwarder
    recorder: OriginRecorder
    resume_field: str

    @asynccontextmanager
    async def open(
        self, call: Call, request: ForwardedRequest, take_up: TakeUp | None
    ) -> AsyncIterator[RelayedStream | Answer | Refusal]:
        """Open the stream of a request, or go on with one; leaving the context closes it."""
        if take_up is not None:
            origin = await self.find_origin(call, request, take_up)
            if isinstance(origin, Refusal):
                yield origin
                return
            request.origin = origin
        progress = None
        if request.route.resumable:
            progress = StreamProgress(take_up.last_event_id if take_up else None)
        sender = StreamSender(self.forwarder, self.recorder, call, request, progress)
        with self.forwarder.guard.supervise(call) as supervision:
            async with sender:
                result = await sender.submit(call, supervision)
                if isinstance(result, OpenedStream):
                    if take_up is None:
                        self.recorder.note_begun(call, result.origin)
                    yield RelayedStream(sender, supervision, result, self.resume_field)
                else:
                    yield result

    async def find_origin(
        self, call: Call, request: ForwardedRequest, take_up: TakeUp
    ) -> Origin | Refusal:
        """Return where a stream goes on, or a refusal if that is not known or serves no more."""
        route = request.route
        found = await self.recorder.find(route, call, take_up)
        if isinstance(found, Origin) and not self.forwarder.ready_at(found):
            detail = f"no upstream of version {found.software!r}, which began the stream"
            found = not_run(Reason.NO_UPSTREAM, detail, RETRY_AFTER_S)
        refusal = found if isinstance(found, Refusal) else None
        metrics.STREAMS_TAKEN_UP.labels(refusal.reason if refusal else "origin found").inc()
        events.emit(
            events.STREAM_TAKEN_UP,
            request=call.request_id,
            stream=take_up.stream_id,
            last_event=take_up.last_event_id,
            route=route.name,
            software=found.software if isinstance(found, Origin) else None,
            why=refusal.detail if refusal else "",
            view=self.forwarder.view.position,
        )
        return found
