"""HTTP interface of an entry for callers: routed requests, jobs and the readiness check."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain
from typing import Any

from aiohttp import web
from attrs import evolve

from apricotvale import clock, events, metrics
from apricotvale.customers.access import Caller, identify, job_customer, upstream_customer
from apricotvale.daemons import delivery
from apricotvale.daemons.fleet_entry import FleetEntry
from apricotvale.daemons.http_server import HttpServer
from apricotvale.exceptions import BadInputError
from apricotvale.fleet import calls
from apricotvale.numerals import parse_number
from apricotvale.outcomes import Ran, Reason, Refusal, not_run
from apricotvale.platform import names, streaming, wire
from apricotvale.requests.calls import Answer, Call
from apricotvale.requests.peer_bounds import ConnectionLimits, PeerBounds
from apricotvale.routes import Limits, Route, RouteKind, RouteTable

STATUS_BY_REASON = {
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.UNKNOWN_KEY: 401,
    Reason.JOB_ID_TAKEN: 409,
    Reason.NO_CAPACITY: 429,
    Reason.RATE_LIMITED: 429,
}
# Status codes of failures that have no code of their own in `STATUS_BY_REASON`.
FAILED_STATUS = 502
EXPIRED_STATUS = 504
REFUSED_STATUS = 503
RETRY_STATUSES = (429, REFUSED_STATUS)
# Room comes back as jobs end or leave their retention period, which takes seconds.
JOBS_FULL_RETRY_S = 2.0
# Reads of results that wait for control without room for a whole page.
UNCOUNTED_READS = 16
PAGE_BYTES = 1024 * 1024


class RequestInterface:
    """HTTP handlers of an entry."""

    def __init__(self, entry: FleetEntry) -> None:
        self.entry = entry
        self.reads_in_flight = 0
        # The limits of a table, and what they are for a connection.
        self.table_limits: Limits | None = None
        self.limits = ConnectionLimits()

    def make_app(self) -> web.Application:
        """Create the application to serve on the address for callers."""
        app = web.Application()
        if self.entry.held.limit:
            # Without a known memory nothing is counted.
            sending = delivery.Delivery(
                self.entry.held, names.REQUEST_ID, self.entry.in_flight.count
            )
            app.middlewares.append(sending.hold_bytes)
        app.router.add_get(names.RESULTS_PATH, self.on_results)
        app.router.add_delete(names.RESULTS_PATH, self.on_end_job)
        app.router.add_get(names.ITEM_PATH, self.on_item)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        app.on_response_prepare.append(self.close_while_stopping)
        return app

    def make_server(self, address: str, bounds: PeerBounds | None = None) -> HttpServer:
        """Create the server for callers.

        :param bounds: bounds that the listeners of the process share.
        """
        return HttpServer(self.make_app(), address, False, bounds, self.connection_limits)

    def connection_limits(self) -> ConnectionLimits:
        """Return the limits on a caller's connection.

        The request line may be as long as all header fields.
        """
        limits = self.entry.limits
        if limits is not self.table_limits:
            self.table_limits = limits
            self.limits = ConnectionLimits(
                2 * limits.max_header_bytes,
                limits.header_timeout_ms / 1000,
                limits.idle_timeout_ms / 1000,
            )
        return self.limits

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
        with self.entry.in_flight.count():
            await self.entry.wait_for_table()
            table = self.entry.current_table()
            if isinstance(table, Refusal):
                return refusal_response(table, request_id)
            route = table.match(request.host, request.raw_path.partition("?")[0])
            if route is None:
                return refusal_response(self.entry.refuse_without_route(), request_id)
            caller = identify_caller(table, route, request, request_id)
            if isinstance(caller, Refusal):
                return refusal_response(caller, request_id)
            fields = end_to_end_fields(request)
            if not is_text([request_id, request.raw_path, request.host, *chain(*fields)]):
                detail = "the path or a header field is not valid Unicode"
                events.emit(events.INPUT_REJECTED, request=ascii(request_id), error=detail)
                return refusal_response(not_run(Reason.BAD_REQUEST, detail), "")
            deadline = request_deadline(request, route, arrived)
            refusal = self.refuse_late(request_id, deadline)
            if refusal is not None:
                return refusal_response(refusal, request_id)
            body = await read_body(request, self.entry.limits, deadline)
            # It may have arrived slowly.
            refusal = self.refuse_late(request_id, deadline)
            if refusal is not None:
                return refusal_response(refusal, request_id)
            if isinstance(body, Refusal):
                if body.reason is not Reason.OVERLOADED:
                    events.emit(events.INPUT_REJECTED, request=request_id, error=body.detail)
                return refusal_response(body, request_id)
            if route.kind is RouteKind.JOB:
                owner = job_customer(table, request_key(request))
                return await self.submit(request, request_id, body, owner, deadline)
            call = Call(
                request.method,
                request.raw_path,
                request.headers.get("Host", ""),
                request_id,
                body,
                deadline,
                fields,
                upstream_customer(table, route, caller.customer),
                caller.customer,
            )
            result: web.StreamResponse | Answer | Refusal
            if route.kind is RouteKind.STREAM:
                result = await streaming.relay_stream(self.entry, request, route, call, arrived)
            else:
                result = await self.entry.forward(route, call, arrived)
            if isinstance(result, web.StreamResponse):
                return result
            if isinstance(result, Refusal):
                return refusal_response(result, request_id)
            return answer_response(result)

    def refuse_late(self, request_id: str, deadline: float) -> Refusal | None:
        """Refuse a request that may outlast the entry; log a refusal."""
        refusal = self.entry.refuse_late(deadline)
        if refusal is not None:
            events.emit(events.REFUSED, request=request_id, reason=refusal.reason)
        return refusal

    # Jobs

    async def submit(
        self,
        request: web.Request,
        request_id: str,
        body: bytes,
        customer: str | None,
        deadline: float,
    ) -> web.Response:
        """Submit a job to control in the name of a customer, None without customers.

        Without a definite reply from control the status is 504, and the job may or may not have
        been accepted.
        """
        if request.method != "POST" or not request_id:
            return refusal_response(
                not_run(Reason.BAD_REQUEST, "a job is submitted by POST with a request id"),
                request_id,
            )
        refusal = delivery.claim_parsed(request, body)
        if refusal is not None:
            return refusal_response(refusal, request_id)
        try:
            job = wire.parse_job(request_id, request.host, request.raw_path, body)
        except BadInputError as error:
            events.emit(events.INPUT_REJECTED, request=request_id, error=error.format_message())
            return refusal_response(not_run(Reason.BAD_REQUEST, str(error)), request_id)
        call = calls.SubmitJob(evolve(job, customer=customer or ""), customer)
        reply = await self.entry.call_control(call, request_id, latest=deadline)
        if isinstance(reply, calls.Accepted):
            return web.Response(status=202)
        if isinstance(reply, calls.NotOwner):
            detail = "the job id belongs to a job of another customer"
            return refusal_response(not_run(Reason.JOB_ID_TAKEN, detail), request_id)
        if isinstance(reply, calls.JobsFull):
            detail = "the jobs held leave no room for this one"
            return refusal_response(
                not_run(Reason.OVERLOADED, detail, JOBS_FULL_RETRY_S), request_id
            )
        if isinstance(reply, calls.JobTooLarge):
            detail = "the job has more items than a job may have"
            return refusal_response(not_run(Reason.BODY_TOO_LARGE, detail), request_id)
        if isinstance(reply, calls.JobRefused):
            detail = "no group of the job can be complete in time"
            return refusal_response(
                not_run(Reason.NO_CAPACITY, detail, reply.retry_after_s), request_id
            )
        return web.Response(status=EXPIRED_STATUS)

    async def find_reader(self, request: web.Request, job_id: str) -> str | None | Refusal:
        """Return the customer that accesses a job, None without customers, or a refusal."""
        await self.entry.wait_for_table()
        table = self.entry.current_table()
        if isinstance(table, Refusal):
            return table
        caller = identify_caller(table, None, request, job_id)
        return caller if isinstance(caller, Refusal) else job_customer(table, request_key(request))

    async def on_results(self, request: web.Request) -> web.Response:
        """Return a job's results after a position, waiting for new ones up to `Wait-Ms`."""
        job_id = request.match_info["id"]
        with self.entry.in_flight.count():
            return await self.read_results(request, job_id)

    async def read_results(self, request: web.Request, job_id: str) -> web.Response:
        """Return a job's results to a caller that may read them."""
        customer = await self.find_reader(request, job_id)
        if isinstance(customer, Refusal):
            return refusal_response(customer, job_id)
        after = parse_count(request.query.get("after", "0"))
        wait_ms = parse_count(request.headers.get(names.WAIT_MS, "0"))
        if after is None or wait_ms is None:
            return refusal_response(
                not_run(
                    Reason.BAD_REQUEST, f"'after' or {names.WAIT_MS} is not a non-negative integer"
                ),
                job_id,
            )
        query = calls.ReadResults(job_id, after, wait_ms, customer)
        if self.reads_in_flight >= UNCOUNTED_READS:
            # Each of them may get a whole page at the same moment.
            refusal = delivery.claim_bytes(request, PAGE_BYTES)
            if refusal is not None:
                return refusal_response(refusal, job_id)
        self.reads_in_flight += 1
        try:
            reply = await self.entry.read_results(query)
        finally:
            self.reads_in_flight -= 1
        if isinstance(reply, calls.ResultsRead):
            # The document is held beside the outputs while it is made.
            output_bytes = sum(len(result.output) for result in reply.results)
            refusal = delivery.claim_bytes(request, 2 * output_bytes)
            if refusal is not None:
                return refusal_response(refusal, job_id)
            return web.json_response(wire.format_results(reply))
        return job_failure_response(reply, job_id)

    async def on_item(self, request: web.Request) -> web.Response:
        """Return the request body of an item that has no result yet."""
        job_id = request.match_info["id"]
        with self.entry.in_flight.count():
            customer = await self.find_reader(request, job_id)
            if isinstance(customer, Refusal):
                return refusal_response(customer, job_id)
            query = calls.ReadItem(job_id, request.query.get("id", ""), customer)
            reply = await self.entry.call_control(query, job_id)
        if isinstance(reply, calls.ItemRead):
            return web.Response(body=reply.body)
        return job_failure_response(reply, job_id)

    async def on_end_job(self, request: web.Request) -> web.Response:
        """End a job."""
        job_id = request.match_info["id"]
        with self.entry.in_flight.count():
            customer = await self.find_reader(request, job_id)
            if isinstance(customer, Refusal):
                return refusal_response(customer, job_id)
            reply = await self.entry.call_control(calls.EndJob(job_id, customer), job_id)
        if isinstance(reply, calls.Accepted):
            return web.Response(status=200)
        return job_failure_response(reply, job_id)


def request_key(request: web.Request) -> str:
    """Return the key that a request carries; empty if it has none or more than one."""
    keys = request.headers.getall(names.API_KEY, [])
    return keys[0] if len(keys) == 1 else ""


def identify_caller(
    table: RouteTable, route: Route | None, request: web.Request, request_id: str
) -> Caller | Refusal:
    """Return the caller of a request by its key; log a refusal without the key."""
    caller = identify(table, route, request_key(request))
    if isinstance(caller, Refusal):
        metrics.KEYS_REJECTED.inc()
        events.emit(
            events.KEY_REJECTED,
            request=request_id,
            route=route.name if route else None,
            has_key=names.API_KEY in request.headers,
            table=table.version,
        )
    return caller


async def read_body(request: web.Request, limits: Limits, deadline: float) -> bytes | Refusal:
    """Read a request's body; return a refusal if the header or the body exceeds the limits.

    :param deadline: when the request can no longer be answered in time.
    """
    # Spaces around a value are not counted.
    header_bytes = sum(len(name) + len(value) + 3 for name, value in request.raw_headers)
    if header_bytes > limits.max_header_bytes:
        detail = (
            f"the header fields have {header_bytes} bytes, the limit is {limits.max_header_bytes}"
        )
        return not_run(Reason.HEADERS_TOO_LARGE, detail)
    return await delivery.read_body(request, limits.max_body_bytes, deadline)


def request_deadline(request: web.Request, route: Route, arrived: float) -> float:
    """Return the deadline of a request: the earlier of the caller's and the route's."""
    left_ms = parse_count(request.headers.get(names.DEADLINE_MS, ""))
    timeout_ms = route.timeout_ms if left_ms is None else min(left_ms, route.timeout_ms)
    return arrived + timeout_ms / 1000


def parse_count(text: str) -> int | None:
    """Parse a non-negative decimal integer; return None for anything else."""
    try:
        return parse_number(text)
    except ValueError:
        return None


def is_text(values: Iterable[str]) -> bool:
    """Return whether values of a request were valid Unicode on the wire."""
    try:
        "".join(values).encode()
    except UnicodeEncodeError:
        return False
    return True


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
