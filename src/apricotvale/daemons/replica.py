"""A control replica's task: it owns the consensus node, its data folder and its peers."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, Protocol

import attrs
from attrs import define, frozen
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from apricotvale import clock, events
from apricotvale.codec import decode, encode
from apricotvale.consensus.messages import (
    Entry,
    Group,
    GroupMember,
    HardState,
    JoinRequest,
    PeerMessage,
    Snapshot,
)
from apricotvale.consensus.node import Node
from apricotvale.consensus.storage import Storage, Stored
from apricotvale.consensus.types import NotLeader, Ready, Role, Timing
from apricotvale.control.calls import JoinProbe, PeerBatch, ProbeReply
from apricotvale.daemons.peers import PEER_TIMEOUT_S, PeerLink, Peers
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.exceptions import DiskError, GroupMismatchError

MAX_WAIT_S = 0.25
PROBE_S = 0.2
ALONE_S = 1.0
FIRST_INDEX = 1
FIRST_TERM = 1
SNAPSHOT_BYTES = 4 * 1024 * 1024
SNAPSHOT_ENTRIES = 10_000


@frozen
class LostLeadership:
    """The command may or may not have been committed."""


@define
class ProposeEvent:
    """A command to commit."""

    payload: bytes
    future: asyncio.Future[Any]


@define
class ReadEvent:
    """A read to confirm."""

    future: asyncio.Future[Any]


@define
class TransferEvent:
    """A wish to hand leadership over."""

    future: asyncio.Future[bool]


class StateMachine(Protocol):
    """What committed entries change."""

    def apply(self, entry: Entry) -> Any:
        """Apply a committed entry; return its result."""

    def dump(self) -> bytes:
        """Return the state as a snapshot's content."""

    def restore(self, content: bytes) -> None:
        """Take the state from a snapshot; an empty one is the state before the first entry."""


class Replica:
    """Drives one consensus node.

    :param peers: with whom the replica forms or joins a group.
    :param storage: the replica's data folder.
    :param timing: protocol periods.
    :param on_applied: called after each batch of committed entries.
    :param state: what committed entries change.
    """

    def __init__(
        self,
        peers: Peers,
        storage: Storage,
        timing: Timing,
        on_applied: Callable[[], None],
        state: StateMachine,
    ) -> None:
        self.peers = peers
        self.name = peers.name
        self.storage = storage
        self.timing = timing
        self.on_applied = on_applied
        self.state = state
        self.events: deque[Any] = deque()
        self.wake = asyncio.Event()
        self.links: dict[str, PeerLink] = {}
        self.proposals: dict[tuple[int, int], asyncio.Future[Any]] = {}
        self.reads: dict[int, asyncio.Future[Any]] = {}
        self.disk_thread = ThreadPoolExecutor(1, "disk")
        self.applied_bytes = 0
        self.applied_entries = 0
        self.tasks = TaskGroup()
        self.ended = False
        self.seen_group = Group()
        self.seen_role: tuple[Role, int, str] = (Role.FOLLOWER, 0, "")
        self.node = self.make_node(storage.stored)
        self.check_group()

    def check_group(self) -> None:
        """Refuse settings that name other replicas than the data folder does."""
        if not self.peers.replicas:
            return
        stored = sorted({member.name for member in self.node.group.members})
        if stored and stored != sorted(self.peers.replicas):
            raise GroupMismatchError(stored, sorted(self.peers.replicas))

    # -- calls from the daemon

    @property
    def leads(self) -> bool:
        """Return whether this replica leads, after letting time pass."""
        if self.ended or self.storage.failed is not None:
            return False
        self.node.tick(clock.now())
        return self.node.role is Role.LEADER

    def leader_address(self) -> str:
        """Return the leader's address as far as known."""
        if self.node.leader_id == self.node.data_id:
            return ""
        leader = self.node.group.find(self.node.leader_id)
        return self.address_of(leader) if leader else ""

    def address_of(self, member: GroupMember) -> str:
        """Return where a member is reached; a table of fixed names goes first."""
        return self.peers.replicas.get(member.name, member.address)

    def addresses(self) -> list[str]:
        """Return the addresses of all members as far as known, the leader's first."""
        found = [self.address_of(member) for member in self.node.group.members]
        leader = self.leader_address() or (self.peers.address if self.is_leader else "")
        found.sort(key=lambda address: address != leader)
        return found

    @property
    def is_leader(self) -> bool:
        """Return whether the node leads as far as it knows."""
        return self.node.role is Role.LEADER

    async def propose(self, payload: bytes) -> Any:
        """Commit a command; return its result, NotLeader or LostLeadership."""
        future = asyncio.get_running_loop().create_future()
        self.post(ProposeEvent(payload, future))
        return await future

    async def confirm(self) -> bool:
        """Return whether a quorum confirmed that this replica leads now."""
        future = asyncio.get_running_loop().create_future()
        self.post(ReadEvent(future))
        return await future

    async def transfer(self) -> bool:
        """Hand leadership to a peer; return whether one was asked."""
        future = asyncio.get_running_loop().create_future()
        self.post(TransferEvent(future))
        return await future

    def post_transfer(self) -> None:
        """Hand leadership to a peer without waiting for it."""
        self.post(TransferEvent(asyncio.get_running_loop().create_future()))

    def take_batch(self, batch: PeerBatch) -> None:
        """Take messages of a peer."""
        for message in batch.messages:
            self.post(message)

    def probe(self, probe: JoinProbe) -> ProbeReply:
        """Tell an empty replica what this one knows."""
        node = self.node
        return ProbeReply(
            self.name, node.data_id, self.is_empty(), node.leader_id, self.addresses()
        )

    def post(self, event: Any) -> None:
        """Queue an event for the task."""
        self.events.append(event)
        self.wake.set()
        if self.ended:
            self.refuse_waiting()

    # -- the task

    async def run(self) -> None:
        """Drive the node until cancelled or until a part of the work fails."""
        async with self.tasks:
            parts = {self.tasks.start(self.drive()), self.tasks.start(self.enter_group())}
            try:
                done, _ = await asyncio.wait(parts, return_when=asyncio.FIRST_EXCEPTION)
                for part in done:
                    part.result()
            finally:
                self.ended = True
                self.refuse_waiting()

    async def drive(self) -> None:
        """Handle events, or refuse them once the disk failed."""
        try:
            await self.loop()
        except DiskError as error:
            events.emit(events.DISK_FAILED, detail=str(error), code=error.code)
            await self.refuse_all()

    async def loop(self) -> None:
        """Handle events and the passing of time."""
        while True:
            if not self.events and not self.node.has_work():
                await self.wait_for_events()
            self.wake.clear()
            now = clock.now()
            self.node.tick(now)
            while self.events:
                self.handle(self.events.popleft(), now)
            await self.carry_out(self.node.take_ready(now))
            self.note_role()

    async def wait_for_events(self) -> None:
        """Wait for an event, or until time matters to the node."""
        loop = asyncio.get_running_loop()
        wait_s = min(MAX_WAIT_S, self.node.due_at() - clock.now())
        timer = loop.call_later(max(0.0, wait_s), self.wake.set)
        try:
            await self.wake.wait()
        finally:
            timer.cancel()

    async def refuse_all(self) -> None:
        """Answer every call as one who does not lead, after the disk failed."""
        while True:
            self.refuse_waiting()
            await self.wake.wait()
            self.wake.clear()

    def refuse_waiting(self) -> None:
        """Answer all who wait as one who does not lead."""
        self.fail_waiters()
        while self.events:
            event = self.events.popleft()
            if isinstance(event, ProposeEvent):
                resolve(event.future, NotLeader())
            elif isinstance(event, ReadEvent | TransferEvent):
                resolve(event.future, False)

    def handle(self, event: Any, now: float) -> None:
        """Hand one event to the node."""
        if isinstance(event, ProposeEvent):
            entry = self.node.propose(event.payload, wall_clock_ms())
            if isinstance(entry, NotLeader):
                resolve(event.future, entry)
            else:
                self.proposals[entry.index, entry.term] = event.future
        elif isinstance(event, ReadEvent):
            ticket = self.node.read()
            if isinstance(ticket, NotLeader):
                resolve(event.future, False)
            else:
                self.reads[ticket] = event.future
        elif isinstance(event, TransferEvent):
            resolve(event.future, self.node.transfer(now))
        else:
            self.node.receive(event, now)

    async def carry_out(self, ready: Ready) -> None:
        """Send, persist, send what needed the disk, then apply."""
        self.send_all(ready.early)
        if ready.install is not None:
            await self.install(ready.install)
        if ready.records:
            last_index, last_term = self.node.log.last_index, self.node.log.last_term
            await self.on_disk(partial(self.storage.append, ready.records))
            self.node.synced(last_index, last_term)
        self.send_all(ready.late)
        self.apply_all(ready.committed)
        for ticket in ready.reads:
            resolve(self.reads.pop(ticket, None), True)
        for ticket in ready.failed_reads:
            resolve(self.reads.pop(ticket, None), False)
        if self.node.role is not Role.LEADER and self.proposals:
            self.fail_waiters()
        if self.applied_bytes > SNAPSHOT_BYTES or self.applied_entries > SNAPSHOT_ENTRIES:
            await self.save_snapshot()

    async def on_disk(self, work: Callable[[], None]) -> None:
        """Run a disk operation outside the event loop."""
        await asyncio.get_running_loop().run_in_executor(self.disk_thread, work)

    def send_all(self, messages: list[PeerMessage]) -> None:
        """Queue messages to their peers.

        A message to a data folder that is in no known group goes to every contact: all but the
        one that it concerns ignore it.
        """
        for message in messages:
            member = self.node.group.find(message.target)
            addresses = [self.address_of(member)] if member else self.contacts()
            for address in addresses:
                self.link(address).send(message)

    def link(self, address: str) -> PeerLink:
        """Return the link to an address."""
        if address not in self.links:
            self.links[address] = PeerLink(address, self.peers.interface)
            self.tasks.start(self.links[address].run())
        return self.links[address]

    def contacts(self) -> list[str]:
        """Return the addresses of all replicas known, without the own one."""
        found = dict.fromkeys([*self.peers.contacts, *self.addresses()])
        found.pop(self.peers.address, None)
        return list(found)

    def apply_all(self, entries: list[Entry]) -> None:
        """Apply committed entries and answer those who wait for them."""
        for entry in entries:
            result = self.state.apply(entry)
            resolve(self.proposals.pop((entry.index, entry.term), None), result)
            self.applied_bytes += len(entry.payload)
        self.applied_entries += len(entries)
        if entries:
            self.on_applied()

    async def install(self, snapshot: Snapshot) -> None:
        """Replace disk and state by a leader's snapshot."""
        save = partial(self.storage.save_snapshot, snapshot, self.node.hard_state, [])
        await self.on_disk(save)
        self.state.restore(snapshot.state)
        self.applied_bytes = self.applied_entries = 0
        events.emit(events.SNAPSHOT_INSTALLED, index=snapshot.index, bytes=len(snapshot.state))
        self.on_applied()

    async def save_snapshot(self) -> None:
        """Save the state and cut the log."""
        node = self.node
        index = node.applied_index
        entry = node.log.slice(index, index)[0]
        group = [held for at, held in node.groups if at <= index][-1]
        snapshot = Snapshot(index, entry.term, entry.at_ms, group, self.state.dump())
        kept = list(node.compact(snapshot))
        await self.on_disk(partial(self.storage.save_snapshot, snapshot, node.hard_state, kept))
        self.applied_bytes = self.applied_entries = 0
        events.emit(events.SNAPSHOT_SAVED, index=index, bytes=len(snapshot.state))

    def fail_waiters(self) -> None:
        """Tell those who wait that their call's fate is unknown."""
        for future in self.proposals.values():
            resolve(future, LostLeadership())
        self.proposals.clear()
        for future in self.reads.values():
            resolve(future, False)
        self.reads.clear()

    def note_role(self) -> None:
        """Log a change of role, term or group."""
        node = self.node
        current = (node.role, node.term, node.leader_name)
        if current != self.seen_role:
            self.seen_role = current
            events.emit(
                events.ROLE_CHANGED, role=node.role, term=node.term, leader=node.leader_name
            )

        if node.group != self.seen_group:
            self.seen_group = node.group
            members = {member.name: member.voter for member in node.group.members}
            events.emit(events.GROUP_CHANGED, voters=members)

    # -- entering a group

    def is_empty(self) -> bool:
        """Return whether the replica holds no log at all."""
        return self.node.log.last_index == 0

    async def enter_group(self) -> None:
        """Form the first group when every replica is empty, else ask to join as a learner.

        A replica whose data folder is new must never vote as its predecessor. It forms a group
        only if all others say that they are empty too. In an open group a replica that hears no
        leader asks again, since its place may have been given away.
        """
        while True:
            if self.is_empty():
                await self.form_or_join()
            elif self.peers.policy.open and self.is_alone():
                await self.ask_to_join(await self.probe_peers())
            elif not self.peers.policy.open:
                return
            await asyncio.sleep(PROBE_S)

    def is_alone(self) -> bool:
        """Return whether the replica follows no leader and leads nobody."""
        node = self.node
        return not self.is_leader and clock.now() > node.leader_heard_at + ALONE_S

    async def form_or_join(self) -> None:
        """Take one step of an empty replica towards a group."""
        replies = await self.probe_peers()
        if any(not reply.empty for reply in replies):
            await self.ask_to_join(replies)
            return
        wanted = [address for address in self.peers.contacts if address != self.peers.address]
        first = self.peers.founds and self.peers.address == min(self.peers.contacts)
        if first and len(replies) == len(wanted):
            await self.form_group(replies)

    async def probe_peers(self) -> list[ProbeReply]:
        """Ask every contact what it knows."""
        request = JoinProbe(self.name, self.node.data_id)
        calls = [self.probe_peer(address, request) for address in self.contacts()]
        return [reply for reply in await asyncio.gather(*calls) if reply is not None]

    async def probe_peer(self, address: str, request: JoinProbe) -> ProbeReply | None:
        """Ask one contact what it knows; None if it does not answer."""
        try:
            reply = await self.link(address).client.call(request, PEER_TIMEOUT_S)
        except (OSError, TimeoutError, GRPCError, ProtocolError, StreamTerminatedError) as error:
            self.link(address).note(False, repr(error))
            return None
        return attrs.evolve(reply, address=address) if isinstance(reply, ProbeReply) else None

    async def ask_to_join(self, replies: list[ProbeReply]) -> None:
        """Ask whoever leads for a place as a learner."""
        events.emit(events.JOINING, data_id=self.node.data_id)
        known = [address for reply in replies for address in reply.addresses]
        request = JoinRequest(self.node.data_id, "", self.name, self.peers.address)
        for address in dict.fromkeys([*self.contacts(), *known]):
            if address != self.peers.address:
                self.link(address).send(request)

    async def form_group(self, replies: list[ProbeReply]) -> None:
        """Write the first group, from which this replica starts an election."""
        members = [GroupMember(reply.name, reply.data_id, reply.address) for reply in replies]
        members.append(GroupMember(self.name, self.node.data_id, self.peers.address))
        members.sort(key=lambda member: member.name)
        snapshot = Snapshot(FIRST_INDEX, FIRST_TERM, 0, Group(tuple(members)), b"")
        hard_state = HardState(FIRST_TERM, "")
        await self.on_disk(partial(self.storage.save_snapshot, snapshot, hard_state, []))
        self.node = self.make_node(Stored(hard_state, snapshot, []))
        events.emit(events.GROUP_FORMED, members=[member.name for member in members])

    def make_node(self, stored: Stored) -> Node:
        """Return a node over what is stored, and set the state to its snapshot."""
        self.state.restore(stored.snapshot.state if stored.snapshot else b"")
        return Node(
            self.storage.meta.data_id,
            stored,
            self.timing,
            partial(encode, kind=Group),
            partial(decode, kind=Group),
            random.random,
            clock.now(),
            self.name,
            self.peers.policy,
        )


def wall_clock_ms() -> int:
    """Return the time of day, which log entries carry for people; nothing is decided by it."""
    return int(time.time() * 1000)


def resolve(future: asyncio.Future[Any] | None, value: Any) -> None:
    """Set a result unless whoever waited has gone."""
    if future is not None and not future.done():
        future.set_result(value)
