"""The replicated registry of upstreams, updated by committed heartbeats, and local views of it."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, evolve, field, frozen

from apricotvale.limits.known import KnownLimits

# Departure records kept to reject late heartbeats and to compute deltas; a reader that is behind
# the oldest one gets the full registry.
MAX_DEPARTED = 512


class Standing(StrEnum):
    """Whether an upstream accepts new work.

    SILENT means that its heartbeats have stopped.
    """

    READY = "ready"
    DRAINING = "draining"
    SILENT = "silent"


@frozen
class Origin:
    """What generates a text: a service and the version of its upstreams' software.

    The output of one version does not continue that of another one.
    """

    service: str
    software: str


@frozen
class Upstream:
    """An upstream as described by its latest heartbeat.

    :param upstream_id: self-assigned name, which may be reused after a restart.
    :param born_ms: start of this incarnation, in Unix milliseconds of the upstream's clock.
    :param sequence: number of the heartbeat within the incarnation.
    :param capacity: maximum number of concurrent requests.
    :param software: version of its software, empty if it states none.
    :param models: weight version by model, for model engines.
    :param limit: requests in a second that it takes from all processes together, as it named in its
        answers; None without a limit.
    """

    upstream_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    site: str
    capacity: int
    standing: Standing
    software: str = ""
    models: dict[str, int] = field(factory=dict)
    limit: float | None = None

    @property
    def incarnation(self) -> str:
        """Return the id of this incarnation."""
        return f"{self.upstream_id}@{self.born_ms}"

    @property
    def name(self) -> str:
        """Return the name used in logs."""
        return self.upstream_id

    @property
    def origin(self) -> Origin | None:
        """Return the origin of the texts that it generates, None if it states no version."""
        return Origin(self.service, self.software) if self.software else None

    @property
    def order(self) -> tuple[int, int]:
        """Return the key that orders heartbeats of the same upstream."""
        return (self.born_ms, self.sequence)

    def differs(self, other: Upstream) -> bool:
        """Return whether two heartbeats differ in anything but their sequence."""
        return evolve(self, sequence=0) != evolve(other, sequence=0)


@frozen
class Departed:
    """Record of a removed upstream.

    Heartbeats of this incarnation and of earlier ones are late and are ignored.

    :param was_replaced: whether another upstream took its address. Otherwise it reported that it
        leaves, or the record was written by a build that did not distinguish them.
    """

    upstream_id: str
    born_ms: int
    sequence: int
    was_replaced: bool = False


@frozen
class RecordedLimit:
    """The limit that an incarnation of an upstream named in its answers."""

    born_ms: int
    rate: float


@frozen
class UpstreamDelta:
    """Changes since a position; a full delta replaces the whole view."""

    position: int
    full: bool
    upstreams: list[Upstream] = field(factory=list)
    removed: list[str] = field(factory=list)


@define
class RegistryState:
    """Registry state, as stored in snapshots.

    :param position: log index of the last change; the other positions are log indexes too.
    :param changed_at: position of the last change, by upstream.
    :param departed_at: position of the removal, by upstream.
    :param forgotten_at: position of the newest removal whose record was dropped.
    :param leaving: `born_ms` of the incarnations that stated in an answer that they leave, by
        upstream.
    :param limits: limits in force, by upstream.
    """

    position: int = 0
    upstreams: dict[str, Upstream] = field(factory=dict)
    changed_at: dict[str, int] = field(factory=dict)
    departed: dict[str, Departed] = field(factory=dict)
    departed_at: dict[str, int] = field(factory=dict)
    forgotten_at: int = 0
    leaving: dict[str, int] = field(factory=dict)
    limits: dict[str, RecordedLimit] = field(factory=dict)


class Registry:
    """Operations on the replicated registry."""

    def __init__(self, state: RegistryState) -> None:
        self.state = state

    def is_change(self, upstream: Upstream) -> bool:
        """Return whether a heartbeat would change the registry."""
        if not self.is_current(upstream):
            return False
        current = self.state.upstreams.get(upstream.upstream_id)
        return current is None or current.differs(self.with_statements(upstream))

    def is_current(self, upstream: Upstream) -> bool:
        """Return whether a heartbeat is not out of date.

        A heartbeat is out of date if a newer one was recorded, if its incarnation departed, or if
        its address belongs to an upstream that started later.
        """
        departure = self.state.departed.get(upstream.upstream_id)
        if departure is not None and upstream.born_ms <= departure.born_ms:
            return False
        current = self.state.upstreams.get(upstream.upstream_id)
        if current is not None and upstream.order < current.order:
            return False
        return not any(
            other.address == upstream.address
            and other.upstream_id != upstream.upstream_id
            and other.born_ms > upstream.born_ms
            for other in self.state.upstreams.values()
        )

    def announce(self, upstream: Upstream, position: int) -> bool:
        """Record a heartbeat; return whether it changed the registry.

        An upstream with the same address and another id is removed.
        """
        if not self.is_change(upstream):
            return False
        self.register(upstream, position)
        return True

    def restore(self, upstream: Upstream, position: int) -> None:
        """Record an upstream that is alive although its heartbeats count as out of date.

        What has taken its id or its address is removed.
        """
        self.state.departed.pop(upstream.upstream_id, None)
        self.state.departed_at.pop(upstream.upstream_id, None)
        self.register(upstream, position)

    def register(self, upstream: Upstream, position: int) -> None:
        """Record a heartbeat, and remove the upstreams that its sender has replaced."""
        for other in list(self.state.upstreams.values()):
            if other.address == upstream.address and other.upstream_id != upstream.upstream_id:
                self.remove(other, position, was_replaced=True)
        if not self.is_leaving(upstream.upstream_id, upstream.born_ms):
            self.state.leaving.pop(upstream.upstream_id, None)
        if self.limit_of(upstream.upstream_id, upstream.born_ms) is None:
            self.state.limits.pop(upstream.upstream_id, None)
        self.record(self.with_statements(upstream), position)

    def record(self, upstream: Upstream, position: int) -> None:
        """Replace the description of an upstream."""
        self.state.upstreams[upstream.upstream_id] = upstream
        self.state.changed_at[upstream.upstream_id] = position
        self.state.position = position

    def is_leaving(self, upstream_id: str, born_ms: int) -> bool:
        """Return whether this incarnation has stated in an answer that it leaves."""
        return self.state.leaving.get(upstream_id) == born_ms

    def limit_of(self, upstream_id: str, born_ms: int) -> float | None:
        """Return the limit that this incarnation has named, None without one."""
        recorded = self.state.limits.get(upstream_id)
        return recorded.rate if recorded and recorded.born_ms == born_ms else None

    def with_statements(self, upstream: Upstream) -> Upstream:
        """Return a heartbeat's upstream with its limit, as draining if it is marked as leaving.

        It keeps the software version that it stated first. Load pattern: an upstream announces in
        its answers that it leaves, while its heartbeats go on to say that it is ready; another
        writer sends heartbeats in its name.
        """
        limit = self.limit_of(upstream.upstream_id, upstream.born_ms)
        software = self.known_software(upstream) or upstream.software
        upstream = evolve(upstream, limit=limit, software=software)
        ready = upstream.standing is Standing.READY
        if ready and self.is_leaving(upstream.upstream_id, upstream.born_ms):
            return evolve(upstream, standing=Standing.DRAINING)
        return upstream

    def known_software(self, upstream: Upstream) -> str:
        """Return the software version that an upstream's incarnation stated, empty if none."""
        current = self.state.upstreams.get(upstream.upstream_id)
        same_start = current is not None and current.born_ms == upstream.born_ms
        return current.software if current is not None and same_start else ""

    def mark_leaving(self, upstream_id: str, born_ms: int, position: int) -> bool:
        """Mark an incarnation as leaving; return whether that is news.

        A registered upstream that is ready becomes draining. Another incarnation under the same id
        is not affected.
        """
        current = self.state.upstreams.get(upstream_id)
        if current is None or current.born_ms != born_ms or self.is_leaving(upstream_id, born_ms):
            return False
        self.state.leaving[upstream_id] = born_ms
        if current.standing is Standing.READY:
            self.record(evolve(current, standing=Standing.DRAINING), position)
        return True

    def set_limit(self, upstream_id: str, born_ms: int, rate: float | None, position: int) -> bool:
        """Record the limit of an incarnation, None for its end; return whether that is news."""
        current = self.state.upstreams.get(upstream_id)
        if (
            current is None
            or current.born_ms != born_ms
            or self.limit_of(upstream_id, born_ms) == rate
        ):
            return False
        if rate is None:
            del self.state.limits[upstream_id]
        else:
            self.state.limits[upstream_id] = RecordedLimit(born_ms, rate)
        self.record(evolve(current, limit=rate), position)
        return True

    def is_foreign(self, upstream: Upstream) -> bool:
        """Return whether a heartbeat without a start time is among upstreams that state one.

        Another writer's heartbeat then neither registers nor changes an upstream. Without a start
        time it could not be told from a restart or from a late heartbeat.
        """
        return not upstream.born_ms and any(
            other.born_ms > 0 for other in self.state.upstreams.values()
        )

    def depart(self, upstream_id: str, position: int) -> bool:
        """Remove a departing upstream; return whether it was registered."""
        current = self.state.upstreams.get(upstream_id)
        if current is None:
            return False
        self.remove(current, position)
        return True

    def mark_silent(self, upstream_id: str, born_ms: int, sequence: int, position: int) -> bool:
        """Mark an upstream as silent, unless a later heartbeat was recorded.

        :param born_ms: start time that the last received heartbeat carried.
        :param sequence: sequence that the last received heartbeat carried.
        """
        current = self.state.upstreams.get(upstream_id)
        if (
            current is None
            or current.order > (born_ms, sequence)
            or current.standing is Standing.SILENT
        ):
            return False
        self.record(evolve(current, standing=Standing.SILENT), position)
        return True

    def has_left(self, upstream: Upstream) -> bool:
        """Return whether this incarnation may have reported that it leaves."""
        departure = self.state.departed.get(upstream.upstream_id)
        if departure is None or departure.born_ms != upstream.born_ms:
            return False
        return not departure.was_replaced

    def remove(self, upstream: Upstream, position: int, was_replaced: bool = False) -> None:
        """Remove an upstream and record its departure, to reject its late heartbeats."""
        state = self.state
        del state.upstreams[upstream.upstream_id]
        state.changed_at.pop(upstream.upstream_id, None)
        state.leaving.pop(upstream.upstream_id, None)
        state.limits.pop(upstream.upstream_id, None)
        state.departed[upstream.upstream_id] = Departed(
            upstream.upstream_id, upstream.born_ms, upstream.sequence, was_replaced
        )
        state.departed_at[upstream.upstream_id] = position
        state.position = position
        while len(state.departed) > MAX_DEPARTED:
            oldest = min(state.departed_at, key=state.departed_at.__getitem__)
            state.forgotten_at = max(state.forgotten_at, state.departed_at.pop(oldest))
            del state.departed[oldest]

    def since(self, position: int) -> UpstreamDelta:
        """Return the changes after a position, or the full registry if records are missing."""
        state = self.state
        if position < state.forgotten_at or position > state.position:
            return UpstreamDelta(state.position, True, list(state.upstreams.values()))
        changed = [
            state.upstreams[upstream_id]
            for upstream_id, at in state.changed_at.items()
            if at > position
        ]
        removed = [
            upstream_id
            for upstream_id, at in state.departed_at.items()
            if at > position and upstream_id not in state.upstreams
        ]
        return UpstreamDelta(state.position, False, changed, removed)


@define
class RegistryView:
    """A process's local copy of the registry.

    :param leaving: incarnations that stated to this process that they leave. They get no new
        work here, whatever control knows of them, until they are removed.
    :param limits: limits that upstreams named to this process.
    """

    position: int = -1
    upstreams: dict[str, Upstream] = field(factory=dict)
    leaving: set[str] = field(factory=set)
    limits: KnownLimits = field(factory=KnownLimits)

    def apply(self, delta: UpstreamDelta, now: float = 0.0) -> None:
        """Apply a delta; a delta older than the view is ignored.

        :param now: in monotonic seconds.
        """
        if delta.position < self.position:
            return
        if delta.full:
            self.upstreams = {}
        for upstream in delta.upstreams:
            self.upstreams[upstream.upstream_id] = upstream
            self.limits.follow(upstream.incarnation, upstream.limit, now)
        for upstream_id in delta.removed:
            self.upstreams.pop(upstream_id, None)
        self.position = delta.position
        if self.leaving or self.limits.by_incarnation:
            incarnations = {upstream.incarnation for upstream in self.upstreams.values()}
            self.leaving &= incarnations
            self.limits.retain(incarnations)

    def mark_leaving(self, incarnation: str) -> bool:
        """Mark an incarnation as leaving; return whether it was not marked before."""
        if incarnation in self.leaving:
            return False
        self.leaving.add(incarnation)
        return True

    def holds(self, upstream: Upstream) -> bool:
        """Return whether this incarnation is in the view."""
        current = self.upstreams.get(upstream.upstream_id)
        return current is not None and current.born_ms == upstream.born_ms

    def ready(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new work."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
            and upstream.standing is Standing.READY
            and upstream.incarnation not in self.leaving
        ]
