"""Decides whether an upstream that closed the connection of a request has ended.

A closed or reset connection alone is no evidence. An upstream has ended if it refuses connections,
or if another incarnation of it, or another upstream at its address, takes its place without notice.
The end of an upstream that had announced that it leaves is planned and no evidence against a
request; nor is silence, which may be a partition.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from attrs import define, field, frozen

from apricotvale.discovery import RegistryView, Standing, Upstream

# An upstream that is back announces itself within this time.
LOSS_KEEP_S = 5.0
MAX_LOSSES = 256


class Target(Protocol):
    """What a request is sent to: an upstream, or the sidecar in front of one."""

    @property
    def incarnation(self) -> str:
        """Return the id of this process start."""

    @property
    def service(self) -> str:
        """Return the service that it belongs to."""


@frozen
class Loss:
    """A submission whose upstream closed the connection before the whole answer.

    :param at_ms: wall-clock time, in Unix milliseconds.
    :param until: until when evidence about the upstream counts, in monotonic seconds.
    :param ran_ms: time for which the submission had been in flight, 0 if it is not known.
    """

    identity: str
    request_id: str
    upstream: Target
    at_ms: int
    until: float
    is_trial: bool = False
    ran_ms: int = 0


def is_planned(upstream: Upstream, view: RegistryView) -> bool:
    """Return whether the upstream had announced that it leaves."""
    current = view.upstreams.get(upstream.upstream_id)
    if current is None:
        return not has_successor(upstream, view)
    if upstream.incarnation in view.leaving:
        return True
    same = current.born_ms == upstream.born_ms
    return same and current.standing is Standing.DRAINING


def has_successor(upstream: Upstream, view: RegistryView) -> bool:
    """Return whether another upstream has taken an upstream's address.

    The registry then removes the one that had it. One that leaves is removed before that.
    """
    return any(
        other.address == upstream.address and other.upstream_id != upstream.upstream_id
        for other in view.upstreams.values()
    )


def has_ended(upstream: Upstream, view: RegistryView) -> bool | None:
    """Return whether the registry shows that an upstream ended without notice.

    None if that may still show.
    """
    current = view.upstreams.get(upstream.upstream_id)
    if current is None:
        return has_successor(upstream, view)
    return True if current.born_ms > upstream.born_ms else None


@frozen
class Signs:
    """What a view of the upstreams shows about the end of one.

    :param is_planned: returns whether an upstream had announced that it leaves.
    :param has_ended: returns whether it ended without notice, None if that may still show.
    """

    is_planned: Callable[[Any, Any], bool]
    has_ended: Callable[[Any, Any], bool | None]


REGISTRY_SIGNS = Signs(is_planned, has_ended)


@define
class Losses:
    """Losses without evidence so far."""

    pending: list[Loss] = field(factory=list)

    def add(self, loss: Loss) -> None:
        """Keep a loss; the oldest one is dropped when there are too many."""
        self.pending.append(loss)
        del self.pending[:-MAX_LOSSES]

    def forget(self, identity: str, request_id: str) -> None:
        """Drop the losses of a submission that was answered, which clears its request."""
        self.pending = [
            loss
            for loss in self.pending
            if (loss.identity, loss.request_id) != (identity, request_id)
        ]

    def settle(
        self, view: Any, now: float, ended_in: Callable[[Any, Any], bool | None] = has_ended
    ) -> list[Loss]:
        """Return the losses whose upstream has ended, and drop them and those that are settled.

        :param ended_in: returns whether a view shows that an upstream ended, None if it may yet.
        """
        ended, kept = [], []
        for loss in self.pending:
            if now >= loss.until:
                continue
            outcome = ended_in(loss.upstream, view)
            if outcome is None:
                kept.append(loss)
            elif outcome:
                ended.append(loss)
        self.pending = kept
        return ended
