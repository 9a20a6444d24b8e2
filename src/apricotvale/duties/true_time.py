"""True time as an offset to the boot-time clock, agreed on by the median of the processes.

Load pattern: wall clocks differ by seconds and jump while requests are counted. The wall clock is
therefore read once, at the start; a process adopts the median offset that the leader knows.
"""

from __future__ import annotations

from statistics import median

from attrs import define, field

# Smaller differences are within the error of a measurement over the network.
TOLERANCE_S = 0.05
CLOCK_AGE_S = 5.0
# A comparison of two clocks is wrong by up to half of its round trip.
MAX_ROUND_TRIP_S = 0.1
# While a process knows no true time at all, the limit doubles with each failed comparison up to
# this, since its requests cannot be counted in windows until then.
MAX_FIRST_ROUND_TRIP_S = 1.0


@define
class TrueTime:
    """A process's estimate of true time.

    :param offset_s: true time, in seconds since the start of 1970, less the boot-time clock.
    :param is_synced: whether a leader has confirmed or corrected the offset.
    """

    offset_s: float
    is_synced: bool = False

    def at(self, now: float) -> float:
        """Return the true time at a time of the boot-time clock, in seconds."""
        return now + self.offset_s

    def adopt(self, offset_s: float) -> bool:
        """Adopt an agreed offset; return whether the own one was corrected."""
        self.is_synced = True
        if abs(offset_s - self.offset_s) <= TOLERANCE_S:
            return False
        self.offset_s = offset_s
        return True


@define
class ClockComparison:
    """The difference between a process's boot-time clock and that of the leader.

    :param leader: the leadership for which the difference is known, empty for none.
    :param ahead_s: own boot-time clock less that of the leader, in seconds.
    :param limit_s: longest round trip that is accepted while true time is not known, in seconds.
    """

    leader: str = ""
    ahead_s: float = 0.0
    limit_s: float = MAX_ROUND_TRIP_S

    def measure(
        self,
        leader: str,
        clock_s: float,
        held_s: float,
        sent_at: float,
        received_at: float,
        is_synced: bool = True,
    ) -> bool:
        """Use one reply of the leader; return whether the difference to its clock is known.

        A call that was sent to several replicas in turn, as after the loss of a leader, has a long
        round trip; using it would move a synced process by up to half of that.

        :param clock_s: the leader's boot-time clock when it replied, in seconds.
        :param held_s: time between the leader's receipt of the call and its reply, in seconds.
        """
        round_trip_s = received_at - sent_at - held_s
        if round_trip_s > (MAX_ROUND_TRIP_S if is_synced else self.limit_s):
            self.limit_s = min(MAX_FIRST_ROUND_TRIP_S, self.limit_s * 2)
            return leader == self.leader
        self.leader = leader
        self.ahead_s = received_at - clock_s - max(0.0, round_trip_s) / 2
        return True


@define
class HeardClock:
    """A process's offset of true time to the boot-time clock of the leader."""

    offset_s: float
    is_synced: bool
    heard_at: float


@define
class ClockMedian:
    """The leader's own offset and those of the processes heard within `CLOCK_AGE_S`."""

    own: TrueTime
    heard: dict[str, HeardClock] = field(factory=dict)

    def hear(self, process: str, offset_s: float, is_synced: bool, now: float) -> None:
        """Record the offset that a process has stated."""
        self.heard[process] = HeardClock(offset_s, is_synced, now)

    def is_synced(self, now: float) -> bool:
        """Return whether the own offset, or that of a process heard recently, is agreed on."""
        heard = self.heard.values()
        return self.own.is_synced or any(
            clock.is_synced and clock.heard_at > now - CLOCK_AGE_S for clock in heard
        )

    def estimate(self, now: float) -> float:
        """Return the median offset.

        Synced offsets take precedence: a new process, or a new leader, whose wall clock was wrong
        when it started moves no one else.
        """
        self.heard = {
            name: clock for name, clock in self.heard.items() if clock.heard_at > now - CLOCK_AGE_S
        }
        own = HeardClock(self.own.offset_s, self.own.is_synced, now)
        known = [own, *self.heard.values()]
        synced = [clock for clock in known if clock.is_synced]
        return median(clock.offset_s for clock in synced or known)
