"""Load balancing of requests over upstreams.

Ejected upstreams are used only if all are ejected. A request goes to the least loaded upstream of a
random sample; ties go to the entry's own failure domain. A request with affinity goes to its
preferred upstream instead, if that is healthy and its cost exceeds the lowest cost of the sample by
at most `affinity_slack`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from attrs import define, field, frozen

from apricotvale.hashing import hash64
from apricotvale.mechanisms import Mechanism, is_on
from apricotvale.outcomes import RETRY_AFTER_S, Reason, Refusal, not_run
from apricotvale.settings.routing import Routing

CANDIDATE_SAMPLE_SIZE = 8
MAX_EJECTION_DOUBLINGS = 5
# Factor applied to the sums of earlier requests for each finished request.
PACE_DECAY_FACTOR = 0.95
# Smaller differences in pace do not change the cost, so that they do not override affinity.
SLOW_PACE_RATIO = 1.5
JUMP_HASH_MULTIPLIER = 2862933555777941757


class Candidate(Protocol):
    """A routable target: a sidecar, or an upstream that is called directly."""

    @property
    def name(self) -> str:
        """Return the name used in logs."""

    @property
    def site(self) -> str:
        """Return the failure domain."""

    @property
    def incarnation(self) -> str:
        """Return the id of this process start."""


C = TypeVar("C", bound=Candidate)


@define
class Pace:
    """Time that an upstream takes per token, from exponentially decaying sums."""

    seconds: float = 0.0
    tokens: float = 0.0

    def add(self, seconds: float, tokens: int) -> None:
        """Add one finished request."""
        self.seconds = self.seconds * PACE_DECAY_FACTOR + seconds
        self.tokens = self.tokens * PACE_DECAY_FACTOR + tokens

    @property
    def seconds_per_token(self) -> float:
        """Return the average time per token in seconds, 0 if there are no observations."""
        return self.seconds / self.tokens if self.tokens else 0.0


@define
class UpstreamLoad:
    """Load and health of one incarnation, as known to an entry.

    :param in_flight: this entry's own requests in flight.
    :param reported_active: requests active at the upstream by its last report.
    :param in_flight_at_report: value of `in_flight` when the report arrived.
    :param failures: consecutive failures.
    :param ejections: consecutive ejections, each of which doubles the duration of the next.
    """

    in_flight: int = 0
    reported_active: int = 0
    in_flight_at_report: int = 0
    reported_at: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    pace: Pace = field(factory=Pace)


@frozen
class CandidateCost:
    """A candidate and its cost when the choice was made."""

    name: str
    cost: float


@frozen
class Choice(Generic[C]):
    """The chosen upstream and the reason for the choice.

    :param candidates: number of eligible members that the request had not tried.
    :param considered: the members of the sample, with their costs.
    """

    member: C
    reason: str
    candidates: int
    considered: tuple[CandidateCost, ...]


@define
class Router:
    """Routing state of an entry.

    :param site: the entry's failure domain.
    :param settings: routing settings in force.
    :param rng: random generator for sampling and for breaking ties.
    """

    site: str
    settings: Routing
    rng: random.Random
    loads: dict[str, UpstreamLoad] = field(factory=dict)

    def load_of(self, member: Candidate) -> UpstreamLoad:
        """Return the load record of a member's incarnation, creating it if needed."""
        load = self.loads.get(member.incarnation)
        if load is None:
            load = self.loads[member.incarnation] = UpstreamLoad()
        return load

    def cost(self, member: Candidate, now: float) -> float:
        """Return own requests in flight plus those of other entries by the last report.

        The weight of a report falls linearly with its age and is 0 beyond `load_age_ms`.
        """
        load = self.load_of(member)
        age_ms = (now - load.reported_at) * 1000
        if age_ms > self.settings.load_age_ms:
            return float(load.in_flight)
        others = max(0, load.reported_active - load.in_flight_at_report)
        return load.in_flight + others * (1.0 - age_ms / (self.settings.load_age_ms + 1))

    def choose(
        self,
        candidates: list[C],
        now: float,
        affinity: str = "",
        excluded: Iterable[str] = (),
        extra_cost: Callable[[C], float] | None = None,
    ) -> Choice[C] | Refusal:
        """Return the upstream for a request, or a refusal if none is available.

        :param candidates: eligible members.
        :param now: time on the monotonic clock, in seconds.
        :param affinity: key shared by related requests, such as the prefix of the prompt.
        :param excluded: incarnations that this request has already tried.
        :param extra_cost: returns an addition to a member's cost, in requests in flight.
        """
        untried = (
            [m for m in candidates if m.incarnation not in excluded] if excluded else candidates
        )
        if not untried:
            return not_run(
                Reason.NO_UPSTREAM,
                f"no upstream left to try ({len(candidates)} eligible)",
                RETRY_AFTER_S,
            )
        sampled, reason = self.sample_candidates(untried, now)
        weighted_cost = self.cost_function(sampled, now, extra_cost or no_extra_cost)
        costs = [(weighted_cost(m), m.site != self.site, self.rng.random(), m) for m in sampled]
        best = min(costs, key=lambda item: item[:3])
        chosen = best[3]
        if affinity:
            preferred = preferred_member(untried, affinity)
            limit = best[0] + self.settings.affinity_slack
            if self.is_healthy(preferred, now) and weighted_cost(preferred) <= limit:
                chosen, reason = preferred, "prefix affinity"
        considered = tuple(CandidateCost(m.name, round(cost, 2)) for cost, _, _, m in costs)
        return Choice(chosen, reason, len(untried), considered)

    def rank(
        self, preferred: C, candidates: list[C], now: float, excluded: Iterable[str]
    ) -> list[str]:
        """Return the incarnations that may receive a request, the preferred one first."""
        others = [
            member.incarnation
            for member in candidates
            if member.incarnation not in excluded and self.is_healthy(member, now)
        ]
        return list(dict.fromkeys([preferred.incarnation, *others]))

    def cost_function(
        self, sampled: list[C], now: float, extra_cost: Callable[[C], float]
    ) -> Callable[[C], float]:
        """Return the cost function by which candidates are compared.

        If an upstream's time per token is at least SLOW_PACE_RATIO times that of the fastest one,
        its requests and the one to be sent are multiplied by the ratio of the two times.
        """
        paces = [pace for m in sampled if (pace := self.load_of(m).pace.seconds_per_token)]
        fastest = min(paces, default=0.0)

        def weighted_cost(member: C) -> float:
            cost = self.cost(member, now) + extra_cost(member)
            pace = self.load_of(member).pace.seconds_per_token
            if pace < fastest * SLOW_PACE_RATIO:
                return cost
            return (cost + 1) * pace / fastest - 1 if fastest else cost

        return weighted_cost

    def sample_candidates(self, candidates: list[C], now: float) -> tuple[list[C], str]:
        """Return the candidates to compare and the reason for a choice among them.

        A random sample is drawn from a long list. The whole list is checked only if no member
        of the sample is healthy.
        """
        if len(candidates) > CANDIDATE_SAMPLE_SIZE:
            drawn = self.rng.sample(candidates, CANDIDATE_SAMPLE_SIZE)
            healthy = [m for m in drawn if self.is_healthy(m, now)]
            if healthy:
                return healthy, "least loaded of a sample"
        healthy = [m for m in candidates if self.is_healthy(m, now)]
        if healthy:
            return healthy[:CANDIDATE_SAMPLE_SIZE], "least loaded"
        return candidates[:CANDIDATE_SAMPLE_SIZE], "least loaded of the ejected"

    def is_healthy(self, member: Candidate, now: float) -> bool:
        """Return whether a member may receive a request.

        After its ejection a member receives one request at a time until one succeeds.
        """
        load = self.loads.get(member.incarnation)
        if load is None or not load.ejections:
            return True
        if now < load.ejected_until:
            return False
        return not load.failures or load.in_flight == 0

    def begin(self, member: Candidate) -> None:
        """Record that a request is sent to a member."""
        self.load_of(member).in_flight += 1

    def end(self, member: Candidate) -> None:
        """Record that a request to a member has ended."""
        self.load_of(member).in_flight -= 1

    def report(self, member: Candidate, active: int, now: float) -> None:
        """Record the load that a member reported with an answer."""
        load = self.load_of(member)
        load.reported_active = active
        load.in_flight_at_report = load.in_flight
        load.reported_at = now

    def observe(self, member: Candidate, seconds: float, tokens: int) -> None:
        """Record the duration of a request of `tokens` tokens."""
        self.load_of(member).pace.add(seconds, tokens)

    def succeed(self, member: Candidate) -> None:
        """Record a success, which resets failures and ejections."""
        load = self.load_of(member)
        load.failures = 0
        load.ejections = 0

    def fail(self, member: Candidate, now: float) -> bool:
        """Record a failure; return whether it ejects the upstream.

        An ejection lasts `eject_ms`. Each consecutive one lasts twice as long as the one before, up
        to 2**MAX_EJECTION_DOUBLINGS times `eject_ms`.
        """
        load = self.load_of(member)
        load.failures += 1
        if load.failures < self.settings.eject_failures or not is_on(Mechanism.EJECTION):
            return False
        doublings = min(load.ejections, MAX_EJECTION_DOUBLINGS)
        load.ejected_until = now + self.settings.eject_ms / 1000 * 2**doublings
        load.ejections += 1
        return True

    def forget_departed(self, incarnations: set[str]) -> None:
        """Remove the records of departed members that have no request in flight.

        :param incarnations: incarnations that are still present.
        """
        for incarnation, load in list(self.loads.items()):
            if incarnation not in incarnations and load.in_flight == 0:
                del self.loads[incarnation]


def no_extra_cost(member: Candidate) -> float:
    """Return 0 for every member, the default extra cost."""
    return 0.0


def preferred_member(members: list[C], affinity: str) -> C:
    """Return the preferred member for an affinity key.

    Uses jump consistent hashing (Lamping and Veach, 2014) over the ordered members: few keys move
    when a member is added at the end.
    """
    key = hash64(affinity)
    bucket, next_bucket = 0, 0
    while next_bucket < len(members):
        bucket = next_bucket
        key = (key * JUMP_HASH_MULTIPLIER + 1) % 2**64
        next_bucket = int((bucket + 1) * (2**31 / ((key >> 33) + 1)))
    return members[bucket]


def subset(members: list[C], entry: str, size: int) -> list[C]:
    """Return the subset of members that an entry uses.

    Rendezvous hashing makes the choice independent of the order of `members` and spreads the
    members evenly over the entries.

    :param size: size of the subset; 0 means all members.
    """
    if not size or len(members) <= size:
        return members
    ranked = sorted(members, key=lambda m: hash64(f"{entry}|{m.name}"))
    return ranked[:size]
