"""The limits of upstreams as known to one process."""

from __future__ import annotations

from collections.abc import Container

from attrs import define, evolve, field, frozen

from apricotvale.limits.types import StatedLimit

# A limit of which a process has not heard for this long may have ended.
UNHEARD_S = 2.0


@frozen
class KnownLimit:
    """The limit of one incarnation.

    :param rate: requests in a second from all processes together, None if the limit has ended.
    :param learned_at: when this process last heard of it, in monotonic seconds.
    :param is_shared: whether control has it, so that later changes by control replace it.
    """

    rate: float | None
    learned_at: float
    is_shared: bool = False


@define
class KnownLimits:
    """Limits by incarnation, from answers to this process and from control.

    What an answer says takes effect here at once, and stays until control has it.
    """

    by_incarnation: dict[str, KnownLimit] = field(factory=dict)

    def rate_of(self, incarnation: str) -> float | None:
        """Return the limit of an incarnation, None without one."""
        known = self.by_incarnation.get(incarnation)
        return known.rate if known else None

    def is_unheard(self, incarnation: str, now: float) -> bool:
        """Return whether a limit may have ended since this process last heard of it."""
        known = self.by_incarnation.get(incarnation)
        return known is not None and known.rate is not None and now >= known.learned_at + UNHEARD_S

    def record(self, incarnation: str, stated: StatedLimit, sent_at: float, now: float) -> bool:
        """Record what an answer says; return whether it is news that control has to know.

        Answers overtake each other. Only an answer to a request that was sent after the limit was
        last heard of is certainly newer, so that only such an answer ends or raises the limit.

        :param sent_at: when the request was sent, in monotonic seconds.
        """
        known = self.by_incarnation.get(incarnation)
        rate = known.rate if known else None
        if stated.rate == rate:
            if known is not None and rate is not None:
                self.by_incarnation[incarnation] = evolve(known, learned_at=now)
            return False
        is_lower = stated.rate is not None and (rate is None or stated.rate < rate)
        if known is not None and sent_at < known.learned_at and not is_lower:
            return False
        self.by_incarnation[incarnation] = KnownLimit(stated.rate, now)
        return True

    def follow(self, incarnation: str, rate: float | None, now: float) -> None:
        """Adopt what control says about a limit, unless an answer to this process is newer."""
        known = self.by_incarnation.get(incarnation)
        if known is not None and not known.is_shared and known.rate != rate:
            return
        if rate is None:
            self.by_incarnation.pop(incarnation, None)
        elif known is None or known.rate != rate or not known.is_shared:
            self.by_incarnation[incarnation] = KnownLimit(rate, now, is_shared=True)

    def confirm(self, incarnation: str, rate: float | None) -> None:
        """Record that control has what was reported to it."""
        known = self.by_incarnation.get(incarnation)
        if known is not None and known.rate == rate:
            self.by_incarnation[incarnation] = evolve(known, is_shared=True)

    def retain(self, incarnations: Container[str]) -> None:
        """Forget all limits but those of the given incarnations."""
        self.by_incarnation = {
            incarnation: known
            for incarnation, known in self.by_incarnation.items()
            if incarnation in incarnations
        }
