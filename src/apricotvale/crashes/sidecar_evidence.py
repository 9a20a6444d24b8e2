"""Decides by the roster whether a sidecar that closed a connection, or its upstream, has ended.

A sidecar goes on when its upstream ends; whether the upstream accepts connections, the sidecar
itself is asked.
"""

from __future__ import annotations

from apricotvale.crashes.evidence import Signs
from apricotvale.membership.roster import Member, RosterView


def is_planned(member: Member, view: RosterView) -> bool:
    """Return whether a sidecar had announced that it leaves."""
    current = view.members.get(member.name)
    if current is None:
        return not has_successor(member, view)
    return current.incarnation == member.incarnation and current.is_leaving


def has_successor(member: Member, view: RosterView) -> bool:
    """Return whether another member has taken a member's address."""
    return any(
        other.address == member.address and other.name != member.name
        for other in view.members.values()
    )


def has_ended(member: Member, view: RosterView) -> bool | None:
    """Return whether the roster shows that a sidecar or its upstream ended without notice.

    A sidecar becomes another incarnation when its engine comes back as another instance. None if
    that may still show.
    """
    current = view.members.get(member.name)
    if current is None:
        return has_successor(member, view)
    return True if current.incarnation != member.incarnation else None


ROSTER_SIGNS = Signs(is_planned, has_ended)
