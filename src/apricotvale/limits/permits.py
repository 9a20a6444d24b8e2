"""Permits to send a request to an upstream with a limit.

The control leader issues the permits of each limited incarnation at the rate of its limit. Each
request takes one: a caller's request at an entry, a run or a reward call of the leader, and every
retry of these. Reports and load orders take no slot of an upstream and need none.
"""

from __future__ import annotations

from collections.abc import Container

from attrs import define, field, frozen

# Permits that an unused upstream collects, as a time at its rate; at least one request.
MAX_SAVED_S = 1.0
# Only an answer shows that a limit has ended, so that even a limit of 0 lets a request through from
# time to time.
MIN_RATE = 0.1
# Background work leaves this share to callers that have asked for permits in this time.
CALLERS_SHARE = 0.5
CALLERS_ACTIVE_S = 2.0
# A permit that was not used for this long is void.
PERMIT_TTL_S = 0.25
# A process that did not reach control asks again after this time.
CONTROL_PAUSE_S = 0.5
# A process that has asked for no permit for this long has no part in a limit.
SHARER_S = 10.0
PRUNE_INTERVAL_S = 1.0


@frozen
class Issue:
    """The answer to a request for permits.

    :param granted: number of permits.
    :param wait_s: time until the next permit if none was granted, in seconds.
    :param sharers: processes that have asked for permits lately.
    """

    granted: int
    wait_s: float = 0.0
    sharers: int = 1


@define
class PermitBucket:
    """The permits of one incarnation; a token bucket.

    It starts empty: what the upstream got before it named the limit, or what a former leader
    issued, is not known.

    :param rate: permits in a second.
    :param filled_at: when `permits` was computed, in monotonic seconds.
    :param permits: permits at that time.
    :param background: the part of them that background work may use while callers ask.
    :param callers_at: when a caller's request last asked.
    """

    rate: float
    filled_at: float
    permits: float = 0.0
    background: float = 0.0
    callers_at: float = float("-inf")

    @property
    def capacity(self) -> float:
        """Return the largest number of permits that an unused upstream collects."""
        return max(1.0, self.rate * MAX_SAVED_S)

    def fill(self, now: float) -> None:
        """Add the permits for the time that has passed."""
        passed_s = max(0.0, now - self.filled_at)
        self.filled_at = max(now, self.filled_at)
        added = passed_s * max(self.rate, MIN_RATE)
        self.permits = min(self.capacity, self.permits + added)
        self.background = min(self.capacity, self.background + added * (1 - CALLERS_SHARE))

    def has_callers(self, now: float) -> bool:
        """Return whether callers have asked for permits lately."""
        return now < self.callers_at + CALLERS_ACTIVE_S

    def available(self, now: float, is_background: bool = False) -> float:
        """Return the permits that a request may take now."""
        self.fill(now)
        if is_background and self.has_callers(now):
            return min(self.permits, self.background)
        return self.permits

    def take(self, count: int, now: float, is_background: bool = False) -> int:
        """Take up to `count` permits; return how many were taken."""
        if not is_background:
            self.callers_at = now
        taken = max(0, min(count, int(self.available(now, is_background))))
        self.permits -= taken
        if is_background:
            self.background = max(0.0, self.background - taken)
        return taken

    def wait_s(self, now: float, is_background: bool = False) -> float:
        """Return the time until a permit is available, in seconds."""
        self.fill(now)
        rate = max(self.rate, MIN_RATE)
        wait_s = max(0.0, (1.0 - self.permits) / rate)
        if is_background and self.has_callers(now):
            wait_s = max(wait_s, (1.0 - self.background) / (rate * (1 - CALLERS_SHARE)))
        return wait_s


@define
class PermitIssuer:
    """The permits of all limited incarnations, issued while this replica leads.

    :param sharers: when each process last asked for permits.
    :param pruned_at: when those that ask no more were last dropped.
    """

    buckets: dict[str, PermitBucket] = field(factory=dict)
    sharers: dict[str, float] = field(factory=dict)
    pruned_at: float = float("-inf")

    def bucket(self, incarnation: str, rate: float, now: float) -> PermitBucket:
        """Return the bucket of an incarnation; a changed rate holds from now."""
        bucket = self.buckets.get(incarnation)
        if bucket is None:
            bucket = self.buckets[incarnation] = PermitBucket(rate, now)
        elif bucket.rate != rate:
            bucket.fill(now)
            bucket.rate = rate
            bucket.permits = min(bucket.permits, bucket.capacity)
        return bucket

    def issue(self, incarnation: str, rate: float, count: int, process: str, now: float) -> Issue:
        """Issue permits to a process for requests of callers."""
        self.sharers[process] = now
        bucket = self.bucket(incarnation, rate, now)
        granted = bucket.take(count, now)
        wait_s = 0.0 if granted else bucket.wait_s(now)
        return Issue(granted, wait_s, self.count_sharers(now))

    def count_sharers(self, now: float) -> int:
        """Return how many processes have asked for permits lately, with this one."""
        if now >= self.pruned_at + PRUNE_INTERVAL_S:
            self.pruned_at = now
            self.sharers = {name: at for name, at in self.sharers.items() if now < at + SHARER_S}
        return len(self.sharers) + 1

    def retain(self, incarnations: Container[str]) -> None:
        """Drop the buckets of all but the given incarnations."""
        for incarnation in [known for known in self.buckets if known not in incarnations]:
            del self.buckets[incarnation]

    def clear(self) -> None:
        """Drop everything at the end of the leadership."""
        self.buckets.clear()
        self.sharers.clear()


@define
class HeldPermits:
    """Permits of one incarnation that a process holds, and when it may ask again.

    :param expiries: when each permit that is not used yet loses its effect, in monotonic seconds.
    :param closed_until: when the next permit is expected.
    :param sharers: processes that share the limit, 0 if that is not known.
    :param heard_at: when control last replied.
    :param own: part of a permit that this process may use while control is out of reach.
    :param own_at: when `own` was computed, None while control replies.
    :param sent: when requests were sent last.
    """

    expiries: list[float] = field(factory=list)
    closed_until: float = float("-inf")
    sharers: int = 0
    heard_at: float = float("-inf")
    own: float = 0.0
    own_at: float | None = None
    sent: list[float] = field(factory=list)

    def take(self, now: float) -> bool:
        """Use a permit that is held; return False without one."""
        self.expiries = [at for at in self.expiries if now < at]
        if not self.expiries:
            return False
        self.expiries.pop()
        self.record_send(now)
        return True

    def record_send(self, now: float) -> None:
        """Record that a request is sent."""
        self.sent = [*(at for at in self.sent if now < at + PERMIT_TTL_S), now]

    def wanted(self, now: float) -> int:
        """Return how many permits to ask for: as many as were used in the last `PERMIT_TTL_S`."""
        return max(1, sum(now < at + PERMIT_TTL_S for at in self.sent))

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent, 0 if that may be possible now."""
        if any(now < at for at in self.expiries):
            return 0.0
        return max(0.0, self.closed_until - now)

    def receive(self, issue: Issue, now: float) -> None:
        """Record the reply of control."""
        self.sharers, self.heard_at, self.own_at = issue.sharers, now, None
        if issue.granted:
            self.expiries += [now + PERMIT_TTL_S] * issue.granted
        else:
            self.closed_until = now + issue.wait_s

    def take_own(self, rate: float, now: float) -> bool:
        """Use a permit of this process's even part of the limit, as control is out of reach.

        The part is empty at first. A process that asked for no permit lately has none: the others
        share the limit without it.
        """
        if self.own_at is None:
            self.own, self.own_at = 0.0, now
            self.sharers = self.sharers if now < self.heard_at + SHARER_S else 0
        if not self.sharers:
            self.closed_until = now + CONTROL_PAUSE_S
            return False
        part = max(rate, MIN_RATE) / self.sharers
        self.own = min(1.0, self.own + (now - self.own_at) * part)
        self.own_at = now
        if self.own < 1.0:
            self.closed_until = now + (1.0 - self.own) / part
            return False
        self.own -= 1.0
        self.record_send(now)
        return True
