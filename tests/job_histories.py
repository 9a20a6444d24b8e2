"""Records concurrent histories of jobs and tables on a test site, and checks them."""

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
JOBS_PER_SUBMITTER = 2
READERS = 3
POLL_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 0.3
FAULT_DELAY_S = 1.0
# An accepted job of a few short items finishes well before this, even across a leader change.
COMPLETION_TIMEOUT_S = 15.0


@frozen
class Read:
    """One read of a job's results: the item ids from position `after` to `next_position`."""

    job_id: str
    started: float
    finished: float
    after: int
    next_position: int
    ids: tuple[str, ...]


@frozen
class TableCall:
    """A table version that a call wrote or read."""

    kind: str
    version: int
    started: float
    finished: float


@define
class History:
    """The observations of callers and operators.

    :param accepted: item ids of the accepted jobs, by job id.
    :param unknown: accepted jobs that a read did not find.
    """

    accepted: dict[str, list[str]] = field(factory=dict)
    reads: list[Read] = field(factory=list)
    tables: list[TableCall] = field(factory=list)
    unknown: list[str] = field(factory=list)


def find_violations(history):
    """Return the violations in a history, empty if it is consistent."""
    found = [f"accepted job {job_id} was not found" for job_id in history.unknown]
    found += check_positions(history.reads)
    found += check_monotonic_reads(history.reads)
    found += check_completeness(history)
    found += check_tables(history.tables)
    return found


def check_positions(reads):
    """Check that a position always holds the same item, and an item keeps its position."""
    found, item_at, position_of = [], {}, {}
    for read in reads:
        for offset, item_id in enumerate(read.ids):
            position = (read.job_id, read.after + offset)
            if item_at.setdefault(position, item_id) != item_id:
                found.append(f"{position} held {item_at[position]}, then {item_id}")
            if position_of.setdefault((read.job_id, item_id), position) != position:
                found.append(f"{item_id} was at {position_of[read.job_id, item_id]} and {position}")
    return found


def check_monotonic_reads(reads):
    """Check that a read includes the results of every read that finished before it started."""
    return [
        f"{after} shows less than {before}"
        for before in reads
        for after in reads
        if before.job_id == after.job_id
        and before.finished < after.started
        and after.next_position < min(before.next_position, after.after + len(before.ids))
        and after.after <= before.after
    ]


def check_completeness(history):
    """Check that every accepted job has a result for each of its items."""
    found = []
    for job_id, wanted in history.accepted.items():
        listed = {i for read in history.reads if read.job_id == job_id for i in read.ids}
        if listed != set(wanted):
            found.append(f"job {job_id} listed {sorted(listed)} of {wanted}")
    return found


def check_tables(calls):
    """Check that no read returns an older table than a call that finished before it started."""
    return [
        f"{after} is older than {before}"
        for before in calls
        for after in calls
        if after.kind == "read"
        and before.finished < after.started
        and after.version < before.version
    ]


class Workload:
    """Concurrent callers, readers and an operator on one site."""

    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.history = History()
        self.version = 1
        self.stopped = asyncio.Event()

    async def run(self, fault):
        """Run the callers, readers and operator, and inject a fault; return the history."""
        readers = [asyncio.create_task(self.read_jobs()) for _ in range(READERS)]
        operator = asyncio.create_task(self.change_tables())
        upstreams = asyncio.create_task(self.send_heartbeats())
        injection = asyncio.create_task(self.inject(fault))
        await asyncio.gather(*(self.submit_jobs(n) for n in range(SUBMITTERS)))
        await injection
        await self.wait_until_done()
        self.stopped.set()
        await asyncio.gather(operator, upstreams, *readers)
        return self.history

    async def inject(self, fault):
        await asyncio.sleep(FAULT_DELAY_S)
        fault(self.site)

    async def submit_jobs(self, number):
        """Submit jobs until each is accepted; submit some of them twice."""
        for at in range(JOBS_PER_SUBMITTER):
            job_id = f"j-{number}-{at}"
            ids = [f"i-{job_id}-{n}" for n in range(self.rng.randrange(1, 4))]
            document = job(*(item(item_id, scored=False) for item_id in ids))
            resubmit = self.rng.random() < 0.5
            while await self.site.submit(job_id, document) != 202 or resubmit:
                resubmit = False
                await asyncio.sleep(POLL_INTERVAL_S)
            self.history.accepted[job_id] = ids
            await asyncio.sleep(self.rng.random())

    async def read_jobs(self):
        """Read accepted jobs from random positions."""
        while not self.stopped.is_set():
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.history.accepted:
                job_id = self.rng.choice(list(self.history.accepted))
                await self.read(job_id, self.rng.randrange(3))

    async def read(self, job_id, after):
        """Record one read of a job's results; return the position after the last one."""
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
        """Wait until every accepted job is complete, up to COMPLETION_TIMEOUT_S."""
        deadline = clock.now() + COMPLETION_TIMEOUT_S
        for job_id, ids in self.history.accepted.items():
            while await self.read(job_id, 0) < len(ids) and clock.now() < deadline:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def send_heartbeats(self):
        """Send heartbeats of each upstream to a random replica."""
        while not self.stopped.is_set():
            for upstream in [*self.site.desks, *self.site.engines]:
                with suppress(aiohttp.ClientError):
                    await self.site.send_heartbeat(
                        upstream, at=self.rng.randrange(len(self.site.controls))
                    )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def change_tables(self):
        """Write and read the table, each at a random replica."""
        while not self.stopped.is_set():
            at = self.rng.randrange(len(self.site.controls))
            started = clock.now()
            with suppress(aiohttp.ClientError):
                if self.rng.random() < 0.5:
                    self.version += 1
                    version = self.version
                    if await self.site.put_table(table(version), at=at) == 200:
                        self.record_table_call("write", version, started)
                else:
                    status, body = await self.site.control_call("GET", names.CONFIG_PATH, {}, at=at)
                    if status == 200:
                        self.record_table_call("read", json.loads(body)["version"], started)
            await asyncio.sleep(POLL_INTERVAL_S)

    def record_table_call(self, kind, version, started):
        self.history.tables.append(TableCall(kind, version, started, clock.now()))
