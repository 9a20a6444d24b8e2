"""The replicated rollout of a model's versions: a target, and grants to engines in turn.

An engine loads only under a grant, whose fencing number is the log position at which it was
committed. What an engine serves is taken from its own statement, never from the grant.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

from apricotvale.membership.roster import Kind, Member, Standing

MAX_BACKOFF_DOUBLINGS = 6


@frozen(order=True)
class Fence:
    """A fencing number: orders with a smaller one are refused."""

    term: int = 0
    index: int = 0


@frozen
class Grant:
    """Leave for one engine's incarnation to load a version until a deadline."""

    upstream: str
    incarnation: str
    model: str
    version: int
    fence: Fence
    deadline_ms: int


@frozen
class GrantRequest:
    """A grant that the planner wants committed."""

    upstream: str
    incarnation: str
    model: str
    version: int
    deadline_ms: int


@frozen
class LoadFailure:
    """An engine's statement that a granted load failed."""

    upstream: str
    incarnation: str
    model: str
    version: int
    detail: str = ""


@frozen
class Backoff:
    """When an engine's load may be tried again, and how often it failed."""

    retry_at_ms: int
    failures: int


@define
class RolloutState:
    """Targets by model, open grants and back-offs by engine, and the newest fence given."""

    targets: dict[str, int] = field(factory=dict)
    grants: dict[str, Grant] = field(factory=dict)
    backoffs: dict[str, Backoff] = field(factory=dict)
    fence: Fence = Fence()


class Rollout:
    """Rules of the rollout."""

    def __init__(self, state: RolloutState | None = None) -> None:
        self.state = state or RolloutState()
        self.changes = 0

    def set_target(self, model: str, version: int) -> int:
        """Move a model's target forward; return the target in force."""
        target = max(self.state.targets.get(model, 0), version)
        self.state.targets[model] = target
        return target

    def grant(self, requests: list[GrantRequest], fence: Fence, now_ms: int) -> list[Grant]:
        """Commit grants that no other open grant of the engine forbids."""
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
        """Return whether a grant still binds its engine."""
        return grant.incarnation == incarnation and grant.deadline_ms > now_ms

    def note_models(self, member: Member) -> bool:
        """Close the grant of an engine that states the granted version; return whether it did."""
        grant = self.state.grants.get(member.name)
        if grant is None or member.models.get(grant.model, -1) < grant.version:
            return False
        del self.state.grants[member.name]
        self.state.backoffs.pop(member.name, None)
        return True

    def note_failure(self, failure: LoadFailure, retry_ms: int, now_ms: int) -> bool:
        """Close a failed grant and put its engine off, longer each time."""
        grant = self.state.grants.get(failure.upstream)
        if grant is None or (grant.incarnation, grant.version, grant.model) != (
            failure.incarnation,
            failure.version,
            failure.model,
        ):
            return False
        del self.state.grants[failure.upstream]
        self.put_off(failure.upstream, retry_ms, now_ms)
        return True

    def put_off(self, upstream: str, retry_ms: int, now_ms: int) -> None:
        """Double the back-off of an engine."""
        held = self.state.backoffs.get(upstream, Backoff(0, 0))
        wait = retry_ms * 2 ** min(held.failures, MAX_BACKOFF_DOUBLINGS)
        self.state.backoffs[upstream] = Backoff(now_ms + wait, held.failures + 1)

    def forget(self, upstream: str) -> None:
        """Drop the grant and back-off of an engine that is gone."""
        self.state.grants.pop(upstream, None)
        self.state.backoffs.pop(upstream, None)

    def expire(self, retry_ms: int, now_ms: int) -> list[Grant]:
        """Close grants whose deadline has passed without the engine stating the version."""
        overdue = [g for g in self.state.grants.values() if g.deadline_ms <= now_ms]
        for grant in overdue:
            del self.state.grants[grant.upstream]
            self.put_off(grant.upstream, retry_ms, now_ms)
        return overdue


@frozen
class RolloutPolicy:
    """Settings of the planner for one pool."""

    pool: str
    models: tuple[str, ...]
    floor_percent: int
    loads_at_once: int
    load_timeout_ms: int


def plan_grants(
    state: RolloutState, members: list[Member], policy: RolloutPolicy, now_ms: int
) -> list[GrantRequest]:
    """Return the grants to commit now.

    At most `loads_at_once` engines of a pool load together, and at least the floor of them keeps
    serving. An engine that serves no version yet does not count against the floor, and of the
    others the ones furthest behind go first.
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
    wanted = [
        (behind, member.name, model, member)
        for member in serving
        if member.name not in loading and is_due(state, member.name, now_ms)
        for model, behind in lags(state, member, policy.models)
    ]
    wanted.sort(key=lambda item: (-item[0], item[1], item[2]))
    requests: list[GrantRequest] = []
    chosen: set[str] = set()
    for _, name, model, member in wanted:
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


def is_due(state: RolloutState, upstream: str, now_ms: int) -> bool:
    """Return whether an engine is not put off."""
    backoff = state.backoffs.get(upstream)
    return backoff is None or backoff.retry_at_ms <= now_ms


def lags(state: RolloutState, member: Member, models: tuple[str, ...]) -> list[tuple[str, int]]:
    """Return the models that an engine is behind on, with the number of versions."""
    found = []
    for model in models:
        behind = state.targets.get(model, 0) - member.models.get(model, 0)
        if behind > 0:
            found.append((model, behind))
    return found
