"""The control leader's part in recording the origins of streams."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from apricotvale import events, metrics
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.discovery import Origin, RegistryState, Standing
from apricotvale.origins import calls
from apricotvale.origins import commands as c
from apricotvale.origins.book import OriginBook, UsualOrigins, route_prefix, usual_origin
from apricotvale.routes import Route, RouteKind, RouteTable

# A caller takes a stream up within the time that it allows for the whole request.
MIN_KEEP_S = 30.0
KEEP_TIMEOUTS = 2
# A usual origin that serves no more is replaced after this many times the time for which a record
# is kept. Until then streams that began there without a record may be taken up.
SETTLE_KEEPS = 2
CHECK_INTERVAL_S = 1.0
# Of the host and path of a request, in the log.
MAX_LOGGED_CHARS = 200


class OriginControl:
    """Records the origins of streams, and chooses the usual origins of requests.

    :param book: returns the replicated record.
    :param registry: returns the registered upstreams.
    :param confirm: returns whether a quorum confirms that this replica leads.
    :param commit: commits a command and returns the reply for its caller.
    :param tasks: where commits run that no caller waits for.

    `routes` holds the streaming routes, by prefix, and `prefixes` their prefixes in order. Routes
    that are not resumable count as well, as they may become so while their streams run.
    `absent_since` holds since when a usual origin serves no more, by prefix. A record is kept for
    `keep_s`; `table_keep_s` is what the table asks for, and streams that began under a table that
    asked for more may run until `shrink_at`.
    """

    def __init__(
        self,
        book: Callable[[], OriginBook],
        registry: Callable[[], RegistryState],
        confirm: Callable[[], Awaitable[bool]],
        commit: Callable[[Any], Coroutine[Any, Any, Any]],
        tasks: TaskGroup,
    ) -> None:
        self.book = book
        self.registry = registry
        self.confirm = confirm
        self.commit = commit
        self.tasks = tasks
        self.routes: dict[str, Route] = {}
        self.prefixes: list[str] = []
        self.keep_s = self.table_keep_s = MIN_KEEP_S
        self.shrink_at = 0.0
        self.absent_since: dict[str, float] = {}
        self.turn_at = 0.0
        self.check_at = 0.0

    def on_table(self, table: RouteTable) -> None:
        """Adopt the streaming routes of a table."""
        self.routes = {
            route_prefix(route): route for route in table.routes if route.kind is RouteKind.STREAM
        }
        self.prefixes = sorted(self.routes)
        longest_s = max((route.timeout_ms for route in self.routes.values()), default=0.0) / 1000
        self.table_keep_s = max(MIN_KEEP_S, KEEP_TIMEOUTS * longest_s)
        self.keep_s = max(self.keep_s, self.table_keep_s)

    def start_leading(self, now: float) -> None:
        """Count all times from now; what happened before is not known here."""
        self.absent_since.clear()
        self.shrink_at = self.turn_at = now + self.keep_s
        self.check_at = now

    def changes(self, position: int) -> UsualOrigins | None:
        """Return the usual origins, None for a reader that knows or does not follow them."""
        state = self.book().state
        if not 0 <= position < state.position:
            return None
        return UsualOrigins(state.position, state.usual)

    # Calls

    async def on_record(self, request: calls.RecordOrigins) -> Any:
        """Commit the origins of streams."""
        metrics.STREAMS_RECORDED.inc(len(request.streams))
        return await self.commit(c.RecordStreams(request.streams))

    async def on_find(self, request: calls.FindOrigin) -> calls.OriginFound | None:
        """Return the origin of a stream, None if this replica does not lead any more.

        A stream without a record began at the usual origin of its request. One that its caller does
        not name might be any, so that it is known only while none is recorded.
        """
        if not await self.confirm():
            return None
        book = self.book()
        record = book.find(request.key) if request.key else None
        usual = usual_origin(book.state.usual, request.route)
        if record is not None:
            origin = record.origin
        else:
            origin = usual if request.key or book.is_empty else None
        events.emit(
            events.ORIGIN_FOUND,
            route=request.route[:MAX_LOGGED_CHARS],
            key=request.key,
            software=origin.software if origin else None,
            is_recorded=record is not None,
        )
        is_other = record is not None and record.request != request.request
        return calls.OriginFound(origin, is_other)

    # Periodic tasks of the leader

    def tick(self, now: float) -> None:
        """Forget old streams, and replace usual origins that serve no more."""
        if self.keep_s == self.table_keep_s:
            self.shrink_at = now + self.keep_s
        elif now >= self.shrink_at:
            self.keep_s = self.table_keep_s
        if now >= self.turn_at:
            self.turn_at = now + self.keep_s
            if not self.book().is_empty:
                self.tasks.start(self.commit(c.TurnStreams()))
        if now < self.check_at:
            return
        self.check_at = now + CHECK_INTERVAL_S
        usual = self.book().state.usual
        serving = self.serving_origins()
        for prefix in sorted(usual.keys() | self.routes.keys()):
            known = usual.get(prefix)
            found = self.due_origin(prefix, known, serving, now)
            if found != known:
                events.emit(
                    events.USUAL_ORIGIN_CHANGED,
                    route=prefix,
                    former=known.software if known else None,
                    software=found.software if found else None,
                )
                self.tasks.start(self.commit(c.ReplaceUsualOrigin(prefix, known, found)))

    def due_origin(
        self, prefix: str, known: Origin | None, serving: Counter[Origin], now: float
    ) -> Origin | None:
        """Return the usual origin that a prefix should have now, None for none.

        Streams of requests that have none are all recorded, so that a prefix gets one at once. It
        stays while any route leads requests below the prefix there, and for as long after that as
        its streams may be taken up.
        """
        if known is None:
            self.absent_since.pop(prefix, None)
            if usual_origin(self.book().state.usual, prefix) is not None:
                return None
            return self.first_origin(self.routes[prefix], serving)
        if serving[known] and known.service in self.services_at(prefix):
            self.absent_since.pop(prefix, None)
            return known
        absent_since = self.absent_since.setdefault(prefix, now)
        return known if now < absent_since + SETTLE_KEEPS * self.keep_s else None

    def first_origin(self, route: Route, serving: Counter[Origin]) -> Origin | None:
        """Return the usual origin for a prefix that has had none, None if none serves.

        One that is usual elsewhere comes first, as a route may have moved to another host.
        """
        elsewhere = set(self.book().state.usual.values())
        return max(
            sorted((origin for origin in serving if route.leads_to(origin.service)), key=repr),
            key=lambda origin: (origin in elsewhere, serving[origin]),
            default=None,
        )

    def services_at(self, prefix: str) -> set[str]:
        """Return the services to which any route leads some of the requests below a prefix."""
        found = []
        for other in self.prefixes[bisect_left(self.prefixes, prefix) :]:
            if not other.startswith(prefix):
                break
            found.append(self.routes[other])
        shorter = [prefix[: n + 1] for n, character in enumerate(prefix) if character == "/"]
        found += [self.routes[other] for other in shorter if other in self.routes]
        return {b.service for route in found for b in route.backends if b.weight > 0}

    def serving_origins(self) -> Counter[Origin]:
        """Return the number of upstreams that are not silent by their origin."""
        return Counter(
            upstream.origin
            for upstream in self.registry().upstreams.values()
            if upstream.origin is not None and upstream.standing is not Standing.SILENT
        )
