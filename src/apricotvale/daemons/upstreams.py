"""The entry's connections to sidecars: sending, checking answers, and finding silent peers."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import aiohttp
from attrs import field, frozen

from apricotvale import events
from apricotvale.daemons import headers as h
from apricotvale.membership.roster import Member
from apricotvale.outcomes import Ran, Reason, Refusal, not_run, unknown
from apricotvale.requests.routing import Router
from apricotvale.settings.schema import TrafficClass

CONNECT_S = 1.0
HEARTBEAT_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
HEARTBEAT_FAILURES = 2


@frozen
class Outbound:
    """A request as it goes to a sidecar."""

    path: str
    body: bytes
    request_id: str
    traffic_class: TrafficClass
    deadline: float
    headers: dict[str, str] = field(factory=dict)
    stream: bool = False


@frozen
class Answer:
    """A sidecar's whole answer."""

    status: int
    content_type: str
    body: bytes


@frozen
class OpenStream:
    """A sidecar's answer whose body is still to be read; the owner releases it."""

    response: aiohttp.ClientResponse


class Upstreams:
    """Sends requests to sidecars and keeps the router's counts."""

    def __init__(self, router: Router, revision: Any) -> None:
        self.router = router
        self.revision = revision
        self.session: aiohttp.ClientSession
        self.waits: dict[str, set[asyncio.Timeout]] = {}
        self.active: dict[str, Member] = {}

    async def __aenter__(self) -> Upstreams:
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()

    async def send(self, member: Member, request: Outbound) -> Answer | OpenStream | Refusal:
        """Send a request to a member's sidecar and return its answer or a typed failure."""
        self.router.begin(member)
        streaming = False
        try:
            result = await self.attempt(member, request)
            streaming = isinstance(result, OpenStream)
            self.note(member, result)
            return result
        finally:
            if not streaming:
                self.router.end(member)

    def end_stream(self, member: Member) -> None:
        """Count a stream that is over."""
        self.router.end(member)

    def note(self, member: Member, result: Answer | OpenStream | Refusal) -> None:
        """Tell the router whether the upstream is well."""
        broken = isinstance(result, Refusal) and result.reason in (
            Reason.UPSTREAM_UNREACHABLE,
            Reason.UPSTREAM_LOST,
            Reason.UPSTREAM_GARBLED,
        )
        if not broken:
            self.router.succeed(member)
        elif self.router.fail(member, time.monotonic()):
            events.emit(events.EJECTED, upstream=member.name)

    async def attempt(self, member: Member, request: Outbound) -> Answer | OpenStream | Refusal:
        """Send once. What fails before anything was written did not run."""
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0:
            return not_run(Reason.DEADLINE_EXPIRED)
        wait = asyncio.timeout(remaining_s)
        try:
            async with wait:
                return await self.exchange_while_alive(member, request, wait)
        except aiohttp.ClientConnectorError:
            return not_run(Reason.UPSTREAM_UNREACHABLE, member.name)
        except aiohttp.ConnectionTimeoutError:
            return not_run(Reason.UPSTREAM_UNREACHABLE, member.name)
        except TimeoutError:
            if time.monotonic() < request.deadline:
                return unknown(Reason.UPSTREAM_LOST, "the sidecar misses its heartbeats")
            return unknown(Reason.DEADLINE_EXPIRED)
        except (aiohttp.ClientError, ConnectionError) as error:
            return unknown(Reason.UPSTREAM_LOST, repr(error))

    async def exchange_while_alive(
        self, member: Member, request: Outbound, wait: asyncio.Timeout
    ) -> Answer | OpenStream | Refusal:
        """Exchange under a wait that `watch` ends once the sidecar is silent."""
        waits = self.waits.setdefault(member.incarnation, set())
        waits.add(wait)
        self.active[member.incarnation] = member
        try:
            return await self.exchange(member, request)
        finally:
            waits.discard(wait)

    async def exchange(self, member: Member, request: Outbound) -> Answer | OpenStream | Refusal:
        """Write a request and read its answer."""
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
            return await self.read(member, request, response)
        except BaseException:
            response.close()
            raise

    async def read(
        self, member: Member, request: Outbound, response: aiohttp.ClientResponse
    ) -> Answer | OpenStream | Refusal:
        """Check that an answer belongs to the request, and take its load report."""
        if response.headers.get(h.REQUEST_ID, "") != request.request_id:
            response.close()
            return unknown(Reason.UPSTREAM_GARBLED, "an answer to another request")
        load = response.headers.get(h.LOAD, "")
        if load.isdigit():
            self.router.report(member, int(load), time.monotonic())
        content_type = response.headers.get("Content-Type", "")
        if content_type.startswith(h.PROBLEM_TYPE):
            return refusal_from(await response.read())
        if request.stream and content_type.startswith("text/event-stream"):
            return OpenStream(response)
        return Answer(response.status, content_type, await response.read())

    async def watch(self) -> None:
        """Send heartbeats to the sidecars that have requests in flight."""
        failures: dict[str, int] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            busy = [m for m in self.active.values() if self.router.load_of(m).in_flight > 0]
            self.active = {m.incarnation: m for m in busy}
            answers = await asyncio.gather(*(self.is_answering(m) for m in busy))
            failures = {
                member.incarnation: 0 if ok else failures.get(member.incarnation, 0) + 1
                for member, ok in zip(busy, answers, strict=True)
            }
            for incarnation, count in failures.items():
                if count >= HEARTBEAT_FAILURES:
                    self.end_waits(incarnation)
            self.waits = {name: held for name, held in self.waits.items() if held}

    def end_waits(self, incarnation: str) -> None:
        """End the exchanges with a silent sidecar."""
        now = asyncio.get_running_loop().time()
        for wait in list(self.waits.get(incarnation, ())):
            wait.reschedule(now)

    async def is_answering(self, member: Member) -> bool:
        """Send one heartbeat."""
        timeout = aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S)
        try:
            url = f"http://{member.address}/healthz"
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            return False


def refusal_from(body: bytes) -> Refusal:
    """Return the refusal in a sidecar's problem document."""
    try:
        document = json.loads(body)
        reason = Reason(str(document["type"]).rpartition(":")[2])
        retry_after = document.get("retry_after_s")
        return Refusal(reason, Ran(document["ran"]), str(document["detail"]), retry_after)
    except (ValueError, KeyError, TypeError):
        return unknown(Reason.UPSTREAM_GARBLED, "a malformed problem document")
