"""The control daemon: answer calls and, as leader, manage leases, loads and step ownership."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from aiohttp import web
from attrs import define

from apricotvale import clock, events, metrics
from apricotvale.codec import encode
from apricotvale.consensus.disk import FolderDisk
from apricotvale.consensus.storage import Storage
from apricotvale.consensus.types import NotLeader, Timing
from apricotvale.control import calls, reports
from apricotvale.control import commands as c
from apricotvale.control.configuration import ConfigApplied, ConfigConflict
from apricotvale.control.state import ControlState
from apricotvale.daemons.crash_control import CrashControl
from apricotvale.daemons.http_server import HttpServer
from apricotvale.daemons.peers import fixed_peers
from apricotvale.daemons.replica import LostLeadership, Replica
from apricotvale.daemons.rpc_server import ControlService, make_server
from apricotvale.daemons.runtime import (
    TaskGroup,
    health_routes,
    wait_event,
    wait_until_stopped,
)
from apricotvale.exceptions import SettingsError
from apricotvale.hashing import hash64
from apricotvale.membership.roster import Departure, Kind, Member
from apricotvale.settings.loader import check_deployment
from apricotvale.settings.schema import Deployment, ProcessSettings
from apricotvale.weights.rollout import RolloutPolicy, plan_grants

LEADER_TASK_INTERVAL_S = 0.1
# In force until a deployment is applied.
DEFAULT_LEASE_MS = 3_000
DEFAULT_RETRY_MS = 1_000
TRANSFER_WAIT_S = 1.0


@define
class MemberContact:
    """The latest renewal of a member's lease.

    :param heard_at: time of its last sync, or of the start of this replica's term if later; on the
        monotonic clock, in seconds.
    :param in_force: the configuration revision in force at the member; 0 before its first sync.
    """

    incarnation: str
    heard_at: float
    in_force: int


class ControlDaemon:
    """The process of one control replica."""

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.metrics = metrics.Metrics(settings.statsd, settings.name)
        replicas = settings.replicas or {settings.name: settings.listen}
        self.disk = FolderDisk(Path(settings.data_folder))
        storage = Storage(self.disk, settings.name)
        self.state = ControlState()
        peers = fixed_peers(settings.name, replicas, calls.CONTROL)
        self.replica = Replica(peers, storage, Timing(), self.on_applied, self.state)
        self.crash_tasks = TaskGroup()
        self.crashes = CrashControl(
            lambda: self.state.crashes,
            self.is_current,
            self.commit,
            calls.Committed(c.Done()),
            self.crash_tasks,
        )
        self.contacts: dict[str, MemberContact] = {}
        self.leading_term = 0
        self.change_marker: tuple[int, ...] = ()
        self.changed = asyncio.Event()
        self.deployment: Deployment | None = None
        self.deployment_revision = -1
        self.stopping = False

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then transfer leadership and shut down."""
        server = make_server(
            ControlService(self.on_call, self.replica.receive_batch, calls.CONTROL)
        )
        host, _, port = self.settings.listen.rpartition(":")
        await server.start(host, int(port))
        async with self.crash_tasks, TaskGroup() as tasks:
            needed = [tasks.start(part) for part in (self.replica.run(), self.run_leader_tasks())]
            if self.settings.health:
                app = web.Application()
                app.add_routes(health_routes(self.is_ready))
                await HttpServer(app, self.settings.health).__aenter__()
            events.emit(events.STARTED, listen=self.settings.listen)
            await wait_until_stopped(stop, *needed)
            await self.transfer_leadership()
            server.close()
            self.changed.set()
        self.disk.release()
        events.emit(events.STOPPED)

    def is_ready(self) -> bool:
        """Return whether the replica is a voter that knows a leader and whose disk works."""
        node = self.replica.node
        return self.replica.storage.failed is None and bool(node.leader_id) and node.is_voter

    async def transfer_leadership(self) -> None:
        """Transfer leadership to a peer; wait at most `TRANSFER_WAIT_S` for it to take over."""
        self.stopping = True
        deadline = time.monotonic() + TRANSFER_WAIT_S
        while self.replica.leads and time.monotonic() < deadline:
            if len(self.replica.node.group.members) == 1:
                return
            await self.replica.transfer()
            await asyncio.sleep(0.05)

    # Calls

    async def on_call(self, request: Any) -> Any:
        """Answer one call; redirect the caller unless this replica leads."""
        if isinstance(request, calls.JoinProbe):
            return self.replica.probe(request)
        if isinstance(request, calls.ReadPart):
            return await self.replica.read_part(request)
        if not self.replica.leads or self.stopping:
            return calls.Redirect(self.replica.leader_address())
        if isinstance(request, calls.Sync):
            return await self.on_sync(request)
        if isinstance(request, calls.ReportCrashes | calls.BeginTrial | calls.EndTrial):
            return await self.crashes.on_call(request)
        if isinstance(request, calls.Propose):
            return await self.on_propose(request.command)
        return await self.on_query(request)

    async def on_propose(self, command: Any) -> Any:
        """Validate and commit a command, and log configuration changes and new versions."""
        if isinstance(command, c.ApplyConfig):
            try:
                check_deployment(command.document.base, command.document.overlays)
            except SettingsError as error:
                return calls.Invalid([problem.describe() for problem in error.problems])
        reply = await self.commit(command)
        if isinstance(command, c.ApplyConfig) and isinstance(reply, calls.Committed):
            self.log_config(command, reply.result)
        if isinstance(command, c.Publish) and isinstance(reply, calls.Committed):
            events.emit(
                events.WEIGHTS_PUBLISHED,
                trainer=command.trainer,
                model=command.model,
                version=command.version,
            )
        return reply

    async def commit(self, command: Any) -> calls.CallReply:
        """Commit a command; return its result, or a reply that makes the caller retry."""
        result = await self.replica.propose(encode(command, c.Command))
        self.metrics.count(metrics.COMMITS)
        if isinstance(result, NotLeader):
            return calls.Redirect(self.replica.leader_address())
        if isinstance(result, LostLeadership):
            return calls.Unconfirmed("leadership changed before the commit was confirmed")
        return calls.Committed(result)

    def log_config(self, command: c.ApplyConfig, result: Any) -> None:
        """Log whether a configuration change was accepted or rejected."""
        if isinstance(result, ConfigApplied):
            events.emit(
                events.CONFIG_ACCEPTED,
                revision=result.revision,
                operation=command.operation_id,
                author=command.author,
            )
        elif isinstance(result, ConfigConflict):
            events.emit(
                events.CONFIG_REJECTED,
                operation=command.operation_id,
                expected=command.expected_revision,
                revision=result.revision,
                winner=result.operation_id,
            )

    async def on_query(self, query: calls.Query) -> Any:
        """Answer a query after a quorum has confirmed that this replica leads."""
        if not await self.replica.confirm():
            return calls.Redirect(self.replica.leader_address())
        report = reports.report(self.replica, query.topic)
        if query.topic == "force":
            return reports.with_revisions_in_force(
                report, self.revisions_in_force(), self.lease_ms()
            )
        return report

    def revisions_in_force(self) -> list[calls.MemberForce]:
        """Return the revision in force at each member and how long ago it was heard."""
        now = time.monotonic()
        found = []
        for member in self.state.roster.state.members.values():
            contact = self.contacts.get(member.name)
            revision = contact.in_force if contact else 0
            age_ms = int((now - contact.heard_at) * 1000) if contact else -1
            found.append(calls.MemberForce(member.name, member.site, revision, age_ms))
        return found

    # Syncs

    async def on_sync(self, sync: calls.Sync) -> Any:
        """Renew a member's lease, commit the state it reports and return what changed for it."""
        if sync.confirm and not await self.replica.confirm():
            return calls.Redirect(self.replica.leader_address())
        for command in self.sync_commands(sync):
            reply = await self.commit(command)
            if not isinstance(reply, calls.Committed):
                return reply
        member = sync.member
        if sync.leaving:
            self.contacts.pop(member.name, None)
        else:
            contact = MemberContact(member.incarnation, time.monotonic(), sync.in_force)
            self.contacts[member.name] = contact
            await self.wait_for_change(sync)
        if not self.replica.leads:
            return calls.Redirect(self.replica.leader_address())
        return self.sync_reply(sync)

    def sync_commands(self, sync: calls.Sync) -> list[Any]:
        """Return the commands to commit for a member's sync."""
        member = sync.member
        found: list[Any] = []
        if sync.outcomes:
            found.append(c.RecordOutcomes(sync.outcomes))
        if sync.failures:
            for failure in sync.failures:
                events.emit(events.SWAP_FAILED, upstream=failure.upstream, detail=failure.detail)
            retry_ms = self.deployment.weights.retry_ms if self.deployment else DEFAULT_RETRY_MS
            found.append(c.ReportFailures(sync.failures, retry_ms))
        known = self.state.roster.state.members.get(member.name)
        if sync.leaving:
            found.append(c.Depart([Departure(member.name, member.incarnation)]))
            events.emit(events.MEMBER_LEFT, member=member.name, why="leaving")
        elif known != member:
            if known is None or known.incarnation != member.incarnation:
                events.emit(
                    events.MEMBER_JOINED, member=member.name, incarnation=member.incarnation
                )
            elif known.models != member.models:
                events.emit(events.SWAP_DONE, upstream=member.name, models=member.models)
            found.append(c.Announce([member]))
        return found

    async def wait_for_change(self, sync: calls.Sync) -> None:
        """Long poll: return on a change that concerns the member or after `sync.wait_ms`."""
        deadline = time.monotonic() + sync.wait_ms / 1000
        while self.member_digest(sync.member) == sync.seen and not self.stopping:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return
            if not await wait_event(self.changed, remaining):
                return

    def member_digest(self, member: Member) -> int:
        """Return a digest of all state that concerns a member, to detect changes."""
        state = self.state
        parts: list[Any] = [state.config.state.revision]
        if member.kind is Kind.ENTRY:
            parts.append(state.roster.state.position)
            parts.append(state.crashes.state.position)
            parts += [(s.trainer, s.step, s.reopened, s.version) for s in self.owned_steps(member)]
            parts += sorted((n, t.version) for n, t in state.ledger.state.trainers.items())
        else:
            parts.append(state.rollout.state.grants.get(member.name))
        return hash64(repr(parts)) >> 1

    def owned_steps(
        self, member: Member, known: list[str] | None = None
    ) -> list[calls.StepOwnership]:
        """Return the steps that an entry owns.

        :param known: keys of the steps whose specification the entry has; the reply includes the
            specification of all others. None leaves out specifications and open slots.
        """
        found = []
        ledger = self.state.ledger
        for name, trainer in ledger.state.trainers.items():
            for key, step in trainer.steps.items():
                if step.owner_incarnation != member.incarnation:
                    continue
                is_new = known is not None and f"{name}/{key}" not in known
                found.append(
                    calls.StepOwnership(
                        name,
                        int(key),
                        ledger.open_slots(step) if known is not None else [],
                        step.reopened,
                        trainer.version,
                        step.spec if is_new else None,
                    )
                )
        return found

    def sync_reply(self, sync: calls.Sync) -> calls.SyncReply:
        """Return the changes that a member has not seen yet."""
        state = self.state
        member = sync.member
        is_entry = member.kind is Kind.ENTRY
        config = state.config.state
        is_behind = sync.revision < config.revision
        grant = state.rollout.state.grants.get(member.name)
        is_current = grant is not None and grant.incarnation == member.incarnation
        empty = calls.RosterDelta(state.roster.state.position)
        return calls.SyncReply(
            roster=state.roster.delta(sync.position) if is_entry else empty,
            leader=self.settings.name,
            revision=config.revision if is_behind else 0,
            document=config.document if is_behind else None,
            grants=[grant] if grant is not None and is_current else [],
            fence=state.rollout.state.fence,
            targets=dict(state.rollout.state.targets),
            steps=self.owned_steps(member, sync.known_steps) if is_entry else [],
            interest=self.member_digest(member),
            confirmed=True,
            suspects=(
                self.crashes.delta(sync.suspects_position, clock.now()) if is_entry else None
            ),
        )

    def on_applied(self) -> None:
        """Wake waiting syncs if the state has changed in a way that may concern a member."""
        self.crashes.on_applied(clock.now())
        change_marker = self.state.change_marker()
        if change_marker == self.change_marker:
            return
        self.change_marker = change_marker
        self.changed.set()
        self.changed = asyncio.Event()

    # Periodic tasks of the leader

    async def run_leader_tasks(self) -> None:
        """While leading, periodically commit commands that are due.

        They remove members with expired leases, plan loads, reassign orphaned steps and expire
        overdue grants and steps.
        """
        while True:
            await asyncio.sleep(LEADER_TASK_INTERVAL_S)
            if not self.replica.leads:
                self.stop_term()
                continue
            self.refresh_deployment()
            self.start_term()
            if self.is_current():
                self.crashes.tick(clock.now())
            for command in self.due_commands(time.monotonic()):
                await self.commit(command)

    def is_current(self) -> bool:
        """Return whether this replica leads and has applied the entries of all former terms."""
        node = self.replica.node
        leads = self.replica.leads and self.leading_term == node.term
        return leads and node.term_start_index <= node.applied_index

    def stop_term(self) -> None:
        """Stop what only a leader may do."""
        if self.leading_term:
            self.leading_term = 0
            self.crashes.stop_leading()

    def start_term(self) -> None:
        """Begin a term in which this replica leads: every member's lease starts again."""
        if self.leading_term == self.replica.node.term:
            return
        self.leading_term = self.replica.node.term
        self.crashes.start_leading(clock.now())
        now = time.monotonic()
        for member in self.state.roster.state.members.values():
            self.contacts[member.name] = MemberContact(member.incarnation, now, 0)

    def refresh_deployment(self) -> None:
        """Parse the deployment again if its revision has changed."""
        config = self.state.config.state
        if config.revision != self.deployment_revision and config.document is not None:
            views = check_deployment(config.document.base, config.document.overlays)
            self.deployment = next(iter(views.values()))
            self.deployment_revision = config.revision

    def lease_ms(self) -> int:
        """Return the duration of a member's lease."""
        return self.deployment.control.lease_ms if self.deployment else DEFAULT_LEASE_MS

    def due_commands(self, now: float) -> list[Any]:
        """Return the commands that the leader has to commit now."""
        state = self.state
        found: list[Any] = []
        expired = self.expired_members(now)
        if expired:
            found.append(c.Depart(expired))
        found += self.adoption_commands()
        now_ms = int(time.time() * 1000)
        weights = self.deployment.weights if self.deployment else None
        retry_ms = weights.retry_ms if weights else DEFAULT_RETRY_MS
        if self.is_overdue(now_ms):
            found.append(c.Expire(retry_ms))
        if self.deployment and weights:
            for name, pool in self.deployment.pools.items():
                policy = RolloutPolicy(
                    name,
                    tuple(pool.models),
                    weights.floor_percent,
                    weights.loads_at_once,
                    weights.load_timeout_ms,
                )
                members = list(state.roster.state.members.values())
                requests = plan_grants(state.rollout.state, members, policy, now_ms)
                if requests:
                    names = [request.upstream for request in requests]
                    events.emit(events.SWAP_GRANTED, pool=name, upstreams=names)
                    found.append(c.GrantLoads(requests))
        return found

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether a grant or a step has passed its deadline."""
        state = self.state
        grants = state.rollout.state.grants.values()
        trainers = state.ledger.state.trainers.values()
        return any(grant.deadline_ms <= now_ms for grant in grants) or any(
            step.spec.expires_at_ms <= now_ms
            for trainer in trainers
            for step in trainer.steps.values()
        )

    def expired_members(self, now: float) -> list[Departure]:
        """Return the members whose lease has expired, and log each."""
        lease_s = self.lease_ms() / 1000
        found = []
        for member in self.state.roster.state.members.values():
            contact = self.contacts.get(member.name)
            if contact is None:
                self.contacts[member.name] = MemberContact(member.incarnation, now, 0)
            elif contact.heard_at + lease_s < now:
                found.append(Departure(member.name, member.incarnation))
                events.emit(events.MEMBER_LEFT, member=member.name, why="lease expired")
        return found

    def adoption_commands(self) -> list[c.AdoptStep]:
        """Return the commands that assign steps without a live owner to live entries."""
        state = self.state
        members = state.roster.state.members
        entries = [member for member in members.values() if member.kind is Kind.ENTRY]
        found = []
        for name, trainer in state.ledger.state.trainers.items():
            for key, step in trainer.steps.items():
                if state.roster.is_alive(step.owner, step.owner_incarnation) or not entries:
                    continue
                new_owner = max(entries, key=lambda m: hash64(f"{name}/{key}/{m.name}"))
                events.emit(events.STEP_ADOPTED, trainer=name, step=int(key), owner=new_owner.name)
                previous = step.owner_incarnation
                found.append(
                    c.AdoptStep(name, int(key), previous, new_owner.name, new_owner.incarnation)
                )
        return found
