"""The replicated list of members and the deltas that keep views in step with it."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, evolve, field, frozen

TOMBSTONES = 4096


class Kind(StrEnum):
    """What a member is."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class Standing(StrEnum):
    """Whether a member takes new work."""

    SERVING = "serving"
    DRAINING = "draining"


@frozen
class Member:
    """A process that announced itself; `incarnation` is new at each start of it.

    `models` gives the version of each model that an engine last stated.
    """

    name: str
    incarnation: str
    kind: Kind
    address: str
    site: str
    group: str = ""
    models: dict[str, int] = field(factory=dict)
    checks_fencing: bool = False
    standing: Standing = Standing.SERVING


@frozen
class Departure:
    """A member that is gone."""

    name: str
    incarnation: str


@frozen
class RosterDelta:
    """What changed in the list since a position; `full` replaces what the reader knew."""

    position: int
    members: list[Member] = field(factory=list)
    departures: list[Departure] = field(factory=list)
    full: bool = False


@define
class RosterState:
    """The list, the log position at which each member changed, and recent departures."""

    members: dict[str, Member] = field(factory=dict)
    changed_at: dict[str, int] = field(factory=dict)
    departed: list[tuple[int, Departure]] = field(factory=list)
    departed_from: int = 0
    position: int = 0


class Roster:
    """Rules of membership: one incarnation a name, and the newest announcement wins."""

    def __init__(self, state: RosterState | None = None) -> None:
        self.state = state or RosterState()

    def announce(self, member: Member, index: int) -> bool:
        """Add or update a member; return whether the list changed.

        A replaced incarnation that announces itself again is told apart by its departure.
        """
        current = self.state.members.get(member.name)
        if current == member:
            return False
        if self.is_departed(member):
            return False
        if current is not None and current.incarnation != member.incarnation:
            self.remember_departure(Departure(current.name, current.incarnation), index)
        self.state.members[member.name] = member
        self.state.changed_at[member.name] = index
        self.state.position = index
        return True

    def is_departed(self, member: Member) -> bool:
        """Return whether this incarnation was replaced by a later one."""
        current = self.state.members.get(member.name)
        if current is None or current.incarnation == member.incarnation:
            return False
        gone = Departure(member.name, member.incarnation)
        return any(departure == gone for _, departure in self.state.departed)

    def depart(self, name: str, incarnation: str, index: int) -> bool:
        """Remove a member if it is still that incarnation."""
        current = self.state.members.get(name)
        if current is None or current.incarnation != incarnation:
            return False
        del self.state.members[name]
        del self.state.changed_at[name]
        self.remember_departure(Departure(name, incarnation), index)
        return True

    def remember_departure(self, departure: Departure, index: int) -> None:
        """Keep a departure for readers that are behind, up to a bound."""
        self.state.position = index
        self.state.departed.append((index, departure))
        if len(self.state.departed) > TOMBSTONES:
            half = len(self.state.departed) // 2
            self.state.departed_from = self.state.departed[half - 1][0]
            del self.state.departed[:half]

    def delta(self, since: int) -> RosterDelta:
        """Return what changed after a position, or the whole list if that is forgotten."""
        state = self.state
        if since < state.departed_from or since > state.position or since == 0:
            return RosterDelta(state.position, list(state.members.values()), full=True)
        members = [m for name, m in state.members.items() if state.changed_at[name] > since]
        departures = [gone for index, gone in state.departed if index > since]
        return RosterDelta(state.position, members, departures)

    def is_alive(self, name: str, incarnation: str) -> bool:
        """Return whether a member is present as this incarnation."""
        member = self.state.members.get(name)
        return member is not None and member.incarnation == incarnation


class RosterView:
    """A process's copy of the list, kept in step by deltas."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.position = 0
        self.changes = 0

    def apply(self, delta: RosterDelta) -> None:
        """Take a delta; one that is older than the view is ignored."""
        if delta.position < self.position:
            return
        self.changes += 1
        if delta.full:
            self.members = {member.name: member for member in delta.members}
        for departure in delta.departures:
            held = self.members.get(departure.name)
            if held is not None and held.incarnation == departure.incarnation:
                del self.members[departure.name]
        if not delta.full:
            for member in delta.members:
                self.members[member.name] = member
        self.position = delta.position

    def mark_draining(self, name: str, incarnation: str) -> None:
        """Note that a member told us itself that it is leaving."""
        held = self.members.get(name)
        if held is not None and held.incarnation == incarnation:
            self.changes += 1
            self.members[name] = evolve(held, standing=Standing.DRAINING)
