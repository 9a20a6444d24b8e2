"""The registry of upstreams, changed by committed heartbeats, and a process's view of it."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, evolve, field, frozen

MAX_DEPARTED = 512


class Standing(StrEnum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"
    SILENT = "silent"


@frozen
class Upstream:
    """One upstream as its latest heartbeat describes it.

    :param upstream_id: the name it gives itself; it may start again under the same one.
    :param born_ms: start of this incarnation, in Unix milliseconds of its own clock.
    :param sequence: number of the heartbeat within the incarnation.
    :param capacity: requests that it works on at the same time.
    :param models: weight version by model, for model engines.
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

    @property
    def incarnation(self) -> str:
        """Return what tells this start of the upstream from others."""
        return f"{self.upstream_id}@{self.born_ms}"

    @property
    def name(self) -> str:
        """Return the upstream's name in logs."""
        return self.upstream_id

    @property
    def order(self) -> tuple[int, int]:
        """Return by what a later heartbeat is told from an earlier one."""
        return (self.born_ms, self.sequence)

    def differs(self, other: Upstream) -> bool:
        """Return whether a heartbeat says more than that the upstream is alive."""
        return evolve(self, sequence=0) != evolve(other, sequence=0)


@frozen
class Departed:
    """An upstream that said it is gone: heartbeats up to this order are late ones."""

    upstream_id: str
    born_ms: int
    sequence: int


@frozen
class UpstreamDelta:
    """What changed since a position; a full one replaces the view."""

    position: int
    full: bool
    upstreams: list[Upstream] = field(factory=list)
    removed: list[str] = field(factory=list)


@define
class RegistryState:
    """What a snapshot holds of the registry."""

    position: int = 0
    upstreams: dict[str, Upstream] = field(factory=dict)
    changed_at: dict[str, int] = field(factory=dict)
    departed: dict[str, Departed] = field(factory=dict)
    departed_at: dict[str, int] = field(factory=dict)
    forgotten_at: int = 0


class Registry:
    """The replicated registry."""

    def __init__(self, state: RegistryState) -> None:
        self.state = state

    def is_news(self, upstream: Upstream) -> bool:
        """Return whether a heartbeat changes the registry."""
        if not self.is_current(upstream):
            return False
        held = self.state.upstreams.get(upstream.upstream_id)
        return held is None or held.differs(upstream)

    def is_current(self, upstream: Upstream) -> bool:
        """Return whether a heartbeat is not a late one.

        One of an incarnation that departed, or whose address a younger one has taken, is late.
        """
        gone = self.state.departed.get(upstream.upstream_id)
        if gone is not None and upstream.born_ms <= gone.born_ms:
            return False
        held = self.state.upstreams.get(upstream.upstream_id)
        if held is not None and upstream.order < held.order:
            return False
        return not any(
            other.address == upstream.address
            and other.upstream_id != upstream.upstream_id
            and other.born_ms > upstream.born_ms
            for other in self.state.upstreams.values()
        )

    def announce(self, upstream: Upstream, position: int) -> bool:
        """Take a heartbeat; return whether it changed the registry."""
        if not self.is_news(upstream):
            return False
        for other in list(self.state.upstreams.values()):
            if other.address == upstream.address and other.upstream_id != upstream.upstream_id:
                self.remove(other, position)
        self.state.upstreams[upstream.upstream_id] = upstream
        self.state.changed_at[upstream.upstream_id] = position
        self.state.position = position
        return True

    def depart(self, upstream_id: str, position: int) -> bool:
        """Remove an upstream that says it is gone; return whether it was known."""
        held = self.state.upstreams.get(upstream_id)
        if held is None:
            return False
        self.remove(held, position)
        return True

    def silence(self, upstream_id: str, born_ms: int, sequence: int, position: int) -> bool:
        """Mark an upstream as unheard, unless it was heard since."""
        held = self.state.upstreams.get(upstream_id)
        if held is None or held.order > (born_ms, sequence) or held.standing is Standing.SILENT:
            return False
        self.state.upstreams[upstream_id] = evolve(held, standing=Standing.SILENT)
        self.state.changed_at[upstream_id] = position
        self.state.position = position
        return True

    def remove(self, held: Upstream, position: int) -> None:
        """Forget an upstream, but remember up to where its heartbeats are late."""
        state = self.state
        del state.upstreams[held.upstream_id]
        state.changed_at.pop(held.upstream_id, None)
        state.departed[held.upstream_id] = Departed(held.upstream_id, held.born_ms, held.sequence)
        state.departed_at[held.upstream_id] = position
        state.position = position
        while len(state.departed) > MAX_DEPARTED:
            oldest = min(state.departed_at, key=state.departed_at.__getitem__)
            state.forgotten_at = max(state.forgotten_at, state.departed_at.pop(oldest))
            del state.departed[oldest]

    def since(self, position: int) -> UpstreamDelta:
        """Return what changed after a position."""
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
    """A process's copy of the registry."""

    position: int = -1
    upstreams: dict[str, Upstream] = field(factory=dict)

    def apply(self, delta: UpstreamDelta) -> None:
        """Take a delta; one older than the view is ignored."""
        if delta.position < self.position:
            return
        if delta.full:
            self.upstreams = {}
        for upstream in delta.upstreams:
            self.upstreams[upstream.upstream_id] = upstream
        for upstream_id in delta.removed:
            self.upstreams.pop(upstream_id, None)
        self.position = delta.position

    def ready(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service and upstream.standing is Standing.READY
        ]
