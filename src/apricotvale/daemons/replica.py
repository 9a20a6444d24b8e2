"""A control replica's task: it owns the consensus node, its data folder and its peers."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

from attrs import define, frozen

from apricotvale import events
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
from apricotvale.control.state import ControlState
from apricotvale.daemons.rpc import RpcClient
from apricotvale.daemons.runtime import TaskGroup
from apricotvale.exceptions import DiskError, GroupMismatchError

PEER_PAUSE_S = 0.02
MAX_WAIT_S = 0.25
PEER_TIMEOUT_S = 1.0
PEER_QUEUE = 256
PROBE_S = 0.2
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


class PeerLink:
    """Sends messages to one peer in batches, dropping the oldest when it does not keep up."""

    def __init__(self, address: str) -> None:
        self.client = RpcClient(address)
        self.queue: deque[PeerMessage] = deque(maxlen=PEER_QUEUE)
        self.wake = asyncio.Event()

    def send(self, message: PeerMessage) -> None:
        """Queue a message."""
        self.queue.append(message)
        self.wake.set()

    async def run(self) -> None:
        """Send what is queued; a failed batch is lost, and the protocol repeats it."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = PeerBatch(list(self.queue))
            self.queue.clear()
            try:
                await self.client.send_peer(batch, PEER_TIMEOUT_S)
            except Exception:
                await asyncio.sleep(PEER_PAUSE_S)


class Replica:
    """Drives one consensus node.

    :param name: the replica's name, one of `replicas`.
    :param replicas: address of each replica by name.
    :param storage: the replica's data folder.
    :param timing: protocol periods.
    :param on_applied: called after each batch of committed entries.
    """

    def __init__(
        self,
        name: str,
        replicas: dict[str, str],
        storage: Storage,
        timing: Timing,
        on_applied: Callable[[], None],
    ) -> None:
        self.name = name
        self.replicas = replicas
        self.storage = storage
        self.timing = timing
        self.on_applied = on_applied
        self.state = ControlState()
        self.events: deque[Any] = deque()
        self.wake = asyncio.Event()
        self.peers: dict[str, PeerLink] = {}
        self.proposals: dict[tuple[int, int], asyncio.Future[Any]] = {}
        self.reads: dict[int, asyncio.Future[Any]] = {}
        self.disk_thread = ThreadPoolExecutor(1, "disk")
        self.applied_bytes = 0
        self.applied_entries = 0
        self.tasks = TaskGroup()
        self.seen_group = Group()
        self.seen_role: tuple[Role, int, str] = (Role.FOLLOWER, 0, "")
        self.node = self.make_node(storage.stored)
        self.check_group()

    def check_group(self) -> None:
        """Refuse settings that name other replicas than the data folder does."""
        stored = sorted({member.name for member in self.node.group.members})
        if stored and stored != sorted(self.replicas):
            raise GroupMismatchError(stored, sorted(self.replicas))

    # -- calls from the daemon

    @property
    def leads(self) -> bool:
        """Return whether this replica leads, after letting time pass."""
        if self.storage.failed is not None:
            return False
        self.node.tick(time.monotonic())
        return self.node.role is Role.LEADER

    def leader_address(self) -> str:
        """Return the leader's address as far as known."""
        if self.node.leader_id == self.node.data_id:
            return ""
        return self.replicas.get(self.node.leader_name, "")

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

    def take_batch(self, batch: PeerBatch) -> None:
        """Take messages of a peer."""
        for message in batch.messages:
            self.post(message)

    def probe(self, probe: JoinProbe) -> ProbeReply:
        """Tell an empty replica what this one knows."""
        return ProbeReply(self.name, self.node.data_id, self.is_empty(), self.node.leader_id)

    def post(self, event: Any) -> None:
        """Queue an event for the task."""
        self.events.append(event)
        self.wake.set()

    # -- the task

    async def run(self) -> None:
        """Drive the node until cancelled, or until the disk fails."""
        async with self.tasks:
            for name, address in self.replicas.items():
                if name != self.name:
                    self.peers[name] = PeerLink(address)
                    self.tasks.start(self.peers[name].run())
            if self.is_empty():
                self.tasks.start(self.enter_group())
            try:
                await self.loop()
            except DiskError as error:
                events.emit(events.DISK_FAILED, detail=str(error), code=error.code)
                self.fail_waiters()
                await self.refuse_all()

    async def loop(self) -> None:
        """Handle events and the passing of time."""
        while True:
            if not self.events and not self.node.has_work():
                await self.wait_for_events()
            self.wake.clear()
            now = time.monotonic()
            self.node.tick(now)
            while self.events:
                self.handle(self.events.popleft(), now)
            await self.carry_out(self.node.take_ready(now))
            self.note_role()

    async def wait_for_events(self) -> None:
        """Wait for an event, or until time matters to the node."""
        loop = asyncio.get_running_loop()
        wait_s = min(MAX_WAIT_S, self.node.due_at() - time.monotonic())
        timer = loop.call_later(max(0.0, wait_s), self.wake.set)
        try:
            await self.wake.wait()
        finally:
            timer.cancel()

    async def refuse_all(self) -> None:
        """Answer every call as one who does not lead, after the disk failed."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.events:
                event = self.events.popleft()
                if isinstance(event, ProposeEvent):
                    event.future.set_result(NotLeader())
                elif isinstance(event, ReadEvent | TransferEvent):
                    event.future.set_result(False)

    def handle(self, event: Any, now: float) -> None:
        """Hand one event to the node."""
        if isinstance(event, ProposeEvent):
            entry = self.node.propose(event.payload, int(time.time() * 1000))
            if isinstance(entry, NotLeader):
                event.future.set_result(entry)
            else:
                self.proposals[entry.index, entry.term] = event.future
        elif isinstance(event, ReadEvent):
            ticket = self.node.read()
            if isinstance(ticket, NotLeader):
                event.future.set_result(False)
            else:
                self.reads[ticket] = event.future
        elif isinstance(event, TransferEvent):
            event.future.set_result(self.node.transfer(now))
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
        """Queue messages to their peers."""
        for message in messages:
            member = self.node.group.find(message.target)
            name = member.name if member else message.target
            if name in self.peers:
                self.peers[name].send(message)
            elif not member:
                self.send_by_id(message)

    def send_by_id(self, message: PeerMessage) -> None:
        """Send to a data folder of an unknown replica: every peer ignores what is not its own."""
        for peer in self.peers.values():
            peer.send(message)

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
        only if all others say that they are empty too.
        """
        while self.is_empty():
            replies = await self.probe_peers()
            known = [reply for reply in replies if not reply.empty]
            if known:
                events.emit(events.JOINING, data_id=self.node.data_id)
                self.ask_to_join()
            elif len(replies) == len(self.replicas) - 1 and self.name == min(self.replicas):
                await self.form_group(replies)
                return
            await asyncio.sleep(PROBE_S)

    async def probe_peers(self) -> list[ProbeReply]:
        """Ask every peer what it knows."""
        request = JoinProbe(self.name, self.node.data_id)
        calls = [peer.client.call(request, PEER_TIMEOUT_S) for peer in self.peers.values()]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        return [answer for answer in answers if isinstance(answer, ProbeReply)]

    def ask_to_join(self) -> None:
        """Ask whoever leads for a place as a learner."""
        address = self.replicas[self.name]
        for peer in self.peers.values():
            peer.send(JoinRequest(self.node.data_id, "", self.name, address))

    async def form_group(self, replies: list[ProbeReply]) -> None:
        """Write the first group, from which this replica starts an election."""
        ids = {reply.name: reply.data_id for reply in replies}
        ids[self.name] = self.node.data_id
        members = (GroupMember(name, ids[name], address) for name, address in self.replicas.items())
        snapshot = Snapshot(FIRST_INDEX, FIRST_TERM, 0, Group(tuple(members)), b"")
        hard_state = HardState(FIRST_TERM, "")
        await self.on_disk(partial(self.storage.save_snapshot, snapshot, hard_state, []))
        self.node = self.make_node(Stored(hard_state, snapshot, []))
        events.emit(events.GROUP_FORMED, members=sorted(ids))

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
            time.monotonic(),
            self.name,
        )


def resolve(future: asyncio.Future[Any] | None, value: Any) -> None:
    """Set a result unless whoever waited has gone."""
    if future is not None and not future.done():
        future.set_result(value)
