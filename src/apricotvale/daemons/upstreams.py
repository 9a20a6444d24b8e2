"""The entry's connections to sidecars: requests, answer checks and heartbeats."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import aiohttp
from attrs import field, frozen

from apricotvale import events
from apricotvale.daemons import headers as h
from apricotvale.http_client import MalformedAnswerError, StrictConnection, make_connector
from apricotvale.membership.roster import Member
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.answer_syntax import find_fields
from apricotvale.requests.routing import Router
from apricotvale.settings.schema import TrafficClass

CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
MAX_HEARTBEAT_FAILURES = 2
CHECK_TIMEOUT_S = 1.0


@frozen
class SidecarRequest:
    """A request to a sidecar.

    :param deadline: on the monotonic clock, in seconds.
    :param stream: whether a streamed answer is returned as an `OpenStream`.
    """

    path: str
    body: bytes
    request_id: str
    traffic_class: TrafficClass
    deadline: float
    headers: dict[str, str] = field(factory=dict)
    stream: bool = False


@frozen
class Answer:
    """A complete answer of a sidecar."""

    status: int
    content_type: str
    body: bytes


@frozen
class OpenStream:
    """A sidecar's answer whose body has not been read; the receiver closes the response."""

    response: aiohttp.ClientResponse


class SidecarConnection(StrictConnection):
    """A connection to a sidecar."""

    single_fields = find_fields(
        *(name.lower().encode() for name in (h.REQUEST_ID, h.LOAD, h.RAN, "Content-Type"))
    )


class Upstreams:
    """Sends requests to sidecars and reports load and failures to the router.

    :param revision: returns the configuration revision in force.
    """

    def __init__(self, router: Router, revision: Any) -> None:
        self.router = router
        self.revision = revision
        self.session: aiohttp.ClientSession
        self.exchange_timeouts: dict[str, set[asyncio.Timeout]] = {}
        self.active: dict[str, Member] = {}

    async def __aenter__(self) -> Upstreams:
        connector = make_connector(SidecarConnection, h.REQUEST_ID, limit=0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()

    async def send(self, member: Member, request: SidecarRequest) -> Answer | OpenStream | Refusal:
        """Send a request to a member's sidecar and return its answer or a refusal.

        After an `OpenStream`, the caller must call `end_stream`.
        """
        self.router.begin(member)
        streaming = False
        try:
            result = await self.attempt(member, request)
            streaming = isinstance(result, OpenStream)
            self.report_result(member, result)
            return result
        finally:
            if not streaming:
                self.router.end(member)

    def end_stream(self, member: Member) -> None:
        """Tell the router that a streamed request is complete."""
        self.router.end(member)

    def report_result(self, member: Member, result: Answer | OpenStream | Refusal) -> None:
        """Report the success or failure of an upstream to the router."""
        failed = isinstance(result, Refusal) and result.reason in (
            Reason.UPSTREAM_UNREACHABLE,
            Reason.UPSTREAM_LOST,
            Reason.UPSTREAM_GARBLED,
        )
        if not failed:
            self.router.succeed(member)
        elif self.router.fail(member, time.monotonic()):
            events.emit(events.EJECTED, upstream=member.name)

    async def attempt(
        self, member: Member, request: SidecarRequest
    ) -> Answer | OpenStream | Refusal:
        """Send a request once.

        If the connection cannot be established, the request is refused as not run.
        """
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0:
            return not_run(Reason.DEADLINE_EXPIRED)
        timeout = asyncio.timeout(remaining_s)
        try:
            async with timeout:
                return await self.exchange_with_timeout(member, request, timeout)
        except aiohttp.ClientConnectorError:
            return not_run(Reason.UPSTREAM_UNREACHABLE, member.name)
        except aiohttp.ConnectionTimeoutError:
            return not_run(Reason.UPSTREAM_UNREACHABLE, member.name)
        except TimeoutError:
            if time.monotonic() < request.deadline:
                return unknown(
                    Reason.UPSTREAM_LOST,
                    f"sidecar {member.name} did not answer {MAX_HEARTBEAT_FAILURES} heartbeats",
                )
            return unknown(Reason.DEADLINE_EXPIRED)
        except MalformedAnswerError as error:
            return unknown(Reason.UPSTREAM_GARBLED, repr(error))
        except (aiohttp.ClientError, ConnectionError) as error:
            return unknown(Reason.UPSTREAM_LOST, repr(error))

    async def exchange_with_timeout(
        self, member: Member, request: SidecarRequest, timeout: asyncio.Timeout
    ) -> Answer | OpenStream | Refusal:
        """Exchange under a time-out that `run_heartbeats` expires early for a silent sidecar."""
        exchange_timeouts = self.exchange_timeouts.setdefault(member.incarnation, set())
        exchange_timeouts.add(timeout)
        self.active[member.incarnation] = member
        try:
            return await self.exchange(member, request)
        finally:
            exchange_timeouts.discard(timeout)

    async def exchange(
        self, member: Member, request: SidecarRequest
    ) -> Answer | OpenStream | Refusal:
        """Send a request and read its answer."""
        fields = {
            **request.headers,
            h.REQUEST_ID: request.request_id,
            h.TRAFFIC_CLASS: request.traffic_class.value,
            h.DEADLINE_MS: str(int((request.deadline - time.monotonic()) * 1000)),
            h.REVISION: str(self.revision()),
        }
        fields.setdefault(h.INCARNATION, member.incarnation)
        url = f"http://{member.address}{request.path}"
        response = await self.session.post(url, data=request.body, headers=fields)
        try:
            return await self.read_answer(member, request, response)
        except BaseException:
            response.close()
            raise

    async def read_answer(
        self, member: Member, request: SidecarRequest, response: aiohttp.ClientResponse
    ) -> Answer | OpenStream | Refusal:
        """Check that an answer belongs to the request, and report its load to the router."""
        if response.headers.get(h.REQUEST_ID, "") != request.request_id:
            response.close()
            return unknown(
                Reason.UPSTREAM_GARBLED, f"sidecar {member.name} answered another request"
            )
        load = response.headers.get(h.LOAD, "")
        if load.isdigit():
            self.router.report(member, int(load), time.monotonic())
        content_type = response.headers.get("Content-Type", "")
        if content_type.startswith(h.PROBLEM_TYPE):
            return parse_refusal(await response.read())
        if request.stream and content_type.startswith("text/event-stream"):
            return OpenStream(response)
        return Answer(response.status, content_type, await response.read())

    async def accepts_connections(self, upstream: Member) -> bool | None:
        """Return whether the upstream of a sidecar accepts connections, None if not known.

        The sidecar is asked. One that refuses connections itself has ended with its upstream.
        """
        url = f"http://{upstream.address}/upstream"
        fields = {h.INCARNATION: upstream.incarnation}
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
        try:
            async with self.session.get(url, headers=fields, timeout=timeout) as response:
                accepts = (await response.json())["accepts"]
        except aiohttp.ClientConnectorError as error:
            return False if isinstance(error.os_error, ConnectionRefusedError) else None
        except (
            aiohttp.ClientError,
            TimeoutError,
            ConnectionError,
            ValueError,
            KeyError,
            TypeError,
        ):
            return None
        return accepts if isinstance(accepts, bool) else None

    async def run_heartbeats(self) -> None:
        """Send heartbeats to the sidecars that have requests in flight.

        After `MAX_HEARTBEAT_FAILURES` failures in a row, the sidecar's exchanges time out.
        """
        failures: dict[str, int] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            busy = [m for m in self.active.values() if self.router.load_of(m).in_flight > 0]
            self.active = {m.incarnation: m for m in busy}
            alive = await asyncio.gather(*(self.answers_heartbeat(m) for m in busy))
            failures = {
                member.incarnation: 0 if ok else failures.get(member.incarnation, 0) + 1
                for member, ok in zip(busy, alive, strict=True)
            }
            for incarnation, count in failures.items():
                if count >= MAX_HEARTBEAT_FAILURES:
                    self.expire_exchanges(incarnation)
            self.exchange_timeouts = {
                name: timeouts for name, timeouts in self.exchange_timeouts.items() if timeouts
            }

    def expire_exchanges(self, incarnation: str) -> None:
        """Expire the time-outs of all exchanges with a sidecar."""
        now = asyncio.get_running_loop().time()
        for timeout in list(self.exchange_timeouts.get(incarnation, ())):
            timeout.reschedule(now)

    async def answers_heartbeat(self, member: Member) -> bool:
        """Send one heartbeat and return whether it was answered."""
        timeout = aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S)
        try:
            url = f"http://{member.address}/healthz"
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            return False


def parse_refusal(body: bytes) -> Refusal:
    """Parse the refusal from a sidecar's problem document.

    A malformed document gives a refusal with an unknown outcome.
    """
    try:
        document = json.loads(body)
        reason = Reason(str(document["type"]).rpartition(":")[2])
        retry_after = document.get("retry_after_s")
        return Refusal(reason, Ran(document["ran"]), str(document["detail"]), retry_after)
    except (ValueError, KeyError, TypeError):
        return unknown(Reason.UPSTREAM_GARBLED, "malformed problem document from the sidecar")
