"""A control replica of a fleet: it answers calls and, while it leads, runs jobs and loads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from attrs import define, evolve

from apricotvale import clock, events, metrics
from apricotvale.codec import encode
from apricotvale.consensus.disk import FolderDisk
from apricotvale.consensus.membership import is_silent
from apricotvale.consensus.storage import Storage
from apricotvale.consensus.types import GroupPolicy, NotLeader, Timing
from apricotvale.control.calls import JoinProbe, Redirect, Unconfirmed
from apricotvale.daemons.fleet_link import FLEET
from apricotvale.daemons.forwarder import Forwarder
from apricotvale.daemons.job_runner import SAVE_EVERY_S, JobRunner
from apricotvale.daemons.link import ControlClient
from apricotvale.daemons.load_tender import LoadTender
from apricotvale.daemons.peers import Peers
from apricotvale.daemons.replica import LostLeadership, Replica
from apricotvale.daemons.rpc import ControlService, make_server
from apricotvale.daemons.runtime import TaskGroup, until_stopped, wait_event
from apricotvale.discovery import RegistryView, Upstream
from apricotvale.exceptions import ApricotvaleError
from apricotvale.fleet import calls
from apricotvale.fleet import commands as c
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Result
from apricotvale.outcomes import Refusal
from apricotvale.requests.calls import UpstreamClient
from apricotvale.routes import RouteTable
from apricotvale.settings.fleet import FleetSettings

DUTY_S = 0.1
# Changes that come within this time share one round of duties.
GATHER_S = 0.01
TIMING = Timing(heartbeat_s=0.15, election_s=0.6)
# A voter that was silent for so long gives its place to a spare replica. Longer than a restart of
# the process, shorter than the time that a replaced VM has to catch up.
REPLACE_AFTER_S = 1.5
# Heartbeats that an upstream may miss before it counts as silent.
MISSED_HEARTBEATS = 3.5
FORGET_EVERY_S = 5.0
# Jobs stay readable for so long beyond what was promised.
RETENTION_MARGIN_S = 30.0
RESULT_BYTES = 900_000
HAND_OVER_S = 1.0


@define
class Heard:
    """The latest heartbeat of an upstream, and when it came."""

    order: tuple[int, int]
    at: float


class FleetControl:
    """One control replica as a process.

    :param client: sends to upstreams.
    :param parse_table: reads a table's document.
    :param version_field: name of the line by which an event states a new weight version.
    """

    def __init__(
        self,
        settings: FleetSettings,
        client: UpstreamClient,
        parse_table: Callable[[bytes], RouteTable],
        version_field: str,
    ) -> None:
        self.settings = settings
        self.parse_table = parse_table
        self.disk = FolderDisk(Path(settings.data_folder))
        self.state = FleetState()
        peers = Peers(
            settings.name,
            settings.internal_address,
            settings.contact_addresses(),
            settings.founds and settings.internal_address in settings.contact_addresses(),
            interface=FLEET,
            policy=GroupPolicy(True, 2 * settings.failures + 1, settings.failures, REPLACE_AFTER_S),
        )
        storage = Storage(self.disk, settings.name)
        self.replica = Replica(peers, storage, TIMING, self.on_applied, self.state)
        self.view = RegistryView()
        forwarder = Forwarder(settings.site, self.view, client)
        self.runner = JobRunner(self.state, client, forwarder, self.commit_own, version_field)
        self.tender = LoadTender(
            self.state,
            client,
            self.runner,
            settings.name,
            self.may_order,
            lambda: self.replica.node.term,
        )
        self.peers = ControlClient(settings.contact_addresses(), FLEET)
        self.table_version = 0
        self.heard: dict[str, Heard] = {}
        self.led_term = 0
        self.led_since = float("inf")
        self.forget_at = 0.0
        self.changed = asyncio.Event()
        self.due = asyncio.Event()
        self.stopping = False

    # -- life

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop, then hand leadership over and leave."""
        service = ControlService(self.on_call, self.replica.receive_batch, FLEET)
        server = make_server(service)
        await server.start(self.settings.ip, self.settings.internal_port)
        async with TaskGroup() as tasks, self.runner.tasks, self.tender.tasks:
            work = (self.replica.run(), self.duties(), self.save_progress())
            needed = [tasks.start(part) for part in work]
            events.emit(events.STARTED, listen=self.settings.internal_address)
            await until_stopped(stop, *needed)
            await self.hand_over()
            server.close()
        self.peers.close()
        self.disk.release()
        events.emit(events.STOPPED)

    def take_settings(self, settings: FleetSettings) -> None:
        """Take settings that were read again; only the contacts change while the replica runs."""
        self.replica.peers.contacts = settings.contact_addresses()

    async def hand_over(self) -> None:
        """Ask a peer to take the lead and wait until it has."""
        self.stopping = True
        deadline = clock.now() + HAND_OVER_S
        while self.replica.leads and clock.now() < deadline:
            await self.replica.transfer()
            await asyncio.sleep(0.05)

    def on_applied(self) -> None:
        """Wake whoever waits for a change of the state."""
        self.replica.node.retiring = frozenset(self.state.retiring)
        self.read_table()
        self.changed.set()
        self.changed = asyncio.Event()
        self.due.set()

    def read_table(self) -> None:
        """Put the newest table in force for the runner."""
        held = self.state.table
        if held.version == self.table_version:
            return
        self.table_version = held.version
        try:
            table = self.parse_table(held.document)
        except ApricotvaleError as error:
            events.emit(events.TASK_FAILED, error=error.format_message())
            return
        self.runner.table = self.tender.table = table
        events.emit(events.CONFIG_IN_FORCE, revision=table.version, routes=len(table.routes))

    # -- calls

    async def on_call(self, request: Any) -> Any:
        """Answer one call."""
        if isinstance(request, JoinProbe):
            return self.replica.probe(request)
        if not self.replica.leads or self.stopping:
            return Redirect(self.replica.leader_address())
        match request:
            case calls.Watch():
                return await self.on_watch(request)
            case calls.Heartbeat():
                return await self.on_heartbeat(request.upstream)
            case calls.Leave():
                events.emit(events.MEMBER_LEFT, member=request.upstream_id, why="leaving")
                return await self.commit(c.Depart(request.upstream_id))
            case calls.PutTable():
                return await self.on_put_table(request)
            case calls.PublishVersion():
                events.emit(events.WEIGHTS_PUBLISHED, model=request.model, version=request.version)
                return await self.commit(c.PublishVersion(request.model, request.version))
            case calls.SubmitJob():
                return await self.on_submit(request)
            case calls.EndJob():
                return await self.on_end_job(request)
            case calls.Retire():
                return await self.on_retire(request.name)
            case _:
                return await self.on_read(request)

    async def call(self, request: Any, deadline: float) -> Any | Refusal:
        """Answer a call that reached this replica from outside, by the leader.

        :param deadline: on `clock.now`, in seconds.
        """
        if self.replica.leads and not self.stopping:
            reply = await self.on_call(request)
            if not isinstance(reply, Redirect | Unconfirmed):
                return reply
        self.peers.addresses = self.replica.addresses() or self.settings.contact_addresses()
        leader = self.replica.leader_address()
        if leader:
            self.peers.current = leader
        return await self.peers.call(request, self.peers.now() + deadline - clock.now())

    async def commit(self, command: c.Command) -> Any:
        """Commit a command; return the reply for whoever called."""
        with metrics.COMMIT_SECONDS.time():
            result = await self.replica.propose(encode(command, c.Command))
        if isinstance(result, NotLeader):
            return Redirect(self.replica.leader_address())
        if isinstance(result, LostLeadership):
            return Unconfirmed("leadership moved")
        return calls.Accepted() if result.known else calls.NotFound()

    async def commit_own(self, command: c.Command) -> bool:
        """Commit a command of the leader's own; return whether it was committed."""
        return isinstance(await self.commit(command), calls.Accepted)

    async def on_put_table(self, request: calls.PutTable) -> Any:
        """Store a table; one that is not newer changes nothing."""
        reply = await self.commit(c.PutTable(request.version, request.document))
        if isinstance(reply, calls.Accepted):
            events.emit(
                events.CONFIG_ACCEPTED, revision=request.version, held=self.state.table.version
            )
        return reply

    async def on_submit(self, request: calls.SubmitJob) -> Any:
        """Take a job, or say that it is held already."""
        job = request.job
        known = job.job_id in self.state.jobs.state.records
        reply = await self.commit(c.AcceptJob(job))
        if isinstance(reply, calls.Accepted):
            events.emit(
                events.JOB_ACCEPTED,
                job=job.job_id,
                step=job.step,
                items=len(job.items),
                min_version=job.min_version,
                known=known,
            )
        return reply

    async def on_end_job(self, request: calls.EndJob) -> Any:
        """End a job."""
        reply = await self.commit(c.EndJob(request.job_id))
        events.emit(events.JOB_ENDED, job=request.job_id, outcome=type(reply).__name__)
        return reply

    async def on_heartbeat(self, upstream: Upstream) -> Any:
        """Note that an upstream lives; commit what it says anew."""
        held = self.heard.get(upstream.upstream_id)
        late = held is not None and upstream.order < held.order
        if late or not self.state.registry.is_current(upstream):
            events.emit(
                events.HEARTBEAT_LATE,
                upstream=upstream.incarnation,
                sequence=upstream.sequence,
                held=held.order if held else None,
            )
            return calls.Accepted()
        self.heard[upstream.upstream_id] = Heard(upstream.order, clock.now())
        if not self.state.registry.is_news(upstream):
            return calls.Accepted()
        reply = await self.commit(c.Announce(upstream))
        events.emit(
            events.UPSTREAM_CHANGED,
            upstream=upstream.incarnation,
            service=upstream.service,
            standing=upstream.standing,
            models=upstream.models,
            sequence=upstream.sequence,
            outcome=type(reply).__name__,
        )
        return reply

    async def on_retire(self, name: str) -> Any:
        """Begin to empty a replica unless too few would be left."""
        members = self.replica.node.group.members
        if name in self.state.retiring:
            return calls.Accepted()
        if not any(member.name == name for member in members):
            return calls.NotFound()
        standing = self.replica.node.standing(clock.now())
        staying = [
            member
            for member in members
            if member.name not in self.state.retiring
            and member.name != name
            and not is_silent(member, standing)
        ]
        if len(staying) < self.replica.peers.policy.voters:
            return calls.TooFewLeft()
        events.emit(events.REPLICA_RETIRING, name=name, staying=[m.name for m in staying])
        return await self.commit(c.Retire(name))

    # -- reads

    async def on_read(self, request: Any) -> Any:
        """Answer a read that a quorum confirmed."""
        if not await self.replica.confirm():
            return Redirect(self.replica.leader_address())
        match request:
            case calls.ReadTable():
                return calls.TableRead(self.state.table.version, self.state.table.document)
            case calls.ReadResults():
                return await self.read_results(request)
            case calls.ReadItem():
                item = self.state.jobs.find_item(request.job_id, request.item_id)
                return calls.ItemRead(item.body) if item else calls.NotFound()
            case calls.ReadRetirement():
                return self.read_retirement(request.name)
        raise TypeError(f"no such read: {request!r}")

    def read_retirement(self, name: str) -> Any:
        """Return whether a retiring replica has left the group for good."""
        node = self.replica.node
        if any(member.name == name for member in node.group.members):
            return calls.RetirementRead(False)
        if name not in self.state.retiring:
            return calls.NotFound()
        return calls.RetirementRead(node.groups[-1][0] <= node.commit_index)

    async def read_results(self, request: calls.ReadResults) -> Any:
        """Return a job's results from a position on, after waiting for one."""
        deadline = clock.now() + request.wait_ms / 1000
        while True:
            record = self.state.jobs.state.records.get(request.job_id)
            if record is None:
                return calls.NotFound()
            found = record.results[max(0, request.after) :]
            left_s = deadline - clock.now()
            complete = len(record.results) == len(record.job.items)
            if found or complete or left_s <= 0 or self.stopping:
                break
            await wait_event(self.changed, left_s)
        chosen: list[Result] = []
        size = 0
        for result in found:
            size += len(result.output)
            if chosen and size > RESULT_BYTES:
                break
            chosen.append(result)
        start = max(0, request.after)
        return calls.ResultsRead(len(record.job.items), start + len(chosen), chosen)

    async def on_watch(self, watch: calls.Watch) -> Any:
        """Return what changed, after waiting for a change."""
        if watch.confirm and not await self.replica.confirm():
            return Redirect(self.replica.leader_address())
        deadline = clock.now() + watch.wait_ms / 1000
        while not self.stopping:
            registry, table = self.state.registry.state, self.state.table
            news = registry.position != watch.position or table.version > watch.table_version
            left_s = deadline - clock.now()
            if news or watch.confirm or left_s <= 0:
                break
            await wait_event(self.changed, left_s)
        if self.stopping or not self.replica.leads:
            return Redirect(self.replica.leader_address())
        table = self.state.table
        newer = table.version > watch.table_version
        return calls.WatchReply(
            self.state.registry.since(watch.position),
            table.version,
            table.document if newer else b"",
            self.replica.addresses(),
        )

    # -- duties of the leader

    def may_order(self) -> bool:
        """Return whether this replica leads, and a former leader's lease is over."""
        lease_over = clock.now() >= self.led_since + self.settings.lease_ms / 1000
        return lease_over and self.replica.leads and not self.stopping

    async def duties(self) -> None:
        """Carry out the leader's duties, as often as the state changes and at least each period."""
        while True:
            self.due.clear()
            now = clock.now()
            leads = self.replica.leads and not self.stopping
            if leads and self.led_term != self.replica.node.term:
                self.start_leading(now)
            elif not leads and self.led_term:
                self.stop_leading()
            if self.led_term:
                self.lead(now)
            await asyncio.sleep(GATHER_S)
            await wait_event(self.due, DUTY_S)

    async def save_progress(self) -> None:
        """Keep what long items have generated, while this replica leads."""
        while True:
            await asyncio.sleep(SAVE_EVERY_S)
            if self.led_term:
                await self.runner.save_progress()

    def start_leading(self, now: float) -> None:
        """Begin the duties of a new term; upstreams get time to be heard."""
        if self.led_term:
            self.stop_leading()
        self.led_term = self.replica.node.term
        self.led_since = now
        self.heard = {
            upstream.upstream_id: Heard(upstream.order, now)
            for upstream in self.state.registry.state.upstreams.values()
        }
        metrics.LEADS.set(1)
        events.emit(events.RUNNER_STARTED, term=self.led_term)

    def stop_leading(self) -> None:
        """Stop everything that only a leader may do."""
        metrics.LEADS.set(0)
        self.led_term = 0
        self.led_since = float("inf")
        self.runner.stop()
        self.tender.stop()

    def lead(self, now: float) -> None:
        """Carry out the duties that are due."""
        self.view.apply(self.state.registry.since(self.view.position))
        if self.replica.node.term_start_index > self.replica.node.applied_index:
            return
        self.silence_upstreams(now)
        self.forget_jobs(now)
        self.runner.tick(now)
        self.tender.tick(now)
        if self.settings.name in self.state.retiring:
            self.replica.post_transfer()

    def silence_upstreams(self, now: float) -> None:
        """Commit that upstreams were not heard for long."""
        horizon = now - MISSED_HEARTBEATS * self.settings.heartbeat_ms / 1000
        upstreams = self.state.registry.state.upstreams
        for upstream_id, heard in list(self.heard.items()):
            upstream = upstreams.get(upstream_id)
            if upstream is None:
                del self.heard[upstream_id]
            elif heard.at < horizon:
                self.heard[upstream_id] = evolve(heard, at=now)
                events.emit(events.UPSTREAM_SILENT, upstream=upstream.incarnation)
                command = c.Silence(upstream_id, upstream.born_ms, upstream.sequence)
                self.runner.tasks.start(self.commit(command))

    def forget_jobs(self, now: float) -> None:
        """Drop jobs that need not be readable any more."""
        if now < self.forget_at:
            return
        self.forget_at = now + FORGET_EVERY_S
        incarnations = {u.incarnation for u in self.state.registry.state.upstreams.values()}
        self.runner.forget(incarnations)
        horizon = now - self.settings.retention_s - RETENTION_MARGIN_S
        for job_id in list(self.state.jobs.state.records):
            seen_at = self.runner.seen_at.setdefault(job_id, now)
            if seen_at < horizon:
                del self.runner.seen_at[job_id]
                self.runner.tasks.start(self.commit(c.ForgetJob(job_id)))
