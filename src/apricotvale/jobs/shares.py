"""Work that each customer and trainer got recently, by which they share the capacity."""

from __future__ import annotations

import math

from attrs import define, field

from apricotvale.jobs.planning import Owner

# Work counts less as it gets older; after this time it counts a third.
SHARE_WINDOW_S = 10.0


@define
class Shares:
    """Work served by class of urgency and owner, in tokens, with exponential decay.

    Load pattern: one customer submits ten times its share. Kept in the leader's memory; a new
    leader starts with equal shares.
    """

    served: dict[tuple[int, Owner], float] = field(factory=dict)
    updated_at: float = float("-inf")

    def decay(self, now: float) -> None:
        """Let earlier work count less by the time since the last update."""
        if now <= self.updated_at:
            return
        factor = math.exp((self.updated_at - now) / SHARE_WINDOW_S)
        self.updated_at = now
        self.served = {
            key: work * factor for key, work in self.served.items() if work * factor > 1.0
        }

    def add(self, urgency: int, owner: Owner, tokens: float) -> None:
        """Count work that an owner got."""
        key = (urgency, owner)
        self.served[key] = self.served.get(key, 0.0) + tokens

    def by_owner(self, seconds_per_token: float) -> dict[Owner, float]:
        """Return the work of each owner in run seconds."""
        totals: dict[Owner, float] = {}
        for (_, owner), tokens in self.served.items():
            totals[owner] = totals.get(owner, 0.0) + tokens * seconds_per_token
        return totals
