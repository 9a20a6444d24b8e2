"""Callers of streams in a soak: they take up what breaks off, and check that nothing is joined."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
from attrs import define, field

from apricotvale.platform import names
from tests.stream_callers import Received, read_stream, take_up

EVENTS = 16
EVENT_S = 0.03
BUDGET_S = 8.0
MIN_TAKE_UPS = 12
# Both engines of a version serve if none of them has crashed for this long.
SERVES_S = 1.0
SOFTWARE = ("v1", "v1", "v2", "v2")


@define
class Stream:
    """A stream with what its caller received over all tries.

    :param first_id: id of the submission that brought the first event.
    """

    path: str
    first_id: str
    events: dict = field(factory=dict)
    is_whole: bool = False

    def add(self, received):
        """Add what a try brought; return why it does not fit, empty if it does."""
        expected = len(self.events)
        wrong = [n for n in received.events if n != expected + list(received.events).index(n)]
        self.events |= received.events
        self.is_whole = received.is_whole
        versions = {data.partition(".")[0] for data in self.events.values()}
        if len(versions) > 1:
            return f"events of {sorted(versions)}: {list(self.events.values())}"
        if wrong:
            return f"events {sorted(received.events)} received after {expected}"
        if self.is_whole and len(self.events) != EVENTS:
            return f"whole after {len(self.events)} events"
        return ""


@define
class StreamCallers:
    """Callers that read streams at any entry, and take up those that break off.

    :param engines: two engines of each version; their crashes are part of the soak.
    :param crashed_at: when an engine of a version crashed last, by version.
    """

    site: object
    rng: object
    counts: object
    engines: list = field(factory=list)
    crashed_at: dict = field(factory=dict)
    numbers: object = field(factory=lambda: itertools.count(1))

    def prepare(self, standin, software):
        """Make a stand-in an engine of a version that writes its version into the events."""
        standin.software, standin.marks_events = software, True
        standin.events, standin.event_s = EVENTS, EVENT_S
        self.engines.append(standin)

    async def crash_engines(self):
        """Crash engines; some come back under their id and address with the other version."""
        while True:
            await asyncio.sleep(self.rng.uniform(2.0, 6.0))
            engine = self.rng.choice(self.engines)
            if engine.is_down:
                continue
            others = [e for e in self.engines if e is not engine and e.software != engine.software]
            engine.next_software = engine.software
            if self.rng.random() < 0.5 and len(others) < len(self.engines) - 1:
                engine.next_software = others[0].software
            for software in {engine.software, engine.next_software}:
                self.crashed_at[software] = self.site.now()
            engine.restart_s = self.rng.uniform(0.05, 1.5)
            engine.crash()
            self.counts["engine crashes"] += 1

    async def read_streams(self):
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                await self.read_one(session)
                await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def read_one(self, session):
        """Read a stream to its end, and take it up whenever it breaks off within its budget."""
        number = next(self.numbers)
        stream = Stream(f"/chats/{number}", f"s-{number}")
        deadline = self.site.now() + BUDGET_S
        received = await self.try_once(session, stream, f"s-{number}")
        has_begun = bool(received.events)
        self.counts["streams begun" if has_begun else "streams not begun"] += 1
        tries = 0
        while has_begun and not stream.is_whole and self.site.now() < deadline:
            tries += 1
            version = next(iter(stream.events.values())).partition(".")[0]
            serves = self.serves(version)
            received = await self.try_once(session, stream, f"s-{number}-{tries}")
            serves = serves and self.serves(version)
            if serves and received.status:
                went_on = bool(received.events) or received.is_whole
                self.counts["take-ups gone on" if went_on else "take-ups refused"] += 1
            await asyncio.sleep(float(received.headers.get(names.RETRY_AFTER, "0.3")))
        self.counts["streams whole"] += stream.is_whole
        self.counts["streams whole in several tries"] += stream.is_whole and tries > 0

    async def try_once(self, session, stream, request_id):
        """Send one submission of a stream at any entry, and check what it brings."""
        url = self.rng.choice(self.site.entries).url
        if stream.events:
            before = self.received(stream)
            received = await take_up(session, url, before, request_id)
        else:
            received = await read_stream(session, url, request_id, stream.path)
        why = stream.add(received)
        if why:
            self.site.fail("ORDER", f"{stream.first_id}, {request_id}: {why}")
        return received

    def received(self, stream):
        """Return what a caller states when it takes a stream up."""
        return Received(stream.first_id, stream.path, events=stream.events)

    def serves(self, version):
        """Return whether both engines of a version have served for a while."""
        at = self.crashed_at.get(version, float("-inf"))
        serving = [e for e in self.engines if e.software == version and not e.is_down]
        return len(serving) >= 2 and self.site.now() >= at + SERVES_S

    def check_share(self):
        """Check that streams are taken up at half the rate of new ones, or better."""
        gone_on, refused = self.counts["take-ups gone on"], self.counts["take-ups refused"]
        begun, not_begun = self.counts["streams begun"], self.counts["streams not begun"]
        if gone_on + refused < MIN_TAKE_UPS:
            return
        if gone_on / (gone_on + refused) < 0.5 * begun / (begun + not_begun):
            why = f"{gone_on} take-ups went on, {refused} did not; {begun} began, {not_begun} not"
            self.site.fail("LOST take-ups", why)
