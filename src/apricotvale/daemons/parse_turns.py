"""Turns in which connections parse bodies that come in many small chunks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field

from apricotvale import clock
from apricotvale.requests.peer_bounds import PeerBounds

if TYPE_CHECKING:
    from apricotvale.daemons.http_connections import HttpConnection

# Line ends in the bytes of one read; a chunk has two.
MAX_LINE_ENDS = 512
# Time for other work after a turn, as a multiple of the time that the turn took. The handler reads
# the chunks in that time, which takes about as long as parsing them.
REST_FACTOR = 4.0
# A process that is suspended during a turn has not worked for that long.
MAX_WORK_S = 0.1


def has_many_chunks(data: bytes) -> bool:
    """Return whether bytes of a chunked body may hold so many chunks that they wait for a turn."""
    return data.count(b"\r\n") > MAX_LINE_ENDS


@define(eq=False)
class ParseTurns:
    """The connections of a listener that hold chunks, the first to be parsed first.

    Load pattern: clients send bodies in chunks of a few bytes. Parsing a chunk takes about as long
    whatever its size, so that such a body takes a thousand times as long as another one, and the
    process would not get to other requests.

    :param bounds: holds the time of the next turn, which the listeners of a process share.
    """

    bounds: PeerBounds
    waiting: dict[HttpConnection, None] = field(factory=dict)
    has_waiting: asyncio.Event = field(factory=asyncio.Event)

    def add(self, connection: HttpConnection) -> None:
        """Let a connection wait for its turn."""
        self.waiting[connection] = None
        self.has_waiting.set()

    def discard(self, connection: HttpConnection) -> None:
        """Let a connection wait no more."""
        self.waiting.pop(connection, None)
        if not self.waiting:
            self.has_waiting.clear()

    async def run(self) -> None:
        """Give the connections their turns."""
        while True:
            await self.has_waiting.wait()
            await asyncio.sleep(max(0.0, self.bounds.next_turn_at - clock.now()))
            if self.waiting and clock.now() >= self.bounds.next_turn_at:
                self.take_turn(next(iter(self.waiting)))

    def take_turn(self, connection: HttpConnection) -> None:
        """Let a connection parse what it holds, and set the time of the next turn."""
        self.discard(connection)
        started_at = clock.now()
        try:
            connection.parse_held_chunks()
        except Exception as error:
            # An error in a callback of the transport would close the connection, too.
            connection.drop(f"the body could not be parsed: {error!r}")
        ended_at = clock.now()
        worked_s = min(ended_at - started_at, MAX_WORK_S)
        self.bounds.next_turn_at = ended_at + worked_s * REST_FACTOR
