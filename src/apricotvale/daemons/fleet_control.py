"""The control daemon of a fleet: answer calls and, as leader, run jobs and order loads."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from attrs import define, evolve

from apricotvale import clock, events, metrics
from apricotvale.codec import pack
from apricotvale.consensus.calls import JoinProbe, ReadPart, Redirect, Unconfirmed
from apricotvale.consensus.disk import FolderDisk
from apricotvale.consensus.membership import is_silent
from apricotvale.consensus.storage import Storage
from apricotvale.consensus.types import GroupPolicy, NotLeader, Timing
from apricotvale.customers.access import may_access
from apricotvale.daemons.crash_control import CrashControl
from apricotvale.daemons.crash_guard import CrashGuard
from apricotvale.daemons.duty_holder import DutyHolder
from apricotvale.daemons.forwarder import Forwarder
from apricotvale.daemons.in_flight import STOP_MARGIN_S
from apricotvale.daemons.job_runner import SAVE_INTERVAL_S, JobRunner
from apricotvale.daemons.leader_client import LeaderClient
from apricotvale.daemons.leaving import LeavingReporter
from apricotvale.daemons.limit_reporter import LimitReporter
from apricotvale.daemons.load_scheduler import LoadScheduler
from apricotvale.daemons.origin_control import OriginControl
from apricotvale.daemons.peers import Peers
from apricotvale.daemons.permits import LeaderPermits
from apricotvale.daemons.replica import LostLeadership, Replica
from apricotvale.daemons.result_reader import ResultReader
from apricotvale.daemons.rpc_server import ControlService, make_server
from apricotvale.daemons.runtime import TaskGroup, wait_event, wait_until_stopped
from apricotvale.discovery import LateHeartbeats, RegistryView, Upstream
from apricotvale.duties.reporting import Infrastructure
from apricotvale.exceptions import ApricotvaleError, EncodingError
from apricotvale.fleet import calls
from apricotvale.fleet import commands as c
from apricotvale.fleet.calls import FLEET
from apricotvale.fleet.state import FleetState
from apricotvale.jobs import Job
from apricotvale.jobs.admission import spread
from apricotvale.jobs.room import JobSize
from apricotvale.jobs.store import size_of
from apricotvale.limits.permits import PermitIssuer
from apricotvale.outcomes import Refusal
from apricotvale.requests.calls import UpstreamClient
from apricotvale.routes import RouteTable
from apricotvale.settings.fleet import FleetSettings

LEADER_TASK_INTERVAL_S = 0.1
# Changes that arrive within this time are handled in one round of leader tasks.
COALESCE_S = 0.01
# A pause of this many times the duration of a round follows it.
TASK_PAUSE_FACTOR = 3.0
TIMING = Timing(heartbeat_s=0.15, election_timeout_s=0.6)
# A voter that has been silent for this long is replaced by a learner. The time is longer than a
# restart of the process and shorter than the time that a replaced VM has to catch up.
REPLACE_AFTER_S = 1.5
# An upstream counts as silent after this many heartbeat periods without a heartbeat.
MAX_MISSED_HEARTBEATS = 3.5
PURGE_INTERVAL_S = 5.0
# Jobs stay readable for this long beyond the retention period of the settings.
RETENTION_MARGIN_S = 30.0
TRANSFER_WAIT_S = 1.0
# Replicas join a new group, or replace one that was lost, within this time.
GROUP_SETTLE_S = 15.0
# A leader refuses no job for lack of capacity before it has led for this long.
MIN_LEADING_S = 1.0


@define
class LastHeartbeat:
    """The latest heartbeat of an upstream.

    :param order: start time and sequence number of the upstream, by which heartbeats are ordered.
    :param silent_since: when it arrived, when this replica began to lead or when the upstream was
        last reported as silent, whichever is latest; on `clock.now`, in seconds.
    """

    order: tuple[int, int]
    silent_since: float


class FleetControl:
    """The process of one control replica.

    :param client: client for calls to upstreams.
    :param parse_table: decodes the document of a route table.
    :param version_field: name of the event-stream field that announces a new weight version.
    :param infrastructure: client for the calls that only the leader makes, None without them.
    """

    def __init__(
        self,
        settings: FleetSettings,
        client: UpstreamClient,
        parse_table: Callable[[bytes], RouteTable],
        version_field: str,
        infrastructure: Infrastructure | None = None,
    ) -> None:
        self.settings = settings
        self.parse_table = parse_table
        self.disk = FolderDisk(Path(settings.data_folder))
        self.state = FleetState()
        peers = Peers(
            settings.name,
            settings.internal_address,
            settings.contact_addresses(),
            FLEET,
            settings.founds and settings.internal_address in settings.contact_addresses(),
            policy=GroupPolicy(True, 2 * settings.failures + 1, settings.failures, REPLACE_AFTER_S),
        )
        storage = Storage(self.disk, settings.name)
        self.replica = Replica(peers, storage, TIMING, self.on_applied, self.state)
        self.view = RegistryView()
        self.leaving = LeavingReporter(self.view, self.call)
        self.limit_reporter = LimitReporter(self.view, self.call)
        self.permits = LeaderPermits(self.view, PermitIssuer())
        self.guard = CrashGuard(settings.name, self.view, client, self.call, lambda: True)
        forwarder = Forwarder(
            settings.site,
            self.view,
            client,
            self.leaving.on_leaving,
            self.limit_reporter.on_limit,
            self.permits,
            self.guard,
        )
        self.runner = JobRunner(
            self.state,
            client,
            forwarder,
            self.permits,
            self.commit_internal,
            version_field,
            lambda: self.replica.leads,
        )
        self.load_scheduler = LoadScheduler(
            self.state,
            client,
            self.runner,
            settings.name,
            self.may_send_orders,
            lambda: self.replica.node.term,
        )
        self.crashes = CrashControl(
            lambda: self.state.crashes,
            self.is_current,
            self.commit,
            calls.Accepted(),
            self.runner.tasks,
        )
        self.origins = OriginControl(
            lambda: self.state.origins,
            lambda: self.state.registry.state,
            self.replica.confirm,
            self.commit,
            self.runner.tasks,
        )
        self.duty_tasks = TaskGroup()
        self.duties: DutyHolder | None = None
        if infrastructure is not None and settings.reports_usage:
            self.duties = DutyHolder(
                settings,
                self.state,
                infrastructure,
                self.commit,
                self.may_send_orders,
                lambda: self.replica.node.term,
                self.duty_tasks,
            )
        self.leader_client = LeaderClient(settings.contact_addresses(), FLEET)
        self.table_version = 0
        self.last_heartbeats: dict[str, LastHeartbeat] = {}
        self.late_heartbeats = LateHeartbeats(settings.heartbeat_ms / 1000)
        self.proposed_jobs: Counter[str] = Counter()
        self.leading_term = 0
        self.leading_since = float("inf")
        # When the group became too small; infinite once that was reported.
        self.group_small_since: float | None = None
        self.purge_at = 0.0
        self.changed = asyncio.Event()
        self.watched = (0, 0, 0)
        self.results = ResultReader(self.state, self.is_denied, lambda: self.stopping)
        self.tasks_due = asyncio.Event()
        self.stopping = False

    # Life cycle

    async def run(
        self, stop: asyncio.Event, drain: Callable[[float], Awaitable[None]] | None = None
    ) -> None:
        """Serve until `stop` is set, then transfer leadership and shut down.

        :param drain: accepts no more connections and returns once no request is in flight, or at a
            time on `clock.now`. The replica serves its requests until then.
        """
        service = ControlService(self.on_call, self.replica.receive_batch, FLEET)
        server = make_server(service)
        await server.start(self.settings.ip, self.settings.internal_port)
        # The leader's rounds end first: they would start work in groups that have ended.
        async with (
            self.runner.tasks,
            self.load_scheduler.tasks,
            self.leaving.tasks,
            self.limit_reporter.tasks,
            self.guard.tasks,
            self.duty_tasks,
            TaskGroup() as tasks,
        ):
            work = (self.replica.run(), self.run_leader_tasks(), self.save_progress())
            needed = [tasks.start(part) for part in work]
            events.emit(events.STARTED, listen=self.settings.internal_address)
            metrics.record_start()
            await wait_until_stopped(stop, *needed)
            stop_by = clock.now() + self.settings.stop_s - STOP_MARGIN_S
            await self.transfer_leadership()
            if drain is not None:
                await drain(stop_by)
            server.close()
        self.leader_client.close()
        self.disk.release()
        events.emit(events.STOPPED)

    def apply_settings(self, settings: FleetSettings) -> None:
        """Apply reloaded settings; only the contacts can change while the replica runs."""
        self.replica.peers.contacts = settings.contact_addresses()

    async def transfer_leadership(self) -> None:
        """Transfer leadership to a peer; wait at most `TRANSFER_WAIT_S` for it to take over."""
        self.stopping = True
        deadline = clock.now() + TRANSFER_WAIT_S
        while self.replica.leads and clock.now() < deadline:
            await self.replica.transfer()
            await asyncio.sleep(0.05)

    def on_applied(self) -> None:
        """Load a newer table, and wake the watches and reads that the change concerns.

        Load pattern: hundreds of watches and reads wait while results are committed many times a
        second. Waking all of them for each result would delay the commits that they wait for.
        """
        self.replica.node.retiring = frozenset(self.state.retiring)
        self.load_table()
        watched = (
            self.state.registry.state.position,
            self.state.table.version,
            self.state.origins.state.position,
        )
        now = clock.now()
        has_news = self.crashes.on_applied(now)
        # The guard of a replica that begins to lead knows what was found under former leaders.
        self.guard.on_news(self.crashes.delta(self.guard.known.position, now))
        if watched != self.watched or has_news:
            self.watched = watched
            self.changed.set()
            self.changed = asyncio.Event()
        self.results.wake_readers()
        if self.duties:
            self.duties.on_applied(self.leading_term == self.replica.node.term)
        self.tasks_due.set()

    def load_table(self) -> None:
        """Put the newest table in force for running jobs and ordering loads.

        The state goes back to a snapshot when the data folder is loaded again.
        """
        stored = self.state.table
        if stored.version <= self.table_version:
            return
        self.table_version = stored.version
        try:
            table = self.parse_table(stored.document)
        except ApricotvaleError as error:
            events.emit(events.TASK_FAILED, error=error.format_message())
            return
        self.runner.table = self.load_scheduler.table = table
        self.origins.on_table(table)
        if self.duties:
            self.duties.on_table(table)
        events.emit(events.CONFIG_IN_FORCE, revision=table.version, routes=len(table.routes))

    # Calls

    async def on_call(self, request: Any) -> Any:
        """Answer one call; redirect the caller unless this replica leads."""
        if isinstance(request, JoinProbe):
            return self.replica.probe(request)
        if isinstance(request, ReadPart):
            return await self.replica.read_part(request)
        if isinstance(request, calls.ReadCopy):
            return await self.results.read_copy(request)
        if isinstance(request, calls.Locate):
            return calls.Located(self.settings.site)
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
            case calls.ReportLeaving():
                return await self.on_report_leaving(request)
            case calls.ReportLimit():
                return await self.on_report_limit(request)
            case calls.DrawPermits():
                issued = self.permits.issue(request, clock.now())
                return calls.PermitsDrawn(issued.granted, issued.wait_s, issued.sharers)
            case calls.ReportCrashes() | calls.BeginTrial() | calls.EndTrial():
                return await self.crashes.on_call(request)
            case calls.RecordOrigins():
                return await self.origins.on_record(request)
            case calls.FindOrigin():
                found = await self.origins.on_find(request)
                return found or Redirect(self.replica.leader_address())
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
            case calls.ReportUsage():
                return await self.duties.on_report(request) if self.duties else calls.NotFound()
            case _:
                return await self.on_read(request)

    async def call(self, request: Any, deadline: float) -> Any | Refusal:
        """Answer a call from outside the group, forwarding it to the leader if necessary.

        :param deadline: on `clock.now`, in seconds.
        """
        if self.replica.leads and not self.stopping:
            reply = await self.on_call(request)
            if not isinstance(reply, Redirect | Unconfirmed):
                return reply
        known = [*self.replica.addresses(), *self.replica.heard_addresses]
        self.leader_client.addresses = known or self.settings.contact_addresses()
        leader = self.replica.leader_address()
        if leader:
            self.leader_client.current_address = leader
        return await self.leader_client.call(
            request, self.leader_client.now() + deadline - clock.now()
        )

    async def commit(self, command: c.Command) -> Any:
        """Commit a command; return the reply for its caller."""
        with metrics.COMMIT_SECONDS.time():
            result = await self.replica.propose(pack(command, c.Command))
        if isinstance(result, NotLeader):
            return Redirect(self.replica.leader_address())
        if isinstance(result, LostLeadership):
            return Unconfirmed("leadership changed before the commit was confirmed")
        return calls.Accepted() if result.known else calls.NotFound()

    async def commit_internal(self, command: c.Command) -> bool:
        """Commit a command issued by the leader itself; return whether it was accepted.

        A command that cannot be encoded is logged and has no effect, so that the caller goes on
        with its other work.
        """
        try:
            return isinstance(await self.commit(command), calls.Accepted)
        except EncodingError as error:
            events.emit(events.TASK_FAILED, error=error.format_message())
            return False

    async def on_put_table(self, request: calls.PutTable) -> Any:
        """Store a table; an older or equal version is accepted and ignored."""
        reply = await self.commit(c.PutTable(request.version, request.document))
        if isinstance(reply, calls.Accepted):
            events.emit(
                events.CONFIG_ACCEPTED, revision=request.version, held=self.state.table.version
            )
        return reply

    async def on_submit(self, request: calls.SubmitJob) -> Any:
        """Accept a job that fits; submitting a known job again has no effect.

        The owner of a known job is checked before the commit, which would be wasted, and after it,
        since another customer's job with the same id may have been committed in the meantime.
        """
        job = request.job
        known = job.job_id in self.state.jobs.state.records
        if self.is_denied(request, job.job_id):
            if not await self.replica.confirm():
                return Redirect(self.replica.leader_address())
            return calls.NotOwner()
        if not known and job.job_id not in self.proposed_jobs and not self.has_room(job):
            # The bytes include an estimate of the outputs, which turns no job away for good.
            can_fit = self.settings.job_limits.fits(JobSize(len(job.items), 0))
            return calls.JobsFull() if can_fit else calls.JobTooLarge()
        if not known and job.job_id not in self.proposed_jobs and self.may_refuse_jobs():
            retry_after_s = self.runner.refuse(job, clock.now())
            if retry_after_s is not None:
                return calls.JobRefused(spread(retry_after_s, random.random()))
        self.proposed_jobs[job.job_id] += 1
        try:
            reply = await self.commit(c.AcceptJob(job))
        finally:
            self.proposed_jobs -= Counter([job.job_id])
        if isinstance(reply, calls.Accepted) and self.is_denied(request, job.job_id):
            return calls.NotOwner()
        if isinstance(reply, calls.Accepted):
            events.emit(
                events.JOB_ACCEPTED,
                job=job.job_id,
                step=job.step,
                items=len(job.items),
                min_version=job.min_version,
                customer=job.customer,
                known=known,
            )
        return reply

    def has_room(self, job: Job) -> bool:
        """Return whether a new job fits; log a job that does not.

        A replica that has just taken over does not know yet whether its predecessor accepted the
        job, so it rejects none.
        """
        if self.replica.node.term_start_index > self.replica.node.applied_index:
            return True
        held, needed = self.state.jobs.held_size(), size_of(job)
        metrics.JOB_BYTES.set(held.size_bytes)
        if self.settings.job_limits.fits(needed, held):
            return True
        events.emit(
            events.JOB_REJECTED,
            job=job.job_id,
            held_bytes=held.size_bytes,
            needed_bytes=needed.size_bytes,
            held_items=held.items,
            needed_items=needed.items,
        )
        return False

    def is_denied(
        self,
        request: calls.SubmitJob | calls.ReadResults | calls.ReadItem | calls.EndJob,
        job_id: str,
    ) -> bool:
        """Return whether a job belongs to another customer than the caller's; log it if so."""
        record = self.state.jobs.state.records.get(job_id)
        if record is None or may_access(record.job.customer, request.customer):
            return False
        events.emit(
            events.JOB_DENIED,
            job=job_id,
            call=type(request).__name__,
            owner=record.job.customer,
            customer=request.customer,
            table=self.table_version,
        )
        return True

    def may_refuse_jobs(self) -> bool:
        """Return whether this leader knows the open jobs well enough to refuse a new one.

        A new leader does not know yet which jobs its predecessor accepted, and how long items take.
        """
        if self.replica.node.term_start_index > self.replica.node.applied_index:
            return False
        return clock.now() >= self.leading_since + MIN_LEADING_S

    async def on_end_job(self, request: calls.EndJob) -> Any:
        """End a job and log the outcome."""
        reply = await self.end_job(request)
        events.emit(
            events.JOB_ENDED,
            job=request.job_id,
            customer=request.customer,
            outcome=type(reply).__name__,
        )
        return reply

    async def end_job(self, request: calls.EndJob) -> Any:
        """End a job unless it belongs to another customer."""
        if request.customer is not None:
            # A new leader knows the owner only once the entries of former terms are applied.
            if not await self.replica.confirm():
                return Redirect(self.replica.leader_address())
            known = request.job_id in self.state.jobs.state.records
            if not known or self.is_denied(request, request.job_id):
                return calls.NotFound()
        return await self.commit(c.EndJob(request.job_id))

    async def on_heartbeat(self, upstream: Upstream) -> Any:
        """Record an upstream's heartbeat; commit the upstream's state if it has changed."""
        last = self.last_heartbeats.get(upstream.upstream_id)
        is_late = last is not None and upstream.order < last.order
        if is_late or not self.state.registry.is_current(upstream):
            return await self.on_late_heartbeat(upstream)
        why = self.rejection(upstream) if self.state.registry.is_change(upstream) else ""
        if why:
            return calls.HeartbeatRejected(why)
        self.late_heartbeats.end_rivals(upstream)
        known = self.state.registry.known_software(upstream)
        if known and known != upstream.software:
            events.emit(
                events.SOFTWARE_DISPUTED,
                upstream=upstream.incarnation,
                known=known,
                software=upstream.software,
                sequence=upstream.sequence,
            )
        self.last_heartbeats[upstream.upstream_id] = LastHeartbeat(upstream.order, clock.now())
        if not self.state.registry.is_change(upstream):
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

    async def on_late_heartbeat(self, upstream: Upstream) -> Any:
        """Ignore a heartbeat that counts as out of date, unless its sender proves to be alive."""
        now = clock.now()
        has_left = self.state.registry.has_left(upstream)
        last = self.last_heartbeats.get(upstream.upstream_id)
        if not self.late_heartbeats.add(upstream, has_left, now):
            events.emit(
                events.HEARTBEAT_LATE,
                upstream=upstream.incarnation,
                sequence=upstream.sequence,
                held=last.order if last else None,
            )
            return calls.Accepted()
        why = self.rejection(upstream)
        if why:
            return calls.HeartbeatRejected(why)
        reply = await self.commit(c.Restore(upstream))
        if isinstance(reply, calls.Accepted):
            self.last_heartbeats[upstream.upstream_id] = LastHeartbeat(upstream.order, clock.now())
            self.late_heartbeats.end_rivals(upstream)
        events.emit(
            events.UPSTREAM_RESTORED,
            upstream=upstream.incarnation,
            address=upstream.address,
            sequence=upstream.sequence,
            had_left=has_left,
            held=last.order if last else None,
            outcome=type(reply).__name__,
        )
        return reply

    def rejection(self, upstream: Upstream) -> str:
        """Return why a heartbeat must have no effect, empty if it may have one.

        Load pattern: another program sends heartbeats that are well-formed but not of this
        deployment. Before the first table, and for upstreams that are registered with the service,
        every service is accepted, so that a table that comes late or removes a service for a while
        delays no upstream.
        """
        registry = self.state.registry
        if registry.is_foreign(upstream):
            return "no start time, which the registered upstreams state"
        current = registry.state.upstreams.get(upstream.upstream_id)
        same_start = current is not None and current.born_ms == upstream.born_ms
        if same_start and current is not None and current.models and not upstream.models:
            return "no models, unlike earlier heartbeats of this incarnation"
        table = self.runner.table
        same_service = current is not None and current.service == upstream.service
        if table is not None and upstream.service not in table.services and not same_service:
            return f"unknown service {upstream.service[:80]!r}"
        service = table.services.get(upstream.service) if table is not None else None
        if service is not None and service.engine is not None and not upstream.models:
            return f"no models, which engines of {upstream.service[:80]!r} state"
        return ""

    async def on_report_leaving(self, request: calls.ReportLeaving) -> Any:
        """Commit the mark of an upstream that leaves, unless it is known already."""
        if self.state.registry.is_leaving(request.upstream_id, request.born_ms):
            return calls.Accepted()
        reply = await self.commit(c.MarkLeaving(request.upstream_id, request.born_ms))
        events.emit(
            events.LEAVING_COMMITTED,
            upstream=f"{request.upstream_id}@{request.born_ms}",
            registry=self.state.registry.state.position,
            outcome=type(reply).__name__,
        )
        return reply

    async def on_report_limit(self, request: calls.ReportLimit) -> Any:
        """Commit the limit of an upstream or its end, unless it is known already."""
        if self.state.registry.limit_of(request.upstream_id, request.born_ms) == request.rate:
            return calls.Accepted()
        reply = await self.commit(c.SetLimit(request.upstream_id, request.born_ms, request.rate))
        events.emit(
            events.LIMIT_COMMITTED,
            upstream=f"{request.upstream_id}@{request.born_ms}",
            rate=request.rate,
            registry=self.state.registry.state.position,
            outcome=type(reply).__name__,
        )
        return reply

    async def on_retire(self, name: str) -> Any:
        """Start retiring a replica unless too few responsive members would remain."""
        members = self.replica.node.group.members
        if name in self.state.retiring:
            return calls.Accepted()
        if not any(member.name == name for member in members):
            # A spare replica holds no data, so it can be removed at once.
            known = name in self.replica.spare_names
            return await self.commit(c.Retire(name)) if known else calls.NotFound()
        view = self.replica.node.membership_view(clock.now())
        staying = [
            member
            for member in members
            if member.name not in self.state.retiring
            and member.name != name
            and not is_silent(member, view)
        ]
        if len(staying) < self.replica.peers.policy.voters:
            return calls.TooFewLeft()
        events.emit(events.REPLICA_RETIRING, replica=name, staying=[m.name for m in staying])
        return await self.commit(c.Retire(name))

    # Reads

    async def on_read(self, request: Any) -> Any:
        """Answer a read after a quorum has confirmed that this replica leads.

        :raises TypeError: if the request is no known read.
        """
        if not await self.replica.confirm():
            return Redirect(self.replica.leader_address())
        match request:
            case calls.ReadTable():
                return calls.TableRead(self.state.table.version, self.state.table.document)
            case calls.ReadResults():
                reply = await self.results.read(request)
                if isinstance(reply, calls.NotFound) and not self.is_current():
                    # Leadership ended during the wait; the state may be behind that of the job.
                    return Redirect(self.replica.leader_address())
                return reply
            case calls.ReadItem():
                if self.is_denied(request, request.job_id):
                    return calls.NotFound()
                item = self.state.jobs.find_item(request.job_id, request.item_id)
                return calls.ItemRead(item.body) if item else calls.NotFound()
            case calls.ReadRetirement():
                return self.read_retirement(request.name)
        raise TypeError(f"unknown read request: {request!r}")

    def read_retirement(self, name: str) -> Any:
        """Return whether a retiring replica has left the group and the change is committed."""
        node = self.replica.node
        if any(member.name == name for member in node.group.members):
            return calls.RetirementRead(False)
        if name not in self.state.retiring:
            return calls.NotFound()
        return calls.RetirementRead(node.groups[-1][0] <= node.commit_index)

    async def on_watch(self, watch: calls.Watch) -> Any:
        """Long poll for changes of the registry and the table.

        With `watch.confirm` the reply is sent once a quorum has confirmed that this replica leads,
        without waiting for changes. A new leader confirms every watch: until it has applied the
        entries of former terms, its table may be older than an accepted one.
        """
        received_at = clock.now()
        deadline = received_at + watch.wait_ms / 1000
        must_confirm = watch.confirm or not self.is_current()
        if must_confirm and not await self.replica.confirm():
            return Redirect(self.replica.leader_address())
        while not self.stopping:
            registry, table = self.state.registry.state, self.state.table
            has_changes = (
                registry.position != watch.position
                or table.version > watch.table_version
                or self.state.crashes.state.position > watch.suspects_position
                or self.origins.changes(watch.origins_position) is not None
            )
            left_s = deadline - clock.now()
            if has_changes or watch.confirm or left_s <= 0:
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
            self.crashes.delta(watch.suspects_position, clock.now()),
            clock.now() - received_at,
            self.origins.changes(watch.origins_position),
        )

    # Periodic tasks of the leader

    def may_send_orders(self) -> bool:
        """Return whether this replica leads and the lease of a former leader has expired."""
        lease_over = clock.now() >= self.leading_since + self.settings.lease_ms / 1000
        leads = self.replica.leads and not self.stopping
        # A replica that has lost leadership and won it again in a new term still has the start of
        # the former term until its next round of leader tasks.
        return leads and lease_over and self.leading_term == self.replica.node.term

    def is_current(self) -> bool:
        """Return whether this replica leads and has applied the entries of all former terms."""
        node = self.replica.node
        leads = self.replica.leads and self.leading_term == node.term
        return leads and node.term_start_index <= node.applied_index

    async def run_leader_tasks(self) -> None:
        """Run the leader's tasks on each change of the state and at least once per period.

        Load pattern: on a VM with little processor time, tasks that ran on each of dozens of
        changes per second would delay heartbeats until the followers elect another leader.
        """
        while True:
            self.tasks_due.clear()
            now = clock.now()
            leads = self.replica.leads and not self.stopping
            if leads and self.leading_term != self.replica.node.term:
                self.start_leading(now)
            elif not leads and self.leading_term:
                self.stop_leading()
            if self.leading_term:
                self.run_due_tasks(now)
            await asyncio.sleep(max(COALESCE_S, TASK_PAUSE_FACTOR * (clock.now() - now)))
            await wait_event(self.tasks_due, LEADER_TASK_INTERVAL_S)

    async def save_progress(self) -> None:
        """While this replica leads, periodically save the partial output of long items."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if self.leading_term:
                await self.runner.save_progress()

    def start_leading(self, now: float) -> None:
        """Start leading in a new term; every upstream counts as heard from now."""
        if self.leading_term:
            self.stop_leading()
        self.leading_term = self.replica.node.term
        self.leading_since = now
        self.late_heartbeats.clear()
        self.last_heartbeats = {
            upstream.upstream_id: LastHeartbeat(upstream.order, now)
            for upstream in self.state.registry.state.upstreams.values()
        }
        self.crashes.start_leading(now)
        self.origins.start_leading(now)
        metrics.IS_LEADER.set(1)
        events.emit(events.RUNNER_STARTED, term=self.leading_term)

    def stop_leading(self) -> None:
        """Stop all work that only a leader may do."""
        metrics.IS_LEADER.set(0)
        self.leading_term = 0
        self.leading_since = float("inf")
        self.runner.stop()
        self.load_scheduler.stop()
        self.permits.issuer.clear()
        self.crashes.stop_leading()
        if self.duties:
            self.duties.stop()

    def run_due_tasks(self, now: float) -> None:
        """Run the leader tasks that are due, once the entries of former terms are applied."""
        self.view.apply(self.state.registry.since(self.view.position), now)
        if self.replica.node.term_start_index > self.replica.node.applied_index:
            return
        self.check_group(now)
        self.mark_silent_upstreams(now)
        self.crashes.tick(now)
        self.origins.tick(now)
        self.purge_jobs(now)
        self.runner.tick(now)
        self.load_scheduler.tick(now)
        if self.duties:
            self.duties.tick(now)
        if self.settings.name in self.state.retiring:
            self.replica.post_transfer()

    def check_group(self, now: float) -> None:
        """Report once that the group stays smaller than the losses that it has to bear need.

        Nothing else shows it: the group serves as before until the disks are lost.
        """
        group, policy = self.replica.node.group, self.replica.peers.policy
        missing = max(0, policy.voters - len(group.voters()))
        metrics.VOTERS_MISSING.set(missing)
        if not missing:
            self.group_small_since = None
            return
        if self.group_small_since is None:
            self.group_small_since = now
        if self.group_small_since + GROUP_SETTLE_S <= now < float("inf"):
            self.group_small_since = float("inf")
            events.emit(
                events.GROUP_TOO_SMALL,
                voters=len(group.voters()),
                needed=policy.voters,
                failures=self.settings.failures,
            )

    def mark_silent_upstreams(self, now: float) -> None:
        """Commit a `Silence` for each upstream that has sent no heartbeat for too long.

        One that was registered by a late commit, without a heartbeat on record, counts as heard
        from now.
        """
        cutoff = now - MAX_MISSED_HEARTBEATS * self.settings.heartbeat_ms / 1000
        upstreams = self.state.registry.state.upstreams
        for upstream_id in upstreams.keys() - self.last_heartbeats.keys():
            order = upstreams[upstream_id].order
            self.last_heartbeats[upstream_id] = LastHeartbeat(order, now)
        for upstream_id, last in list(self.last_heartbeats.items()):
            upstream = upstreams.get(upstream_id)
            if last.silent_since >= cutoff:
                continue
            if upstream is None:
                # The first heartbeat of an upstream is recorded before its commit is applied.
                del self.last_heartbeats[upstream_id]
            else:
                self.last_heartbeats[upstream_id] = evolve(last, silent_since=now)
                events.emit(events.UPSTREAM_SILENT, upstream=upstream.incarnation)
                command = c.Silence(upstream_id, upstream.born_ms, upstream.sequence)
                self.runner.tasks.start(self.commit(command))

    def purge_jobs(self, now: float) -> None:
        """Remove jobs whose retention period is over."""
        if now < self.purge_at:
            return
        self.purge_at = now + PURGE_INTERVAL_S
        incarnations = {u.incarnation for u in self.state.registry.state.upstreams.values()}
        self.runner.forget(incarnations)
        self.permits.issuer.retain(incarnations)
        cutoff = now - self.settings.retention_s - RETENTION_MARGIN_S
        for job_id in list(self.state.jobs.state.records):
            seen_at = self.runner.seen_at.setdefault(job_id, now)
            if seen_at < cutoff:
                del self.runner.seen_at[job_id]
                self.runner.tasks.start(self.commit(c.ForgetJob(job_id)))
