"""Trials: the only submission in flight of a request that is under suspicion.

The control leader grants them, at most one at a time for each request. Requests that were in flight
at one end of an upstream are spread over the upstreams. Those that were at two or more are not
tried at the same upstream, so that its end tells which of them ended it: a neighbour of the request
that ends upstreams is not beside it a third time.

Load pattern: an upstream ends with all its slots taken. A trial for each of these requests alone at
an upstream would keep the neighbours waiting until their deadlines.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from attrs import define, field, frozen

# A trial that a former leader granted may still run for this long.
FIRST_TRIAL_DELAY_S = 0.5
# Time for the report of a trial that ran until its deadline.
LEASE_MARGIN_S = 0.5
# A request that was in flight at this many ends of upstreams is tried apart from others like it.
ALONE_CRASHES = 2


@frozen
class Trial:
    """A trial that is under way.

    :param ends_at: when it counts as over without a report, in monotonic seconds.
    :param is_alone: whether its upstream runs no other such trial.
    """

    request_id: str
    process: str
    upstream: str
    ends_at: float
    is_alone: bool = False


@define
class Trials:
    """The trials under way, by the identity of their request.

    :param granted_from: time from which trials are granted; never while this replica does not lead.
    """

    granted_from: float = float("inf")
    running: dict[str, Trial] = field(factory=dict)

    def begin_leading(self, now: float) -> None:
        """Forget all trials; a former leader's may still run."""
        self.running.clear()
        self.granted_from = now + FIRST_TRIAL_DELAY_S

    def is_ready(self, now: float) -> bool:
        """Return whether trials are granted."""
        return now >= self.granted_from

    def stop_leading(self) -> None:
        """Grant no trials any more."""
        self.running.clear()
        self.granted_from = float("inf")

    def grant(
        self,
        identity: str,
        request_id: str,
        process: str,
        candidates: Sequence[str],
        crashes: int,
        left_s: float,
        now: float,
    ) -> str | None:
        """Grant a trial at one of the candidates; return it, or None.

        :param candidates: incarnations in order of preference.
        :param crashes: number of ends of upstreams at which the request was in flight.
        :param left_s: time until the submission's deadline.
        """
        self.running = {i: trial for i, trial in self.running.items() if now < trial.ends_at}
        if identity in self.running:
            return None
        is_alone = crashes >= ALONE_CRASHES
        trials = Counter(trial.upstream for trial in self.running.values())
        taken = {trial.upstream for trial in self.running.values() if trial.is_alone}
        free = [c for c in candidates if not is_alone or c not in taken]
        if not free:
            return None
        upstream = min(free, key=lambda c: (c in taken, trials[c]))
        ends_at = now + left_s + LEASE_MARGIN_S
        self.running[identity] = Trial(request_id, process, upstream, ends_at, is_alone)
        return upstream

    def end(self, identity: str, request_id: str, process: str) -> bool:
        """End a trial; return whether this submission had it."""
        trial = self.running.get(identity)
        if trial is None or (trial.request_id, trial.process) != (request_id, process):
            return False
        del self.running[identity]
        return True
