"""Concurrent histories of jobs and tables over a real deployment, and their checkers."""

from __future__ import annotations

import asyncio
import json
import random
from contextlib import suppress

import aiohttp
from attrs import define, field, frozen

from apricotvale import clock
from apricotvale.platform import names
from tests.platform_site import item, job, table

SUBMITTERS = 3
JOBS_EACH = 2
READERS = 3
PAUSE_S = 0.05
HEARTBEAT_S = 0.3
FAULT_AFTER_S = 1.0
# An accepted job of a few short items is done long before this, also over a change of leader.
DONE_S = 15.0


@frozen
class Read:
    """Results of a job as one call saw them: the position behind the last, and each id in order."""

    job_id: str
    started: float
    finished: float
    after: int
    following: int
    ids: tuple[str, ...]


@frozen
class TableCall:
    """A table that was acknowledged or read."""

    kind: str
    version: int
    started: float
    finished: float


@define
class History:
    """What callers and operators saw."""

    accepted: dict[str, list[str]] = field(factory=dict)
    reads: list[Read] = field(factory=list)
    tables: list[TableCall] = field(factory=list)
    unknown: list[str] = field(factory=list)


def check(history):
    """Return what is wrong with a history, empty if nothing."""
    found = [f"job {job_id} was accepted and is not known" for job_id in history.unknown]
    found += check_positions(history.reads)
    found += check_shrinking(history.reads)
    found += check_whole(history)
    found += check_tables(history.tables)
    return found


def check_positions(reads):
    """Each position holds one item for ever, and each item stands at one position."""
    found, at_position, of_item = [], {}, {}
    for read in reads:
        for offset, item_id in enumerate(read.ids):
            position = (read.job_id, read.after + offset)
            if at_position.setdefault(position, item_id) != item_id:
                found.append(f"{position} held {at_position[position]}, then {item_id}")
            if of_item.setdefault((read.job_id, item_id), position) != position:
                found.append(f"{item_id} stood at {of_item[read.job_id, item_id]} and {position}")
    return found


def check_shrinking(reads):
    """What one read showed is there for every read that began later."""
    return [
        f"{after} shows less than {before}"
        for before in reads
        for after in reads
        if before.job_id == after.job_id
        and before.finished < after.started
        and after.following < min(before.following, after.after + len(before.ids))
        and after.after <= before.after
    ]


def check_whole(history):
    """Every accepted job lists each of its items in the end."""
    found = []
    for job_id, wanted in history.accepted.items():
        listed = {i for read in history.reads if read.job_id == job_id for i in read.ids}
        if listed != set(wanted):
            found.append(f"job {job_id} listed {sorted(listed)} of {wanted}")
    return found


def check_tables(calls):
    """A read never shows an older table than one that was known before it began."""
    return [
        f"{after} is older than {before}"
        for before in calls
        for after in calls
        if after.kind == "read"
        and before.finished < after.started
        and after.version < before.version
    ]


class Players:
    """Callers, readers and an operator, all at once."""

    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.history = History()
        self.version = 1
        self.over = asyncio.Event()

    async def play(self, fault):
        """Let all of them work while a fault is shown; return the history."""
        readers = [asyncio.create_task(self.read_jobs()) for _ in range(READERS)]
        operator = asyncio.create_task(self.change_tables())
        upstreams = asyncio.create_task(self.send_heartbeats())
        faulty = asyncio.create_task(self.show(fault))
        await asyncio.gather(*(self.submit_jobs(n) for n in range(SUBMITTERS)))
        await faulty
        await self.wait_until_done()
        self.over.set()
        await asyncio.gather(operator, upstreams, *readers)
        return self.history

    async def show(self, fault):
        await asyncio.sleep(FAULT_AFTER_S)
        fault(self.site)

    async def submit_jobs(self, number):
        """Submit jobs until each is accepted, some of them once more."""
        for at in range(JOBS_EACH):
            job_id = f"j-{number}-{at}"
            ids = [f"i-{job_id}-{n}" for n in range(self.rng.randrange(1, 4))]
            document = job(*(item(item_id, scored=False) for item_id in ids))
            again = self.rng.random() < 0.5
            while await self.site.submit(job_id, document) != 202 or again:
                again = False
                await asyncio.sleep(PAUSE_S)
            self.history.accepted[job_id] = ids
            await asyncio.sleep(self.rng.random())

    async def read_jobs(self):
        """Read accepted jobs from positions old and new."""
        while not self.over.is_set():
            await asyncio.sleep(PAUSE_S)
            if self.history.accepted:
                job_id = self.rng.choice(list(self.history.accepted))
                await self.read(job_id, self.rng.randrange(3))

    async def read(self, job_id, after):
        """Note one read of a job's results; return how many there are."""
        started = clock.now()
        status, document = await self.site.results(job_id, after)
        if status == 404:
            self.history.unknown.append(job_id)
        if status != 200:
            return 0
        ids = tuple(result["id"] for result in document["results"])
        read = Read(job_id, started, clock.now(), after, document["next"], ids)
        self.history.reads.append(read)
        return document["next"]

    async def wait_until_done(self):
        """Wait until every accepted job is whole, or for long enough to call it lost."""
        deadline = clock.now() + DONE_S
        for job_id, ids in self.history.accepted.items():
            while await self.read(job_id, 0) < len(ids) and clock.now() < deadline:
                await asyncio.sleep(PAUSE_S)

    async def send_heartbeats(self):
        """Let each upstream say that it lives, to any replica that still answers."""
        while not self.over.is_set():
            for upstream in [*self.site.desks, *self.site.engines]:
                with suppress(aiohttp.ClientError):
                    await self.site.beat(upstream, at=self.rng.randrange(len(self.site.controls)))
            await asyncio.sleep(HEARTBEAT_S)

    async def change_tables(self):
        """Change the table and read it back, each at any replica that still answers."""
        while not self.over.is_set():
            at = self.rng.randrange(len(self.site.controls))
            started = clock.now()
            with suppress(aiohttp.ClientError):
                if self.rng.random() < 0.5:
                    self.version += 1
                    version = self.version
                    if await self.site.put_table(table(version), at=at) == 200:
                        self.note("write", version, started)
                else:
                    status, body = await self.site.control_call("GET", names.CONFIG_PATH, {}, at=at)
                    if status == 200:
                        self.note("read", json.loads(body)["version"], started)
            await asyncio.sleep(PAUSE_S)

    def note(self, kind, version, started):
        self.history.tables.append(TableCall(kind, version, started, clock.now()))
