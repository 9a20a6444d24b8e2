"""The replicated list of members, and the deltas that update local views of it."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, evolve, field, frozen

# Departures kept for readers that are behind; the older half is dropped beyond this number.
MAX_DEPARTURES = 4096


class Kind(StrEnum):
    """Role of a member process."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class Standing(StrEnum):
    """Whether a member accepts new work."""

    SERVING = "serving"
    DRAINING = "draining"


@frozen
class Member:
    """A process that announced itself.

    :param incarnation: id of the process start, new at each restart.
    :param site: failure domain.
    :param models: weight version of each model, as last announced by an engine.
    :param is_leaving: whether the process itself leaves; a sidecar whose upstream is down drains
        without that.
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
    is_leaving: bool = False

    @property
    def service(self) -> str:
        """Return the pool or service that the member belongs to."""
        return self.group


@frozen
class Departure:
    """Record of a member that departed."""

    name: str
    incarnation: str


@frozen
class RosterDelta:
    """Changes of the list since a position; a full delta replaces the whole view."""

    position: int
    members: list[Member] = field(factory=list)
    departures: list[Departure] = field(factory=list)
    full: bool = False


@define
class RosterState:
    """The members, the log index of each member's last change, and recent departures.

    :param departed: departures with their log index, oldest first.
    :param departed_from: log index up to which departures were dropped.
    :param position: log index of the last change.
    """

    members: dict[str, Member] = field(factory=dict)
    changed_at: dict[str, int] = field(factory=dict)
    departed: list[tuple[int, Departure]] = field(factory=list)
    departed_from: int = 0
    position: int = 0


class Roster:
    """Operations on the list; each name has one incarnation and the latest announcement wins."""

    def __init__(self, state: RosterState | None = None) -> None:
        self.state = state or RosterState()

    def announce(self, member: Member, index: int) -> bool:
        """Add or update a member; return whether the list changed.

        An announcement of a replaced incarnation is ignored; its departure record identifies it.
        """
        current = self.state.members.get(member.name)
        if current == member:
            return False
        if self.is_replaced(member):
            return False
        if current is not None and current.incarnation != member.incarnation:
            self.record_departure(Departure(current.name, current.incarnation), index)
        self.state.members[member.name] = member
        self.state.changed_at[member.name] = index
        self.state.position = index
        return True

    def is_replaced(self, member: Member) -> bool:
        """Return whether a later incarnation replaced this one."""
        current = self.state.members.get(member.name)
        if current is None or current.incarnation == member.incarnation:
            return False
        replaced = Departure(member.name, member.incarnation)
        return any(departure == replaced for _, departure in self.state.departed)

    def depart(self, name: str, incarnation: str, index: int) -> bool:
        """Remove a member if its incarnation matches; return whether it was removed."""
        current = self.state.members.get(name)
        if current is None or current.incarnation != incarnation:
            return False
        del self.state.members[name]
        del self.state.changed_at[name]
        self.record_departure(Departure(name, incarnation), index)
        return True

    def record_departure(self, departure: Departure, index: int) -> None:
        """Record a departure, dropping the older half of the records if there are too many."""
        self.state.position = index
        self.state.departed.append((index, departure))
        if len(self.state.departed) > MAX_DEPARTURES:
            half = len(self.state.departed) // 2
            self.state.departed_from = self.state.departed[half - 1][0]
            del self.state.departed[:half]

    def delta(self, since: int) -> RosterDelta:
        """Return the changes after a position, or the full list if records are missing."""
        state = self.state
        if since < state.departed_from or since > state.position or since == 0:
            return RosterDelta(state.position, list(state.members.values()), full=True)
        members = [m for name, m in state.members.items() if state.changed_at[name] > since]
        departures = [departure for index, departure in state.departed if index > since]
        return RosterDelta(state.position, members, departures)

    def is_alive(self, name: str, incarnation: str) -> bool:
        """Return whether a member is present with this incarnation."""
        member = self.state.members.get(name)
        return member is not None and member.incarnation == incarnation


class RosterView:
    """A process's local copy of the list, updated by deltas.

    `changes` counts the updates.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.position = 0
        self.changes = 0

    def apply(self, delta: RosterDelta) -> None:
        """Apply a delta; a delta older than the view is ignored."""
        if delta.position < self.position:
            return
        self.changes += 1
        if delta.full:
            self.members = {member.name: member for member in delta.members}
        for departure in delta.departures:
            current = self.members.get(departure.name)
            if current is not None and current.incarnation == departure.incarnation:
                del self.members[departure.name]
        if not delta.full:
            for member in delta.members:
                self.members[member.name] = member
        self.position = delta.position

    def mark_draining(self, name: str, incarnation: str) -> None:
        """Mark a member as draining after it reported so itself, ahead of the replicated list."""
        current = self.members.get(name)
        if current is not None and current.incarnation == incarnation:
            self.changes += 1
            self.members[name] = evolve(current, standing=Standing.DRAINING)
