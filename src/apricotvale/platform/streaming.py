"""HTTP interface of an entry for event streams: passes them on as they arrive."""

from __future__ import annotations

from aiohttp import web

from apricotvale import events
from apricotvale.daemons import delivery
from apricotvale.daemons.fleet_entry import FleetEntry
from apricotvale.daemons.stream_relay import RelayedStream
from apricotvale.numerals import parse_number
from apricotvale.outcomes import Reason, Refusal, not_run
from apricotvale.platform import names
from apricotvale.requests.calls import Answer, Call, TakeUp
from apricotvale.routes import Route

MAX_STREAM_ID = 256


def parse_take_up(request: web.Request, route: Route) -> TakeUp | Refusal | None:
    """Return which stream a request goes on with, None for a new one, or a refusal."""
    last_ids = request.headers.getall(names.LAST_EVENT_ID, [])
    if not last_ids:
        return None
    streams = request.headers.getall(names.RESUMES, [""])
    try:
        last_event_id = parse_number(last_ids[0].strip())
    except ValueError:
        return not_run(Reason.BAD_REQUEST, f"{names.LAST_EVENT_ID} is not a non-negative integer")
    if len(last_ids) > 1 or len(streams) > 1:
        return not_run(Reason.BAD_REQUEST, "a field that names the stream is repeated")
    if not route.resumable:
        return not_run(Reason.BAD_REQUEST, "streams of this route cannot be taken up")
    if len(streams[0]) > MAX_STREAM_ID:
        detail = f"{names.RESUMES} has more than {MAX_STREAM_ID} characters"
        return not_run(Reason.BAD_REQUEST, detail)
    return TakeUp(streams[0].strip(), last_event_id)


async def relay_stream(
    entry: FleetEntry, request: web.Request, route: Route, call: Call, arrived: float
) -> web.StreamResponse | Answer | Refusal:
    """Pass a stream on to its caller; return the answer or refusal if there is none.

    If the stream breaks off, or its deadline passes, the caller's connection is aborted, so that
    the stream cannot be taken for a whole one.
    """
    take_up = parse_take_up(request, route)
    if isinstance(take_up, Refusal):
        events.emit(events.INPUT_REJECTED, request=call.request_id, error=take_up.detail)
        return take_up
    async with entry.open_stream(route, call, arrived, take_up) as result:
        if not isinstance(result, RelayedStream):
            return result
        response = web.StreamResponse(status=result.opened.status)
        for name, value in result.headers:
            response.headers.add(name, value)
        try:
            async with entry.in_flight.limit(call.deadline):
                with delivery.sending_stream(request) as count_chunk:
                    await response.prepare(request)
                    async for chunk in result.chunks():
                        count_chunk(chunk)
                        await response.write(chunk)
                    if result.is_whole:
                        await response.write_eof()
        except TimeoutError:
            result.is_whole = False
        if not result.is_whole and request.transport is not None:
            request.transport.abort()
        return response
