"""Choice of an upstream by an entry.

Candidates are those eligible and not ejected. For a prompt with affinity the preferred engine is
taken unless it is busier than the best by more than a slack; otherwise the least loaded of a
sample of candidates is taken, the own failure domain winning a tie.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from attrs import define, field, frozen

from apricotvale.hashing import hash64
from apricotvale.outcomes import RETRY_AFTER_S, Reason, Refusal, not_run
from apricotvale.settings.schema import Routing

SAMPLE_SIZE = 8
MAX_EJECTION_DOUBLINGS = 5
PACE_DECAY = 0.95
CLEARLY_SLOWER = 1.5
JUMP_FACTOR = 2862933555777941757


class Candidate(Protocol):
    """What may be chosen: a sidecar, or an upstream that is called directly."""

    @property
    def name(self) -> str:
        """Return the name in logs."""

    @property
    def site(self) -> str:
        """Return the failure domain."""

    @property
    def incarnation(self) -> str:
        """Return what tells this start from others."""


C = TypeVar("C", bound=Candidate)


@define
class Pace:
    """How long an upstream takes for a token, from decaying sums."""

    seconds: float = 0.0
    tokens: float = 0.0

    def add(self, seconds: float, tokens: int) -> None:
        """Take one finished request."""
        self.seconds = self.seconds * PACE_DECAY + seconds
        self.tokens = self.tokens * PACE_DECAY + tokens

    @property
    def seconds_a_token(self) -> float:
        """Return the pace, 0 while unknown."""
        return self.seconds / self.tokens if self.tokens else 0.0


@define
class UpstreamLoad:
    """What an entry knows of one incarnation's load and health."""

    in_flight: int = 0
    reported: int = 0
    in_flight_at_report: int = 0
    reported_at: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    pace: Pace = field(factory=Pace)


@frozen
class Considered:
    """A candidate and its cost at the moment of the choice."""

    name: str
    cost: float


@frozen
class Choice(Generic[C]):
    """The upstream chosen, and why."""

    member: C
    why: str
    candidates: int
    considered: tuple[Considered, ...]


@define
class Router:
    """An entry's routing state.

    :param site: the entry's failure domain.
    :param settings: routing settings in force.
    :param rng: source of the random samples.
    """

    site: str
    settings: Routing
    rng: random.Random
    loads: dict[str, UpstreamLoad] = field(factory=dict)

    def load_of(self, member: Candidate) -> UpstreamLoad:
        """Return the load record of a member's incarnation."""
        load = self.loads.get(member.incarnation)
        if load is None:
            load = self.loads[member.incarnation] = UpstreamLoad()
        return load

    def cost(self, member: Candidate, now: float) -> float:
        """Return own requests in flight, plus others' by a report that is not too old."""
        load = self.load_of(member)
        age_ms = (now - load.reported_at) * 1000
        if age_ms > self.settings.load_age_ms:
            return float(load.in_flight)
        others = max(0, load.reported - load.in_flight_at_report)
        return load.in_flight + others * (1.0 - age_ms / (self.settings.load_age_ms + 1))

    def choose(
        self,
        candidates: list[C],
        now: float,
        affinity: str = "",
        excluded: Iterable[str] = (),
        handicap: Callable[[C], float] | None = None,
    ) -> Choice[C] | Refusal:
        """Return the upstream for a request, or a refusal when there is none.

        :param candidates: eligible members.
        :param now: the monotonic clock, in seconds.
        :param affinity: what the request shares with others, such as its prompt's start.
        :param excluded: incarnations that this request has already tried.
        :param handicap: requests in flight to add to a member's cost.
        """
        left = [m for m in candidates if m.incarnation not in excluded] if excluded else candidates
        if not left:
            return not_run(Reason.NO_UPSTREAM, "no upstream is eligible", RETRY_AFTER_S)
        sampled, why = self.sample(left, now)
        weigh = self.weighing(sampled, now, handicap or no_handicap)
        costs = [(weigh(m), m.site != self.site, self.rng.random(), m) for m in sampled]
        best = min(costs, key=lambda item: item[:3])
        chosen = best[3]
        if affinity:
            preferred = preferred_member(left, affinity)
            limit = best[0] + self.settings.affinity_slack
            if self.is_healthy(preferred, now) and weigh(preferred) <= limit:
                chosen, why = preferred, "prefix affinity"
        considered = tuple(Considered(m.name, round(cost, 2)) for cost, _, _, m in costs)
        return Choice(chosen, why, len(left), considered)

    def weighing(
        self, sampled: list[C], now: float, handicap: Callable[[C], float]
    ) -> Callable[[C], float]:
        """Return the cost by which candidates are compared.

        An engine that takes clearly longer for a token than the fastest one counts its requests,
        and the one to be sent, as many times over.
        """
        paces = [pace for m in sampled if (pace := self.load_of(m).pace.seconds_a_token)]
        fastest = min(paces, default=0.0)

        def weigh(member: C) -> float:
            cost = self.cost(member, now) + handicap(member)
            pace = self.load_of(member).pace.seconds_a_token
            if pace < fastest * CLEARLY_SLOWER:
                return cost
            return (cost + 1) * pace / fastest - 1 if fastest else cost

        return weigh

    def sample(self, candidates: list[C], now: float) -> tuple[list[C], str]:
        """Return a few healthy candidates to compare, and why these.

        Among many, a random few are drawn first and all are looked at only if none is healthy.
        """
        if len(candidates) > SAMPLE_SIZE:
            drawn = self.rng.sample(candidates, SAMPLE_SIZE)
            healthy = [m for m in drawn if self.is_healthy(m, now)]
            if healthy:
                return healthy, "least loaded of a sample"
        healthy = [m for m in candidates if self.is_healthy(m, now)]
        if healthy:
            return healthy[:SAMPLE_SIZE], "least loaded"
        return candidates[:SAMPLE_SIZE], "least loaded of the ejected"

    def is_healthy(self, member: Candidate, now: float) -> bool:
        """Return whether a member is not ejected; after an ejection one request at a time."""
        load = self.loads.get(member.incarnation)
        if load is None or not load.ejections:
            return True
        if now < load.ejected_until:
            return False
        return not load.failures or load.in_flight == 0

    def begin(self, member: Candidate) -> None:
        """Count a request that is sent."""
        self.load_of(member).in_flight += 1

    def end(self, member: Candidate) -> None:
        """Count a request that is over."""
        self.load_of(member).in_flight -= 1

    def report(self, member: Candidate, active: int, now: float) -> None:
        """Take the load that an answer carried."""
        load = self.load_of(member)
        load.reported = active
        load.in_flight_at_report = load.in_flight
        load.reported_at = now

    def observe(self, member: Candidate, seconds: float, tokens: int) -> None:
        """Take how long a member took for a request of so many tokens."""
        self.load_of(member).pace.add(seconds, tokens)

    def succeed(self, member: Candidate) -> None:
        """Note a success, which ends an ejection."""
        load = self.load_of(member)
        load.failures = 0
        load.ejections = 0

    def fail(self, member: Candidate, now: float) -> bool:
        """Note a failure; return whether the upstream is ejected by it."""
        load = self.load_of(member)
        load.failures += 1
        if load.failures < self.settings.eject_failures:
            return False
        doublings = min(load.ejections, MAX_EJECTION_DOUBLINGS)
        load.ejected_until = now + self.settings.eject_ms / 1000 * 2**doublings
        load.ejections += 1
        return True

    def forget_departed(self, incarnations: set[str]) -> None:
        """Drop the records of members that are gone and have nothing in flight."""
        for incarnation, load in list(self.loads.items()):
            if incarnation not in incarnations and load.in_flight == 0:
                del self.loads[incarnation]


def no_handicap(member: Candidate) -> float:
    """Return no handicap."""
    return 0.0


def preferred_member(members: list[C], affinity: str) -> C:
    """Return the member that a prompt prefers.

    Jump consistent hashing (Lamping and Veach, 2014) over the members in their order: when one
    is added at the end, few prompts move.
    """
    key = hash64(affinity)
    bucket, following = 0, 0
    while following < len(members):
        bucket = following
        key = (key * JUMP_FACTOR + 1) % 2**64
        following = int((bucket + 1) * (2**31 / ((key >> 33) + 1)))
    return members[bucket]


def subset(members: list[C], entry: str, size: int) -> list[C]:
    """Return the members that one entry uses, the same each time and evenly spread."""
    if not size or len(members) <= size:
        return members
    ranked = sorted(members, key=lambda m: hash64(f"{entry}|{m.name}"))
    return ranked[:size]
