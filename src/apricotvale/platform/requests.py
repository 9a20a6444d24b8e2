"""HTTP interface of an entry for callers: routed requests, jobs and the readiness check."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from apricotvale import clock, events
from apricotvale.daemons.fleet_entry import FleetEntry
from apricotvale.exceptions import BadInputError
from apricotvale.fleet import calls
from apricotvale.outcomes import Ran, Reason, Refusal, not_run
from apricotvale.platform import names, wire
from apricotvale.requests.calls import Answer, Call
from apricotvale.routes import Limits, Route, RouteKind

STATUS_BY_REASON = {
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.NO_CAPACITY: 429,
}
# Status codes of failures that have no code of their own in `STATUS_BY_REASON`.
FAILED_STATUS = 502
EXPIRED_STATUS = 504
REFUSED_STATUS = 503
RETRY_STATUSES = (429, REFUSED_STATUS)
# Room comes back as jobs end or leave their retention period, which takes seconds.
JOBS_FULL_RETRY_S = 2.0


class RequestInterface:
    """HTTP handlers of an entry."""

    def __init__(self, entry: FleetEntry) -> None:
        self.entry = entry

    def make_app(self) -> web.Application:
        """Create the application to serve on the address for callers."""
        app = web.Application()
        app.router.add_get(names.RESULTS_PATH, self.on_results)
        app.router.add_delete(names.RESULTS_PATH, self.on_end_job)
        app.router.add_get(names.ITEM_PATH, self.on_item)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        app.on_response_prepare.append(self.close_while_stopping)
        return app

    def make_readiness_app(self) -> web.Application:
        """Create the application to serve on the readiness address."""
        app = web.Application()
        app.router.add_get(names.READY_PATH, self.on_ready)
        return app

    async def on_ready(self, request: web.Request) -> web.Response:
        """Answer the readiness check with status 200 or 503."""
        return web.Response(status=200 if self.entry.is_ready else 503)

    async def close_while_stopping(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Close connections after their current response while the entry is stopping."""
        if self.entry.stopping:
            response.headers["Connection"] = "close"
            response.force_close()

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        """Forward a request by its route, or accept a job."""
        arrived = clock.now()
        request_id = request.headers.get(names.REQUEST_ID, "")
        with self.entry.count_in_flight():
            await self.entry.wait_for_table()
            route = self.entry.match(request.host, request.raw_path.partition("?")[0])
            if isinstance(route, Refusal):
                return refusal_response(route, request_id)
            body = await read_body(request, self.entry.limits)
            if isinstance(body, Refusal):
                events.emit(events.INPUT_REJECTED, request=request_id, error=body.detail)
                return refusal_response(body, request_id)
            if route.kind is RouteKind.JOB:
                return await self.submit(request, request_id, body)
            call = Call(
                request.method,
                request.raw_path,
                request.headers.get("Host", ""),
                request_id,
                body,
                request_deadline(request, route, arrived),
                end_to_end_fields(request),
            )
            result = await self.entry.forward(route, call, arrived)
            if isinstance(result, Refusal):
                return refusal_response(result, request_id)
            return answer_response(result)

    # Jobs

    async def submit(self, request: web.Request, request_id: str, body: bytes) -> web.Response:
        """Submit a job to control.

        Without a definite reply from control the status is 504, and the job may or may not have
        been accepted.
        """
        if request.method != "POST" or not request_id:
            return refusal_response(
                not_run(Reason.BAD_REQUEST, "a job is submitted by POST with a request id"),
                request_id,
            )
        try:
            job = wire.parse_job(request_id, request.host, request.raw_path, body)
        except BadInputError as error:
            events.emit(events.INPUT_REJECTED, request=request_id, error=error.format_message())
            return refusal_response(not_run(Reason.BAD_REQUEST, str(error)), request_id)
        reply = await self.entry.call_control(calls.SubmitJob(job), request_id)
        if isinstance(reply, calls.Accepted):
            return web.Response(status=202)
        if isinstance(reply, calls.JobsFull):
            detail = "the jobs held leave no room for this one"
            return refusal_response(
                not_run(Reason.OVERLOADED, detail, JOBS_FULL_RETRY_S), request_id
            )
        if isinstance(reply, calls.JobRefused):
            detail = "no group of the job can be complete in time"
            return refusal_response(
                not_run(Reason.NO_CAPACITY, detail, reply.retry_after_s), request_id
            )
        return web.Response(status=EXPIRED_STATUS)

    async def on_results(self, request: web.Request) -> web.Response:
        """Return a job's results after a position, waiting for new ones up to `Wait-Ms`."""
        job_id = request.match_info["id"]
        after = parse_count(request.query.get("after", "0"))
        wait_ms = parse_count(request.headers.get(names.WAIT_MS, "0"))
        if after is None or wait_ms is None:
            return refusal_response(
                not_run(
                    Reason.BAD_REQUEST, f"'after' or {names.WAIT_MS} is not a non-negative integer"
                ),
                job_id,
            )
        with self.entry.count_in_flight():
            query = calls.ReadResults(job_id, after, wait_ms)
            reply = await self.entry.call_control(query, job_id, wait_ms / 1000)
        if isinstance(reply, calls.ResultsRead):
            return web.json_response(wire.format_results(reply))
        return job_failure_response(reply, job_id)

    async def on_item(self, request: web.Request) -> web.Response:
        """Return the request body of an item that has no result yet."""
        job_id = request.match_info["id"]
        with self.entry.count_in_flight():
            query = calls.ReadItem(job_id, request.query.get("id", ""))
            reply = await self.entry.call_control(query, job_id)
        if isinstance(reply, calls.ItemRead):
            return web.Response(body=reply.body)
        return job_failure_response(reply, job_id)

    async def on_end_job(self, request: web.Request) -> web.Response:
        """End a job."""
        job_id = request.match_info["id"]
        with self.entry.count_in_flight():
            reply = await self.entry.call_control(calls.EndJob(job_id), job_id)
        if isinstance(reply, calls.Accepted):
            return web.Response(status=200)
        return job_failure_response(reply, job_id)


async def read_body(request: web.Request, limits: Limits) -> bytes | Refusal:
    """Read a request's body; return a refusal if the header or the body exceeds the limits."""
    header_bytes = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    if header_bytes > limits.max_header_bytes:
        detail = (
            f"the header fields have {header_bytes} bytes, the limit is {limits.max_header_bytes}"
        )
        return not_run(Reason.HEADERS_TOO_LARGE, detail)
    max_bytes = limits.max_body_bytes
    if (request.content_length or 0) > max_bytes:
        detail = f"the body has {request.content_length} bytes, the limit is {max_bytes}"
        return not_run(Reason.BODY_TOO_LARGE, detail)
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            return not_run(Reason.BODY_TOO_LARGE, f"the body has more than {max_bytes} bytes")
    return bytes(body)


def request_deadline(request: web.Request, route: Route, arrived: float) -> float:
    """Return the deadline of a request: the earlier of the caller's and the route's."""
    left_ms = parse_count(request.headers.get(names.DEADLINE_MS, ""))
    timeout_ms = route.timeout_ms if left_ms is None else min(left_ms, route.timeout_ms)
    return arrived + timeout_ms / 1000


def parse_count(text: str) -> int | None:
    """Parse a non-negative decimal integer; return None for anything else."""
    return int(text) if text.isascii() and text.isdigit() else None


def end_to_end_fields(request: web.Request) -> tuple[tuple[str, str], ...]:
    """Return the header fields to forward to the upstream.

    Hop-by-hop fields and those listed in the Connection field are left out.
    """
    connection_fields = {
        part.strip().lower() for part in request.headers.get("Connection", "").split(",")
    }
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in names.HOP_BY_HOP and name.lower() not in connection_fields
    )


def answer_response(answer: Answer) -> web.Response:
    """Return an upstream's answer as a response, with its header fields unchanged."""
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.popall("Content-Type", None)
    for name, value in answer.headers:
        response.headers.add(name, value)
    return response


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the response to a refused or failed request: a problem document with a status code."""
    status = STATUS_BY_REASON.get(refusal.reason)
    if status is None and refusal.ran is Ran.NOT_RUN:
        status = REFUSED_STATUS
    elif status is None:
        expired = refusal.reason is Reason.DEADLINE_EXPIRED
        status = EXPIRED_STATUS if expired else FAILED_STATUS
    headers = {names.REQUEST_ID: request_id} if request_id else {}
    if refusal.retry_after_s is not None and status in RETRY_STATUSES:
        headers[names.RETRY_AFTER] = f"{refusal.retry_after_s:.3f}"
    return web.json_response(refusal.problem(request_id), status=status, headers=headers)


def job_failure_response(reply: Any, job_id: str) -> web.Response:
    """Return the response to a job call that found nothing or that no quorum confirmed."""
    if isinstance(reply, calls.NotFound):
        return web.Response(status=404)
    return refusal_response(
        not_run(Reason.NO_QUORUM, "no control leader confirmed the state", 0.2), job_id
    )
