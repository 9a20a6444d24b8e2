"""The requests that a process works on, and the time by which a stop must have answered them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from attrs import define, field

from apricotvale import clock
from apricotvale.daemons.runtime import wait_event

# Part of the stop time of a process that is reserved for what comes after its last answers.
STOP_MARGIN_S = 0.7


class OutOfTimeError(TimeoutError):
    """The time for the work on a request is over."""


@define(eq=False)
class InFlight:
    """The requests in flight in a process.

    :param active: number of requests in flight.
    :param answer_by: when each of them must have its final answer, on `clock.now`; infinite while
        the process is not stopping.
    :param timeouts: the time limits of the work on them.
    """

    active: int = 0
    answer_by: float = math.inf
    idle: asyncio.Event = field(factory=asyncio.Event)
    timeouts: set[asyncio.Timeout] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.idle.set()

    @contextmanager
    def count(self) -> Iterator[None]:
        """Count a request as in flight while the context is open."""
        self.active += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.active -= 1
            if not self.active:
                self.idle.set()

    async def wait_until_idle(self, deadline: float) -> bool:
        """Wait until no request is in flight; return whether that is so.

        :param deadline: when to return in any case, on `clock.now`.
        """
        return not self.active or await wait_event(self.idle, deadline - clock.now())

    def finish_by(self, answer_by: float) -> None:
        """Limit the work on all requests, those in flight as well.

        :param answer_by: when it ends, on `clock.now`.
        """
        self.answer_by = answer_by
        at = loop_time(answer_by)
        for timeout in self.timeouts:
            when = timeout.when()
            if when is None or at < when:
                timeout.reschedule(at)

    @asynccontextmanager
    async def limit(self, deadline: float = math.inf) -> AsyncIterator[None]:
        """Limit the time of work on a request.

        :param deadline: when the work ends at the latest, on `clock.now`.
        :raises OutOfTimeError: at the deadline, or when a stopping process has to answer.
        """
        latest = min(deadline, self.answer_by)
        timeout = asyncio.timeout_at(None if math.isinf(latest) else loop_time(latest))
        try:
            async with timeout:
                self.timeouts.add(timeout)
                try:
                    yield
                finally:
                    self.timeouts.discard(timeout)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise OutOfTimeError from error


def loop_time(at: float) -> float:
    """Convert a time on `clock.now` to the clock of the event loop."""
    return asyncio.get_running_loop().time() + at - clock.now()
