"""The requests during which upstreams ended, as known to one process."""

from __future__ import annotations

import time

from attrs import define, field, frozen

from apricotvale.crashes.book import (
    CONDEMNING_CRASHES,
    Crash,
    SuspectDelta,
    SuspectNotice,
    is_new,
)

# What a process found is kept for this long until control confirms it.
OWN_KEEP_S = 60.0
MAX_OWN = 256
FIRST_KNOWN_KEEP_S = 600.0
MAX_FIRST_KNOWN = 1024
# Bytes that an upstream sent before its end may arrive this much later.
OUTLAST_MARGIN_S = 0.3


@frozen
class KnownSuspect:
    """A suspect and when its record ends, in monotonic seconds."""

    crashes: tuple[Crash, ...]
    ends_at: float

    @property
    def is_condemned(self) -> bool:
        """Return whether the request is not sent any more."""
        return len(self.crashes) >= CONDEMNING_CRASHES


@frozen
class FirstSuspicion:
    """When a request was first suspected.

    :param at: in monotonic seconds.
    :param at_ms: wall-clock time, in Unix milliseconds.
    """

    at: float
    at_ms: int


@define
class KnownSuspects:
    """Suspects from control, and those that this process found and control does not have yet.

    What this process found takes effect here at once, and does not depend on control.

    :param position: position of the newest delta.
    :param first_known: when this process first knew a request as suspected; kept for a while after
        the request was cleared.
    """

    position: int = -1
    shared: dict[str, KnownSuspect] = field(factory=dict)
    own: dict[str, KnownSuspect] = field(factory=dict)
    first_known: dict[str, FirstSuspicion] = field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self.shared and not self.own

    def find(self, identity: str, now: float) -> KnownSuspect | None:
        """Return what is known of a request, None if it is not suspected."""
        known = [
            suspect
            for suspect in (self.shared.get(identity), self.own.get(identity))
            if suspect is not None and now < suspect.ends_at
        ]
        if len(known) < 2:
            return known[0] if known else None
        shared, own = known
        submissions = {(crash.upstream, crash.request_id) for crash in shared.crashes}
        more = tuple(
            crash for crash in own.crashes if (crash.upstream, crash.request_id) not in submissions
        )
        return KnownSuspect(shared.crashes + more, max(shared.ends_at, own.ends_at))

    def add_own(self, identity: str, crash: Crash, is_trial: bool, now: float) -> None:
        """Record an end of an upstream that this process found."""
        known = self.find(identity, now)
        if known is not None and not is_new(known.crashes, crash, is_trial):
            return
        if identity not in self.own and len(self.own) >= MAX_OWN:
            del self.own[min(self.own, key=lambda i: self.own[i].ends_at)]
        self.note_suspected(identity, now)
        own = self.own.get(identity)
        crashes = own.crashes if own else ()
        self.own[identity] = KnownSuspect((*crashes, crash), now + OWN_KEEP_S)

    def learn(self, notice: SuspectNotice, now: float) -> None:
        """Adopt what control has of a request, in place of what this process found."""
        suspect = notice.suspect
        self.note_suspected(suspect.identity, now)
        self.own.pop(suspect.identity, None)
        self.shared[suspect.identity] = KnownSuspect(
            tuple(suspect.crashes), now + notice.left_ms / 1000
        )

    def note_suspected(self, identity: str, now: float) -> None:
        """Note that a request is suspected now; an earlier time stays."""
        if identity in self.first_known:
            return
        if len(self.first_known) >= MAX_FIRST_KNOWN:
            del self.first_known[next(iter(self.first_known))]
        self.first_known[identity] = FirstSuspicion(now, round(time.time() * 1000))

    def longest_run_s(self, identity: str, now: float) -> float | None:
        """Return how long a request ran at the most at an upstream that ended, in seconds.

        None if that is not known, or if one of these runs began after the request was first
        suspected. A request that ends its upstreams after different times would otherwise be
        cleared again and again by those of its streams that have not ended yet.
        """
        suspect, first = self.find(identity, now), self.first_known.get(identity)
        if suspect is None or first is None:
            return None
        if not all(c.ran_ms and c.at_ms - c.ran_ms < first.at_ms for c in suspect.crashes):
            return None
        return max(crash.ran_ms for crash in suspect.crashes) / 1000

    def is_outlasted(self, identity: str, sent_at: float, now: float) -> bool:
        """Return whether a stream shows that its request is not what ended the upstreams.

        It has run for longer than the request ran there, and began before the first suspicion.

        :param sent_at: when the copy whose stream goes on was sent, in monotonic seconds.
        """
        longest_run_s = self.longest_run_s(identity, now)
        if longest_run_s is None or sent_at >= self.first_known[identity].at:
            return False
        return now - sent_at > longest_run_s + OUTLAST_MARGIN_S

    def may_be_outlasted(self, identity: str, now: float) -> bool:
        """Return whether a stream may yet show that a request is not what ended the upstreams."""
        longest_run_s = self.longest_run_s(identity, now)
        if longest_run_s is None:
            return False
        return now <= self.first_known[identity].at + longest_run_s + 2 * OUTLAST_MARGIN_S

    def forget(self, identity: str) -> None:
        """Drop a request that is not suspected any more."""
        self.shared.pop(identity, None)
        self.own.pop(identity, None)

    def apply(self, delta: SuspectDelta, now: float) -> None:
        """Apply a delta; one that is older than what is known is ignored."""
        if delta.position < self.position:
            return
        if delta.full:
            self.shared = {}
        for notice in delta.notices:
            self.learn(notice, now)
        for identity in delta.removed:
            self.forget(identity)
        self.position = delta.position

    def prune(self, now: float) -> None:
        """Drop the records that have ended."""
        self.shared = {i: s for i, s in self.shared.items() if now < s.ends_at}
        self.own = {i: s for i, s in self.own.items() if now < s.ends_at}
        since = now - FIRST_KNOWN_KEEP_S
        self.first_known = {i: first for i, first in self.first_known.items() if first.at > since}
