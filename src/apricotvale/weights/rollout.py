"""Replicated rollout of weight versions: a target version per model and load grants to engines.

An engine loads a version only under a grant, whose fencing token is the log position of its commit.
The version that an engine serves is taken from its own announcements, never from the grant.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

from apricotvale.membership.roster import Kind, Member, Standing

MAX_BACKOFF_DOUBLINGS = 6


@frozen(order=True)
class Fence:
    """Fencing token; orders with a smaller token than the newest one are refused."""

    term: int = 0
    index: int = 0


@frozen
class Grant:
    """Permission for one incarnation of an engine to load a version.

    :param deadline_ms: on the log's clock, when the grant expires.
    """

    upstream: str
    incarnation: str
    model: str
    version: int
    fence: Fence
    deadline_ms: int


@frozen
class GrantRequest:
    """A grant proposed by the planner."""

    upstream: str
    incarnation: str
    model: str
    version: int
    deadline_ms: int


@frozen
class LoadFailure:
    """Report of an engine that a granted load failed."""

    upstream: str
    incarnation: str
    model: str
    version: int
    detail: str = ""


@frozen
class Backoff:
    """Back-off of an engine after failed loads.

    :param retry_at_ms: on the log's clock, when the next load may be granted.
    :param failures: number of consecutive failed loads.
    """

    retry_at_ms: int
    failures: int


@define
class RolloutState:
    """Targets by model, open grants and back-offs by engine, and the latest fencing token."""

    targets: dict[str, int] = field(factory=dict)
    grants: dict[str, Grant] = field(factory=dict)
    backoffs: dict[str, Backoff] = field(factory=dict)
    fence: Fence = Fence()


class Rollout:
    """Operations on the replicated rollout.

    `changes` counts the grants; an increase ends the long polls of members.
    """

    def __init__(self, state: RolloutState | None = None) -> None:
        self.state = state or RolloutState()
        self.changes = 0

    def set_target(self, model: str, version: int) -> int:
        """Raise the target version of a model; return the target in force.

        A version below the current target is ignored.
        """
        target = max(self.state.targets.get(model, 0), version)
        self.state.targets[model] = target
        return target

    def grant(self, requests: list[GrantRequest], fence: Fence, now_ms: int) -> list[Grant]:
        """Record the grants that are allowed; return them.

        A request is skipped if the engine has an open grant or the version is below the target.
        """
        granted = []
        for request in requests:
            held = self.state.grants.get(request.upstream)
            if held is not None and self.is_open(held, now_ms, request.incarnation):
                continue
            if request.version < self.state.targets.get(request.model, 0):
                continue
            grant = Grant(
                request.upstream,
                request.incarnation,
                request.model,
                request.version,
                fence,
                request.deadline_ms,
            )
            self.state.grants[request.upstream] = grant
            self.state.fence = max(self.state.fence, fence)
            granted.append(grant)
            self.changes += 1
        return granted

    def is_open(self, grant: Grant, now_ms: int, incarnation: str) -> bool:
        """Return whether a grant is unexpired and belongs to an incarnation."""
        return grant.incarnation == incarnation and grant.deadline_ms > now_ms

    def close_completed_grant(self, member: Member) -> bool:
        """Close the grant of an engine that announces the granted version or a later one.

        :return: whether a grant was closed.
        """
        grant = self.state.grants.get(member.name)
        if grant is None or member.models.get(grant.model, -1) < grant.version:
            return False
        del self.state.grants[member.name]
        self.state.backoffs.pop(member.name, None)
        return True

    def close_failed_grant(self, failure: LoadFailure, retry_ms: int, now_ms: int) -> bool:
        """Close the grant of a failed load and back off the engine.

        :return: whether a grant was closed.
        """
        grant = self.state.grants.get(failure.upstream)
        if grant is None or (grant.incarnation, grant.version, grant.model) != (
            failure.incarnation,
            failure.version,
            failure.model,
        ):
            return False
        del self.state.grants[failure.upstream]
        self.back_off(failure.upstream, retry_ms, now_ms)
        return True

    def back_off(self, upstream: str, retry_ms: int, now_ms: int) -> None:
        """Extend the back-off of an engine.

        It starts at `retry_ms` and doubles with each failure, up to
        2**MAX_BACKOFF_DOUBLINGS times that.
        """
        held = self.state.backoffs.get(upstream, Backoff(0, 0))
        delay_ms = retry_ms * 2 ** min(held.failures, MAX_BACKOFF_DOUBLINGS)
        self.state.backoffs[upstream] = Backoff(now_ms + delay_ms, held.failures + 1)

    def forget(self, upstream: str) -> None:
        """Remove the grant and the back-off of a departed engine."""
        self.state.grants.pop(upstream, None)
        self.state.backoffs.pop(upstream, None)

    def expire(self, retry_ms: int, now_ms: int) -> list[Grant]:
        """Close grants that passed their deadline before the engine announced the version."""
        overdue = [g for g in self.state.grants.values() if g.deadline_ms <= now_ms]
        for grant in overdue:
            del self.state.grants[grant.upstream]
            self.back_off(grant.upstream, retry_ms, now_ms)
        return overdue


@frozen
class RolloutPolicy:
    """Settings of the planner for one pool.

    :param floor_percent: minimum share of the engines that keep serving during loads.
    :param loads_at_once: maximum number of concurrent loads.
    """

    pool: str
    models: tuple[str, ...]
    floor_percent: int
    loads_at_once: int
    load_timeout_ms: int


def plan_grants(
    state: RolloutState, members: list[Member], policy: RolloutPolicy, now_ms: int
) -> list[GrantRequest]:
    """Return the grants to propose now.

    At most `loads_at_once` engines of a pool load at the same time, and at least `floor_percent`
    of them keep serving. An engine without any version may load regardless of the floor, and so may
    the only serving engine of a pool. Engines that are most versions behind load first.
    """
    engines = [m for m in members if m.kind is Kind.ENGINE and m.group == policy.pool]
    serving = [m for m in engines if m.standing is Standing.SERVING]
    loading = {
        name
        for name, grant in state.grants.items()
        if grant.deadline_ms > now_ms and any(m.name == name for m in engines)
    }
    floor = math.ceil(len(serving) * policy.floor_percent / 100)
    available = len(serving) - len(loading)
    candidates = [
        (behind, member.name, model, member)
        for member in serving
        if member.name not in loading and may_retry(state, member.name, now_ms)
        for model, behind in versions_behind(state, member, policy.models)
    ]
    candidates.sort(key=lambda item: (-item[0], item[1], item[2]))
    requests: list[GrantRequest] = []
    chosen: set[str] = set()
    for _, name, model, member in candidates:
        if len(loading) + len(requests) >= policy.loads_at_once:
            break
        serves_nothing = not any(member.models.values())
        keeps_floor = available - len(requests) - 1 >= floor or len(serving) == 1
        if name in chosen or not (serves_nothing or keeps_floor):
            continue
        chosen.add(name)
        deadline = now_ms + policy.load_timeout_ms
        target = state.targets[model]
        requests.append(GrantRequest(name, member.incarnation, model, target, deadline))
    return requests


def may_retry(state: RolloutState, upstream: str, now_ms: int) -> bool:
    """Return whether the back-off of an engine is over."""
    backoff = state.backoffs.get(upstream)
    return backoff is None or backoff.retry_at_ms <= now_ms


def versions_behind(
    state: RolloutState, member: Member, models: tuple[str, ...]
) -> list[tuple[str, int]]:
    """Return the outdated models of an engine with the number of versions each is behind."""
    found = []
    for model in models:
        behind = state.targets.get(model, 0) - member.models.get(model, 0)
        if behind > 0:
            found.append((model, behind))
    return found
